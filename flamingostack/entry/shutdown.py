"""Phases of a graceful shutdown; no running request is interrupted."""

from __future__ import annotations

import asyncio
import enum


class Phase(enum.Enum):
    """SERVING; NOTICE: not ready, still serving; FINISHING: new work refused; then the end."""

    SERVING = "serving"
    NOTICE = "notice"
    FINISHING = "finishing"


class Shutdown:
    """Counts the running requests and tells what may start."""

    __slots__ = ("phase", "running", "_requested", "_idle")

    def __init__(self) -> None:
        self.phase = Phase.SERVING
        self.running = 0
        self._requested = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()

    def request(self) -> None:
        """Begin to shut down; further calls do nothing."""
        self._requested.set()

    async def wait_requested(self) -> None:
        """Wait for the request to shut down."""
        await self._requested.wait()

    def begin(self) -> None:
        """Count a request that starts to run."""
        self.running += 1
        self._idle.clear()

    def end(self) -> None:
        """Count a request whose answer was made."""
        self.running -= 1
        if not self.running:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request runs."""
        await self._idle.wait()
