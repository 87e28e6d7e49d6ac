"""What one instance knows of each target: its entry, and what its answers have shown.

Health and load that a target reports lag or mislead, so that first-hand observation comes first.
Times are in seconds of the event loop's clock.
"""

from __future__ import annotations

import math

from .model import TargetEntry, TargetLoad

# Half of an observed slowdown or failure rate is forgotten in this time, so that a target that has
# recovered is tried again. A failed try costs another send, a slow one often only time.
SLOWDOWN_HALF_LIFE_S = 2.5
FAILURE_HALF_LIFE_S = 4.0
# How much an observation counts among many; one that comes after a while counts for more, since an
# instance of a large fleet sends to a target about once a second, and a slowdown lasts seconds.
SLOWDOWN_WEIGHT = 0.3
SLOWDOWN_WEIGHT_HALF_LIFE_S = 1.0
FAILURE_WEIGHT = 0.25
MAX_SLOWDOWN = 20.0
# A report of load is used for as long as a queue of a few requests takes to change.
LOAD_REPORT_MAX_AGE_S = 0.5
# Pause after failures in a row, doubled at each; long enough that a dead target costs few sends.
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
MIN_FAILURES_FOR_BACKOFF = 2
# A target that sheds has a full queue; half of a short queue is served in this time.
SHED_BACKOFF_S = 0.05


class Target:
    """State of one target as seen from this instance."""

    __slots__ = (
        "entry",
        "cold_until",
        "in_flight",
        "start_times_by_send",
        "usual_connections",
        "max_connections",
        "cross_domain_rank",
        "slowdown",
        "slowdown_at",
        "failure_rate",
        "failure_at",
        "consecutive_failures",
        "paused_until",
        "load",
        "load_at",
        "is_misdirected",
        "cold_send_times",
    )

    def __init__(self, entry: TargetEntry, now: float) -> None:
        self.entry = entry
        self.cold_until = now + entry.cold_s
        self.in_flight = 0
        self.start_times_by_send: dict[int, float] = {}
        # Connections used in ordinary times, and the most that may be used.
        self.usual_connections = 1
        self.max_connections = 1
        # Place in this instance's order of targets in other failure domains, from 0 to 1.
        self.cross_domain_rank = 0.0
        # Latency relative to the usual one of the route.
        self.slowdown = 1.0
        self.slowdown_at = now
        self.failure_rate = 0.0
        self.failure_at = now
        self.consecutive_failures = 0
        self.paused_until = 0.0
        self.load: TargetLoad | None = None
        self.load_at = 0.0
        # Another target has answered at the address.
        self.is_misdirected = False
        # When requests were sent in the last second, kept while the target is cold.
        self.cold_send_times: list[float] = []

    def update(self, entry: TargetEntry, now: float) -> None:
        """Take over a newer entry of the same start of the target."""
        self.entry = entry
        if entry.cold_s:
            self.cold_until = max(self.cold_until, now + entry.cold_s)

    def is_same_incarnation(self, entry: TargetEntry) -> bool:
        """Tell whether an entry speaks of the start of the target that is known."""
        known = self.entry
        return (known.started_ms, known.host, known.port, known.service) == (
            entry.started_ms,
            entry.host,
            entry.port,
            entry.service,
        )

    def record_send_start(self, send_id: int, now: float) -> None:
        """Count a send."""
        self.in_flight += 1
        self.start_times_by_send[send_id] = now
        if now < self.cold_until:
            self.cold_send_times = [sent for sent in self.cold_send_times if sent > now - 1]
            self.cold_send_times.append(now)

    def record_send_end(self, send_id: int) -> None:
        """Count the end of a send, whatever its outcome."""
        self.in_flight -= 1
        del self.start_times_by_send[send_id]

    def oldest_wait_s(self, now: float) -> float:
        """Return how long the oldest send has been waiting for its answer."""
        if not self.start_times_by_send:
            return 0.0
        return now - next(iter(self.start_times_by_send.values()))

    def current_slowdown(self, now: float) -> float:
        """Return the slowdown that is still to be expected."""
        return 1 + (self.slowdown - 1) * decay_factor(now - self.slowdown_at, SLOWDOWN_HALF_LIFE_S)

    def current_failure_rate(self, now: float) -> float:
        """Return the share of sends that is still to be expected to fail."""
        return self.failure_rate * decay_factor(now - self.failure_at, FAILURE_HALF_LIFE_S)

    def current_load(self, now: float) -> TargetLoad | None:
        """Return the reported load, unless it is too old."""
        return self.load if now - self.load_at < LOAD_REPORT_MAX_AGE_S else None

    def record_answer(self, slowdown: float, load: TargetLoad | None, now: float) -> None:
        """Count an answer that took `slowdown` times as long as usual."""
        self.record_slowdown(slowdown, now)
        self.failure_rate = self.current_failure_rate(now) * (1 - FAILURE_WEIGHT)
        self.failure_at = now
        self.consecutive_failures = 0
        self.paused_until = 0.0
        if load is not None:
            self.load = load
            self.load_at = now

    def record_slowdown(self, slowdown: float, now: float) -> None:
        """Move the expected slowdown towards an observed one."""
        current = self.current_slowdown(now)
        decayed_share = 1 - decay_factor(now - self.slowdown_at, SLOWDOWN_WEIGHT_HALF_LIFE_S)
        weight = max(SLOWDOWN_WEIGHT, decayed_share)
        self.slowdown = current + (min(slowdown, MAX_SLOWDOWN) - current) * weight
        self.slowdown_at = now

    def record_failure(self, now: float) -> None:
        """Count a send without a usable answer; several in a row pause the target."""
        rate = self.current_failure_rate(now)
        self.failure_rate = rate + (1 - rate) * FAILURE_WEIGHT
        self.failure_at = now
        self.consecutive_failures += 1
        excess = self.consecutive_failures - MIN_FAILURES_FOR_BACKOFF
        if excess >= 0:
            backoff = min(FIRST_BACKOFF_S * 2 ** min(excess, 10), MAX_BACKOFF_S)
            self.paused_until = now + backoff

    def record_shed(self, load: TargetLoad | None, now: float, is_overloaded: bool) -> None:
        """Count a refusal by the target itself; one with free slots may accept the next request."""
        rate = self.current_failure_rate(now)
        self.failure_rate = rate + (1 - rate) * FAILURE_WEIGHT
        self.failure_at = now
        if is_overloaded:
            self.paused_until = max(self.paused_until, now + SHED_BACKOFF_S)
        if load is not None:
            self.load = load
            self.load_at = now


def decay_factor(elapsed_s: float, half_life_s: float) -> float:
    """Return what is left of an observation after `elapsed_s`, from 1 down to 0."""
    return math.exp2(-max(elapsed_s, 0.0) / half_life_s)
