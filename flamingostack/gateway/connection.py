"""Connections to targets: HTTP/1.1 exchanges, one at a time, and the pool of idle connections.

It handles these faults of targets:

- An answer is cut, malformed, framed in two ways, or has a status that does not exist. It is never
  taken for a whole one.
- An answer arrives twice, the second time while the connection is idle or in use again. It never
  reaches another request.
- Bytes arrive without end: in a head, in a body, or as answers to other requests. The exchange ends
  once a limit in bytes or messages is reached, and the loop is free again between two reads.
- An answer arrives in tiny pieces. The exchange ends once a limit in pieces is reached.
- Many targets do so at the same time. The bodies of all exchanges share one limit.
"""

from __future__ import annotations

import asyncio
import functools
import math
from collections import deque
from collections.abc import Callable

import httptools
from multidict import CIMultiDict, istr

from ..platform.messages import (
    KEEP_ALIVE_TIMEOUT,
    REQUEST_ID,
    decode_header,
    is_for_other_request,
)

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
# Each piece in which bytes arrive costs a step of the event loop, however short it is.
MAX_PIECES = 512
MIN_PIECE_BYTES = 64
MAX_HEADER_FIELDS = 256
# Limits of the messages before the awaited answer.
MAX_INTERIM_RESPONSES = 8
MAX_SKIPPED_ANSWERS = 4
# The parser calls back for each header field and chunk. Between two slices of the received bytes
# the limits are checked.
SLICE_BYTES = 8 * 1024
# One buffer for all connections. Without it, asyncio allocates 256 KiB for each read, which takes
# 3 us more than the read of a short answer itself.
RECEIVE_BUFFER_BYTES = 64 * 1024
# Targets close idle connections after some seconds. Connections are closed here before that.
DEFAULT_IDLE_TIMEOUT_S = 4.0
MAX_IDLE_TIMEOUT_S = 30.0
# Time that a target's announced idle timeout is shortened by, since it counts from the moment at
# which the target sent its answer, and a request needs time to get there.
IDLE_MARGIN_S = 0.5
# Least time between two checks for connections that have been idle for too long. These are never
# used, so that a late check only leaves closing them to the target.
IDLE_CHECK_INTERVAL_S = 1.0
# Requests that a connection remembers: a refused one is sent again within milliseconds.
MAX_RECENT_REQUEST_IDS = 16
STATUSES_WITHOUT_BODY = (204, 304)
# Any other status is invalid (RFC 9110, section 15). The parser takes all that have three digits.
MIN_STATUS = 100
MAX_STATUS = 599
HTTP_VERSIONS = ("1.0", "1.1")
# `istr` saves folding the case of a name at each look-up.
TRANSFER_ENCODING = istr("Transfer-Encoding")
CONTENT_LENGTH = istr("Content-Length")
KEEP_ALIVE = istr("Keep-Alive")


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


Reply = TargetResponse | BrokenExchange


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


class TargetConnection(asyncio.BufferedProtocol):
    """A connection to a target, which serves one exchange at a time.

    `on_lost` is called once, when the connection is closed by either side. Connections may share
    `receive_buffer`, since received bytes are parsed at once.
    """

    __slots__ = (
        "is_open",
        "is_reusable",
        "idle_timeout_s",
        "idle_until",
        "skipped_answers",
        "recent_request_ids",
        "_pending_bodies",
        "_receive_buffer",
        "_on_lost",
        "_transport",
        "_loop",
        "_parser",
        "_on_reply",
        "_request_id",
        "_is_head_request",
        "_max_body_bytes",
        "_has_served",
        "_error",
        "_response",
        "_received_bytes",
        "_received_pieces",
        "_body_bytes",
        "_interim_responses",
        "_skipped_in_exchange",
        "_header_fields",
        "_headers",
        "_has_id",
        "_is_awaited",
        "_ends_with_connection",
        "_keeps_alive",
        "_body",
    )

    def __init__(
        self,
        pending_bodies: PendingBodies,
        receive_buffer: memoryview,
        on_lost: Callable[[TargetConnection], None],
    ) -> None:
        self._pending_bodies = pending_bodies
        self._receive_buffer = receive_buffer
        self.is_open = True
        # Whether another exchange may follow; valid after an exchange has ended.
        self.is_reusable = False
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        # Until when it may be used; valid while it is idle.
        self.idle_until = 0.0
        # Number of answers to other requests that arrived in place of the awaited one.
        self.skipped_answers = 0
        self.recent_request_ids: deque[str] = deque(maxlen=MAX_RECENT_REQUEST_IDS)
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        # None while no answer is awaited.
        self._on_reply: Callable[[Reply], None] | None = None
        self._request_id = ""
        self._is_head_request = False
        self._max_body_bytes = 0
        self._has_served = False
        # One buffer, since an object for each chunk takes ten times as much as a short chunk.
        self._body = bytearray()
        self._clear_exchange()

    def exchange(
        self,
        request: bytes,
        request_id: str,
        is_head_request: bool,
        max_body_bytes: int,
        on_reply: Callable[[Reply], None],
    ) -> None:
        """Send an encoded request; `on_reply` is called once with the reply to it, but not yet.

        An answer whose body exceeds `max_body_bytes` is given up. The caller closes the connection
        at its time limit, which ends the exchange.
        """
        self._clear_exchange()
        self._request_id = request_id
        self.recent_request_ids.append(request_id)
        self._is_head_request = is_head_request
        self._max_body_bytes = max_body_bytes
        self.is_reusable = False
        self._on_reply = on_reply
        if self._transport is None or self._transport.is_closing():
            reply = BrokenExchange("connection closed before the request was sent")
            self._loop.call_soon(self._end_exchange, reply)
        else:
            self._transport.write(request)

    def give_up(self, reason: str) -> None:
        """End the exchange without an answer, and close the connection.

        The reply follows in the next turn of the loop, since another connection's parser may be at
        work.
        """
        self._error = self._error or reason
        self._body.clear()
        self._loop.call_soon(self._end_exchange, BrokenExchange(self._error))

    def close(self) -> None:
        """Close the connection at once; the target stops working on an unanswered request."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the bytes that have arrived."""
        return self._receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes in the buffer."""
        self.data_received(self._receive_buffer[:nbytes])

    def data_received(self, data: memoryview) -> None:
        """Parse a part of an answer; bytes that no request waits for close the connection."""
        if self._on_reply is None:
            self.close()
            return
        self._received_pieces += 1
        try:
            self._parse(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._error = self._error or f"malformed answer: {error!r}"
        if self._response is not None:
            self._end_exchange(self._response)
            return
        max_pieces = MAX_PIECES + self._received_bytes // MIN_PIECE_BYTES
        if self._received_pieces > max_pieces:
            self._error = self._error or f"more than {max_pieces} pieces"
        if self._error is not None:
            self._end_exchange(BrokenExchange(self._error))

    def eof_received(self) -> None:
        """End an answer that has no length; any other is incomplete."""
        self.is_reusable = False
        if self._on_reply is None:
            return
        if self._is_awaited and self._ends_with_connection and self._error is None:
            self._complete_response()
            self._end_exchange(self._response)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange, if there is one."""
        self.is_open = self.is_reusable = False
        reason = f"connection lost before the end of the answer: {exc!r}"
        self._end_exchange(BrokenExchange(reason))
        # The parser and the transport's methods refer to each other and to the connection, which
        # would keep the last answer until garbage is collected.
        self._clear_exchange()
        self._parser = self._transport = None
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
        if not MIN_STATUS <= status <= MAX_STATUS:
            self._error = f"malformed answer: status {status:03}"
            return
        version = self._parser.get_http_version()
        if version not in HTTP_VERSIONS:
            self._error = f"malformed answer: HTTP version {version}"
            return
        if status < 200:
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self._error = f"more than {MAX_INTERIM_RESPONSES} interim responses"
            return
        self._headers = headers = decode_fields(self._header_fields)
        self._has_id = headers.get(REQUEST_ID) == self._request_id
        if not self._has_id and is_for_other_request(
            headers, self._request_id, is_id_required=self._has_served
        ):
            if status >= 300 and not is_for_other_request(headers, self._request_id):
                self._error = f"status {status} without an id on a connection in use again"
            else:
                self._skip_answer()
            return
        encodings = headers.getall(TRANSFER_ENCODING, ())
        if encodings and [name.strip().lower() for name in encodings] != ["chunked"]:
            self._error = f"transfer encoding {', '.join(encodings)!r}"
            return
        has_length = bool(encodings) or CONTENT_LENGTH in headers
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

    def _parse(self, data: memoryview) -> None:
        if len(data) <= SLICE_BYTES:
            self._parse_slice(data)
            return
        for start in range(0, len(data), SLICE_BYTES):
            self._parse_slice(data[start : start + SLICE_BYTES])
            if self._error is not None:
                return

    def _parse_slice(self, data: memoryview) -> None:
        self._received_bytes += len(data)
        self._parser.feed_data(data)
        if self._response is not None:
            return
        overhead_bytes = self._received_bytes - self._body_bytes
        limit_bytes = MAX_OVERHEAD_BYTES + self._body_bytes * MAX_OVERHEAD_SHARE
        if overhead_bytes > limit_bytes:
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
        if self._on_reply is None:
            return
        if self._body_bytes > USUAL_BODY_BYTES:
            self._pending_bodies.set_bytes(self, 0)
        self._body.clear()
        on_reply, self._on_reply = self._on_reply, None
        is_whole = isinstance(reply, TargetResponse) and self._error is None
        self.is_reusable = (
            is_whole
            # Without the id, a second copy of this answer could not be told from the next answer.
            and self._request_id != ""
            and self._has_id
            and self._keeps_alive
            and not self._ends_with_connection
            and not self._transport.get_write_buffer_size()
        )
        if self.is_reusable:
            self._has_served = True
            self.idle_timeout_s = compute_idle_timeout_s(reply.headers)
        else:
            self.close()
        # A kept connection would hold the answer until its next one.
        self._response = None
        # Last, since the callback may use the connection again.
        on_reply(reply)

    def _clear_exchange(self) -> None:
        self._error: str | None = None
        self._response: TargetResponse | None = None
        self._received_bytes = self._received_pieces = self._body_bytes = 0
        self._interim_responses = self._skipped_in_exchange = 0
        self._header_fields: list[tuple[bytes, bytes]] = []
        # Those of the current message.
        self._headers: CIMultiDict[str] | None = None
        # Whether it carries the id of the request.
        self._has_id = False
        # Whether the current message is the awaited answer.
        self._is_awaited = False
        self._ends_with_connection = False
        self._keeps_alive = False
        self._body.clear()


class ConnectionPool:
    """Idle connections by address; owned by one event loop."""

    __slots__ = (
        "skipped_answers",
        "_loop",
        "_idle_by_address",
        "_open",
        "_pending_bodies",
        "_receive_buffer",
        "_check_at",
        "_check_timer",
    )

    def __init__(self) -> None:
        # Total over all connections, also closed ones.
        self.skipped_answers = 0
        self._loop = asyncio.get_running_loop()
        # The connection that was used last is the last.
        self._idle_by_address: dict[Address, list[TargetConnection]] = {}
        self._open: set[TargetConnection] = set()
        self._pending_bodies = PendingBodies()
        self._receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        # When idle connections are checked; infinite while there are none.
        self._check_at = math.inf
        self._check_timer: asyncio.TimerHandle | None = None

    def take(self, address: Address, request_id: str) -> TargetConnection | None:
        """Return the connection that was used last; None if none is left that may be used.

        A request without an id, or one that a connection has carried before, needs another: a late
        second copy of an earlier answer could be taken for the answer to it.
        """
        idle = self._idle_by_address.get(address)
        if not idle:
            return None
        now = self._loop.time()
        for connection in reversed(idle):
            if not request_id or request_id in connection.recent_request_ids:
                continue
            idle.remove(connection)
            # The check may be late, also since the process may have stood still.
            if connection.is_reusable and now < connection.idle_until:
                return connection
            connection.close()
        if idle:
            # The new connection takes the place of one that this request can't use.
            idle.pop().close()
        return None

    async def open(self, address: Address, timeout_s: float) -> TargetConnection | str:
        """Open a connection, or return why that failed."""
        host, port = address
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await self._loop.create_connection(
                    self._make_connection, host, port
                )
        except TimeoutError:
            return f"no connection to {host}:{port} within {timeout_s:.3f} s"
        except (OSError, ValueError) as error:
            return f"no connection to {host}:{port}: {error!r}"
        if connection.is_open:
            self._open.add(connection)
        return connection

    def release(self, address: Address, connection: TargetConnection, now: float) -> None:
        """Keep a connection for later use after its exchange, or close it."""
        self.skipped_answers += connection.skipped_answers
        connection.skipped_answers = 0
        if not connection.is_reusable or not connection.idle_timeout_s:
            connection.close()
            return
        connection.idle_until = now + connection.idle_timeout_s
        self._keep(address, connection)

    def put_back(self, address: Address, connection: TargetConnection) -> None:
        """Keep a connection that was taken and not used, or close it if it was just opened."""
        if connection.is_reusable:
            self._keep(address, connection)
        else:
            connection.close()

    def _keep(self, address: Address, connection: TargetConnection) -> None:
        self._idle_by_address.setdefault(address, []).append(connection)
        if connection.idle_until < self._check_at:
            self._schedule_check(connection.idle_until)

    def close(self) -> None:
        """Close all connections."""
        self._schedule_check(math.inf)
        self._idle_by_address.clear()
        for connection in list(self._open):
            connection.close()

    def _make_connection(self) -> TargetConnection:
        return TargetConnection(self._pending_bodies, self._receive_buffer, self._open.discard)

    def _schedule_check(self, at: float) -> None:
        if self._check_timer is not None:
            self._check_timer.cancel()
        self._check_at = at
        is_due = at < math.inf
        self._check_timer = self._loop.call_at(at, self._close_old) if is_due else None

    def _close_old(self) -> None:
        """Close the connections that have been idle for too long, or were closed by the target."""
        now = self._loop.time()
        next_at = math.inf
        for address, idle in list(self._idle_by_address.items()):
            kept = []
            for connection in idle:
                if connection.is_reusable and now < connection.idle_until:
                    kept.append(connection)
                    next_at = min(next_at, connection.idle_until)
                else:
                    connection.close()
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]
        self._schedule_check(max(next_at, now + IDLE_CHECK_INTERVAL_S))


def decode_fields(fields: list[tuple[bytes, bytes]]) -> CIMultiDict[str]:
    """Return header fields with their names and values decoded as by `decode_header`."""
    try:
        # Naming an error handler costs 1 us more for an answer.
        return CIMultiDict([(name.decode(), value.decode()) for name, value in fields])
    except UnicodeDecodeError:
        return CIMultiDict([(decode_header(name), decode_header(value)) for name, value in fields])


def compute_idle_timeout_s(headers: CIMultiDict[str]) -> float:
    """Return for how long a connection may be idle, from the target's answer, in seconds."""
    return parse_idle_timeout_s(headers.get(KEEP_ALIVE, ""))


# Nearly all targets announce the same.
@functools.lru_cache(maxsize=16)
def parse_idle_timeout_s(keep_alive: str) -> float:
    """Return for how long a connection may be idle, from the Keep-Alive field, in seconds."""
    match = KEEP_ALIVE_TIMEOUT.search(keep_alive)
    if match is None:
        return DEFAULT_IDLE_TIMEOUT_S
    return min(max(int(match[1]) - IDLE_MARGIN_S, 0.0), MAX_IDLE_TIMEOUT_S)
