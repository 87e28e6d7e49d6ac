"""Tests of the gateway with callers that send without end."""

import asyncio
import contextlib
import time
import unittest
from unittest import mock

from standins.hostile import Step, Write, WriteEndlessly, play_steps

from .fakes import HOST, FakeTarget, GatewayCase, make_route

ROUTE = make_route("one", service="one")
HEAD = b"POST /one/x HTTP/1.1\r\nHost: search.example\r\nX-Request-Id: raw\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SECONDS = 0.6
# No peer may hold the loop for longer than 20 ms on half a core, that is 10 ms of processor time.
MAX_HELD_S = 0.01


class HeldTime:
    """Longest processor time that a callback of the caller's connections took."""

    def __init__(self) -> None:
        self.longest_s = 0.0

    def wrap(self, method):
        """Return a method that measures each call."""

        def measured(connection, data):
            before = time.process_time()
            try:
                return method(connection, data)
            finally:
                self.longest_s = max(self.longest_s, time.process_time() - before)

        return measured


class EndlessCallerTest(GatewayCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a caller that holds the loop, while all other requests wait."""

    async def check(self, *steps: Step) -> None:
        running = await self.start_gateway({"one": [FakeTarget()]}, [ROUTE])
        held = HeldTime()
        connection_class = type(running.server())
        measured = held.wrap(connection_class.data_received)
        with mock.patch.object(connection_class, "data_received", measured):
            playing = [asyncio.create_task(self.play(running.port, steps)) for _ in range(3)]
            await asyncio.sleep(SECONDS)
            status, _, _ = await running.get("/one/x", "r1")
            for task in playing:
                task.cancel()
        self.assertEqual(status, 200)
        self.assertLess(held.longest_s, MAX_HELD_S)

    async def play(self, port: int, steps: tuple[Step, ...]) -> None:
        """Send the steps on one connection after the other."""
        while True:
            _, writer = await asyncio.open_connection(HOST, port)
            with contextlib.suppress(ConnectionError):
                await play_steps(steps, writer.transport)
            writer.transport.abort()

    async def test_empty_lines(self):
        await self.check(WriteEndlessly(b"\r\n"))

    async def test_header_fields(self):
        await self.check(Write(HEAD), WriteEndlessly(b"a: b\r\n"))

    async def test_header_field(self):
        await self.check(Write(HEAD + b"a: "), WriteEndlessly(b"x"))

    async def test_short_chunks(self):
        await self.check(Write(CHUNKED), WriteEndlessly(b"1\r\nx\r\n"))

    async def test_chunk_extension(self):
        await self.check(Write(CHUNKED + b"1;"), WriteEndlessly(b"x"))

    async def test_trailers(self):
        await self.check(Write(CHUNKED + b"0\r\n"), WriteEndlessly(b"a: b\r\n"))

    async def test_pipelined_requests(self):
        request = b"GET /nowhere HTTP/1.1\r\nHost: search.example\r\n\r\n"
        await self.check(WriteEndlessly(request))
