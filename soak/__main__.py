"""`make soak`: runs seeds and prints each broken promise; see docs/SOAK.md."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Annotated

import cyclopts

from .checks import find_broken_promises
from .faults import run_faults
from .world import World

FOLDER = Path("out/soak")
# After the last fault: the platform's `recoveryS`, shortened to what our processes need here.
CALM_S = 6.0
MEASURED_CALM_S = 2.5
MAX_SEED = 1_000_000

app = cyclopts.App(name="soak", help="Fault soak of the gateway on one machine.")


async def run_seed(seed: int, slot: int, duration_s: float) -> list[str]:
    """Run one seed and return what was broken."""
    folder = FOLDER / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    for path in folder.iterdir():
        path.unlink()
    world = World(seed, slot, folder)
    with (folder / "faults.log").open("w") as log:
        try:
            await world.start()
            await run_faults(world, duration_s, lambda line: print(line, file=log, flush=True))
            await asyncio.sleep(CALM_S - MEASURED_CALM_S)
            world.calm_from = world.now()
            await asyncio.sleep(MEASURED_CALM_S)
        finally:
            await world.stop()
        broken = find_broken_promises(world)
        for line in broken:
            print(line, file=log)
    counts = f"{len(world.ledger.outcomes_by_id)} requests, {len(world.ledger.arrivals)} arrivals"
    counts += f", late by {world.max_lag_s:.2f} s at most"
    print(f"seed {seed}: {len(broken)} broken promises, {counts}", flush=True)
    for line in broken[:10]:
        print(f"  {line}", flush=True)
    return broken


async def run_seeds(seeds: list[int], jobs: int, duration_s: float) -> int:
    """Run seeds, some at a time, and return how many broke a promise."""
    waiting = list(reversed(seeds))
    failed = 0

    async def work(slot: int) -> None:
        nonlocal failed
        while waiting:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "soak", "--seed", str(waiting.pop()), "--slot", str(slot)),
                *("--duration-s", str(duration_s)),
            )
            failed += bool(await process.wait())

    await asyncio.gather(*(work(slot) for slot in range(jobs)))
    return failed


@app.default
def soak(
    *,
    seed: Annotated[int | None, cyclopts.Parameter(help="run this seed only")] = None,
    count: Annotated[int, cyclopts.Parameter(help="number of fresh seeds")] = 4,
    minutes: Annotated[float | None, cyclopts.Parameter(help="fresh seeds for so long")] = None,
    duration_s: Annotated[float, cyclopts.Parameter(help="time with faults, each seed")] = 14.0,
    jobs: Annotated[int, cyclopts.Parameter(help="seeds at a time")] = 2,
    slot: Annotated[int, cyclopts.Parameter(help="address range of this run, 0 to 99")] = 0,
) -> None:
    """Run seeds; exit status 1 if a promise was broken."""
    if seed is not None:
        sys.exit(int(bool(asyncio.run(run_seed(seed, slot, duration_s)))))
    if minutes is not None:
        per_seed_s = duration_s + CALM_S + 8
        count = max(int(minutes * 60 / per_seed_s * jobs), 1)
    drawn = random.Random(time.time_ns())
    seeds = [drawn.randrange(MAX_SEED) for _ in range(count)]
    failed = asyncio.run(run_seeds(seeds, jobs, duration_s))
    print(f"{count - failed} passed, {failed} failed")
    sys.exit(int(failed > 0))


if __name__ == "__main__":
    app()
