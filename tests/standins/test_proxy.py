"""Tests of standins.proxy: a fault without effect would let tests pass that rely on it."""

import asyncio
import time
import unittest
from typing import Any

from standins.proxy import Listener, ListenerConfig, inject_fault

from .test_searcher import free_port


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """Tests of a listener in front of an echo server."""

    async def asyncSetUp(self):
        self.received = bytearray()
        self.ended = asyncio.Event()
        self.upstream = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        port = self.upstream.sockets[0].getsockname()[1]
        config = ListenerConfig(id="l", port=free_port(), upstream=f"127.0.0.1:{port}")
        self.listener = Listener(config, "127.0.0.1", seed=1)
        await self.listener.listen()
        self.writers: list[asyncio.StreamWriter] = []

    async def asyncTearDown(self):
        self.listener.cut()
        for writer in self.writers:
            writer.close()
        await self.listener.set_refusing(True)
        self.upstream.close()
        # The echo tasks need a moment to notice the end of their connections.
        await asyncio.sleep(0.02)

    async def echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                self.received += data
                writer.write(data)
        except ConnectionError:
            pass
        self.ended.set()
        writer.close()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.config.port)
        self.writers.append(writer)
        return reader, writer

    async def exchange(self, pair: tuple, data: bytes, wait_s: float = 1) -> bytes:
        reader, writer = pair
        writer.write(data)
        return await asyncio.wait_for(reader.readexactly(len(data)), wait_s)

    async def inject(self, fault: str, **options: Any) -> None:
        self.assertTrue(await inject_fault(self.listener, {"fault": fault, **options}))

    async def test_bytes_pass_in_order_with_the_delay(self):
        """Guards against a proxy that reorders bytes or does not delay them."""
        await self.inject("delay", delay_ms=30, jitter_ms=10, loss=0.3, retransmit_ms=20)
        pair = await self.connect()
        await self.exchange(pair, b"first")
        data = bytes(range(256)) * 8192
        started = time.monotonic()
        self.assertEqual(await self.exchange(pair, data, wait_s=10), data)
        self.assertGreater(time.monotonic() - started, 0.059)

    async def test_end_of_stream_passes(self):
        """Guards against upstream connections that stay open after the client closed its own."""
        _, writer = await self.connect()
        writer.write(b"x")
        writer.close()
        await asyncio.wait_for(self.ended.wait(), 1)
        self.assertEqual(bytes(self.received), b"x")
        await asyncio.sleep(0.05)
        self.assertEqual(self.listener.to_json()["open"], 0)

    async def test_cut_resets_and_refuse_refuses(self):
        """Guards against connections that survive a cut, or a refusing listener that accepts."""
        pair = await self.connect()
        await self.exchange(pair, b"x")
        await self.inject("cut")
        self.assertTrue(pair[0].at_eof() or await self.read_end(pair[0]))
        await self.inject("refuse")
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()
        await self.inject("refuse", on=False)
        await self.exchange(await self.connect(), b"y")

    async def read_end(self, reader: asyncio.StreamReader) -> bool:
        try:
            return await asyncio.wait_for(reader.read(1), 1) == b""
        except ConnectionError:
            return True

    async def test_drop_in_one_direction(self):
        """Guards against a one-way drop that affects the wrong direction or both.

        A connection that lost bytes must also be reset when the fault ends.
        """
        pair = await self.connect()
        await self.exchange(pair, b"a")
        await self.inject("drop", direction="down")
        with self.assertRaises(TimeoutError):
            await self.exchange(pair, b"b", wait_s=0.1)
        self.assertEqual(bytes(self.received), b"ab")
        await self.inject("drop", direction="up")
        with self.assertRaises(TimeoutError):
            await self.exchange(pair, b"c", wait_s=0.1)
        self.assertEqual(bytes(self.received), b"ab")
        await self.inject("drop", direction="")
        self.assertTrue(await self.read_end(pair[0]))
        await self.exchange(await self.connect(), b"d")

    async def test_silent_connections_stay_silent_and_new_ones_work(self):
        """Guards against silent connections that pass data again, or new ones that are silent."""
        self.listener.config.half_open_ms = 150
        old = await self.connect()
        await self.exchange(old, b"a")
        await self.inject("silent")
        with self.assertRaises(TimeoutError):
            await self.exchange(old, b"b", wait_s=0.1)
        await self.exchange(await self.connect(), b"c")
        self.assertEqual(bytes(self.received), b"ac")
        old[1].close()
        await asyncio.sleep(0.05)
        self.assertFalse(self.ended.is_set())
        await asyncio.wait_for(self.ended.wait(), 1)

    async def test_pause_holds_and_then_delivers(self):
        """Guards against a pause that loses bytes or does not hold them back."""
        pair = await self.connect()
        await self.exchange(pair, b"a")
        await self.inject("pause")
        pair[1].write(b"bc")
        await asyncio.sleep(0.05)
        self.assertEqual(bytes(self.received), b"a")
        await self.inject("pause", on=False)
        self.assertEqual(await asyncio.wait_for(pair[0].readexactly(2), 1), b"bc")
