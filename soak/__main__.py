"""`make soak`: run seeds and print the violations of each; see docs/SOAK.md."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Annotated, Literal

import cyclopts

from .checks import find_violations
from .faults import FAULTS_BY_PROFILE, run_faults
from .world import RECOVERY_CHECK_S, Environment

OUTPUT_FOLDER = Path("out/soak")
# Time from the last fault until the end of the run: the platform's `recoveryS`, shortened to what
# the processes need here.
RECOVERY_S = 6.0
MAX_SEED = 1_000_000
DEFAULT_PROFILE = "usual"
TENANTS_PROFILE = "tenants"
# Share of the seeds of other profiles in which requests need API keys.
TENANTS_SHARE = 0.3

app = cyclopts.App(name="soak", help="Fault soak of the gateway on one machine.")


async def run_seed(
    seed: int, slot: int, duration_s: float, profile: str = DEFAULT_PROFILE
) -> list[str]:
    """Run one seed and return its violations.

    Writes the faults, the violations and the logs of the instances to `out/soak/<seed>/`, after
    deleting the files of an earlier run there.
    """
    folder = OUTPUT_FOLDER / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    for path in folder.iterdir():
        path.unlink()
    # Drawn apart from all else, so that the faults of a seed stay the same.
    is_drawn = random.Random(f"tenants {seed}").random() < TENANTS_SHARE
    has_tenants = profile == TENANTS_PROFILE or is_drawn
    environment = Environment(seed, slot, folder, has_tenants)
    with (folder / "faults.log").open("w") as log:
        try:
            await environment.start()
            await run_faults(
                environment,
                duration_s,
                lambda line: print(line, file=log, flush=True),
                FAULTS_BY_PROFILE[profile],
            )
            await asyncio.sleep(RECOVERY_S - RECOVERY_CHECK_S)
            await environment.wait_for_recovery_check()
        finally:
            await environment.stop()
        violations = find_violations(environment)
        for line in violations:
            print(line, file=log)
    counts = (
        f"{len(environment.ledger.outcomes_by_id)} requests, "
        f"{len(environment.ledger.arrivals)} arrivals"
    )
    counts += ", with tenants" if has_tenants else ""
    counts += f", event loop late by {environment.max_lag_s:.2f} s at most"
    counts += f", processes grew by {environment.max_growth_bytes / 2**20:.1f} MiB at most"
    print(f"seed {seed}: {len(violations)} violations, {counts}", flush=True)
    for line in violations[:10]:
        print(f"  {line}", flush=True)
    return violations


async def run_seeds(seeds: list[int], jobs: int, duration_s: float, profile: str) -> int:
    """Run each seed in its own process, `jobs` at a time; return how many exited with an error."""
    remaining = list(reversed(seeds))
    failed = 0

    async def run_remaining(slot: int) -> None:
        nonlocal failed
        while remaining:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "soak", "--seed", str(remaining.pop()), "--slot", str(slot)),
                *("--duration-s", str(duration_s)),
                *("--profile", profile),
            )
            # Another job may count while this one waits.
            status = await process.wait()
            failed += bool(status)

    await asyncio.gather(*(run_remaining(slot) for slot in range(jobs)))
    return failed


@app.default
def soak(
    *,
    seed: Annotated[int | None, cyclopts.Parameter(help="run this seed only")] = None,
    count: Annotated[int, cyclopts.Parameter(help="number of fresh seeds")] = 4,
    minutes: Annotated[
        float | None, cyclopts.Parameter(help="run fresh seeds for about this long")
    ] = None,
    duration_s: Annotated[float, cyclopts.Parameter(help="time with faults in each seed")] = 14.0,
    jobs: Annotated[int, cyclopts.Parameter(help="seeds to run at the same time")] = 2,
    slot: Annotated[int, cyclopts.Parameter(help="address range of this run, 0 to 99")] = 0,
    profile: Annotated[
        Literal["usual", "hostile", "hostile-store", "notices", "followers", "returns", "tenants"],
        cyclopts.Parameter(
            help="faults: the usual, hostile bytes of peers, targets that ask for less, those of "
            "instances that others follow, a store that comes back from an older copy, or API keys "
            "that change and tenants that send too much"
        ),
    ] = DEFAULT_PROFILE,
) -> None:
    """Run seeds; exit with status 1 if there was a violation."""
    if seed is not None:
        sys.exit(int(bool(asyncio.run(run_seed(seed, slot, duration_s, profile)))))
    if minutes is not None:
        per_seed_s = duration_s + RECOVERY_S + 8
        count = max(int(minutes * 60 / per_seed_s * jobs), 1)
    rng = random.Random(time.time_ns())
    seeds = [rng.randrange(MAX_SEED) for _ in range(count)]
    failed = asyncio.run(run_seeds(seeds, jobs, duration_s, profile))
    print(f"{count - failed} passed, {failed} failed")
    sys.exit(int(failed > 0))


if __name__ == "__main__":
    app()
