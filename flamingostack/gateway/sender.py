"""HTTP client that sends one request to one target, without retries."""

from __future__ import annotations

import asyncio
import enum

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
    ExpiredExchange,
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
    """Outcome of a send; status, headers and body are set only if a valid answer was received."""

    __slots__ = ("outcome", "elapsed_s", "status", "headers", "body", "detail")

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

    @property
    def is_overloaded(self) -> bool:
        """Whether the target shed the request for lack of free slots, or without reporting load."""
        if self.outcome is not SendOutcome.SHED:
            return False
        load = read_load(self.headers)
        return load is None or load.running + load.waiting >= load.slots

    @property
    def notice(self) -> TargetNotice | None:
        """What the target says of itself; None if there is no answer of this target."""
        if self.headers is None or self.outcome is SendOutcome.WRONG_TARGET:
            return None
        return read_notice(self.status, self.headers)

    def describe_load(self) -> str:
        """Return the reported load as "running,waiting,slots" for a log line, empty without one."""
        load = read_load(self.headers) if self.headers is not None else None
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

    async def send(
        self,
        request: OutgoingRequest,
        target: Target,
        time_left_s: float,
        latency_s: float,
        max_body_bytes: int = MAX_ANSWER_BYTES,
    ) -> SendResult:
        """Send a request to a target and update the target's state from the outcome.

        `time_left_s` is the time limit; `latency_s` is the typical latency of the route; an answer
        whose body exceeds `max_body_bytes` counts as lost. If this
        coroutine is cancelled, the connection is closed, which tells the target to stop.
        """
        started_at = self._loop.time()
        self._last_send_id += 1
        send_id = self._last_send_id
        target.record_send_start(send_id, started_at)
        try:
            result = await self._exchange(request, target, time_left_s, started_at, max_body_bytes)
        except asyncio.CancelledError:
            now = self._loop.time()
            if now - started_at > latency_s:
                target.record_slowdown((now - started_at) / latency_s, now)
            raise
        finally:
            target.record_send_end(send_id)
        record_result(target, result, latency_s, self._loop.time())
        return result

    async def _exchange(
        self,
        request: OutgoingRequest,
        target: Target,
        time_left_s: float,
        started_at: float,
        max_body_bytes: int,
    ) -> SendResult:
        entry = target.entry

        def make_result(outcome: SendOutcome, detail: str = "") -> SendResult:
            return SendResult(outcome, self._loop.time() - started_at, detail=detail)

        address = (entry.host, entry.port)
        connection = self._pool.take(address, request.id)
        if connection is None:
            connection = await self._pool.open(address, min(CONNECT_TIMEOUT_S, time_left_s))
            if isinstance(connection, str):
                return make_result(SendOutcome.NOT_SENT, connection)
        # Opening a connection takes time, and the process may have stood still meanwhile.
        expires_at = started_at + time_left_s
        time_left_s = expires_at - self._loop.time()
        if time_left_s < MIN_SEND_TIME_S:
            connection.close()
            return make_result(SendOutcome.NOT_SENT, "no time left after opening a connection")
        try:
            encoded = request.encode(entry.id, time_left_s)
        except ValueError as error:
            connection.close()
            return make_result(SendOutcome.NOT_SENT, str(error))
        reply = connection.exchange(encoded, request.id, request.method == "HEAD", max_body_bytes)
        reply = await self._await_reply(connection, reply, expires_at)
        self._pool.release(address, connection)
        match reply:
            case TargetResponse():
                return self._make_answer(request, reply, connection, started_at)
            case BrokenExchange(detail=detail):
                return make_result(SendOutcome.LOST, detail)
            case ExpiredExchange():
                return make_result(SendOutcome.TIMED_OUT)

    async def _await_reply(
        self, connection: TargetConnection, reply: asyncio.Future[Reply], expires_at: float
    ) -> Reply:
        timer = self._loop.call_at(expires_at, expire, reply)
        try:
            return await reply
        except asyncio.CancelledError:
            connection.close()
            raise
        finally:
            timer.cancel()

    def _make_answer(
        self,
        request: OutgoingRequest,
        response: TargetResponse,
        connection: TargetConnection,
        started_at: float,
    ) -> SendResult:
        elapsed_s = self._loop.time() - started_at
        match classify_response(response.status, response.headers, request.id):
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
                connection.close()
                detail = f"status {response.status} without a valid signature for this request"
                return SendResult(SendOutcome.LOST, elapsed_s, detail=detail)
        return SendResult(outcome, elapsed_s, response.status, response.headers, response.body)


def expire(reply: asyncio.Future[Reply]) -> None:
    """End the wait for a reply at its time limit."""
    if not reply.done():
        reply.set_result(ExpiredExchange())


def record_result(target: Target, result: SendResult, latency_s: float, now: float) -> None:
    """Update a target's state from the outcome of a send."""
    load = read_load(result.headers) if result.headers is not None else None
    match result.outcome:
        case SendOutcome.ANSWERED:
            target.record_answer(result.elapsed_s / latency_s, load, now)
        case SendOutcome.SHED:
            target.record_shed(load, now, result.is_overloaded)
        case SendOutcome.WRONG_TARGET:
            target.is_misdirected = True
        case SendOutcome.TIMED_OUT:
            target.record_slowdown(result.elapsed_s / latency_s, now)
            target.record_failure(now)
        case SendOutcome.FAILED | SendOutcome.NOT_SENT | SendOutcome.LOST:
            target.record_failure(now)
