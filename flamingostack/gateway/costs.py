"""Likely cost of requests, and the likely time until a target has finished one.

It handles these load patterns:

- Requests of one route that look different cost different work, for example by path or by
  organisation. With the average of the route, a target that has served a costly request counts as
  slow, and a costly one in flight as a stall; good targets are then avoided, and hedges are made
  in vain.
- A costly request occupies a target. Others are sent elsewhere until it is nearly done.
- A request is known to take longer than its caller waits. It is refused at once, unrun.

Costs are learnt from the answers that this instance gets. An instance of a large fleet gets one or
two requests a second, so that little is known of most kinds of requests: only those that clearly
differ from their route are treated differently, and all others by the typical latency of the route.
Performs no I/O. Times are in seconds of the event loop's clock.
"""

from __future__ import annotations

import math
import re
import statistics
from collections.abc import Sequence

from .targets import Target, decay_factor

# A round trip between failure domains; the platform documents 3.5 to 4 ms one way.
CROSS_DOMAIN_ROUND_TRIP_S = 0.008
# A target counts as stalled once its oldest send has waited for this many expected latencies, but
# not before the minimum.
STALL_THRESHOLD_LATENCIES = 3.0
MIN_STALL_THRESHOLD_S = 0.02
# Expected remaining time of a stall; the platform documents pauses of 120 and 250 ms.
EXPECTED_STALL_S = 0.15
# A cold target takes about 1.6 times as long.
COLD_SLOWDOWN = 1.6
# Share of the expected latency that is added when all slots of a target are busy; with fewer busy
# slots it is proportionally less.
BUSY_SLOTS_COST_LATENCIES = 0.3
# Of each send in flight at least this share counts as remaining, since a send that takes longer
# than expected is not about to end.
MIN_REMAINING_SHARE = 0.5

# Cells of kinds of requests; 0.3 KB each. New kinds are kept apart until they have been seen often
# enough, so that callers with ever new paths displace only each other.
MAX_CELLS = 2000
MAX_NEW_CELLS = 500
# A cell is used from this weight on, and decides on refusals from the second.
MIN_WEIGHT = 6.0
MIN_REFUSAL_WEIGHT = 12.0
# A new answer weighs at least 1 in this many, and old ones fade with this half-life.
MAX_WEIGHT = 24.0
WEIGHT_HALF_LIFE_S = 180.0
# The typical latency of the route counts as this many answers of the kind.
PRIOR_WEIGHT = 1.0
# Limit of the difference, as a logarithm, by which one answer moves a mean: a factor of 3. One
# answer in a hundred takes 5 times as long, and a paused target far longer.
MAX_ERROR = 1.1
# After this many answers in a row that are off to the same side, by a factor of 2 and by two
# deviations, the kind of requests has changed and is learnt anew.
SURPRISE_ERROR = 0.7
SURPRISE_DEVIATIONS = 2.0
MAX_SURPRISES = 3
RELEARNING_WEIGHT = 1.5
# Mean absolute deviation of the logarithm before it is known; of a spread of 50%.
INITIAL_DEVIATION = 0.37
# A kind differs from its route from this factor on (1.3), and only by this many standard errors.
MIN_DIFFERENCE = 0.26
MIN_DIFFERENCE_ERRORS = 3.0
# What all kinds of a route have in common, such as slow machines, is followed within seconds.
DRIFT_WEIGHT = 0.25
DRIFT_HALF_LIFE_S = 3.0
# The noise of a few single answers; only a drift beyond it is used.
MIN_DRIFT = 0.3
# Deviations above the mean from which an answer is slow, one in ten, and below it for the least
# time that a request may take, one in a hundred. For a normal distribution the standard deviation
# is 1.25 mean absolute deviations.
SLOW_DEVIATIONS = 1.3 * 1.25
LOWEST_DEVIATIONS = 2.3 * 1.25
# The slowdown of a target rests on one or two answers, so that with a spread of 35% to 50% a factor
# of 1.4 to 1.6 is noise. Following it, many instances would send to the same targets.
NOISE_DEVIATIONS = 1.25
MAX_NOISE = 0.47
# With fewer parts the deviation is taken from request to request.
MIN_PARTS_FOR_DEVIATION = 4
MIN_LATENCY_S = 1e-4
# A request that was not answered in time counts as having taken this many times as long.
TIMEOUT_FACTOR = 1.5
# A lower slowdown of a target is taken for the noise of single answers.
MIN_SLOW_PACE = 2.0
# Of requests that are expected to be late, this share is sent all the same: their answers tell when
# the estimate is wrong.
TRIAL_SHARE = 0.1

MAX_PATH_CHARACTERS = 512
MAX_SEGMENTS = 6
MAX_QUERY_KEYS = 8
# Segments with a digit or of this length are taken for names of objects.
MAX_WORD_CHARACTERS = 24
OBJECT_NAME = re.compile(rf"[^/]*[0-9%][^/]*|[^/]{{{MAX_WORD_CHARACTERS},}}")


class RequestCost:
    """Expected latency of one request at a usual, idle target of its own failure domain.

    `typical_s` is the typical latency of the route, which stands for requests of others;
    `slow_s` the latency from which an answer is slow, None if it is that of the route;
    `lowest_s` is what the request takes at least, 0 if too little is known; `noise_factor` is up to
    which factor the slowdown of a target may be due to the spread of single answers.
    """

    __slots__ = ("expected_s", "typical_s", "slow_s", "lowest_s", "noise_factor")

    def __init__(
        self,
        expected_s: float,
        typical_s: float | None = None,
        slow_s: float | None = None,
        lowest_s: float = 0.0,
        noise_factor: float = 1.0,
    ) -> None:
        self.expected_s = expected_s
        self.typical_s = expected_s if typical_s is None else typical_s
        self.slow_s = slow_s
        self.lowest_s = lowest_s
        self.noise_factor = noise_factor


class RequestKind:
    """Kind of a request: its route, and the keys of its cells, the most specific one first.

    The keys are hashes, so that the memory does not depend on what callers send.
    """

    __slots__ = ("route", "keys")

    def __init__(self, route: str, keys: tuple[int, ...]) -> None:
        self.route = route
        self.keys = keys


def make_kind(
    route: str, method: str, path: str, body_bytes: int, organisation: str = ""
) -> RequestKind:
    """Return the kind of a request; `path` includes the query."""
    path, _, query = path[:MAX_PATH_CHARACTERS].partition("?")
    shape = OBJECT_NAME.sub("*", "/".join(path.split("/", MAX_SEGMENTS + 1)[: MAX_SEGMENTS + 1]))
    names = {item.partition("=")[0] for item in query.split("&", MAX_QUERY_KEYS)[:MAX_QUERY_KEYS]}
    # Sizes of the body are told apart by factors of four.
    size = (body_bytes.bit_length() + 1) // 2
    key = hash((route, method, shape, frozenset(names), size))
    return RequestKind(route, (hash((key, organisation)), key) if organisation else (key,))


class CostCell:
    """Mean logarithm of the latencies of one kind of requests."""

    __slots__ = ("mean", "deviation", "surprises", "_weight", "_updated_at")

    def __init__(self) -> None:
        self.mean = 0.0
        self.deviation = INITIAL_DEVIATION
        # Answers in a row that were off to the same side; negative for shorter ones.
        self.surprises = 0
        self._weight = 0.0
        self._updated_at = 0.0

    def weight(self, now: float) -> float:
        """Return on how many answers the mean rests, after fading."""
        return self._weight * decay_factor(now - self._updated_at, WEIGHT_HALF_LIFE_S)

    def record(self, latency_log: float, deviation: float | None, now: float) -> None:
        """Add an answer; `deviation` is that of the parts of a fan-out, None without parts."""
        weight = self.weight(now)
        error = latency_log - self.mean if weight else 0.0
        if not weight:
            self.mean = latency_log
        self._count_surprise(error)
        if abs(self.surprises) >= MAX_SURPRISES:
            self.surprises = 0
            weight = min(weight, RELEARNING_WEIGHT)
        error = min(max(error, -MAX_ERROR), MAX_ERROR)
        gain = 1 / (weight + 1)
        self.mean += error * gain
        # The initial deviation counts as some answers.
        deviation = abs(error) if deviation is None else deviation
        self.deviation += (deviation - self.deviation) / (weight + MIN_WEIGHT)
        self._weight = min(weight + 1, MAX_WEIGHT)
        self._updated_at = now

    def _count_surprise(self, error: float) -> None:
        if abs(error) < max(SURPRISE_ERROR, SURPRISE_DEVIATIONS * self.deviation):
            self.surprises = 0
        elif error > 0:
            self.surprises = max(self.surprises, 0) + 1
        else:
            self.surprises = min(self.surprises, 0) - 1


class RouteCosts:
    """Mean of all requests of a route, and by what factor, as a logarithm, it is off at present."""

    __slots__ = ("cell", "_drift", "_drift_at")

    def __init__(self) -> None:
        self.cell = CostCell()
        self._drift = 0.0
        self._drift_at = 0.0

    def drift(self, now: float) -> float:
        """Return the present drift beyond the noise."""
        drift = self._decayed_drift(now)
        return math.copysign(max(abs(drift) - MIN_DRIFT, 0.0), drift)

    def record_error(self, error: float, now: float) -> None:
        """Update the drift by the error of an estimate from a learnt cell."""
        drift = self._decayed_drift(now)
        error = min(max(error, -MAX_ERROR), MAX_ERROR)
        self._drift = drift + (error - drift) * DRIFT_WEIGHT
        self._drift_at = now

    def _decayed_drift(self, now: float) -> float:
        return self._drift * decay_factor(now - self._drift_at, DRIFT_HALF_LIFE_S)


class CostModel:
    """What an instance has learnt of the costs of requests, in bounded memory."""

    __slots__ = ("_routes_by_name", "_cells_by_key", "_new_cells_by_key")

    def __init__(self) -> None:
        self._routes_by_name: dict[str, RouteCosts] = {}
        # The least recently used cell is the first.
        self._cells_by_key: dict[int, CostCell] = {}
        self._new_cells_by_key: dict[int, CostCell] = {}

    def __len__(self) -> int:
        return len(self._cells_by_key) + len(self._new_cells_by_key)

    def keep_routes(self, names: set[str]) -> None:
        """Forget all other routes; the cells of their requests are displaced in time."""
        self._routes_by_name = {
            name: costs for name, costs in self._routes_by_name.items() if name in names
        }

    def expect(self, kind: RequestKind, typical_s: float, now: float) -> RequestCost:
        """Return the expected cost of a request; `typical_s` is that of its route."""
        route = self._routes_by_name.get(kind.route)
        cell = self._find_cell(kind, now)
        if route is None or cell is None:
            return RequestCost(typical_s)
        weight = cell.weight(now)
        drift = route.drift(now)
        lowest_s = 0.0
        if weight >= MIN_REFUSAL_WEIGHT:
            lowest = cell.mean - cell.deviation * LOWEST_DEVIATIONS + min(drift, 0.0)
            lowest_s = math.exp(lowest)
        noise_factor = math.exp(min(cell.deviation * NOISE_DEVIATIONS, MAX_NOISE))
        if not differs(cell, route.cell, weight):
            return RequestCost(typical_s, lowest_s=lowest_s, noise_factor=noise_factor)
        prior = math.log(typical_s)
        mean = prior + (cell.mean + drift - prior) * weight / (weight + PRIOR_WEIGHT)
        expected_s = math.exp(mean)
        slow_s = expected_s * math.exp(cell.deviation * SLOW_DEVIATIONS)
        return RequestCost(expected_s, typical_s, slow_s, lowest_s, noise_factor)

    def record(self, kind: RequestKind, latencies_s: Sequence[float], now: float) -> None:
        """Learn from a request by the latencies of its parts, as of usual, idle targets.

        The parts cost similar work, so that they count as one answer with their median.
        """
        logs = [math.log(max(latency_s, MIN_LATENCY_S)) for latency_s in latencies_s]
        latency_log = statistics.median(logs)
        deviation = None
        if len(logs) >= MIN_PARTS_FOR_DEVIATION:
            deviation = sum(min(abs(log - latency_log), MAX_ERROR) for log in logs) / len(logs)
        route = self._routes_by_name.get(kind.route)
        if route is None:
            route = self._routes_by_name[kind.route] = RouteCosts()
        known_cell = self._find_cell(kind, now)
        if known_cell is not None:
            route.record_error(latency_log - known_cell.mean, now)
        route.cell.record(latency_log, deviation, now)
        for key in kind.keys:
            self._record(key, latency_log, deviation, now)

    def record_timeout(self, kind: RequestKind, waited_s: float, now: float) -> None:
        """Learn from a request whose work was not done in time; see `took_long_itself`."""
        latency_s = waited_s * TIMEOUT_FACTOR
        cell = self._find_cell(kind, now)
        if cell is None or math.log(latency_s) > cell.mean:
            self.record(kind, [latency_s], now)

    def _find_cell(self, kind: RequestKind, now: float) -> CostCell | None:
        for key in kind.keys:
            cell = self._cells_by_key.get(key)
            if cell is not None and cell.weight(now) >= MIN_WEIGHT:
                return cell
        return None

    def _record(self, key: int, latency_log: float, deviation: float | None, now: float) -> None:
        cell = self._cells_by_key.pop(key, None)
        if cell is None:
            cell = self._new_cells_by_key.pop(key, None) or CostCell()
        cell.record(latency_log, deviation, now)
        is_known = cell.weight(now) >= MIN_WEIGHT
        cells, limit = (
            (self._cells_by_key, MAX_CELLS) if is_known else (self._new_cells_by_key, MAX_NEW_CELLS)
        )
        cells[key] = cell
        if len(cells) > limit:
            del cells[next(iter(cells))]


def differs(cell: CostCell, route_cell: CostCell, weight: float) -> bool:
    """Return whether a kind of requests clearly differs from the average of its route."""
    standard_error = cell.deviation * 1.25 / math.sqrt(weight)
    threshold = max(MIN_DIFFERENCE, MIN_DIFFERENCE_ERRORS * standard_error)
    return abs(cell.mean - route_cell.mean) > threshold


def estimate_finish_s(target: Target, cost: RequestCost, own_domain: str, now: float) -> float:
    """Return the expected time until a target has answered a request that is sent now.

    It consists of the work of the request, the wait for a free slot, and a stall. Without learnt
    costs, each request counts as the typical latency of the route.
    """
    pace = target.current_slowdown(now)
    noise_factor = cost.noise_factor
    if noise_factor > 1 and pace > 1:
        pace = pace / noise_factor if pace > noise_factor else 1.0
    if now < target.cold_until:
        pace *= COLD_SLOWDOWN
    load = target.current_load(now)
    in_flight = busy = target.in_flight
    if load is not None:
        # The time factor fades no later than the load report.
        pace *= target.current_time_factor(now)
        slots = load.slots
        busy = max(busy, load.running + load.waiting)
    else:
        slots = target.entry.slots
        busy = max(busy, round(slots * target.queue_of_others(now)))
    finish_s = cost.expected_s * (1 + BUSY_SLOTS_COST_LATENCIES * min(busy, slots) / slots)
    if busy >= slots:
        remaining_s = (busy - in_flight) * cost.typical_s
        if in_flight:
            remaining_s += target.remaining_s(now, MIN_REMAINING_SHARE)
        finish_s += remaining_s / busy * (busy + 1 - slots) / slots
    finish_s *= pace
    if in_flight:
        wait_s, expected_s = target.oldest_send(now)
        stalled_after_s = STALL_THRESHOLD_LATENCIES * (expected_s or cost.typical_s) * pace
        if wait_s > stalled_after_s and wait_s > MIN_STALL_THRESHOLD_S:
            finish_s += EXPECTED_STALL_S
    if target.entry.failure_domain != own_domain:
        finish_s += CROSS_DOMAIN_ROUND_TRIP_S
    return finish_s


def blend_slow_latency_s(
    cost: RequestCost, route_slow_s: float, spent_budget_share: float
) -> float:
    """Return the latency from which an answer to a request is slow and may be hedged.

    `route_slow_s` is that of its route. A costly request is hedged as early while budget is left,
    since another machine may be faster, and only once it is slow for its kind as the budget is
    spent, which keeps hedges that are made in vain from the others.
    """
    if cost.slow_s is None:
        return route_slow_s
    if cost.slow_s <= route_slow_s:
        return cost.slow_s
    return route_slow_s + (cost.slow_s - route_slow_s) * spent_budget_share


def expected_pace(target: Target, now: float) -> float | None:
    """Return how many times as long as usual a target takes before its time factor is applied.

    It is None if requests wait there, since the latency then tells little of the work.
    """
    load = target.current_load(now)
    slots = target.entry.slots if load is None else load.slots
    if target.in_flight >= slots or (load is not None and load.waiting):
        return None
    slowdown = target.current_slowdown(now)
    pace = slowdown if slowdown >= MIN_SLOW_PACE else 1.0
    return pace * COLD_SLOWDOWN if now < target.cold_until else pace


def took_long_itself(target: Target, sent_at: float, now: float) -> bool:
    """Return whether a send without an answer took long because of its own work.

    That is so if the target has answered other requests meanwhile, as fast as usual and with no
    request waiting, so that it was neither dark, paused nor overloaded.
    """
    load = target.load
    if load is None or target.load_at <= sent_at or load.waiting:
        return False
    return target.current_slowdown(now) < MIN_SLOW_PACE


def is_surely_late(
    targets: list[Target], cost: RequestCost, own_domain: str, time_left_s: float, now: float
) -> bool:
    """Return whether not even the best target can be expected to answer a request in time.

    Only the least work counts, and of queues only half, since both may turn out shorter. Without
    targets only the work counts.
    """
    if not cost.lowest_s:
        return False
    if cost.lowest_s > time_left_s:
        return True
    least = RequestCost(cost.lowest_s, cost.lowest_s)
    return bool(targets) and all(
        has_long_queue(target, now)
        and estimate_finish_s(target, least, own_domain, now) > time_left_s * 2
        for target in targets
    )


def has_long_queue(target: Target, now: float) -> bool:
    """Return whether a target has told this instance just now that requests wait."""
    load = target.current_load(now)
    return load is not None and load.waiting >= load.slots
