"""The gRPC service of the control process."""

from __future__ import annotations

import asyncio

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from ..fleet.node import NS_PER_MS, PROTOCOL
from ..generated import messages_pb2 as pb
from ..generated.messages_grpc import ControlBase
from .controller import Controller
from .follow import Follower
from .keeper import FleetStore
from .operations import Operations
from .peers import wait_for_event


class ControlService(ControlBase):
    """Serves the calls of peers, local dispatch and entry processes, and operators."""

    def __init__(
        self, controller: Controller, fleet_store: FleetStore, operations: Operations
    ) -> None:
        self.controller = controller
        self.fleet_store = fleet_store
        self.operations = operations

    async def Sync(self, stream: Stream[pb.SyncRequest, pb.SyncReply]) -> None:  # noqa: N802
        """Merge a peer's state and return what is new to the peer."""
        request = await receive_request(stream)
        if self.controller.node.is_foreign(request.fleet):
            raise GRPCError(Status.FAILED_PRECONDITION, "the sender belongs to another fleet")
        reply = self.controller.node.on_sync_request(request, self.controller.now_ns())
        self.controller.publish_changes()
        await stream.send_message(reply)

    async def Transfer(  # noqa: N802
        self, stream: Stream[pb.TransferRequest, pb.TransferReply]
    ) -> None:
        """Accept partitions that a peer transfers to this process, or refuse them."""
        request = await stream.recv_message()
        node = self.controller.node
        reply = node.on_transfer_request(request, self.controller.now_ns())
        self.controller.publish_changes()
        self.controller.environment.log.info(
            "partitions_received",
            giver=request.giver.incarnation,
            accepted=list(reply.accepted),
            refusal=reply.refusal,
        )
        await stream.send_message(reply)

    async def Release(  # noqa: N802
        self, stream: Stream[pb.ReleaseRequest, pb.ReleaseReply]
    ) -> None:
        """Tell a new holder which partitions this process neither holds nor uses."""
        request = await receive_request(stream)
        await stream.send_message(self.controller.node.on_release_request(request.partitions))

    async def Follow(  # noqa: N802
        self, stream: Stream[pb.FollowReport, pb.StateUpdate]
    ) -> None:
        """Stream state updates to a local process until it disconnects or stops reporting."""
        report = await stream.recv_message()
        if report is None:
            return
        follower = self.controller.followers.connect(report, self.controller.now_ns())
        self.controller.publish_changes()
        self.controller.environment.log.info("follower_connected", follower=report.process)
        reader = asyncio.create_task(self._read_reports(stream, follower))
        try:
            await self._send_updates(stream, follower, reader)
        finally:
            reader.cancel()
            self.controller.followers.disconnect(follower, self.controller.now_ns())
            self.controller.publish_changes()
            self.controller.environment.log.info(
                "follower_disconnected", follower=follower.process, finished=follower.finished
            )

    async def _read_reports(
        self, stream: Stream[pb.FollowReport, pb.StateUpdate], follower: Follower
    ) -> None:
        """Process a follower's reports until its stream ends, then wake the sender of updates."""
        try:
            async for report in stream:
                follower.on_report(report, self.controller.now_ns())
                self.controller.publish_changes()
        finally:
            follower.wake.set()

    async def _send_updates(
        self,
        stream: Stream[pb.FollowReport, pb.StateUpdate],
        follower: Follower,
        reader: asyncio.Task[None],
    ) -> None:
        """Send an update every `sync_ms`, and at once when woken, until `reader` has ended."""
        interval_s = self.controller.environment.settings.fleet.sync_ms / 1000
        while not reader.done():
            follower.wake.clear()
            now_ns = self.controller.now_ns()
            # A process reports after each update, so one that sends no reports is frozen or stuck.
            if now_ns - follower.heard_ns > self.controller.node.timing.lease_ns:
                self.controller.environment.log.warning(
                    "follower_silent", follower=follower.process
                )
                raise GRPCError(Status.DEADLINE_EXCEEDED, "no report for the length of a lease")
            withheld = self.controller.followers.withheld_from(follower, now_ns)
            update = follower.make_update(self.controller.node, withheld, now_ns)
            await stream.send_message(update)
            await wait_for_event(follower.wake, interval_s)

    async def Operate(  # noqa: N802
        self, stream: Stream[pb.OperateRequest, pb.OperateReply]
    ) -> None:
        """Execute an operator's request."""
        request = await stream.recv_message()
        await stream.send_message(await self.operations.operate(request))

    async def Status(  # noqa: N802
        self, stream: Stream[pb.StatusRequest, pb.StatusReply]
    ) -> None:
        """Return the fleet state as this process knows it, with the presets if requested."""
        request = await receive_request(stream)
        reply = self.make_status()
        if request.include_presets:
            reply.presets.extend(self.fleet_store.presets.values())
        await stream.send_message(reply)

    def make_status(self) -> pb.StatusReply:
        """Return the status reply, without presets."""
        node = self.controller.node
        now_ns = self.controller.now_ns()
        remaining_ms = max(node.lease_until_ns - now_ns, 0) // NS_PER_MS
        return pb.StatusReply(
            document=node.document,
            members=self._make_member_statuses(now_ns),
            partitions=node.partitions.values(),
            indexes=node.indexes.values(),
            store_reachable=node.has_store_contact(now_ns),
            lease_remaining_ms=remaining_ms,
            own_member=node.own,
            lease_source=node.lease_source if remaining_ms else "none",
        )

    def _make_member_statuses(self, now_ns: int) -> list[pb.MemberStatus]:
        """Return the statuses of this process and of all peers but dead ones without partitions."""
        node = self.controller.node
        numbers_by_holder: dict[str, list[int]] = {}
        for number, partition in node.partitions.items():
            numbers_by_holder.setdefault(partition.holder.incarnation, []).append(number)
        statuses = [
            pb.MemberStatus(
                member=peer.member,
                document_version=peer.version,
                applied_version=peer.applied_version,
                last_heard_ms=(now_ns - peer.heard_ns) // NS_PER_MS,
                partitions=sorted(numbers_by_holder.get(name, [])),
            )
            for name, peer in node.membership.peers.items()
            if not peer.dead_ns or name in numbers_by_holder
        ]
        own = pb.MemberStatus(
            member=node.own,
            document_version=node.document.version,
            applied_version=node.applied_version,
            partitions=sorted(numbers_by_holder.get(node.own.incarnation, [])),
        )
        return [own, *statuses]


async def receive_request(stream: Stream) -> pb.SyncRequest | pb.ReleaseRequest | pb.StatusRequest:
    """Receive a unary request; raise GRPCError if its protocol is not supported."""
    request = await stream.recv_message()
    if request is None or request.protocol != PROTOCOL:
        raise GRPCError(Status.FAILED_PRECONDITION, f"only protocol {PROTOCOL} is supported")
    return request
