"""Messages and writes of roll-outs: reports to the coordinator, leases, states in the store.

Each instance reports to the coordinator of an order, and gets a lease. The coordinator is the first
known instance that answers, in an order that differs between orders. It decides
(`rollout_coordinator.py`), tells the instances to ask again at once after a step, and writes the
state. Nothing here runs while there is no order.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable, Mapping

import msgspec

from ..errors import Failure
from ..platform import decode
from ..platform.entries import ROLLOUTS
from ..platform.objects import ObjectStore
from ..store import StoreFailure, StoreReason
from .datagrams import DatagramPeer
from .model import RolloutOrder, RolloutState, StoredRecord
from .rollout_coordinator import LEASE_S, Coordinator, Phase
from .rollout_evidence import Report
from .rollout_feed import RolloutUpdater
from .rollouts import Lease, ServiceVersions
from .state import Gateway
from .status import RolloutStatus

REPORT_KIND = "rollout.report"
# Tells an instance to report at once.
NOTICE_KIND = "rollout.notice"
# Asks an instance to write a state that the coordinator cannot write.
WRITE_KIND = "rollout.write"
# A round trip between failure domains takes 8 ms; a busy instance answers later.
ASK_TIMEOUT_S = 0.2
# Questions without an answer after which the next instance in order is asked, and for how long.
MAX_LOST_QUESTIONS = 2
UNREACHABLE_S = 3.0
# The entries of instances that are gone for good stay in the store. One that comes back tells the
# others by its notices.
NEVER_REACHED_S = 20.0
# How often a coordinator asks those that do not report to it, and for how long an answer counts.
NOTICE_AGAIN_S = 1.0
ANSWERING_S = 3.0
MAX_CANDIDATES = 4
IDLE_TICK_S = 0.25
TICK_S = 0.05
# After a gap between two ticks, others have taken over, and what the process knew is too old.
MAX_TICK_GAP_S = 1.5
# Reports that bad answers cause are at least this far apart.
MIN_REPORT_INTERVAL_S = 0.1
REPORT_RETRY_S = 0.3
# Intervals of reports differ by up to this share, and notices are sent in batches: the buffer of
# the coordinator's socket holds some 150 reports.
REPORT_SPREAD = 0.2
NOTICE_BATCH = 32
NOTICE_INTERVAL_S = 0.01
FIRST_WRITE_RETRY_S = 0.1
MAX_WRITE_RETRY_S = 1.0


class LeaseMessage(msgspec.Struct, array_like=True):
    """The coordinator's answer to a report; see `Lease`.

    `valid_ms` counts from when the question was asked. `report_ms` is when to report again.
    """

    share: float
    is_final: bool
    is_stopped: bool
    epoch: int
    valid_ms: int
    report_ms: int
    coordinator: str


class StateOrder(msgspec.Struct, array_like=True):
    """The state of an order that an instance is asked to write."""

    service: str
    version: str
    state: str


REPORT_DECODER = msgspec.msgpack.Decoder(Report)
LEASE_DECODER = msgspec.msgpack.Decoder(LeaseMessage)
NOTICE_DECODER = msgspec.msgpack.Decoder(str)
KNOWN_ORDER = msgspec.msgpack.encode(True)
STATE_DECODER = msgspec.msgpack.Decoder(StateOrder)
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)


class OrderTasks:
    """What this instance does for the order of a service."""

    __slots__ = (
        "incarnation",
        "coordinator_name",
        "coordinator",
        "next_report_at",
        "reported_at",
        "report_task",
        "write_task",
        "write_state",
        "next_notice_at",
        "answered_at_by_name",
        "_names",
        "_ranked",
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        # Which instance answered the last report; None before.
        self.coordinator_name: str | None = None
        # The decisions, while this instance is the coordinator or others take it for that.
        self.coordinator: Coordinator | None = None
        self.next_report_at = 0.0
        self.reported_at = 0.0
        self.report_task: asyncio.Task[None] | None = None
        self.write_task: asyncio.Task[None] | None = None
        self.write_state: RolloutState | None = None
        self.next_notice_at = 0.0
        # When instances last answered a notice, and knew the order.
        self.answered_at_by_name: dict[str, float] = {}
        self._names: frozenset[str] = frozenset()
        self._ranked: list[str] = []

    def rank(self, order: RolloutOrder, names: frozenset[str]) -> list[str]:
        """Return the instances in the order in which they coordinate."""
        if names != self._names:
            self._names = names
            self._ranked = sorted(names, key=lambda name: rank_coordinator(order, name))
        return self._ranked

    def cancel(self) -> None:
        """End the tasks, since the order is decided or gone."""
        for task in (self.report_task, self.write_task):
            if task is not None:
                task.cancel()


class RolloutAgent:
    """Reports, coordinates and writes states; owned by one event loop.

    `addresses_by_instance` holds the other known instances.
    """

    __slots__ = (
        "gateway",
        "rollouts",
        "datagrams",
        "store",
        "updater",
        "addresses_by_instance",
        "clock",
        "tasks_by_service",
        "_unreachable_until_by_instance",
        "_reached",
        "_notices",
        "_ticked_at",
    )

    def __init__(
        self,
        gateway: Gateway,
        datagrams: DatagramPeer,
        store: ObjectStore,
        addresses_by_instance: Mapping[str, str],
    ) -> None:
        self.gateway = gateway
        self.rollouts = gateway.rollouts
        self.datagrams = datagrams
        self.store = store
        self.updater = RolloutUpdater(gateway)
        self.addresses_by_instance = addresses_by_instance
        self.clock: Callable[[], float] = gateway.rollouts.clock
        self.tasks_by_service: dict[str, OrderTasks] = {}
        self._unreachable_until_by_instance: dict[str, float] = {}
        # Instances that have answered a report.
        self._reached: set[str] = set()
        self._notices: set[asyncio.Task] = set()
        self._ticked_at = self.clock()
        datagrams.handlers_by_kind[REPORT_KIND] = self.handle_report
        datagrams.handlers_by_kind[NOTICE_KIND] = self.handle_notice
        datagrams.handlers_by_kind[WRITE_KIND] = self.handle_write
        self.rollouts.on_bad_answer = self.report_soon
        self.rollouts.on_send = self.count_send

    @property
    def own_name(self) -> str:
        """Name of this instance."""
        return self.gateway.settings.instance

    async def run(self) -> None:
        """Report and coordinate until cancelled."""
        try:
            while True:
                try:
                    has_orders = self.tick()
                except Exception:
                    # Leases run out, so nothing goes to a new version until the next tick works.
                    self.gateway.log.exception("rollout_failed")
                    has_orders = False
                await asyncio.sleep(TICK_S if has_orders else IDLE_TICK_S)
        finally:
            for tasks in self.tasks_by_service.values():
                tasks.cancel()

    def tick(self) -> bool:
        """Start the reports that are due, and decide; return whether there are orders."""
        now = self.clock()
        if now - self._ticked_at > MAX_TICK_GAP_S:
            for tasks in self.tasks_by_service.values():
                tasks.coordinator = None
        self._ticked_at = now
        running = {state.service: state for state in self.rollouts.running_orders()}
        for service in list(self.tasks_by_service):
            state = running.get(service)
            tasks = self.tasks_by_service[service]
            if state is None or state.incarnation != tasks.incarnation:
                tasks.cancel()
                del self.tasks_by_service[service]
        for state in running.values():
            tasks = self._get_tasks(state)
            self.start_report(state, tasks, now)
            if tasks.coordinator is not None and tasks.coordinator_name == self.own_name:
                self.coordinate(state, tasks, tasks.coordinator, now)
        return bool(running)

    def _get_tasks(self, state: ServiceVersions) -> OrderTasks:
        tasks = self.tasks_by_service.get(state.service)
        if tasks is not None and tasks.incarnation != state.incarnation:
            tasks.cancel()
            tasks = None
        if tasks is None:
            tasks = self.tasks_by_service[state.service] = OrderTasks(state.incarnation)
            self.gateway.metrics.set_gauge(
                "gateway_rollout_share", lambda: self._read_share(state), service=state.service
            )
        return tasks

    def _read_share(self, state: ServiceVersions) -> float:
        """Return the share of requests that may go to the version of the last order."""
        if state.order is not None and state.order.is_decided:
            return float(state.order.state is RolloutState.COMPLETED)
        return state.permitted_share(self.clock())

    # Reports

    def start_report(self, state: ServiceVersions, tasks: OrderTasks, now: float) -> None:
        """Report to the coordinator if it is time, and no report is on its way."""
        if now < tasks.next_report_at:
            return
        if tasks.report_task is not None and not tasks.report_task.done():
            return
        tasks.next_report_at = now + REPORT_RETRY_S
        tasks.reported_at = now
        tasks.report_task = asyncio.create_task(self.report(state, tasks))

    def report_soon(self, service: str) -> None:
        """Report at the next tick, but not more often than necessary."""
        tasks = self.tasks_by_service.get(service)
        if tasks is not None:
            earliest = tasks.reported_at + MIN_REPORT_INTERVAL_S
            tasks.next_report_at = min(tasks.next_report_at, earliest)

    async def report(self, state: ServiceVersions, tasks: OrderTasks) -> None:
        """Report to the first instance that answers, and apply its lease."""
        for name in self.select_candidates(state, tasks):
            for _ in range(MAX_LOST_QUESTIONS):
                if state.order is None or state.incarnation != tasks.incarnation:
                    return
                asked_at = self.clock()
                report = self.make_report(state, asked_at)
                if name == self.own_name:
                    lease = self.answer_report(name, state, tasks, report, asked_at)
                else:
                    lease = await self._ask(name, report)
                if lease is not None:
                    self._reached.add(name)
                    self._set_coordinator(state, tasks, name)
                    self.apply_lease(state, tasks, lease, asked_at)
                    return
            away_s = UNREACHABLE_S if name in self._reached else NEVER_REACHED_S
            self._unreachable_until_by_instance[name] = self.clock() + away_s
            self.gateway.log.info(
                "rollout_coordinator_unreachable", service=state.service, coordinator=name
            )

    async def _ask(self, name: str, report: Report) -> LeaseMessage | None:
        raw = await self.datagrams.ask(name, REPORT_KIND, report, ASK_TIMEOUT_S)
        if raw is None:
            return None
        try:
            return LEASE_DECODER.decode(raw)
        except DECODE_ERRORS:
            return None

    def select_candidates(self, state: ServiceVersions, tasks: OrderTasks) -> list[str]:
        """Return the first instances in order, up to this one, that are not known to be away."""
        now = self.clock()
        names = frozenset((*self.addresses_by_instance, self.own_name))
        candidates = []
        for name in tasks.rank(state.order, names):
            if now < self._unreachable_until_by_instance.get(name, 0.0):
                continue
            candidates.append(name)
            if name == self.own_name or len(candidates) == MAX_CANDIDATES:
                break
        return candidates

    def make_report(self, state: ServiceVersions, now: float) -> Report:
        """Return what this instance has counted."""
        order, evidence = state.order, state.evidence
        targets = self.gateway.directory.targets_by_service.get(state.service, [])
        return Report(
            service=state.service,
            version=order.version,
            incarnation=state.incarnation,
            age_ms=-1 if state.seen_at is None else int((now - state.seen_at) * 1000),
            requests=evidence.requests,
            exposed=evidence.exposed,
            old_in_flight=sum(t.in_flight for t in targets if t.entry.version != order.version),
            epoch=state.lease.epoch,
            new_targets=self._count_new_targets(state),
            is_stopped=state.is_stopped,
            cells=evidence.make_cells(),
        )

    def _count_new_targets(self, state: ServiceVersions) -> int:
        targets = self.gateway.directory.usable_targets(state.service)
        listed = self.gateway.directory.targets_by_service.get(state.service, [])
        version = state.order.version
        usable = sum(t.entry.version == version and not t.is_draining for t in targets)
        # While this instance may not use them, they are not among the usable ones.
        return usable or sum(t.entry.version == version and not t.is_draining for t in listed)

    def _set_coordinator(self, state: ServiceVersions, tasks: OrderTasks, name: str) -> None:
        if tasks.coordinator_name == name:
            return
        self.gateway.log.info("rollout_coordinator", service=state.service, coordinator=name)
        tasks.coordinator_name = name
        if name != self.own_name:
            # Evidence that is not renewed by reports must not be used later.
            tasks.coordinator = None

    def apply_lease(
        self, state: ServiceVersions, tasks: OrderTasks, message: LeaseMessage, asked_at: float
    ) -> None:
        """Apply the answer to a report that was made at `asked_at`."""
        interval_s = message.report_ms / 1000 * (1 - random.random() * REPORT_SPREAD)
        tasks.next_report_at = asked_at + min(max(interval_s, MIN_REPORT_INTERVAL_S), LEASE_S / 2)
        order = state.order
        if order is None or state.incarnation != tasks.incarnation:
            return
        if message.is_stopped:
            self.rollouts.stop(state.service, order.version)
        lease = Lease(
            min(max(message.share, 0.0), 1.0),
            is_final=message.is_final,
            epoch=message.epoch,
            valid_until=asked_at + min(message.valid_ms / 1000, LEASE_S),
            coordinator=message.coordinator,
        )
        if lease.is_final and lease.epoch != state.lease.epoch:
            # The coordinator waits for the report that this instance has left the old version.
            tasks.next_report_at = asked_at + MIN_REPORT_INTERVAL_S
        if self.rollouts.set_lease(state.service, order.version, lease):
            self.gateway.log.info(
                "rollout_share",
                service=state.service,
                rollout_version=order.version,
                share=lease.share,
                final=lease.is_final,
                stopped=state.is_stopped,
                coordinator=lease.coordinator,
                requests=state.evidence.requests,
                exposed=state.evidence.exposed,
            )

    # Answers

    def handle_report(self, sender: str, raw: msgspec.Raw) -> LeaseMessage | None:
        """Answer the report of another instance with a lease."""
        try:
            report = REPORT_DECODER.decode(raw)
        except DECODE_ERRORS:
            return None
        state = self.rollouts.versions_by_service.get(report.service)
        order = state.order if state is not None else None
        if order is None or order.version != report.version or order.is_decided:
            # The store tells who is right; until then nothing may go to the new version.
            return self._make_refusal(False)
        return self.answer_report(sender, state, self._get_tasks(state), report, self.clock())

    def answer_report(
        self,
        sender: str,
        state: ServiceVersions,
        tasks: OrderTasks,
        report: Report,
        now: float,
    ) -> LeaseMessage:
        """Record a report, and return the lease for the instance that sent it."""
        lease = state.lease
        is_other = tasks.coordinator_name not in (None, self.own_name)
        if is_other and sender != self.own_name and now < lease.valid_until:
            # The sender does not reach the coordinator; its requests follow the same share.
            return LeaseMessage(
                lease.share,
                lease.is_final,
                state.is_stopped,
                lease.epoch,
                int((lease.valid_until - now) * 1000),
                int(REPORT_RETRY_S * 1000),
                lease.coordinator,
            )
        if tasks.coordinator is None:
            settings = self.gateway.settings
            tasks.coordinator = Coordinator(
                state.order,
                now,
                bound_share=settings.exposure_share,
                bound_slack=settings.exposure_slack,
                seen_at=state.seen_at,
            )
        coordinator = tasks.coordinator
        coordinator.order = state.order
        coordinator.record(sender, report, now)
        is_stopped = state.is_stopped or coordinator.phase is Phase.ROLLING_BACK
        if is_stopped and coordinator.phase is not Phase.COMPLETING:
            return self._make_refusal(True, coordinator.epoch)
        return LeaseMessage(
            coordinator.share,
            coordinator.phase in (Phase.FINAL, Phase.COMPLETING),
            False,
            coordinator.epoch,
            int(coordinator.lease_s * 1000),
            int(coordinator.report_interval_s(now) * 1000),
            self.own_name,
        )

    def _make_refusal(self, is_stopped: bool, epoch: int = 0) -> LeaseMessage:
        return LeaseMessage(
            0.0, False, is_stopped, epoch, 0, int(REPORT_RETRY_S * 1000), self.own_name
        )

    def handle_notice(self, sender: str, raw: msgspec.Raw) -> bool | None:
        """Report for a service at the next tick."""
        try:
            service = NOTICE_DECODER.decode(raw)
        except DECODE_ERRORS:
            return None
        self._unreachable_until_by_instance.pop(sender, None)
        tasks = self.tasks_by_service.get(service)
        if tasks is None:
            return False
        tasks.next_report_at = 0.0
        state = self.rollouts.versions_by_service[service]
        if state.incarnation == tasks.incarnation and state.order is not None:
            self.start_report(state, tasks, self.clock())
        return True

    # Coordination

    def coordinate(
        self, state: ServiceVersions, tasks: OrderTasks, coordinator: Coordinator, now: float
    ) -> None:
        """Take the decisions that are due, and start to write what was decided."""
        before = (coordinator.phase, coordinator.share)
        self.seek_reports(state, tasks, coordinator, now)
        is_step = coordinator.tick(
            len(self.addresses_by_instance) + 1,
            [name for name, at in tasks.answered_at_by_name.items() if now - at < ANSWERING_S],
            self._count_new_targets(state),
            now,
        )
        if (coordinator.phase, coordinator.share) != before:
            self._log_decision(state, coordinator, now)
        if is_step:
            if coordinator.phase is Phase.ROLLING_BACK:
                self.rollouts.stop(state.service, state.order.version)
            tasks.next_report_at = 0.0
            self.notify(state.service, tasks, coordinator)
        if coordinator.decision is not None or state.order.state is None:
            self.start_write(state, tasks, coordinator.decision or RolloutState.RUNNING)

    def _log_decision(self, state: ServiceVersions, coordinator: Coordinator, now: float) -> None:
        self.gateway.log.info(
            "rollout_phase",
            service=state.service,
            rollout_version=state.order.version,
            phase=coordinator.phase.value,
            share=coordinator.share,
            age_s=round(now - coordinator.started_at, 2),
            requests=coordinator.requests,
            exposed=coordinator.exposed,
            instances=len(coordinator.reporting_instances),
            evidence=coordinator.assessment.describe(),
            verdict=coordinator.assessment.verdict.value,
            reason=coordinator.reason,
        )

    def seek_reports(
        self, state: ServiceVersions, tasks: OrderTasks, coordinator: Coordinator, now: float
    ) -> None:
        """Ask the instances that do not report here, since they may take this one for away."""
        if now < tasks.next_notice_at:
            return
        tasks.next_notice_at = now + NOTICE_AGAIN_S
        names = self.addresses_by_instance.keys() - coordinator.find_reporting(now)
        self._start(self._send_notices(state.service, tasks, sorted(names)))

    def notify(self, service: str, tasks: OrderTasks, coordinator: Coordinator) -> None:
        """Tell the instances that report to ask for a new lease at once."""
        names = [name for name in coordinator.reporting_instances if name != self.own_name]
        self._start(self._send_notices(service, tasks, names))

    async def _send_notices(self, service: str, tasks: OrderTasks, names: list[str]) -> None:
        for first in range(0, len(names), NOTICE_BATCH):
            for name in names[first : first + NOTICE_BATCH]:
                self._start(self._send_notice(service, tasks, name))
            await asyncio.sleep(NOTICE_INTERVAL_S)

    async def _send_notice(self, service: str, tasks: OrderTasks, name: str) -> None:
        raw = await self.datagrams.ask(name, NOTICE_KIND, service, ASK_TIMEOUT_S)
        if raw is not None and bytes(raw) == KNOWN_ORDER:
            tasks.answered_at_by_name[name] = self.clock()

    def _start(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._notices.add(task)
        task.add_done_callback(self._notices.discard)

    # Writes

    def handle_write(self, sender: str, raw: msgspec.Raw) -> bool | None:
        """Write a state for a coordinator that cannot reach the store."""
        try:
            wanted = STATE_DECODER.decode(raw)
            state_value = RolloutState(wanted.state)
        except (*DECODE_ERRORS, ValueError):
            return None
        state = self.rollouts.versions_by_service.get(wanted.service)
        if state is None or state.order is None or state.order.version != wanted.version:
            return False
        if not state.order.is_decided:
            self.start_write(state, self._get_tasks(state), state_value)
        return True

    def start_write(self, state: ServiceVersions, tasks: OrderTasks, wanted: RolloutState) -> None:
        """Write a state, unless its write is on its way; a decision overrides the first state."""
        task = tasks.write_task
        if task is not None and not task.done():
            if tasks.write_state is wanted or wanted is RolloutState.RUNNING:
                return
            # If the store executes it nevertheless, the next write finds another revision.
            task.cancel()
        tasks.write_state = wanted
        tasks.write_task = asyncio.create_task(self.write(state, tasks, wanted))

    async def write(self, state: ServiceVersions, tasks: OrderTasks, wanted: RolloutState) -> None:
        """Write a state until the store tells the outcome, or the order has another one.

        A write is conditional on the revision at which the order is known. One that is repeated,
        or executed late, thus changes nothing after another one has.
        """
        retry_s = FIRST_WRITE_RETRY_S
        while True:
            order = state.order
            if order is None or order.is_decided or state.incarnation != tasks.incarnation:
                return
            if order.state is wanted:
                return
            coordinator = tasks.coordinator
            was_uncertain = coordinator is not None and coordinator.is_write_uncertain
            if coordinator is not None and wanted is not RolloutState.RUNNING:
                coordinator.is_write_uncertain = True
            result = await self._put(order, wanted)
            result_name = "written"
            if isinstance(result, StoreFailure):
                result_name = result.reason.code
                if coordinator is not None and result.reason is not StoreReason.OUTCOME_UNKNOWN:
                    coordinator.is_write_uncertain = was_uncertain
                self._handle_write_failure(state, tasks, wanted, result)
            else:
                self._apply_written(order, result)
            self.gateway.metrics.count(
                "gateway_rollout_writes_total", state=wanted.value, result=result_name
            )
            await asyncio.sleep(retry_s)
            retry_s = min(retry_s * 2, MAX_WRITE_RETRY_S)

    async def _put(self, order: RolloutOrder, wanted: RolloutState) -> StoredRecord | StoreFailure:
        record = StoredRecord(order.service, order.revision, {"spec": order.spec}, era=order.era)
        status = decode.encode_rollout_status(order, wanted)
        return await self.store.put_status(ROLLOUTS, record, status)

    def _apply_written(self, order: RolloutOrder, record: StoredRecord) -> None:
        """Apply the order as the store has it after the write, or after another one before it."""
        current = decode.decode_rollout(record)
        # The feed tells what is no order any more.
        if record.name == order.service and not isinstance(current, Failure):
            self.updater.apply_order(current)

    def _handle_write_failure(
        self,
        state: ServiceVersions,
        tasks: OrderTasks,
        wanted: RolloutState,
        failure: StoreFailure,
    ) -> None:
        self.gateway.log.warning(
            "rollout_write_failed",
            service=state.service,
            rollout_version=state.order.version if state.order is not None else "",
            state=wanted.value,
            reason=failure.reason.code,
            detail=failure.message,
        )
        if wanted is RolloutState.RUNNING:
            return
        coordinator = tasks.coordinator
        if coordinator is None or state.order is None:
            return
        others = [name for name in coordinator.reporting_instances if name != self.own_name]
        if others:
            # The store may turn only this instance away.
            coordinator.is_write_uncertain = True
            request = StateOrder(state.service, state.order.version, wanted.value)
            self._start(
                self.datagrams.ask(random.choice(others), WRITE_KIND, request, ASK_TIMEOUT_S)
            )

    def describe(self) -> list[RolloutStatus]:
        """Return the orders that this instance knows, for operators."""
        now = self.clock()
        states = self.rollouts.versions_by_service.values()
        return [self._describe(state, now) for state in states if state.order is not None]

    def _describe(self, state: ServiceVersions, now: float) -> RolloutStatus:
        order = state.order
        status = RolloutStatus(
            service=state.service,
            version=order.version,
            state="ordered" if order.state is None else order.state.value,
            requests=state.evidence.requests,
            exposed=state.evidence.exposed,
            is_stopped=state.is_stopped,
        )
        if order.is_decided:
            status.share = self._read_share(state)
            return status
        status.share = self._read_share(state)
        status.is_final = state.is_final(now)
        tasks = self.tasks_by_service.get(state.service)
        if tasks is None:
            return status
        status.coordinator = tasks.coordinator_name or ""
        coordinator = tasks.coordinator
        if coordinator is not None and tasks.coordinator_name == self.own_name:
            status.phase = coordinator.phase.value
            status.evidence = coordinator.assessment.describe()
            status.reason = coordinator.reason
            status.fleet_requests = coordinator.requests
            status.fleet_exposed = coordinator.exposed
        return status

    def count_send(self, service: str, is_new: bool) -> None:
        """Count a send while an order is in force."""
        version = "new" if is_new else "old"
        self.gateway.metrics.count("gateway_rollout_sends_total", service=service, version=version)


def rank_coordinator(order: RolloutOrder, name: str) -> bytes:
    """Return a sort key that is the same on all instances and differs between orders."""
    text = f"{order.service} {order.version} {name}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
