"""Tests of flamingostack.gateway.state."""

import unittest

from flamingostack.gateway.state import MAX_TIME_LIMITS, UsualTimeLeft


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
