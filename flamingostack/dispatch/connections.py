"""The count of a target's connections against its cap."""

from __future__ import annotations


class Connections:
    """Connections that one target holds open for us, as far as the target may count them.

    aiohttp opens a connection only if none is idle, so the number of open connections never
    exceeds the largest number in use. A connection that was closed because it went silent is
    half-open: the target may not have seen the close and still counts it.
    """

    __slots__ = ("cap", "in_use", "half_open", "peak")

    def __init__(self, cap: int) -> None:
        self.cap = max(cap, 1)
        self.in_use = 0
        self.half_open = 0
        self.peak = 0

    @property
    def available(self) -> int:
        """How many more connections may be in use."""
        return self.cap - self.half_open - self.in_use

    def acquire(self) -> None:
        """Count a connection that a request takes, idle or new."""
        self.in_use += 1
        self.peak = max(self.peak, self.in_use)

    def release(self) -> None:
        """Count a connection that a request gives back."""
        self.in_use -= 1

    def abandon(self) -> None:
        """Count a released connection that was closed because it went silent."""
        self.half_open += 1
        self.peak = max(self.peak - 1, 0)

    def expire(self) -> None:
        """Stop counting one abandoned connection."""
        self.half_open -= 1

    def set_cap(self, cap: int) -> None:
        """Apply another cap; connections above it are closed as they are given back."""
        self.cap = max(cap, 1)

    def take_excess(self) -> bool:
        """Tell whether a connection must be closed after use, since the cap was lowered."""
        if self.peak <= self.cap - self.half_open:
            return False
        self.peak -= 1
        return True
