"""Randomised tests of the ownership, lease and acceptance rules under injected faults."""

import random
import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from flamingostack.fleet.node import Node
from tests.fleet.model import FAULTS, ViolationError, World, inject

DURATIONS_MS = (5, 30, 100, 300, 600)
START_MS = 600
STEPS = 25


def explore(seed: int, node_class: type[Node] = Node) -> World:
    """Inject random faults, end them all, and run until every partition is served.

    Gives up after 8 s of simulated time; the caller checks `is_served`.
    """
    hosts = 3 + seed % 2
    world = World(seed, hosts, partitions=3 + 2 * (seed % 2), node_class=node_class)
    script = random.Random(seed)
    world.advance(START_MS)
    for _ in range(STEPS):
        inject(world, script.choice(FAULTS), script.randrange(hosts), script.randrange(hosts))
        world.advance(script.choice(DURATIONS_MS))
    world.end_all_faults()
    for host in world.hosts:
        if host.node.own.leaving:
            host.kill()
            host.start()
    for _ in range(40):
        if world.is_served():
            break
        world.advance(200)
    return world


def find_violation(node_class: type[Node], seeds: range) -> str:
    """Return the message of the first violation, or an empty string if no seed has one."""
    for seed in seeds:
        try:
            explore(seed, node_class)
        except ViolationError as violation:
            return str(violation)
    return ""


class FleetMachine(RuleBasedStateMachine):
    """Faults at any time, chosen and minimised by hypothesis."""

    @initialize(seed=st.integers(0, 2**16), hosts=st.integers(2, 4))
    def start(self, seed, hosts):
        self.world = World(seed, hosts, partitions=3)
        self.world.advance(START_MS)

    @rule(
        fault=st.sampled_from(FAULTS),
        first=st.integers(0, 3),
        second=st.integers(0, 3),
        duration_ms=st.sampled_from(DURATIONS_MS),
    )
    def disturb(self, fault, first, second, duration_ms):
        inject(self.world, fault, first, second)
        self.world.advance(duration_ms)


FleetTest = FleetMachine.TestCase
FleetTest.settings = settings(
    max_examples=15,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class ScriptTest(unittest.TestCase):
    """Guards against partitions with two owners or none, and against acting on superseded state.

    Random network cuts, freezes, kills and store outages disturb a simulated fleet, which must
    keep the safety properties throughout and serve every partition once the faults have ended.
    """

    def test_random_scripts_break_no_rule_and_end_served(self):
        accepted = takeovers = 0
        for seed in range(100, 112):
            world = explore(seed)
            self.assertTrue(world.is_served(), f"seed {seed} ends with partitions unserved")
            accepted += world.accepted_count
            takeovers += world.takeovers
        # Without accepted changes and takeovers the scripts would check nothing.
        self.assertGreater(accepted, 10)
        self.assertGreater(takeovers, 5)


class NoLeaseWait(Node):
    """Accepts a change without waiting until the lease of an unconfirmed instance expires."""

    def _has_lease_expired(self, since_ns, now_ns):
        return True


class NoReleaseWait(Node):
    """Marks a partition as ready as soon as it accepts the claim."""

    def _update_claims(self, now_ns):
        self.ready_claims.update(self.accepted_claims)


class NoReserve(Node):
    """Keeps no reserve for unresolved previous holders."""

    def grants(self):
        grants = super().grants()
        for grant in grants:
            grant.reserve = 0
        return grants


class DeadWithoutWait(Node):
    """Treats the dispatch process of a dead control process as stopped at once."""

    def _has_stopped(self, peer, now_ns):
        return bool(peer.dead_ns)


class SwitchedOffTest(unittest.TestCase):
    """Guards against a search that cannot fail: with one rule disabled it must find a violation."""

    def assert_found(self, node_class, message):
        self.assertIn(message, find_violation(node_class, range(40)))

    def test_acceptance_needs_the_wait_for_the_lease(self):
        self.assert_found(NoLeaseWait, "is accepted")

    def test_new_holder_needs_to_wait(self):
        self.assert_found(NoReleaseWait, "partition")

    def test_frozen_process_needs_the_reserve(self):
        self.assert_found(NoReserve, "frozen processes")

    def test_dead_control_process_may_have_a_live_dispatch_process(self):
        self.assert_found(DeadWithoutWait, "partition")
