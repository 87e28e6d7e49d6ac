"""The background task that transfers, balances, releases and takes over partitions."""

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
WRITE_RETRY_DELAY_S = 0.5
# How long claims may differ from the document before the coordinator copies them into it.
COPY_CLAIMS_DELAY_S = 30.0


class Ownership:
    """Applies the node's ownership rules `TICKS_PER_SYNC` times in each sync interval.

    At most one write of the fleet document, a takeover or a copy of claims, runs at a time.
    """

    __slots__ = ("controller", "fleet_store", "peers", "_write_task", "_uncopied_since_s")

    def __init__(self, controller: Controller, fleet_store: FleetStore, peers: Peers) -> None:
        self.controller = controller
        self.fleet_store = fleet_store
        self.peers = peers
        self._write_task: asyncio.Task[None] | None = None
        self._uncopied_since_s: float | None = None

    async def run(self) -> None:
        """Run the steps at a fixed interval until cancelled."""
        fleet = self.controller.environment.settings.fleet
        interval_s = fleet.sync_ms / 1000 / TICKS_PER_SYNC
        try:
            while True:
                self.run_due_steps()
                await asyncio.sleep(interval_s)
        finally:
            if self._write_task is not None:
                self._write_task.cancel()

    def run_due_steps(self) -> None:
        """Run the steps that are due; requests and writes run in separate tasks."""
        self.controller.tick()
        self.peers.update_links()
        self._report_drained_claims()
        self._start_transfers()
        self._withhold_grants()
        self.peers.send_transfers()
        self.peers.request_releases()
        self.peers.probe_addresses()
        self._start_write()
        now_ns = self.controller.now_ns()
        self.controller.followers.forget(now_ns)
        self.controller.node.forget_members(now_ns)

    def _report_drained_claims(self) -> None:
        """Report to the node which claims the local dispatch processes have drained."""
        node = self.controller.node
        now_ns = self.controller.now_ns()
        for claim in node.claims_to_drain():
            drained = self.controller.followers.find_drained(claim, now_ns)
            if drained is not None:
                node.on_drained(claim, drained, now_ns)
        self.controller.publish_changes()

    def _start_transfers(self) -> None:
        node = self.controller.node
        for number, receiver in node.plan_transfers(self.controller.now_ns()):
            node.start_transfer(number, receiver)
        self.controller.publish_changes()

    def _withhold_grants(self) -> None:
        """Withdraw the grants of a leaving process that is alone, once no local process needs them.

        Dispatch waits for that, and control for dispatch: the last instance of a fleet stopped only
        after `control.shutdown_ms`. A claim that may have been reported as drained is not granted
        again, so that this is final; a process that starts later gets the partitions transferred.
        """
        node = self.controller.node
        followers = self.controller.followers
        if node.own.leaving and node.is_alone() and followers.is_dispatch_unused():
            node.withholds_grants = True
            self.controller.publish_changes()

    def _start_write(self) -> None:
        """Start a takeover or a copy of claims if one is due and no write is running."""
        if self._write_task is not None and not self._write_task.done():
            return
        now_ns = self.controller.now_ns()
        if plan_takeover(self.controller.node, now_ns):
            self._write_task = asyncio.create_task(self._take_over())
        elif self._is_copy_due(now_ns):
            self._write_task = asyncio.create_task(self._copy_claims())

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
        return waited_s >= COPY_CLAIMS_DELAY_S and is_coordinator(node, now_ns)

    async def _take_over(self) -> None:
        """Write a takeover that is planned again from the document as just read."""
        async with self.fleet_store.write_lock:
            failure = await self.fleet_store.read_document()
            if failure is None:
                failure = await self._write_takeover()
        await self._back_off_after(failure)

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
        await self._back_off_after(failure)

    async def _back_off_after(self, failure: StoreFailure | None) -> None:
        """Delay the next write if this one failed."""
        if failure is not None:
            await asyncio.sleep(WRITE_RETRY_DELAY_S)


def make_takeover_document(node: Node, claims: list[pb.Partition]) -> pb.FleetDocument:
    """Return the next document version, in which `claims` supersede those of lost holders."""
    lost = sorted({node.partitions[claim.number].holder.instance for claim in claims})
    numbers = ", ".join(str(claim.number) for claim in claims)
    change = pb.Change(
        change_id=f"takeover-{uuid.uuid4().hex}",
        summary=f"take over partitions {numbers} of {', '.join(lost)}",
        operator=CONTROL_OPERATOR,
        at_unix_ms=int(time.time() * 1000),
    )
    return add_change(node.document, change, [*node.partitions.values(), *claims])
