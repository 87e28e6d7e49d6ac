"""Sending one request to one target, once."""

from __future__ import annotations

import asyncio
import enum
from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from ..platform.messages import (
    Verdict,
    address_to_target,
    answers_other_request,
    judge_answer,
    read_load,
    read_request_id,
)
from ..store import make_session
from .targets import Target

# A SYN that was dropped is repeated after a second; a target that has not accepted by then is
# tried less soon than another one.
CONNECT_TIMEOUT_S = 0.35
# Targets close idle connections after some seconds; ours go first.
IDLE_CONNECTION_TIMEOUT_S = 4.0
# Larger answers are no answers of the targets described; it bounds the memory of a request.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# aiohttp adds these headers by itself; the caller's are sent as they are.
AIOHTTP_DEFAULT_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class SendOutcome(enum.Enum):
    """How a send ended."""

    ANSWERED = "answered"
    # A failure of the target's own, with a complete body.
    FAILED = "failed"
    # Nothing was sent: there was no connection.
    NOT_SENT = "not_sent"
    # The target says that it did not run the request.
    SHED = "shed"
    # Another target has the address; it did not run the request.
    WRONG_TARGET = "wrong_target"
    # Reset, cut short, garbage or the answer to another request; it may have run.
    LOST = "lost"
    # No answer in the time given; it may have run.
    TIMED_OUT = "timed_out"


# Outcomes after which the request is known not to run at that target.
NOT_RUN_OUTCOMES = frozenset((SendOutcome.NOT_SENT, SendOutcome.SHED, SendOutcome.WRONG_TARGET))


class SendResult:
    """Outcome of a send; status, headers and body are those of the target, if it answered."""

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
        """Whether the target refused because its slots were taken, as far as it says."""
        if self.outcome is not SendOutcome.SHED:
            return False
        load = read_load(self.headers)
        return load is None or load.running + load.waiting >= load.slots

    def describe_load(self) -> str:
        """Return the load that the target reported, for a log line."""
        load = read_load(self.headers) if self.headers is not None else None
        return f"{load.running},{load.waiting},{load.slots}" if load else ""


class OutgoingRequest:
    """What is forwarded of a caller's request; `path` is as the caller sent it."""

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
    """Pool of connections that drops one on which something came while it was idle."""

    def __init__(self) -> None:
        super().__init__(limit=0, keepalive_timeout=IDLE_CONNECTION_TIMEOUT_S)
        # aiohttp 3.14 makes the protocol of each connection with this factory.
        self._factory = partial(TargetProtocol, self, loop=self._loop)
        # Second answers to earlier requests that came in place of an answer.
        self.skipped_answers = 0

    async def _get(self, key, traces):
        while (connection := await super()._get(key, traces)) is not None:
            if not connection.protocol.should_close:
                return connection
            connection.close()
        return None

    async def connect(self, req, traces, timeout):
        """Return a connection that knows whose answer it waits for."""
        connection = await super().connect(req, traces, timeout)
        connection.protocol.request_id = read_request_id(req.headers)
        return connection


class TargetProtocol(ResponseHandler):
    """A connection to a target that may answer twice, or be reset within an answer."""

    def __init__(self, connector: TargetConnector, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._connector = connector
        self.request_id = ""

    async def read(self):
        """Return the next answer that is not a second one to an earlier request."""
        while True:
            message, payload = await super().read()
            if not answers_other_request(message.headers, self.request_id):
                return message, payload
            self._connector.skipped_answers += 1
            await payload.read()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer without a length that a reset has cut short.

        aiohttp takes the end of the connection for the end of such an answer, whatever ended it.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"connection lost: {exc!r}"))
        super().connection_lost(exc)


class Sender:
    """The connections to targets. Owned by one event loop; `close` ends them."""

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
        """How many second answers to earlier requests were skipped."""
        return self._connector.skipped_answers

    async def send(
        self, request: OutgoingRequest, target: Target, time_left_s: float, latency_s: float
    ) -> SendResult:
        """Send a request to a target and keep what the answer shows of the target.

        `latency_s` is the usual latency of the route. When the caller of this function is
        cancelled, the connection is closed, which tells the target to stop.
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
                headers=address_to_target(request.headers, entry.id, time_left_s),
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
                    return make_result(SendOutcome.LOST, "the answer is too large")
                status, headers = answer.status, answer.headers
                verdict = judge_answer(status, headers, request.id)
                if verdict is Verdict.NOT_OURS:
                    # What follows on this connection cannot be told apart any more.
                    answer.close()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return make_result(SendOutcome.NOT_SENT, str(error))
        except TimeoutError:
            return make_result(SendOutcome.TIMED_OUT)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return make_result(SendOutcome.LOST, repr(error))
        match verdict:
            case Verdict.ANSWERED:
                outcome = SendOutcome.ANSWERED
            case Verdict.NOT_RUN:
                outcome = SendOutcome.SHED
            case Verdict.WRONG_TARGET:
                outcome = SendOutcome.WRONG_TARGET
            case Verdict.FAILED:
                outcome = SendOutcome.FAILED
            case Verdict.NOT_OURS:
                return make_result(
                    SendOutcome.LOST, f"status {status} without a signature for this request"
                )
        return SendResult(outcome, self._loop.time() - started_at, status, headers, body)


def record_result(target: Target, result: SendResult, latency_s: float, now: float) -> None:
    """Keep what the outcome of a send shows of its target."""
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
