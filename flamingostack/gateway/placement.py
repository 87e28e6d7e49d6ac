"""Choice of the target for a send.

It handles these load patterns:

- A target pauses for a moment. It gets no further sends until it has answered.
- A target becomes several times slower. It is avoided after a few requests.
- A target is busy. It gets fewer sends.
- Traffic between failure domains is charged for. Sends stay within the instance's failure domain as
  long as that costs no latency.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable

from .targets import Target

# A round trip between failure domains; the platform documents 3.5 to 4 ms one way.
CROSS_DOMAIN_ROUND_TRIP_S = 0.008
# A target in another failure domain must be faster by this many typical latencies to be chosen,
# since traffic between failure domains is charged for.
CROSS_DOMAIN_PENALTY_LATENCIES = 1.0
# Further cost of such a target, in typical latencies, multiplied by its rank, which differs between
# instances. An instance without a target in its own failure domain thus keeps using the same one of
# several similar targets, and the connection to it stays open.
CROSS_DOMAIN_SPREAD_LATENCIES = 0.5
# A target counts as stalled once its oldest send has waited for this many expected latencies, but
# not before the minimum.
STALL_THRESHOLD_LATENCIES = 3.0
MIN_STALL_THRESHOLD_S = 0.02
# Expected remaining time of a stall; the platform documents pauses of 120 and 250 ms.
EXPECTED_STALL_S = 0.15
# A cold target takes about 1.6 times as long.
COLD_SLOWDOWN = 1.6
# Cost of a failed send, in typical latencies: its own time and that of another send. The second
# constant is added in proportion to the spent budget, since without budget for another send the
# part is lost.
FAILURE_COST_LATENCIES = 6.0
LOST_PART_COST_LATENCIES = 24.0
# Share of the expected latency that is added when all slots of a target are busy; with fewer busy
# slots it is proportionally less.
BUSY_SLOTS_COST_LATENCIES = 0.3
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
    excluded: Iterable[Target] = (),
    spent_budget_share: float = 0.0,
    cold_sends_per_s: int | None = None,
) -> Target | None:
    """Return the target with the lowest estimated cost; None if none can accept a send.

    `latency_s` is the typical latency of the route; `excluded` are targets that were tried before;
    `spent_budget_share` is the spent share of the budget for extra sends, from 0 to 1;
    `cold_sends_per_s` limits the sends to a cold target, unless it is None.
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
    """Return whether a target can accept a send now."""
    if target.is_draining or target.is_misdirected or now < target.paused_until:
        return False
    if target.in_flight >= target.max_connections or not target.notices.may_send(now):
        return False
    if cold_sends_per_s is not None and now < target.cold_until:
        recent = sum(1 for sent in target.cold_send_times if sent > now - 1)
        return recent < cold_sends_per_s
    return True


def estimate_cost_s(target: Target, latency_s: float, own_domain: str, now: float) -> float:
    """Return the expected time to an answer in seconds, plus the penalties described above."""
    service_s = latency_s * target.current_slowdown(now)
    if now < target.cold_until:
        service_s *= COLD_SLOWDOWN
    load = target.current_load(now)
    busy = target.in_flight
    slots = target.entry.slots
    if load is not None:
        slots = load.slots
        busy = max(busy, load.running + load.waiting)
    else:
        busy = max(busy, round(slots * target.queue_of_others(now)))
    queued = max(busy + 1 - slots, 0)
    cost_s = service_s * (1 + queued / slots + BUSY_SLOTS_COST_LATENCIES * min(busy, slots) / slots)
    if target.oldest_wait_s(now) > max(
        STALL_THRESHOLD_LATENCIES * service_s, MIN_STALL_THRESHOLD_S
    ):
        cost_s += EXPECTED_STALL_S
    if target.in_flight >= target.soft_max_connections:
        cost_s += EXTRA_CONNECTION_COST_LATENCIES * latency_s
    if target.entry.failure_domain != own_domain:
        penalty = (
            CROSS_DOMAIN_PENALTY_LATENCIES
            + CROSS_DOMAIN_SPREAD_LATENCIES * target.cross_domain_rank
        )
        cost_s += CROSS_DOMAIN_ROUND_TRIP_S + penalty * latency_s
    return cost_s
