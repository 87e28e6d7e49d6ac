"""State of each target: its registered entry, and what this instance has observed of it.

Health and load that a target reports may be out of date or misleading, so the instance's own
observations take precedence. Times are in seconds of the event loop's clock.
"""

from __future__ import annotations

import math

from .model import TargetEntry, TargetLoad
from .notices import TargetNotices, get_incarnation

# An observed slowdown or failure rate halves in this time, so that a recovered target is tried
# again. A failed attempt costs another send, a slow one often only time.
SLOWDOWN_HALF_LIFE_S = 2.5
FAILURE_HALF_LIFE_S = 4.0
# Weights of a new observation in the running estimates. A slowdown observed after a longer interval
# weighs more, since an instance of a large fleet sends to a target only about once a second, while
# a slowdown lasts seconds.
SLOWDOWN_WEIGHT = 0.3
SLOWDOWN_WEIGHT_HALF_LIFE_S = 1.0
FAILURE_WEIGHT = 0.25
MAX_SLOWDOWN = 20.0
# A load report is used for as long as a queue of a few requests takes to change.
LOAD_REPORT_MAX_AGE_S = 0.5
# A machine that is shared with others changes its speed each 600 ms. The reported time factor
# therefore fades to the average of the target within this time.
TIME_FACTOR_FADE_S = LOAD_REPORT_MAX_AGE_S
# Weight of a report in that average.
TIME_FACTOR_WEIGHT = 0.1
# A full queue is served within this time, and reports of it take half as long.
QUEUE_REPORT_MAX_AGE_S = 1.2
# Backoff after consecutive failures, doubled with each; long enough that a dead target costs few
# sends.
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
MIN_FAILURES_FOR_BACKOFF = 2
# Pause after a target has shed a request because its queue is full; it serves half of a short queue
# in this time.
SHED_BACKOFF_S = 0.05


class Target:
    """State of one target as observed by this instance."""

    __slots__ = (
        "entry",
        "notices",
        "cold_until",
        "in_flight",
        "sends_in_flight",
        "soft_max_connections",
        "max_connections",
        "cross_domain_rank",
        "slowdown",
        "slowdown_at",
        "failure_rate",
        "failure_at",
        "observed_at",
        "reported_slowdown",
        "reported_failure_rate",
        "reported_at",
        "reported_queue",
        "reported_queue_at",
        "consecutive_failures",
        "paused_until",
        "load",
        "load_at",
        "average_time_factor",
        "is_misdirected",
        "cold_send_times",
        "_expected_sum_s",
        "_expected_end_sum",
    )

    def __init__(
        self, entry: TargetEntry, now: float, notices: TargetNotices | None = None
    ) -> None:
        self.entry = entry
        self.notices = notices or TargetNotices()
        self.cold_until = now + entry.cold_s
        self.in_flight = 0
        # Start time and expected latency by send, and their sums, so that the remaining work is
        # known without a loop.
        self.sends_in_flight: dict[int, tuple[float, float]] = {}
        self._expected_sum_s = 0.0
        self._expected_end_sum = 0.0
        # Soft and hard limit of connections; a send beyond the soft limit has a higher cost.
        self.soft_max_connections = 1
        self.max_connections = 1
        # Position in this instance's order of targets in other failure domains, from 0 to 1.
        self.cross_domain_rank = 0.0
        # Latency relative to the typical latency of the route, without the effect of the time
        # factor.
        self.slowdown = 1.0
        self.slowdown_at = now
        self.failure_rate = 0.0
        self.failure_at = now
        # When this instance last observed an answer, a delay or a failure of its own.
        self.observed_at = -math.inf
        # What other instances have observed, and when.
        self.reported_slowdown = 1.0
        self.reported_failure_rate = 0.0
        self.reported_at = -math.inf
        # Waiting requests for each slot that the target told another instance, and when.
        self.reported_queue = 0.0
        self.reported_queue_at = -math.inf
        self.consecutive_failures = 0
        self.paused_until = 0.0
        self.load: TargetLoad | None = None
        self.load_at = 0.0
        # Average of the time factors that the target has reported.
        self.average_time_factor = 1.0
        # Another target has answered at the address, or the entry was removed or replaced. This one
        # must not be chosen again.
        self.is_misdirected = False
        # When it was chosen for a send within the last second; only while the target is cold.
        self.cold_send_times: list[float] = []

    def update(self, entry: TargetEntry, now: float) -> None:
        """Replace the entry by a newer one of the same incarnation."""
        self.entry = entry
        if entry.cold_s:
            self.cold_until = max(self.cold_until, now + entry.cold_s)

    def is_same_incarnation(self, entry: TargetEntry) -> bool:
        """Return whether an entry has the same start time, address and service."""
        return get_incarnation(self.entry) == get_incarnation(entry)

    @property
    def is_draining(self) -> bool:
        """Whether the target leaves, by its entry or by its own word."""
        return self.entry.is_draining or self.notices.is_leaving

    def is_closed_until(self, at: float) -> bool:
        """Return whether the target wants no request before a time, or leaves."""
        return self.is_draining or self.notices.closed_until >= at

    def record_send_start(self, send_id: int, now: float, expected_s: float = 0.0) -> None:
        """Record that a send has started; `expected_s` is its expected latency, 0 if not known."""
        self.in_flight += 1
        self.sends_in_flight[send_id] = now, expected_s
        self._expected_sum_s += expected_s
        self._expected_end_sum += now + expected_s

    def record_choice(self, now: float) -> None:
        """Record that the target was chosen for a send, which starts a step of the loop later.

        All requests that arrive in one step choose before the first of their sends starts.
        """
        self.notices.record_send(now)
        if now < self.cold_until:
            self.cold_send_times = [sent for sent in self.cold_send_times if sent > now - 1]
            self.cold_send_times.append(now)

    def record_send_end(self, send_id: int) -> None:
        """Record that a send has ended, whatever its outcome."""
        self.in_flight -= 1
        started_at, expected_s = self.sends_in_flight.pop(send_id)
        if self.sends_in_flight:
            self._expected_sum_s -= expected_s
            self._expected_end_sum -= started_at + expected_s
        else:
            # Keeps rounding errors from adding up.
            self._expected_sum_s = self._expected_end_sum = 0.0

    def oldest_send(self, now: float) -> tuple[float, float]:
        """Return how long the oldest send in flight has been waiting, and its expected latency."""
        if not self.sends_in_flight:
            return 0.0, 0.0
        started_at, expected_s = next(iter(self.sends_in_flight.values()))
        return now - started_at, expected_s

    def remaining_s(self, now: float, min_share: float) -> float:
        """Return the expected remaining time of all sends in flight, added up.

        It is at least `min_share` of their expected latencies.
        """
        remaining_s = self._expected_end_sum - len(self.sends_in_flight) * now
        return max(remaining_s, self._expected_sum_s * min_share)

    def own_slowdown(self, now: float) -> float:
        """Return the slowdown expected from this instance's observations, after decay."""
        return decay_slowdown(self.slowdown, now - self.slowdown_at)

    def own_failure_rate(self, now: float) -> float:
        """Return the failure rate expected from this instance's observations, after decay."""
        # Most targets have not failed.
        if not self.failure_rate:
            return 0.0
        return self.failure_rate * decay_factor(now - self.failure_at, FAILURE_HALF_LIFE_S)

    def current_slowdown(self, now: float) -> float:
        """Return the expected slowdown; a report counts until an own observation follows."""
        # Written out, since it is called for each target of each choice.
        elapsed_s = now - self.slowdown_at
        own = self.slowdown
        if elapsed_s > 0:
            own = 1 + (own - 1) * math.exp2(-elapsed_s / SLOWDOWN_HALF_LIFE_S)
        if self.reported_at <= self.observed_at:
            return own
        return max(own, decay_slowdown(self.reported_slowdown, now - self.reported_at))

    def current_failure_rate(self, now: float) -> float:
        """Return the expected share of failing sends, from 0 to 1; reports count as above."""
        own = self.own_failure_rate(now)
        if self.reported_at <= self.observed_at:
            return own
        decayed = decay_factor(now - self.reported_at, FAILURE_HALF_LIFE_S)
        return max(own, self.reported_failure_rate * decayed)

    def queue_of_others(self, now: float) -> float:
        """Return the waiting requests for each slot that only other instances know of."""
        is_known = self.load is not None and self.load_at >= self.reported_queue_at
        is_old = now - self.reported_queue_at >= QUEUE_REPORT_MAX_AGE_S
        return 0.0 if is_known or is_old else self.reported_queue

    def expected_queue(self, now: float) -> float:
        """Return the waiting requests for each slot, by the latest report to any instance."""
        if self.load is None or now - self.load_at >= QUEUE_REPORT_MAX_AGE_S:
            return self.queue_of_others(now)
        own = self.load.waiting / max(self.load.slots, 1)
        return own if self.load_at >= self.reported_queue_at else self.queue_of_others(now)

    def record_queue(self, queue: float, at: float) -> None:
        """Record the queue that the target told another instance, unless a newer one is known."""
        if at > self.reported_queue_at:
            self.reported_queue, self.reported_queue_at = queue, at

    def record_report(self, slowdown: float, failure_rate: float, at: float) -> None:
        """Record what other instances have observed at a time, unless a newer report is known."""
        if at > self.reported_at:
            self.reported_slowdown = slowdown
            self.reported_failure_rate = failure_rate
            self.reported_at = at

    def current_load(self, now: float) -> TargetLoad | None:
        """Return the reported load; None if there is none or it is too old."""
        return self.load if now - self.load_at < LOAD_REPORT_MAX_AGE_S else None

    def current_time_factor(self, now: float) -> float:
        """Return how many times as long as on its average work takes on the machine now.

        A target whose figure is always wrong by the same factor is thus treated like the others.
        """
        freshness = 1 - (now - self.load_at) / TIME_FACTOR_FADE_S
        if self.load is None or freshness <= 0:
            return 1.0
        return 1 + (self.load.time_factor / self.average_time_factor - 1) * min(freshness, 1.0)

    def record_load(self, load: TargetLoad, now: float) -> None:
        """Record the load that the target has reported."""
        self.load = load
        self.load_at = now
        self.average_time_factor += (
            load.time_factor - self.average_time_factor
        ) * TIME_FACTOR_WEIGHT

    def record_answer(self, slowdown: float, load: TargetLoad | None, now: float) -> None:
        """Record an answer that took `slowdown` times the typical latency."""
        if load is not None:
            self.record_load(load, now)
        self.record_slowdown(slowdown, now)
        self.failure_rate = self.own_failure_rate(now) * (1 - FAILURE_WEIGHT)
        self.failure_at = now
        self.consecutive_failures = 0
        self.paused_until = 0.0

    def record_slowdown(self, slowdown: float, now: float) -> None:
        """Update the expected slowdown with an observed one.

        What the time factor explains is left out, since it changes faster than the slowdown fades.
        The factor applies to the work and not to the way there, so that it never explains more
        than the time beyond the usual.
        """
        slowdown = max(slowdown / self.current_time_factor(now), min(slowdown, 1.0))
        elapsed_s = now - self.slowdown_at
        current = decay_slowdown(self.slowdown, elapsed_s)
        decayed_share = 1 - decay_factor(elapsed_s, SLOWDOWN_WEIGHT_HALF_LIFE_S)
        weight = max(SLOWDOWN_WEIGHT, decayed_share)
        self.slowdown = current + (min(slowdown, MAX_SLOWDOWN) - current) * weight
        self.slowdown_at = self.observed_at = now

    def record_failure(self, now: float) -> None:
        """Record a send without a usable answer; consecutive failures pause the target."""
        rate = self.own_failure_rate(now)
        self.failure_rate = rate + (1 - rate) * FAILURE_WEIGHT
        self.failure_at = self.observed_at = now
        self.consecutive_failures += 1
        excess = self.consecutive_failures - MIN_FAILURES_FOR_BACKOFF
        if excess >= 0:
            backoff = min(FIRST_BACKOFF_S * 2 ** min(excess, 10), MAX_BACKOFF_S)
            self.paused_until = now + backoff

    def record_shed(self, load: TargetLoad | None, now: float, is_overloaded: bool) -> None:
        """Record a refusal by the target; it is paused only if it is overloaded.

        A target with free slots may accept the next request.
        """
        rate = self.own_failure_rate(now)
        self.failure_rate = rate + (1 - rate) * FAILURE_WEIGHT
        self.failure_at = self.observed_at = now
        if is_overloaded:
            self.paused_until = max(self.paused_until, now + SHED_BACKOFF_S)
        if load is not None:
            self.record_load(load, now)


def decay_slowdown(slowdown: float, elapsed_s: float) -> float:
    """Return a slowdown observed `elapsed_s` ago, after decay."""
    return 1 + (slowdown - 1) * decay_factor(elapsed_s, SLOWDOWN_HALF_LIFE_S)


def decay_factor(elapsed_s: float, half_life_s: float) -> float:
    """Return the remaining weight of an observation after `elapsed_s`, from 1 down to 0."""
    return math.exp2(-elapsed_s / half_life_s) if elapsed_s > 0 else 1.0
