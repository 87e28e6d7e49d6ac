"""Choice of the target for a send.

Load patterns answered: a target that pauses for a moment gets nothing more until it has answered;
a target that got several times slower is left within a few requests; a busy target gets less; and
bytes stay in the failure domain as long as that costs no latency.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable

from .targets import Target

# A round trip between failure domains, from the pages: 3.5 to 4 ms one way.
CROSS_DOMAIN_ROUND_TRIP_S = 0.008
# A foreign target has to be faster by this many usual latencies, since bytes between failure
# domains are paid for.
CROSS_DOMAIN_PENALTY_LATENCIES = 1.0
# Beyond that, foreign targets that look alike differ by up to this many usual latencies, by an
# order that each instance has of its own. An instance without a target of its own failure domain
# then keeps to one of the others, whose connection stays open.
CROSS_DOMAIN_SPREAD_LATENCIES = 0.5
# A send that has waited for this many usual latencies shows that its target is stalled.
STALL_THRESHOLD_LATENCIES = 3.0
MIN_STALL_THRESHOLD_S = 0.02
# Expected rest of a stall; the pages name pauses of 120 and 250 ms.
EXPECTED_STALL_S = 0.15
# A cold target takes about 1.6 times as long.
COLD_SLOWDOWN = 1.6
# What a failed send costs, in usual latencies: its own time and that of another send; and what
# it costs beyond that when no budget for another send is left, so that the part is lost.
FAILURE_COST_LATENCIES = 6.0
LOST_PART_COST_LATENCIES = 24.0
# Share of one latency that each request in flight adds at a target with free slots.
BUSY_SLOTS_COST_LATENCIES = 0.3
# A connection beyond the usual ones is opened only if other targets are that much slower, in usual
# latencies.
EXTRA_CONNECTION_COST_LATENCIES = 1.5
# Spreads sends over targets that look alike.
COST_JITTER_SHARE = 0.1


class ColdShare:
    """Which share of a cold target's limit this instance may use."""

    __slots__ = ("rank", "instances", "overshoot", "slack")

    def __init__(self, rank: int, instances: int, overshoot: float, slack: float) -> None:
        self.rank = rank
        self.instances = max(instances, 1)
        self.overshoot = overshoot
        self.slack = slack

    def sends_per_s(self, cold_requests_per_s: float) -> int:
        """Return how many sends a second this instance may make to one cold target."""
        total = int(cold_requests_per_s * self.overshoot + self.slack)
        share, rest = divmod(total, self.instances)
        return share + (self.rank < rest)


def compute_cross_domain_rank(instance: str, target_id: str) -> float:
    """Return the place of a target in an instance's order of foreign ones, from 0 to 1."""
    # A checksum of names that differ in their last letters would put them into the same order at
    # most instances.
    digest = hashlib.blake2b(f"{instance} {target_id}".encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 0xFFFFFFFF


def choose_target(
    targets: Iterable[Target],
    *,
    latency_s: float,
    own_domain: str,
    now: float,
    excluded: Iterable[Target] = (),
    spent_budget_share: float = 0.0,
    cold_sends_per_s: int | None = None,
) -> Target | None:
    """Return the target with the least expected time to an answer; None if none can be used.

    `latency_s` is the usual latency of the route; `excluded` are targets that were tried before;
    `budget_spent` is the share of the budget of extra sends that is used up, from 0 to 1.
    """
    failure_s = latency_s * (
        FAILURE_COST_LATENCIES + LOST_PART_COST_LATENCIES * min(spent_budget_share, 1.0)
    )
    best = None
    best_cost = float("inf")
    for target in targets:
        if target in excluded or not can_accept(target, now, cold_sends_per_s):
            continue
        cost = estimate_cost_s(target, latency_s, own_domain, now)
        cost += target.current_failure_rate(now) * failure_s
        cost *= 1 + random.random() * COST_JITTER_SHARE
        if cost < best_cost:
            best, best_cost = target, cost
    return best


def can_accept(target: Target, now: float, cold_sends_per_s: int | None) -> bool:
    """Tell whether a target may get a send now."""
    if target.entry.is_draining or target.is_misdirected or now < target.paused_until:
        return False
    if target.in_flight >= target.max_connections:
        return False
    if cold_sends_per_s is not None and now < target.cold_until:
        recent = sum(1 for sent in target.cold_send_times if sent > now - 1)
        return recent < cold_sends_per_s
    return True


def estimate_cost_s(target: Target, latency_s: float, own_domain: str, now: float) -> float:
    """Return the expected time to an answer, in seconds, with the price of a foreign one."""
    service_s = latency_s * target.current_slowdown(now)
    if now < target.cold_until:
        service_s *= COLD_SLOWDOWN
    load = target.current_load(now)
    busy = target.in_flight
    slots = target.entry.slots
    if load is not None:
        slots = load.slots
        busy = max(busy, load.running + load.waiting)
    queued = max(busy + 1 - slots, 0)
    cost_s = service_s * (1 + queued / slots + BUSY_SLOTS_COST_LATENCIES * min(busy, slots) / slots)
    if target.oldest_wait_s(now) > max(
        STALL_THRESHOLD_LATENCIES * service_s, MIN_STALL_THRESHOLD_S
    ):
        cost_s += EXPECTED_STALL_S
    if target.in_flight >= target.usual_connections:
        cost_s += EXTRA_CONNECTION_COST_LATENCIES * latency_s
    if target.entry.failure_domain != own_domain:
        penalty = (
            CROSS_DOMAIN_PENALTY_LATENCIES
            + CROSS_DOMAIN_SPREAD_LATENCIES * target.cross_domain_rank
        )
        cost_s += CROSS_DOMAIN_ROUND_TRIP_S + penalty * latency_s
    return cost_s
