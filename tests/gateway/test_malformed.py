"""Tests of the whole gateway with malformed messages of each kind."""

import asyncio
import contextlib
import random
import unittest

from .fakes import HOST, FakeTarget, GatewayCase, make_configuration, make_route, wait_until

ROUTE = make_route("one", service="one")
KINDS = ("config", "servers", "evacuations", "flamingostack-instances")
ODD_VALUES = (
    None,
    True,
    7,
    -1.5,
    "text",
    [],
    [[1]],
    {},
    {"": None},
    {"address": 5},
    {"address": "127.0.0.1:99999999999", "service": "one", "state": "ready"},
    {"address": "x" * 5000, "failure_domain": {}},
    {"version": "9", "routes": 3},
    {"version": 10**30, "routes": [], "services": []},
    {"version": 50, "routes": [None], "services": [None], "limits": []},
    {"version": 51, "routes": [{"name": []}], "services": [{"name": {}}], "limits": {"a": "b"}},
)
ODD_QUERIES = (
    "wait_ms=0&config=--5",
    "wait_ms=0&config=%C2%B2",
    "wait_ms=0&config=" + "9" * 5000,
    "wait_ms=%D9%A3&config=1",
    "wait_ms=" + "9" * 5000 + "&config=1",
    "wait_ms=0&config=1&instance=front-a-1&requests=" + "9" * 5000 + "&observations=[[1",
    "wait_ms=0&config=1&instance=front-a-1&requests=1&observations=%5B%5B%22t%22%5D%5D",
    "&&&=&%",
)


class MalformedTest(GatewayCase, unittest.IsolatedAsyncioTestCase):
    """Guards against one malformed message that takes the process, or a part of it, down."""

    async def start(self):
        return await self.start_gateway({"one": [FakeTarget()]}, [ROUTE])

    async def check_serves(self, running, request_id: str) -> None:
        """Check that a request is answered, and that news of the store are still applied."""
        self.assertEqual((await running.get("/one/x", request_id))[0], 200)
        for task in running.tasks:
            self.assertFalse(task.done())

    async def test_objects_of_the_store(self):
        running = await self.start()
        for number, value in enumerate(ODD_VALUES):
            for kind in KINDS:
                self.store.put(kind, "main" if kind == "config" else f"odd-{number}", value)
            await asyncio.sleep(0.02)
            await self.check_serves(running, f"r{number}")
        version = running.gateway.routes.configuration.version
        newer = max(version, 60) + 1
        self.store.put("config", "main", make_configuration(newer, [ROUTE], ["one"]))
        await wait_until(lambda: running.gateway.routes.configuration.version == newer)
        await self.check_serves(running, "last")
        failed = [event for event in running.events if event["event"] == "feed_failed"]
        self.assertEqual(failed, [])

    async def test_polls_of_other_instances(self):
        running = await self.start()
        for number, query in enumerate(ODD_QUERIES):
            url = f"http://{HOST}:{running.relay_port}/v1/feeds?{query}"
            async with running.session.get(url, allow_redirects=False) as answer:
                self.assertIn(answer.status, (200, 400, 404), query[:40])
            await self.check_serves(running, f"r{number}")

    async def test_bytes_of_callers_and_of_other_instances(self):
        running = await self.start()
        choices = random.Random(7)
        whole = b"GET /one/x HTTP/1.1\r\nHost: search.example\r\nX-Request-Id: raw\r\n\r\n"
        for number in range(60):
            data = bytearray(whole)
            for _ in range(choices.randrange(1, 6)):
                data[choices.randrange(len(data))] = choices.randrange(256)
            for port in (running.port, running.relay_port, running.readiness_port):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(bytes(data))
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(0.02):
                        await reader.read(100)
                writer.close()
            await self.check_serves(running, f"r{number}")
