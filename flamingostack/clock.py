"""The clock that leases are measured with."""

from __future__ import annotations

import time

NS_PER_MS = 1_000_000


def boottime_ns() -> int:
    """Nanoseconds since boot; unlike CLOCK_MONOTONIC it also counts time in suspend."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def ms_to_ns(milliseconds: float) -> int:
    """Convert milliseconds to nanoseconds."""
    return int(milliseconds * NS_PER_MS)
