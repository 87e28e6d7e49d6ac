"""Stand-ins for the platform's store and its targets, and a gateway that runs in the test."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Awaitable, Callable
from unittest import mock

import aiohttp
import structlog
from aiohttp import web
from yarl import URL

from flamingostack.gateway import sender
from flamingostack.gateway.feeds import StoreStatus, make_feeds
from flamingostack.gateway.follower import Follower
from flamingostack.gateway.main import listen, shut_down
from flamingostack.gateway.model import InstanceSettings
from flamingostack.gateway.relay import PeerClient, make_relay_server
from flamingostack.gateway.sender import Sender
from flamingostack.gateway.server import CallerServer, make_readiness_server
from flamingostack.gateway.state import Gateway
from flamingostack.metrics import Metrics
from flamingostack.platform.objects import ObjectStore
from standins.objects import HOST, FakeObjectStore, start_server

RECORD_BYTES = 16
CONNECT_TIMEOUT_S = 3.0


Behaviour = Callable[["FakeTarget", web.BaseRequest], Awaitable[web.StreamResponse]]


class FakeTarget:
    """A target that answers with one record and a signature, or as `behaviour` says."""

    numbers = itertools.count(1)

    def __init__(self, behaviour: Behaviour | None = None) -> None:
        self.id = f"i-{next(self.numbers)}"
        # Nobody listens there before the start.
        self.port = 1
        self.behaviour = behaviour
        self.requests: list[web.BaseRequest] = []
        self.bodies: list[bytes] = []
        self.cancelled = 0
        self.record = self.id.encode().ljust(RECORD_BYTES, b".")

    async def start(self) -> None:
        """Listen."""
        self.server = web.Server(self._serve, access_log=None, handler_cancellation=True)
        self._listener, self.port = await start_server(self.server)

    async def stop(self) -> None:
        """Stop."""
        self._listener.close()
        await self.server.shutdown(0.01)

    def entry(self, service: str, failure_domain: str = "a", **fields) -> dict:
        """Return the entry that the target writes into the store."""
        return {
            "service": service,
            "address": f"{HOST}:{self.port}",
            "zone": failure_domain,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        } | fields

    def answer(self, request: web.BaseRequest) -> web.Response:
        """Return the usual answer."""
        request_id = request.headers["X-Request-Id"]
        return web.Response(
            body=self.record,
            headers={
                "X-Request-Id": request_id,
                "X-Response-Stamp": f"{request_id}.{self.id}",
                "X-Server-Load": "1,0,4",
            },
        )

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.headers.get("X-Expected-Instance") != self.id:
            return web.Response(status=421, headers={"X-Instance-Id": self.id})
        self.requests.append(request)
        try:
            self.bodies.append(await request.read())
            if self.behaviour is not None:
                return await self.behaviour(self, request)
            return self.answer(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


def make_route(name: str, **fields) -> dict:
    """Return a route as operators write it."""
    return {
        "name": name,
        "host": "search.example",
        "pathPrefix": f"/{name}/",
        "kind": "safe",
        "timeoutMs": 1000,
        "targetLatencyMs": 300,
        "priority": 1,
        "maxAttempts": 2,
    } | fields


def make_configuration(version: int, routes: list[dict], services: list[str], **fields) -> dict:
    """Return a version of the configuration as operators write it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "maxConnections": 40, "coldPerS": 0.0, "coldStartS": 3.0} | fields
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1000,
            "headerTimeoutMs": 300,
            "idleTimeoutMs": 15000,
        },
    }


def make_settings(store_url: str, caller_port: int = 0, **fields) -> InstanceSettings:
    """Return the settings of an instance in failure domain a."""
    return InstanceSettings(
        **{
            "instance": "front-a-1",
            "failure_domain": "a",
            "caller_address": (HOST, caller_port),
            "readiness_address": (HOST, 0),
            "peer_address": (HOST, 1),
            "metrics_host": HOST,
            "store_url": store_url,
            "store_history_s": 20.0,
            "shutdown_grace_s": 6.0,
            "extra_send_ratio": 0.2,
            "extra_send_slack": 50.0,
            "extra_send_window_s": 10.0,
            "cold_overshoot": 1.5,
            "cold_slack": 5.0,
        }
        | fields
    )


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition, for ten seconds at most."""
    async with asyncio.timeout(10):
        while True:
            if condition():
                return
            await asyncio.sleep(0.005)


class RunningGateway:
    """A gateway in the test's event loop, with a client that sends as callers do."""

    def __init__(self, store: FakeObjectStore, **settings) -> None:
        self.store = store
        self.settings = make_settings(store.url, **settings)
        self.events: list[dict] = []

    async def start(self) -> None:
        """Start, and wait until it is ready."""
        loop = asyncio.get_running_loop()
        log = structlog.wrap_logger(
            structlog.PrintLogger(),
            processors=[self._keep_event],
            # Tests of other processes set a level for all loggers that do not name their own.
            wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG),
        )
        self.gateway = Gateway(self.settings, log, Metrics(), loop.time, Sender())
        # As after the first window of a process: the slack of the budget may be used.
        self.gateway.budget.started_at -= self.settings.extra_send_window_s
        self.objects = ObjectStore(self.store.url)
        self.peers = PeerClient()
        self.store_status = StoreStatus(loop.time)
        self.feeds_by_kind = make_feeds(self.gateway, self.objects, self.peers, self.store_status)
        self.follower = Follower(self.gateway, self.feeds_by_kind, self.store_status, self.peers)
        self.tasks = [asyncio.create_task(feed.run()) for feed in self.feeds_by_kind.values()]
        self.tasks.append(asyncio.create_task(self.follower.run()))
        self.relay_server = make_relay_server(self.feeds_by_kind, self.store_status)
        self.relay = await listen(self.relay_server, (HOST, 0))
        self.relay_port = self.relay.sockets[0].getsockname()[1]
        self.server = CallerServer(self.gateway)
        self.listener = await listen(self.server, (HOST, 0))
        self.port = self.listener.sockets[0].getsockname()[1]
        self.readiness = await listen(make_readiness_server(self.gateway), (HOST, 0))
        self.readiness_port = self.readiness.sockets[0].getsockname()[1]
        self.session = aiohttp.ClientSession(
            auto_decompress=False, skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent")
        )

    def _keep_event(self, logger, method, event: dict) -> dict:
        self.events.append(event)
        raise structlog.DropEvent

    async def shut_down(self) -> None:
        """Run the graceful shutdown."""
        await shut_down(self.gateway, self.server, self.listener)

    async def stop(self) -> None:
        """Stop everything at once."""
        await self.session.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.listener.close()
        self.readiness.close()
        self.relay.close()
        await self.server.shutdown(0.01)
        await self.relay_server.shutdown(0.01)
        await self.objects.close()
        await self.peers.close()
        await self.gateway.sender.close()

    async def get(self, path: str, request_id: str = "r1", **options) -> tuple:
        """Send a request; return status, headers and body."""
        headers = {
            "Host": "search.example",
            "X-Request-Id": request_id,
            "X-Deadline-Milliseconds": "1000",
        } | options.pop("headers", {})
        method = options.pop("method", "GET")
        url = URL(f"http://{HOST}:{self.port}{path}", encoded=True)
        async with self.session.request(method, url, headers=headers, **options) as answer:
            return answer.status, answer.headers, await answer.read()


class GatewayCase:
    """Set-up of tests with a store, targets and a gateway; mixed into a test case."""

    async def start_gateway(
        self,
        targets_by_service: dict[str, list[FakeTarget]],
        routes: list[dict],
        domains: dict[str, str] | None = None,
        **settings,
    ) -> RunningGateway:
        """Start a gateway that knows the targets and the routes.

        It waits longer for connections than in production: on a busy machine this process was once
        not scheduled for 0.76 s, and a connection made meanwhile counted as timed out.
        """
        patched = mock.patch.object(sender, "CONNECT_TIMEOUT_S", CONNECT_TIMEOUT_S)
        patched.start()
        self.addCleanup(patched.stop)
        self.store = FakeObjectStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        for service, targets in targets_by_service.items():
            for target in targets:
                await target.start()
                self.addAsyncCleanup(target.stop)
                domain = (domains or {}).get(target.id, "a")
                self.store.put("servers", target.id, target.entry(service, domain))
        services = list(targets_by_service)
        self.store.put("config", "main", make_configuration(7, routes, services))
        running = RunningGateway(self.store, **settings)
        await running.start()
        self.addAsyncCleanup(running.stop)
        await wait_until(lambda: running.gateway.is_ready)
        return running
