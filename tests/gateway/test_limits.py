"""Tests of flamingostack.gateway.limits, by replaying fleets that send to one limited target."""

import bisect
import heapq
import random
import unittest

from flamingostack.gateway.limits import (
    MIN_LIMIT_PER_S,
    TURN_S,
    InTurns,
    LimitedSends,
    Spaced,
    compute_share,
)

# The rule: one and a half times what the limit allows in 4 s, and 5 requests, from the instances
# that were told at least half a second before.
WINDOW_S = 4.0
OVERSHOOT = 1.5
SLACK = 5
TOLD_S = 0.5
ANSWER_S = 0.03


class FleetReplay:
    """Instances that would send to one target, each at random times, and what arrives there."""

    def __init__(self, count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.instances = [f"front-{number}" for number in range(count)]
        self.known = dict.fromkeys(self.instances, self.instances)
        self.sends_by_instance: dict[str, LimitedSends] = {}
        self.limits_by_instance: dict[str, tuple[float, list[str]]] = {}
        self.told_at: dict[str, float] = {}
        self.arrivals: list[float] = []

    def restart(self, instance: str) -> None:
        """Forget what an instance was told; the rule excuses it from then on."""
        self.sends_by_instance.pop(instance, None)
        self.limits_by_instance.pop(instance, None)
        self.told_at.pop(instance, None)

    def run(self, until: float, demand_per_s: float, limit_at, begin: float = 0.0) -> None:
        """Play callers whose requests would go to the target, `demand_per_s` over all instances."""
        answers: list[tuple[float, str]] = []
        now = begin
        while (now := now + self.rng.expovariate(demand_per_s)) < until:
            while answers and answers[0][0] <= now:
                self.receive(*heapq.heappop(answers), limit_at)
            instance = self.rng.choice(self.instances)
            sends = self.sends_by_instance.get(instance)
            if sends is not None:
                if not sends.may_send(now):
                    continue
                sends.record_send(now)
            if now - self.told_at.get(instance, now) >= TOLD_S:
                # Opening a connection delays some requests.
                self.arrivals.append(now + self.rng.choice((0.0, 0.0, 0.0, 0.2)))
            heapq.heappush(answers, (now + ANSWER_S, instance))

    def receive(self, now: float, instance: str, limit_at) -> None:
        """Tell an instance the limit that is in force."""
        limit = limit_at(now)
        if limit is None:
            self.sends_by_instance.pop(instance, None)
            self.limits_by_instance.pop(instance, None)
            return
        self.told_at.setdefault(instance, now)
        known = self.known[instance]
        if self.limits_by_instance.get(instance) == (limit, known):
            return
        self.limits_by_instance[instance] = (limit, known)
        share = compute_share(limit, target_id="i-1", instance=instance, instances=known)
        sends = self.sends_by_instance.get(instance)
        if sends is None:
            self.sends_by_instance[instance] = LimitedSends(share, now)
        else:
            sends.set_share(share, now)

    def worst_share(self, limit_at) -> float:
        """Return the largest share of what is allowed that arrived in any window."""
        arrivals = sorted(self.arrivals)
        shares = [0.0]
        for first, at in enumerate(arrivals):
            count = bisect.bisect_left(arrivals, at + WINDOW_S) - first
            steps = [limit_at(at + step * 0.1) for step in range(40)]
            allowed = sum(limit for limit in steps if limit is not None) * 0.1
            shares.append(count / (allowed * OVERSHOOT + SLACK))
        return max(shares)


class LimitReplayTest(unittest.TestCase):
    """Guards against LIMIT: a fleet that sends a target more than it has named."""

    # Instances, limit and requests a second that would go to the target without one.
    FLEETS = (
        (1, 0.4, 5.0),
        (8, 0.1, 20.0),
        (8, 1.0, 60.0),
        (64, 1.0, 60.0),
        (6, 17.8, 40.0),
        (8, 4.0, 60.0),
        (8, 100.0, 300.0),
        (64, 8.0, 60.0),
        (64, 90.0, 200.0),
        (195, 4.0, 60.0),
        (195, 40.0, 120.0),
        (1000, 4.0, 100.0),
    )

    def check(self, replay: FleetReplay, limit_at, message: object) -> None:
        self.assertLessEqual(replay.worst_share(limit_at), 1.0, message)

    def test_steady_demand_stays_within_the_limit_of_each_fleet(self):
        for count, limit, demand in self.FLEETS:
            for seed in range(3):
                replay = FleetReplay(count, seed)
                replay.run(60.0, demand, lambda at, limit=limit: limit)
                self.check(replay, lambda at, limit=limit: limit, (count, limit, seed))

    def test_demand_that_returns_after_a_pause_stays_within_the_limit(self):
        for count, limit, demand in self.FLEETS:
            replay = FleetReplay(count, 7)
            replay.run(20.0, demand, lambda at, limit=limit: limit)
            replay.run(100.0, demand * 3, lambda at, limit=limit: limit, begin=80.0)
            self.check(replay, lambda at, limit=limit: limit, (count, limit))

    def test_limit_that_halves_and_changes_with_each_answer(self):
        def limit_at(at):
            return (40.0 if at < 20 else 20.0) + (at * 1000 % 1)

        for count in (8, 64, 195):
            replay = FleetReplay(count, 3)
            replay.run(50.0, 120.0, limit_at)
            self.check(replay, limit_at, count)

    def test_rolling_restart_and_instances_that_half_of_the_others_do_not_know(self):
        for count in (8, 64, 195):
            replay = FleetReplay(count, 5)
            known_before = replay.instances[: max(count * 4 // 7, 1)]
            for number, name in enumerate(replay.instances):
                replay.known[name] = known_before if number % 2 else replay.instances
            replay.run(10.0, 60.0, lambda at: 12.0)
            for number, name in enumerate(replay.instances):
                begin = 10 + number * 0.2
                replay.run(begin + 0.2, 60.0, lambda at: 12.0, begin=begin)
                replay.restart(name)
                replay.known[name] = replay.instances
            replay.run(begin + 20, 60.0, lambda at: 12.0, begin=begin + 0.2)
            self.check(replay, lambda at: 12.0, count)

    def test_small_fleets_use_at_least_half_of_the_limit(self):
        for count, limit, demand in ((6, 17.8, 40.0), (8, 4.0, 60.0), (64, 8.0, 60.0)):
            replay = FleetReplay(count, 11)
            replay.run(60.0, demand, lambda at, limit=limit: limit)
            used = sum(at > 10 for at in replay.arrivals) / 50
            self.assertGreaterEqual(used / limit, 0.5, (count, limit))

    def test_small_fleets_learn_within_seconds_that_a_low_limit_has_ended(self):
        # All targets of a shard may have had such a limit, and nobody else can serve it.
        def limit_at(at):
            return 1.0 if at < 20 else None

        for seed in range(5):
            replay = FleetReplay(8, seed)
            replay.run(20 + 16, 60.0, limit_at)
            self.assertEqual(replay.sends_by_instance, {}, seed)

    def test_all_instances_learn_that_the_limit_has_ended(self):
        def limit_at(at):
            return 12.0 if at < 10 else None

        replay = FleetReplay(64, 2)
        replay.run(10 + 120, 300.0, limit_at)
        self.assertEqual(replay.sends_by_instance, {})


class ShareTest(unittest.TestCase):
    """Guards against instances that take the same part of a limit, or none at all."""

    def test_each_target_has_other_users(self):
        names = [f"front-{number}" for number in range(100)]
        users_by_target = {
            target: frozenset(
                name
                for name in names
                if isinstance(
                    compute_share(5.0, target_id=target, instance=name, instances=names), Spaced
                )
            )
            for target in ("i-1", "i-2")
        }
        self.assertEqual([len(users) for users in users_by_target.values()], [9, 9])
        self.assertNotEqual(*users_by_target.values())

    def test_limit_of_zero_is_still_tried(self):
        share = compute_share(0.0, target_id="i-1", instance="a", instances=["a"])
        sends = LimitedSends(share, 0.0)
        self.assertFalse(sends.may_send(1 / MIN_LIMIT_PER_S))
        self.assertTrue(sends.may_send(1.2 / MIN_LIMIT_PER_S))

    def test_missed_turns_do_not_add_up(self):
        sends = LimitedSends(InTurns(10.0, 3.0), 0.0)
        allowed = [at for at in range(40) if sends.may_send(at)]
        self.assertEqual(allowed, [3, 4, 13, 14, 23, 24, 33, 34])
        self.assertEqual(TURN_S, 2.0)
        sends.record_send(34.0)
        self.assertFalse(sends.may_send(34.5))
