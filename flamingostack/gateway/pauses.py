"""Catching up with the store after the process stood still.

It handles the fault of a process that is frozen, or whose machine is suspended, for seconds. What
it knows may have run out meanwhile: a target has left, a failure domain was evacuated, a route was
dropped. The requests that have arrived wait until the store, and the instances that are followed,
have told the changes, which takes a few milliseconds. While they do not answer, the last known
state stays in force, as in any outage, and the wait is short.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

# How often the process records that it runs.
TICK_S = 0.25
# From this gap between two records the process counts as having stood still. Changes have to be in
# force after 3 s, and the event loop of a busy instance is late by less.
MIN_PAUSE_S = 1.0
MAX_CATCH_UP_S = 0.3


def read_clock_s() -> float:
    """Return a time in seconds that also passes while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseGuard:
    """Detects pauses, and lets requests wait until the state is up to date again.

    `catch_up` is called once after each pause. `on_pause` is called with the length in seconds, and
    `on_failure` with an unexpected error of `catch_up`.
    """

    __slots__ = ("catch_up", "on_pause", "on_failure", "_clock_s", "_ran_at", "_task")

    def __init__(
        self,
        catch_up: Callable[[], Awaitable[None]],
        on_pause: Callable[[float], None],
        on_failure: Callable[[Exception], None],
        clock_s: Callable[[], float] = read_clock_s,
    ) -> None:
        self.catch_up = catch_up
        self.on_pause = on_pause
        self.on_failure = on_failure
        self._clock_s = clock_s
        self._ran_at = clock_s()
        self._task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Record that the process runs, until cancelled."""
        while True:
            self.record()
            await asyncio.sleep(TICK_S)

    def record(self) -> None:
        """Record that the process runs; start to catch up if it stood still."""
        now = self._clock_s()
        paused_s, self._ran_at = now - self._ran_at, now
        if paused_s < MIN_PAUSE_S:
            return
        self.on_pause(paused_s)
        if self._task is not None:
            self._task.cancel()
        self._task = asyncio.get_running_loop().create_task(self._catch_up())

    async def wait(self) -> None:
        """Wait, after a pause, until the state is up to date or cannot be had."""
        self.record()
        while self._task is not None and not self._task.done():
            await asyncio.wait({self._task})

    async def _catch_up(self) -> None:
        try:
            async with asyncio.timeout(MAX_CATCH_UP_S):
                await self.catch_up()
        except TimeoutError:
            # The last known state stays in force.
            pass
        except Exception as error:
            # Nobody awaits the result of the task.
            self.on_failure(error)
