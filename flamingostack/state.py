"""Fleet state as an entry or dispatch process sees it.

The process subscribes to the control process of its own instance, which streams updates.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from google.protobuf.message import Message
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from reactivex.subject import BehaviorSubject

from .environment import Environment
from .errors import Failure
from .fleet.placement import partition_of_target
from .generated import messages_pb2 as pb
from .generated.messages_grpc import ControlStub
from .generated.preset import Preset
from .presets import parse_preset
from .settings import split_address
from .tasks import run_isolated

PROTOCOL = 1
RECONNECT_DELAY_S = 0.1
# grpclib raises ProtocolError when the control process ends the stream before the client does.
CONNECTION_ERRORS = (TimeoutError, OSError, GRPCError, ProtocolError, StreamTerminatedError)


class TargetInfo:
    """A target, its service and its ownership partition."""

    __slots__ = ("target", "service", "partition")

    def __init__(self, target: pb.Target, service: str, partition: int) -> None:
        self.target = target
        self.service = service
        self.partition = partition


class FleetView:
    """Immutable snapshot of the fleet state that the local control process last sent."""

    __slots__ = (
        "document",
        "preset",
        "indexes_by_service",
        "targets_by_id",
        "members_by_incarnation",
        "partitions_by_number",
        "grants_by_partition",
        "leaving_failure_domains",
        "leaving_targets",
        "returning_failure_domains",
        "returning_targets",
        "lease_until_ns",
        "own_member",
        "store_reachable",
        "leaving",
    )

    def __init__(self) -> None:
        self.document = pb.FleetDocument()
        self.preset: Preset | None = None
        self.indexes_by_service: dict[str, pb.ServiceIndex] = {}
        self.targets_by_id: dict[str, TargetInfo] = {}
        self.members_by_incarnation: dict[str, pb.Member] = {}
        self.partitions_by_number: dict[int, pb.Partition] = {}
        self.grants_by_partition: dict[int, pb.PartitionGrant] = {}
        self.leaving_failure_domains: frozenset[str] = frozenset()
        self.leaving_targets: frozenset[str] = frozenset()
        self.returning_failure_domains: frozenset[str] = frozenset()
        self.returning_targets: frozenset[str] = frozenset()
        self.lease_until_ns = 0
        self.own_member = pb.Member()
        self.store_reachable = False
        self.leaving = False

    def is_leaving(self, target: pb.Target) -> bool:
        """Return whether a target or its failure domain is marked as leaving.

        Such a target gets no new work.
        """
        return (
            target.id in self.leaving_targets
            or target.failure_domain in self.leaving_failure_domains
        )

    def is_returning(self, target: pb.Target) -> bool:
        """Return whether a target or its failure domain is marked as returning: it starts cold."""
        return (
            target.id in self.returning_targets
            or target.failure_domain in self.returning_failure_domains
        )

    def find_owner(self, target_id: str) -> pb.Member | None:
        """Return the member that holds the target's partition.

        None if the target is unknown or its partition has no holder.
        """
        info = self.targets_by_id.get(target_id)
        if info is None:
            return None
        partition = self.partitions_by_number.get(info.partition)
        if partition is None or not partition.holder.incarnation:
            return None
        return partition.holder


class StateFeed:
    """Subscription to the control process; publishes a new `FleetView` after each update.

    Owned by one task.
    """

    __slots__ = (
        "environment",
        "process",
        "view",
        "views",
        "shutting_down",
        "finished",
        "_drained",
        "_reports",
    )

    def __init__(self, environment: Environment, process: str) -> None:
        self.environment = environment
        self.process = process
        self.view = FleetView()
        self.views: BehaviorSubject[FleetView] = BehaviorSubject(self.view)
        self.shutting_down = False
        self.finished = False
        self._drained: dict[int, pb.PartitionClaim] = {}
        self._reports: asyncio.Queue[None] = asyncio.Queue()

    def is_current(self) -> bool:
        """Return whether the lease is still valid, so that new work may start."""
        return self.environment.now_ns() < self.view.lease_until_ns

    def report_drained(self, claims: Iterable[pb.PartitionClaim]) -> None:
        """Report to control that the work under claims that are no longer granted has drained."""
        for claim in claims:
            self._drained[claim.number] = claim
        self._reports.put_nowait(None)

    def report_shutdown(self, finished: bool) -> None:
        """Report to control that this process shuts down.

        `finished`: nothing is in flight any more.
        """
        self.shutting_down = True
        self.finished = finished
        self._reports.put_nowait(None)

    async def run(self) -> None:
        """Subscribe until cancelled; reconnect when the connection is lost."""
        while True:
            try:
                await run_isolated(self._follow())
            except CONNECTION_ERRORS as error:
                self.environment.log.warning("control_connection_lost", reason=repr(error))
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _follow(self) -> None:
        host, port = split_address(self.environment.settings.control.listen)
        channel = Channel(host, port)
        try:
            async with ControlStub(channel).Follow.open() as stream:
                await stream.send_message(self._make_report())
                sender = asyncio.create_task(self._send_reports(stream.send_message))
                try:
                    async for update in stream:
                        self.apply(update)
                        self._reports.put_nowait(None)
                finally:
                    sender.cancel()
        finally:
            channel.close()

    async def _send_reports(self, send: Callable) -> None:
        while True:
            await self._reports.get()
            while not self._reports.empty():
                self._reports.get_nowait()
            await send(self._make_report())

    def _make_report(self) -> pb.FollowReport:
        return pb.FollowReport(
            process=self.process,
            applied_version=self.view.document.version,
            drained=list(self._drained.values()),
            shutting_down=self.shutting_down,
            finished=self.finished,
        )

    def apply(self, update: pb.StateUpdate) -> None:
        """Apply an update to the view and publish the result.

        A document that is not newer than the current one is ignored; the other parts of the update
        still apply.
        """
        self.view = make_view(self.view, update, self._parse_preset)
        for grant in update.grants:
            self._drained.pop(grant.number, None)
        self.views.on_next(self.view)

    def _parse_preset(self, body: bytes, name: str) -> Preset | None:
        preset = parse_preset(body, source=f"preset {name}")
        if isinstance(preset, Failure):
            self.environment.log.error("preset_unusable", preset=name, reason=preset.message)
            return None
        return preset


def make_view(
    previous: FleetView,
    update: pb.StateUpdate,
    parse: Callable[[bytes, str], Preset | None],
) -> FleetView:
    """Return the view that results from applying `update` to `previous`.

    The document and the indexes keep their previous value where the update has none. Members,
    partitions, grants, lease and flags come from the update alone. `parse` decodes a preset and
    returns None if it is unusable.
    """
    view = FleetView()
    view.document = _choose_newer_document(previous.document, update)
    view.preset = previous.preset
    if view.document.preset.revision != previous.document.preset.revision:
        view.preset = parse(view.document.preset.body, view.document.preset.name)
    view.indexes_by_service = dict(previous.indexes_by_service)
    for index in update.indexes:
        view.indexes_by_service[index.service] = index
    view.members_by_incarnation = {member.incarnation: member for member in update.members}
    view.partitions_by_number = {item.number: item for item in update.partitions}
    view.grants_by_partition = {grant.number: grant for grant in update.grants}
    view.lease_until_ns = update.lease_until_ns
    view.own_member = update.own_member
    view.store_reachable = update.store_reachable
    view.leaving = update.leaving
    _set_marks(view)
    if update.indexes or not previous.targets_by_id or not previous.document.version:
        view.targets_by_id = _map_targets(view)
    else:
        view.targets_by_id = previous.targets_by_id
    return view


def _choose_newer_document(current: pb.FleetDocument, update: pb.StateUpdate) -> pb.FleetDocument:
    if update.HasField("document") and update.document.version > current.version:
        return update.document
    return current


def _set_marks(view: FleetView) -> None:
    domains: dict[int, set[str]] = {pb.MARK_STATE_LEAVING: set(), pb.MARK_STATE_RETURNING: set()}
    targets: dict[int, set[str]] = {pb.MARK_STATE_LEAVING: set(), pb.MARK_STATE_RETURNING: set()}
    for mark in view.document.marks:
        if mark.state not in domains:
            continue
        if mark.WhichOneof("subject") == "failure_domain":
            domains[mark.state].add(mark.failure_domain)
        else:
            targets[mark.state].add(mark.target)
    view.leaving_failure_domains = frozenset(domains[pb.MARK_STATE_LEAVING])
    view.returning_failure_domains = frozenset(domains[pb.MARK_STATE_RETURNING])
    view.leaving_targets = frozenset(targets[pb.MARK_STATE_LEAVING])
    view.returning_targets = frozenset(targets[pb.MARK_STATE_RETURNING])


def _map_targets(view: FleetView) -> dict[str, TargetInfo]:
    count = max(view.document.partition_count, 1)
    return {
        target.id: TargetInfo(
            target=target,
            service=index.service,
            partition=partition_of_target(
                target_id=target.id,
                failure_domain=target.failure_domain,
                partition_count=count,
                failure_domains=view.document.failure_domains,
            ),
        )
        for index in view.indexes_by_service.values()
        for target in index.targets
    }


def is_newer_claim(candidate: Message, current: Message) -> bool:
    """Return whether `candidate` is newer than `current` in the order of (term, transfer).

    Both are partitions, claims or grants.
    """
    return (candidate.term, candidate.transfer) > (current.term, current.transfer)
