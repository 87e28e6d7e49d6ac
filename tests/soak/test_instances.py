"""Tests of soak.instances: which exits of a process count as violations."""

import asyncio
import sys
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

from soak.instances import Instance, is_interpreter_starting
from soak.ledger import Ledger
from soak.world import BOUNDS
from tests.gateway.fakes import wait_until

# Stand-ins of the gateway process. Each prints a line when it has reached its state.
WITHOUT_HANDLER = (
    "import signal, time; signal.signal(signal.SIGHUP, signal.SIG_DFL); "
    "print('ready'); time.sleep(30)"
)
WITH_HANDLER = (
    "import os, signal, time; signal.signal(signal.SIGHUP, lambda *_: os._exit(4)); "
    "print('ready'); time.sleep(30)"
)
# A library with native code is loaded, and SIGHUP still ends the process.
WITH_LIBRARY_BUT_NO_HANDLER = "import aiohttp._http_parser; " + WITHOUT_HANDLER


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a soak that blames a SIGHUP that comes too early, or excuses a later one."""

    async def asyncSetUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        store_proxy = SimpleNamespace(host="127.0.0.1", config=SimpleNamespace(port=1))
        self.ledger = Ledger()
        self.instance = Instance(
            "front-a-0", "a", "127.0.0.1", store_proxy, Path(folder), self.ledger, BOUNDS
        )
        self.log = Path(folder, "front-a-0.log")

    async def reload(self, code: str) -> int:
        """Send SIGHUP to a stand-in, and return how many violations its exit left."""
        self.instance.command = (sys.executable, "-u", "-c", code)
        running = asyncio.create_task(self.instance.run())
        await wait_until(lambda: self.log.exists() and self.log.read_text())
        self.instance.reload()
        await wait_until(lambda: self.instance.process_number > 1)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return len(self.ledger.immediate_violations)

    async def test_sighup_before_the_program_runs_is_no_violation(self):
        self.assertEqual(await self.reload(WITHOUT_HANDLER), 0)

    async def test_sighup_that_ends_a_running_program_is_a_violation(self):
        self.assertEqual(await self.reload(WITH_LIBRARY_BUT_NO_HANDLER), 1)

    async def test_exit_of_the_programs_own_accord_is_a_violation(self):
        self.assertEqual(await self.reload(WITH_HANDLER), 1)

    async def test_a_process_that_has_ended_is_not_starting(self):
        process = await asyncio.create_subprocess_exec(sys.executable, "-c", "")
        await process.wait()
        self.assertFalse(is_interpreter_starting(process.pid))
