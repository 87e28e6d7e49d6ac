"""Runs a case with a record and a temporary folder, and ends the processes that it started."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .fleet import Gateway
from .record import Record

BROKEN = 1
HELD = 0
NOT_RUN = 2
MAX_RUN_S = 115.0


class CannotRunError(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Case:
    """What a case has: its record, its folder, and the processes to end with it."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.gateways: list[Gateway] = []
        # Whether the disruption is played.
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"

    def make_gateway(self, name: str, zone: str, host: str, store: str) -> Gateway:
        """Return a process that ends with the case."""
        gateway = Gateway(self.record, name, zone, host, store, self.folder)
        self.gateways.append(gateway)
        return gateway


def run_case(script: str, play: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Play a case, which returns how the rule was broken, and exit with the status of it."""
    record = Record(Path(script).resolve().parent / "record.txt")
    status = NOT_RUN
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        case = Case(record, Path(folder))
        try:
            violations = asyncio.run(play_and_end(case, play))
            for violation in violations:
                record.add("broken", detail=violation)
                print(violation)
            status = BROKEN if violations else HELD
        except (CannotRunError, TimeoutError) as error:
            print(f"cannot run: {error!r}")
            record.add("not_run", detail=repr(error))
        except Exception:
            traceback.print_exc()
        if os.environ.get("KEEP_LOGS"):
            for path in Path(folder).glob("*.log"):
                (Path(os.environ["KEEP_LOGS"]) / path.name).write_bytes(path.read_bytes())
    record.add("end", status=status)
    sys.exit(status)


async def play_and_end(case: Case, play: Callable[[Case], Awaitable[list[str]]]) -> list[str]:
    """Play a case, and end its processes however it ends."""
    try:
        async with asyncio.timeout(MAX_RUN_S):
            return await play(case)
    finally:
        for gateway in case.gateways:
            await gateway.kill()
