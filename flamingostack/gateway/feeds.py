"""Following the platform's store: configuration, targets, evacuations and our own instances.

Each kind is listed once and then watched; a change arrives as soon as it is made. While the store
is away, what is known stays in force. While other instances pass the store's news on
(`follower.py`), the store is not asked.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ..platform import objects
from ..platform.objects import ObjectStore
from ..store import StoreFailure, StoreReason
from .directory import OUTAGE_DELETION_WINDOW_S
from .model import StoredRecord, StoredRecords
from .picture import ConfigurationFeed, EvacuationFeed, InstanceFeed, TargetFeed
from .relay import PeerClient
from .state import Gateway

# The watch of the configuration is renewed after this time without a change. A store that has gone
# silent is noticed within this time and the call's own time-out, and then by all feeds.
PROBING_WAIT_S = 8.0
# The same while other instances learn from this one: they notice its silence no earlier.
READER_WAIT_S = 3.0
# An instance that was polled so recently has followers; they poll each second.
POLLED_RECENTLY_S = 5.0
# The other watches wait as long as the store allows, since each call is paid for, but not longer
# than it remembers: what follows then is a whole list.
MAX_WATCH_WAIT_S = 29.0
HISTORY_SHARE = 0.75
# After a loss a watch waits only so long until the store has answered: one sent into a silent
# store would else hang for its whole wait after the store's return.
LOST_WAIT_S = 0.3
# An answer to another feed is this long a sign that the store is back.
ANSWER_FRESH_S = 1.0
# While the store is lost only the feed of the configuration probes it. The others wait for an
# answer to that one, ask an instance after each pause, and probe by themselves after so many.
LOST_PAUSE_S = 1.0
LOST_PAUSES = 4
# Changes that come in quick succession are fetched together.
WATCH_PAUSE_S = 0.15
# Targets register one by one for seconds when they start together; each watch is paid for. The
# bounds on leaving targets are several seconds, and a dead one shows first-hand.
TARGETS_PAUSE_S = 0.8
# Instances register at the same time when a fleet starts; their number may be known a little later.
INSTANCES_PAUSE_S = 1.0
# The first watch of a process leaves time to find instances that pass the store's news on.
FIRST_WATCH_PAUSE_S = 0.6
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
# An instance that has just started serves nothing before it knows the configuration.
MAX_START_BACKOFF_S = 0.4
# So many deletions of a kind are remembered for instances that ask what has changed.
MAX_DELETIONS = 1000


class StoreContact:
    """What all feeds together know of the store; tells all when one of them has lost it.

    Times are in seconds of the event loop's clock.
    """

    __slots__ = (
        "now",
        "failed_at",
        "answered_at",
        "confirmed_at",
        "polled_at",
        "_raised",
        "_answered",
        "_news",
        "_unfed",
    )

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        # When the store last failed to answer a feed.
        self.failed_at = float("-inf")
        # When the store last answered a feed.
        self.answered_at = float("-inf")
        # When the picture was last that of the store, here or at the instance that passed it on.
        self.confirmed_at = float("-inf")
        # When another instance last asked for news.
        self.polled_at = float("-inf")
        self._raised = asyncio.Event()
        self._answered = asyncio.Event()
        self._news = asyncio.Event()
        # Set while this instance has to ask the store itself.
        self._unfed = asyncio.Event()
        self._unfed.set()

    def raise_all(self) -> None:
        """Wake all feeds that wait."""
        self._raised.set()
        self._raised = asyncio.Event()

    async def wait(self) -> None:
        """Wait until a feed has lost the store."""
        await self._raised.wait()

    def note_answer(self) -> None:
        """Note that the store has answered, and wake the feeds that wait for it."""
        self.answered_at = self.confirmed_at = self.now()
        self._answered.set()
        self._answered = asyncio.Event()

    async def wait_until_answered(self, wait_s: float) -> bool:
        """Wait until the store answers any feed, for `wait_s` at most; tell whether it did."""
        return await wait_for(self._answered, wait_s)

    @property
    def is_fed(self) -> bool:
        """Whether other instances pass on what is new, so that the store need not be asked."""
        return not self._unfed.is_set()

    def set_fed(self, is_fed: bool) -> None:
        """Note whether other instances pass on what is new."""
        if is_fed:
            self._unfed.clear()
        else:
            self._unfed.set()

    async def wait_until_unfed(self) -> None:
        """Wait until the store has to be asked."""
        await self._unfed.wait()

    def announce_news(self) -> None:
        """Wake the instances that wait for news."""
        self._news.set()
        self._news = asyncio.Event()

    async def wait_for_news(self, wait_s: float) -> None:
        """Wait for news, for `wait_s` at most."""
        await wait_for(self._news, wait_s)

    def note_poll(self) -> None:
        """Note that another instance learns from this one."""
        self.polled_at = self.now()

    @property
    def has_followers(self) -> bool:
        """Whether other instances learn from this one."""
        return self.now() - self.polled_at < POLLED_RECENTLY_S

    def age_s(self) -> float | None:
        """Return how long ago the picture was last confirmed; None: never."""
        return self._elapsed_s(self.confirmed_at)

    def failed_age_s(self) -> float | None:
        """Return how long ago the store last failed; None: never."""
        return self._elapsed_s(self.failed_at)

    def _elapsed_s(self, at: float) -> float | None:
        return None if at == float("-inf") else self.now() - at


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
        "must_list",
        "deletions_by_name",
        "complete_since",
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
        wait_s: float = MAX_WATCH_WAIT_S,
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
        # None before the first list.
        self.revision: int | None = None
        self.records_by_name: dict[str, StoredRecord] = {}
        # Before the first list, and after the store has discarded its history.
        self.must_list = True
        # Revisions at which deletions were seen, for instances that learn from this one, and the
        # revision since which all of them are known.
        self.deletions_by_name: dict[str, int] = {}
        self.complete_since = 0
        self.is_lost = False
        # The first list may be seconds old, which is cheap: the watch that follows it tells at once
        # what has changed since. A later one would take the picture back in time.
        self.may_list_stale = True
        self.listed = asyncio.Event()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        backoff_s = FIRST_BACKOFF_S
        is_first = True
        while True:
            if self.contact.is_fed and not self.must_list:
                self.note_regained()
                await self.contact.wait_until_unfed()
            try:
                failure = await self.step()
            except Exception:
                # A fault on one object must not end the feed; everything is read again.
                self.gateway.log.exception("feed_failed", kind=self.kind, revision=self.revision)
                self.must_list = True
                failure = StoreFailure(StoreReason.UNAVAILABLE, "feed failed")
            if failure is None:
                backoff_s = FIRST_BACKOFF_S
                await asyncio.sleep(max(self.pause_s, FIRST_WATCH_PAUSE_S if is_first else 0.0))
                is_first = False
                continue
            if failure.reason is StoreReason.HISTORY_GONE:
                # The store is there; the kind is listed again.
                self.gateway.log.info("history_discarded", kind=self.kind, revision=self.revision)
                self.must_list = True
                await asyncio.sleep(random.random() * FIRST_BACKOFF_S)
                continue
            self.note_failure(failure)
            await self.ask_peer()
            if self.is_probe or self.must_list:
                await asyncio.sleep(backoff_s * (0.5 + random.random()))
            else:
                await self.wait_for_store()
            limit_s = MAX_BACKOFF_S if self.gateway.is_ready else MAX_START_BACKOFF_S
            backoff_s = min(backoff_s * 2, limit_s)

    async def step(self) -> None | StoreFailure:
        """List, or wait for the next changes, and apply them."""
        if self.must_list:
            result = await self.store.list_objects(self.kind, self.may_list_stale)
        else:
            result = await self.watch()
        if isinstance(result, StoreFailure):
            return result
        self.contact.note_answer()
        self.note_regained()
        self.apply(result)
        return None

    async def watch(self) -> StoredRecords | StoreFailure:
        """Wait for changes, or until another feed has lost the store."""
        wait_s = self.watch_wait_s()
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

    def watch_wait_s(self) -> float:
        """Return how long the next watch waits for a change."""
        if self.is_lost and self.gateway.now() - self.contact.answered_at > ANSWER_FRESH_S:
            return LOST_WAIT_S
        wait_s = min(self.wait_s, self.gateway.settings.store_history_s * HISTORY_SHARE)
        if self.is_probe and self.contact.has_followers:
            return min(wait_s, READER_WAIT_S)
        return wait_s

    async def wait_for_store(self) -> None:
        """Wait until the store is back, or may be, and learn from other instances meanwhile."""
        for _ in range(LOST_PAUSES):
            if await self.contact.wait_until_answered(LOST_PAUSE_S) or self.contact.is_fed:
                return
            await self.ask_peer()

    @property
    def is_probe(self) -> bool:
        """Whether this feed finds out for all feeds that the store is away or back."""
        return self.kind == objects.CONFIGURATIONS

    async def ask_peer(self) -> None:
        """Take over the news of another instance."""
        since = -1 if self.revision is None else self.revision
        result = await self.peers.fetch(self.kind, since)
        if result is None:
            return
        self.gateway.log.info(
            "picture_from_peer", kind=self.kind, before=since, revision=result.revision
        )
        self.apply(result)

    def apply(self, result: StoredRecords) -> None:
        """Take over all objects, or changes since the known revision, unless newer ones are known.

        Several sources may tell the same changes.
        """
        if self.revision is not None and result.revision < self.revision:
            return
        was_away = self.gateway.now() - self.contact.failed_at < OUTAGE_DELETION_WINDOW_S
        if result.is_whole:
            self.apply_list(result.records, was_away)
        else:
            self.apply_changes(result.records, was_away)
        self.keep(result)
        self.must_list = False
        self.may_list_stale = False
        self.listed.set()
        if result.records:
            self.contact.announce_news()

    def keep(self, result: StoredRecords) -> None:
        """Remember objects and deletions for instances that learn from this one."""
        present = {record.name: record for record in result.records if record.value is not None}
        deleted = {record.name for record in result.records if record.value is None}
        if result.is_whole:
            deleted = self.records_by_name.keys() - present.keys()
            self.records_by_name = present
        else:
            self.records_by_name.update(present)
        for name in deleted:
            self.records_by_name.pop(name, None)
            # Put last, so that the oldest ones come first.
            self.deletions_by_name.pop(name, None)
            self.deletions_by_name[name] = result.revision
        for name in present:
            self.deletions_by_name.pop(name, None)
        while len(self.deletions_by_name) > MAX_DELETIONS:
            oldest = next(iter(self.deletions_by_name))
            self.complete_since = self.deletions_by_name.pop(oldest)
        if self.revision is None:
            self.complete_since = result.revision
        self.revision = result.revision

    def changes_since(self, since: int) -> StoredRecords | None:
        """Return what is known beyond a revision; None if nothing is."""
        if self.revision is None or self.revision <= since:
            return None
        if since < self.complete_since:
            return StoredRecords(list(self.records_by_name.values()), self.revision, is_whole=True)
        records = [item for item in self.records_by_name.values() if item.revision > since]
        records += [
            StoredRecord(name, revision, None)
            for name, revision in self.deletions_by_name.items()
            if revision > since
        ]
        return StoredRecords(records, self.revision, is_whole=False)

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

    def note_regained(self) -> None:
        """Log the return of the store, or of what stands in for it."""
        if self.is_lost:
            self.is_lost = False
            self.gateway.log.info("store_regained", kind=self.kind, revision=self.revision)


async def wait_for(event: asyncio.Event, wait_s: float) -> bool:
    """Wait for an event, for `wait_s` at most; tell whether it came."""
    try:
        async with asyncio.timeout(wait_s):
            return await event.wait()
    except TimeoutError:
        return False


def make_feeds(
    gateway: Gateway, store: ObjectStore, peers: PeerClient, contact: StoreContact
) -> dict[str, Feed]:
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
    feeds_by_kind = {
        kind: Feed(gateway, store, kind, apply_list, apply_changes, peers, contact)
        for kind, (apply_list, apply_changes) in appliers_by_kind.items()
    }
    feeds_by_kind[objects.CONFIGURATIONS].wait_s = PROBING_WAIT_S
    feeds_by_kind[objects.TARGETS].pause_s = TARGETS_PAUSE_S
    feeds_by_kind[objects.INSTANCES].pause_s = INSTANCES_PAUSE_S
    return feeds_by_kind
