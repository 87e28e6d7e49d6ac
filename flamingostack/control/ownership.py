"""The task that moves partitions: balance, transfer, release, takeover and departure."""

from __future__ import annotations

import asyncio
import time
import uuid

from ..fleet.document import CONTROL_OPERATOR, add_change, copy_claims, has_uncopied_claims
from ..fleet.node import Node
from ..fleet.takeover import is_coordinator, plan_takeover
from ..generated import messages_pb2 as pb
from ..store import StoreFailure
from .controller import Controller
from .keeper import FleetStore
from .peers import Peers

TICKS_PER_SYNC = 5
WRITE_RETRY_S = 0.5
COPY_CLAIMS_S = 30.0


class Ownership:
    """Drives the node's rules a few times in each sync interval."""

    __slots__ = ("controller", "fleet_store", "peers", "_write", "_uncopied_since_s")

    def __init__(self, controller: Controller, fleet_store: FleetStore, peers: Peers) -> None:
        self.controller = controller
        self.fleet_store = fleet_store
        self.peers = peers
        self._write: asyncio.Task[None] | None = None
        self._uncopied_since_s: float | None = None

    async def run(self) -> None:
        """Run until cancelled."""
        fleet = self.controller.environment.settings.fleet
        interval_s = fleet.sync_ms / 1000 / TICKS_PER_SYNC
        try:
            while True:
                self.step()
                await asyncio.sleep(interval_s)
        finally:
            if self._write is not None:
                self._write.cancel()

    def step(self) -> None:
        """Do what is due now; requests and writes run in tasks of their own."""
        self.controller.tick()
        self.peers.update_links()
        self._collect_drained()
        self._give()
        self.peers.send_transfers()
        self.peers.ask_releases()
        self.peers.probe()
        self._start_write()
        now_ns = self.controller.now_ns()
        self.controller.followers.forget(now_ns)
        self.controller.node.forget_members(now_ns)

    def _collect_drained(self) -> None:
        node = self.controller.node
        now_ns = self.controller.now_ns()
        for claim in node.claims_to_drain():
            drained = self.controller.followers.find_drained(claim, now_ns)
            if drained is not None:
                node.on_drained(claim, drained, now_ns)
        self.controller.changed()

    def _give(self) -> None:
        node = self.controller.node
        for number, receiver in node.plan_transfers(self.controller.now_ns()):
            node.start_transfer(number, receiver)
        self.controller.changed()

    def _start_write(self) -> None:
        if self._write is not None and not self._write.done():
            return
        now_ns = self.controller.now_ns()
        if plan_takeover(self.controller.node, now_ns):
            self._write = asyncio.create_task(self._take_over())
        elif self._is_copy_due(now_ns):
            self._write = asyncio.create_task(self._copy_claims())

    def _is_copy_due(self, now_ns: int) -> bool:
        node = self.controller.node
        if not node.document.version or not has_uncopied_claims(
            node.document, node.partitions.values()
        ):
            self._uncopied_since_s = None
            return False
        if self._uncopied_since_s is None:
            self._uncopied_since_s = time.monotonic()
        waited_s = time.monotonic() - self._uncopied_since_s
        return waited_s >= COPY_CLAIMS_S and is_coordinator(node, now_ns)

    async def _take_over(self) -> None:
        async with self.fleet_store.write_lock:
            failure = await self.fleet_store.read_document()
            if failure is None:
                failure = await self._write_takeover()
        await self._wait_after(failure)

    async def _write_takeover(self) -> StoreFailure | None:
        node = self.controller.node
        claims = plan_takeover(node, self.controller.now_ns())
        if not claims:
            return None
        document = make_takeover_document(node, claims)
        failure = await self.fleet_store.write_document(document)
        self.controller.environment.log.warning(
            "takeover",
            summary=document.recent_changes[-1].summary,
            version=document.version,
            failure=failure.message if failure else "",
        )
        return failure

    async def _copy_claims(self) -> None:
        async with self.fleet_store.write_lock:
            failure = await self.fleet_store.read_document()
            if failure is None:
                node = self.controller.node
                document = copy_claims(node.document, node.partitions.values())
                failure = await self.fleet_store.write_document(document)
        await self._wait_after(failure)

    async def _wait_after(self, failure: StoreFailure | None) -> None:
        """Leave the store alone for a while after a failure."""
        if failure is not None:
            await asyncio.sleep(WRITE_RETRY_S)


def make_takeover_document(node: Node, claims: list[pb.Partition]) -> pb.FleetDocument:
    """Return the next document, in which the claims of lost holders are superseded."""
    lost = sorted({node.partitions[claim.number].holder.instance for claim in claims})
    numbers = ", ".join(str(claim.number) for claim in claims)
    change = pb.Change(
        change_id=f"takeover-{uuid.uuid4().hex}",
        summary=f"take over partitions {numbers} of {', '.join(lost)}",
        operator=CONTROL_OPERATOR,
        at_unix_ms=int(time.time() * 1000),
    )
    return add_change(node.document, change, [*node.partitions.values(), *claims])
