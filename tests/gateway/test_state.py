"""Tests of flamingostack.gateway.state."""

import unittest

from flamingostack.gateway.fanout import MIN_SOFT_DEADLINE_MARGIN_S
from flamingostack.gateway.query import Caller, make_plan
from flamingostack.gateway.state import (
    DEFAULT_ROUND_TRIP_S,
    MAX_DISTINCT_TIME_LIMITS,
    ROUND_TRIP_REFRESH_S,
    Gateway,
    TimeLimitEstimator,
)
from flamingostack.metrics import Metrics
from flamingostack.platform.decode import decode_route

from .fakes import make_route, make_settings


def make_gateway(**settings) -> Gateway:
    """Return a gateway without log and sender, with a clock that stays at 0."""
    return Gateway(
        make_settings("http://127.0.0.1:1", **settings), None, Metrics(), lambda: 0.0, None
    )


class CallerRoundTripTest(unittest.TestCase):
    """Guards against responses that are sent in time but arrive after the latency objective.

    With 91 instances, each gets one or two requests per second, a part is late in nearly every
    query, and callers are 3 ms away. A third of the responses arrived up to 10 ms after the
    objective.
    """

    def test_round_trip_of_one_route_counts_for_all(self):
        gateway = make_gateway()
        seldom = decode_route(make_route("seldom", service="one"))
        self.assertEqual(gateway.caller_round_trip_s(0.0), DEFAULT_ROUND_TRIP_S)
        often = gateway.stats(decode_route(make_route("often", service="one")))
        for _ in range(5):
            often.time_limits.record(1.0)
            often.time_limits.record(1.0)
            often.time_limits.record(0.985)
        self.assertAlmostEqual(gateway.caller_round_trip_s(ROUND_TRIP_REFRESH_S), 0.015)
        plan = make_plan(gateway, seldom, ["one"], 1.0, Caller(ROUND_TRIP_REFRESH_S, 1.0))
        # The latency objective of 300 ms minus a margin of 6% and the round trip.
        self.assertAlmostEqual(plan.soft_deadline, ROUND_TRIP_REFRESH_S + 0.3 * 0.94 - 0.015)

    def test_short_goal_keeps_the_least_margin(self):
        gateway = make_gateway()
        route = decode_route(make_route("short", service="one", targetLatencyMs=80))
        plan = make_plan(gateway, route, ["one"], 1.0, Caller(0.0, 1.0))
        self.assertAlmostEqual(
            plan.soft_deadline, 0.08 - MIN_SOFT_DEADLINE_MARGIN_S - DEFAULT_ROUND_TRIP_S
        )


class UsualTimeLeftTest(unittest.TestCase):
    """Guards against first attempts that are taken for retries.

    A retry has less time left, so its response is sent earlier and with fewer parts.
    """

    def test_retry_has_spent_what_is_missing(self):
        estimator = TimeLimitEstimator()
        for _ in range(20):
            estimator.record(1.0)
        self.assertAlmostEqual(estimator.spent_s(0.75), 0.25)
        self.assertEqual(estimator.spent_s(1.0), 0.0)

    def test_few_patient_callers_do_not_make_others_late(self):
        estimator = TimeLimitEstimator()
        for number in range(100):
            estimator.record(60.0 if number % 10 == 0 else 1.0)
        self.assertEqual(estimator.spent_s(1.0), 0.0)
        self.assertEqual(estimator.spent_s(60.0), 0.0)

    def test_round_trip_shows_in_the_time_left_of_new_connections(self):
        estimator = TimeLimitEstimator()
        self.assertEqual(estimator.round_trip_s(), 0.0)
        for _ in range(20):
            estimator.record(0.5)
        self.assertEqual(estimator.round_trip_s(), 0.0)
        for _ in range(5):
            estimator.record(0.494)
            # A retry with much less time left.
            estimator.record(0.35)
        self.assertAlmostEqual(estimator.round_trip_s(), 0.006)

    def test_values_stay_bounded_and_a_new_limit_takes_over(self):
        estimator = TimeLimitEstimator()
        for number in range(1000):
            estimator.record(1.0)
            estimator.record(0.2 + number / 1999)
        self.assertLessEqual(len(estimator.counts_by_ms), MAX_DISTINCT_TIME_LIMITS)
        self.assertEqual(estimator.spent_s(1.0), 0.0)
        for number in range(3000):
            estimator.record(2.0)
            estimator.record(0.2 + number / 4001)
        self.assertAlmostEqual(estimator.spent_s(1.5), 0.5)
