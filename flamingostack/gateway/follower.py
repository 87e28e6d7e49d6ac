"""Following other instances in place of the store."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from .feeds import READER_WATCH_WAIT_S, Feed, StoreStatus
from .readers import choose_sources
from .relay import PEER_TIMEOUT_S, PeerClient, RelayAnswer, RelayChanges, decode_changes
from .state import Gateway

# A poll without news returns after this time, and tells how fresh the source is.
POLL_WAIT_S = 1.0
# A source is fresh if the store has confirmed its picture within the time of a reader's watch, the
# time-out of a call, and a poll; a reader that has lost the store says so earlier.
FRESH_S = READER_WATCH_WAIT_S + 1.5 + POLL_WAIT_S
# How often the sources are chosen again.
CHECK_S = 0.25
RETRY_S = 0.3
# A revision beyond all that the store gives out: asks whether an instance answers, and for no news.
NO_NEWS = 2**62
# A source that has not answered for so long is passed over for a while: a restart takes a second.
UNREACHABLE_AFTER_S = 2.5
# How often it is asked whether it is back; entries of instances that are gone for good stay.
PASS_OVER_S = 10.0


class Follower:
    """Polls the sources of this instance, and tells the feeds when these are enough.

    Times are in seconds of the event loop's clock.
    """

    __slots__ = (
        "gateway",
        "feeds_by_kind",
        "store_status",
        "peers",
        "answered_at_by_source",
        "fresh_at_by_source",
        "unreachable_until",
        "_tasks_by_source",
        "_probes",
    )

    def __init__(
        self,
        gateway: Gateway,
        feeds_by_kind: Mapping[str, Feed],
        store_status: StoreStatus,
        peers: PeerClient,
    ) -> None:
        self.gateway = gateway
        self.feeds_by_kind = feeds_by_kind
        self.store_status = store_status
        self.peers = peers
        self.answered_at_by_source: dict[str, float] = {}
        self.fresh_at_by_source: dict[str, float] = {}
        self.unreachable_until: dict[str, float] = {}
        self._tasks_by_source: dict[str, asyncio.Task[None]] = {}
        self._probes: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Choose sources and follow them until cancelled."""
        try:
            while True:
                self.start_probes()
                sources = self.choose()
                self.update_tasks(sources)
                self.update_store_status(sources)
                await asyncio.sleep(CHECK_S)
        finally:
            self.update_tasks([])
            for task in self._probes:
                task.cancel()

    def choose(self) -> list[str]:
        """Return the instances to follow; none if this one watches the store."""
        own = self.gateway.settings.instance
        domains_by_instance = self.peers.domains_by_instance
        domain = {
            name
            for name in self.peers.addresses_by_instance
            if domains_by_instance.get(name) == self.gateway.settings.failure_domain
        }
        return choose_sources(own, domain | {own}, self.unreachable_until)

    def start_probes(self) -> None:
        """Ask sources that were passed over whether they are back."""
        now = self.gateway.now()
        for name, until in self.unreachable_until.items():
            if now >= until:
                self.unreachable_until[name] = now + PASS_OVER_S
                task = asyncio.create_task(self.probe(name))
                self._probes.add(task)
                task.add_done_callback(self._probes.discard)

    async def probe(self, name: str) -> None:
        """Take a source back that answers again, and forget one whose entry is gone."""
        address = self.peers.addresses_by_instance.get(name)
        if address is not None:
            kind = next(iter(self.feeds_by_kind))
            if await self.peers.poll(address, {kind: NO_NEWS}, 0.0) is None:
                return
            self.gateway.log.info("source_reachable", source=name)
        self.unreachable_until.pop(name, None)

    def update_tasks(self, sources: list[str]) -> None:
        """Poll these sources and no others."""
        for name in self._tasks_by_source.keys() - set(sources):
            self._tasks_by_source.pop(name).cancel()
            self.fresh_at_by_source.pop(name, None)
        for name in sources:
            if name not in self._tasks_by_source:
                self.answered_at_by_source[name] = self.gateway.now()
                self._tasks_by_source[name] = asyncio.create_task(self.poll(name))

    def update_store_status(self, sources: list[str]) -> None:
        """Tell the feeds whether a source is fresh, so that they need not ask the store."""
        now = self.gateway.now()
        ages_by_source = {
            name: round(now - self.fresh_at_by_source[name], 1)
            for name in sources
            if name in self.fresh_at_by_source
        }
        is_following_peers = any(age < FRESH_S for age in ages_by_source.values())
        if is_following_peers == self.store_status.is_following_peers:
            return
        self.gateway.log.info(
            "store_followed" if is_following_peers else "store_watched",
            sources=",".join(sources),
            ages_s=",".join(f"{name}:{age}" for name, age in ages_by_source.items()),
        )
        self.store_status.set_following_peers(is_following_peers)

    async def poll(self, name: str) -> None:
        """Poll one source until cancelled."""
        while True:
            revisions_by_kind = {
                kind: -1 if feed.revision is None else feed.revision
                for kind, feed in self.feeds_by_kind.items()
            }
            address = self.peers.addresses_by_instance.get(name)
            answer = None
            if address is not None:
                answer = await self.peers.poll(address, revisions_by_kind, POLL_WAIT_S)
            if answer is None:
                self.note_silence(name)
                await asyncio.sleep(RETRY_S)
                continue
            self.take(name, answer)
            if answer.frame.is_lost:
                self.fresh_at_by_source.pop(name, None)
                await asyncio.sleep(RETRY_S)

    def note_silence(self, name: str) -> None:
        """Pass over a source that has not answered for some time."""
        now = self.gateway.now()
        silent_s = now - self.answered_at_by_source[name]
        if silent_s < UNREACHABLE_AFTER_S:
            return
        self.unreachable_until[name] = now + PASS_OVER_S
        self.gateway.log.warning("source_unreachable", source=name, silent_s=round(silent_s, 1))

    def apply(self, kind: str, changes: RelayChanges) -> None:
        """Apply the news of one kind; after a fault everything is read again from the store."""
        feed = self.feeds_by_kind[kind]
        try:
            feed.apply(decode_changes(changes))
        except Exception:
            self.gateway.log.exception("feed_failed", kind=kind, revision=changes.revision)
            feed.must_list = True
            self.store_status.set_following_peers(False)

    def take(self, name: str, answer: RelayAnswer) -> None:
        """Take over the news of a source, and how fresh it is."""
        now = self.gateway.now()
        self.answered_at_by_source[name] = now
        if answer.frame.failed_age_s is not None:
            self.store_status.failed_at = max(
                self.store_status.failed_at, now - answer.frame.failed_age_s
            )
        for kind, changes in answer.changes_by_kind.items():
            self.apply(kind, changes)
        if answer.frame.age_s is None or answer.frame.is_lost:
            return
        # The answer may have been on its way for a while.
        fresh_at = now - answer.frame.age_s - PEER_TIMEOUT_S
        self.fresh_at_by_source[name] = max(self.fresh_at_by_source.get(name, fresh_at), fresh_at)
        self.store_status.confirmed_at = max(self.store_status.confirmed_at, fresh_at)
