"""Connections to targets: HTTP/1.1 exchanges, one at a time, and the pool of idle connections.

It handles these faults of targets:

- An answer is cut, malformed, or framed in two ways. It is never taken for a whole one.
- An answer arrives twice, the second time while the connection is idle or in use again. It never
  reaches another request.
- Bytes arrive without end: in a head, in a body, or as answers to other requests. The exchange ends
  once a limit in bytes or messages is reached, and the loop is free again between two reads.
- Many targets do so at the same time. The bodies of all exchanges share one limit.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

import httptools
from multidict import CIMultiDict

from ..platform.messages import KEEP_ALIVE_TIMEOUT, decode_header, is_for_other_request

Address = tuple[str, int]

# Largest body of all parts of a request together.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Limit of all bodies that are being received. Only those that exceed the usual size are counted.
MAX_PENDING_BYTES = 12 * 1024 * 1024
USUAL_BODY_BYTES = 16 * 1024
# Limit of the bytes of an exchange that are not part of the awaited body: heads, chunk sizes,
# trailers, and answers to other requests. A chunked body may have a share of its length more. Each
# chunk costs processor time, however short it is.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_OVERHEAD_SHARE = 1 / 8
MAX_HEADER_FIELDS = 256
# Limits of the messages before the awaited answer.
MAX_INTERIM_RESPONSES = 8
MAX_SKIPPED_ANSWERS = 4
# The parser calls back for each header field and chunk. Between two slices of the received bytes
# the limits are checked.
SLICE_BYTES = 8 * 1024
# Targets close idle connections after some seconds. Connections are closed here before that.
DEFAULT_IDLE_TIMEOUT_S = 4.0
MAX_IDLE_TIMEOUT_S = 30.0
# Time that a target's announced idle timeout is shortened by, since it counts from the moment at
# which the target sent its answer, and a request needs time to get there.
IDLE_MARGIN_S = 0.5
# Requests that a connection remembers: a refused one is sent again within milliseconds.
MAX_RECENT_REQUEST_IDS = 16
STATUSES_WITHOUT_BODY = (204, 304)


class TargetResponse:
    """A complete answer to a request."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: CIMultiDict[str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class BrokenExchange:
    """An exchange that ended without a usable answer; the request may have run."""

    __slots__ = ("detail",)

    def __init__(self, detail: str) -> None:
        self.detail = detail


class ExpiredExchange:
    """An exchange whose time limit passed before its answer; the request may have run."""

    __slots__ = ()


Reply = TargetResponse | BrokenExchange | ExpiredExchange


class PendingBodies:
    """Bounds the memory of the bodies that are being received on all connections together.

    It handles the load pattern of many targets that send large or endless bodies at the same time.
    The largest body is given up first, since it has taken the most of what all others need.
    """

    __slots__ = ("total_bytes", "_bytes_by_connection")

    def __init__(self) -> None:
        self.total_bytes = 0
        self._bytes_by_connection: dict[TargetConnection, int] = {}

    def set_bytes(self, connection: TargetConnection, body_bytes: int) -> None:
        """Record the size of the body that a connection is receiving; 0 if it receives none."""
        self.total_bytes += body_bytes - self._bytes_by_connection.pop(connection, 0)
        if body_bytes:
            self._bytes_by_connection[connection] = body_bytes
        while self.total_bytes > MAX_PENDING_BYTES:
            largest = max(self._bytes_by_connection, key=self._bytes_by_connection.__getitem__)
            self.total_bytes -= self._bytes_by_connection.pop(largest)
            largest.give_up(f"bodies of all answers exceed {MAX_PENDING_BYTES} bytes")


class TargetConnection(asyncio.Protocol):
    """A connection to a target, which serves one exchange at a time.

    `on_lost` is called once, when the connection is closed by either side.
    """

    __slots__ = (
        "is_open",
        "is_reusable",
        "idle_timeout_s",
        "idle_since",
        "skipped_answers",
        "recent_request_ids",
        "_pending_bodies",
        "_on_lost",
        "_transport",
        "_parser",
        "_reply",
        "_request_id",
        "_is_head_request",
        "_max_body_bytes",
        "_has_served",
        "_error",
        "_response",
        "_received_bytes",
        "_body_bytes",
        "_interim_responses",
        "_skipped_in_exchange",
        "_header_fields",
        "_headers",
        "_is_awaited",
        "_ends_with_connection",
        "_keeps_alive",
        "_body",
    )

    def __init__(
        self, pending_bodies: PendingBodies, on_lost: Callable[[TargetConnection], None]
    ) -> None:
        self._pending_bodies = pending_bodies
        self.is_open = True
        # Whether another exchange may follow; valid after an exchange has ended.
        self.is_reusable = False
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.idle_since = 0.0
        # Number of answers to other requests that arrived in place of the awaited one.
        self.skipped_answers = 0
        self.recent_request_ids: deque[str] = deque(maxlen=MAX_RECENT_REQUEST_IDS)
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        # None while no answer is awaited.
        self._reply: asyncio.Future[Reply] | None = None
        self._request_id = ""
        self._is_head_request = False
        self._max_body_bytes = 0
        self._has_served = False
        self._clear_exchange()

    def exchange(
        self,
        request: bytes,
        request_id: str,
        is_head_request: bool,
        max_body_bytes: int = MAX_ANSWER_BYTES,
    ) -> asyncio.Future[Reply]:
        """Send an encoded request; the future gets the reply to it.

        An answer whose body exceeds `max_body_bytes` is given up. The caller sets the future to
        `ExpiredExchange` at its time limit, and then closes the connection.
        """
        self._clear_exchange()
        self._request_id = request_id
        self.recent_request_ids.append(request_id)
        self._is_head_request = is_head_request
        self._max_body_bytes = max_body_bytes
        self.is_reusable = False
        reply = self._reply = asyncio.get_running_loop().create_future()
        if self._transport is None or self._transport.is_closing():
            self._end_exchange(BrokenExchange("connection closed before the request was sent"))
        else:
            self._transport.write(request)
        return reply

    def give_up(self, reason: str) -> None:
        """End the exchange without an answer, and close the connection."""
        self._error = self._error or reason
        self._body.clear()
        self._end_exchange(BrokenExchange(self._error))

    def close(self) -> None:
        """Close the connection at once; the target stops working on an unanswered request."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse a part of an answer; bytes that no request waits for close the connection."""
        if self._reply is None:
            self.close()
            return
        try:
            self._parse(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._error = self._error or f"malformed answer: {error!r}"
        if self._response is not None:
            self._end_exchange(self._response)
        elif self._error is not None:
            self._end_exchange(BrokenExchange(self._error))

    def eof_received(self) -> None:
        """End an answer that has no length; any other is incomplete."""
        self.is_reusable = False
        if self._reply is None:
            return
        if self._is_awaited and self._ends_with_connection and self._error is None:
            self._complete_response()
            self._end_exchange(self._response)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange, if there is one."""
        self.is_open = self.is_reusable = False
        reason = f"connection lost before the end of the answer: {exc!r}"
        self._end_exchange(BrokenExchange(reason))
        self._on_lost(self)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a message, or note that bytes follow the awaited answer."""
        self._header_fields = []
        self._is_awaited = False
        if self._response is not None:
            self._error = "bytes after the answer"

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field, or a trailer, which is ignored."""
        if len(self._header_fields) < MAX_HEADER_FIELDS:
            self._header_fields.append((name, value))
        else:
            self._error = self._error or f"more than {MAX_HEADER_FIELDS} header fields"

    def on_headers_complete(self) -> None:
        """Find out whether this is the awaited answer, and how its end is marked."""
        if self._response is not None or self._error is not None:
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self._error = f"more than {MAX_INTERIM_RESPONSES} interim responses"
            return
        self._headers = headers = CIMultiDict(
            (decode_header(name), decode_header(value)) for name, value in self._header_fields
        )
        if is_for_other_request(headers, self._request_id, is_id_required=self._has_served):
            if status >= 300 and not is_for_other_request(headers, self._request_id):
                self._error = f"status {status} without an id on a connection in use again"
            else:
                self._skip_answer()
            return
        encodings = headers.getall("Transfer-Encoding", ())
        if encodings and [name.strip().lower() for name in encodings] != ["chunked"]:
            self._error = f"transfer encoding {', '.join(encodings)!r}"
            return
        has_length = bool(encodings) or "Content-Length" in headers
        self._is_awaited = True
        self._ends_with_connection = not has_length and status not in STATUSES_WITHOUT_BODY
        if self._is_head_request:
            # The parser expects a body, so the connection can't be used again.
            self._ends_with_connection = True
            self._complete_response()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body of the awaited answer."""
        if not self._is_awaited:
            return
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            self._error = self._error or f"answer exceeds {self._max_body_bytes} bytes"
            self._body.clear()
        elif self._error is None:
            self._body += body
            if self._body_bytes > USUAL_BODY_BYTES:
                self._pending_bodies.set_bytes(self, self._body_bytes)

    def on_message_complete(self) -> None:
        """Complete the awaited answer."""
        if self._is_awaited and self._response is None and self._error is None:
            self._complete_response()

    def _parse(self, data: bytes) -> None:
        if len(data) <= SLICE_BYTES:
            self._parse_slice(data)
            return
        view = memoryview(data)
        for start in range(0, len(data), SLICE_BYTES):
            self._parse_slice(view[start : start + SLICE_BYTES])
            if self._error is not None:
                return

    def _parse_slice(self, data: bytes | memoryview) -> None:
        self._received_bytes += len(data)
        self._parser.feed_data(data)
        overhead_bytes = self._received_bytes - self._body_bytes
        limit_bytes = MAX_OVERHEAD_BYTES + self._body_bytes * MAX_OVERHEAD_SHARE
        if self._response is None and overhead_bytes > limit_bytes:
            self._error = self._error or f"more than {limit_bytes:.0f} bytes beside the body"

    def _skip_answer(self) -> None:
        self.skipped_answers += 1
        self._skipped_in_exchange += 1
        if self._skipped_in_exchange > MAX_SKIPPED_ANSWERS:
            self._error = f"more than {MAX_SKIPPED_ANSWERS} answers to other requests"

    def _complete_response(self) -> None:
        body = bytes(self._body)
        # Known only until the parser leaves the message.
        self._keeps_alive = self._parser.should_keep_alive()
        self._response = TargetResponse(self._parser.get_status_code(), self._headers, body)

    def _end_exchange(self, reply: Reply) -> None:
        if self._reply is None:
            return
        self._pending_bodies.set_bytes(self, 0)
        self._body.clear()
        future, self._reply = self._reply, None
        is_whole = isinstance(reply, TargetResponse) and self._error is None
        # Without the id, a second copy of this answer could not be told from the next answer.
        has_id = (
            is_whole
            and self._request_id != ""
            and not is_for_other_request(reply.headers, self._request_id, is_id_required=True)
        )
        self.is_reusable = (
            has_id
            and self._keeps_alive
            and not self._ends_with_connection
            and not self._transport.get_write_buffer_size()
        )
        if self.is_reusable:
            self._has_served = True
            self.idle_timeout_s = compute_idle_timeout_s(reply.headers)
        else:
            self.close()
        if not future.done():
            future.set_result(reply)

    def _clear_exchange(self) -> None:
        self._error: str | None = None
        self._response: TargetResponse | None = None
        self._received_bytes = self._body_bytes = 0
        self._interim_responses = self._skipped_in_exchange = 0
        self._header_fields: list[tuple[bytes, bytes]] = []
        self._headers: CIMultiDict[str] = CIMultiDict()
        # Whether the current message is the awaited answer.
        self._is_awaited = False
        self._ends_with_connection = False
        self._keeps_alive = False
        # One buffer, since an object for each chunk takes ten times as much as a short chunk.
        self._body = bytearray()


class ConnectionPool:
    """Idle connections by address; owned by one event loop."""

    __slots__ = ("skipped_answers", "_loop", "_idle_by_address", "_open", "_pending_bodies")

    def __init__(self) -> None:
        # Total over all connections, also closed ones.
        self.skipped_answers = 0
        self._loop = asyncio.get_running_loop()
        self._idle_by_address: dict[Address, dict[TargetConnection, asyncio.TimerHandle]] = {}
        self._open: set[TargetConnection] = set()
        self._pending_bodies = PendingBodies()

    def take(self, address: Address, request_id: str) -> TargetConnection | None:
        """Return the connection that was used last; None if none is left that may be used.

        A request without an id, or one that a connection has carried before, needs another: a late
        second copy of an earlier answer could be taken for the answer to it.
        """
        idle = self._idle_by_address.get(address, {})
        for connection in reversed(list(idle)):
            if not request_id or request_id in connection.recent_request_ids:
                continue
            idle.pop(connection).cancel()
            # The timer is late if the process stood still.
            idle_s = self._loop.time() - connection.idle_since
            if connection.is_reusable and idle_s < connection.idle_timeout_s:
                return connection
            connection.close()
        if idle:
            # The new connection takes the place of one that this request can't use.
            connection, timer = idle.popitem()
            timer.cancel()
            connection.close()
        return None

    async def open(self, address: Address, timeout_s: float) -> TargetConnection | str:
        """Open a connection, or return why that failed."""
        host, port = address
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await self._loop.create_connection(
                    lambda: TargetConnection(self._pending_bodies, self._open.discard), host, port
                )
        except TimeoutError:
            return f"no connection to {host}:{port} within {timeout_s:.3f} s"
        except (OSError, ValueError) as error:
            return f"no connection to {host}:{port}: {error!r}"
        if connection.is_open:
            self._open.add(connection)
        return connection

    def release(self, address: Address, connection: TargetConnection) -> None:
        """Keep a connection for later use after its exchange, or close it."""
        self.skipped_answers += connection.skipped_answers
        connection.skipped_answers = 0
        if not connection.is_reusable:
            connection.close()
            return
        connection.idle_since = self._loop.time()
        timer = self._loop.call_later(connection.idle_timeout_s, self._drop, address, connection)
        self._idle_by_address.setdefault(address, {})[connection] = timer

    def close(self) -> None:
        """Close all connections."""
        for idle in self._idle_by_address.values():
            for timer in idle.values():
                timer.cancel()
        self._idle_by_address.clear()
        for connection in list(self._open):
            connection.close()

    def _drop(self, address: Address, connection: TargetConnection) -> None:
        idle = self._idle_by_address[address]
        del idle[connection]
        if not idle:
            del self._idle_by_address[address]
        connection.close()


def compute_idle_timeout_s(headers: CIMultiDict[str]) -> float:
    """Return for how long a connection may be idle, from the target's answer, in seconds."""
    match = KEEP_ALIVE_TIMEOUT.search(headers.get("Keep-Alive", ""))
    if match is None:
        return DEFAULT_IDLE_TIMEOUT_S
    return min(max(int(match[1]) - IDLE_MARGIN_S, 0.0), MAX_IDLE_TIMEOUT_S)
