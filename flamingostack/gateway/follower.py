"""Follower that keeps the state in sync with other instances instead of the store.

The instances that it follows are its sources; `readers.py` chooses them.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Collection, Mapping

import msgspec

from .feeds import READER_ANSWER_S, READER_WATCH_WAIT_S, WATCH_PAUSE_S, Feed, StoreStatus
from .limit_ends import encode_limit_ends
from .observations import encode_observations
from .position import NO_ERA
from .readers import MIN_DOMAIN_INSTANCES, READERS_PER_DOMAIN, choose_sources
from .relay import (
    INSTANCE_PARAMETER,
    LIMIT_CLOCK_PARAMETER,
    LIMIT_ENDS_PARAMETER,
    OBSERVATIONS_PARAMETER,
    PEER_TIMEOUT_S,
    REQUESTS_PARAMETER,
    PeerClient,
    RelayChanges,
    RelayFreshness,
    RelayResponse,
    decode_changes,
)
from .state import Gateway

# A poll without updates returns after this time, with the freshness of the source. This, and the
# times below in which news may be held up, are shorter where news have to arrive earlier
# (`news_waits.py`).
POLL_WAIT_S = 1.0
# While targets have queues, which change within half a second, polls return earlier.
QUEUED_POLL_WAIT_S = 0.4
# How often the sources are selected again.
SELECTION_INTERVAL_S = 0.25
# A source is fresh if the store has confirmed its state within the pause, the wait and the answer
# of a reader's watch, the transit of a poll, an interval of selections, and this.
STALENESS_RESERVE_S = 0.1
POLL_RETRY_S = 0.3
# A poll's wait is sent in whole milliseconds. Without this allowance the answer could arrive just
# before a source is to be skipped, which would then take another `POLL_RETRY_S`.
POLL_ROUNDING_S = 0.002
# Higher than any revision of the store: a poll with it returns no changes, and only checks that an
# instance answers.
FUTURE_REVISION = 2**62
# A selection that is late by this counts as a stall of the event loop. A stall that makes a poll
# time out is longer.
MIN_STALL_S = 0.15
# For how much longer sources may be silent because of such stalls. A poll has `PEER_TIMEOUT_S`
# beyond its wait, and `pauses.py` brings the state up to date after stalls of a second. With an
# allowance of 1 s, also for sources just selected, lost sources were given up after 5.1 s.
MAX_STALL_ALLOWANCE_S = 0.6
# A source that has not answered for this time is skipped for a while. A restart takes a second.
UNREACHABLE_AFTER_S = 2.5
# How often a skipped source is probed. Not more often, because the entries of instances that are
# gone for good stay in the store.
UNREACHABLE_PROBE_INTERVAL_S = 10.0
# A source that reports for this time that it has lost the store is skipped, so that the next
# instance in order tries the store. The time doubles with each pair of sources that have lost it:
# in an outage of the whole store only a few instances try it, while a store that turns away the
# first readers is found by the next ones.
LOST_AFTER_S = 0.5
LOST_PROBE_INTERVAL_S = 2.0
# While its sources answer and an outage of the store is known, an instance leaves the store to them
# for this time after the last confirmation of its state.
MAX_UNCONFIRMED_S = 15.0
# How many other instances are polled at a time by an instance that has lost the store and follows
# none. Some of them may be dead or have lost the store too: with one at a time, a change took up to
# 7.7 s.
LOST_STORE_PEERS = 3


def max_staleness_s(wait_share: float) -> float:
    """Return for how long after the store's last confirmation a source counts as fresh."""
    reader_s = WATCH_PAUSE_S + (READER_WATCH_WAIT_S + READER_ANSWER_S) * wait_share
    return reader_s + PEER_TIMEOUT_S + SELECTION_INTERVAL_S + STALENESS_RESERVE_S


def max_answer_interval_s(wait_share: float) -> float:
    """Return for how long a source that answers may be silent.

    After it has reported that it has lost the store, that is `POLL_RETRY_S` longer. While none of
    the sources answers, an instance watches the store itself: they may all be gone, and the ones
    that would replace them too.
    """
    return POLL_WAIT_S * wait_share + PEER_TIMEOUT_S


class Follower:
    """Polls the sources of this instance, and tells the feeds whether to leave the store to them.

    It handles the load pattern of a store that fails for all instances of a large fleet, or that
    all of them start with at the same time: were each instance to watch it then, the calls would
    grow with the fleet just when the store can bear least. Times are in seconds of the event
    loop's clock.
    """

    __slots__ = (
        "gateway",
        "feeds_by_kind",
        "store_status",
        "peers",
        "selected_at_by_source",
        "answered_at_by_source",
        "fresh_at_by_source",
        "unreachable_until_by_source",
        "lost_since_by_source",
        "lost_until_by_source",
        "stall_allowance_s_by_source",
        "failed_sources",
        "limit_clocks_by_source",
        "_tasks_by_source",
        "_probes",
        "_tasks_by_polled_peer",
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
        self.selected_at_by_source: dict[str, float] = {}
        # When the sources last answered; those that have not answered since their selection are
        # missing.
        self.answered_at_by_source: dict[str, float] = {}
        self.fresh_at_by_source: dict[str, float] = {}
        self.unreachable_until_by_source: dict[str, float] = {}
        # Since when the present sources report that they have lost the store.
        self.lost_since_by_source: dict[str, float] = {}
        # Sources that are skipped because of that, until the next probe.
        self.lost_until_by_source: dict[str, float] = {}
        # For how long the event loop has stalled since the sources last answered.
        self.stall_allowance_s_by_source: dict[str, float] = {}
        # Sources whose last poll has failed.
        self.failed_sources: set[str] = set()
        # The clocks that sources have told last; reports of limits that have ended refer to them.
        self.limit_clocks_by_source: dict[str, str] = {}
        self._tasks_by_source: dict[str, asyncio.Task[None]] = {}
        self._probes: set[asyncio.Task[None]] = set()
        self._tasks_by_polled_peer: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Select sources and poll them until cancelled."""
        try:
            while True:
                try:
                    self.follow_sources()
                except Exception:
                    # An instance that neither follows nor watches would stay behind for good.
                    self.gateway.log.exception("follower_failed")
                    self.store_status.set_following_peers(False)
                selected_at = self.gateway.now()
                await asyncio.sleep(SELECTION_INTERVAL_S)
                self.allow_for_stall(self.gateway.now() - selected_at - SELECTION_INTERVAL_S)
        finally:
            self.update_tasks([])
            for task in (*self._probes, *self._tasks_by_polled_peer.values()):
                task.cancel()

    def follow_sources(self) -> None:
        """Select the sources, and poll exactly these."""
        self.start_probes()
        sources = self.select_sources()
        self.update_tasks(sources)
        self.update_store_status(sources)
        self.start_peer_polls()
        if not sources:
            self.apply_domain_requests(self.gateway.domain_requests())

    def allow_for_stall(self, late_s: float) -> None:
        """Give the sources more time to answer after a selection that was late by `late_s`.

        Their answers may have arrived during the stall, but the polls have timed out.
        """
        if late_s < MIN_STALL_S:
            return
        for name in self._tasks_by_source:
            allowance_s = self.stall_allowance_s_by_source.get(name, 0.0) + late_s
            self.stall_allowance_s_by_source[name] = min(allowance_s, MAX_STALL_ALLOWANCE_S)

    async def catch_up(self) -> None:
        """Bring the state up to date at once, after the process stood still.

        The sources may have stood still as well, so the store is asked too. A fault in one kind or
        source is logged, and does not end the wait for the others.
        """
        sources = self._tasks_by_source if self.store_status.is_following_peers else ()
        parts = [
            *(self.poll_once(name, 0.0) for name in sources),
            *(feed.catch_up() for feed in self.feeds_by_kind.values()),
        ]
        await asyncio.gather(*(self._run_logged(part) for part in parts))

    async def _run_logged(self, part: Awaitable[object]) -> None:
        """Await a part of catching up; log an unexpected error."""
        try:
            await part
        except Exception as error:
            self.gateway.log.error("catch_up_failed", exc_info=error)

    def select_sources(self) -> list[str]:
        """Return the instances to follow; empty if this instance watches the store."""
        own = self.gateway.settings.instance
        domains_by_instance = self.peers.domains_by_instance
        domain_peers = {
            name
            for name in self.peers.addresses_by_instance
            if domains_by_instance.get(name) == self.gateway.settings.failure_domain
        }
        size = len(domain_peers | {own})
        self.gateway.traffic.instance_count = size
        self.gateway.budget.pooled_instances = size if size >= MIN_DOMAIN_INSTANCES else 0
        skipped = self.unreachable_until_by_source.keys() | self.lost_until_by_source.keys()
        return choose_sources(own, domain_peers | {own}, skipped)

    async def request_grants(self, services: Collection[str]) -> Collection[str]:
        """Ask a reader for an extra send to each service; return those for which there is one."""
        sources = self.store_status.sources
        if not self.store_status.is_following_peers:
            return self.gateway.grant_extra_sends(services)
        address = self.peers.addresses_by_instance.get(random.choice(sources)) if sources else None
        if address is None:
            return []
        own = self.gateway.settings.instance
        return await self.peers.request_grants(address, own, services)

    def start_probes(self) -> None:
        """Probe the skipped sources that are due, to find out whether they are back."""
        now = self.gateway.now()
        for until_by_source, interval_s in (
            (self.unreachable_until_by_source, UNREACHABLE_PROBE_INTERVAL_S),
            (self.lost_until_by_source, LOST_PROBE_INTERVAL_S),
        ):
            for name, until in until_by_source.items():
                if now >= until:
                    until_by_source[name] = now + interval_s
                    task = asyncio.create_task(self.probe(name))
                    self._probes.add(task)
                    task.add_done_callback(self._probes.discard)

    async def probe(self, name: str) -> None:
        """Stop skipping a source if it is back with the store, or if its entry is gone."""
        address = self.peers.addresses_by_instance.get(name)
        if address is not None:
            kind = next(iter(self.feeds_by_kind))
            response = await self.peers.poll(address, {kind: FUTURE_REVISION}, 0.0)
            if response is None:
                return
            self.unreachable_until_by_source.pop(name, None)
            if response.freshness.is_lost:
                self.lost_until_by_source.setdefault(
                    name, self.gateway.now() + LOST_PROBE_INTERVAL_S
                )
                return
            self.gateway.log.info("source_reachable", source=name)
        self.unreachable_until_by_source.pop(name, None)
        self.lost_until_by_source.pop(name, None)

    def start_peer_polls(self) -> None:
        """Poll some random instances while this one has lost the store and follows none.

        A change then arrives as soon as any of them knows it, not only between two calls to the
        store. Kinds that have never been listed are left to their feeds.
        """
        if self.store_status.is_following_peers or not self.store_status.lost_kinds:
            return
        names = [
            name
            for name in self.peers.addresses_by_instance
            if name != self.gateway.settings.instance and name not in self._tasks_by_polled_peer
        ]
        missing = LOST_STORE_PEERS - len(self._tasks_by_polled_peer)
        for name in random.sample(names, min(missing, len(names))):
            task = asyncio.create_task(self.poll_peer(name))
            self._tasks_by_polled_peer[name] = task
            task.add_done_callback(lambda _, name=name: self._tasks_by_polled_peer.pop(name))

    async def poll_peer(self, name: str) -> None:
        """Apply the changes that an instance, which is no source, knows or learns meanwhile."""
        revisions_by_kind = {
            kind: feed.revision
            for kind, feed in self.feeds_by_kind.items()
            if feed.revision is not None
        }
        eras_by_kind = {kind: self.feeds_by_kind[kind].era for kind in revisions_by_kind}
        if not revisions_by_kind:
            return
        try:
            address = self.peers.addresses_by_instance[name]
            response = await self.peers.poll(
                address, revisions_by_kind, POLL_WAIT_S, eras_by_kind=eras_by_kind
            )
            for kind, changes in response.changes_by_kind.items() if response else ():
                self.apply_changes(kind, changes)
        except Exception:
            self.gateway.log.exception("poll_failed", source=name)
            response = None
        if response is None:
            # An instance that is gone refuses at once.
            await asyncio.sleep(POLL_WAIT_S)

    def update_tasks(self, sources: list[str]) -> None:
        """Start and stop polling tasks so that exactly these sources are polled."""
        for name in self._tasks_by_source.keys() - set(sources):
            self._tasks_by_source.pop(name).cancel()
            self.answered_at_by_source.pop(name, None)
            self.fresh_at_by_source.pop(name, None)
            self.lost_since_by_source.pop(name, None)
            self.stall_allowance_s_by_source.pop(name, None)
            self.failed_sources.discard(name)
        for name in sources:
            if name not in self._tasks_by_source:
                self.selected_at_by_source[name] = self.gateway.now()
                self._tasks_by_source[name] = asyncio.create_task(self.poll(name))

    def update_store_status(self, sources: list[str]) -> None:
        """Tell the feeds whether to leave the store to the sources."""
        now = self.gateway.now()
        share = self.gateway.settings.news_wait_share
        answering_sources = [name for name in sources if self.is_answering(name)]
        is_following_peers = (
            any(
                now - self.fresh_at_by_source.get(name, float("-inf")) < max_staleness_s(share)
                for name in answering_sources
            )
            or (bool(answering_sources) and self.is_outage_left_to_sources())
            or (self.store_status.is_following_peers and any(map(self.is_pending, sources)))
        )
        self.store_status.sources = sources if is_following_peers else []
        if is_following_peers == self.store_status.is_following_peers:
            return
        ages_by_source = {
            name: round(now - self.fresh_at_by_source[name], 1)
            for name in sources
            if name in self.fresh_at_by_source
        }
        self.gateway.log.info(
            "store_followed" if is_following_peers else "store_watched",
            sources=",".join(sources),
            answering=",".join(answering_sources),
            ages_s=",".join(f"{name}:{age}" for name, age in ages_by_source.items()),
        )
        self.store_status.set_following_peers(is_following_peers)

    def is_answering(self, name: str) -> bool:
        """Return whether a source answers its polls."""
        answered_at = self.answered_at_by_source.get(name, float("-inf"))
        interval_s = max_answer_interval_s(self.gateway.settings.news_wait_share)
        interval_s += self.stall_allowance_s_by_source.get(name, 0.0)
        if name in self.lost_since_by_source:
            # Its next poll is sent after a pause. Without this allowance, answers that took 0.3 s
            # made 11 of 20 instances call a silent store, in place of 6.
            interval_s += POLL_RETRY_S
        return self.gateway.now() - answered_at < interval_s

    def is_pending(self, name: str) -> bool:
        """Return whether a source was selected just now and has had no time to answer."""
        return (
            name not in self.answered_at_by_source
            and self.gateway.now() - self.selected_at_by_source[name] < PEER_TIMEOUT_S
        )

    def is_outage_left_to_sources(self) -> bool:
        """Return whether the store fails, so that sources without it are better than more calls."""
        now = self.gateway.now()
        return (
            now - self.store_status.failed_at < MAX_UNCONFIRMED_S
            and now - self.store_status.confirmed_at < MAX_UNCONFIRMED_S
        )

    def record_lost(self, name: str) -> None:
        """Handle a source that has lost the store: skip it if it has done so for too long."""
        now = self.gateway.now()
        self.fresh_at_by_source.pop(name, None)
        lost_s = now - self.lost_since_by_source.setdefault(name, now)
        if lost_s < self.skip_lost_after_s():
            return
        self.lost_until_by_source[name] = now + LOST_PROBE_INTERVAL_S
        self.gateway.log.warning("source_lost_store", source=name, lost_s=round(lost_s, 1))

    def skip_lost_after_s(self) -> float:
        """Return for how long a source may report that it has lost the store."""
        lost_pairs = len(self.lost_until_by_source) // READERS_PER_DOMAIN
        return LOST_AFTER_S * self.gateway.settings.news_wait_share * 2**lost_pairs

    def poll_wait_s(self, name: str) -> float:
        """Return for how long a source may keep the next poll without changes."""
        if name in self.failed_sources:
            # Whether it answers at all should be known soon.
            return 0.0
        wait_s = POLL_WAIT_S * self.gateway.settings.news_wait_share
        if self.gateway.has_queued_targets:
            wait_s = min(wait_s, QUEUED_POLL_WAIT_S)
        lost_since = self.lost_since_by_source.get(name)
        if lost_since is None or len(self.lost_until_by_source) >= READERS_PER_DOMAIN:
            return wait_s
        # The first two sources without the store are polled again when they are due to be skipped.
        # A full poll ends up to 0.8 s later, and a change would then take more than 5 s. The next
        # ones are not, which saves calls in an outage of the store.
        due_s = lost_since + self.skip_lost_after_s() - self.gateway.now()
        return min(wait_s, max(due_s, 0.0) + POLL_ROUNDING_S)

    async def poll(self, name: str) -> None:
        """Poll one source until cancelled; the first poll does not wait for changes."""
        wait_s: float | None = 0.0
        while True:
            try:
                is_usable = await self.poll_once(name, wait_s)
            except Exception:
                self.gateway.log.exception("poll_failed", source=name)
                self.record_poll_failure(name)
                is_usable = False
            wait_s = None
            if not is_usable:
                await asyncio.sleep(POLL_RETRY_S)

    async def poll_once(self, name: str, wait_s: float | None = None) -> bool:
        """Poll a source and apply its changes; return whether it answered and has the store.

        Without changes it answers after `wait_s`, or after the usual time.
        """
        revisions_by_kind = {
            kind: -1 if feed.revision is None else feed.revision
            for kind, feed in self.feeds_by_kind.items()
        }
        eras_by_kind = {kind: feed.era for kind, feed in self.feeds_by_kind.items()}
        address = self.peers.addresses_by_instance.get(name)
        response = None
        if address is not None:
            if wait_s is None:
                wait_s = self.poll_wait_s(name)
            report = self.make_report() | self.make_limit_report(name)
            polled_at = self.gateway.now()
            response = await self.peers.poll(
                address, revisions_by_kind, wait_s, report, eras_by_kind
            )
        if response is None:
            self.record_poll_failure(name)
            return False
        self.apply_limit_ends(name, response.freshness, polled_at)
        self.handle_response(name, response)
        if response.freshness.is_lost:
            self.record_lost(name)
            return False
        self.lost_since_by_source.pop(name, None)
        return True

    def make_report(self) -> dict[str, str | int]:
        """Return the parameters with which this instance reports to its sources."""
        report: dict[str, str | int] = {
            INSTANCE_PARAMETER: self.gateway.settings.instance,
            REQUESTS_PARAMETER: self.gateway.budget.requests(self.gateway.now()),
        }
        observations = self.gateway.own_observations()
        if observations:
            report[OBSERVATIONS_PARAMETER] = encode_observations(observations)
        return report

    def make_limit_report(self, name: str) -> dict[str, str]:
        """Return the parameters that tell a source of limits that have ended, if there may be."""
        limit_ends, now = self.gateway.limit_ends, self.gateway.now()
        if not limit_ends.is_active(now):
            return {}
        clock = self.limit_clocks_by_source.get(name, "")
        report = {LIMIT_CLOCK_PARAMETER: clock}
        ends = limit_ends.collect(now)
        if clock and ends:
            report[LIMIT_ENDS_PARAMETER] = encode_limit_ends(ends)
        return report

    def apply_limit_ends(self, name: str, freshness: RelayFreshness, polled_at: float) -> None:
        """Use the ends of limits in a response, and keep the clock of the source."""
        if freshness.limit_clock is msgspec.UNSET:
            self.limit_clocks_by_source.pop(name, None)
        else:
            self.limit_clocks_by_source[name] = freshness.limit_clock
        if freshness.limit_ends is not msgspec.UNSET:
            self.gateway.apply_limit_ends(freshness.limit_ends, polled_at)

    def apply_domain_requests(self, requests: int | None) -> None:
        """Divide the budget by the requests of the failure domain, if they are known."""
        if requests is not None:
            self.gateway.budget.set_domain_traffic(
                requests, self.gateway.traffic.instance_count, self.gateway.now()
            )

    def record_poll_failure(self, name: str) -> None:
        """Handle a failed poll: skip the source if it has not answered for too long."""
        self.failed_sources.add(name)
        now = self.gateway.now()
        silent_s = now - self.answered_at_by_source.get(name, self.selected_at_by_source[name])
        if silent_s < UNREACHABLE_AFTER_S:
            return
        self.unreachable_until_by_source[name] = now + UNREACHABLE_PROBE_INTERVAL_S
        self.gateway.log.warning("source_unreachable", source=name, silent_s=round(silent_s, 1))

    def apply_changes(self, kind: str, changes: RelayChanges) -> None:
        """Apply the changes of one kind; after an error list all objects from the store again."""
        feed = self.feeds_by_kind[kind]
        try:
            feed.apply(decode_changes(changes))
        except Exception:
            self.gateway.log.exception("feed_failed", kind=kind, revision=changes.revision)
            feed.must_list = True
            self.store_status.set_following_peers(False)

    def handle_response(self, name: str, response: RelayResponse) -> None:
        """Apply the changes in a source's response, and record how fresh the source is."""
        now = self.gateway.now()
        self.answered_at_by_source[name] = now
        self.stall_allowance_s_by_source.pop(name, None)
        self.failed_sources.discard(name)
        self.apply_domain_requests(response.freshness.domain_requests)
        self.gateway.apply_observations(response.freshness.observations)
        if response.freshness.failed_age_s is not None:
            self.store_status.failed_at = max(
                self.store_status.failed_at, now - response.freshness.failed_age_s
            )
        for kind, changes in response.changes_by_kind.items():
            self.apply_changes(kind, changes)
        if response.freshness.age_s is None or response.freshness.is_lost:
            return
        source_era = response.freshness.era
        if (NO_ERA if source_era is msgspec.UNSET else source_era) < self.store_status.era:
            # The source knows the state before the store came back from an older copy only.
            return
        # The response may have been in transit for up to the timeout.
        fresh_at = now - response.freshness.age_s - PEER_TIMEOUT_S
        self.fresh_at_by_source[name] = max(self.fresh_at_by_source.get(name, fresh_at), fresh_at)
        self.store_status.confirmed_at = max(self.store_status.confirmed_at, fresh_at)
