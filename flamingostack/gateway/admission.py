"""Admission of queries over many shards by the queues at the targets.

It handles the load pattern of a burst while some targets are slow, draining or dark. Shards that
have one healthy target left get a little more than it can serve, and its queue fills within two
seconds. A query needs nearly all shards, so once three of them refuse a part in two, hardly any
query succeeds, though all others have room; the parts that were answered are wasted, and callers
that try again add to the load. Some queries are therefore refused as a whole, before anything is
sent, as soon as the queues have become long: the others are answered in time, and the refused
callers learn at once when to come back.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from .fanout import count_required_parts
from .model import FanOut
from .targets import Target

# Waiting requests for each slot of a target from which queries are refused, and from which the
# largest share of them is. With the longer queue a part waits about as long as its latency
# objective allows.
MIN_QUEUE = 2.0
MAX_QUEUE = 5.0
# Some queries are always sent, since their answers tell when the queues are short again.
MAX_REFUSED_SHARE = 0.7


def find_shortest_queue(targets: Iterable[Target], now: float) -> float:
    """Return the waiting requests for each slot of the best target; 0 without a target."""
    shortest = math.inf
    for target in targets:
        queue = target.expected_queue(now)
        if queue <= 0:
            # Most targets have none; the others need not be asked.
            return 0.0
        if queue < shortest:
            shortest = queue
    return shortest if shortest < math.inf else 0.0


def compute_refused_share(queues: Iterable[float], spare_parts: int) -> float:
    """Return which share of the queries should be refused, from 0 to `MAX_REFUSED_SHARE`.

    `queues` holds, for each shard, the waiting requests for each slot of its best target. A query
    can do without `spare_parts` shards, so the longest queues up to that number do not matter.
    """
    ranked_queues = sorted(queues, reverse=True)
    if spare_parts >= len(ranked_queues):
        return 0.0
    excess = (ranked_queues[spare_parts] - MIN_QUEUE) / (MAX_QUEUE - MIN_QUEUE)
    return min(max(excess, 0.0), 1.0) * MAX_REFUSED_SHARE


def count_spare_parts(destination: FanOut) -> int:
    """Return how many shards an answer may lack."""
    total = len(destination.services)
    return total - max(count_required_parts(total, destination.min_coverage), 1)


class SpareParts:
    """How many shards the queries seen over a set of shards can do without, by priority.

    A query with a low coverage could be served more often than a more urgent one with a high
    coverage over the same shards. Its admission therefore follows the strictest of those that are
    as urgent or more. Sets of shards are told apart by their first service.
    """

    __slots__ = ("_counts_by_set",)

    def __init__(self) -> None:
        self._counts_by_set: dict[str, dict[int, int]] = {}

    def record(self, destination: FanOut, priority: int) -> int:
        """Record a query; return the smallest number for queries as urgent as this one."""
        counts_by_priority = self._counts_by_set.setdefault(destination.services[0], {})
        spare_parts = count_spare_parts(destination)
        counts_by_priority[priority] = min(
            counts_by_priority.get(priority, spare_parts), spare_parts
        )
        return min(count for urgency, count in counts_by_priority.items() if urgency <= priority)
