"""Tests of flamingostack.gateway.fanout."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from flamingostack.gateway.fanout import (
    Answer,
    FanOutPlan,
    GiveUp,
    PartState,
    Send,
    Wait,
    compute_hedge_delay_s,
    count_required_parts,
)

SOFT_DEADLINE = 0.28
DEADLINE = 1.0
HEDGE_DELAY_S = 0.08


def make_plan(parts: int = 10, **fields) -> FanOutPlan:
    return FanOutPlan(
        [f"s{number}" for number in range(parts)],
        **{
            "min_coverage": 0.89,
            "max_sends": 2,
            "soft_deadline": SOFT_DEADLINE,
            "deadline": DEADLINE,
            "may_hedge": True,
        }
        | fields,
    )


def send_all(plan: FanOutPlan, now: float) -> list:
    decision = plan.decide(now)
    for part in decision.parts:
        plan.on_sent(part, None, now, HEDGE_DELAY_S)
    return decision.parts


class HedgeTest(unittest.TestCase):
    """Guards against spending hedges on parts that are only slightly slow."""

    def test_hedge_waits_while_two_further_sends_fit_before_the_goal(self):
        # 126 ms to the soft deadline, 20 ms typical latency: two sends, each taking 28 ms and a
        # round trip of 8 ms.
        delay_s = compute_hedge_delay_s(
            slow_latency_s=0.03, latency_s=0.02, soft_deadline_s=0.126, spent_budget_share=0.0
        )
        self.assertAlmostEqual(delay_s, 0.126 - 2 * 0.036)

    def test_short_goal_is_hedged_as_soon_as_a_part_is_slow(self):
        delay_s = compute_hedge_delay_s(
            slow_latency_s=0.024, latency_s=0.015, soft_deadline_s=0.07, spent_budget_share=0.0
        )
        self.assertAlmostEqual(delay_s, 0.024)

    def test_spent_budget_moves_the_hedge_to_the_last_moment(self):
        delay_s = compute_hedge_delay_s(
            slow_latency_s=0.03, latency_s=0.02, soft_deadline_s=0.126, spent_budget_share=1.0
        )
        self.assertAlmostEqual(delay_s, 0.126 - 0.036)
        delay_s = compute_hedge_delay_s(
            slow_latency_s=0.2, latency_s=0.02, soft_deadline_s=0.126, spent_budget_share=1.0
        )
        self.assertAlmostEqual(delay_s, 0.2)


class FanOutPlanTest(unittest.TestCase):
    """Guards against late or incomplete answers, and against waiting when no answer can come."""

    def test_all_parts_are_sent_and_the_answer_leaves_when_all_are_in(self):
        plan = make_plan()
        parts = send_all(plan, 0.0)
        self.assertEqual(len(parts), 10)
        for part in parts:
            self.assertIsInstance(plan.decide(0.03), Wait)
            plan.on_answered(part)
        self.assertIsInstance(plan.decide(0.03), Answer)

    def test_paused_target_costs_one_more_send(self):
        plan = make_plan()
        parts = send_all(plan, 0.0)
        for part in parts[1:]:
            plan.on_answered(part)
        self.assertEqual(plan.decide(0.05).until, HEDGE_DELAY_S)
        self.assertEqual(send_all(plan, 0.08), parts[:1])
        # `max_sends` is 2, so there is no third send.
        self.assertEqual(plan.decide(0.2).until, SOFT_DEADLINE)
        plan.on_answered(parts[0])
        self.assertIsInstance(plan.decide(0.2), Answer)

    def test_shard_that_is_down_does_not_hold_the_answer_beyond_the_goal(self):
        plan = make_plan()
        for part in send_all(plan, 0.0)[1:]:
            plan.on_answered(part)
        send_all(plan, 0.08)
        self.assertIsInstance(plan.decide(SOFT_DEADLINE - 0.001), Wait)
        self.assertIsInstance(plan.decide(SOFT_DEADLINE), Answer)

    def test_too_thin_an_answer_waits_until_the_limit_and_no_longer(self):
        plan = make_plan()
        for part in send_all(plan, 0.0)[2:]:
            plan.on_answered(part)
        send_all(plan, 0.08)
        self.assertIsInstance(plan.decide(SOFT_DEADLINE), Wait)
        self.assertTrue(plan.decide(DEADLINE).is_past_deadline)

    def test_request_fails_at_once_when_too_many_parts_are_lost(self):
        plan = make_plan()
        parts = plan.decide(0.0).parts
        plan.on_blocked(parts[0], False, 0.0)
        self.assertIsInstance(plan.decide(0.0), Send)
        plan.on_blocked(parts[1], False, 0.0)
        self.assertFalse(plan.decide(0.0).is_past_deadline)

    def test_needed_part_waits_for_room_while_others_are_under_way(self):
        plan = make_plan()
        parts = plan.decide(0.0).parts
        for part in parts[2:]:
            plan.on_sent(part, None, 0.0, HEDGE_DELAY_S)
        for now in (0.0, 0.06):
            plan.on_blocked(parts[0], True, now)
            plan.on_blocked(parts[1], True, now)
        # Nine parts are required; only eight may be answered if neither of these two is sent.
        states = [part.state for part in parts[:2]]
        self.assertEqual(states, [PartState.OPEN, PartState.OPEN])
        plan.on_answered(parts[2])
        plan.on_blocked(parts[0], True, SOFT_DEADLINE)
        self.assertEqual(parts[0].state, PartState.LOST)

    def test_request_that_must_fail_is_not_begun(self):
        plan = make_plan()
        self.assertTrue(plan.can_start([True] * 9 + [False]))
        self.assertFalse(plan.can_start([True] * 8 + [False] * 2))

    def test_part_without_a_free_target_is_given_up_soon(self):
        plan = make_plan(parts=1, min_coverage=1.0)
        now = 0.0
        while isinstance(decision := plan.decide(now), Send | Wait):
            if isinstance(decision, Send):
                plan.on_blocked(decision.parts[0], True, now)
            else:
                now = decision.until
        self.assertIsInstance(decision, GiveUp)
        self.assertLess(now, 0.1)

    def test_refused_send_does_not_count_but_ends(self):
        plan = make_plan(parts=1, min_coverage=1.0)
        sends = 0
        while isinstance(plan.decide(0.0), Send):
            (part,) = send_all(plan, 0.0)
            plan.on_failed(part, may_have_run=False)
            sends += 1
        self.assertEqual(sends, 4)
        self.assertIsInstance(plan.decide(0.0), GiveUp)

    def test_failed_part_is_needed_only_when_too_few_others_are_left(self):
        plan = make_plan()
        parts = send_all(plan, 0.0)
        plan.on_failed(parts[0], may_have_run=False)
        self.assertFalse(plan.needs_another_send(parts[0], 0.01))
        plan.on_failed(parts[1], may_have_run=False)
        self.assertTrue(plan.needs_another_send(parts[0], 0.01))
        send_all(plan, 0.01)
        # The other parts are late now, so this part may be required.
        self.assertTrue(plan.needs_another_send(parts[0], 0.2))

    def test_request_that_may_run_once_is_not_sent_again(self):
        plan = make_plan(parts=1, min_coverage=1.0, max_sends=1, may_hedge=False)
        (part,) = send_all(plan, 0.0)
        self.assertIsInstance(plan.decide(0.9), Wait)
        plan.on_failed(part, may_have_run=True)
        self.assertIsInstance(plan.decide(0.9), GiveUp)

    @given(st.integers(1, 60), st.floats(0, 1))
    def test_needed_parts_make_up_the_coverage(self, total, coverage):
        required_parts = count_required_parts(total, coverage)
        self.assertGreaterEqual(required_parts / total, coverage)
        self.assertTrue(required_parts == 0 or (required_parts - 1) / total < coverage)

    @given(st.data())
    def test_any_course_of_events_ends_within_the_limit(self, data):
        plan = make_plan(parts=data.draw(st.integers(1, 4)))
        now = 0.0
        for _ in range(500):
            match plan.decide(now):
                case Send(parts=due):
                    for part in due:
                        if data.draw(st.booleans()):
                            plan.on_sent(part, None, now, HEDGE_DELAY_S)
                        else:
                            plan.on_blocked(part, data.draw(st.booleans()), now)
                case Wait(until=until):
                    self.assertGreater(until, now)
                    parts_in_flight = [part for part in plan.parts if part.in_flight]
                    if parts_in_flight and data.draw(st.booleans()):
                        part = data.draw(st.sampled_from(parts_in_flight))
                        if data.draw(st.booleans()):
                            plan.on_answered(part)
                        else:
                            plan.on_failed(part, data.draw(st.booleans()))
                    else:
                        now = until
                case Answer():
                    self.assertGreaterEqual(plan.answered_parts, plan.required_parts)
                    return
                case GiveUp():
                    self.assertTrue(
                        now >= DEADLINE or any(part.state is PartState.LOST for part in plan.parts)
                    )
                    return
            self.assertLessEqual(now, DEADLINE)
        self.fail("the plan reached no Answer or GiveUp within 500 decisions")
