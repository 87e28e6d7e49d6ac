"""Passing a query to an instance next to the targets, and taking one."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from aiohttp import web
from multidict import CIMultiDict

from ..entry.shutdown import Phase
from ..store import make_session
from .delegation import DelegatePauses, choose_domain
from .model import FanOut, Route
from .placement import FOREIGN_ROUND_TRIP_S
from .query import Caller
from .relay import PeerClient
from .sender import OutgoingRequest
from .state import Gateway

QUERIES_PATH = "/v1/queries"
# An instance that does not take a query within this time is passed over: a round trip between
# failure domains, and the time in which half a core sends the parts of another query.
TAKE_TIMEOUT_S = 0.06
# Of the time to the goal, the way of the query and of its answer, and work at both ends.
WAY_S = FOREIGN_ROUND_TRIP_S + 0.003


CarryOut = Callable[[Gateway, OutgoingRequest, Route, Caller], Awaitable[web.Response]]


class QueryMessage(msgspec.Struct):
    """A query as it is passed on; times are in seconds from now.

    It is taken only with the same version of the configuration, so that versions never go back for
    a caller of either instance.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: list[tuple[str, str]]
    version: int
    time_left_s: float
    goal_left_s: float


class AnswerHead(msgspec.Struct):
    """Status and headers of the answer; its body follows behind a line break."""

    status: int
    headers: list[tuple[str, str]]


class NoAnswer(enum.Enum):
    """Why there is no answer of another instance."""

    # Nothing was run, and nothing will be.
    NOT_TAKEN = "not_taken"
    # It may have sent each part once.
    SILENT = "silent"
    # It had taken the query, and the connection ended before the answer.
    LOST = "lost"


class Delegates:
    """Passes queries on. Owned by one event loop; `close` ends the connections."""

    __slots__ = ("gateway", "peers", "pauses", "_session")

    def __init__(self, gateway: Gateway, peers: PeerClient) -> None:
        self.gateway = gateway
        self.peers = peers
        self.pauses = DelegatePauses()
        self._session = make_session()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def choose(self, request: OutgoingRequest, route: Route) -> str | None:
        """Return the instance that should carry out a query; None for this one."""
        destination = route.destination
        if not isinstance(destination, FanOut) or request.body or not route.is_idempotent:
            return None
        gateway = self.gateway
        settings = gateway.settings
        domains_by_service = {
            service: {
                target.entry.failure_domain
                for target in gateway.directory.usable(service)
                if not target.entry.is_draining
            }
            for service in destination.services
        }
        domain = choose_domain(settings.failure_domain, settings.instance, domains_by_service)
        if domain is None:
            return None
        others = [name for name, at in self.peers.domains_by_instance.items() if at == domain]
        return self.pauses.choose(settings.instance, others, gateway.now())

    async def send(
        self, name: str, request: OutgoingRequest, host: str, caller: Caller
    ) -> web.Response | NoAnswer:
        """Pass a query to an instance and return its answer."""
        gateway = self.gateway
        now = gateway.now()
        time_left_s = caller.arrived_at + caller.time_left_s - now
        message = QueryMessage(
            request_id=request.id,
            method=request.method,
            host=host,
            path=request.path,
            headers=[(str(name), value) for name, value in request.headers.items()],
            version=gateway.routes.configuration.version,
            time_left_s=time_left_s,
            goal_left_s=(caller.goal_at or now) - now - WAY_S,
        )
        result = await self._exchange(name, message, time_left_s)
        if isinstance(result, NoAnswer):
            self.pauses.note_failure(name, gateway.now())
            gateway.log.warning(
                "delegate_failed", request_id=request.id, instance_to=name, outcome=result.value
            )
        else:
            self.pauses.note_success(name)
        outcome = result.value if isinstance(result, NoAnswer) else "answered"
        gateway.metrics.count("gateway_delegated_total", outcome=outcome)
        return result

    async def _exchange(
        self, name: str, message: QueryMessage, time_left_s: float
    ) -> web.Response | NoAnswer:
        url = f"http://{self.peers.addresses_by_instance[name]}{QUERIES_PATH}"
        was_sent = was_taken = False
        try:
            async with asyncio.timeout(TAKE_TIMEOUT_S) as limit:
                timeout = aiohttp.ClientTimeout(total=None, sock_connect=TAKE_TIMEOUT_S / 2)
                data = msgspec.json.encode(message)
                was_sent = True
                async with self._session.post(url, data=data, timeout=timeout) as answer:
                    if answer.status != 200:
                        return NoAnswer.NOT_TAKEN
                    was_taken = True
                    limit.reschedule(asyncio.get_running_loop().time() + time_left_s)
                    return decode_response(await answer.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return NoAnswer.NOT_TAKEN
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, msgspec.DecodeError):
            if was_taken:
                return NoAnswer.LOST
            return NoAnswer.SILENT if was_sent else NoAnswer.NOT_TAKEN


def decode_response(body: bytes) -> web.Response:
    """Return the answer of another instance; ValueError if it cannot be read."""
    head, separator, rest = body.partition(b"\n")
    if not separator:
        raise ValueError("the answer has no head")
    decoded = msgspec.json.decode(head, type=AnswerHead)
    response = web.Response(status=decoded.status, body=rest)
    response.headers.clear()
    response.headers.extend(decoded.headers)
    return response


def encode_response(response: web.Response) -> bytes:
    """Encode an answer for the instance that the caller is connected to."""
    headers = [(str(name), value) for name, value in response.headers.items()]
    head = AnswerHead(response.status, headers)
    return msgspec.json.encode(head) + b"\n" + (response.body or b"")


async def take_query(
    gateway: Gateway, request: web.BaseRequest, carry_out: CarryOut
) -> web.StreamResponse:
    """Carry out another instance's query; tell at once that it is taken, or refuse it.

    The headers of the answer leave before the query has begun.
    """
    arrived_at = gateway.now()
    try:
        message = msgspec.json.decode(await request.read(), type=QueryMessage)
    except msgspec.DecodeError:
        return web.Response(status=400)
    routes = gateway.routes
    if routes is None or gateway.shutdown.phase is not Phase.SERVING:
        return web.Response(status=409)
    route = routes.find(message.host, message.path)
    is_other_version = routes.configuration.version != message.version
    if route is None or is_other_version or not isinstance(route.destination, FanOut):
        return web.Response(status=409)
    outgoing = OutgoingRequest(
        message.request_id, message.method, message.path, CIMultiDict(message.headers), b""
    )
    caller = Caller(arrived_at, message.time_left_s, arrived_at + message.goal_left_s)
    gateway.shutdown.begin()
    try:
        taken = web.StreamResponse()
        await taken.prepare(request)
        response = await carry_out(gateway, outgoing, route, caller)
        await taken.write(encode_response(response))
        await taken.write_eof()
    finally:
        gateway.shutdown.end()
    return taken
