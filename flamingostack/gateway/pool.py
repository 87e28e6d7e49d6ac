"""Extra sends that the instances of a large failure domain share.

It handles the load pattern of a large fleet in which each instance gets a few queries in a window
and may spend one or two extra sends on each shard. A slow target, or two pauses by chance, use them
up at some instances while the fleet as a whole has hardly spent any, and the answers of these
instances lack parts.

A part of the slack is therefore not divided. The two instances of a failure domain that watch the
store (`readers.py`) hand it out, half each, one grant for one extra send to be sent at once. They
count what they have granted in the last window. Nothing is granted by an instance that has just
started, since it does not know what its predecessor granted. Views that differ by one reader, and a
reader that is replaced, leave the fleet within its bound.
"""

from __future__ import annotations

from collections import deque

# For how long after it was requested a grant may be used.
GRANT_VALID_S = 0.1
MAX_SERVICES_PER_REQUEST = 64


class ExtraSendPool:
    """Grants of one instance in the last window; times in seconds of the event loop's clock."""

    __slots__ = ("window_s", "started_at", "_grant_times_by_service")

    def __init__(self, window_s: float, now: float) -> None:
        self.window_s = window_s
        self.started_at = now
        self._grant_times_by_service: dict[str, deque[float]] = {}

    def try_grant(self, service: str, limit: float, now: float) -> bool:
        """Grant one extra send, or return False if it would exceed `limit` in the window."""
        if now - self.started_at < self.window_s:
            return False
        times = self._grant_times_by_service.setdefault(service, deque())
        while times and times[0] < now - self.window_s:
            times.popleft()
        if len(times) + 1 > limit:
            return False
        times.append(now)
        return True
