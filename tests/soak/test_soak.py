"""A short seeded run of the soak, and the seeds that have failed once."""

import asyncio
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SHORT_S = 6
LIMIT_S = 60
SEEDS = (1,)


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Guards against promises that are broken when faults overlap."""

    async def run_seed(self, seed: int) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "soak", "--seed", str(seed), "--duration-s", str(SHORT_S)),
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
