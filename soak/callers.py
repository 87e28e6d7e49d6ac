"""Callers of the soak, which send requests to instances over persistent connections."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING

import aiohttp
from multidict import CIMultiDict

from flamingostack.store import make_session

from .instances import CALLER_PORT, Instance
from .ledger import Ledger, Outcome
from .sockets import CallerSocket
from .tenants import PROBE_TENANT, PUBLIC_ROUTE, draw_headers, read_key

if TYPE_CHECKING:
    from .world import Environment

HOST_NAME = "soak.example"
# Sent with each request; the caller waits for the response 0.5 s longer.
DEADLINE_S = 2.0
# Mean rate of one caller while no request is in flight.
REQUESTS_PER_S = 7.0
# Share of the requests that a caller cancels 5 to 50 ms after sending.
ABANDON_PROBABILITY = 0.02
PAUSE_AFTER_FAILURE_S = 0.1
# Routes and the methods of their requests; callers choose routes with equal probability. Where
# requests need keys there is a public route as well.
METHODS_BY_ROUTE = {"all": "GET", "few": "GET", "one": "GET", "book": "POST"}


class Caller:
    """Sends requests to one instance over one connection, one at a time."""

    request_numbers = itertools.count(1)

    def __init__(self, environment: Environment, instance: Instance, rng: random.Random) -> None:
        self.environment = environment
        self.ledger: Ledger = environment.ledger
        self.instance = instance
        self.rng = rng
        # Whose key it sends, where requests need one.
        self.tenant = PROBE_TENANT
        # That of the latest connection.
        self._socket: CallerSocket | None = None

    def make_session(self) -> aiohttp.ClientSession:
        """Return a session with one connection at a time."""

        def make_socket(address: tuple) -> CallerSocket:
            self._socket = self.environment.close_watch.make_socket(address)
            return self._socket

        return make_session(connector=aiohttp.TCPConnector(limit=1, socket_factory=make_socket))

    async def run(self, requests_per_s: float = REQUESTS_PER_S) -> None:
        """Send requests to random routes at random intervals until cancelled."""
        async with self.make_session() as session:
            while True:
                await asyncio.sleep(self.rng.expovariate(requests_per_s))
                outcome = await self.send(session, self.rng.choice(self.list_routes()))
                if outcome.status != 200:
                    await asyncio.sleep(PAUSE_AFTER_FAILURE_S)

    def list_routes(self) -> list[str]:
        """Return the routes that requests choose from."""
        public_routes = [PUBLIC_ROUTE] if self.environment.tenants is not None else []
        return [*METHODS_BY_ROUTE, *public_routes]

    async def probe(self) -> None:
        """Request the route of the newest configuration version every 0.2 s until cancelled."""
        async with self.make_session() as session:
            while True:
                await asyncio.sleep(0.2)
                await self.send(session, f"v{self.environment.version}")

    async def send(self, session: aiohttp.ClientSession, route: str) -> Outcome:
        """Send one request and record its outcome."""
        loop = asyncio.get_running_loop()
        request_number = next(self.request_numbers)
        method = METHODS_BY_ROUTE.get(route, "GET")
        outcome = Outcome(
            request_id=f"r{request_number}",
            route=route,
            instance=self.instance.name,
            process_number=self.instance.process_number,
            method=method,
            path=f"/{route}/{request_number}?q=a%20b",
            body=f"body of {request_number}".encode() if method == "POST" else b"",
            sent_at=loop.time(),
        )
        self.ledger.outcomes_by_id[outcome.request_id] = outcome
        is_abandoned = route in METHODS_BY_ROUTE and self.rng.random() < ABANDON_PROBABILITY
        timeout_s = self.rng.uniform(0.005, 0.05) if is_abandoned else DEADLINE_S + 0.5
        try:
            async with asyncio.timeout(timeout_s):
                await self.exchange(session, outcome)
        except TimeoutError:
            outcome.error = "gave up" if is_abandoned else "no answer in time"
        except aiohttp.ClientConnectorError as error:
            outcome.error = repr(error)
        except (aiohttp.ClientError, OSError) as error:
            outcome.was_connected = True
            outcome.error = repr(error)
        outcome.ended_at = loop.time()
        if self._socket is not None and self._socket.sent_at >= outcome.sent_at:
            outcome.written_at = self._socket.sent_at
            outcome.closed_at = self._socket.closed_at
        return outcome

    def make_tenant_fields(self, outcome: Outcome) -> list[tuple[str, str]]:
        """Return the header fields by which a request names its tenant, and record its key."""
        tenants = self.environment.tenants
        if tenants is None:
            return []
        if self.tenant == PROBE_TENANT:
            key = tenants.keys_by_tenant[PROBE_TENANT][0]
            fields = [("Authorization", f"Bearer {key.text}")]
        else:
            fields = draw_headers(tenants, self.tenant, self.rng)
        outcome.key = read_key(fields)
        return fields

    async def exchange(self, session: aiohttp.ClientSession, outcome: Outcome) -> None:
        """Send the request and read the whole response into `outcome`."""
        headers = CIMultiDict(
            {
                "Host": HOST_NAME,
                "X-Request-Id": outcome.request_id,
                "X-Deadline-Milliseconds": str(int(DEADLINE_S * 1000)),
            }
        )
        headers.extend(self.make_tenant_fields(outcome))
        url = f"http://{self.instance.host}:{CALLER_PORT}{outcome.path}"
        async with session.request(
            outcome.method,
            url,
            headers=headers,
            data=outcome.body or None,
        ) as response:
            body = await response.read()
            outcome.was_connected = True
            outcome.headers = dict(response.headers)
            outcome.response_body = body
            outcome.status = response.status
