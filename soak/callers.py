"""Callers of the soak: open connections that are kept until the process closes them."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING

import aiohttp

from flamingostack.store import make_session

from .instances import CALLER_PORT, Instance
from .ledger import Ledger, Outcome

if TYPE_CHECKING:
    from .world import World

HOST_NAME = "soak.example"
TIME_LIMIT_S = 2.0
RATE_PER_S = 7.0
GIVE_UP_SHARE = 0.02
PAUSE_AFTER_FAILURE_S = 0.1
# Routes with the method that callers use; the share of each is drawn evenly.
METHODS_BY_ROUTE = {"all": "GET", "few": "GET", "one": "GET", "book": "POST"}


class Caller:
    """Sends one request after the other to one instance."""

    numbers = itertools.count(1)

    def __init__(self, world: World, instance: Instance, rng: random.Random) -> None:
        self.world = world
        self.ledger: Ledger = world.ledger
        self.instance = instance
        self.rng = rng

    async def run(self) -> None:
        """Send until cancelled."""
        async with make_session(connector=aiohttp.TCPConnector(limit=1)) as session:
            while True:
                await asyncio.sleep(self.rng.expovariate(RATE_PER_S))
                outcome = await self.send(session, self.rng.choice(list(METHODS_BY_ROUTE)))
                if outcome.status != 200:
                    await asyncio.sleep(PAUSE_AFTER_FAILURE_S)

    async def probe(self) -> None:
        """Ask for the route of the newest version, again and again."""
        async with make_session(connector=aiohttp.TCPConnector(limit=1)) as session:
            while True:
                await asyncio.sleep(0.2)
                await self.send(session, f"v{self.world.version}")

    async def send(self, session: aiohttp.ClientSession, route: str) -> Outcome:
        """Send one request and note how it ended."""
        loop = asyncio.get_running_loop()
        number = next(self.numbers)
        method = METHODS_BY_ROUTE.get(route, "GET")
        outcome = Outcome(
            request_id=f"r{number}",
            route=route,
            instance=self.instance.name,
            boot=self.instance.boot,
            method=method,
            path=f"/{route}/{number}?q=a%20b",
            body=f"body of {number}".encode() if method == "POST" else b"",
            sent_at=loop.time(),
        )
        self.ledger.outcomes_by_id[outcome.request_id] = outcome
        gives_up = route in METHODS_BY_ROUTE and self.rng.random() < GIVE_UP_SHARE
        limit_s = self.rng.uniform(0.005, 0.05) if gives_up else TIME_LIMIT_S + 0.5
        try:
            async with asyncio.timeout(limit_s):
                await self.exchange(session, outcome)
        except TimeoutError:
            outcome.error = "gave up" if gives_up else "no answer in time"
        except aiohttp.ClientConnectorError as error:
            outcome.error = repr(error)
        except (aiohttp.ClientError, OSError) as error:
            outcome.was_connected = True
            outcome.error = repr(error)
        outcome.ended_at = loop.time()
        return outcome

    async def exchange(self, session: aiohttp.ClientSession, outcome: Outcome) -> None:
        """Send the request and read the whole answer."""
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": outcome.request_id,
            "X-Deadline-Milliseconds": str(int(TIME_LIMIT_S * 1000)),
        }
        url = f"http://{self.instance.host}:{CALLER_PORT}{outcome.path}"
        async with session.request(
            outcome.method, url, headers=headers, data=outcome.body or None
        ) as answer:
            body = await answer.read()
            outcome.was_connected = True
            outcome.headers = dict(answer.headers)
            outcome.answer = body
            outcome.status = answer.status
