"""Tests of the gateway with callers that send without end."""

import asyncio
import contextlib
import unittest
from unittest import mock

from aiohttp import web

from flamingostack.gateway.server import make_readiness_server
from standins.hostile import Step, Write, WriteEndlessly, play_steps

from .fakes import (
    HOST,
    MAX_HELD_S,
    FakeTarget,
    GatewayCase,
    HeldTime,
    RunningGateway,
    make_route,
)

ROUTE = make_route("one", service="one")
HEAD = b"POST /one/x HTTP/1.1\r\nHost: search.example\r\nX-Request-Id: raw\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SECONDS = 0.6


class EndlessCallerTest(GatewayCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a caller that holds the loop, while all other requests wait."""

    def pick_server(self, running: RunningGateway) -> tuple[web.Server, int]:
        """Return the server to which the bytes are sent, and its port."""
        return running.server, running.port

    async def check(self, *steps: Step) -> None:
        running = await self.start_gateway({"one": [FakeTarget()]}, [ROUTE])
        server, port = self.pick_server(running)
        held = HeldTime()
        connection_class = type(server())
        measured = held.wrap(connection_class.data_received)
        with mock.patch.object(connection_class, "data_received", measured):
            playing = [asyncio.create_task(self.play(port, steps)) for _ in range(3)]
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


class EndlessPeerTest(EndlessCallerTest):
    """Guards against another instance, or whoever reaches its port, that does the same."""

    def pick_server(self, running):
        return running.relay_server, running.relay_port


class EndlessProbeTest(EndlessCallerTest):
    """Guards against whoever reaches the port for readiness, and does the same."""

    def pick_server(self, running):
        return make_readiness_server(running.gateway), running.readiness_port
