"""HTTP client that sends one request to one target, without retries."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

from multidict import CIMultiDict

from ..platform.messages import (
    ResponseKind,
    classify_response,
    encode_request,
    encode_send_headers,
    read_load,
    read_notice,
)
from .connection import (
    MAX_ANSWER_BYTES,
    BrokenExchange,
    ConnectionPool,
    Reply,
    TargetConnection,
    TargetResponse,
)
from .model import TargetNotice
from .targets import Target

# A dropped SYN is retransmitted only after one second; trying another target before that is faster.
CONNECT_TIMEOUT_S = 0.35
# No target can answer in less time than this.
MIN_SEND_TIME_S = 0.002


class SendOutcome(enum.Enum):
    """How a send ended."""

    ANSWERED = "answered"
    # The target answered with a complete body and a status other than success.
    FAILED = "failed"
    # No connection could be opened, so nothing was sent.
    NOT_SENT = "not_sent"
    # The target refused the request and reported that it did not run it.
    SHED = "shed"
    # Another target now has the address; it did not run the request.
    WRONG_TARGET = "wrong_target"
    # The connection was reset, or the answer was truncated, invalid, too large or for another
    # request; the request may have run.
    LOST = "lost"
    # No answer within the time limit; the request may have run.
    TIMED_OUT = "timed_out"


# Outcomes after which the request is known not to have run at that target.
NOT_RUN_OUTCOMES = frozenset((SendOutcome.NOT_SENT, SendOutcome.SHED, SendOutcome.WRONG_TARGET))


class SendResult:
    """Outcome of a send; status, headers, body and load are set only if a valid answer came."""

    __slots__ = ("outcome", "elapsed_s", "status", "headers", "body", "detail", "connect_s", "load")

    def __init__(
        self,
        outcome: SendOutcome,
        elapsed_s: float,
        status: int = 0,
        headers: CIMultiDict[str] | None = None,
        body: bytes = b"",
        detail: str = "",
    ) -> None:
        self.outcome = outcome
        self.elapsed_s = elapsed_s
        self.status = status
        self.headers = headers
        self.body = body
        self.detail = detail
        # Part of the time that it took to open a connection.
        self.connect_s = 0.0
        # Load that the target reports; None if it reports none.
        self.load = read_load(headers) if headers is not None else None

    @property
    def is_overloaded(self) -> bool:
        """Whether the target shed the request for lack of free slots, or without reporting load."""
        if self.outcome is not SendOutcome.SHED:
            return False
        load = self.load
        return load is None or load.running + load.waiting >= load.slots

    @property
    def notice(self) -> TargetNotice | None:
        """What the target says of itself; None if there is no answer of this target."""
        if self.headers is None or self.outcome is SendOutcome.WRONG_TARGET:
            return None
        return read_notice(self.status, self.headers)

    def describe_load(self) -> str:
        """Return the reported load as "running,waiting,slots" for a log line, empty without one."""
        load = self.load
        return f"{load.running},{load.waiting},{load.slots}" if load else ""


class OutgoingRequest:
    """The forwarded form of a caller's request; `path` is as received, still percent-encoded."""

    __slots__ = ("id", "method", "path", "headers", "body", "_encoded")

    def __init__(
        self, id: str, method: str, path: str, headers: CIMultiDict[str], body: bytes
    ) -> None:
        self.id = id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self._encoded: bytes | None = None

    def encode(self, target_id: str, time_left_s: float) -> bytes:
        """Return the bytes of one send; raise ValueError if a value would break its line."""
        if self._encoded is None:
            self._encoded = encode_request(self.method, self.path, self.headers, self.body)
        send_headers = encode_send_headers(target_id, time_left_s)
        return b"".join((self._encoded, send_headers, b"\r\n", self.body))


class PendingSend:
    """A request on its way to one target, whose state it updates from the outcome.

    It ends once: with a result, which is passed to `on_result`, or by `cancel`. `on_opened` is
    called if a connection was opened for it. Neither is called before `start` has returned.
    """

    __slots__ = (
        "_id",
        "_request",
        "_target",
        "_address",
        "_deadline",
        "_latency_s",
        "_max_body_bytes",
        "_on_result",
        "_on_opened",
        "_pool",
        "_loop",
        "_started_at",
        "_connect_s",
        "_opening",
        "_connection",
    )

    def __init__(
        self,
        send_id: int,
        request: OutgoingRequest,
        target: Target,
        *,
        deadline: float,
        latency_s: float,
        max_body_bytes: int,
        on_result: Callable[[SendResult], None],
        on_opened: Callable[[], None],
        pool: ConnectionPool,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._id = send_id
        self._request = request
        self._target = target
        self._address = (target.entry.host, target.entry.port)
        self._deadline = deadline
        self._latency_s = latency_s
        self._max_body_bytes = max_body_bytes
        # None once the send has ended.
        self._on_result: Callable[[SendResult], None] | None = on_result
        self._on_opened = on_opened
        self._pool = pool
        self._loop = loop
        self._started_at = loop.time()
        self._connect_s = 0.0
        # At most one of them is set: the task that opens a connection, or the connection in use.
        self._opening: asyncio.Task[None] | None = None
        self._connection: TargetConnection | None = None

    def start(self) -> None:
        """Send the request, at once if there is an idle connection."""
        self._target.record_send_start(self._id, self._started_at, self._latency_s)
        connection = self._pool.take(self._address, self._request.id)
        if connection is None:
            self._opening = self._loop.create_task(self._open())
        else:
            self._exchange(connection)

    def expire(self) -> None:
        """End the send at its deadline; opening a connection has a time limit of its own."""
        if self._connection is not None:
            now = self._loop.time()
            self._end_exchange(self._make_result(SendOutcome.TIMED_OUT, now), now)

    def cancel(self) -> None:
        """End the send without a result; closing its connection tells the target to stop."""
        if self._on_result is None:
            return
        self._on_result = None
        opening, self._opening = self._opening, None
        connection, self._connection = self._connection, None
        if opening is not None:
            opening.cancel()
        if connection is not None:
            connection.close()
        now = self._loop.time()
        if now - self._started_at > self._latency_s:
            self._target.record_slowdown((now - self._started_at) / self._latency_s, now)
        self._target.record_send_end(self._id)

    async def _open(self) -> None:
        timeout_s = min(CONNECT_TIMEOUT_S, self._deadline - self._started_at)
        try:
            connection = await self._pool.open(self._address, timeout_s)
        except Exception as error:
            # The loop reports the error; the send must not stay in flight.
            self._opening = None
            now = self._loop.time()
            self._end(self._make_result(SendOutcome.NOT_SENT, now, repr(error)), now)
            raise
        self._opening = None
        now = self._loop.time()
        if isinstance(connection, str):
            self._end(self._make_result(SendOutcome.NOT_SENT, now, connection), now)
            return
        self._connect_s = now - self._started_at
        self._on_opened()
        self._exchange(connection)

    def _exchange(self, connection: TargetConnection) -> None:
        # Opening a connection takes time, and the process may have stood still meanwhile.
        time_left_s = self._deadline - self._loop.time()
        if time_left_s < MIN_SEND_TIME_S:
            self._leave_unsent(connection, "no time left after opening a connection")
            return
        request = self._request
        try:
            encoded = request.encode(self._target.entry.id, time_left_s)
        except ValueError as error:
            self._leave_unsent(connection, str(error))
            return
        self._connection = connection
        connection.exchange(
            encoded, request.id, request.method == "HEAD", self._max_body_bytes, self._handle_reply
        )

    def _leave_unsent(self, connection: TargetConnection, detail: str) -> None:
        """End the send without a failure of its target, to which nothing was sent."""
        self._pool.put_back(self._address, connection)
        now = self._loop.time()
        result = self._make_result(SendOutcome.NOT_SENT, now, detail)
        self._loop.call_soon(self._end, result, now, False)

    def _handle_reply(self, reply: Reply) -> None:
        if self._connection is None:
            # The send has expired or was cancelled, which closed the connection.
            return
        now = self._loop.time()
        match reply:
            case TargetResponse():
                self._end_exchange(self._make_answer(reply, now), now)
            case BrokenExchange(detail=detail):
                self._end_exchange(self._make_result(SendOutcome.LOST, now, detail), now)

    def _end_exchange(self, result: SendResult, now: float) -> None:
        connection, self._connection = self._connection, None
        self._pool.release(self._address, connection, now)
        self._end(result, now)

    def _end(self, result: SendResult, now: float, concerns_target: bool = True) -> None:
        on_result, self._on_result = self._on_result, None
        if on_result is None:
            # Cancelled.
            return
        self._target.record_send_end(self._id)
        if concerns_target:
            record_result(self._target, result, self._latency_s, now)
        on_result(result)

    def _make_result(self, outcome: SendOutcome, now: float, detail: str = "") -> SendResult:
        return SendResult(outcome, now - self._started_at, detail=detail)

    def _make_answer(self, response: TargetResponse, now: float) -> SendResult:
        match classify_response(response.status, response.headers, self._request.id):
            case ResponseKind.ANSWERED:
                outcome = SendOutcome.ANSWERED
            case ResponseKind.NOT_RUN:
                outcome = SendOutcome.SHED
            case ResponseKind.WRONG_TARGET:
                outcome = SendOutcome.WRONG_TARGET
            case ResponseKind.FAILED:
                outcome = SendOutcome.FAILED
            case ResponseKind.UNVERIFIED:
                # Later answers on this connection could not be matched to their requests.
                self._connection.close()
                return self._make_result(
                    SendOutcome.LOST,
                    now,
                    f"status {response.status} without a valid signature for this request",
                )
        elapsed_s = now - self._started_at
        result = SendResult(outcome, elapsed_s, response.status, response.headers, response.body)
        result.connect_s = self._connect_s
        return result


class Sender:
    """HTTP client for targets; owned by one event loop, and `close` closes its connections."""

    __slots__ = ("_pool", "_loop", "_last_send_id")

    def __init__(self) -> None:
        self._pool = ConnectionPool()
        self._loop = asyncio.get_running_loop()
        self._last_send_id = 0

    async def close(self) -> None:
        """Close all connections."""
        self._pool.close()
        # Let the loop close the sockets.
        await asyncio.sleep(0)

    @property
    def skipped_answers(self) -> int:
        """Number of duplicate answers to earlier requests that were skipped."""
        return self._pool.skipped_answers

    def start(
        self,
        request: OutgoingRequest,
        target: Target,
        *,
        deadline: float,
        latency_s: float,
        on_result: Callable[[SendResult], None],
        on_opened: Callable[[], None] = lambda: None,
        max_body_bytes: int = MAX_ANSWER_BYTES,
    ) -> PendingSend:
        """Start to send a request to a target.

        `latency_s` is the expected latency of the request; an answer whose body exceeds
        `max_body_bytes` counts as lost. The caller calls `expire` of the send at `deadline`, which
        many sends may share.
        """
        self._last_send_id += 1
        send = PendingSend(
            self._last_send_id,
            request,
            target,
            deadline=deadline,
            latency_s=latency_s,
            max_body_bytes=max_body_bytes,
            on_result=on_result,
            on_opened=on_opened,
            pool=self._pool,
            loop=self._loop,
        )
        send.start()
        return send


def record_result(target: Target, result: SendResult, latency_s: float, now: float) -> None:
    """Update a target's state from the outcome of a send."""
    match result.outcome:
        case SendOutcome.ANSWERED:
            target.record_answer(result.elapsed_s / latency_s, result.load, now)
        case SendOutcome.SHED:
            target.record_shed(result.load, now, result.is_overloaded)
        case SendOutcome.WRONG_TARGET:
            target.is_misdirected = True
        case SendOutcome.TIMED_OUT:
            target.record_slowdown(result.elapsed_s / latency_s, now)
            target.record_failure(now)
        case SendOutcome.FAILED | SendOutcome.NOT_SENT | SendOutcome.LOST:
            target.record_failure(now)
