"""HTTP client that sends one request to one target, without retries."""

from __future__ import annotations

import asyncio
import enum
from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from ..platform.messages import (
    ResponseKind,
    classify_response,
    is_for_other_request,
    make_send_headers,
    read_load,
    read_request_id,
)
from ..store import make_session
from .targets import Target

# A dropped SYN is retransmitted only after one second; trying another target before that is faster.
CONNECT_TIMEOUT_S = 0.35
# Targets close idle connections after some seconds. Connections are closed here before that.
IDLE_CONNECTION_TIMEOUT_S = 4.0
# By their documentation, targets send no larger answers; the limit bounds the memory of a request.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Headers that aiohttp would add by default; the caller's headers are forwarded unchanged.
AIOHTTP_DEFAULT_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


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
        headers: CIMultiDictProxy[str] | None = None,
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

    def describe_load(self) -> str:
        """Return the reported load as "running,waiting,slots" for a log line, empty without one."""
        load = read_load(self.headers) if self.headers is not None else None
        return f"{load.running},{load.waiting},{load.slots}" if load else ""


class OutgoingRequest:
    """The forwarded form of a caller's request; `path` is as received, still percent-encoded."""

    __slots__ = ("id", "method", "path", "headers", "body")

    def __init__(
        self, id: str, method: str, path: str, headers: CIMultiDict[str], body: bytes
    ) -> None:
        self.id = id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


class TargetConnector(aiohttp.TCPConnector):
    """Connection pool that closes an idle connection on which data has arrived."""

    def __init__(self) -> None:
        super().__init__(limit=0, keepalive_timeout=IDLE_CONNECTION_TIMEOUT_S)
        # aiohttp 3.14 creates the protocol of each connection with this private factory.
        self._factory = partial(TargetProtocol, self, loop=self._loop)
        # Number of duplicate answers to earlier requests that arrived in place of the expected one.
        self.skipped_answers = 0

    async def _get(self, key, traces):
        while (connection := await super()._get(key, traces)) is not None:
            if not connection.protocol.should_close:
                return connection
            connection.close()
        return None

    async def connect(self, req, traces, timeout):
        """Return a connection that expects the answer to the request with the id of `req`."""
        connection = await super().connect(req, traces, timeout)
        connection.protocol.request_id = read_request_id(req.headers)
        return connection


class TargetProtocol(ResponseHandler):
    """Connection to a target that may answer a request twice, or reset it within an answer."""

    def __init__(self, connector: TargetConnector, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._connector = connector
        self.request_id = ""

    async def read(self):
        """Return the next answer, skipping duplicate answers to earlier requests."""
        while True:
            message, payload = await super().read()
            if not is_for_other_request(message.headers, self.request_id):
                return message, payload
            self._connector.skipped_answers += 1
            await payload.read()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer without Content-Length that a connection reset has truncated.

        aiohttp takes any end of the connection for the end of such an answer, even a reset.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"connection lost before the end of the answer: {exc!r}")
            )
        super().connection_lost(exc)


class Sender:
    """HTTP client for targets; owned by one event loop, and `close` closes its connections."""

    __slots__ = ("_connector", "_session", "_loop", "_last_send_id")

    def __init__(self) -> None:
        self._connector = TargetConnector()
        self._session = make_session(
            connector=self._connector, skip_headers=AIOHTTP_DEFAULT_HEADERS
        )
        self._loop = asyncio.get_running_loop()
        self._last_send_id = 0

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    @property
    def skipped_answers(self) -> int:
        """Number of duplicate answers to earlier requests that were skipped."""
        return self._connector.skipped_answers

    async def send(
        self, request: OutgoingRequest, target: Target, time_left_s: float, latency_s: float
    ) -> SendResult:
        """Send a request to a target and update the target's state from the outcome.

        `time_left_s` is the time limit; `latency_s` is the typical latency of the route. If this
        coroutine is cancelled, the connection is closed, which tells the target to stop.
        """
        started_at = self._loop.time()
        self._last_send_id += 1
        send_id = self._last_send_id
        target.record_send_start(send_id, started_at)
        try:
            result = await self._exchange(request, target, time_left_s, started_at)
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
        self, request: OutgoingRequest, target: Target, time_left_s: float, started_at: float
    ) -> SendResult:
        entry = target.entry

        def make_result(outcome: SendOutcome, detail: str = "") -> SendResult:
            return SendResult(outcome, self._loop.time() - started_at, detail=detail)

        try:
            async with self._session.request(
                request.method,
                URL(f"http://{entry.host}:{entry.port}{request.path}", encoded=True),
                headers=make_send_headers(request.headers, entry.id, time_left_s),
                data=request.body or None,
                timeout=aiohttp.ClientTimeout(
                    total=time_left_s, sock_connect=min(CONNECT_TIMEOUT_S, time_left_s)
                ),
                allow_redirects=False,
            ) as answer:
                body = await answer.content.read(MAX_ANSWER_BYTES + 1)
                while not answer.content.at_eof() and len(body) <= MAX_ANSWER_BYTES:
                    body += await answer.content.read(MAX_ANSWER_BYTES + 1 - len(body))
                if len(body) > MAX_ANSWER_BYTES:
                    answer.close()
                    return make_result(SendOutcome.LOST, "answer exceeds 4 MiB; connection closed")
                status, headers = answer.status, answer.headers
                kind = classify_response(status, headers, request.id)
                if kind is ResponseKind.UNVERIFIED:
                    # Later answers on this connection could not be matched to their requests.
                    answer.close()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return make_result(SendOutcome.NOT_SENT, str(error))
        except TimeoutError:
            return make_result(SendOutcome.TIMED_OUT)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return make_result(SendOutcome.LOST, repr(error))
        match kind:
            case ResponseKind.ANSWERED:
                outcome = SendOutcome.ANSWERED
            case ResponseKind.NOT_RUN:
                outcome = SendOutcome.SHED
            case ResponseKind.WRONG_TARGET:
                outcome = SendOutcome.WRONG_TARGET
            case ResponseKind.FAILED:
                outcome = SendOutcome.FAILED
            case ResponseKind.UNVERIFIED:
                return make_result(
                    SendOutcome.LOST, f"status {status} without a valid signature for this request"
                )
        return SendResult(outcome, self._loop.time() - started_at, status, headers, body)


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
