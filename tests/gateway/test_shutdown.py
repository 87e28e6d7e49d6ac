"""Tests of the gateway's graceful shutdown."""

import asyncio
import unittest

from aiohttp import ClientError

from flamingostack.entry.shutdown import Phase

from .fakes import HOST, FakeTarget, GatewayCase, make_route, wait_until

REQUEST = (
    b"GET /one/x HTTP/1.1\r\nHost: search.example\r\nX-Request-Id: r1\r\n"
    b"X-Deadline-Milliseconds: 1000\r\n\r\n"
)


class ShutdownTest(GatewayCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a shutdown that aborts a request, or accepts one and never responds."""

    async def test_running_request_is_answered_and_its_connection_closed(self):
        async def slow(target, request):
            await asyncio.sleep(0.5)
            return target.answer(request)

        running = await self.start_gateway(
            {"one": [FakeTarget(slow)]},
            [make_route("one", service="one")],
            shutdown_grace_s=2.0,
        )
        pending = asyncio.create_task(running.get("/one/x"))
        await asyncio.sleep(0.1)
        await running.shut_down()
        status, headers, _ = await pending
        self.assertEqual((status, headers.get("Connection")), (200, "close"))

    async def test_connection_that_opens_as_idle_ones_are_closed_is_not_left_unread(self):
        running = await self.start_gateway(
            {"one": [FakeTarget()]},
            [make_route("one", service="one")],
            shutdown_grace_s=2.0,
        )
        running.gateway.shutdown.begin()
        ending = asyncio.create_task(running.shut_down())
        await wait_until(lambda: running.gateway.shutdown.phase is not Phase.SERVING)
        writers = []
        # Some of these connections are accepted in the same event-loop step in which idle ones are
        # closed.
        for _ in range(40):
            try:
                reader, writer = await asyncio.open_connection(HOST, running.port)
            except ConnectionError:
                break
            writers.append((reader, writer))
            await asyncio.sleep(0.03)
        results = []
        for _, writer in writers:
            writer.write(REQUEST)
        for reader, writer in writers:
            try:
                async with asyncio.timeout(0.2):
                    results.append(await reader.read(100))
            except ConnectionError:
                results.append(b"")
            except TimeoutError:
                results.append(None)
            writer.close()
        running.gateway.shutdown.end()
        await ending
        self.assertGreater(len(results), 10)
        self.assertNotIn(None, results)

    async def test_process_has_time_left_to_end_when_a_request_does_not(self):
        async def hang(target, request):
            await asyncio.sleep(30)

        running = await self.start_gateway(
            {"one": [FakeTarget(hang)]},
            [make_route("one", service="one", timeoutMs=30_000)],
            shutdown_grace_s=4.0,
        )
        pending = asyncio.create_task(
            running.get("/one/x", headers={"X-Deadline-Milliseconds": "30000"})
        )
        await wait_until(lambda: running.gateway.shutdown.running == 1)
        began_at = running.gateway.now()
        await running.shut_down()
        # In an incident, a process that took longer than 90% of the grace period was killed.
        self.assertLess(running.gateway.now() - began_at, 4.0 * 0.9)
        with self.assertRaises(ClientError):
            await pending

    async def test_not_ready_from_the_first_moment(self):
        running = await self.start_gateway(
            {"one": [FakeTarget()]}, [make_route("one", service="one")], shutdown_grace_s=1.0
        )
        url = f"http://{HOST}:{running.readiness_port}/-/readiness"
        async with running.session.get(url) as answer:
            self.assertEqual(answer.status, 200)
        ending = asyncio.create_task(running.shut_down())
        await asyncio.sleep(0)
        async with running.session.get(url) as answer:
            self.assertEqual(answer.status, 503)
        self.assertEqual((await running.get("/one/x"))[0], 200)
        await ending
