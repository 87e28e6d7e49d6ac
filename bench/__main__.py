"""Run the experiments and print their results (`make measure`); see docs/MEASUREMENTS.md."""

from __future__ import annotations

import asyncio
import json
import sys
import tomllib
from pathlib import Path
from typing import Annotated, Any

import cyclopts
import uvloop

from standins.deployments import ASSINIBOINE, DUMALAGAN

from .experiment import BASELINE, TIER, Workload, make_scenarios, run_scenario
from .plot import write_plots
from .report import print_report, print_row

OUTPUT = Path("out")
WORKLOADS = {
    "dumalagan": Workload(
        deployment=DUMALAGAN.with_service("enquiry", service_ms=60.0),
        service="enquiry",
        classes={"lookup": 0.6, "enquiry": 0.4},
    ),
    "assiniboine": Workload(
        deployment=ASSINIBOINE,
        service="board",
        classes={"board": 1.0},
    ),
}

app = cyclopts.App(name="bench", help="Load and experiment tool of flamingostack.")


@app.default
def measure(
    *,
    users: Annotated[list[str] | None, cyclopts.Parameter(name="--user")] = None,
    scenarios: Annotated[list[str] | None, cyclopts.Parameter(name="--scenario")] = None,
    variants: Annotated[list[str] | None, cyclopts.Parameter(name="--variant")] = None,
    duration_s: float = 10.0,
    seed: int = 1,
    as_json: Annotated[bool, cyclopts.Parameter(name="--json")] = False,
) -> int:
    """Measure the tier and, for comparison, its baseline.

    Args:
        users: dumalagan or assiniboine; both by default.
        scenarios: stragglers, load-70, load-100, load-150 or domain-move; all by default.
        variants: tier or baseline; both by default.
        duration_s: seconds of load for each run.
        seed: random seed of the arrivals, service times and faults.
        as_json: print one JSON object instead of tables.

    """
    rows = asyncio.run(
        run_all(
            users=users or list(WORKLOADS),
            scenario_names=scenarios,
            variants=variants or [BASELINE, TIER],
            duration_s=duration_s,
            seed=seed,
            quiet=as_json,
        )
    )
    OUTPUT.mkdir(exist_ok=True)
    (OUTPUT / "measure.json").write_text(json.dumps(rows, indent=1))
    plots = write_plots(rows, OUTPUT)
    if as_json:
        print(json.dumps({"rows": rows, "plots": [str(path) for path in plots]}))
    else:
        print_report(rows, plots)
    return 0


async def run_all(
    users: list[str],
    scenario_names: list[str] | None,
    variants: list[str],
    duration_s: float,
    seed: int,
    quiet: bool,
) -> list[dict[str, Any]]:
    """Run the chosen scenarios one after another; return one row of results for each run."""
    rows = []
    for user in users:
        workload = WORKLOADS[user]
        preset = tomllib.loads(workload.deployment.preset_text("ordinary").decode())
        for scenario in make_scenarios(duration_s):
            if scenario_names and scenario.name not in scenario_names:
                continue
            for variant in variants:
                row = await run_scenario(workload, scenario, variant, preset, seed)
                rows.append({"user": user, **row})
                if not quiet:
                    print_row(rows[-1])
    return rows


if __name__ == "__main__":
    uvloop.install()
    sys.exit(app())
