"""Clock for leases."""

from __future__ import annotations

import time

NS_PER_MS = 1_000_000


def boottime_ns() -> int:
    """Return nanoseconds since boot.

    Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME includes the time that the system was suspended.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def ms_to_ns(milliseconds: float) -> int:
    """Convert milliseconds to nanoseconds."""
    return int(milliseconds * NS_PER_MS)
