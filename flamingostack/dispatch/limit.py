"""Adaptive concurrency limit of one target: a state machine without I/O.

A cold target gets its cold limit. After `cold_successes` responses without the cold flag the
limit doubles, and then again after each round of as many such responses as the limit, up to the
warm limit.
"""

from __future__ import annotations

import enum


class LimitState(enum.Enum):
    """State inferred from the target's responses; a target without responses counts as cold."""

    COLD = "cold"
    RAMPING = "ramping"
    WARM = "warm"


class LimitConfig:
    """Configuration of a limit.

    `cold_limit` and `warm_limit` are concurrent requests. `cold_successes` is the number of
    responses without the cold flag after which the limit starts to grow.
    """

    __slots__ = ("cold_limit", "warm_limit", "cold_successes")

    def __init__(self, cold_limit: int, warm_limit: int, cold_successes: int) -> None:
        self.warm_limit = max(warm_limit, 1)
        # With a cold limit of 0 the target would get no requests, and without their responses it
        # would stay cold for ever.
        self.cold_limit = min(max(cold_limit, 1), self.warm_limit)
        self.cold_successes = cold_successes


class Limit:
    """Limit of one target; `current` is the number of concurrent requests allowed now.

    `epoch` is incremented at each reset to cold. A request keeps the epoch in which it started, so
    that a response to a request from before the reset does not count towards warming up.
    """

    __slots__ = ("state", "config", "reserve", "epoch", "current", "_ramp_limit", "_successes")

    def __init__(self, config: LimitConfig, reserve: int = 0) -> None:
        self.config = config
        self.reserve = reserve
        self.epoch = 0
        self.current = 0
        self.state = LimitState.COLD
        self._ramp_limit = config.cold_limit
        self._successes = 0
        self._update()

    def set_config(self, config: LimitConfig) -> None:
        """Apply the configuration of a new preset or index map, and cap the growth so far by it."""
        self.config = config
        if self.state is LimitState.WARM or self._ramp_limit > config.warm_limit:
            self._ramp_limit = config.warm_limit
        self._update()

    def set_reserve(self, reserve: int) -> None:
        """Subtract `reserve` from the limit while the target is not warm.

        The reserve is the number of requests that previous holders of the partition may still send
        to the target, since they have not confirmed that they stopped.
        """
        self.reserve = reserve
        self._update()

    def reset_to_cold(self) -> None:
        """Reset after a cold flag, a shed request, a failed connection, a new grant, or a mark."""
        self.state = LimitState.COLD
        self.epoch += 1
        self._successes = 0
        self._update()

    def on_response(self, is_cold: bool, epoch: int) -> None:
        """Process a response to a request that was started in `epoch`."""
        if is_cold:
            self.reset_to_cold()
            return
        if self.state is LimitState.WARM or epoch != self.epoch:
            return
        self._successes += 1
        if self.state is LimitState.COLD:
            if self._successes >= self.config.cold_successes:
                self._grow(self.config.cold_limit)
        elif self._successes >= self._ramp_limit:
            self._grow(self._ramp_limit)

    def _grow(self, base: int) -> None:
        self._ramp_limit = min(base * 2, self.config.warm_limit)
        self._successes = 0
        is_full = self._ramp_limit >= self.config.warm_limit
        self.state = LimitState.WARM if is_full else LimitState.RAMPING
        self._update()

    def _update(self) -> None:
        match self.state:
            case LimitState.COLD:
                self.current = max(self.config.cold_limit - self.reserve, 0)
            case LimitState.RAMPING:
                self.current = max(self._ramp_limit - self.reserve, 0)
            case LimitState.WARM:
                self.current = self._ramp_limit


class FixedLimit(Limit):
    """Limit of the baseline mode: a fixed share of the slots, independent of the responses."""

    __slots__ = ()

    def set_reserve(self, reserve: int) -> None:
        """Do nothing: in the baseline mode partitions have no holders, so nothing is reserved."""

    def reset_to_cold(self) -> None:
        """Do nothing: the baseline mode does not handle cold targets."""

    def on_response(self, is_cold: bool, epoch: int) -> None:
        """Do nothing: the limit does not depend on responses."""

    def _update(self) -> None:
        self.state = LimitState.WARM
        self.current = self.config.warm_limit
