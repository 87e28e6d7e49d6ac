"""Connections of callers, bounded in what they hold by the decisions of `intake.py`."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import structlog
from aiohttp import web
from aiohttp.http import HttpRequestParser, RawRequestMessage
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestPayloadError

from ..logs import describe_error
from ..metrics import Metrics
from ..store import READ_BYTES
from .intake import BODY_REQUEST_BYTES, Entry, Intake, LineLimit, Phase, estimate_head_bytes
from .listener import SliceConnection
from .model import CallerLimits

# One header field, or the request line, may take up the whole header limit.
MAX_HEADER_FIELDS = 256
# Requests that are parsed while an earlier one of the connection is not answered, and bytes that
# are read meanwhile before reading pauses. Ordinary callers wait for each answer.
MAX_REQUESTS_AHEAD = 4
MAX_AHEAD_BYTES = READ_BYTES
# What they take at most: two slices, and the fields of the requests in them.
AHEAD_HELD_BYTES = 24 * 1024
# Reading pauses at twice these bytes of a body that nobody has taken yet, or at 256 chunks. A chunk
# of one byte takes 50 bytes, so that a slice of them takes nine times its size.
BODY_BUFFER_BYTES = READ_BYTES
# How often it is checked whether callers take their answers.
SWEEP_S = 1.0
MAX_DETAIL_CHARACTERS = 200
# After bytes that are no request, the rest is read and dropped for so long. The reset that follows
# when unread bytes are left could reach the caller before it has read the answer.
LINGER_S = 0.3
LINGER_BYTES = 64 * 1024
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class SentResponse:
    """What aiohttp needs of a response once it is sent.

    It keeps the last response of a connection, with its body, while it waits for the next request.
    """

    __slots__ = ("keep_alive",)

    def __init__(self, keep_alive: bool) -> None:
        self.keep_alive = keep_alive


SENT_RESPONSES = {keep_alive: SentResponse(keep_alive) for keep_alive in (False, True)}


class BodyGivenUpError(Exception):
    """The rest of a request's body is not received, and the request does not run."""


class CallerConnections:
    """All connections of callers: closes those that the intake picks, and tells of it."""

    __slots__ = (
        "intake",
        "metrics",
        "log_fields",
        "_log",
        "_lines",
        "_sweep_timer",
        "_caller_limits",
    )

    def __init__(
        self,
        intake: Intake,
        metrics: Metrics,
        log: structlog.typing.FilteringBoundLogger,
        lines: LineLimit,
    ) -> None:
        self.intake = intake
        self.metrics = metrics
        # Further fields of log lines.
        self.log_fields: dict[str, str] = {}
        self._log = log
        self._lines = lines
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._caller_limits: CallerLimits | None = None

    def close_excess(self) -> None:
        """Close connections until the others are within the budget."""
        if not self.intake.is_over_budget:
            return
        for entry in self.intake.pick_excess():
            self.refuse_or_close(entry, "budget")

    def make_room(self, starting: int) -> bool:
        """Return whether one more connection may be accepted; close another one if needed.

        `starting` connections are accepted and have no protocol yet.
        """
        if self.intake.opened + starting < self.intake.limits.connections:
            return True
        entry = self.intake.pick_for_room(lambda connection: connection.is_idle())
        if entry is None:
            return False
        self.close(entry, "connections")
        return True

    def set_unread(self, entry: Entry, total_bytes: int, limits: CallerLimits) -> None:
        """Set how many bytes of answers the caller has not taken; check that it goes on."""
        self._caller_limits = limits
        self.intake.set_unread(entry, total_bytes)
        self.close_excess()
        if self.intake.unread and self._sweep_timer is None:
            self._start_timer()

    def refresh_unread(self) -> None:
        """Look how much of their answers callers have taken."""
        for entry in list(self.intake.unread):
            self.intake.set_unread(entry, entry.connection.count_unread_bytes())

    def close(self, entry: Entry, reason: str) -> None:
        """Close a connection."""
        held_bytes, connection = entry.held_bytes, entry.connection
        self.intake.remove(entry)
        self.report_closed(reason, held_bytes)
        connection.abort()

    def refuse_or_close(self, entry: Entry, reason: str) -> None:
        """Refuse the request whose body a connection sends; close any other connection."""
        if not entry.connection.refuse_body():
            self.close(entry, reason)
            return
        held_bytes = entry.held_bytes
        self.intake.give_up(entry)
        self.report_closed(reason, held_bytes)

    def report_closed(self, reason: str, held_bytes: int) -> None:
        """Count a connection that is closed before its time, and log some of them."""
        self.count_closed(reason)
        if self._lines.try_take():
            self._log.warning(
                "caller_closed",
                reason=reason,
                held_bytes=held_bytes,
                connections=self.intake.opened,
                all_held_bytes=self.intake.held_bytes,
                dropped_lines=self._lines.take_dropped(),
                **self.log_fields,
            )

    def count_closed(self, reason: str) -> None:
        """Count a connection that is closed before its time."""
        self.metrics.count("gateway_callers_closed_total", reason=reason)

    def report_broken(self, status: int, error: BaseException | None) -> None:
        """Count a request that cannot be parsed or handled, and log some of them."""
        self.metrics.count("gateway_requests_broken_total", status=str(status))
        if self._lines.try_take():
            self._log.warning(
                "request_broken",
                status=status,
                detail=describe_error(error)[:MAX_DETAIL_CHARACTERS],
                dropped_lines=self._lines.take_dropped(),
                **self.log_fields,
            )

    def _start_timer(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        self._sweep_timer = None
        self.refresh_unread()
        for entry in self.intake.pick_stalled(self._caller_limits):
            self.close(entry, "unread")
        self.close_excess()
        if self.intake.unread:
            self._start_timer()


class BoundedConnection(SliceConnection):
    """A connection with bounds on the bytes and time of a head, and on what it makes us hold.

    Reading pauses while a caller sends further requests before it has its answer. `connections`
    counts what is held, and `caller_limits` are those of the configuration.
    """

    __slots__ = (
        "_connections",
        "_entry",
        "_accepted",
        "_answered_count",
        "_payload",
        "_head_bytes",
        "_ahead_bytes",
        "_head_timer",
        "_accepted_limits",
    )

    def __init__(
        self, manager: web.Server, connections: CallerConnections, caller_limits: CallerLimits
    ) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(
            manager,
            loop=loop,
            access_log=None,
            keepalive_timeout=caller_limits.idle_timeout_s,
            lingering_time=0,
            read_bufsize=BODY_BUFFER_BYTES,
        )
        self._parser = HttpRequestParser(
            self,
            loop,
            BODY_BUFFER_BYTES,
            max_line_size=caller_limits.header_bytes,
            max_field_size=caller_limits.header_bytes,
            max_headers=MAX_HEADER_FIELDS,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=MAX_REQUESTS_AHEAD,
        )
        # The compiled parser counts one request too many after it has emitted a head before the end
        # of its body, and may withhold requests once one less waits. Only a pause ends with parsing
        # what is withheld.
        self._max_msg_queue_size = MAX_REQUESTS_AHEAD - 1
        # Reading goes on once all requests that were read are being handled.
        self._msg_queue_resume_size = 0
        self._connections = connections
        self._entry: Entry | None = None
        # aiohttp forgets the transport when it closes it, while it may still have bytes to send.
        self._accepted: asyncio.Transport | None = None
        self._answered_count = 0
        # The body of the last request whose head is complete.
        self._payload: StreamReader = EMPTY_PAYLOAD
        self._head_bytes = 0
        self._ahead_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        # The parser and the idle timeout keep these limits for the life of the connection.
        self._accepted_limits = caller_limits

    @property
    def has_outdated_limits(self) -> bool:
        """Whether callers may by now send more, or stay idle for longer, than it can bear."""
        accepted, current = self._accepted_limits, self.caller_limits()
        return (
            accepted.header_bytes < current.header_bytes
            or accepted.idle_timeout_s < current.idle_timeout_s
        )

    def caller_limits(self) -> CallerLimits:
        """Return the limits of the current configuration."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, and don't begin another answer while one is unread."""
        self._accepted = transport
        self._entry = self._connections.intake.open(self)
        transport.set_write_buffer_limits(high=0)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Count the connection no more."""
        self._stop_head_timer()
        self._connections.intake.remove(self._entry)
        # Both refer to the connection, and would keep it until garbage is collected.
        self._entry.connection = None
        self._payload = EMPTY_PAYLOAD
        self._accepted = None
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse a slice, and count what is held of it if it is not one whole request."""
        if self._force_close or self._close:
            return
        if self._parser is None:
            self._drop(data)
            return
        count = self._request_count
        outstanding = count - self._answered_count
        has_open_body = outstanding == 1 and not self._payload.is_eof()
        try:
            super().data_received(data)
        except ValueError as error:
            # aiohttp's parser in Python raises it for a length of more than 4,300 digits.
            self._connections.report_broken(HTTPStatus.BAD_REQUEST, error)
            self.force_close()
            return
        if self._request_count != count:
            message, self._payload = self._messages[-1]
            if type(message) is not RawRequestMessage:
                self._stop_reading(message.exc)
                return
            if not outstanding:
                self._end_head()
                return
        if not data:
            return
        if not outstanding:
            self._count_head(data)
        elif has_open_body:
            self._count_body(data)
        else:
            self._count_ahead(data)

    def is_idle(self) -> bool:
        """Return whether the connection waits for a request and none has begun to arrive."""
        return (
            self._waiter is not None
            and not self._waiter.done()
            and self._request_count == self._answered_count
            and self._head_timer is None
        )

    def count_unread_bytes(self) -> int:
        """Return how many bytes of answers wait for the caller to read."""
        return 0 if self._accepted is None else self._accepted.get_write_buffer_size()

    def pause_writing(self) -> None:
        """Count an answer that the caller does not take at once."""
        super().pause_writing()
        if self._entry.phase is Phase.GIVEN_UP:
            # A refusal in answer to a body; nothing else watches this connection any more.
            self._accepted.abort()
            return
        self._connections.set_unread(self._entry, self.count_unread_bytes(), self.caller_limits())

    def resume_writing(self) -> None:
        """Count the answer no more."""
        super().resume_writing()
        self._connections.intake.set_unread(self._entry, 0)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Send an answer, and release what its request held."""
        tail = self._end_upgrade() if self._upgraded else b""
        _, is_reset = await super().finish_response(request, resp, start_time)
        self._answered_count += 1
        if self._parser is None and self._accepted is not None:
            self._linger()
            # Ends at once when the caller closes its side.
            await asyncio.sleep(LINGER_S)
        elif self._entry.held_bytes or self._buffer_paused:
            self._release()
        if tail and self._parser is not None:
            self.data_received(tail)
        return SENT_RESPONSES[bool(resp.keep_alive)], is_reset

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to a request that could not be parsed or served, and close its connection.

        aiohttp's own method logs each one, with a traceback.
        """
        if isinstance(exc, LineTooLong):
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        self._connections.report_broken(int(status), exc)
        if request.writer.output_size > 0:
            raise ConnectionError("a part of the answer is sent already")
        response = web.Response(status=status, text=HTTPStatus(status).phrase)
        response.force_close()
        return response

    def refuse_body(self) -> bool:
        """Receive no more of a request's body, and refuse the request; return whether it has one.

        A caller that does not read either gets no refusal.
        """
        if self._request_count - self._answered_count != 1 or self._payload.is_eof():
            return False
        if self.writing_paused or self.transport is None:
            return False
        self._parser = None
        self._pause_reading_for_buffer()
        self._payload.set_exception(BodyGivenUpError())
        return True

    def abort(self) -> None:
        """Close the connection at once."""
        self._force_close = True
        # Connections that are closed in the same step of the event loop would keep what they hold.
        self._parser = None
        if self._accepted is not None:
            self._accepted.abort()

    def _end_upgrade(self) -> bytes:
        """Decline a change of the protocol; return what was received behind its request.

        aiohttp parses it while it sends the answer, and its errors would not pass `data_received`,
        so that what they refer to is kept until garbage is collected.
        """
        if self._messages or self._parser is None:
            return b""
        tail, self._message_tail = self._message_tail, b""
        self._parser.set_upgraded(False)
        self._upgraded = False
        # After CONNECT the connection is closed.
        return tail if self._payload.is_eof() else b""

    def _end_head(self) -> None:
        if self._head_timer is not None:
            self._stop_head_timer()
        self._head_bytes = 0
        intake = self._connections.intake
        if self._payload.is_eof():
            intake.complete_request(self._entry)
        else:
            intake.await_request(self._entry)
            intake.hold_request(self._entry, BODY_REQUEST_BYTES)
            self._connections.close_excess()

    def _count_head(self, data: bytes) -> None:
        limits = self.caller_limits()
        self._head_bytes += len(data)
        if self._head_bytes > limits.header_bytes + READ_BYTES:
            self._refuse_head()
            return
        intake = self._connections.intake
        if self._head_timer is None:
            intake.await_request(self._entry)
            self._head_timer = asyncio.get_running_loop().call_later(
                limits.header_timeout_s, self._close_for, "head_timeout"
            )
        intake.hold_request(self._entry, estimate_head_bytes(data))
        self._connections.close_excess()

    def _count_body(self, data: bytes) -> None:
        intake = self._connections.intake
        intake.hold_request(self._entry, len(data))
        if self._payload.is_eof():
            intake.complete_request(self._entry)
        self._connections.close_excess()

    def _count_ahead(self, data: bytes) -> None:
        self._ahead_bytes += len(data)
        self._connections.intake.hold_ahead(self._entry, AHEAD_HELD_BYTES)
        if self._ahead_bytes >= MAX_AHEAD_BYTES and not self._buffer_paused:
            self._pause_reading_for_buffer()
        self._connections.close_excess()

    def _release(self) -> None:
        if self._messages or self._entry.phase is Phase.GIVEN_UP:
            # Reading goes on when the last of them is taken, or not at all.
            return
        self._ahead_bytes = 0
        self._connections.intake.release_requests(self._entry)
        if self._buffer_paused and self._parser is not None:
            self._resume_reading_if_drained()

    def _stop_reading(self, error: BaseException) -> None:
        """Read nothing more after bytes that are no request; they are answered in their turn."""
        self._stop_head_timer()
        # The frames of the error and the parser keep what was received.
        error.__traceback__ = None
        self._parser = None
        self._pause_reading_for_buffer()
        intake = self._connections.intake
        intake.release_requests(self._entry)
        intake.complete_request(self._entry)

    def _refuse_head(self) -> None:
        """Refuse a head that is not complete, at the cost of one write."""
        self._connections.report_broken(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, None)
        self._connections.intake.release_requests(self._entry)
        self._accepted.write(HEAD_TOO_LARGE)
        self._linger()

    def _linger(self) -> None:
        """Read and drop what still arrives after the last answer."""
        self._stop_head_timer()
        self._parser = None
        self._head_bytes = 0
        if self._accepted.is_closing():
            return
        try:
            self._accepted.write_eof()
        except OSError:
            # The caller has reset the connection, and the event loop has not noticed it yet.
            self.abort()
            return
        self._connections.intake.await_request(self._entry)
        self._head_timer = asyncio.get_running_loop().call_later(LINGER_S, self.abort)
        self._resume_reading_for_buffer()

    def _drop(self, data: bytes) -> None:
        self._head_bytes += len(data)
        if self._head_bytes > LINGER_BYTES:
            self.abort()

    def _close_for(self, reason: str) -> None:
        self._connections.close(self._entry, reason)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
