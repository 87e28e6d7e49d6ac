"""Connections to the other control processes: Sync, Transfer, Release, and probes for deaths."""

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
    """The connection to one control address; its task sends a Sync at least every sync_ms."""

    __slots__ = ("controller", "address", "incarnation", "poke", "_channel", "_stub", "_timeout_s")

    def __init__(self, controller: Controller, address: str) -> None:
        self.controller = controller
        self.address = address
        self.incarnation = ""
        self.poke = asyncio.Event()
        self._channel: Channel | None = None
        self._stub: ControlStub | None = None
        # A connection that has gone silent is replaced before the peer counts as silent.
        self._timeout_s = controller.environment.settings.fleet.suspect_ms / 2000

    async def run(self) -> None:
        """Sync until cancelled."""
        interval_s = self.controller.environment.settings.fleet.sync_ms / 1000
        try:
            while True:
                self.poke.clear()
                started_s = asyncio.get_running_loop().time()
                await self._sync()
                elapsed_s = asyncio.get_running_loop().time() - started_s
                await wait_for_event(self.poke, interval_s - elapsed_s)
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
        # Members that share no address with the answering one are reached by their own links.
        if reply.responder.control_address != self.address:
            node.seeds.discard(self.address)
        self.controller.changed()

    async def call(self, send: Callable[[ControlStub], Awaitable[ReplyT]]) -> ReplyT | None:
        """Send one request; None if it failed. A failed connection is replaced."""
        try:
            return await run_isolated(send(self._get_stub()), self._timeout_s)
        except ConnectionRefusedError:
            self.close()
            self.controller.node.on_connection_refused(self.address, self.controller.now_ns())
            self.controller.changed()
        except CONNECTION_ERRORS as error:
            self.close()
            self.controller.environment.log.debug(
                "peer_call_failed", peer=self.address, reason=repr(error)
            )
        return None

    def _get_stub(self) -> ControlStub:
        if self._stub is None:
            address = self.controller.environment.connect_address(self.address)
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
    """All links, by address."""

    __slots__ = ("controller", "fleet_store", "links", "_tasks", "_calls")

    def __init__(self, controller: Controller, fleet_store: FleetStore) -> None:
        self.controller = controller
        self.fleet_store = fleet_store
        self.links: dict[str, Link] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._calls: dict[tuple[str, str], asyncio.Task[None]] = {}
        controller.on_shared_change(self.poke_all)

    def poke_all(self) -> None:
        """Send a Sync to every peer now."""
        for link in self.links.values():
            link.poke.set()

    def update_links(self) -> None:
        """Open links to new addresses and close those that nobody has any more."""
        wanted = self._find_addresses()
        for address in wanted - self.links.keys():
            link = self.links[address] = Link(self.controller, address)
            self._tasks[address] = asyncio.create_task(link.run())
        for address in self.links.keys() - wanted:
            del self.links[address]
            self._tasks.pop(address).cancel()

    def _find_addresses(self) -> set[str]:
        node = self.controller.node
        addresses = set(self.controller.environment.settings.control.peers)
        addresses |= self.fleet_store.listed_addresses
        addresses.update(peer.member.control_address for peer in node.membership.peers.values())
        addresses.discard(node.own.control_address)
        return {address for address in addresses if is_address(address)}

    def find_link(self, incarnation: str) -> Link | None:
        """Return the link to a member."""
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
        self.controller.changed()

    def request_releases(self) -> None:
        """Ask the members that have not released the waiting claims."""
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
        self.controller.changed()

    def probe(self) -> None:
        """Try the other addresses of dead members, and of a lost local dispatch process."""
        for address in self.controller.node.membership.addresses_to_probe():
            self._start_call(("probe", address), self._probe(address))
        followers = self.controller.followers
        if followers.has_unproven():
            address = self.controller.environment.settings.dispatch.listen
            self._start_call(("own", address), self._probe_own(address))

    async def _probe(self, address: str) -> None:
        if await refuses(self.controller.environment.connect_address(address)):
            self.controller.node.on_connection_refused(address, self.controller.now_ns())
            self.controller.changed()

    async def _probe_own(self, address: str) -> None:
        if await refuses(address):
            self.controller.followers.on_dispatch_refused()
            self.controller.changed()

    def _start_call(self, key: tuple[str, str], call: Awaitable[None]) -> None:
        running = self._calls.get(key)
        if running is not None and not running.done():
            call.close()
            return
        self._calls[key] = asyncio.create_task(call)
        self._calls = {name: task for name, task in self._calls.items() if not task.done()}

    async def close(self) -> None:
        """Cancel everything that runs and close all connections."""
        tasks = [*self._tasks.values(), *self._calls.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for link in self.links.values():
            link.close()


async def refuses(address: str) -> bool:
    """Tell whether an address refuses connections; an answer or silence is no refusal."""
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
    """Wait for an event for at most `timeout_s`."""
    if timeout_s <= 0:
        await asyncio.sleep(0)
        return
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
