"""The concurrency limit of one target: a pure state machine without I/O."""

from __future__ import annotations

import enum


class LimitState(enum.Enum):
    """What the target's answers have shown; an unknown target counts as cold."""

    COLD = "cold"
    RAMPING = "ramping"
    WARM = "warm"


class LimitSizes:
    """Sizes that bound the limit, in concurrent requests."""

    __slots__ = ("cold_limit", "warm_limit", "cold_successes")

    def __init__(self, cold_limit: int, warm_limit: int, cold_successes: int) -> None:
        self.warm_limit = max(warm_limit, 1)
        # A cold limit of 0 would keep the target cold for ever, since only answers warm it up.
        self.cold_limit = min(max(cold_limit, 1), self.warm_limit)
        self.cold_successes = cold_successes


class Limit:
    """Limit of one target in concurrent requests.

    `epoch` grows at each return to cold. A request keeps the epoch it was started in, so that
    an answer that was sent before the target turned cold does not count towards warming it up.
    """

    __slots__ = ("state", "config", "reserve", "epoch", "current", "_grown", "_successes")

    def __init__(self, config: LimitSizes, reserve: int = 0) -> None:
        self.config = config
        self.reserve = reserve
        self.epoch = 0
        self.current = 0
        self.state = LimitState.COLD
        self._grown = config.cold_limit
        self._successes = 0
        self._update()

    def set_sizes(self, config: LimitSizes) -> None:
        """Apply sizes of another preset or index map; growth so far is kept within them."""
        self.config = config
        if self.state is LimitState.WARM or self._grown > config.warm_limit:
            self._grown = config.warm_limit
        self._update()

    def set_reserve(self, reserve: int) -> None:
        """Keep `reserve` requests free for previous holders that have not confirmed."""
        self.reserve = reserve
        self._update()

    def turn_cold(self) -> None:
        """Go back to cold after a cold flag, a shed, a lost connection, or a change of holder."""
        self.state = LimitState.COLD
        self.epoch += 1
        self._successes = 0
        self._update()

    def on_answer(self, is_cold: bool, epoch: int) -> None:
        """Count an answer to a request that was started in `epoch`."""
        if is_cold:
            self.turn_cold()
            return
        if self.state is LimitState.WARM or epoch != self.epoch:
            return
        self._successes += 1
        if self.state is LimitState.COLD:
            if self._successes >= self.config.cold_successes:
                self._grow(self.config.cold_limit)
        elif self._successes >= self._grown:
            self._grow(self._grown)

    def _grow(self, base: int) -> None:
        self._grown = min(base * 2, self.config.warm_limit)
        self._successes = 0
        is_full = self._grown >= self.config.warm_limit
        self.state = LimitState.WARM if is_full else LimitState.RAMPING
        self._update()

    def _update(self) -> None:
        match self.state:
            case LimitState.COLD:
                self.current = max(self.config.cold_limit - self.reserve, 0)
            case LimitState.RAMPING:
                self.current = max(self._grown - self.reserve, 0)
            case LimitState.WARM:
                self.current = self._grown


class FixedLimit(Limit):
    """Limit of the baseline mode: a fixed share of the slots, whatever the target answers."""

    __slots__ = ()

    def set_reserve(self, reserve: int) -> None:
        """Ignore the reserve: the baseline has no owners."""

    def turn_cold(self) -> None:
        """Keep the limit: the baseline does not handle cold targets."""

    def on_answer(self, is_cold: bool, epoch: int) -> None:
        """Keep the limit."""

    def _update(self) -> None:
        self.state = LimitState.WARM
        self.current = self.config.warm_limit
