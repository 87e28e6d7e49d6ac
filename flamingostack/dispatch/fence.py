"""The last check before a request body is written to a target's socket."""

from __future__ import annotations

import asyncio
from typing import Protocol

from aiohttp import ClientRequest, ClientResponse, SocketTimeoutError, payload
from aiohttp.abc import AbstractStreamWriter
from aiohttp.connector import Connection

from .connections import Connections
from .work import Work

DEADLINE_HEADER = "Deadline-Ms"
CONNECTION_CLOSED = "connection_closed"
OVER_LIMIT = "over_limit"
FLUSH_POLL_S = 0.002


class FenceRefusedError(Exception):
    """Raised inside aiohttp in place of writing the body; nothing has been sent then."""


class FlushGate:
    """Lets one body at a time be between the check and the socket, for one target.

    The transports of asyncio and uvloop 0.23 hand a body to the socket at once, but keep what a
    full socket does not take. A process that is frozen then sends the rest when it resumes. With
    one such body at a time it sends at most one stale request to a target, which is what the
    reserve of the next holder accounts for.
    """

    __slots__ = ("_is_open",)

    def __init__(self) -> None:
        self._is_open = asyncio.Event()
        self._is_open.set()

    def close(self) -> None:
        """Keep other bodies back."""
        self._is_open.clear()

    def open(self) -> None:
        """Let the next body through."""
        self._is_open.set()

    async def wait_open(self) -> None:
        """Return in the same synchronous step in which the gate was found open."""
        while not self._is_open.is_set():
            await self._is_open.wait()


class Guard(Protocol):
    """What a fence asks of its target."""

    gate: FlushGate
    connections: Connections
    silent_after_s: float

    def find_refusal(self, work: Work) -> str:
        """Return why the work must not be sent now, or an empty string."""

    def has_room_to_send(self) -> bool:
        """Tell whether one more request may be at the target under the present limit."""

    def count_sent(self) -> None:
        """Count a request whose body is written."""

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
        self.refusal = self._find_refusal(writer)
        if self.refusal:
            raise FenceRefusedError(self.refusal)
        gate.close()
        self.has_begun = True
        self.guard.count_sent()
        try:
            # Without `drain` the call does not suspend, and never waits on a silent connection.
            await writer.write(self._value, drain=False)
            if writer.transport.get_write_buffer_size():
                await self._wait_flushed(writer.transport)
        finally:
            gate.open()

    def _find_refusal(self, writer: AbstractStreamWriter) -> str:
        refusal = self.guard.find_refusal(self.work) or find_closed(writer)
        # The limit may have dropped while the request waited for its connection.
        return refusal or ("" if self.guard.has_room_to_send() else OVER_LIMIT)

    async def _wait_flushed(self, transport: asyncio.Transport) -> None:
        """Wait until the socket has taken the rest; raise a timeout if it takes nothing more."""
        loop = asyncio.get_running_loop()
        size = transport.get_write_buffer_size()
        progress_at = loop.time()
        while size and not transport.is_closing():
            await asyncio.sleep(FLUSH_POLL_S)
            previous, size = size, transport.get_write_buffer_size()
            if size < previous:
                progress_at = loop.time()
            elif loop.time() - progress_at > self.guard.silent_after_s:
                raise SocketTimeoutError("no progress in writing the body")


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
