"""Helper of the tests that run the soak's programs."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_S = 60.0


async def run_module(
    *arguments: str, timeout_s: float = TIMEOUT_S, **variables: str
) -> tuple[int, str]:
    """Run a module from the repository; return its exit status and output.

    `variables` are added to the environment. Raise TimeoutError after `timeout_s`.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", *arguments),
        cwd=ROOT,
        env=os.environ | variables,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        async with asyncio.timeout(timeout_s):
            output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    return process.returncode, output.decode()
