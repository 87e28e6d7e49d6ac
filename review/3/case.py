"""DRAIN: after a power loss of machines, those that are left use searchers that have left."""

from __future__ import annotations

import asyncio
import time

from harness.deployment import (
    HOST_NAME,
    RESTART_DELAY_S,
    SIGKILL,
    SIGSTOP,
    Deployment,
    Gateway,
    run_case,
)
from harness.requester import Requester
from harness.searcher import Run, Searcher

ZONE = "pw-regina"
MACHINES = 8
# `herd_kill` with `power` takes a share of 0.55 for 5 s; these are half. The instances of a zone
# are ranked by a hash of their names, and these are the first four.
WITHOUT_POWER = (5, 1, 4, 8)
POWER_LOSS_S = 5.0
SEARCHERS = 8
# Two searchers report that they leave: one just before machines lose power, one just after.
LEAVING = (2, 6)
BETWEEN_REPORTS_S = 0.2
DRAIN_TIMEOUT_S = 5.0
STABILITY_WINDOW_S = 5.0
# Allowance for the stand-ins, which share a machine with the gateways.
SLACK_S = 0.1
INTERVAL_S = 0.01
TIME_LIMIT_S = 1.0
SERVICE = "planner"


async def play(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Take the power of some machines while searchers leave."""
    for number in range(SEARCHERS):
        await deployment.add_searcher(
            Searcher(f"i-{number}", SERVICE, ZONE, deployment.runs, work_s=0.005)
        )
    route = {
        "name": "r-history",
        "pathPrefix": "/history/",
        "timeoutMs": 1000,
        "targetLatencyMs": 405,
        "service": SERVICE,
    }
    deployment.put_config([route], [SERVICE])
    gateways = {
        number: await deployment.add_gateway(f"front-{ZONE}-{number}", ZONE)
        for number in range(1, MACHINES + 1)
    }
    lost = [gateways[number] for number in WITHOUT_POWER]
    left = [gateway for gateway in gateways.values() if gateway not in lost]
    probes = [
        asyncio.create_task(probe(deployment.add_requester(f"{gateway.name}-r", gateway)))
        for gateway in left
    ]
    # The remaining machines are in touch when the others lose power.
    await asyncio.sleep(2 * STABILITY_WINDOW_S)
    left_at = {LEAVING[0]: leave(deployment, LEAVING[0])}
    await asyncio.sleep(BETWEEN_REPORTS_S)
    if has_trouble:
        for gateway in lost:
            # A machine without power does not respond, and connections to it hang.
            gateway.process.send_signal(SIGSTOP)
        deployment.note(f"{', '.join(gateway.name for gateway in lost)} lose power")
    lost_at = time.monotonic()
    left_at[LEAVING[1]] = leave(deployment, LEAVING[1])
    await asyncio.sleep(lost_at + POWER_LOSS_S - time.monotonic())
    if has_trouble:
        await asyncio.gather(*(gateway.end(SIGKILL) for gateway in lost))
        await asyncio.sleep(RESTART_DELAY_S)
        await asyncio.gather(*(gateway.start(deployment.command) for gateway in lost))
        deployment.note("they start again")
    await asyncio.sleep(STABILITY_WINDOW_S)
    for task in probes:
        task.cancel()
    await asyncio.wait(probes)
    return [
        f"DRAIN: {len(late)} requests of {gateway.name} reached i-{number} too late, "
        f"the last {late[-1].at - at:.2f} s after the ack"
        for gateway in left
        for number, at in left_at.items()
        if (late := find_late(deployment, gateway, f"i-{number}", at))
    ]


def leave(deployment: Deployment, number: int) -> float:
    """Write the report of a searcher that it leaves; return when the store has accepted it.

    The searcher serves until the end of the script.
    """
    searcher = deployment.searchers[number]
    entry = searcher.make_entry() | {"state": "draining"}
    deployment.store.put("servers", searcher.id, entry)
    deployment.note(f"{searcher.id} is draining: acked by the store")
    return time.monotonic()


async def probe(requester: Requester) -> None:
    """Send a request at regular intervals until cancelled."""
    while True:
        await requester.send(HOST_NAME, "/history/1", TIME_LIMIT_S)
        await asyncio.sleep(INTERVAL_S)


def find_late(
    deployment: Deployment, gateway: Gateway, searcher_id: str, left_at: float
) -> list[Run]:
    """Return the requests of a gateway that reached a searcher too late."""
    return [
        run
        for run in deployment.runs
        if run.target == searcher_id
        and run.request_id.startswith(f"{gateway.name}-r")
        and run.at > left_at + DRAIN_TIMEOUT_S + SLACK_S
    ]


if __name__ == "__main__":
    run_case(__file__, play, limit_s=110.0)
