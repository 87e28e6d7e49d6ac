"""Exhaustive test of one transfer racing one takeover, in every possible order of messages."""

import itertools
import unittest

from flamingostack.fleet.document import add_change, make_document
from flamingostack.fleet.node import Node, Timing
from flamingostack.fleet.takeover import make_next_claim
from flamingostack.generated import messages_pb2 as pb

MS = 1_000_000
TIMING = Timing(300 * MS, 30 * MS, 200 * MS, 100 * MS)
NOW_NS = 1_000 * MS
# Each event and the events that must precede it.
EVENTS = {
    "give": (),
    "transfer": ("give",),
    "transfer again": ("transfer",),
    "take over": (),
    "ask a": ("take over",),
    "ask b": ("take over",),
    "a reads": ("take over",),
    "b reads": ("take over",),
}


def make_node(name: str, node_class: type[Node] = Node) -> Node:
    own = pb.Member(instance=name, incarnation=name, control_address=name, failure_domain="x")
    return node_class(own, TIMING, 0)


def sync_all(*nodes: Node) -> None:
    """Exchange one Sync between every pair of nodes, in both directions."""
    for first, second in itertools.permutations(nodes, 2):
        request = first.make_sync_request(second.own.incarnation)
        reply = second.on_sync_request(request, NOW_NS)
        first.on_sync_reply(reply, NOW_NS, NOW_NS)


class Race:
    """Node a transfers partition 0 to b, while c takes it over from a."""

    def __init__(self, node_class: type[Node]) -> None:
        self.nodes = {name: make_node(name, node_class) for name in "abc"}
        self.a, self.b, self.c = self.nodes.values()
        self.a.bootstrap(make_document(self.a.own, 1, 1, []), NOW_NS)
        sync_all(*self.nodes.values())
        self.transfer = pb.TransferRequest()
        self.written = pb.FleetDocument()

    def apply_event(self, event: str) -> None:
        match event:
            case "give":
                self.a.start_transfer(0, "b")
                self.drain(self.a)
                sent = self.a.transfers_to_send().get("b", [])
                self.transfer = pb.TransferRequest(
                    protocol=1, giver=self.a.own, partitions=sent, document=self.a.document
                )
            case "transfer" | "transfer again":
                if self.transfer.partitions:
                    self.b.on_transfer_request(self.transfer, NOW_NS)
            case "take over":
                claim = make_next_claim(self.c.partitions[0], self.c.own)
                change = pb.Change(change_id="t")
                self.written = add_change(self.c.document, change, [claim])
                self.c.adopt_document(self.written, NOW_NS)
                self.c.update(NOW_NS)
            case "ask a" | "ask b":
                self.ask_for_release(self.nodes[event[-1]])
            case "a reads" | "b reads":
                node = self.nodes[event[0]]
                node.adopt_document(self.written, NOW_NS)
                node.update(NOW_NS)
                self.drain(node)

    def drain(self, node: Node) -> None:
        for claim in node.claims_to_drain():
            node.on_drained(claim, True, NOW_NS)

    def ask_for_release(self, node: Node) -> None:
        claims = self.c.waiting_claims()
        reply = node.on_release_request(claims)
        self.c.on_release_reply(reply.incarnation, claims, reply.released, NOW_NS)

    def senders(self) -> list[str]:
        return [name for name, node in self.nodes.items() if node.grants()]


def valid_orders():
    for order in itertools.permutations(EVENTS):
        positions = {event: position for position, event in enumerate(order)}
        if all(
            positions[needed] < positions[event]
            for event, before in EVENTS.items()
            for needed in before
        ):
            yield order


def find_two_senders(node_class: type[Node]) -> tuple[int, tuple[str, ...]]:
    """Return the number of orders tried, and the first one with two senders (empty: none).

    The order ends with the event that leads to two senders.
    """
    count = 0
    for order in valid_orders():
        count += 1
        race = Race(node_class)
        for position, event in enumerate(order):
            race.apply_event(event)
            if len(race.senders()) > 1:
                return count, order[: position + 1]
    return count, ()


class NoReleasedClaims(Node):
    """Does not record that it released a claim."""

    def on_release_request(self, claims):
        reply = super().on_release_request(claims)
        self.released_claims.clear()
        return reply


class TransferAgainstTakeoverTest(unittest.TestCase):
    """Guards against two nodes that may both send for a partition.

    This would happen if the receiver of a transfer accepted it after it had released the partition
    to the node that took it over.
    """

    def test_no_order_has_two_senders(self):
        count, order = find_two_senders(Node)
        self.assertEqual(order, ())
        self.assertGreater(count, 500)

    def test_search_fails_if_a_released_partition_can_be_taken(self):
        self.assertIn("transfer", find_two_senders(NoReleasedClaims)[1])
