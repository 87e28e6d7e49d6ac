"""Fencing of requests: the last check before a body is written to a target's socket."""

from __future__ import annotations

import asyncio
from typing import Protocol

from aiohttp import ClientRequest, ClientResponse, SocketTimeoutError, payload
from aiohttp.abc import AbstractStreamWriter
from aiohttp.connector import Connection

from .connections import Connections
from .work import WorkItem

DEADLINE_HEADER = "Deadline-Ms"
CONNECTION_CLOSED = "connection_closed"
OVER_LIMIT = "over_limit"
FLUSH_POLL_S = 0.002


class FenceRefusedError(Exception):
    """Raised inside aiohttp instead of writing the body; nothing has been sent in that case."""


class FlushGate:
    """Lets only one body per target be between its check and the complete write to the socket.

    The transports of asyncio and uvloop 0.23 write a body to the socket at once, but buffer what a
    full socket does not accept. If the process is then frozen (suspended), it sends the buffered
    rest when it resumes, although it may no longer hold the target. With one such body at a time it
    sends at most one stale request to each target, for which the next holder keeps a reserve.
    """

    __slots__ = ("_is_open",)

    def __init__(self) -> None:
        self._is_open = asyncio.Event()
        self._is_open.set()

    def close(self) -> None:
        """Block all other bodies."""
        self._is_open.clear()

    def open(self) -> None:
        """Let the next body pass."""
        self._is_open.set()

    async def wait_open(self) -> None:
        """Wait until the gate is open; return without a suspension after the gate was seen open."""
        while not self._is_open.is_set():
            await self._is_open.wait()


class Guard(Protocol):
    """Interface of a target as used by `FencedBody` and `FencedRequest`.

    `silent_after_s` is the time without progress after which a body write times out.
    """

    gate: FlushGate
    connections: Connections
    silent_after_s: float

    def find_refusal(self, work: WorkItem) -> str:
        """Return the reason code why the work must not be sent now, or an empty string."""

    def has_room_to_send(self) -> bool:
        """Return whether the current limit permits one more request at the target."""

    def count_sent(self) -> None:
        """Count a request whose body is about to be written."""

    def remaining_ms(self, work: WorkItem) -> int:
        """Return the milliseconds until the work's deadline."""


class FencedBody(payload.Payload):
    """Request body that checks, right before it is written, that the request may still be sent.

    aiohttp 3.14 buffers the headers until the first write of the body, so after a refusal not even
    the headers have been sent. With a version that sends them earlier, the target receives an
    incomplete request, which it does not run.

    `has_started_writing` is set in the same synchronous step as the write, so while it is False
    the target cannot have run the request. `refusal` is the reason code of a refused write.
    """

    _autoclose = True

    def __init__(self, body: bytes, guard: Guard, work: WorkItem) -> None:
        super().__init__(body, content_type="application/json")
        self._size = len(body)
        self.guard = guard
        self.work = work
        self.has_started_writing = False
        self.refusal = ""

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return self._value.decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Check and write the body; the method that aiohttp before 3.12 calls."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self,
        writer: AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        """Check and write the whole body in one synchronous step; aiohttp 3.14 calls this method.

        Raises FenceRefusedError if the check fails, and SocketTimeoutError if the socket accepts no
        more bytes.
        """
        gate = self.guard.gate
        await gate.wait_open()
        self.refusal = self._find_refusal(writer)
        if self.refusal:
            raise FenceRefusedError(self.refusal)
        gate.close()
        self.has_started_writing = True
        self.guard.count_sent()
        try:
            # With `drain=False` the call neither suspends nor waits for a stalled connection.
            await writer.write(self._value, drain=False)
            if writer.transport.get_write_buffer_size():
                await self._wait_flushed(writer.transport)
        finally:
            gate.open()

    def _find_refusal(self, writer: AbstractStreamWriter) -> str:
        refusal = self.guard.find_refusal(self.work) or find_connection_refusal(writer)
        # The limit may have been lowered while the request waited for its connection.
        return refusal or ("" if self.guard.has_room_to_send() else OVER_LIMIT)

    async def _wait_flushed(self, transport: asyncio.Transport) -> None:
        """Wait until the socket has accepted the buffered rest of the body.

        Raises SocketTimeoutError if the socket accepts no bytes for `silent_after_s`.
        """
        loop = asyncio.get_running_loop()
        size = transport.get_write_buffer_size()
        last_progress_s = loop.time()
        while size and not transport.is_closing():
            await asyncio.sleep(FLUSH_POLL_S)
            previous, size = size, transport.get_write_buffer_size()
            if size < previous:
                last_progress_s = loop.time()
            elif loop.time() - last_progress_s > self.guard.silent_after_s:
                raise SocketTimeoutError("the socket accepted no more bytes of the request body")


def find_connection_refusal(writer: AbstractStreamWriter) -> str:
    """Return a reason code if the connection is closed, so that nothing can be written, or ""."""
    transport = writer.transport
    return CONNECTION_CLOSED if transport is None or transport.is_closing() else ""


class FencedRequest(ClientRequest):
    """An aiohttp request that sets its deadline header when it has got a connection."""

    async def send(self, conn: Connection) -> ClientResponse:
        """Set the deadline header to the remaining time and send the request.

        A connection in excess of the target's cap is closed after this request.
        """
        body = self.body
        if isinstance(body, FencedBody):
            self.headers[DEADLINE_HEADER] = str(body.guard.remaining_ms(body.work))
            if body.guard.connections.take_excess():
                conn.protocol.force_close()
        return await super().send(conn)
