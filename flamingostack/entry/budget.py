"""Token buckets: a budget for hedges and retries, and a rate limit."""

from __future__ import annotations

from collections.abc import Callable

# A larger reserve would build up under low load and be spent in one burst when targets slow down.
MAX_EXTRA_SEND_TOKENS = 10.0


class ExtraSendBudget:
    """Budget for the hedges and retries of one class, a share of its primary sub-requests.

    It starts empty, so that hedges and retries never exceed that share.
    """

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        self.tokens = 0.0

    def deposit(self, primaries: int, extra_load_percent: float) -> None:
        """Add tokens for `primaries` sub-requests, up to the maximum."""
        refilled = self.tokens + primaries * extra_load_percent / 100
        self.tokens = min(refilled, MAX_EXTRA_SEND_TOKENS)

    def try_withdraw(self) -> bool:
        """Take the token for one hedge or retry; return False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class TokenBucket:
    """Rate limit that allows a burst of one second's amount, or of one larger request."""

    __slots__ = ("per_second", "_now", "_tokens", "_updated_at")

    def __init__(self, per_second: float, now: Callable[[], float]) -> None:
        self.per_second = per_second
        self._now = now
        self._tokens = float(per_second)
        self._updated_at = now()

    def try_acquire(self, amount: float) -> bool:
        """Take `amount` tokens; return False, taking none, if there are fewer."""
        now = self._now()
        refilled = (now - self._updated_at) * self.per_second
        self._tokens = min(self._tokens + refilled, max(self.per_second, amount))
        self._updated_at = now
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True
