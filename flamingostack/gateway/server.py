"""The HTTP server for callers, and the servers for readiness and metrics."""

from __future__ import annotations

import asyncio
import functools
import random
import resource
import select

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..entry.shutdown import Phase
from ..platform import messages
from .allotments import Refusal
from .backlog import read_waiting_time_s
from .callers import BodyGivenUpError, BoundedConnection, CallerConnections
from .fanout import PartState
from .intake import Intake, LineLimit, make_intake_limits
from .internal import InternalPort, InternalServer
from .model import CallerLimits, FanOut, Route, SingleService, WeightedServices
from .query import (
    ANSWER_RESERVE_S,
    Caller,
    QueryFailure,
    QueryReason,
    QueryRun,
    make_plan,
)
from .records import merge_in_slices
from .refusals import compute_admission_priority
from .routing import draw_service
from .sender import OutgoingRequest, SendResult
from .state import Gateway
from .tenants import OVER_LIMIT, Denial

# Limits until the first configuration, which has its own, is applied.
DEFAULT_LIMITS = CallerLimits(
    header_bytes=16384, body_bytes=262144, header_timeout_s=3.0, idle_timeout_s=15.0
)
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

# Retry-After beyond a limit: callers that were refused for the same reason don't retry at the same
# time, and none at once, since the retry takes a new connection.
LIMIT_RETRY_SPREAD_SHARE = 0.5
MIN_LIMIT_RETRY_AFTER_S = 0.01

STATUS_BY_REASON = {
    QueryReason.NO_TARGET: 503,
    QueryReason.OVERLOADED: 503,
    QueryReason.CANNOT_FINISH: 503,
    QueryReason.TOO_FEW_PARTS: 502,
    QueryReason.DEADLINE: 504,
}
# Statuses of requests that have not run, where it is not 503.
NOT_RUN_STATUS_BY_REASON = {QueryReason.UNKNOWN_KEY: 401}


class CallerServer(web.Server):
    """Accepts connections of callers, with the limits of the current configuration."""

    def __init__(self, gateway: Gateway) -> None:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await serve_request(gateway, request)

        super().__init__(handle, handler_cancellation=True)
        self.gateway = gateway
        settings = gateway.settings
        largest_descriptor, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        limits = make_intake_limits(settings.memory_bytes, settings.descriptors, largest_descriptor)
        self.caller_connections = CallerConnections(
            Intake(limits, gateway.now), gateway.metrics, gateway.log, LineLimit(gateway.now)
        )
        intake = self.caller_connections.intake
        gateway.metrics.set_gauge("gateway_caller_connections", lambda: intake.opened)
        gateway.metrics.set_gauge("gateway_caller_held_bytes", lambda: intake.held_bytes)

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(self, self.caller_connections, current_limits(self.gateway))


class CallerConnection(BoundedConnection):
    """A connection of a caller, which may have waited in the backlog while the process started."""

    __slots__ = ("_await_request_until", "_waiting_time_s")

    def __init__(
        self, manager: CallerServer, connections: CallerConnections, limits: CallerLimits
    ) -> None:
        super().__init__(manager, connections, limits)
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
        """Expect no first request any more."""
        self._await_request_until = None
        super().data_received(data)

    def close_if_idle(self) -> None:
        """Close the connection if it waits for a request and none is on its way.

        aiohttp's own `close` leaves some connections open and discards requests that arrive on
        them.
        """
        if self._waiter is None or self._waiter.done() or self._expects_request():
            return
        self.force_close()

    def caller_limits(self) -> CallerLimits:
        """Return the limits of the current configuration."""
        return current_limits(self._manager.gateway)

    def is_idle(self) -> bool:
        """Return whether the connection waits for a request and none is on its way."""
        return super().is_idle() and not has_unread_bytes(self.transport)

    def _expects_request(self) -> bool:
        until = self._await_request_until
        if until is not None and self._manager.gateway.now() < until:
            return True
        return has_unread_bytes(self.transport)


def has_unread_bytes(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether bytes have arrived on a connection that the event loop has not read yet."""
    if transport is None or transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return any(events == select.POLLIN for _, events in poll.poll(0))


async def serve_request(gateway: Gateway, request: web.BaseRequest) -> web.Response:
    """Respond to one request of a caller.

    Its connection is closed during a shutdown, and if it was accepted under stricter limits, as all
    are before the first configuration.
    """
    gateway.shutdown.begin()
    try:
        response = await handle_request(gateway, request)
    finally:
        gateway.shutdown.end()
    if gateway.shutdown.phase is not Phase.SERVING or request.protocol.has_outdated_limits:
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
    access = gateway.find_access(host, path, request.headers)
    if isinstance(access, Denial):
        return refuse_access(gateway, request_id, access, path)
    route = access.route
    time_left_s = messages.read_time_left_s(request.headers)
    caller = Caller(arrived_at, route.timeout_s if time_left_s is None else time_left_s)
    body_until = arrived_at + min(caller.time_left_s, route.timeout_s)
    try:
        # A request whose body is still missing at the end of a stop has to be refused before it.
        async with asyncio.timeout_at(min(body_until, gateway.answer_until - ANSWER_RESERVE_S)):
            body = await read_body(gateway, request)
    except TimeoutError:
        return refuse_request(gateway, request_id, 408, "body_timeout")
    except BodyGivenUpError as error:
        error.__traceback__ = None
        retry_after_s = route.latency_objective_s * draw_retry_share()
        return refuse_request(gateway, request_id, 503, "caller_budget", retry_after_s)
    if body is None:
        return refuse_request(gateway, request_id, 413, "body_too_large")
    if not can_answer_before_end(gateway, route):
        return refuse_request(gateway, request_id, 503, "shutting_down", STOPPING_RETRY_AFTER_S)
    if access.routes is not gateway.routes:
        # A new configuration has come while the body was read.
        access = gateway.find_access(host, path, request.headers)
        if isinstance(access, Denial):
            return refuse_access(gateway, request_id, access, path)
        route = access.route
    organisation = access.organisation
    caller.organisation, caller.priority = organisation, access.priority
    caller.find_change = functools.partial(gateway.find_change, access, host, path, request.headers)
    headers = messages.select_request_headers(
        request.headers, organisation.name if organisation else None, access.is_keyed
    )
    outgoing = OutgoingRequest(request_id, request.method, path, headers, body)
    refusal = await request_token(gateway, caller)
    if refusal is not None:
        return refuse_over_limit(gateway, request_id, route, caller, refusal)
    return await execute_request(gateway, outgoing, route, caller)


async def request_token(gateway: Gateway, caller: Caller) -> Refusal | None:
    """Get a token for a request of an organisation with a limit; return why there is none."""
    organisation = caller.organisation
    if organisation is None or not organisation.is_limited or gateway.allotments is None:
        return None
    result = await gateway.allotments.request_token(organisation)
    if isinstance(result, Refusal):
        return result
    caller.token, caller.is_above_rate = result, result.is_above_rate
    return None


def refuse_over_limit(
    gateway: Gateway, request_id: str, route: Route, caller: Caller, refusal: Refusal
) -> web.Response:
    """Refuse a request without a token: 429 beyond the limit, 503 if owners cannot give theirs."""
    status, reason = (429, OVER_LIMIT) if refusal.is_over_limit else (503, "no_owner")
    gateway.record_organisation(caller.organisation, reason)
    spread = 1 + random.random() * LIMIT_RETRY_SPREAD_SHARE
    retry_after_s = max(refusal.retry_after_s, MIN_LIMIT_RETRY_AFTER_S) * spread
    return refuse_request(
        gateway,
        request_id,
        status,
        reason,
        retry_after_s,
        route=route.name,
        **describe_caller(caller),
    )


def refuse_access(gateway: Gateway, request_id: str, denial: Denial, path: str) -> web.Response:
    """Refuse a request without a route or a known key."""
    version = gateway.routes.configuration.version
    details = {"path": path} if denial.status == 404 else {}
    return refuse_request(
        gateway, request_id, denial.status, denial.reason, version=version, **details
    )


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
    priority = compute_admission_priority(caller.rank)
    if not overload_limit.try_admit(priority, caller.arrived_at):
        failure = QueryFailure(QueryReason.OVERLOADED, "limit of requests in flight reached", True)
        give_back_token(gateway, caller, None)
        return respond_with_failure(gateway, request, route, caller, failure, None)
    run = None
    is_overload_failure = False
    try:
        plan = make_plan(gateway, route, services, min_coverage, caller)
        run = QueryRun(gateway, request, route, caller, plan)
        failure = await run.run()
        # A merged response that only lacks an overloaded shard does not count towards lowering the
        # limit of requests in flight, since the other shards lose nothing by it.
        is_overload_failure = failure is not None and run.overloaded_sends > 0
        if failure is None and isinstance(route.destination, FanOut):
            # The limit covers the merge, which other requests wait for as well.
            return await respond_with_merged(gateway, request, route, caller, run)
    finally:
        overload_limit.release(is_overload_failure, gateway.now())
        give_back_token(gateway, caller, run)
    if failure is not None:
        if isinstance(route.destination, FanOut) or not run.results_by_service:
            return respond_with_failure(gateway, request, route, caller, failure, run)
        return respond_with_result(gateway, request, route, caller, run)
    return respond_with_result(gateway, request, route, caller, run)


def give_back_token(gateway: Gateway, caller: Caller, run: QueryRun | None) -> None:
    """Return the token of a request of which nothing was sent."""
    if caller.token is not None and (run is None or not run.has_sent):
        gateway.allotments.give_back(caller.organisation, caller.token)


async def respond_with_merged(
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
    bodies = [result.body for result in results]
    body = await merge_in_slices(bodies, route.destination.max_records)
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

    If it has not run, the status is 503 with a Retry-After, or 401 if its key is no longer known.
    """
    if failure.is_not_run:
        status = NOT_RUN_STATUS_BY_REASON.get(failure.reason, 503)
    else:
        status = STATUS_BY_REASON[failure.reason]
    retry_after_s = None
    if status == 503:
        retry_after_s = route.latency_objective_s * draw_retry_share() + failure.closed_s
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
        headers=messages.make_refusal_headers(request.id, retry_after_s, status),
    )


def draw_retry_share() -> float:
    """Return the Retry-After of a refused request as a share of the route's latency objective."""
    return RETRY_AFTER_OBJECTIVE_SHARE + random.random() * RETRY_AFTER_SPREAD_SHARE


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
        headers=messages.make_refusal_headers(request_id, retry_after_s, status),
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
    gateway.record_organisation(caller.organisation, details.get("reason"))
    gateway.log.info(
        "request_answered",
        request_id=request.id,
        route=route.name,
        status=status,
        elapsed_ms=round(elapsed_s * 1000),
        time_left_ms=round(caller.time_left_s * 1000),
        version=gateway.routes.configuration.version if gateway.routes else None,
        **describe_caller(caller),
        **(run.describe() if run is not None else {}),
        **details,
    )


def describe_caller(caller: Caller) -> dict[str, object]:
    """Return the log fields of a caller whose organisation is known; never its key."""
    if caller.organisation is None:
        return {}
    fields: dict[str, object] = {"tenant": caller.organisation.name}
    if caller.token is not None:
        fields |= {"token_of": caller.token.owner, "above_rate": caller.is_above_rate}
    return fields


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
    try:
        async for chunk in request.content.iter_any():
            size += len(chunk)
            if size > limit:
                return None
            chunks.append(chunk)
        return b"".join(chunks)
    finally:
        # The frames of an error keep them otherwise, until garbage is collected.
        chunks.clear()


def current_limits(gateway: Gateway) -> CallerLimits:
    """Return the limits of the current configuration, or the defaults before the first one."""
    if gateway.routes is None:
        return DEFAULT_LIMITS
    return gateway.routes.configuration.limits


def make_readiness_server(gateway: Gateway) -> InternalServer:
    """Return the server that tells the platform whether to route callers to this instance."""

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path != messages.READINESS_PATH:
            return web.Response(status=404)
        is_ready = gateway.is_ready and gateway.shutdown.phase is Phase.SERVING
        return web.Response(status=200 if is_ready else 503)

    return InternalServer(gateway, handle, InternalPort.READINESS)


def make_metrics_server(gateway: Gateway) -> InternalServer:
    """Return the server that serves the metrics in the Prometheus text format."""

    async def handle(request: web.BaseRequest) -> web.Response:
        return web.Response(text=gateway.metrics.render())

    return InternalServer(gateway, handle, InternalPort.METRICS)
