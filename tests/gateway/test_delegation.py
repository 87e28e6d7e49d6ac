"""Tests of flamingostack.gateway.delegation."""

import unittest

from flamingostack.gateway.delegation import (
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    MIN_PARTS,
    DelegatePauses,
    choose_domain,
)


class ChooseDomainTest(unittest.TestCase):
    """Guards against queries that are passed on for nothing, or all to the same place."""

    def test_instance_next_to_targets_keeps_its_queries(self):
        shards = {f"s{number}": {"a", "b", "c"} for number in range(36)}
        self.assertIsNone(choose_domain("a", "front-a-0", shards))

    def test_failure_domain_without_targets_passes_on_and_spreads(self):
        # Load pattern: 36 shards in three failure domains, 25 instances in a fourth one.
        shards = {f"s{number}": {"a", "b", "c"} for number in range(36)}
        chosen = [choose_domain("z", f"front-z-{number}", shards) for number in range(25)]
        counts = [chosen.count(domain) for domain in "abc"]
        self.assertEqual(sum(counts), 25)
        self.assertGreater(min(counts), 3)

    def test_domain_that_lacks_shards_is_no_better(self):
        shards = {f"s{number}": {"a", "b"} if number < 30 else {"b"} for number in range(36)}
        self.assertEqual(choose_domain("z", "front-z-0", shards), "b")
        shards = {f"s{number}": {"ab"[number % 2]} for number in range(36)}
        self.assertIsNone(choose_domain("z", "front-z-0", shards))

    def test_small_queries_stay(self):
        shards = {f"s{number}": {"a"} for number in range(MIN_PARTS - 1)}
        self.assertIsNone(choose_domain("z", "front-z-0", shards))


class DelegatePausesTest(unittest.TestCase):
    """Guards against an instance that takes no queries and is asked again and again."""

    def test_failing_instance_is_passed_over_longer_each_time(self):
        pauses = DelegatePauses()
        names = ["front-a-0", "front-a-1"]
        first = pauses.choose("front-z-0", names, 0.0)
        (second,) = set(names) - {first}
        pauses.note_failure(first, 0.0)
        self.assertEqual(pauses.choose("front-z-0", names, 0.5), second)
        self.assertEqual(pauses.choose("front-z-0", names, FIRST_PAUSE_S), first)
        for _ in range(8):
            pauses.note_failure(first, 10.0)
        self.assertEqual(pauses.paused_until[first], 10.0 + MAX_PAUSE_S)
        pauses.note_success(first)
        self.assertEqual(pauses.choose("front-z-0", names, 10.0), first)

    def test_nobody_left_means_here(self):
        pauses = DelegatePauses()
        pauses.note_failure("front-a-0", 0.0)
        self.assertIsNone(pauses.choose("front-z-0", ["front-a-0"], 0.5))
