"""DRAIN: machines that follow others never learn that a searcher has left while it was cold."""

from __future__ import annotations

import asyncio
import random
import time

from harness.deployment import HOST_NAME, Deployment, Gateway, run_case
from harness.requester import Outcome, Requester
from harness.searcher import Run, Searcher

ZONE = "pw-regina"
MACHINES = 7
SEARCHERS = 40
# `scale_in` takes a share of 0.13.
LEAVING = 5
DRAIN_TIMEOUT_S = 5.0
STABILITY_WINDOW_S = 5.0
HEARTBEAT_S = 1.2
COLD_START_S = 3.0
# Searchers leave while all of them are cold.
COLD_FOR_S = 1.6
# They serve for the drain timeout and a little longer, at times many seconds.
SERVE_AFTER_LEAVING_S = 14.0
# Allowance for the stand-ins, which share a machine with the gateways.
SLACK_S = 0.2
# Requesters come to these machines only after the searchers have left.
QUIET_AFTER_LEAVING_S = 5.5
INTERVAL_S = 0.03
TIME_LIMIT_S = 1.0
SERVICE = "planner"
# About the work that the site file gives this kind of request.
WORK_S = 0.075


async def play(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Let all searchers become cold, and some of them leave without a report."""
    draw = random.Random(3)
    for number in range(SEARCHERS):
        await deployment.add_searcher(
            Searcher(f"i-{number}", SERVICE, ZONE, deployment.runs, work_s=WORK_S)
        )
    deployment.put_config(
        [
            {
                "name": "r-history",
                "pathPrefix": "/history/",
                "timeoutMs": 1000,
                "targetLatencyMs": 405,
                "service": SERVICE,
            }
        ],
        [SERVICE],
    )
    gateways = [
        await deployment.add_gateway(f"front-{ZONE}-{number}", ZONE)
        for number in range(1, MACHINES + 1)
    ]
    await asyncio.sleep(2 * STABILITY_WINDOW_S)
    leaving = draw.sample(deployment.searchers, LEAVING)
    reports = []
    if has_trouble:
        deployment.note("all searchers become cold")
        reports = [
            asyncio.create_task(report(deployment, searcher, draw.random() * HEARTBEAT_S))
            for searcher in deployment.searchers
        ]
    await asyncio.sleep(COLD_FOR_S)
    left_at: dict[str, float] = {}
    for searcher in leaving:
        index = deployment.searchers.index(searcher)
        if reports:
            reports[index].cancel()
        searcher.is_leaving = True
        deployment.store.delete("servers", searcher.id)
        left_at[searcher.id] = time.monotonic()
        deployment.note(f"{searcher.id} leaves: acked by the store")
        await asyncio.sleep(0.1)
    await asyncio.sleep(QUIET_AFTER_LEAVING_S)
    probes = [
        asyncio.create_task(probe(deployment.add_requester(f"{gateway.name}-r", gateway)))
        for gateway in gateways
    ]
    await asyncio.sleep(SERVE_AFTER_LEAVING_S - QUIET_AFTER_LEAVING_S)
    for task in (*probes, *reports):
        task.cancel()
    await asyncio.wait((*probes, *reports))
    return [
        describe(gateway, searcher_id, late)
        for gateway in gateways
        for searcher_id, at in left_at.items()
        if (late := find_late(deployment, gateway, searcher_id, at))
    ]


async def report(deployment: Deployment, searcher: Searcher, phase_s: float) -> None:
    """Write the entry of a cold searcher at each heartbeat, until it is warm."""
    until = time.monotonic() + COLD_START_S
    await asyncio.sleep(phase_s)
    while True:
        left_ms = max(int((until - time.monotonic()) * 1000), 0)
        entry = searcher.make_entry() | {"coldRemainingMs": left_ms}
        deployment.store.put("servers", searcher.id, entry)
        if not left_ms:
            return
        await asyncio.sleep(HEARTBEAT_S)


async def probe(requester: Requester) -> None:
    """Send a request at regular intervals until cancelled."""
    while True:
        await requester.send(HOST_NAME, "/history/1", TIME_LIMIT_S)
        await asyncio.sleep(INTERVAL_S)


def find_late(
    deployment: Deployment, gateway: Gateway, searcher_id: str, left_at: float
) -> list[tuple[float, Run]]:
    """Return the runs of a searcher that has left, with the time since its leave, if too late."""
    outcomes_by_id: dict[str, Outcome] = {o.request_id: o for o in deployment.outcomes}
    return [
        (run.at - left_at, run)
        for run in deployment.runs
        if run.target == searcher_id
        and run.request_id.startswith(f"{gateway.name}-r")
        and run.request_id in outcomes_by_id
        and run.at > left_at + DRAIN_TIMEOUT_S + SLACK_S
    ]


def describe(gateway: Gateway, searcher_id: str, late: list[tuple[float, Run]]) -> str:
    """Return a line on the requests that were late."""
    return (
        f"DRAIN: {len(late)} requests of {gateway.name} reached {searcher_id} too late, "
        f"the last {late[-1][0]:.2f} s after its leave was acked"
    )


if __name__ == "__main__":
    run_case(__file__, play, limit_s=110.0)
