"""Choice of the target for a send.

It handles these load patterns:

- A target pauses for a moment. It gets no further sends until it has answered.
- A target becomes several times slower. It is avoided after a few requests.
- A machine is shared, and its speed changes each 600 ms. A target that reports this with an answer
  is avoided for half a second.
- A target is busy. It gets fewer sends.
- Traffic between failure domains is charged for. Sends stay within the instance's failure domain as
  long as that costs no latency.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable

from .costs import CROSS_DOMAIN_ROUND_TRIP_S, RequestCost, estimate_finish_s
from .targets import Target

# A target in another failure domain must be faster by this many typical latencies to be chosen,
# since traffic between failure domains is charged for.
CROSS_DOMAIN_PENALTY_LATENCIES = 1.0
# Further cost of such a target, in typical latencies, multiplied by its rank, which differs between
# instances. An instance without a target in its own failure domain thus keeps using the same one of
# several similar targets, and the connection to it stays open.
CROSS_DOMAIN_SPREAD_LATENCIES = 0.5
# Cost of a failed send, in typical latencies: its own time and that of another send. The second
# constant is added in proportion to the spent budget, since without budget for another send the
# part is lost.
FAILURE_COST_LATENCIES = 6.0
LOST_PART_COST_LATENCIES = 24.0
# A connection beyond the soft limit is opened only if other targets are slower by this many
# typical latencies.
EXTRA_CONNECTION_COST_LATENCIES = 1.5
# Largest random share added to a cost; spreads sends over targets of similar cost.
COST_JITTER_SHARE = 0.1


class ColdShare:
    """Share of one instance in the request rate that a cold target may get.

    All instances together may send a target `overshoot` times its cold rate plus `slack` in a
    second. Integer division leaves a remainder, of which the lowest ranks get one send each.
    """

    __slots__ = ("rank", "instance_count", "overshoot", "slack")

    def __init__(self, rank: int, instance_count: int, overshoot: float, slack: float) -> None:
        self.rank = rank
        self.instance_count = max(instance_count, 1)
        self.overshoot = overshoot
        self.slack = slack

    def sends_per_s(self, cold_requests_per_s: float) -> int:
        """Return how many sends per second this instance may make to one cold target."""
        total = int(cold_requests_per_s * self.overshoot + self.slack)
        share, remainder = divmod(total, self.instance_count)
        return share + (self.rank < remainder)


def compute_cross_domain_rank(instance: str, target_id: str) -> float:
    """Return the rank, from 0 to 1, of a target among those in other failure domains.

    The order differs between instances, which spreads them over the targets.
    """
    # With a checksum, most instances would rank names that differ only in their last letters in the
    # same order.
    digest = hashlib.blake2b(f"{instance} {target_id}".encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 0xFFFFFFFF


def choose_target(
    targets: Iterable[Target],
    *,
    latency_s: float,
    own_domain: str,
    now: float,
    cost: RequestCost | None = None,
    excluded: Iterable[Target] = (),
    spent_budget_share: float = 0.0,
    cold_sends_per_s: int | None = None,
) -> Target | None:
    """Return the target with the lowest estimated cost; None if none can accept a send.

    `latency_s` is the typical latency of the route; `cost` is that of the request, by default as is
    typical of the route; `excluded` are targets that were tried before;
    `spent_budget_share` is the spent share of the budget for extra sends, from 0 to 1;
    `cold_sends_per_s` limits the sends to a cold target, unless it is None.
    """
    if cost is None:
        cost = RequestCost(latency_s)
    # A costly request would otherwise leave the failure domain for the noise of its estimates.
    latency_s = max(latency_s, cost.expected_s)
    failure_s = latency_s * (
        FAILURE_COST_LATENCIES + LOST_PART_COST_LATENCIES * min(spent_budget_share, 1.0)
    )
    near: list[tuple[Target, float]] = []
    far: list[tuple[Target, float]] = []
    for target in targets:
        if target not in excluded and can_accept(target, now, cold_sends_per_s):
            jitter = 1 + random.random() * COST_JITTER_SHARE
            is_far = target.entry.failure_domain != own_domain
            (far if is_far else near).append((target, jitter))
    best = None
    best_cost = float("inf")
    for is_far, candidates in ((False, near), (True, far)):
        for target, jitter in candidates:
            least_cost = penalty_s = 0.0
            if is_far or target.in_flight >= target.soft_max_connections:
                penalty_s = compute_penalty_s(target, latency_s, is_far)
                # With a target of the own failure domain, this alone excludes most others.
                least_cost = penalty_s + CROSS_DOMAIN_ROUND_TRIP_S if is_far else penalty_s
            if least_cost >= best_cost:
                continue
            target_cost = estimate_finish_s(target, cost, own_domain, now) + penalty_s
            target_cost += target.current_failure_rate(now) * failure_s
            target_cost *= jitter
            if target_cost < best_cost:
                best, best_cost = target, target_cost
    return best


def can_accept(target: Target, now: float, cold_sends_per_s: int | None) -> bool:
    """Return whether a target can accept a send now."""
    if target.in_flight >= target.max_connections or now < target.paused_until:
        return False
    if target.entry.is_draining or target.is_misdirected or not target.notices.may_send(now):
        return False
    if cold_sends_per_s is not None and now < target.cold_until:
        recent = sum(1 for sent in target.cold_send_times if sent > now - 1)
        return recent < cold_sends_per_s
    return True


def compute_penalty_s(target: Target, latency_s: float, is_far: bool) -> float:
    """Return by how much sooner than others a target must answer to be chosen.

    `is_far` tells that it is in another failure domain.
    """
    penalty_s = 0.0
    if target.in_flight >= target.soft_max_connections:
        penalty_s = EXTRA_CONNECTION_COST_LATENCIES * latency_s
    if is_far:
        latencies = (
            CROSS_DOMAIN_PENALTY_LATENCIES
            + CROSS_DOMAIN_SPREAD_LATENCIES * target.cross_domain_rank
        )
        penalty_s += latencies * latency_s
    return penalty_s
