"""Following the platform's store: configuration, targets, evacuations and our own instances.

Each kind is listed once and then watched; a change arrives as soon as it is made. While the store
is away, what is known stays in force.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from ..errors import Failure
from ..platform import decode, objects
from ..platform.objects import ObjectStore
from ..store import StoreFailure, StoreReason
from .directory import OUTAGE_MEMORY_S
from .model import StoredRecord, StoredRecords
from .relay import PeerClient
from .state import Gateway

# The watch of the configuration is renewed after this time without a change. A store that has gone
# silent is noticed within this time and the call's own time-out, and then by all feeds.
PROBING_WAIT_S = 8.0
# The other watches wait as long as the store allows, since each call is paid for.
WATCH_WAIT_S = 29.0
# After a loss a watch waits only so long until the store has answered: one sent into a silent
# store would else hang for its whole wait after the store's return.
LOST_WAIT_S = 0.3
# Changes that come in quick succession are fetched together.
WATCH_PAUSE_S = 0.15
# Targets register one by one for seconds when they start together; each watch is paid for. The
# bounds on leaving targets are several seconds, and a dead one shows first-hand.
TARGETS_PAUSE_S = 0.8
# Instances register at the same time when a fleet starts; their number may be known a little later.
INSTANCES_PAUSE_S = 3.0
# So many entries that vanish together without having announced it point to an outage of the store.
LAPSED_TOGETHER = 3
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
# An instance that has just started serves nothing before it knows the configuration.
MAX_START_BACKOFF_S = 0.4


class StoreContact:
    """What all feeds together know of the store; tells all when one of them has lost it.

    Times are in seconds of the event loop's clock.
    """

    __slots__ = ("failed_at", "_raised")

    def __init__(self) -> None:
        # When the store last failed to answer a feed.
        self.failed_at = float("-inf")
        self._raised = asyncio.Event()

    def raise_all(self) -> None:
        """Wake all feeds that wait."""
        self._raised.set()
        self._raised = asyncio.Event()

    async def wait(self) -> None:
        """Wait until a feed has lost the store."""
        await self._raised.wait()


class Feed:
    """Keeps the gateway's picture of one kind of objects up to date."""

    __slots__ = (
        "gateway",
        "store",
        "kind",
        "apply_list",
        "apply_changes",
        "peers",
        "contact",
        "wait_s",
        "pause_s",
        "revision",
        "records_by_name",
        "is_lost",
        "may_list_stale",
        "listed",
    )

    def __init__(
        self,
        gateway: Gateway,
        store: ObjectStore,
        kind: str,
        apply_list: Callable[[list[StoredRecord], bool], None],
        apply_changes: Callable[[list[StoredRecord], bool], None],
        peers: PeerClient,
        contact: StoreContact,
        wait_s: float = WATCH_WAIT_S,
        pause_s: float = WATCH_PAUSE_S,
    ) -> None:
        self.gateway = gateway
        self.store = store
        self.contact = contact
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.kind = kind
        self.apply_list = apply_list
        self.apply_changes = apply_changes
        self.peers = peers
        # None before the first list, and after the store has discarded its history.
        self.revision: int | None = None
        self.records_by_name: dict[str, StoredRecord] = {}
        self.is_lost = False
        # The first list may be seconds old, which is cheap: the watch that follows it tells at once
        # what has changed since. A later one would take the picture back in time.
        self.may_list_stale = True
        self.listed = asyncio.Event()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                failure = await self.step()
            except Exception:
                # A fault on one object must not end the feed; everything is read again.
                self.gateway.log.exception("feed_failed", kind=self.kind, revision=self.revision)
                self.revision = None
                failure = StoreFailure(StoreReason.UNAVAILABLE, "feed failed")
            if failure is None:
                backoff_s = FIRST_BACKOFF_S
                await asyncio.sleep(self.pause_s)
                continue
            if failure.reason is StoreReason.HISTORY_GONE:
                # The store is there; the kind is listed again.
                self.gateway.log.info("history_discarded", kind=self.kind, revision=self.revision)
                self.revision = None
                await asyncio.sleep(random.random() * FIRST_BACKOFF_S)
                continue
            self.note_failure(failure)
            await self.ask_peer()
            await asyncio.sleep(backoff_s * (0.5 + random.random()))
            limit_s = MAX_BACKOFF_S if self.gateway.is_ready else MAX_START_BACKOFF_S
            backoff_s = min(backoff_s * 2, limit_s)

    async def step(self) -> None | StoreFailure:
        """List, or wait for the next changes, and apply them."""
        if self.revision is None:
            result = await self.store.list_objects(self.kind, self.may_list_stale)
        else:
            result = await self.watch()
        if isinstance(result, StoreFailure):
            return result
        self.note_answer()
        self.apply(result)
        self.may_list_stale = False
        self.listed.set()
        return None

    async def watch(self) -> StoredRecords | StoreFailure:
        """Wait for changes, or until another feed has lost the store."""
        wait_s = LOST_WAIT_S if self.is_lost else self.wait_s
        watching = asyncio.create_task(self.store.watch(self.kind, self.revision, wait_s))
        suspecting = asyncio.create_task(self.contact.wait())
        try:
            await asyncio.wait({watching, suspecting}, return_when=asyncio.FIRST_COMPLETED)
            if watching.done():
                return watching.result()
            return StoreFailure(StoreReason.UNAVAILABLE, "another feed has lost the store")
        finally:
            watching.cancel()
            suspecting.cancel()

    async def ask_peer(self) -> None:
        """Take over the picture of another instance if it is newer."""
        known = max((r.revision for r in self.records_by_name.values()), default=-1)
        since = known if self.revision is None else self.revision
        result = await self.peers.fetch(self.kind, since)
        if result is None:
            return
        self.gateway.log.info(
            "picture_from_peer", kind=self.kind, before=since, revision=result.revision
        )
        self.revision = None
        self.apply(result)

    def apply(self, result: StoredRecords) -> None:
        """Take over a list, or changes since the known revision."""
        was_away = self.gateway.now() - self.contact.failed_at < OUTAGE_MEMORY_S
        if self.revision is None:
            self.apply_list(result.records, was_away)
            self.records_by_name = {record.name: record for record in result.records}
        else:
            self.apply_changes(result.records, was_away)
            for record in result.records:
                self.records_by_name.pop(record.name, None)
                if record.value is not None:
                    self.records_by_name[record.name] = record
        self.revision = result.revision

    def note_failure(self, failure: StoreFailure) -> None:
        """Log the loss of the store once."""
        if not self.is_lost:
            self.is_lost = True
            self.contact.raise_all()
            self.gateway.log.warning(
                "store_lost",
                kind=self.kind,
                reason=failure.reason.code,
                detail=failure.message,
                revision=self.revision,
            )
        self.gateway.metrics.count(
            "gateway_store_failures_total", kind=self.kind, reason=failure.reason.code
        )
        self.contact.failed_at = self.gateway.now()

    def note_answer(self) -> None:
        """Log the return of the store."""
        if self.is_lost:
            self.is_lost = False
            self.gateway.log.info("store_regained", kind=self.kind, revision=self.revision)


class ConfigurationFeed:
    """Puts each version of the configuration into force."""

    __slots__ = ("gateway",)

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    def apply(self, records: list[StoredRecord], was_away: bool) -> None:
        """Take over the newest version among changed objects."""
        for record in records:
            if record.name != decode.CONFIGURATION_NAME or record.value is None:
                continue
            configuration = decode.decode_configuration(record)
            if isinstance(configuration, Failure):
                self.gateway.log.error("configuration_refused", detail=configuration.message)
                continue
            is_newer = self.gateway.set_configuration(configuration)
            self.gateway.log.info(
                "configuration_applied" if is_newer else "configuration_not_newer",
                version=configuration.version,
                revision=record.revision,
                routes=len(configuration.routes),
            )


class TargetFeed:
    """Keeps the directory of targets."""

    __slots__ = ("gateway", "_removal")

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self._removal: asyncio.TimerHandle | None = None

    def apply_list(self, records: list[StoredRecord], was_away: bool) -> None:
        """Take over a whole list."""
        entries = []
        for record in records:
            entry = decode.decode_target(record)
            if isinstance(entry, Failure):
                self.note_malformed(entry.message)
            else:
                entries.append(entry)
        directory = self.gateway.directory
        missing = set(directory.targets_by_id) - {entry.id for entry in entries}
        may_return = was_away or self.lapsed_together(missing)
        directory.replace_all(entries, self.gateway.now(), may_return)
        self.gateway.log.info(
            "targets_listed", count=len(entries), missing=len(missing), may_return=may_return
        )
        self.finish()

    def lapsed_together(self, missing: Iterable[str]) -> bool:
        """Tell whether so many targets vanished unannounced that the store may have been away.

        A store that was silent for a while has failed no call, but its entries have lapsed.
        """
        return sum(map(self.gateway.directory.is_serving, missing)) >= LAPSED_TOGETHER

    def apply_changes(self, records: list[StoredRecord], was_away: bool) -> None:
        """Take over changed entries."""
        directory = self.gateway.directory
        now = self.gateway.now()
        removed = [record.name for record in records if record.value is None]
        may_return = was_away or self.lapsed_together(removed)
        for record in records:
            if record.value is None:
                directory.remove(record.name, now, may_return)
                self.gateway.log.info(
                    "target_removed", target=record.name, revision=record.revision, held=may_return
                )
                continue
            entry = decode.decode_target(record)
            if isinstance(entry, Failure):
                self.note_malformed(entry.message)
                directory.remove(record.name, now, may_return=False)
                continue
            directory.put(entry, now)
            self.gateway.log.info(
                "target_changed",
                target=entry.id,
                service=entry.service,
                draining=entry.is_draining,
                cold_s=entry.cold_s,
                revision=record.revision,
            )
        self.finish()

    def note_malformed(self, detail: str) -> None:
        """Log an entry that names no target to use."""
        self.gateway.metrics.count("gateway_malformed_entries_total")
        self.gateway.log.warning("target_malformed", detail=detail)

    def finish(self) -> None:
        """Recompute what depends on the targets, and plan the removals that wait."""
        self.gateway.update_shares()
        if self._removal is not None:
            self._removal.cancel()
            self._removal = None
        at = self.gateway.directory.next_removal_at
        if at is not None:
            self._removal = asyncio.get_running_loop().call_at(at, self.expire)

    def expire(self) -> None:
        """Remove the targets whose entries have not come back."""
        for target_id in self.gateway.directory.expire_removals(self.gateway.now()):
            self.gateway.log.info("target_removed", target=target_id, held=True)
        self.finish()


class EvacuationFeed:
    """Keeps the set of evacuated failure domains."""

    __slots__ = ("gateway",)

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    def apply_list(self, records: list[StoredRecord], was_away: bool) -> None:
        """Take over a whole list."""
        self.replace({record.name for record in records})

    def apply_changes(self, records: list[StoredRecord], was_away: bool) -> None:
        """Take over changed entries."""
        domains = set(self.gateway.directory.evacuated_domains)
        for record in records:
            if record.value is None:
                domains.discard(record.name)
            else:
                domains.add(record.name)
        self.replace(domains)

    def replace(self, domains: set[str]) -> None:
        """Put a set of evacuated failure domains into force."""
        directory = self.gateway.directory
        if domains != directory.evacuated_domains:
            self.gateway.log.info(
                "evacuations_changed",
                before=sorted(directory.evacuated_domains),
                after=sorted(domains),
            )
            directory.evacuated_domains = domains


class InstanceFeed:
    """Keeps the instances among which limits are divided, and their addresses."""

    __slots__ = ("gateway", "peers")

    def __init__(self, gateway: Gateway, peers: PeerClient) -> None:
        self.gateway = gateway
        self.peers = peers

    def apply_list(self, records: list[StoredRecord], was_away: bool) -> None:
        """Take over a whole list."""
        self.peers.addresses_by_instance.clear()
        self.replace(set(), records)
        self.gateway.log.info("instances_listed", count=len(records))

    def apply_changes(self, records: list[StoredRecord], was_away: bool) -> None:
        """Take over changed entries."""
        self.replace(set(self.gateway.instances), records)

    def replace(self, instances: set[str], records: list[StoredRecord]) -> None:
        """Divide limits among known instances and those of the records."""
        addresses_by_instance = self.peers.addresses_by_instance
        for record in records:
            if record.value is None:
                instances.discard(record.name)
                addresses_by_instance.pop(record.name, None)
                continue
            instances.add(record.name)
            address = record.value.get("address") if isinstance(record.value, dict) else None
            if isinstance(address, str) and record.name != self.gateway.settings.instance:
                addresses_by_instance[record.name] = address
        before = len(self.gateway.instances)
        self.gateway.set_instances(instances)
        after = len(self.gateway.instances)
        if after != before:
            self.gateway.log.info("instances_changed", before=before, after=after)


def make_feeds(gateway: Gateway, store: ObjectStore, peers: PeerClient) -> dict[str, Feed]:
    """Return the feeds of all kinds that the gateway follows, by kind."""
    configuration = ConfigurationFeed(gateway)
    targets = TargetFeed(gateway)
    evacuations = EvacuationFeed(gateway)
    instances = InstanceFeed(gateway, peers)
    appliers_by_kind = {
        objects.CONFIGURATIONS: (configuration.apply, configuration.apply),
        objects.TARGETS: (targets.apply_list, targets.apply_changes),
        objects.EVACUATIONS: (evacuations.apply_list, evacuations.apply_changes),
        objects.INSTANCES: (instances.apply_list, instances.apply_changes),
    }
    contact = StoreContact()
    feeds_by_kind = {
        kind: Feed(gateway, store, kind, apply_list, apply_changes, peers, contact)
        for kind, (apply_list, apply_changes) in appliers_by_kind.items()
    }
    feeds_by_kind[objects.CONFIGURATIONS].wait_s = PROBING_WAIT_S
    feeds_by_kind[objects.TARGETS].pause_s = TARGETS_PAUSE_S
    feeds_by_kind[objects.INSTANCES].pause_s = INSTANCES_PAUSE_S
    return feeds_by_kind
