"""Budgets for extra sends, and rates."""

from __future__ import annotations

from collections.abc import Callable

# A larger reserve would be saved up in quiet times and spent at once when targets get slow.
MAX_EXTRA_SEND_TOKENS = 10.0


class ExtraSendBudget:
    """Hedges and retries of one class, as a share of its primary sub-requests.

    It starts empty, so that the extra sends never exceed their share of the primary ones.
    """

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        self.tokens = 0.0

    def deposit(self, primaries: int, extra_load_percent: float) -> None:
        """Add the share of `primaries` sub-requests."""
        refilled = self.tokens + primaries * extra_load_percent / 100
        self.tokens = min(refilled, MAX_EXTRA_SEND_TOKENS)

    def try_withdraw(self) -> bool:
        """Take one extra send; False if the budget does not allow it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class TokenBucket:
    """A rate with a burst of one second's worth."""

    __slots__ = ("per_second", "_now", "_tokens", "_updated_at")

    def __init__(self, per_second: float, now: Callable[[], float]) -> None:
        self.per_second = per_second
        self._now = now
        self._tokens = float(per_second)
        self._updated_at = now()

    def try_acquire(self, amount: float) -> bool:
        """Take `amount`; False if the rate does not allow it now."""
        now = self._now()
        refilled = (now - self._updated_at) * self.per_second
        self._tokens = min(self._tokens + refilled, max(self.per_second, amount))
        self._updated_at = now
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True
