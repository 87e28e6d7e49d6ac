"""Feeds that keep local state in sync with the platform's store.

There is one feed for each kind of object: the configuration, targets, evacuations and the gateway's
own instances. A feed lists its kind once and then watches it, so a change arrives as soon as it is
made. While the store is unavailable, the last known state stays in force. While other instances
relay the store's updates (`follower.py`), the feeds send no calls to the store.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection

from ..platform import entries
from ..platform.objects import ObjectStore
from ..platform.tenants import has_tenants
from ..store import StoreFailure, StoreReason
from .beliefs import reconcile
from .directory import OUTAGE_DELETION_WINDOW_S
from .model import InstanceSettings, StoredRecord, StoredRecords
from .news_waits import compute_watch_wait
from .picture import ConfigurationUpdater, EvacuationUpdater, InstanceUpdater, TargetUpdater
from .position import NO_ERA, StorePosition
from .relay import PeerClient
from .rollout_feed import RolloutUpdater
from .state import Gateway

# Longest wait of one watch of the configuration. All feeds detect a store that has stopped
# answering within this time plus the call's own timeout.
CONFIGURATION_WATCH_WAIT_S = 8.0
# The same limit while other instances follow this one: they detect a silent store no earlier. This
# and the next one are shorter where news have to arrive earlier (`news_waits.py`).
READER_WATCH_WAIT_S = 2.5
# How long after its wait such a watch counts as unanswered. With a call's own timeout of 1.5 s, the
# followers gave up their sources 0.15 s before these knew of a silence that began late in a watch,
# and 73 of 143 instances called the store. A slow store takes 0.24 s for an answer. A store that
# takes longer than this, but less than a call's timeout, must not count as silent for good: with
# 1.3 s no instance learned of a change any more, since all are polled while the store is lost.
READER_ANSWER_S = 1.0
# An instance that was polled within this time has followers; a follower polls every second.
FOLLOWER_TIMEOUT_S = 5.0
# The other watches wait as long as the store allows, because each call is billed, but not beyond a
# share of the time for which the store keeps its history: a watch from a discarded revision fails,
# and the whole kind has to be listed again.
MAX_WATCH_WAIT_S = 29.0
WATCH_WAIT_HISTORY_SHARE = 0.75
# Longest wait of a watch while any feed has lost the store. A longer watch sent while the store was
# silent would hang for its full wait after the store's return. Until the first watch returns, the
# feed counts as lost, also for the instances that follow this one.
LOST_STORE_WATCH_WAIT_S = 0.3
# While the store is lost, only the configuration feed probes it. Each other feed waits for that
# feed to get an answer, polls a peer after every interval, and calls the store itself after
# `LOST_STORE_POLLS` intervals.
LOST_STORE_POLL_INTERVAL_S = 1.0
LOST_STORE_POLLS = 4
# Pause between watches, so that changes in quick succession are fetched in one call.
WATCH_PAUSE_S = 0.15
# Targets that start together register one by one over several seconds, and each watch is billed.
# The delay is acceptable: a leaving target may be used for several seconds, and a dead one is
# detected from failed sends.
TARGET_WATCH_PAUSE_S = 0.8
# Instances register at the same time when a fleet starts; their count may lag by this pause.
INSTANCE_WATCH_PAUSE_S = 1.0
# Pause before the first watch of a process, to leave time to find peers that relay updates. The
# instances are watched first, since a list that may be stale lacks those that start as well.
FIRST_INSTANCES_WATCH_PAUSE_S = 0.6
FIRST_WATCH_PAUSE_S = 1.4
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
# Lower limit for an instance that is not ready: it can't serve until it has the configuration.
MAX_STARTUP_BACKOFF_S = 0.4
# The settings may name roll-outs where the store does not know the kind yet.
UNKNOWN_KIND_RETRY_S = 5.0
# Deletions remembered for each kind, to answer peers that ask for changes since a revision.
MAX_REMEMBERED_DELETIONS = 1000
MAX_LOGGED_NAMES = 10
MAX_LOGGED_CHARACTERS = 300


class StoreStatus:
    """Availability of the store, as shared by all feeds.

    When one feed loses the store, all other feeds are notified. Times are in seconds of the event
    loop's clock.
    """

    __slots__ = (
        "now",
        "failed_at",
        "confirmed_at",
        "polled_at",
        "sources",
        "lost_kinds",
        "era",
        "_loss_event",
        "_answer_event",
        "_update_event",
        "_watch_event",
        "_not_following_peers",
    )

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        # When a call of a feed to the store last failed.
        self.failed_at = float("-inf")
        # When the store last confirmed the local state, either to this instance or to the peer
        # that relayed it.
        self.confirmed_at = float("-inf")
        # When another instance last polled this one.
        self.polled_at = float("-inf")
        # The instances that are followed in place of the store.
        self.sources: list[str] = []
        # The kinds whose feeds have lost the store.
        self.lost_kinds: set[str] = set()
        # The highest era of the store that this instance has heard of.
        self.era = NO_ERA
        self._loss_event = asyncio.Event()
        self._answer_event = asyncio.Event()
        self._update_event = asyncio.Event()
        self._watch_event = asyncio.Event()
        # Set while this instance has to watch the store itself.
        self._not_following_peers = asyncio.Event()
        self._not_following_peers.set()

    def notify_loss(self) -> None:
        """Wake all feeds that wait in a watch, because one of them has lost the store."""
        self._loss_event.set()
        self._loss_event = asyncio.Event()

    async def wait_for_loss(self) -> None:
        """Wait until a feed loses the store."""
        await self._loss_event.wait()

    def note_era(self, era: int) -> None:
        """Record an era of the store; a later one ends the watches of all feeds."""
        if era > self.era:
            self.era = era
            self.notify_loss()

    def record_answer(self) -> None:
        """Record that the store has answered, and wake the feeds that wait for an answer."""
        self.confirmed_at = self.now()
        self._answer_event.set()
        self._answer_event = asyncio.Event()

    async def wait_for_answer(self, wait_s: float) -> bool:
        """Wait for up to `wait_s` until the store answers any feed; return whether it did."""
        return await wait_for_event(self._answer_event, wait_s)

    @property
    def is_following_peers(self) -> bool:
        """Whether other instances relay updates, so that the store need not be watched."""
        return not self._not_following_peers.is_set()

    def set_following_peers(self, is_following_peers: bool) -> None:
        """Set whether other instances relay updates."""
        if is_following_peers:
            self._not_following_peers.clear()
        else:
            self._not_following_peers.set()

    async def wait_until_not_following_peers(self) -> None:
        """Wait until this instance has to watch the store itself."""
        await self._not_following_peers.wait()

    def notify_watch(self) -> None:
        """Wake the probe, because a feed sends a watch."""
        self._watch_event.set()

    async def wait_for_watch(self, wait_s: float) -> bool:
        """Wait for up to `wait_s` until a watch is sent, also before this call.

        Return whether one was sent.
        """
        is_sent = await wait_for_event(self._watch_event, wait_s)
        self._watch_event.clear()
        return is_sent

    def notify_update(self) -> None:
        """Wake the polls of other instances that wait for an update."""
        self._update_event.set()
        self._update_event = asyncio.Event()

    async def wait_for_update(self, wait_s: float) -> None:
        """Wait for an update for up to `wait_s`."""
        await wait_for_event(self._update_event, wait_s)

    def record_poll(self) -> None:
        """Record a poll by another instance."""
        self.polled_at = self.now()

    @property
    def has_followers(self) -> bool:
        """Whether other instances follow this one."""
        return self.now() - self.polled_at < FOLLOWER_TIMEOUT_S

    def age_s(self) -> float | None:
        """Return how long ago the store last confirmed the local state; None if never."""
        return self._elapsed_s(self.confirmed_at)

    def failed_age_s(self) -> float | None:
        """Return how long ago a call to the store last failed; None if never."""
        return self._elapsed_s(self.failed_at)

    def _elapsed_s(self, at: float) -> float | None:
        return None if at == float("-inf") else self.now() - at


class Feed:
    """Keeps the gateway's state for one kind of object up to date.

    `apply_list` gets all objects of the kind, `apply_changes` the changed ones. Both also get
    whether the store has failed recently.
    """

    __slots__ = (
        "gateway",
        "store",
        "kind",
        "apply_list",
        "apply_changes",
        "peers",
        "store_status",
        "wait_s",
        "pause_s",
        "revision",
        "records_by_name",
        "era",
        "held_by_name",
        "refused_by_name",
        "era_changed",
        "predecessor",
        "must_list",
        "deletions_by_name",
        "history_start",
        "allow_stale_list",
        "listed",
        "is_store_slow",
    )

    def __init__(
        self,
        gateway: Gateway,
        store: ObjectStore,
        kind: str,
        apply_list: Callable[[list[StoredRecord], bool], None],
        apply_changes: Callable[[list[StoredRecord], bool], None],
        peers: PeerClient,
        store_status: StoreStatus,
        wait_s: float = MAX_WATCH_WAIT_S,
        pause_s: float = WATCH_PAUSE_S,
    ) -> None:
        self.gateway = gateway
        self.store = store
        self.store_status = store_status
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.kind = kind
        self.apply_list = apply_list
        self.apply_changes = apply_changes
        self.peers = peers
        # None before the first list.
        self.revision: int | None = None
        # The era in which the revision counts.
        self.era = NO_ERA
        # Objects that stay in force for a while although the store, which came back from an older
        # copy, does not have them or has them as they were before.
        self.held_by_name: dict[str, StoredRecord] = {}
        # Deletions of objects that it shows again, which are out of force for the same time.
        self.refused_by_name: dict[str, StoredRecord] = {}
        self.era_changed = asyncio.Event()
        # The feed whose news must not be overtaken by the end of an object of this one.
        self.predecessor: Feed | None = None
        self.records_by_name: dict[str, StoredRecord] = {}
        # True before the first list, after the store has discarded its history, and after an error.
        self.must_list = True
        # Deletions, with the revisions at which they were received, for the followers of this
        # instance. `history_start` is the revision since which they are complete.
        self.deletions_by_name: dict[str, StoredRecord] = {}
        self.history_start = 0
        # The first list may be seconds old, which is cheaper: the watch that follows returns at
        # once what has changed since. A later stale list would revert newer state.
        self.allow_stale_list = True
        self.listed = asyncio.Event()
        # Whether the last watch without changes was answered later than a reader's may be.
        self.is_store_slow = False

    async def run(self) -> None:
        """Keep the state in sync with the store until cancelled."""
        backoff_s = INITIAL_BACKOFF_S
        is_first = True
        while True:
            if self.store_status.is_following_peers and not self.must_list:
                self.record_recovery()
                await self.store_status.wait_until_not_following_peers()
            try:
                failure = await self.sync_once()
            except Exception:
                # An error on one object must not end the feed; all objects are listed again.
                self.gateway.log.exception("feed_failed", kind=self.kind, revision=self.revision)
                self.must_list = True
                failure = StoreFailure(StoreReason.UNAVAILABLE, "unexpected error in the feed")
            if failure is None:
                backoff_s = INITIAL_BACKOFF_S
                await asyncio.sleep(self.first_pause_s if is_first else self.pause_s)
                is_first = False
                continue
            if failure.reason is StoreReason.HISTORY_GONE:
                # The store is available but has discarded the revision; list the kind again.
                self.gateway.log.info("history_discarded", kind=self.kind, revision=self.revision)
                self.must_list = True
                await asyncio.sleep(random.random() * INITIAL_BACKOFF_S)
                continue
            self.record_failure(failure)
            await self.fetch_from_peer()
            if self.is_probing_feed or self.must_list:
                await asyncio.sleep(backoff_s * (0.5 + random.random()))
            else:
                await self.wait_for_store()
            limit_s = MAX_BACKOFF_S if self.gateway.is_ready else MAX_STARTUP_BACKOFF_S
            backoff_s = min(backoff_s * 2, limit_s)

    async def sync_once(self) -> None | StoreFailure:
        """List the kind, or watch for its next changes, and apply the result."""
        if self.must_list:
            result = await self.store.list_objects(self.kind, self.allow_stale_list)
        else:
            result = await self.watch()
        self.store_status.note_era(self.store.era)
        if isinstance(result, StoreFailure):
            if result.reason is StoreReason.OUTDATED:
                # A stale list may be of an earlier era.
                self.allow_stale_list = False
            is_unknown_kind = result.reason is StoreReason.NOT_FOUND and self.revision is None
            if is_unknown_kind and self.kind == entries.ROLLOUTS:
                return await self.wait_for_kind()
            return result
        if result.era < self.store_status.era:
            self.allow_stale_list = False
            message = f"answer of era {result.era}, the store is in {self.store_status.era}"
            return StoreFailure(StoreReason.OUTDATED, message)
        missed = await self.list_missed(result)
        self.store_status.record_answer()
        self.record_recovery()
        if self.predecessor is not None and self.ends_objects(result):
            await self.predecessor.catch_up()
        self.apply(result)
        if missed is not None:
            self.apply(missed)
        return None

    def ends_objects(self, result: StoredRecords) -> bool:
        """Return whether a result tells that an object is gone."""
        if result.is_whole:
            return bool(self.records_by_name.keys() - {item.name for item in result.records})
        return any(item.value is None for item in result.records)

    async def list_missed(self, result: StoredRecords) -> StoredRecords | None:
        """Return what a first list lacks that may be stale, if a key may have been removed since.

        The store that does not tell it is in trouble, and the last known state counts.
        """
        if not self.must_list or not self.allow_stale_list or not self.is_probing_feed:
            return None
        if not (
            self.gateway.settings.demands_keys
            or any(has_tenants(record.value) for record in result.records)
        ):
            return None
        missed = await self.store.watch(self.kind, result.revision, 0.0)
        if isinstance(missed, StoreFailure) and missed.reason is StoreReason.HISTORY_GONE:
            missed = await self.store.list_objects(self.kind)
        return None if isinstance(missed, StoreFailure) else missed

    async def wait_for_kind(self) -> None:
        """Serve without objects of a kind that the store does not know, and list it again later."""
        self.apply_list([], False)
        self.must_list = True
        await asyncio.sleep(UNKNOWN_KIND_RETRY_S)

    async def catch_up(self) -> None:
        """Apply what has changed up to now, beside the watch in flight."""
        if self.revision is None:
            return
        result = await self.store.watch(self.kind, self.revision, 0.0)
        if not isinstance(result, StoreFailure):
            self.apply(result)

    async def watch(self) -> StoredRecords | StoreFailure:
        """Wait for changes; fail early if another feed loses the store.

        A watch from a revision of an earlier era would miss what was written before the store gave
        that revision out again.
        """
        if self.era < self.store_status.era:
            return StoreFailure(StoreReason.HISTORY_GONE, "the store is in a later era")
        wait_s = self.watch_wait_s()
        sent_at = self.store_status.now()
        watch_task = asyncio.create_task(self.store.watch(self.kind, self.revision, wait_s))
        loss_task = asyncio.create_task(self.store_status.wait_for_loss())
        self.store_status.notify_watch()
        try:
            limit_s = wait_s + self.reader_answer_s if self.must_detect_silence else None
            done, _ = await asyncio.wait(
                {watch_task, loss_task}, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
            )
            if watch_task.done():
                result = watch_task.result()
                if isinstance(result, StoredRecords) and not result.records:
                    late_s = self.store_status.now() - sent_at - wait_s
                    self.is_store_slow = late_s > self.reader_answer_s
                return result
            if self.era < self.store_status.era:
                return StoreFailure(StoreReason.HISTORY_GONE, "the store is in a later era")
            if not done:
                return StoreFailure(StoreReason.UNAVAILABLE, "the watch is not answered in time")
            return StoreFailure(StoreReason.UNAVAILABLE, "another feed has lost the store")
        finally:
            watch_task.cancel()
            loss_task.cancel()

    def watch_wait_s(self) -> float:
        """Return for how long the next watch may wait for a change."""
        if self.store_status.lost_kinds:
            return LOST_STORE_WATCH_WAIT_S
        settings = self.gateway.settings
        wait_s = min(self.wait_s, settings.store_history_s * WATCH_WAIT_HISTORY_SHARE)
        delay_s = news_delay_s(self.kind, settings)
        if delay_s is not None:
            wait_s = min(wait_s, compute_watch_wait(delay_s, settings.stability_s))
        if self.is_awaited_by_followers:
            # After the longer pause before the first watch, a whole wait would last until the
            # followers have given up this source.
            reader_wait_s = READER_WATCH_WAIT_S * settings.news_wait_share
            due_s = reader_wait_s + WATCH_PAUSE_S - (self.store_status.age_s() or 0.0)
            return min(wait_s, reader_wait_s, max(due_s, LOST_STORE_WATCH_WAIT_S))
        return wait_s

    @property
    def reader_answer_s(self) -> float:
        """How long after its wait a watch counts as unanswered while others rely on it."""
        return READER_ANSWER_S * self.gateway.settings.news_wait_share

    @property
    def is_awaited_by_followers(self) -> bool:
        """Whether other instances rely on this feed to detect a silent store in time."""
        return self.is_probing_feed and self.store_status.has_followers

    @property
    def must_detect_silence(self) -> bool:
        """Whether a watch counts as unanswered before the call's own timeout.

        Followers know already while the store is lost, and a slow store is not silent.
        """
        is_detected = bool(self.store_status.lost_kinds) or self.is_store_slow
        return self.is_awaited_by_followers and not is_detected

    async def wait_for_store(self) -> None:
        """Poll peers until the store answers, peers relay updates, or the own call is due."""
        for _ in range(LOST_STORE_POLLS):
            if (
                await self.store_status.wait_for_answer(LOST_STORE_POLL_INTERVAL_S)
                or self.store_status.is_following_peers
            ):
                return
            await self.fetch_from_peer()

    @property
    def has_lost_store(self) -> bool:
        """Whether the last call to the store has failed."""
        return self.kind in self.store_status.lost_kinds

    @property
    def is_probing_feed(self) -> bool:
        """Whether this feed detects for all feeds that the store is unavailable or back."""
        return self.kind == entries.CONFIGURATIONS

    @property
    def first_pause_s(self) -> float:
        """Pause before the first watch, in seconds."""
        if self.kind == entries.INSTANCES:
            return FIRST_INSTANCES_WATCH_PAUSE_S
        return FIRST_WATCH_PAUSE_S

    async def fetch_from_peer(self) -> None:
        """Apply the changes that a random other instance knows, if any."""
        since = -1 if self.revision is None else self.revision
        result = await self.peers.fetch(self.kind, since, self.era)
        if result is None:
            return
        self.gateway.log.info(
            "picture_from_peer", kind=self.kind, before=since, revision=result.revision
        )
        self.apply(result)

    @property
    def position(self) -> StorePosition:
        """Up to where this feed knows the objects; only after the first list."""
        return StorePosition(self.era, self.revision or 0)

    def apply(self, result: StoredRecords) -> None:
        """Apply all objects, or changes since the known revision, unless they are outdated.

        Several sources may deliver the same changes. Changes in a later era say nothing without
        the list that precedes them.
        """
        self.store_status.note_era(result.era)
        if result.era < self.store_status.era:
            return
        is_later_era = False
        if self.revision is not None:
            if result.position < self.position:
                return
            is_later_era = result.era > self.era
        if is_later_era and not result.is_whole:
            self.must_list = True
            return
        if is_later_era:
            self.begin_era(result)
            return
        had_recent_outage = (
            self.gateway.now() - self.store_status.failed_at < OUTAGE_DELETION_WINDOW_S
        )
        if result.is_whole:
            self.apply_list(result.records, had_recent_outage)
        else:
            self.apply_changes(result.records, had_recent_outage)
        self.remember(result)
        for record in result.records:
            self.held_by_name.pop(record.name, None)
            self.refused_by_name.pop(record.name, None)
        self.finish_apply(bool(result.records))

    def finish_apply(self, has_changes: bool) -> None:
        """Go on to watch, and wake the polls of followers if there are changes."""
        self.must_list = False
        self.allow_stale_list = False
        self.listed.set()
        if has_changes:
            self.store_status.notify_update()

    def begin_era(self, result: StoredRecords) -> None:
        """Apply the list of a store that came back from an older copy.

        What the copy lacks stays in force until it is written again, or for `belief_hold_s`.
        """
        before = self.position
        known_by_name = self.records_by_name | self.held_by_name
        for name in self.refused_by_name:
            known_by_name.pop(name, None)
        deletions_by_name = self.deletions_by_name | self.refused_by_name
        beliefs = reconcile(self.kind, known_by_name, deletions_by_name, result.records)
        self.apply_list(beliefs.records, True)
        self.deletions_by_name = {}
        self.records_by_name = {}
        self.remember(result)
        self.history_start = result.revision
        self.held_by_name = beliefs.held_by_name
        self.refused_by_name = beliefs.refused_by_name
        missing = known_by_name.keys() - self.records_by_name.keys()
        self.gateway.log.warning(
            "store_era_changed",
            kind=self.kind,
            before=repr(before),
            after=repr(self.position),
            followed=self.store_status.is_following_peers,
            listed=len(result.records),
            missing=len(missing),
            held=describe_names(beliefs.held_by_name),
            refused=describe_names(beliefs.refused_by_name),
        )
        self.gateway.metrics.count("gateway_store_era_changes_total", kind=self.kind)
        if beliefs.held_by_name or beliefs.refused_by_name:
            asyncio.get_running_loop().call_later(
                self.gateway.settings.belief_hold_s, self.end_beliefs, self.era
            )
        self.finish_apply(has_changes=True)
        self.era_changed.set()

    def end_beliefs(self, era: int) -> None:
        """Give up what nobody has written again since the era began, unless a later one did."""
        if era != self.era:
            return
        if self.held_by_name:
            names = describe_names(self.held_by_name)
            self.gateway.log.warning("store_beliefs_ended", kind=self.kind, names=names)
        self.held_by_name, self.refused_by_name = {}, {}
        self.apply_list(list(self.records_by_name.values()), False)

    def remember(self, result: StoredRecords) -> None:
        """Keep objects and deletions for the followers of this instance."""
        known_by_name = self.records_by_name
        if result.is_whole:
            self.records_by_name = {}
            for name in known_by_name.keys() - {record.name for record in result.records}:
                self.remember_deletion(name, result.revision, known_by_name[name].value)
        # One answer may hold several events of an object, of which the last one counts.
        for record in result.records:
            if record.value is not None:
                self.records_by_name[record.name] = record
                self.deletions_by_name.pop(record.name, None)
                continue
            known = self.records_by_name.pop(record.name, record)
            last_value = known.value if record.last_value is None else record.last_value
            self.remember_deletion(record.name, result.revision, last_value)
        while len(self.deletions_by_name) > MAX_REMEMBERED_DELETIONS:
            oldest = next(iter(self.deletions_by_name))
            self.history_start = self.deletions_by_name.pop(oldest).revision
        if self.revision is None:
            self.history_start = result.revision
        self.era, self.revision = result.era, result.revision

    def remember_deletion(self, name: str, revision: int, last_value: object) -> None:
        """Keep a deletion that was received with a revision.

        The last value matters for targets only: it tells whether one had said that it leaves.
        """
        if self.kind != entries.TARGETS:
            last_value = None
        # Reinsert at the end, so that the oldest deletions come first.
        self.deletions_by_name.pop(name, None)
        self.deletions_by_name[name] = StoredRecord(name, revision, None, last_value)

    def changes_since(self, since: int, era: int | None = None) -> StoredRecords | None:
        """Return what has changed since a revision of an era; None if nothing has.

        Return all objects if the deletions since that revision are no longer complete, and after
        an earlier era. An instance of an earlier version names none.
        """
        if era is None:
            era = self.era
        if self.revision is None or self.position <= StorePosition(era, since):
            return None
        if era < self.era or since < self.history_start:
            records = list(self.records_by_name.values())
            return StoredRecords(records, self.revision, is_whole=True, era=self.era)
        records = [item for item in self.records_by_name.values() if item.revision > since]
        records += [item for item in self.deletions_by_name.values() if item.revision > since]
        return StoredRecords(records, self.revision, is_whole=False, era=self.era)

    def record_failure(self, failure: StoreFailure) -> None:
        """Record a failed call to the store; log the loss and notify the other feeds once."""
        if not self.has_lost_store:
            self.store_status.lost_kinds.add(self.kind)
            self.store_status.notify_loss()
            # Followers that know of an outage leave the store to a few instances.
            self.store_status.notify_update()
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
        self.store_status.failed_at = self.gateway.now()

    def record_recovery(self) -> None:
        """Record and log that the store, or a peer in its place, delivers updates again."""
        if self.has_lost_store:
            self.store_status.lost_kinds.remove(self.kind)
            self.gateway.log.info("store_regained", kind=self.kind, revision=self.revision)


def describe_names(names: Collection[str]) -> str:
    """Return some names and how many there are, for a log line."""
    some = ",".join(sorted(names)[:MAX_LOGGED_NAMES])
    return f"{len(names)}: {some[:MAX_LOGGED_CHARACTERS]}" if names else "0"


def news_delay_s(kind: str, settings: InstanceSettings) -> float | None:
    """Return after how many seconds news of a kind have to be in force; None without a bound."""
    match kind:
        case entries.CONFIGURATIONS:
            return settings.configuration_delay_s
        case entries.EVACUATIONS:
            return settings.evacuation_delay_s
        case entries.TARGETS:
            return settings.drain_delay_s
        case _:
            return None


async def wait_for_event(event: asyncio.Event, wait_s: float) -> bool:
    """Wait for an event for up to `wait_s`; return whether it was set."""
    try:
        async with asyncio.timeout(wait_s):
            return await event.wait()
    except TimeoutError:
        return False


def make_feeds(
    gateway: Gateway, store: ObjectStore, peers: PeerClient, store_status: StoreStatus
) -> dict[str, Feed]:
    """Return the feeds for all kinds that the gateway uses, by kind."""
    store.on_odd_era = lambda detail: gateway.log.warning("store_era_odd", detail=detail)
    configuration = ConfigurationUpdater(gateway)
    targets = TargetUpdater(gateway)
    evacuations = EvacuationUpdater(gateway)
    instances = InstanceUpdater(gateway, peers)
    callbacks_by_kind = {
        entries.CONFIGURATIONS: (configuration.apply, configuration.apply),
        entries.TARGETS: (targets.apply_list, targets.apply_changes),
        entries.EVACUATIONS: (evacuations.apply_list, evacuations.apply_changes),
        entries.INSTANCES: (instances.apply_list, instances.apply_changes),
    }
    feeds_by_kind = {
        kind: Feed(gateway, store, kind, apply_list, apply_changes, peers, store_status)
        for kind, (apply_list, apply_changes) in callbacks_by_kind.items()
    }
    if gateway.settings.has_rollouts:
        rollouts = RolloutUpdater(gateway)
        feed = feeds_by_kind[entries.ROLLOUTS] = Feed(
            gateway,
            store,
            entries.ROLLOUTS,
            rollouts.apply_list,
            rollouts.apply_changes,
            peers,
            store_status,
        )
        # A stale list may lack that a version was completed or rolled back.
        feed.allow_stale_list = False
    feeds_by_kind[entries.CONFIGURATIONS].wait_s = CONFIGURATION_WATCH_WAIT_S
    feeds_by_kind[entries.TARGETS].pause_s = TARGET_WATCH_PAUSE_S
    # The targets of a failure domain may have become cold just before its evacuation ends.
    feeds_by_kind[entries.EVACUATIONS].predecessor = feeds_by_kind[entries.TARGETS]
    feeds_by_kind[entries.INSTANCES].pause_s = INSTANCE_WATCH_PAUSE_S
    return feeds_by_kind
