"""Phases of a graceful shutdown; no running request is interrupted."""

from __future__ import annotations

import asyncio
import enum


class Phase(enum.Enum):
    """SERVING; NOTICE: not ready, still serving; FINISHING: new requests are refused."""

    SERVING = "serving"
    NOTICE = "notice"
    FINISHING = "finishing"


class Shutdown:
    """Phase of the shutdown and count of the running requests."""

    __slots__ = ("phase", "running", "_requested", "_idle")

    def __init__(self) -> None:
        self.phase = Phase.SERVING
        self.running = 0
        self._requested = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()

    def request(self) -> None:
        """Request the shutdown; further calls have no effect."""
        self._requested.set()

    async def wait_requested(self) -> None:
        """Wait until the shutdown is requested."""
        await self._requested.wait()

    def begin(self) -> None:
        """Count a request as running."""
        self.running += 1
        self._idle.clear()

    def end(self) -> None:
        """Stop counting a request, whose answer is complete."""
        self.running -= 1
        if not self.running:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is running."""
        await self._idle.wait()
