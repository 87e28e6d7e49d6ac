"""Requests that arrive before a process that has just started knows the state.

It handles the load pattern in which all instances end at the same moment. Callers have waited in
the backlog (`backlog.py`), and their requests are read a round trip to the store before it is known
how to route them. They wait for that. A store that does not answer soon is in trouble itself, and
requests are then refused at once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# Requests wait only this soon after the start, and no longer than this.
STARTUP_S = 1.0
MAX_WAIT_S = 0.3
POLL_INTERVAL_S = 0.01


class StartGuard:
    """Lets requests wait until the first state is known; `now` is the clock of the event loop."""

    __slots__ = ("_now", "_started_at")

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._started_at = now()

    @property
    def is_starting(self) -> bool:
        """Whether the process has just started."""
        return self._now() < self._started_at + STARTUP_S

    async def wait(self, is_known: Callable[[], bool]) -> None:
        """Wait until the state is known, or the store does not tell it soon."""
        until = min(self._now() + MAX_WAIT_S, self._started_at + STARTUP_S)
        while not is_known() and self._now() < until:  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
