"""Simulation of a small fleet on a virtual clock, to run the real rules under injected faults.

Each host has a control process (the real Node, Followers, Controller and StateFeed) and a dispatch
process that sends requests for each partition whenever it may. Messages are delayed and lost at
random; the caller injects network cuts, freezes, kills and store outages. `World.check` verifies
the safety properties after every event.
"""

from __future__ import annotations

import heapq
import random
import types
from collections.abc import Callable

import structlog

from flamingostack.control.controller import Controller
from flamingostack.control.follow import Follower
from flamingostack.control.keeper import FleetStore
from flamingostack.control.ownership import make_takeover_document
from flamingostack.fleet.document import add_change, copy_claims, make_document
from flamingostack.fleet.node import Node, Timing
from flamingostack.fleet.takeover import plan_takeover
from flamingostack.generated import messages_pb2 as pb
from flamingostack.state import FleetView, StateFeed
from flamingostack.store import StoredObject

MS = 1_000_000
LEASE_MS, MARGIN_MS, SUSPECT_MS, MAX_REQUEST_MS = 300, 30, 200, 100
SYNC_MS, TICK_MS, TIMEOUT_MS, FOLLOW_MS = 50, 20, 100, 40
TIMING = Timing(LEASE_MS * MS, MARGIN_MS * MS, SUSPECT_MS * MS, MAX_REQUEST_MS * MS)
LOG = structlog.wrap_logger(
    structlog.PrintLogger(), processors=[lambda *_: (_ for _ in ()).throw(structlog.DropEvent)]
)


class ViolationError(AssertionError):
    """A safety property was violated."""


class DispatchProcess:
    """A dispatch process.

    `granted_at_freeze` are the partitions for which it could send when it was frozen.
    """

    def __init__(self, host: Host) -> None:
        settings = types.SimpleNamespace()
        environment = types.SimpleNamespace(now_ns=host.now_ns, log=LOG, settings=settings)
        self.host = host
        self.feed = StateFeed(environment, "dispatch")
        self.granted: dict[int, pb.PartitionGrant] = {}
        self.follower: Follower | None = None
        self.frozen = False
        self.alive = True
        self.granted_at_freeze: set[int] = set()
        self.inbox: list[pb.StateUpdate] = []
        self.last_granted_ns: dict[int, int] = {}

    def live_grants(self) -> dict[int, pb.PartitionGrant]:
        if not self.alive or self.frozen or not self.feed.is_current():
            return {}
        return self.feed.view.grants_by_partition

    def receive(self, update: pb.StateUpdate) -> None:
        if self.frozen:
            self.inbox.append(update)
        elif self.alive:
            self.feed.apply(update)
            self.drain(self.feed.view)
            self.report()

    def drain(self, view: FleetView) -> None:
        """Report each revoked claim as drained once its last request has ended."""
        for number, grant in self.granted.items():
            current = view.grants_by_partition.get(number)
            if current is None or (current.term, current.transfer) != (grant.term, grant.transfer):
                claim = pb.PartitionClaim(number=number, term=grant.term, transfer=grant.transfer)
                delay_ms = self.host.world.random.choice([0, 0, MAX_REQUEST_MS])
                self.host.world.schedule(delay_ms, lambda claim=claim: self.on_drained(claim))
        self.granted = dict(view.grants_by_partition)

    def on_drained(self, claim: pb.PartitionClaim) -> None:
        if not self.alive:
            return
        if self.frozen:
            self.host.world.schedule(TICK_MS, lambda: self.on_drained(claim))
            return
        if claim.number not in self.granted:
            self.last_granted_ns.pop(claim.number, None)
        self.feed.report_drained([claim])
        self.report()

    def report(self) -> None:
        report = self.feed._make_report()
        follower = self.follower
        if follower is not None:
            self.host.run(lambda: self.host.on_report(follower, report))

    def resume(self) -> None:
        """Resume after a freeze, and process the updates that arrived meanwhile.

        A real process may send one request unchecked at this point. `check_grants` allows for it,
        from `granted_at_freeze`, while the process is still frozen.
        """
        self.frozen = False
        self.granted_at_freeze.clear()
        inbox, self.inbox = self.inbox, []
        for update in inbox:
            self.receive(update)


class Host:
    """One machine: its clock, its control process and its dispatch process."""

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        self.number = number
        self.offset_ns = world.random.randrange(10**12)
        self.drift = world.random.uniform(-0.02, 0.02)
        self.start_count = 0
        self.frozen = False
        self.inbox: list[Callable[[], None]] = []
        self.controller: Controller | None = None
        self.dispatch = DispatchProcess(self)

    def now_ns(self) -> int:
        return self.offset_ns + int(self.world.now_ns * (1 + self.drift))

    @property
    def node(self) -> Node:
        return self.controller.node

    def start(self) -> None:
        """Start the control process, as a new incarnation."""
        self.start_count += 1
        own = pb.Member(
            instance=f"h{self.number}",
            incarnation=f"h{self.number}-{self.start_count}",
            failure_domain="abc"[self.number % 3],
            control_address=f"c{self.number}",
            dispatch_addresses=[f"d{self.number}"],
            dispatch_down=True,
        )
        seeds = [f"c{host.number}" for host in self.world.hosts if host is not self]
        node = self.world.node_class(own, TIMING, self.now_ns(), seeds)
        environment = types.SimpleNamespace(now_ns=self.now_ns, log=LOG, settings=None)
        self.controller = Controller(environment, node)
        self.fleet_store = FleetStore(self.controller, store=None)
        self.in_flight_until_ns: dict[str, int] = {}
        # Like control.peers.Link, addresses requests to the incarnation that answered last.
        self.incarnations_by_host: dict[int, str] = {}
        self.world.hosts.append(self) if self not in self.world.hosts else None
        self.tick(self.controller)

    def kill(self) -> None:
        """End the control process."""
        self.controller = None
        self.frozen = False
        self.inbox.clear()
        self.dispatch.follower = None

    def resume(self) -> None:
        self.frozen = False
        inbox, self.inbox = self.inbox, []
        for work in inbox:
            self.run(work)

    def run(self, work: Callable[[], None]) -> None:
        """Run work in the current control process, or queue it while the process is frozen."""
        controller = self.controller
        if controller is None:
            return
        if self.frozen:
            self.inbox.append(work)
            return
        work()
        if self.controller is controller:
            controller.publish_changes()

    def tick(self, controller: Controller) -> None:
        """Schedule the next tick and run one step, as a control process does periodically."""
        if self.controller is not controller:
            return
        self.world.schedule(TICK_MS, lambda: self.tick(controller))
        if not self.frozen:
            self.run(self.step)

    def step(self) -> None:
        node, world, now_ns = self.node, self.world, self.now_ns()
        self.controller.tick()
        self.follow(now_ns)
        for claim in node.claims_to_drain():
            drained = self.controller.followers.find_drained(claim, now_ns)
            if drained is not None:
                node.on_drained(claim, drained, now_ns)
        for number, receiver in node.plan_transfers(now_ns):
            node.start_transfer(number, receiver)
        world.sync(self)
        world.transfer(self)
        world.release(self)
        for address in node.membership.addresses_to_probe():
            world.probe(self, address)
        if self.controller.followers.has_unresolved_dispatch() and not self.dispatch.alive:
            self.controller.followers.on_dispatch_refused()
        world.read_store(self)
        if plan_takeover(node, now_ns):
            world.write_store(self, self.make_takeover)
        elif world.random.random() < 0.01:
            world.write_store(self, self.make_copy)
        self.controller.followers.forget(now_ns)
        for version in {node.document.version} - node.acceptances.keys():
            node.track_acceptance(version)

    def make_takeover(self) -> pb.FleetDocument | None:
        claims = plan_takeover(self.node, self.now_ns())
        return make_takeover_document(self.node, claims) if claims else None

    def make_copy(self) -> pb.FleetDocument:
        return copy_claims(self.node.document, self.node.partitions.values())

    def make_change(self) -> pb.FleetDocument:
        change = pb.Change(change_id=str(self.world.random.random()), operator="ann")
        return add_change(self.node.document, change, self.node.partitions.values())

    def follow(self, now_ns: int) -> None:
        """Send the state to the dispatch process; connect it first, or disconnect a silent one."""
        followers, dispatch = self.controller.followers, self.dispatch
        if dispatch.follower is not None and now_ns - dispatch.follower.heard_ns > TIMING.lease_ns:
            self.on_disconnect(dispatch.follower)
            dispatch.follower = None
        if dispatch.follower is None and dispatch.alive and not dispatch.frozen:
            dispatch.follower = followers.connect(dispatch.feed._make_report(), now_ns)
        if dispatch.follower is not None:
            withheld = followers.withheld_from(dispatch.follower, now_ns)
            update = dispatch.follower.make_update(self.node, withheld, now_ns)
            self.world.schedule(0, lambda: dispatch.receive(update))

    def on_disconnect(self, follower: Follower) -> None:
        if follower in self.controller.followers.connected:
            self.controller.followers.disconnect(follower, self.now_ns())

    def on_report(self, follower: Follower, report: pb.FollowReport) -> None:
        if follower in self.controller.followers.connected:
            follower.on_report(report, self.now_ns())


class World:
    """All hosts, the network between them, and the store."""

    def __init__(
        self, seed: int, hosts: int = 3, partitions: int = 3, node_class: type[Node] = Node
    ) -> None:
        self.random = random.Random(seed)
        self.node_class = node_class
        self.now_ns = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = 0
        self.cuts: set[frozenset[int]] = set()
        self.hosts: list[Host] = []
        self.store_down = False
        self.store_cuts: set[int] = set()
        self.object: StoredObject | None = None
        self.partition_count = partitions
        self.versions: dict[int, int] = {}
        self.accepted_version = 0
        self.accepted_count = 0
        self.takeovers = 0
        self.versions_by_vote: dict[tuple[int, tuple[int, int]], int] = {}
        for number in range(hosts):
            host = Host(self, number)
            host.start()

    def schedule(self, delay_ms: float, work: Callable[[], None]) -> None:
        self.sequence += 1
        due_ns = self.now_ns + int(delay_ms * MS)
        heapq.heappush(self.events, (due_ns, self.sequence, work))

    def advance(self, duration_ms: float) -> None:
        end_ns = self.now_ns + int(duration_ms * MS)
        while self.events and self.events[0][0] <= end_ns:
            self.now_ns, _, work = heapq.heappop(self.events)
            work()
            self.check()
        self.now_ns = end_ns
        self.check()

    def delay_ms(self) -> float | None:
        """Return the delay of a message, or None if it is lost."""
        choice = self.random.random()
        if choice < 0.03:
            return None
        return self.random.uniform(100, 800) if choice < 0.06 else self.random.uniform(0, 8)

    def is_cut(self, first: int, second: int) -> bool:
        return frozenset((first, second)) in self.cuts

    def call(self, host: Host, kind: str, peer: int, handle: Callable, on_reply: Callable) -> None:
        """Send one request to a peer's control process, unless one of this kind is in flight."""
        key = f"{kind}{peer}"
        if host.in_flight_until_ns.get(key, -1) > self.now_ns or peer == host.number:
            return
        deadline_ns = host.in_flight_until_ns[key] = self.now_ns + TIMEOUT_MS * MS
        controller = host.controller

        def send_back(work: Callable[[], None]) -> None:
            delay_ms = self.delay_ms()
            if delay_ms is not None and not self.is_cut(host.number, peer):
                self.schedule(delay_ms, lambda: deliver(work))

        def deliver(work: Callable[[], None]) -> None:
            if host.controller is controller and self.now_ns < deadline_ns:
                host.in_flight_until_ns.pop(key, None)
                host.run(lambda: host.controller is controller and work())

        def serve() -> None:
            other = self.hosts[peer]
            if self.is_cut(host.number, peer):
                return
            if other.controller is None:
                send_back(lambda: host.node.on_connection_refused(f"c{peer}", host.now_ns()))
            else:
                other.run(lambda: answer(other))

        def answer(other: Host) -> None:
            reply = handle(other)
            send_back(lambda: on_reply(reply))

        delay_ms = self.delay_ms()
        if delay_ms is not None:
            self.schedule(delay_ms, serve)

    def sync(self, host: Host) -> None:
        node = host.node
        for other in self.hosts:
            if self.random.random() > TICK_MS / SYNC_MS:
                continue
            name = host.incarnations_by_host.get(other.number, "")
            request = node.make_sync_request(name)
            sent_ns = host.now_ns()
            self.call(
                host,
                "sync",
                other.number,
                lambda peer, request=request: peer.node.on_sync_request(request, peer.now_ns()),
                lambda reply, sent_ns=sent_ns, number=other.number: self.on_sync_reply(
                    host, number, reply, sent_ns
                ),
            )

    def on_sync_reply(self, host: Host, peer: int, reply: pb.SyncReply, sent_ns: int) -> None:
        host.incarnations_by_host[peer] = reply.responder.incarnation
        host.node.on_sync_reply(reply, sent_ns, host.now_ns())

    def transfer(self, host: Host) -> None:
        node = host.node
        for receiver, partitions in node.transfers_to_send().items():
            request = pb.TransferRequest(
                protocol=1, giver=node.own, partitions=partitions, document=node.document
            )
            self.call(
                host,
                "transfer",
                int(receiver[1]),
                lambda peer, request=request: peer.node.on_transfer_request(request, peer.now_ns()),
                lambda reply, request=request: node.on_transfer_reply(
                    reply, request.partitions, host.now_ns()
                ),
            )

    def release(self, host: Host) -> None:
        node = host.node
        claims = node.waiting_claims()
        for name in node.peers_to_ask_for_release() if claims else []:
            self.call(
                host,
                "release",
                int(name[1]),
                lambda peer: peer.node.on_release_request(claims),
                lambda reply: node.on_release_reply(
                    reply.incarnation, claims, reply.released, host.now_ns()
                ),
            )

    def probe(self, host: Host, address: str) -> None:
        other = self.hosts[int(address[1])]
        if (
            address[0] == "d"
            and not other.dispatch.alive
            and not self.is_cut(host.number, other.number)
        ):
            host.node.on_connection_refused(address, host.now_ns())

    def call_store(self, host: Host, kind: str, serve: Callable, on_answer: Callable) -> None:
        """Send one request to the store; the request and its answer can be lost independently."""
        if host.in_flight_until_ns.get(kind, -1) > self.now_ns:
            return
        deadline_ns = host.in_flight_until_ns[kind] = self.now_ns + TIMEOUT_MS * MS
        controller = host.controller

        def deliver(answer: object) -> None:
            if host.controller is controller and self.now_ns < deadline_ns:
                host.in_flight_until_ns.pop(kind, None)
                host.run(lambda: host.controller is controller and on_answer(answer))

        def serve_request() -> None:
            if self.store_down or host.number in self.store_cuts:
                return
            answer = serve()
            delay_ms = self.delay_ms()
            if delay_ms is not None:
                self.schedule(delay_ms, lambda: deliver(answer))

        delay_ms = self.delay_ms()
        if delay_ms is not None:
            self.schedule(delay_ms, serve_request)

    def read_store(self, host: Host, then: Callable[[], None] | None = None) -> None:
        sent_ns = host.now_ns()

        def on_answer(item: StoredObject | None) -> None:
            if item is None:
                if not host.node.document.version and not host.node.seeds:
                    self.call_store(host, "write", lambda: self.create(host), lambda _: None)
                return
            host.fleet_store.on_document(item)
            host.node.on_store_read(
                host.fleet_store.stored_document_version, sent_ns, host.now_ns()
            )
            if (
                then is not None
                and host.fleet_store.stored_document_version == host.node.document.version
            ):
                then()

        kind = "read" if then is None else "fresh"
        self.call_store(host, kind, lambda: self.object, on_answer)

    def create(self, host: Host) -> None:
        if self.object is None and host.controller is not None:
            count = self.partition_count
            document = make_document(host.node.own, count, count, ["a", "b", "c"])
            self.object = StoredObject("fleet/document", 1, document.SerializeToString())

    def write_store(self, host: Host, make: Callable[[], pb.FleetDocument | None]) -> None:
        """Read the document, then replace it if the store still has the version that was read."""

        def write() -> None:
            node = host.node
            document = make()
            if document is None:
                return
            version, value = node.store_version, document.SerializeToString()
            sent_ns = host.now_ns()

            def on_answer(written: int | None) -> None:
                if written is None:
                    return
                node.store_version = max(written, node.store_version)
                if written == node.store_version:
                    host.fleet_store.stored_document_version = document.version
                node.adopt_document(document, host.now_ns())
                node.on_store_read(document.version, sent_ns, host.now_ns())

            self.call_store(host, "write", lambda: self.replace(version, value), on_answer)

        self.read_store(host, then=write)

    def replace(self, version: int, value: bytes) -> int | None:
        if self.object is None or self.object.version != version:
            return None
        document = pb.FleetDocument.FromString(value)
        self.takeovers += bool(
            document.recent_changes and document.recent_changes[-1].change_id[:8] == "takeover"
        )
        self.object = StoredObject("fleet/document", version + 1, value)
        return version + 1

    def check(self) -> None:
        self.check_grants()
        self.check_acceptance()
        self.check_votes()

    def check_grants(self) -> None:
        """Check that two processes never send for one partition, except within the reserve."""
        dispatches = [host.dispatch for host in self.hosts] + self.old_dispatches
        for dispatch in dispatches:
            for number, grant in dispatch.live_grants().items():
                stale = 0
                for other in dispatches:
                    if other is dispatch:
                        continue
                    if number in other.live_grants():
                        raise ViolationError(f"two live grants for partition {number}")
                    stale += other.alive and other.frozen and number in other.granted_at_freeze
                    last_ns = other.last_granted_ns.get(number)
                    if last_ns is not None and self.now_ns < last_ns + MAX_REQUEST_MS * MS:
                        raise ViolationError(f"requests in flight for partition {number}")
                if stale > grant.reserve:
                    raise ViolationError(f"reserve {grant.reserve} for {stale} frozen processes")
                dispatch.last_granted_ns[number] = self.now_ns

    @property
    def old_dispatches(self) -> list[DispatchProcess]:
        return [old for host in self.hosts for old in getattr(host, "old_dispatches", [])]

    def check_acceptance(self) -> None:
        """Check that no process acts on a state older than an accepted one, or reverts to one."""
        for host in self.hosts:
            dispatch = host.dispatch
            if host.controller is not None:
                accepted = [a.version for a in host.node.acceptances.values() if a.accepted_ns]
                newest = max(accepted, default=0)
                self.accepted_count += newest > self.accepted_version
                self.accepted_version = max(self.accepted_version, newest)
            version = dispatch.feed.view.document.version
            if version < self.versions.get(id(dispatch), 0):
                raise ViolationError(f"version went back to {version}")
            self.versions[id(dispatch)] = version
        for host in self.hosts:
            dispatch = host.dispatch
            acting = dispatch.alive and not dispatch.frozen and dispatch.feed.is_current()
            if acting and dispatch.feed.view.document.version < self.accepted_version:
                raise ViolationError(
                    f"acts on version {dispatch.feed.view.document.version},"
                    f" {self.accepted_version} is accepted"
                )

    def check_votes(self) -> None:
        """Check that a vote never moves to a holder whose state is older than the giver's."""
        holders: dict[int, list[tuple[tuple[int, int], int]]] = {}
        for host in self.hosts:
            if host.controller is None:
                continue
            for number, claim in host.node.accepted_claims.items():
                version = host.node.document.version
                holders.setdefault(number, []).append((claim, version))
        for number, claims in holders.items():
            for (term, transfer), version in claims:
                earlier = self.versions_by_vote.get((number, (term, transfer - 1)), 0)
                if version < earlier:
                    raise ViolationError(f"vote {number} moved from version {earlier} to {version}")
                self.versions_by_vote[(number, (term, transfer))] = version

    def freeze_dispatch(self, host: Host) -> None:
        dispatch = host.dispatch
        if dispatch.alive and not dispatch.frozen:
            dispatch.granted_at_freeze = set(dispatch.live_grants())
            dispatch.frozen = True

    def kill_dispatch(self, host: Host) -> None:
        host.dispatch.alive = False
        host.dispatch.frozen = False
        host.dispatch.granted_at_freeze.clear()
        follower, host.dispatch.follower = host.dispatch.follower, None
        if follower is not None:
            host.run(lambda: host.on_disconnect(follower))

    def restart(self, host: Host) -> None:
        """Start whichever of the host's processes is dead."""
        if not host.dispatch.alive:
            if not hasattr(host, "old_dispatches"):
                host.old_dispatches = []
            host.old_dispatches.append(host.dispatch)
            host.dispatch = DispatchProcess(host)
        if host.controller is None:
            host.start()

    def end_all_faults(self) -> None:
        self.cuts.clear()
        self.store_cuts.clear()
        self.store_down = False
        for host in self.hosts:
            if host.dispatch.frozen:
                host.dispatch.resume()
            if host.frozen:
                host.resume()
            self.restart(host)

    def is_served(self) -> bool:
        served = [number for host in self.hosts for number in host.dispatch.live_grants()]
        return sorted(served) == list(range(self.partition_count))


FAULTS = (
    "cut",
    "reconnect",
    "cut_store",
    "store_down",
    "store_up",
    "freeze_control",
    "resume_control",
    "freeze_dispatch",
    "resume_dispatch",
    "kill_control",
    "kill_dispatch",
    "kill_both",
    "restart",
    "leave",
    "change",
)


def inject(world: World, fault: str, first: int, second: int) -> None:
    """Start or end a fault on one host or on a pair of hosts."""
    host = world.hosts[first % len(world.hosts)]
    pair = frozenset((host.number, second % len(world.hosts)))
    match fault:
        case "cut":
            world.cuts.add(pair)
        case "reconnect":
            world.cuts.discard(pair)
        case "cut_store":
            world.store_cuts ^= {host.number}
        case "store_down" | "store_up":
            world.store_down = fault == "store_down"
        case "freeze_control":
            host.frozen = host.controller is not None
        case "resume_control" if host.frozen:
            host.resume()
        case "freeze_dispatch":
            world.freeze_dispatch(host)
        case "resume_dispatch" if host.dispatch.frozen:
            host.dispatch.resume()
        case "kill_control" if host.controller is not None:
            host.kill()
        case "kill_dispatch":
            world.kill_dispatch(host)
        case "kill_both":
            world.kill_dispatch(host)
            if host.controller is not None:
                host.kill()
        case "restart":
            world.restart(host)
        case "leave" if host.controller is not None:
            host.node.own.leaving = True
        case "change" if host.controller is not None and not host.frozen:
            world.write_store(host, host.make_change)
