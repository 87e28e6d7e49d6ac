"""The targets that this process sends to, and the draining of withdrawn partitions."""

from __future__ import annotations

import asyncio

from ..clock import NS_PER_MS
from ..environment import Environment
from ..generated import messages_pb2 as pb
from ..generated.preset import ClassPolicy
from ..state import FleetView, StateFeed, TargetInfo
from .recorder import Recorder, Trace
from .target import Cancel, Retire, StateChange, Target, TargetContext
from .work import Claim, ReplySink, WorkItem

# Used if the preset in force, if any, lacks the request's class: the entry process may still have
# used an older preset. It has the longest deadline and the last priority that a preset may set.
UNKNOWN_CLASS_POLICY = ClassPolicy(service="unknown", deadline_ms=60_000, priority=9)


class Ownership:
    """Routes sub-requests to the tasks of granted targets and reports drained partitions.

    Control grants partitions to this process, and each target belongs to a partition. When a grant
    is withdrawn, its partition is reported as drained once no request to its targets is in flight.
    """

    __slots__ = (
        "environment",
        "feed",
        "recorder",
        "is_stopping",
        "_applied_view",
        "_context",
        "_targets_by_id",
        "_replaced_targets",
        "_tasks",
        "_in_flight_by_partition",
        "_claims_by_partition",
        "_withdrawn_by_partition",
        "_max_request_ms",
    )

    def __init__(self, environment: Environment, feed: StateFeed, recorder: Recorder) -> None:
        self.environment = environment
        self.feed = feed
        self.recorder = recorder
        self.is_stopping = False
        self._applied_view = feed.view
        self._context = TargetContext(
            environment=environment,
            feed=feed,
            recorder=recorder,
            on_start=self._count_start,
            on_finish=self._count_finish,
        )
        self._targets_by_id: dict[str, Target] = {}
        self._replaced_targets: set[Target] = set()
        self._tasks: set[asyncio.Task] = set()
        self._in_flight_by_partition: dict[int, int] = {}
        self._claims_by_partition: dict[int, pb.PartitionClaim] = {}
        self._withdrawn_by_partition: dict[int, pb.PartitionClaim] = {}
        self._max_request_ms = environment.settings.fleet.max_request_ms

    def accept(self, request: pb.SubRequest, sink: ReplySink) -> None:
        """Pass a sub-request to its target's task, or refuse it immediately."""
        view = self.feed.view
        now_ns = self.environment.now_ns()
        refusal = self._find_refusal(view, request, now_ns)
        if refusal:
            self.refuse(request, sink, refusal)
            return
        target = self._get_or_create_target(view.targets_by_id[request.target])
        preset = view.preset
        policy = preset.classes.get(request.request_class) if preset else None
        work = WorkItem(
            request=request,
            sink=sink,
            target=target,
            policy=policy or UNKNOWN_CLASS_POLICY,
            claim=self._get_claim(view, target.info.partition),
            accepted_ns=now_ns,
            deadline_ns=now_ns + min(request.deadline_ms, self._max_request_ms) * NS_PER_MS,
        )
        sink.work_by_id[request.id] = work
        target.post(work)

    def _find_refusal(self, view: FleetView, request: pb.SubRequest, now_ns: int) -> str:
        if self.is_stopping:
            return "not_owner"
        if now_ns >= view.lease_until_ns:
            return "not_current"
        if request.deadline_ms == 0:
            return "deadline"
        info = view.targets_by_id.get(request.target)
        if info is None:
            return "unknown_target"
        if not self._context.is_direct and info.partition not in view.grants_by_partition:
            return "not_owner"
        return ""

    def _get_claim(self, view: FleetView, partition: int) -> Claim:
        if self._context.is_direct:
            return (0, 0)
        grant = view.grants_by_partition[partition]
        return (grant.term, grant.transfer)

    def refuse(self, request: pb.SubRequest, sink: ReplySink, reason: str) -> None:
        """Reply "not run" to a sub-request that has not been passed to a target's task."""
        status = pb.SUB_STATUS_NOT_RUN
        sink.post(pb.SubReply(id=request.id, status=status, reason=reason))
        self.recorder.record(Trace(request, status, reason, 0, 0))

    def cancel(self, work: WorkItem) -> None:
        """Pass a cancellation to the task of the work's target."""
        work.target.post(Cancel(work))

    def apply(self, view: FleetView) -> None:
        """Apply a new view: create, update and retire targets, and track withdrawn partitions."""
        if self._is_unchanged(view):
            # Most updates only extend the lease, which is read from the feed's view when needed.
            self._applied_view = view
            return
        self._applied_view = view
        if not self.is_stopping:
            self._update_targets(view)
        self._update_claims(view)

    def _is_unchanged(self, view: FleetView) -> bool:
        applied = self._applied_view
        return (
            applied.document is view.document
            and applied.targets_by_id is view.targets_by_id
            and applied.grants_by_partition == view.grants_by_partition
        )

    def _update_targets(self, view: FleetView) -> None:
        for target in list(self._targets_by_id.values()):
            self._update_target(target, view)
        if self._context.is_direct:
            return
        for info in view.targets_by_id.values():
            if info.partition in view.grants_by_partition:
                self._get_or_create_target(info)

    def _update_target(self, target: Target, view: FleetView) -> None:
        info = view.targets_by_id.get(target.info.target.id)
        if info is None:
            target.post(Retire("unknown_target"))
        elif info.target.address != target.info.target.address:
            self._replaced_targets.add(target)
            del self._targets_by_id[target.info.target.id]
            target.post(Retire("target_moved"))
        elif self._context.is_direct or info.partition in view.grants_by_partition:
            target.post(StateChange(view))
        else:
            target.post(StateChange(view))
            target.post(Retire("not_owner"))

    def _get_or_create_target(self, info: TargetInfo) -> Target:
        target = self._targets_by_id.get(info.target.id)
        if target is not None and not target.is_closed:
            return target
        target = Target(info, self._context)
        self._targets_by_id[info.target.id] = target
        task = asyncio.get_running_loop().create_task(target.run())
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._remove_target(target, done))
        return target

    def _remove_target(self, target: Target, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        self._replaced_targets.discard(target)
        target_id = target.info.target.id
        if self._targets_by_id.get(target_id) is target:
            del self._targets_by_id[target_id]
        if not task.cancelled() and task.exception() is not None:
            self.environment.log.error(
                "target_task_failed",
                target=target_id,
                reason=repr(task.exception()),
            )

    def _update_claims(self, view: FleetView) -> None:
        incarnation = view.own_member.incarnation
        previous = self._claims_by_partition
        self._claims_by_partition = {
            grant.number: pb.PartitionClaim(
                number=grant.number,
                term=grant.term,
                transfer=grant.transfer,
                incarnation=incarnation,
            )
            for grant in view.grants_by_partition.values()
        }
        for number in self._claims_by_partition:
            self._withdrawn_by_partition.pop(number, None)
        for number, claim in previous.items():
            if number not in self._claims_by_partition:
                self._withdrawn_by_partition[number] = claim
        for number in list(self._withdrawn_by_partition):
            self._report_if_drained(number)

    def _count_start(self, partition: int) -> None:
        count = self._in_flight_by_partition.get(partition, 0)
        self._in_flight_by_partition[partition] = count + 1

    def _count_finish(self, partition: int) -> None:
        self._in_flight_by_partition[partition] -= 1
        if partition in self._withdrawn_by_partition:
            self._report_if_drained(partition)

    def _report_if_drained(self, partition: int) -> None:
        if self._in_flight_by_partition.get(partition, 0) == 0:
            self.feed.report_drained([self._withdrawn_by_partition.pop(partition)])

    def stop_accepting(self) -> None:
        """Refuse new and queued sub-requests; let running requests finish."""
        self.is_stopping = True
        for target in self._targets_by_id.values():
            target.post(Retire("not_owner"))

    async def wait_finished(self, timeout_s: float) -> bool:
        """Wait for the tasks of all targets; return whether they ended within the timeout.

        Tasks that have not ended by then are cancelled.
        """
        if not self._tasks:
            return True
        _, pending = await asyncio.wait(set(self._tasks), timeout=timeout_s)
        for task in pending:
            task.cancel()
        if pending:
            await asyncio.wait(pending, timeout=1)
        return not pending

    @property
    def in_flight(self) -> int:
        """Number of requests in flight to all targets."""
        return sum(self._in_flight_by_partition.values())

    @property
    def queue_length(self) -> int:
        """Number of sub-requests queued for all targets."""
        return sum(target.queue.length for target in self._targets_by_id.values())

    @property
    def target_count(self) -> int:
        """Number of targets with a task, including replaced ones that are still draining."""
        return len(self._targets_by_id) + len(self._replaced_targets)
