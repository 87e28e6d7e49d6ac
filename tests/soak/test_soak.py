"""A short seeded run of the soak, and the seeds that have failed once."""

import asyncio
import sys
import unittest
from pathlib import Path
from unittest import mock

from soak import __main__ as soak_main

ROOT = Path(__file__).resolve().parents[2]
SHORT_S = 6
LIMIT_S = 60
SEEDS = (1,)
LONG_S = 14


class ExitStatusTest(unittest.TestCase):
    """Guards against a run that breaks a promise and is taken for a good one."""

    def test_broken_promise_ends_with_status_1(self):
        for broken, status in ((["stops: r1"], 1), ([], 0)):
            found = mock.AsyncMock(return_value=broken)
            with mock.patch.object(soak_main, "run_seed", found):
                with self.assertRaises(SystemExit) as ended:
                    soak_main.soak(seed=1)
                self.assertEqual(ended.exception.code, status)


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Guards against promises that are broken when faults overlap."""

    async def run_seed(self, seed: int, duration_s: int = SHORT_S) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "soak", "--seed", str(seed), "--duration-s", str(duration_s)),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(LIMIT_S):
                output, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        self.assertEqual(process.returncode, 0, output.decode())

    async def test_short_run_keeps_all_promises(self):
        for seed in SEEDS:
            await self.run_seed(seed)

    async def test_seed_556576(self):
        # Open: a request on a kept connection ended unanswered more than half a second after it was
        # sent to a stopping instance, and the instance's log does not name it. Seen once beside
        # a load average of 15; two runs on a quieter machine kept all promises.
        await self.run_seed(556576, LONG_S)
