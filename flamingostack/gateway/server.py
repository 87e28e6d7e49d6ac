"""The HTTP server that callers connect to, and the small ones beside it."""

from __future__ import annotations

import asyncio
import random

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..entry.shutdown import Phase
from ..platform import messages
from .fanout import PartState
from .model import CallerLimits, FanOut, Route, SingleService, WeightedServices
from .query import Caller, QueryFailure, QueryReason, QueryRun, make_plan
from .records import merge_records
from .routing import draw_service
from .sender import OutgoingRequest, SendResult
from .state import Gateway

# Until the configuration is known; afterwards its own limits hold.
DEFAULT_LIMITS = CallerLimits(
    header_bytes=16384, body_bytes=262144, header_timeout_s=3.0, idle_timeout_s=15.0
)
# A header field, or the request line, may fill the whole header.
MAX_HEADER_FIELDS = 256
# How long a refused caller stays away, in shares of the route's goal: short enough to be served
# within it, and spread so that callers that were refused together do not return together.
RETRY_AFTER_GOAL_SHARE = 0.2
RETRY_AFTER_SPREAD_SHARE = 0.3
# Without a configuration nothing is served before the store answers.
NOT_READY_RETRY_AFTER_S = 0.5

STATUS_BY_REASON = {
    QueryReason.NO_TARGET: 503,
    QueryReason.OVERLOADED: 503,
    QueryReason.TOO_FEW_PARTS: 502,
    QueryReason.DEADLINE: 504,
}


class CallerServer(web.Server):
    """Connections of callers, with the limits of the configuration in force."""

    def __init__(self, gateway: Gateway) -> None:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await serve_request(gateway, request)

        super().__init__(handle, handler_cancellation=True)
        self.gateway = gateway

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        limits = current_limits(self.gateway)
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


class CallerConnection(RequestHandler):
    """A connection that is closed if a header takes longer than the limit."""

    __slots__ = ("_header_timer",)

    def __init__(self, manager: CallerServer, **kwargs) -> None:
        super().__init__(manager, **kwargs)
        self._header_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Start the time of a header with its first bytes; stop it when a request is whole."""
        super().data_received(data)
        if self._messages or self._current_request is not None:
            self._stop_header_timer()
        elif self._header_timer is None:
            limits = current_limits(self._manager.gateway)
            self._header_timer = asyncio.get_running_loop().call_later(
                limits.header_timeout_s, self.force_close
            )

    def close_between_requests(self) -> None:
        """Close the connection if it waits for its next request.

        aiohttp's own `close` leaves some connections open and drops what arrives on them.
        """
        if self._waiter is not None and not self._waiter.done():
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer with the connection."""
        self._stop_header_timer()
        super().connection_lost(exc)

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


async def serve_request(gateway: Gateway, request: web.BaseRequest) -> web.Response:
    """Answer one request of a caller."""
    gateway.shutdown.begin()
    try:
        response = await answer_request(gateway, request)
    finally:
        gateway.shutdown.end()
    if gateway.shutdown.phase is not Phase.SERVING:
        response.force_close()
    return response


async def answer_request(gateway: Gateway, request: web.BaseRequest) -> web.Response:
    """Check a request, find its route and carry it out."""
    arrived_at = gateway.now()
    request_id = messages.read_request_id(request.headers)
    refusal = check_limits(gateway, request)
    if refusal is not None:
        return refuse(gateway, request_id, *refusal)
    if gateway.routes is None:
        return refuse(gateway, request_id, 503, "no_configuration", NOT_READY_RETRY_AFTER_S)
    route = gateway.routes.find(request.headers.get("Host", ""), request.raw_path)
    if route is None:
        version = gateway.routes.configuration.version
        return refuse(gateway, request_id, 404, "no_route", version=version, path=request.raw_path)
    body = await read_body(gateway, request)
    if body is None:
        return refuse(gateway, request_id, 413, "body_too_large")
    time_left_s = messages.read_time_left_s(request.headers)
    caller = Caller(arrived_at, route.timeout_s if time_left_s is None else time_left_s)
    outgoing = OutgoingRequest(
        request_id,
        request.method,
        request.raw_path,
        messages.select_forwarded(request.headers),
        body,
    )
    return await carry_out(gateway, outgoing, route, caller)


async def carry_out(
    gateway: Gateway, request: OutgoingRequest, route: Route, caller: Caller
) -> web.Response:
    """Send a request where its route says, and make the answer."""
    match route.destination:
        case FanOut(services=services, min_coverage=min_coverage):
            pass
        case WeightedServices():
            services, min_coverage = [draw_service(route.destination)], 1.0
        case SingleService(service=service):
            services, min_coverage = [service], 1.0
    overload = gateway.overload(services[0])
    if not overload.try_enter(route.priority, caller.arrived_at):
        failure = QueryFailure(QueryReason.OVERLOADED, "limit of requests in flight", True)
        return answer_failure(gateway, request, route, caller, failure, None)
    run = None
    lost_to_load = False
    try:
        plan = make_plan(gateway, route, services, min_coverage, caller)
        run = QueryRun(gateway, request, route, plan)
        failure = await run.run()
        # A merged answer that lacks an overloaded shard is no loss to the other shards.
        lost_to_load = failure is not None and run.overloaded_sends > 0
    finally:
        overload.leave(lost_to_load, gateway.now())
    if failure is not None:
        if isinstance(route.destination, FanOut) or not run.results_by_service:
            return answer_failure(gateway, request, route, caller, failure, run)
        return return_result(gateway, request, route, caller, run)
    if isinstance(route.destination, FanOut):
        return return_merged(gateway, request, route, caller, run)
    return return_result(gateway, request, route, caller, run)


def return_merged(
    gateway: Gateway, request: OutgoingRequest, route: Route, caller: Caller, run: QueryRun
) -> web.Response:
    """Return the best records of the parts that are in."""
    results = [
        run.results_by_service[part.service]
        for part in run.plan.parts
        if part.state is PartState.ANSWERED
    ]
    missing = len(run.plan.parts) - len(results)
    signatures = [messages.read_signature(result.headers) for result in results]
    body = merge_records((result.body for result in results), route.destination.max_records)
    report(gateway, request, route, caller, 200, run, missing=missing)
    return web.Response(
        body=body,
        headers=messages.make_merged_headers(request.id, signatures, missing),
        content_type="application/octet-stream",
    )


def return_result(
    gateway: Gateway, request: OutgoingRequest, route: Route, caller: Caller, run: QueryRun
) -> web.Response:
    """Return the answer of the one target as it is."""
    (result,) = run.results_by_service.values()
    if result.status in messages.PROMISE_STATUSES:
        # The target did not say that the request has not run, so neither do we.
        failure = QueryFailure(QueryReason.TOO_FEW_PARTS, f"status {result.status}", False)
        return answer_failure(gateway, request, route, caller, failure, run)
    report(gateway, request, route, caller, result.status, run)
    return make_returned(result)


def make_returned(result: SendResult) -> web.Response:
    """Return a target's answer unchanged."""
    response = web.Response(status=result.status, body=result.body)
    response.headers.clear()
    response.headers.extend(messages.select_returned(result.headers))
    return response


def answer_failure(
    gateway: Gateway,
    request: OutgoingRequest,
    route: Route,
    caller: Caller,
    failure: QueryFailure,
    run: QueryRun | None,
) -> web.Response:
    """Return the status that tells the caller whether its request has run."""
    status = 503 if failure.is_not_run else STATUS_BY_REASON[failure.reason]
    retry_after_s = None
    if failure.is_not_run:
        share = RETRY_AFTER_GOAL_SHARE + random.random() * RETRY_AFTER_SPREAD_SHARE
        retry_after_s = route.latency_objective_s * share
    report(
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


def refuse(
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


def report(
    gateway: Gateway,
    request: OutgoingRequest,
    route: Route,
    caller: Caller,
    status: int,
    run: QueryRun | None,
    **details: object,
) -> None:
    """Count an answer, and log it with what it was decided from."""
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
    """Return status and reason if a request is larger than allowed."""
    limits = current_limits(gateway)
    header_bytes = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
    if header_bytes + len(request.raw_path) > limits.header_bytes:
        return 431, "header_too_large"
    if (request.content_length or 0) > limits.body_bytes:
        return 413, "body_too_large"
    return None


async def read_body(gateway: Gateway, request: web.BaseRequest) -> bytes | None:
    """Read a body with a length or in chunks; None if it is larger than allowed."""
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
    """Return the limits of the configuration in force."""
    if gateway.routes is None:
        return DEFAULT_LIMITS
    return gateway.routes.configuration.limits


def make_readiness_server(gateway: Gateway) -> web.Server:
    """Return the server that tells the platform whether callers may be sent here."""

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path != messages.READINESS_PATH:
            return web.Response(status=404)
        is_ready = gateway.is_ready and gateway.shutdown.phase is Phase.SERVING
        return web.Response(status=200 if is_ready else 503)

    return web.Server(handle, access_log=None)


def make_metrics_server(gateway: Gateway) -> web.Server:
    """Return the server of the metrics in the Prometheus text format."""

    async def handle(request: web.BaseRequest) -> web.Response:
        return web.Response(text=gateway.metrics.render())

    return web.Server(handle, access_log=None)
