"""The last check before a request body is written to a target's socket."""

from __future__ import annotations

import asyncio
from typing import Protocol

from aiohttp import ClientRequest, ClientResponse, payload
from aiohttp.abc import AbstractStreamWriter
from aiohttp.connector import Connection

from .connections import Connections
from .work import Work

DEADLINE_HEADER = "Deadline-Ms"
CONNECTION_CLOSED = "connection_closed"


class FenceRefusedError(Exception):
    """Raised inside aiohttp in place of writing the body; nothing has been sent then."""


class FlushGate:
    """Lets one body for a target through in each event loop iteration.

    uvloop keeps written bytes until the end of the iteration. With one body for each iteration, a
    process that is frozen between the check and the flush sends at most one stale request to
    a target, which is what the reserve of the next holder accounts for.
    """

    __slots__ = ("_open", "_loop")

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()
        self._loop = asyncio.get_running_loop()

    def close_until_flushed(self) -> None:
        """Close the gate until the next event loop iteration."""
        self._open.clear()
        self._loop.call_soon(self._open.set)

    async def wait_open(self) -> None:
        """Return in the same synchronous step in which the gate was found open."""
        while not self._open.is_set():
            await self._open.wait()


class Guard(Protocol):
    """What a fence asks of its target."""

    gate: FlushGate
    connections: Connections

    def find_refusal(self, work: Work) -> str:
        """Return why the work must not be sent now, or an empty string."""

    def remaining_ms(self, work: Work) -> int:
        """Return the milliseconds to the work's deadline."""


class Fence(payload.Payload):
    """A request body whose write first checks that the request may still be sent.

    aiohttp 3.14 keeps the headers until the body's first write, so after a refusal not even the
    headers have been sent; with a version that sends them earlier, the target has an incomplete
    request, which it does not run. `has_begun` is set in the same synchronous step as the write.
    """

    _autoclose = True

    def __init__(self, body: bytes, guard: Guard, work: Work) -> None:
        super().__init__(body, content_type="application/json")
        self._size = len(body)
        self.guard = guard
        self.work = work
        self.has_begun = False
        self.refusal = ""

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return self._value.decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the body; called by aiohttp before 3.12."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self,
        writer: AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        """Check and write the whole body in one synchronous step; called by aiohttp 3.14."""
        gate = self.guard.gate
        await gate.wait_open()
        self.refusal = self.guard.find_refusal(self.work) or find_closed(writer)
        if self.refusal:
            raise FenceRefusedError(self.refusal)
        gate.close_until_flushed()
        self.has_begun = True
        await writer.write(self._value)


def find_closed(writer: AbstractStreamWriter) -> str:
    """Return a refusal code if the connection has closed, in which case no byte can be written."""
    transport = writer.transport
    return CONNECTION_CLOSED if transport is None or transport.is_closing() else ""


class FencedRequest(ClientRequest):
    """An aiohttp request that completes its headers once it has a connection."""

    async def send(self, conn: Connection) -> ClientResponse:
        """State the remaining time, then write; a connection above the cap is used once more."""
        body = self.body
        if isinstance(body, Fence):
            self.headers[DEADLINE_HEADER] = str(body.guard.remaining_ms(body.work))
            if body.guard.connections.take_excess():
                conn.protocol.force_close()
        return await super().send(conn)
