"""Tests of flamingostack.dispatch.main: graceful shutdown and the status listener."""

import asyncio
import signal
import socket
import sys
import tempfile
import unittest

import aiohttp

from flamingostack.dispatch.main import Dispatch

from .support import OK, SETTINGS, DispatchHarness, FakeSearcher, make_target, wait_until


def find_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a shutdown that interrupts requests, refuses too early, or never ends."""

    async def asyncSetUp(self):
        self.searcher = FakeSearcher()
        await self.searcher.start()
        self.status = f"127.0.0.1:{find_port()}"
        self.harness = DispatchHarness(f'status_listen = "{self.status}"', port=find_port())
        self.dispatch = Dispatch(self.harness.environment)
        self.harness.feed = self.dispatch.feed
        self.harness.ownership = self.dispatch.ownership
        await self.dispatch.start()
        self.harness.update([make_target(self.searcher.address)])

    async def asyncTearDown(self):
        await self.searcher.stop()

    async def test_serves_until_the_grants_are_withdrawn_and_finishes_requests(self):
        stopping = asyncio.create_task(self.dispatch.shut_down())
        await asyncio.sleep(0.05)
        self.assertTrue(self.harness.feed.shutting_down)
        self.assertEqual((await self.harness.send_and_wait()).status, OK)
        self.searcher.mode = "wait"
        running = self.harness.send()
        await wait_until(lambda: self.searcher.running)
        self.harness.update(grants=())
        await asyncio.sleep(0.1)
        self.assertFalse(self.harness.feed.finished)
        self.assertEqual((await self.harness.send_and_wait()).reason, "not_owner")
        self.searcher.can_respond.set()
        self.assertEqual((await self.harness.wait_reply(running)).status, OK)
        await asyncio.wait_for(stopping, 3)
        self.assertTrue(self.harness.feed.finished)

    async def test_ends_when_control_is_gone(self):
        stopping = asyncio.create_task(self.dispatch.shut_down())
        await asyncio.sleep(0.05)
        lease_ms = self.harness.environment.settings.fleet.lease_ms
        self.harness.clock_offset_ns += 1_000_000 * (self.harness.lease_ms + lease_ms)
        await asyncio.wait_for(stopping, 3)

    async def test_metrics_and_explain(self):
        await self.harness.send_and_wait()
        async with aiohttp.ClientSession() as session:
            response = await session.get(f"http://{self.status}/metrics")
            self.assertIn('replies_total{reason="",status="ok"} 1', await response.text())
            response = await session.get(f"http://{self.status}/explain/r1")
            self.assertEqual((await response.json())["sub_requests"][0]["status"], "ok")
        self.harness.update(grants=())
        await self.dispatch.shut_down()


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a process that does not start, or does not end on SIGTERM without control."""

    async def test_sigterm_ends_the_process_with_status_0(self):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(SETTINGS.format(port=find_port(), dispatch=""))
            file.flush()
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "flamingostack.dispatch", "--settings", file.name),
                stderr=asyncio.subprocess.PIPE,
            )
            self.assertIn(b"event='listening'", await process.stderr.readline())
            process.send_signal(signal.SIGTERM)
            await asyncio.wait_for(process.communicate(), 5)
            self.assertEqual(process.returncode, 0)


if __name__ == "__main__":
    unittest.main()
