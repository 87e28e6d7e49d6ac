"""Which queries are refused first while a part of all has to be.

It handles the load pattern of a burst in which several organisations and kinds of queries compete
for the same shards, while one organisation sends far more than its rate. Refused evenly, the most
urgent queries would pay as much as the others, and the organisation that causes the burst would
take room from all. Queries above the rate of their organisation are therefore refused more often,
and less urgent ones more often than urgent ones, so that the same load is turned away in all.

No kind is refused altogether: its answers tell when there is room again, and its callers are owed
some service. Times are in seconds of the event loop's clock.
"""

from __future__ import annotations

import math

# How many times as likely as the next more urgent priority a query is refused.
PRIORITY_ODDS = 2.0
# The same for a query above the rate of its organisation.
ABOVE_RATE_ODDS = 8.0
# Largest share of the queries of a rank that is refused. The rest of what has to be refused is
# spread over the others.
MAX_RANK_SHARE = 0.7
# The load of recent queries halves in this time; an instance gets one or two of them a second.
LOAD_HALF_LIFE_S = 5.0
# Ranks with less than this share of the load are forgotten.
MIN_LOAD_SHARE = 1e-3
# Steps of priority that a query above the rate of its organisation gives way in the limit of
# queries in flight.
ABOVE_RATE_STEPS = 4

# Whether the organisation is above its rate, and the priority; the larger, the less urgent.
Rank = tuple[bool, int]


class RefusalOrder:
    """Load of the recent queries over one set of shards, by rank."""

    __slots__ = ("_load_by_rank", "_updated_at")

    def __init__(self) -> None:
        self._load_by_rank: dict[Rank, float] = {}
        self._updated_at = -math.inf

    def record(self, rank: Rank, load: float, now: float) -> None:
        """Record a query that puts a load on the shards, in any unit."""
        decay = math.exp2(-max(now - self._updated_at, 0.0) / LOAD_HALF_LIFE_S)
        self._updated_at = now
        kept = {known: value * decay for known, value in self._load_by_rank.items()}
        kept[rank] = kept.get(rank, 0.0) + load
        least = sum(kept.values()) * MIN_LOAD_SHARE
        self._load_by_rank = {known: value for known, value in kept.items() if value >= least}

    def refused_share(self, rank: Rank, total_share: float) -> float:
        """Return which share of the queries of a rank to refuse, from 0 to 1.

        Of the load of all ranks together, `total_share` is refused.
        """
        loads = self._load_by_rank
        if total_share <= 0 or len(loads) < 2 or rank not in loads:
            return max(total_share, 0.0)
        odds_by_rank = compute_odds(loads)
        open_ranks = set(loads)
        excess = min(total_share, MAX_RANK_SHARE) * sum(loads.values())
        while open_ranks:
            scale = excess / sum(loads[known] * odds_by_rank[known] for known in open_ranks)
            full = {known for known in open_ranks if scale * odds_by_rank[known] >= MAX_RANK_SHARE}
            if rank in full:
                return MAX_RANK_SHARE
            if not full:
                return scale * odds_by_rank[rank]
            excess -= MAX_RANK_SHARE * sum(loads[known] for known in full)
            open_ranks -= full
        return MAX_RANK_SHARE


class RefusalOrders:
    """Orders of refusal by set of shards, which are told apart by their first service."""

    __slots__ = ("_orders_by_set",)

    def __init__(self) -> None:
        self._orders_by_set: dict[str, RefusalOrder] = {}

    def get(self, first_service: str) -> RefusalOrder:
        """Return the order of a set of shards; create it at first use."""
        order = self._orders_by_set.get(first_service)
        if order is None:
            order = self._orders_by_set[first_service] = RefusalOrder()
        return order


def compute_odds(ranks: dict[Rank, float]) -> dict[Rank, float]:
    """Return how likely queries of each rank are refused, relative to each other.

    Each distinct priority is one step, however far the numbers lie apart.
    """
    priorities = sorted({priority for _, priority in ranks})
    steps_by_priority = {priority: step for step, priority in enumerate(priorities)}
    return {
        (is_above_rate, priority): PRIORITY_ODDS ** steps_by_priority[priority]
        * (ABOVE_RATE_ODDS if is_above_rate else 1.0)
        for is_above_rate, priority in ranks
    }


def compute_admission_priority(rank: Rank) -> int:
    """Return the priority with which a query counts for the limit of queries in flight."""
    is_above_rate, priority = rank
    return priority + ABOVE_RATE_STEPS if is_above_rate else priority
