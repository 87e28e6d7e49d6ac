"""Admission control for whole queries under overload.

A query is worth most when all its parts are answered. Once targets refuse parts, admitting every
query leaves almost none complete: with 10 parts and 1 in 3 refused, 2 in 100. The number of
queries in flight is therefore limited for each service, by additive increase and multiplicative
decrease on the share of queries that lost a part to full queues.
"""

from __future__ import annotations

WINDOW_S = 0.2
# The limit is lowered after a window in which a larger share of the queries lost a part.
TOLERATED_LOSS_SHARE = 0.02
DECREASE_FACTOR = 0.9
INCREASE_SHARE = 0.04
INCREASE_MIN = 0.5
# The limit is raised only if the queries in flight reached this share of it: an unused limit
# says nothing about the capacity.
MIN_USED_SHARE = 0.8
MIN_LIMIT = 2.0
# Each step of a class's priority number leaves this share of the limit to lower numbers, so that
# classes that are served later are refused first.
RESERVED_SHARE_PER_PRIORITY = 0.05
# The limit is removed after this many windows in a row without loss and without use of the limit.
REMOVE_LIMIT_AFTER_WINDOWS = 50


class OverloadLimit:
    """Limit on the queries in flight from this process to one service; times are in seconds."""

    __slots__ = (
        "limit",
        "in_flight",
        "_window_end",
        "_ended_count",
        "_lost_count",
        "_peak_in_flight",
        "_unused_windows",
    )

    def __init__(self, now: float) -> None:
        self.limit = float("inf")
        self.in_flight = 0
        self._window_end = now + WINDOW_S
        self._ended_count = 0
        self._lost_count = 0
        self._peak_in_flight = 0
        self._unused_windows = 0

    def try_admit(self, priority: int, now: float) -> bool:
        """Admit a query and count it as in flight, or return False if it has to be refused."""
        self._roll_window(now)
        allowed = max(self.limit * (1 - RESERVED_SHARE_PER_PRIORITY * priority), 1.0)
        if self.in_flight >= allowed:
            self._peak_in_flight = max(self._peak_in_flight, self.in_flight)
            return False
        self.in_flight += 1
        self._peak_in_flight = max(self._peak_in_flight, self.in_flight)
        return True

    def release(self, has_lost_part: bool, now: float) -> None:
        """Stop counting a query; `has_lost_part` means that full queues cost it a part."""
        self.in_flight -= 1
        self._ended_count += 1
        self._lost_count += has_lost_part
        self._roll_window(now)

    def _roll_window(self, now: float) -> None:
        if now < self._window_end:
            return
        if self._ended_count and self._lost_count > self._ended_count * TOLERATED_LOSS_SHARE:
            # Until the first loss there is no limit; the peak is what the targets received.
            base = min(self.limit, self._peak_in_flight)
            self.limit = max(base * DECREASE_FACTOR, MIN_LIMIT)
            self._unused_windows = 0
        elif self._peak_in_flight >= self.limit * MIN_USED_SHARE:
            self.limit += max(self.limit * INCREASE_SHARE, INCREASE_MIN)
            self._unused_windows = 0
        else:
            self._unused_windows += 1
            if self._unused_windows >= REMOVE_LIMIT_AFTER_WINDOWS:
                self.limit = float("inf")
        self._window_end = now + WINDOW_S
        self._ended_count = self._lost_count = 0
        self._peak_in_flight = self.in_flight
