"""Tests of flamingostack.gateway.state."""

import unittest

from flamingostack.gateway.fanout import MIN_SOFT_DEADLINE_MARGIN_S
from flamingostack.gateway.query import Caller, make_plan
from flamingostack.gateway.state import (
    ASSUMED_ROUND_TRIP_S,
    MAX_TIME_LIMITS,
    ROUND_TRIP_REFRESH_S,
    Gateway,
    UsualTimeLeft,
)
from flamingostack.metrics import Metrics
from flamingostack.platform.decode import decode_route

from .fakes import make_route, make_settings


def make_gateway(**settings) -> Gateway:
    """Return a gateway without log and sender, at time 0."""
    return Gateway(
        make_settings("http://127.0.0.1:1", **settings), None, Metrics(), lambda: 0.0, None
    )


class CallerRoundTripTest(unittest.TestCase):
    """Guards against answers that leave in time and arrive late.

    Load pattern: 91 instances get one or two requests a second each, a part is late in nearly every
    query, and callers are 3 ms away. A third of the answers arrived up to 10 ms after the goal.
    """

    def test_round_trip_of_one_route_counts_for_all(self):
        gateway = make_gateway()
        seldom = decode_route(make_route("seldom", service="one"))
        self.assertEqual(gateway.caller_round_trip_s(0.0), ASSUMED_ROUND_TRIP_S)
        often = gateway.stats(decode_route(make_route("often", service="one")))
        for _ in range(5):
            often.time_left.record(1.0)
            often.time_left.record(1.0)
            often.time_left.record(0.985)
        self.assertAlmostEqual(gateway.caller_round_trip_s(ROUND_TRIP_REFRESH_S), 0.015)
        plan = make_plan(gateway, seldom, ["one"], 1.0, Caller(ROUND_TRIP_REFRESH_S, 1.0))
        # The goal of 300 ms less 6% and the round trip.
        self.assertAlmostEqual(plan.soft_deadline, ROUND_TRIP_REFRESH_S + 0.3 * 0.94 - 0.015)

    def test_short_goal_keeps_the_least_margin(self):
        gateway = make_gateway()
        route = decode_route(make_route("short", service="one", targetLatencyMs=80))
        plan = make_plan(gateway, route, ["one"], 1.0, Caller(0.0, 1.0))
        self.assertAlmostEqual(
            plan.soft_deadline, 0.08 - MIN_SOFT_DEADLINE_MARGIN_S - ASSUMED_ROUND_TRIP_S
        )


class UsualTimeLeftTest(unittest.TestCase):
    """Guards against first attempts that are taken for late ones and get thin answers."""

    def test_retry_has_spent_what_is_missing(self):
        usual = UsualTimeLeft()
        for _ in range(20):
            usual.record(1.0)
        self.assertAlmostEqual(usual.spent_s(0.75), 0.25)
        self.assertEqual(usual.spent_s(1.0), 0.0)

    def test_few_patient_callers_do_not_make_others_late(self):
        usual = UsualTimeLeft()
        for number in range(100):
            usual.record(60.0 if number % 10 == 0 else 1.0)
        self.assertEqual(usual.spent_s(1.0), 0.0)
        self.assertEqual(usual.spent_s(60.0), 0.0)

    def test_round_trip_shows_in_the_time_left_of_new_connections(self):
        usual = UsualTimeLeft()
        self.assertEqual(usual.round_trip_s(), 0.0)
        for _ in range(20):
            usual.record(0.5)
        self.assertEqual(usual.round_trip_s(), 0.0)
        for _ in range(5):
            usual.record(0.494)
            # A retry, much later.
            usual.record(0.35)
        self.assertAlmostEqual(usual.round_trip_s(), 0.006)

    def test_values_stay_bounded_and_a_new_limit_takes_over(self):
        usual = UsualTimeLeft()
        for number in range(1000):
            usual.record(1.0)
            usual.record(0.2 + number / 1999)
        self.assertLessEqual(len(usual.counts_by_ms), MAX_TIME_LIMITS)
        self.assertEqual(usual.spent_s(1.0), 0.0)
        for number in range(3000):
            usual.record(2.0)
            usual.record(0.2 + number / 4001)
        self.assertAlmostEqual(usual.spent_s(1.5), 0.5)
