"""Tests of single rules: lease, document, balancing, takeover, acceptance and Sync lists."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from flamingostack.errors import Failure
from flamingostack.fleet.document import (
    MAX_RECENT_CHANGES,
    add_change,
    check_mark,
    copy_claims,
    find_change,
    find_conflicting_change,
    make_document,
    set_mark,
)
from flamingostack.fleet.lease import NO_LEASE, PeerAnswer, compute_relay_lease, compute_vote_lease
from flamingostack.fleet.node import Node
from flamingostack.fleet.partitions import assign_partitions, plan_balance
from flamingostack.fleet.takeover import plan_takeover
from flamingostack.generated import messages_pb2 as pb
from tests.fleet.test_transfer import MS, NOW_NS, TIMING, make_node, sync_all

LEASE_NS = 3000


def answer(sent_ns: int, version: int = 5, contact_ns: int | None = None, votes=()) -> PeerAnswer:
    return PeerAnswer(sent_ns, version, contact_ns, frozenset(votes))


class LeaseTest(unittest.TestCase):
    """Guards against a lease that outlasts the store contact or votes that it is based on.

    A process with such a lease would act on a state that the fleet has already replaced.
    """

    def test_relay_counts_from_the_peers_contact_and_ignores_newer_peers(self):
        answers = [answer(900, contact_ns=700), answer(950, version=6, contact_ns=940)]
        self.assertEqual(compute_relay_lease(answers, version=5, lease_ns=LEASE_NS), 700 + LEASE_NS)

    def vote(self, answers, own=()):
        return compute_vote_lease(
            answers, frozenset(own), 6, version=5, lease_ns=LEASE_NS, now_ns=10_000
        )

    def test_vote_counts_from_the_oldest_answer_that_is_needed(self):
        answers = [answer(9000, votes=[2]), answer(8000, votes=[3]), answer(7000, votes=[4, 5])]
        self.assertEqual(self.vote(answers, own=[0, 1]), 8000 + LEASE_NS)

    def test_half_of_the_votes_or_newer_versions_give_no_lease(self):
        answers = [answer(9000, votes=[2]), answer(9000, votes=[2]), answer(9000, 6, votes=[3, 4])]
        self.assertEqual(self.vote(answers, own=[0, 1]), NO_LEASE)

    def test_vote_is_taken_before_the_lease_of_the_last_store_contact_ends(self):
        # Guards against a gap without any lease at the start of a store outage.
        contact_ns = 10_000 - LEASE_NS * 4 // 5
        answers = [answer(9000, votes=[2, 3], contact_ns=contact_ns)]
        self.assertEqual(self.vote(answers, own=[0, 1]), 9000 + LEASE_NS)

    def test_vote_is_not_used_while_a_peer_reaches_the_store(self):
        answers = [answer(9000, votes=[2, 3]), answer(9000, 6, contact_ns=8000)]
        self.assertEqual(self.vote(answers, own=[0, 1]), NO_LEASE)


class DocumentTest(unittest.TestCase):
    """Guards against claims that revert, marks without a subject, and undetected edit conflicts.

    An edit conflict could be missed once its change has dropped out of the bounded list, or be
    reported for a takeover, which is no operator's change.
    """

    def setUp(self):
        self.document = make_document(pb.Member(incarnation="a"), 3, 3, ["x"])

    def change(self, name: str, operator: str = "ann") -> None:
        change = pb.Change(change_id=name, operator=operator)
        self.document = add_change(self.document, change, [])

    def test_only_operators_changes_win_a_race(self):
        self.change("takeover", operator="flamingostack-control")
        self.assertIsNone(find_conflicting_change(self.document, 1))
        self.change("first")
        self.assertEqual(find_conflicting_change(self.document, 1).change_id, "first")
        self.assertIsNone(find_conflicting_change(self.document, 3))
        self.assertIsNone(find_conflicting_change(self.document, 0))

    def test_list_of_changes_is_bounded_and_an_old_expectation_conflicts(self):
        for number in range(MAX_RECENT_CHANGES + 5):
            self.change(f"c{number}", operator="flamingostack-control")
        self.assertEqual(len(self.document.recent_changes), MAX_RECENT_CHANGES)
        self.assertIsNone(find_change(self.document, "c4"))
        self.assertIsNotNone(find_conflicting_change(self.document, 1))

    def test_copied_claims_never_go_back(self):
        newer = pb.Partition(number=1, term=1, transfer=2, holder=pb.Member(incarnation="b"))
        document = copy_claims(self.document, [newer])
        document = copy_claims(document, self.document.partitions)
        self.assertEqual((document.version, document.partitions[1]), (3, newer))

    def test_mark_needs_one_known_subject(self):
        for request in (
            pb.SetMark(failure_domain="x", target="t", state=pb.MARK_STATE_LEAVING),
            pb.SetMark(target="unknown", state=pb.MARK_STATE_LEAVING),
            pb.SetMark(failure_domain="x"),
        ):
            self.assertIsInstance(check_mark(self.document, request, {"x"}, {"t"}), Failure)
        leaving = pb.SetMark(failure_domain="x", state=pb.MARK_STATE_LEAVING)
        self.assertIsNone(check_mark(self.document, leaving, {"x"}, {"t"}))
        set_mark(self.document, leaving)
        set_mark(self.document, pb.SetMark(failure_domain="x"))
        self.assertEqual(len(self.document.marks), 0)


class BalanceTest(unittest.TestCase):
    """Guards against balancing that never settles, or leaves one member with most partitions."""

    @given(
        holders=st.lists(st.integers(0, 5), min_size=1, max_size=24),
        domains=st.lists(st.sampled_from("abc"), min_size=1, max_size=6),
    )
    def test_plan_levels_the_counts_and_is_stable(self, holders, domains):
        members = {str(number): domain for number, domain in enumerate(domains)}
        held = {number: str(holder % len(members)) for number, holder in enumerate(holders)}
        for _ in range(10):
            moves = plan_balance(held, members, "abc")
            if not moves:
                break
            held.update(moves)
        self.assertEqual(moves, [])
        counts = [list(held.values()).count(name) for name in members]
        self.assertLessEqual(max(counts) - min(counts), 1)

    def test_lost_partitions_go_to_the_members_with_the_fewest(self):
        assigned = assign_partitions([0, 1, 2], {"p": 2, "q": 0}, {"p": "a", "q": "b"}, ["a", "b"])
        self.assertEqual(sorted(assigned.values()), ["p", "q", "q"])


class TakeoverTest(unittest.TestCase):
    """Guards against a takeover by a minority, and holding a partition without its transfer.

    A member that cannot reach a majority must not treat the others as lost. A claim that a peer
    merely lists must not count before its Transfer request has arrived.
    """

    def setUp(self):
        self.a, self.b, self.c = (make_node(name) for name in "abc")
        self.a.bootstrap(make_document(self.a.own, 2, 2, []), NOW_NS)
        sync_all(self.a, self.b, self.c)
        self.later_ns = NOW_NS + TIMING.suspect_ns

    def record_store_contact(self, node: Node, now_ns: int) -> None:
        node.on_store_read(node.document.version, now_ns, now_ns)

    def test_silent_majority_is_not_taken_over_but_a_dead_one_is(self):
        self.record_store_contact(self.b, self.later_ns)
        self.assertEqual(plan_takeover(self.b, self.later_ns), [])
        self.b.on_connection_refused("a", self.later_ns)
        claims = plan_takeover(self.b, self.later_ns)
        self.assertEqual([(c.term, list(c.unresolved_holders)) for c in claims], [(2, ["a"])] * 2)

    def test_takeover_needs_the_store(self):
        self.b.on_connection_refused("a", self.later_ns)
        self.assertEqual(plan_takeover(self.b, self.later_ns), [])

    def test_claim_known_from_a_message_is_no_claim_before_its_transfer(self):
        named = pb.Partition(number=0, term=1, transfer=1, holder=self.b.own)
        self.b.merge_partitions([named])
        self.b.update(NOW_NS)
        self.assertEqual((self.b.votes(), self.b.grants()), (frozenset(), []))
        wait_ns = TIMING.suspect_ns + TIMING.lease_ns
        self.b.on_connection_refused("a", NOW_NS + wait_ns)
        self.record_store_contact(self.b, NOW_NS + wait_ns)
        claims = plan_takeover(self.b, NOW_NS + wait_ns)
        self.assertEqual([claim.term for claim in claims if claim.number == 0], [2])

    def test_transfer_carries_the_givers_document(self):
        document = add_change(self.a.document, pb.Change(change_id="c"), [])
        self.a.adopt_document(document, NOW_NS)
        partition = pb.Partition(number=0, term=1, transfer=1, holder=self.b.own)
        request = pb.TransferRequest(
            protocol=1, giver=self.a.own, partitions=[partition], document=document
        )
        self.assertEqual(list(self.b.on_transfer_request(request, NOW_NS).accepted), [0])
        self.assertEqual((self.b.document.version, self.b.votes()), (2, {0}))

    def test_leaving_receiver_refuses_and_the_giver_keeps_the_partition(self):
        self.a.start_transfer(0, "b")
        for claim in self.a.claims_to_drain():
            self.a.on_drained(claim, True, NOW_NS)
        sent = self.a.transfers_to_send()["b"]
        self.b.own.leaving = True
        request = pb.TransferRequest(protocol=1, giver=self.a.own, partitions=sent)
        reply = self.b.on_transfer_request(request, NOW_NS)
        self.a.on_transfer_reply(reply, sent, NOW_NS)
        self.assertEqual([grant.transfer for grant in self.a.grants()], [2, 0])


class AcceptanceTest(unittest.TestCase):
    """Guards against accepting a change while some instance may still act on an older state."""

    def setUp(self):
        TakeoverTest.setUp(self)
        document = add_change(self.a.document, pb.Change(change_id="c"), [])
        self.a.adopt_document(document, NOW_NS)
        self.a.applied_version = 2
        self.acceptance = self.a.track_acceptance(2)

    def test_unconfirmed_instance_costs_the_lease_and_the_margin(self):
        self.a.update(NOW_NS)
        self.assertEqual(self.a.unconfirmed_instances(self.acceptance, NOW_NS), ["b", "c"])
        wait_ns = TIMING.lease_ns + TIMING.margin_ns
        self.a.update(NOW_NS + wait_ns - 1)
        self.assertFalse(self.acceptance.accepted_ns)
        self.a.update(NOW_NS + wait_ns)
        self.assertTrue(self.acceptance.accepted_ns)

    def test_dead_holder_does_not_count_while_a_silent_member_may_have_its_votes(self):
        self.b.adopt_document(self.a.document, NOW_NS)
        acceptance = self.b.track_acceptance(2)
        self.b.on_connection_refused("a", NOW_NS + MS)
        self.b.update(NOW_NS + MS)
        self.assertFalse(acceptance.quorum_ns)
        request = self.b.make_sync_request("c")
        reply = self.c.on_sync_request(request, NOW_NS + 2 * MS)
        self.b.on_sync_reply(reply, NOW_NS + 2 * MS, NOW_NS + 2 * MS)
        self.assertTrue(acceptance.quorum_ns)

    def test_new_instance_takes_no_lease_before_a_peer_knows_it(self):
        added = make_node("d")
        added.adopt_document(self.a.document, NOW_NS)
        added.on_store_read(2, NOW_NS, NOW_NS)
        self.assertFalse(added.is_current(NOW_NS))
        sync_all(self.a, added)
        self.assertTrue(added.is_current(NOW_NS))
        self.assertIn("d", self.a.unconfirmed_instances(self.acceptance, NOW_NS))


class SentCountsAsKnown(Node):
    """Omits from a reply what an earlier reply listed, even if that reply was lost."""

    __slots__ = ("listed",)

    def _make_sync_reply(self, request, now_ns):
        request.known_revisions.CopyFrom(getattr(self, "listed", pb.Revisions()))
        self.listed = self._revisions()
        return super()._make_sync_reply(request, now_ns)


class AnyIncarnation(Node):
    """Accepts revisions that were meant for the previous incarnation at its address."""

    def _make_sync_reply(self, request, now_ns):
        request.receiver = self.own.incarnation
        return super()._make_sync_reply(request, now_ns)


class SyncDeltaTest(unittest.TestCase):
    """Guards against Sync messages that omit a change that the receiver does not have.

    Sync sends only changes since the last confirmed revision. A lost reply or a restarted receiver
    must not count as confirmed, or a claim would never arrive.
    """

    def make_pair(self, node_class):
        a, b = make_node("a"), make_node("b", node_class)
        a.bootstrap(make_document(a.own, 3, 3, []), NOW_NS)
        sync_all(a, b)
        return a, b

    def sync(self, sender, receiver, incarnation, now_ns, lost=False):
        reply = receiver.on_sync_request(sender.make_sync_request(incarnation), now_ns)
        if not lost:
            sender.on_sync_reply(reply, now_ns, now_ns)
        return reply

    def is_accepted_without_the_votes_of_c(self, node_class):
        """Return whether d sees a quorum while c, with an older version, holds all votes.

        The votes moved from a to c by a transfer that only b knows of.
        """
        a, b = self.make_pair(node_class)
        c, d = make_node("c"), make_node("d")
        given = [pb.Partition(number=n, term=1, transfer=1, holder=c.own) for n in range(3)]
        d.adopt_document(a.document, NOW_NS)
        sync_all(d, b)
        d.adopt_document(add_change(a.document, pb.Change(change_id="c"), []), NOW_NS)
        acceptance = d.track_acceptance(2)
        b.merge_partitions(given)
        d.on_connection_refused("a", NOW_NS + MS)
        self.sync(d, b, "b", NOW_NS + 2 * MS, lost=True)
        self.sync(d, b, "b", NOW_NS + 3 * MS)
        return bool(acceptance.quorum_ns)

    def test_claims_of_a_lost_reply_are_sent_again_before_a_dead_holder_counts(self):
        self.assertFalse(self.is_accepted_without_the_votes_of_c(Node))
        self.assertTrue(self.is_accepted_without_the_votes_of_c(SentCountsAsKnown))

    def can_leave_after_restart(self, node_class):
        """Return whether a counts its claims as confirmed by b, which restarted without them.

        The Sync after the restart lists no claims, because b's earlier incarnation confirmed them.
        """
        a, _ = self.make_pair(Node)
        a.start_transfer(0, "b")
        for claim in a.claims_to_drain():
            a.on_drained(claim, True, NOW_NS)
        b = make_node("b2", node_class)
        a.membership.peers["b"].confirmed_revisions.CopyFrom(a._revisions())
        self.sync(a, b, "b", NOW_NS + MS)
        return a.membership.peers["b2"].confirmed_revisions.claims >= a.claims_revision

    def test_restarted_process_confirms_nothing_that_it_was_not_sent(self):
        self.assertFalse(self.can_leave_after_restart(Node))
        self.assertTrue(self.can_leave_after_restart(AnyIncarnation))

    def test_known_lists_are_left_out_and_a_change_is_sent_once(self):
        a, b = self.make_pair(Node)
        for _ in range(2):
            sync_all(a, b)
        request = a.make_sync_request("b")
        self.assertEqual((len(request.known_members), len(request.partitions)), (0, 0))
        moved = pb.Partition(number=1, term=1, transfer=1, holder=pb.Member(incarnation="c"))
        a.merge_partitions([moved])
        self.assertEqual(list(a.make_sync_request("b").partitions), [moved])
        self.sync(a, b, "b", NOW_NS + MS)
        self.assertEqual(list(a.make_sync_request("b").partitions), [])
        self.assertEqual(b.partitions[1], moved)

    def test_member_that_comes_back_or_leaves_is_sent_again(self):
        a, b = self.make_pair(Node)
        c = make_node("c")
        sync_all(a, c)
        self.sync(a, b, "b", NOW_NS)
        self.assertEqual(list(a.make_sync_request("b").known_members), [])
        a.on_connection_refused("c", NOW_NS + MS)
        a.on_sync_request(c.make_sync_request("a"), NOW_NS + 2 * MS)
        self.assertEqual(list(a.make_sync_request("b").known_members), [c.own])
        self.sync(a, b, "b", NOW_NS + 2 * MS)
        c.own.leaving = True
        a.on_sync_request(c.make_sync_request("a"), NOW_NS + 3 * MS)
        self.assertEqual(list(a.make_sync_request("b").known_members), [c.own])
