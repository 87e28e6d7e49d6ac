"""Tests of flamingostack.entry.overload."""

import unittest

from flamingostack.entry.overload import WINDOW_S, OverloadLimit


def run_window(limit: OverloadLimit, now: float, offered: int, capacity: int) -> tuple[float, int]:
    """Offer queries at one time; of those admitted, all beyond `capacity` lose a part.

    Return the time at the end of the window and the number of admitted queries.
    """
    admitted = sum(limit.try_admit(priority=0, now=now) for _ in range(offered))
    now += WINDOW_S
    for number in range(admitted):
        limit.release(has_lost_part=number >= capacity, now=now)
    return now, admitted


class OverloadLimitTest(unittest.TestCase):
    """Guards against a collapse under overload, and against refusals without overload.

    If every query is admitted, each loses a part and none is complete; a limit that stays low
    or reaches zero refuses queries that the targets could serve.
    """

    def test_no_query_is_refused_without_loss(self):
        limit = OverloadLimit(now=0)
        now = 0.0
        for _ in range(100):
            now, admitted = run_window(limit, now, offered=50, capacity=50)
            self.assertEqual(admitted, 50)

    def test_limit_settles_near_the_capacity(self):
        limit = OverloadLimit(now=0)
        now, counts = 0.0, []
        for _ in range(200):
            now, admitted = run_window(limit, now, offered=150, capacity=100)
            counts.append(admitted)
        settled = counts[50:]
        self.assertGreaterEqual(min(settled), 80)
        self.assertLessEqual(max(settled), 115)

    def test_limit_is_lifted_after_the_overload(self):
        limit = OverloadLimit(now=0)
        now = 0.0
        for _ in range(20):
            now, _ = run_window(limit, now, offered=150, capacity=100)
        for _ in range(100):
            now, admitted = run_window(limit, now, offered=40, capacity=100)
            self.assertEqual(admitted, 40)
        now, admitted = run_window(limit, now, offered=100, capacity=100)
        self.assertEqual(admitted, 100)

    def test_later_priorities_are_refused_first(self):
        limit = OverloadLimit(now=0)
        limit.limit = 10.0
        admitted = [limit.try_admit(priority=6, now=0.01) for _ in range(10)]
        self.assertEqual(admitted.count(True), 7)
        self.assertTrue(limit.try_admit(priority=0, now=0.01))

    def test_limit_never_refuses_everything(self):
        limit = OverloadLimit(now=0)
        now = 0.0
        for _ in range(200):
            now, admitted = run_window(limit, now, offered=20, capacity=0)
            self.assertGreaterEqual(admitted, 1)
