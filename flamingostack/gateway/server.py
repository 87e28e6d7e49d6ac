"""The HTTP server for callers, and the servers for readiness and metrics."""

from __future__ import annotations

import asyncio
import random
import select

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler

from ..entry.shutdown import Phase
from ..platform import messages
from .backlog import read_waiting_time_s
from .fanout import PartState
from .listener import SliceConnection, SliceServer
from .model import CallerLimits, FanOut, Route, SingleService, WeightedServices
from .query import (
    ANSWER_RESERVE_S,
    Caller,
    QueryFailure,
    QueryReason,
    QueryRun,
    make_plan,
)
from .records import merge_records
from .routing import draw_service
from .sender import OutgoingRequest, SendResult
from .state import Gateway

# Limits until the first configuration, which has its own, is applied.
DEFAULT_LIMITS = CallerLimits(
    header_bytes=16384, body_bytes=262144, header_timeout_s=3.0, idle_timeout_s=15.0
)
MAX_HEADER_FIELDS = 256
# Retry-After of a refused request, in shares of the route's latency objective: short enough for the
# retry to be answered within the objective, with a random part so that callers that were refused at
# the same time don't retry at the same time.
RETRY_AFTER_OBJECTIVE_SHARE = 0.2
RETRY_AFTER_SPREAD_SHARE = 0.3
# Retry-After while there is no configuration: nothing is served until the store answers.
NOT_READY_RETRY_AFTER_S = 0.5
# Retry-After of a request that comes too late during a stop: others can serve it at once.
STOPPING_RETRY_AFTER_S = 0.02
# For how long a stop waits for the first request of a new connection. It follows the connection
# by a round trip, but a caller that opens connections in advance may never send one.
FIRST_REQUEST_WAIT_S = 0.5

STATUS_BY_REASON = {
    QueryReason.NO_TARGET: 503,
    QueryReason.OVERLOADED: 503,
    QueryReason.TOO_FEW_PARTS: 502,
    QueryReason.DEADLINE: 504,
}


class CallerServer(web.Server):
    """Accepts connections of callers, with the limits of the current configuration."""

    def __init__(self, gateway: Gateway) -> None:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await serve_request(gateway, request)

        super().__init__(handle, handler_cancellation=True)
        self.gateway = gateway

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        limits = current_limits(self.gateway)
        # One header field, or the request line, may take up the whole header limit.
        return CallerConnection(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=limits.idle_timeout_s,
            lingering_time=0,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            max_headers=MAX_HEADER_FIELDS,
            auto_decompress=False,
        )


class CallerConnection(SliceConnection):
    """A connection that is closed if a request header does not arrive within the time limit."""

    __slots__ = ("_header_timer", "_await_request_until", "_waiting_time_s")

    def __init__(self, manager: CallerServer, **kwargs) -> None:
        super().__init__(manager, **kwargs)
        self._header_timer: asyncio.TimerHandle | None = None
        self._await_request_until: float | None = None
        # How long the first request waited in the backlog while the process started.
        self._waiting_time_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Expect a first request."""
        super().connection_made(transport)
        gateway = self._manager.gateway
        self._await_request_until = gateway.now() + FIRST_REQUEST_WAIT_S
        if gateway.startup.is_starting and has_unread_bytes(transport):
            self._waiting_time_s = read_waiting_time_s(transport.get_extra_info("socket"))

    def take_waiting_time_s(self) -> float:
        """Return how long the next request has waited before it was read."""
        waiting_time_s, self._waiting_time_s = self._waiting_time_s, 0.0
        return waiting_time_s

    def data_received(self, data: bytes) -> None:
        """Start the header timer with the first bytes; stop it when the header is complete."""
        super().data_received(data)
        self._await_request_until = None
        if self._messages or self._current_request is not None:
            self._stop_header_timer()
        elif self._header_timer is None:
            limits = current_limits(self._manager.gateway)
            self._header_timer = asyncio.get_running_loop().call_later(
                limits.header_timeout_s, self.force_close
            )

    def close_if_idle(self) -> None:
        """Close the connection if it waits for a request and none is on its way.

        aiohttp's own `close` leaves some connections open and discards requests that arrive on
        them.
        """
        if self._waiter is None or self._waiter.done() or self._expects_request():
            return
        self.force_close()

    def _expects_request(self) -> bool:
        until = self._await_request_until
        if until is not None and self._manager.gateway.now() < until:
            return True
        return has_unread_bytes(self.transport)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to a request that could not be parsed or served, and close its connection."""
        if isinstance(exc, LineTooLong):
            status = 431
        self._manager.gateway.log.warning("request_broken", status=status, detail=repr(exc))
        return super().handle_error(request, status, exc, message)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the header timer when the connection is lost."""
        self._stop_header_timer()
        super().connection_lost(exc)

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


def has_unread_bytes(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether bytes have arrived on a connection that the event loop has not read yet."""
    if transport is None or transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return any(events == select.POLLIN for _, events in poll.poll(0))


async def serve_request(gateway: Gateway, request: web.BaseRequest) -> web.Response:
    """Respond to one request of a caller; close its connection during a shutdown."""
    gateway.shutdown.begin()
    try:
        response = await handle_request(gateway, request)
    finally:
        gateway.shutdown.end()
    if gateway.shutdown.phase is not Phase.SERVING:
        response.force_close()
    return response


async def handle_request(gateway: Gateway, request: web.BaseRequest) -> web.Response:
    """Check a request, find its route and execute it."""
    arrived_at = gateway.now() - request.protocol.take_waiting_time_s()
    request_id = messages.read_request_id(request.headers)
    if not request_id.isascii():
        # Such an id cannot be returned with the answer.
        return refuse_request(gateway, "", 400, "malformed_request_id")
    if messages.has_ambiguous_id(request.headers):
        return refuse_request(gateway, request_id, 400, "ambiguous_request_id")
    refusal = check_limits(gateway, request)
    if refusal is not None:
        return refuse_request(gateway, request_id, *refusal)
    if not await wait_for_present_state(gateway):
        return refuse_request(gateway, request_id, 503, "shutting_down", NOT_READY_RETRY_AFTER_S)
    if not gateway.knows_state:
        return refuse_request(gateway, request_id, 503, "no_configuration", NOT_READY_RETRY_AFTER_S)
    host, path = messages.split_target(request.raw_path, request.headers.get("Host", ""))
    route = gateway.routes.find(host, path)
    if route is None:
        version = gateway.routes.configuration.version
        return refuse_request(gateway, request_id, 404, "no_route", version=version, path=path)
    time_left_s = messages.read_time_left_s(request.headers)
    caller = Caller(arrived_at, route.timeout_s if time_left_s is None else time_left_s)
    try:
        async with asyncio.timeout_at(arrived_at + min(caller.time_left_s, route.timeout_s)):
            body = await read_body(gateway, request)
    except TimeoutError:
        return refuse_request(gateway, request_id, 408, "body_timeout")
    if body is None:
        return refuse_request(gateway, request_id, 413, "body_too_large")
    if not can_answer_before_end(gateway, route):
        return refuse_request(gateway, request_id, 503, "shutting_down", STOPPING_RETRY_AFTER_S)
    outgoing = OutgoingRequest(
        request_id,
        request.method,
        path,
        messages.select_request_headers(request.headers),
        body,
    )
    return await execute_request(gateway, outgoing, route, caller)


async def wait_for_present_state(gateway: Gateway) -> bool:
    """Wait until the state is known and up to date; return False if the process ends before."""
    try:
        async with asyncio.timeout_at(gateway.answer_until - ANSWER_RESERVE_S):
            await gateway.wait_after_pause()
            await gateway.wait_for_state()
    except TimeoutError:
        return False
    return True


def can_answer_before_end(gateway: Gateway, route: Route) -> bool:
    """Return whether even a slow answer would arrive before this process ends.

    A request that is sent and not answered by then is lost for callers that may send it only once.
    """
    now = gateway.now()
    latency_s = gateway.stats(route).slow_latency_s(route, now)
    return now + latency_s + ANSWER_RESERVE_S <= gateway.answer_until


async def execute_request(
    gateway: Gateway, request: OutgoingRequest, route: Route, caller: Caller
) -> web.Response:
    """Send a request to the services of its route, and return the response.

    Refuse it if the service has too many requests in flight.
    """
    match route.destination:
        case FanOut(services=services, min_coverage=min_coverage):
            pass
        case WeightedServices():
            services, min_coverage = [draw_service(route.destination)], 1.0
        case SingleService(service=service):
            services, min_coverage = [service], 1.0
    overload_limit = gateway.overload_limit(services[0])
    if not overload_limit.try_admit(route.priority, caller.arrived_at):
        failure = QueryFailure(QueryReason.OVERLOADED, "limit of requests in flight reached", True)
        return respond_with_failure(gateway, request, route, caller, failure, None)
    run = None
    is_overload_failure = False
    try:
        plan = make_plan(gateway, route, services, min_coverage, caller)
        run = QueryRun(gateway, request, route, plan)
        failure = await run.run()
        # A merged response that only lacks an overloaded shard does not count towards lowering the
        # limit of requests in flight, since the other shards lose nothing by it.
        is_overload_failure = failure is not None and run.overloaded_sends > 0
    finally:
        overload_limit.release(is_overload_failure, gateway.now())
    if failure is not None:
        if isinstance(route.destination, FanOut) or not run.results_by_service:
            return respond_with_failure(gateway, request, route, caller, failure, run)
        return respond_with_result(gateway, request, route, caller, run)
    if isinstance(route.destination, FanOut):
        return respond_with_merged(gateway, request, route, caller, run)
    return respond_with_result(gateway, request, route, caller, run)


def respond_with_merged(
    gateway: Gateway, request: OutgoingRequest, route: Route, caller: Caller, run: QueryRun
) -> web.Response:
    """Return a response with the best records of the answered parts."""
    results = [
        run.results_by_service[part.service]
        for part in run.plan.parts
        if part.state is PartState.ANSWERED
    ]
    missing = len(run.plan.parts) - len(results)
    signatures = [messages.read_signature(result.headers) for result in results]
    body = merge_records((result.body for result in results), route.destination.max_records)
    record_response(gateway, request, route, caller, 200, run, missing=missing)
    return web.Response(
        body=body,
        headers=messages.make_merged_headers(request.id, signatures, missing),
        content_type="application/octet-stream",
    )


def respond_with_result(
    gateway: Gateway, request: OutgoingRequest, route: Route, caller: Caller, run: QueryRun
) -> web.Response:
    """Return the response of the single target unchanged.

    Return a failure instead if its status promises that the request has not run.
    """
    (result,) = run.results_by_service.values()
    if result.status in messages.NOT_RUN_STATUSES:
        # The status promises callers that the request has not run, but the target did not report
        # this, so the status must not be passed on.
        failure = QueryFailure(QueryReason.TOO_FEW_PARTS, f"status {result.status}", False)
        return respond_with_failure(gateway, request, route, caller, failure, run)
    record_response(gateway, request, route, caller, result.status, run)
    return make_unchanged_response(result)


def make_unchanged_response(result: SendResult) -> web.Response:
    """Return a response with the status, headers and body of a target's response."""
    response = web.Response(status=result.status, body=result.body)
    response.headers.clear()
    response.headers.extend(messages.select_response_headers(result.headers))
    return response


def respond_with_failure(
    gateway: Gateway,
    request: OutgoingRequest,
    route: Route,
    caller: Caller,
    failure: QueryFailure,
    run: QueryRun | None,
) -> web.Response:
    """Return the response to a failed request; the status tells whether the request has run.

    If it has not run, the status is 503 with a Retry-After.
    """
    status = 503 if failure.is_not_run else STATUS_BY_REASON[failure.reason]
    retry_after_s = None
    if failure.is_not_run:
        share = RETRY_AFTER_OBJECTIVE_SHARE + random.random() * RETRY_AFTER_SPREAD_SHARE
        retry_after_s = route.latency_objective_s * share + failure.closed_s
    record_response(
        gateway,
        request,
        route,
        caller,
        status,
        run,
        reason=failure.reason.code,
        detail=failure.message,
        retry_after_s=retry_after_s,
    )
    return web.Response(
        status=status,
        text=failure.reason.code,
        headers=messages.make_refusal_headers(request.id, retry_after_s),
    )


def refuse_request(
    gateway: Gateway,
    request_id: str,
    status: int,
    reason: str,
    retry_after_s: float | None = None,
    **details: object,
) -> web.Response:
    """Refuse a request before it is sent anywhere."""
    gateway.metrics.count("gateway_requests_total", route="", status=str(status))
    gateway.log.warning(
        "request_refused", request_id=request_id, status=status, reason=reason, **details
    )
    return web.Response(
        status=status,
        text=reason,
        headers=messages.make_refusal_headers(request_id, retry_after_s),
    )


def record_response(
    gateway: Gateway,
    request: OutgoingRequest,
    route: Route,
    caller: Caller,
    status: int,
    run: QueryRun | None,
    **details: object,
) -> None:
    """Count a response, and log it with the state of the sends that led to it."""
    now = gateway.now()
    elapsed_s = now - caller.arrived_at
    gateway.metrics.count("gateway_requests_total", route=route.name, status=str(status))
    gateway.metrics.record_us("gateway_request_seconds", int(elapsed_s * 1e6), route=route.name)
    gateway.log.info(
        "request_answered",
        request_id=request.id,
        route=route.name,
        status=status,
        elapsed_ms=round(elapsed_s * 1000),
        time_left_ms=round(caller.time_left_s * 1000),
        version=gateway.routes.configuration.version if gateway.routes else None,
        **(run.describe() if run is not None else {}),
        **details,
    )


def check_limits(gateway: Gateway, request: web.BaseRequest) -> tuple[int, str] | None:
    """Return status and reason of the refusal if a request is too large, else None."""
    limits = current_limits(gateway)
    header_bytes = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
    if header_bytes + len(request.raw_path) > limits.header_bytes:
        return 431, "header_too_large"
    if (request.content_length or 0) > limits.body_bytes:
        return 413, "body_too_large"
    return None


async def read_body(gateway: Gateway, request: web.BaseRequest) -> bytes | None:
    """Return the body, with a length or chunked; None if it is larger than allowed."""
    if not request.body_exists:
        return b""
    limit = current_limits(gateway).body_bytes
    chunks = []
    size = 0
    async for chunk in request.content.iter_any():
        size += len(chunk)
        if size > limit:
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def current_limits(gateway: Gateway) -> CallerLimits:
    """Return the limits of the current configuration, or the defaults before the first one."""
    if gateway.routes is None:
        return DEFAULT_LIMITS
    return gateway.routes.configuration.limits


def make_readiness_server(gateway: Gateway) -> web.Server:
    """Return the server that tells the platform whether to route callers to this instance."""

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path != messages.READINESS_PATH:
            return web.Response(status=404)
        is_ready = gateway.is_ready and gateway.shutdown.phase is Phase.SERVING
        return web.Response(status=200 if is_ready else 503)

    return SliceServer(handle)


def make_metrics_server(gateway: Gateway) -> web.Server:
    """Return the server that serves the metrics in the Prometheus text format."""

    async def handle(request: web.BaseRequest) -> web.Response:
        return web.Response(text=gateway.metrics.render())

    return SliceServer(handle)
