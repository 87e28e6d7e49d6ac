"""Test of `make demo`."""

import unittest

from .support import run_module

TIMEOUT_S = 120.0


class DemoTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a demo whose commands fail, or whose answers are wrong."""

    async def test_all_steps_end_as_expected(self):
        status, text = await run_module("soak.demo", timeout_s=TIMEOUT_S)
        self.assertEqual(status, 0, text)
        for expected in (
            "in force everywhere",
            "no status",
            "no part from s3",
            "answers checked, 0 problems",
        ):
            self.assertIn(expected, text)
