"""Connections to the other control processes: Sync, Transfer and Release requests, and probes.

A probe opens a TCP connection to find out whether a process that is suspected to have stopped
still listens at its address.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from google.protobuf.message import Message
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from ..fleet.node import PROTOCOL
from ..generated import messages_pb2 as pb
from ..generated.messages_grpc import ControlStub
from ..settings import is_address, split_address
from ..tasks import run_isolated
from .controller import Controller
from .keeper import FleetStore

CONNECTION_ERRORS = (
    TimeoutError,
    OSError,
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
)
ReplyT = TypeVar("ReplyT", bound=Message)


class Link:
    """The connection to one control address; its task sends a Sync request every `sync_ms`.

    `incarnation` is the process that answered last, empty if none has. Setting `sync_requested`
    makes the task send the next Sync request at once.
    """

    __slots__ = (
        "controller",
        "address",
        "incarnation",
        "sync_requested",
        "_channel",
        "_stub",
        "_timeout_s",
    )

    def __init__(self, controller: Controller, address: str) -> None:
        self.controller = controller
        self.address = address
        self.incarnation = ""
        self.sync_requested = asyncio.Event()
        self._channel: Channel | None = None
        self._stub: ControlStub | None = None
        # Half of suspect_ms, so that a silent connection is replaced before the peer counts as
        # silent.
        self._timeout_s = controller.environment.settings.fleet.suspect_ms / 2000

    async def run(self) -> None:
        """Send Sync requests until cancelled."""
        interval_s = self.controller.environment.settings.fleet.sync_ms / 1000
        try:
            while True:
                self.sync_requested.clear()
                started_s = asyncio.get_running_loop().time()
                await self._sync()
                elapsed_s = asyncio.get_running_loop().time() - started_s
                await wait_for_event(self.sync_requested, interval_s - elapsed_s)
        finally:
            self.close()

    async def _sync(self) -> None:
        node = self.controller.node
        request = node.make_sync_request(self.incarnation)
        sent_ns = self.controller.now_ns()
        reply = await self.call(lambda stub: stub.Sync(request))
        if reply is None or reply.protocol != PROTOCOL or node.is_foreign(reply.fleet):
            return
        self.incarnation = reply.responder.incarnation
        node.on_sync_reply(reply, sent_ns, self.controller.now_ns())
        # The member that answered advertises another address, so this seed is resolved. Other
        # members are reached by links to their own addresses.
        if reply.responder.control_address != self.address:
            node.seeds.discard(self.address)
        self.controller.publish_changes()

    async def call(self, send: Callable[[ControlStub], Awaitable[ReplyT]]) -> ReplyT | None:
        """Send one request and return its reply, or None if it failed.

        After a failure the connection is closed, and the next call opens a new one.
        """
        try:
            return await run_isolated(send(self._get_stub()), self._timeout_s)
        except ConnectionRefusedError:
            self.close()
            self.controller.node.on_connection_refused(self.address, self.controller.now_ns())
            self.controller.publish_changes()
        except CONNECTION_ERRORS as error:
            self.close()
            self.controller.environment.log.debug(
                "peer_call_failed", peer=self.address, reason=repr(error)
            )
        return None

    def _get_stub(self) -> ControlStub:
        if self._stub is None:
            address = self.controller.environment.resolve_address(self.address)
            self._channel = Channel(*split_address(address))
            self._stub = ControlStub(self._channel)
        return self._stub

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._channel is not None:
            self._channel.close()
        self._channel = None
        self._stub = None


class Peers:
    """The links to all other control processes, by address, and the requests in flight on them."""

    __slots__ = ("controller", "fleet_store", "links", "_link_tasks", "_call_tasks")

    def __init__(self, controller: Controller, fleet_store: FleetStore) -> None:
        self.controller = controller
        self.fleet_store = fleet_store
        self.links: dict[str, Link] = {}
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._call_tasks: dict[tuple[str, str], asyncio.Task[None]] = {}
        controller.add_shared_state_listener(self.request_sync_all)

    def request_sync_all(self) -> None:
        """Make every link send a Sync request at once."""
        for link in self.links.values():
            link.sync_requested.set()

    def update_links(self) -> None:
        """Open links to new peer addresses, and close the links to addresses no longer in use."""
        needed = self._find_peer_addresses()
        for address in needed - self.links.keys():
            link = self.links[address] = Link(self.controller, address)
            self._link_tasks[address] = asyncio.create_task(link.run())
        for address in self.links.keys() - needed:
            del self.links[address]
            self._link_tasks.pop(address).cancel()

    def _find_peer_addresses(self) -> set[str]:
        node = self.controller.node
        addresses = set(self.controller.environment.settings.control.peers)
        addresses |= self.fleet_store.listed_addresses
        addresses.update(peer.member.control_address for peer in node.membership.peers.values())
        addresses.discard(node.own.control_address)
        return {address for address in addresses if is_address(address)}

    def find_link(self, incarnation: str) -> Link | None:
        """Return the link to a member, or None if there is none."""
        peer = self.controller.node.membership.peers.get(incarnation)
        return self.links.get(peer.member.control_address) if peer else None

    def send_transfers(self) -> None:
        """Send the pending transfers, one request at a time to each receiver."""
        node = self.controller.node
        for receiver, partitions in node.transfers_to_send().items():
            request = pb.TransferRequest(
                protocol=PROTOCOL,
                giver=node.own,
                partitions=partitions,
                document=node.document,
            )
            self._start_call(("transfer", receiver), self._transfer(receiver, request))

    async def _transfer(self, receiver: str, request: pb.TransferRequest) -> None:
        link = self.find_link(receiver)
        reply = await link.call(lambda stub: stub.Transfer(request)) if link else None
        if reply is None:
            return
        now_ns = self.controller.now_ns()
        self.controller.node.on_transfer_reply(reply, request.partitions, now_ns)
        self.controller.environment.log.info(
            "partitions_given",
            receiver=receiver,
            accepted=list(reply.accepted),
            refusal=reply.refusal,
        )
        self.controller.publish_changes()

    def request_releases(self) -> None:
        """Send Release requests for the waiting claims to the members that have not released them.

        One request at a time is in flight to each member.
        """
        node = self.controller.node
        claims = node.waiting_claims()
        if not claims:
            return
        request = pb.ReleaseRequest(protocol=PROTOCOL, partitions=claims)
        for name in node.peers_to_ask_for_release():
            self._start_call(("release", name), self._request_release(name, request))

    async def _request_release(self, incarnation: str, request: pb.ReleaseRequest) -> None:
        link = self.find_link(incarnation)
        reply = await link.call(lambda stub: stub.Release(request)) if link else None
        if reply is None:
            return
        now_ns = self.controller.now_ns()
        node = self.controller.node
        node.on_release_reply(reply.incarnation, request.partitions, reply.released, now_ns)
        self.controller.publish_changes()

    def probe_addresses(self) -> None:
        """Probe the dispatch and entry addresses of dead members that have not refused yet.

        Probe the local dispatch address too, while a lost dispatch process may still run.
        """
        for address in self.controller.node.membership.addresses_to_probe():
            self._start_call(("probe", address), self._probe(address))
        followers = self.controller.followers
        if followers.has_unresolved_dispatch():
            address = self.controller.environment.settings.dispatch.listen
            self._start_call(("own", address), self._probe_own_dispatch(address))

    async def _probe(self, address: str) -> None:
        if await is_refusing_connections(self.controller.environment.resolve_address(address)):
            self.controller.node.on_connection_refused(address, self.controller.now_ns())
            self.controller.publish_changes()

    async def _probe_own_dispatch(self, address: str) -> None:
        if await is_refusing_connections(address):
            self.controller.followers.on_dispatch_refused()
            self.controller.publish_changes()

    def _start_call(self, key: tuple[str, str], call: Awaitable[None]) -> None:
        """Start a call in a task, unless the previous one with the same key still runs."""
        previous = self._call_tasks.get(key)
        if previous is not None and not previous.done():
            call.close()
            return
        self._call_tasks[key] = asyncio.create_task(call)
        self._call_tasks = {
            name: task for name, task in self._call_tasks.items() if not task.done()
        }

    async def close(self) -> None:
        """Cancel all tasks and close all connections."""
        tasks = [*self._link_tasks.values(), *self._call_tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for link in self.links.values():
            link.close()


async def is_refusing_connections(address: str) -> bool:
    """Return whether an address refuses connections, which means that no process listens there.

    A time-out or any other error returns False.
    """
    if not is_address(address):
        return False
    try:
        async with asyncio.timeout(1):
            _, writer = await asyncio.open_connection(*split_address(address))
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    writer.close()
    return False


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    """Wait until an event is set, or until `timeout_s` has passed."""
    if timeout_s <= 0:
        await asyncio.sleep(0)
        return
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
