"""Tests of flamingostack.dispatch.limit."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from flamingostack.dispatch.limit import Limit, LimitConfig, LimitState

EVENTS = st.one_of(
    st.just(("start",)),
    st.tuples(st.just("answer"), st.booleans(), st.integers(0, 20)),
    st.just(("trouble",)),
    st.tuples(st.just("reserve"), st.integers(0, 4)),
    st.just(("regrant",)),
)


class LimitTest(unittest.TestCase):
    """Guards against more concurrent requests to a cold target than its cold limit allows."""

    @given(
        cold_limit=st.integers(1, 4),
        warm_limit=st.integers(1, 12),
        cold_successes=st.integers(1, 3),
        events=st.lists(EVENTS, max_size=80),
    )
    def test_no_request_starts_above_the_cold_limit(
        self, cold_limit, warm_limit, cold_successes, events
    ):
        limit = Limit(LimitConfig(cold_limit, warm_limit, cold_successes))
        running = []
        warm_responses = 0
        for event in events:
            match event:
                case ("start",) if len(running) < limit.current:
                    running.append(limit.epoch)
                    if warm_responses < cold_successes:
                        self.assertLessEqual(len(running), max(cold_limit - limit.reserve, 0))
                    self.assertLessEqual(len(running), warm_limit)
                case ("answer", is_cold, position) if running:
                    epoch = running.pop(position % len(running))
                    # Counted independently of the limit under test: responses without the cold
                    # flag to requests that were started since the last reset to cold.
                    warm_responses = 0 if is_cold else warm_responses + (epoch == limit.epoch)
                    limit.on_response(is_cold, epoch)
                case ("trouble",) | ("regrant",):
                    warm_responses = 0
                    limit.reset_to_cold()
                case ("reserve", reserve):
                    limit.set_reserve(reserve)

    def test_limit_doubles_for_each_round_up_to_the_slots(self):
        limit = Limit(LimitConfig(cold_limit=1, warm_limit=6, cold_successes=3))
        seen = []
        for _ in range(3 + 2 + 4):
            limit.on_response(False, limit.epoch)
            seen.append(limit.current)
        self.assertEqual(seen, [1, 1, 2, 2, 4, 4, 4, 4, 6])
        self.assertIs(limit.state, LimitState.WARM)

    def test_answers_from_before_a_cold_flag_do_not_warm_up(self):
        limit = Limit(LimitConfig(cold_limit=1, warm_limit=2, cold_successes=1))
        before = limit.epoch
        limit.on_response(True, before)
        limit.on_response(False, before)
        self.assertIs(limit.state, LimitState.COLD)
