"""Unit tests of key ranges, coverage, answer margin, budgets and latency windows."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from flamingostack.entry.budget import MAX_EXTRA_SEND_TOKENS, ExtraSendBudget, TokenBucket
from flamingostack.entry.coverage import compute_coverage, find_missing_intervals
from flamingostack.entry.fanout import compute_answer_margin
from flamingostack.entry.latency import MIN_SAMPLES, WINDOW_S, LatencyWindow
from flamingostack.entry.plan import PinnedMap
from flamingostack.generated import messages_pb2 as pb

KEYSPACE = 40
POSITIONS = st.integers(0, KEYSPACE)
RANGES = st.lists(st.tuples(POSITIONS, st.integers(0, KEYSPACE + 5)), max_size=8)


def list_keys(intervals) -> list[int]:
    return [key for low, high in intervals for key in range(low, high)]


class CoverageTest(unittest.TestCase):
    """Guards against a coverage that differs from the share of the keys that were answered.

    Overlapping, empty or unsorted ranges would count keys twice or not at all.
    """

    @given(st.tuples(POSITIONS, POSITIONS).filter(lambda item: item[0] < item[1]), RANGES)
    def test_missing_is_what_no_part_covers(self, interval, answered):
        low, high = interval
        missing = find_missing_intervals(
            low, high, [item for item in answered if item[0] < item[1]]
        )
        expected = set(range(low, high)) - set(list_keys(answered))
        self.assertEqual(list_keys(missing), sorted(expected))
        share = compute_coverage(low, high, missing)
        self.assertAlmostEqual(share, 1 - len(expected) / (high - low))
        self.assertEqual(share == 1, not expected)

    @given(RANGES, st.tuples(POSITIONS, POSITIONS).filter(lambda item: item[0] < item[1]))
    def test_plan_asks_for_each_mapped_key_once(self, ranges, interval):
        snapshot = pb.Snapshot(id="s1")
        for low, high in ranges:
            snapshot.ranges.add(low=low, high=high, targets=["t"])
        pinned = PinnedMap(pb.ServiceIndex(service="x", keyspace=KEYSPACE), snapshot)
        low, high = interval
        asked = list_keys([(start, end) for start, end, _ in pinned.split(low, high)])
        self.assertEqual(asked, sorted(set(list_keys(ranges)) & set(range(low, high))))


class DeadlineTest(unittest.TestCase):
    """Guards against an answer that is due at the deadline or later, when the caller has left."""

    @given(st.floats(0.005, 60))
    def test_answer_is_timed_for_before_the_deadline(self, duration):
        margin = compute_answer_margin(duration)
        self.assertGreaterEqual(margin, 0.002)
        self.assertLessEqual(margin, duration / 2)


class BudgetTest(unittest.TestCase):
    """Guards against a retry storm, and against a burst of retries after a time of low load.

    Tokens that build up without a cap would all be spent at once when targets slow down.
    """

    @given(st.lists(st.one_of(st.integers(1, 60), st.none()), max_size=200), st.floats(0, 100))
    def test_extra_sends_never_exceed_their_share(self, events, percent):
        budget = ExtraSendBudget()
        primaries = taken = 0
        for event in events:
            if event is None:
                taken += budget.try_withdraw()
            else:
                primaries += event
                budget.deposit(event, percent)
            self.assertLessEqual(taken, primaries * percent / 100 + 1e-6)

    def test_quiet_time_saves_up_no_burst(self):
        budget = ExtraSendBudget()
        for _ in range(1000):
            budget.deposit(55, 5)
        taken = sum(budget.try_withdraw() for _ in range(1000))
        self.assertEqual(taken, MAX_EXTRA_SEND_TOKENS)

    def test_rate_has_a_burst_of_one_second(self):
        now = [0.0]
        bucket = TokenBucket(10, lambda: now[0])
        now[0] = 100
        self.assertEqual(sum(bucket.try_acquire(2) for _ in range(100)), 5)
        now[0] += 1
        self.assertEqual(sum(bucket.try_acquire(2) for _ in range(100)), 5)


class LatencyWindowTest(unittest.TestCase):
    """Guards against a hedge delay taken from too few samples or from outdated ones."""

    def test_quantile_follows_the_window(self):
        window = LatencyWindow(0)
        self.assertIsNone(window.quantile(97, 0))
        for number in range(MIN_SAMPLES):
            window.record(0.1 if number >= 95 else 0.01)
        self.assertAlmostEqual(window.quantile(90, 1), 0.01, delta=0.001)
        self.assertAlmostEqual(window.quantile(97, 1), 0.1, delta=0.002)
        for start in (WINDOW_S, 2 * WINDOW_S):
            window.quantile(97, start)
            for _ in range(MIN_SAMPLES):
                window.record(0.02)
        self.assertAlmostEqual(window.quantile(97, 3 * WINDOW_S - 0.1), 0.02, delta=0.002)
        self.assertIsNone(window.quantile(97, 10 * WINDOW_S))
