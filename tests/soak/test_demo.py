"""Test of `make demo`."""

import asyncio
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_S = 120


class DemoTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a demo whose commands fail, or whose answers are wrong."""

    async def test_all_steps_end_as_expected(self):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "soak.demo"),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            async with asyncio.timeout(TIMEOUT_S):
                output, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        text = output.decode()
        self.assertEqual(process.returncode, 0, text)
        for expected in (
            "in force everywhere",
            "no status",
            "no part from s3",
            "answers checked, 0 problems",
        ):
            self.assertIn(expected, text)
