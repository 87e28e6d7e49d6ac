"""CONFIG: after a power loss of machines, those that are left act on an old config."""

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
from harness.requester import Outcome, Requester
from harness.searcher import Searcher

ZONE = "pw-regina"
MACHINES = 8
# `herd_kill` with `power` takes a share of 0.55 for 5 s; these are half. The instances of a zone
# are ranked by a hash of their names, and these are the first four.
WITHOUT_POWER = (5, 1, 4, 8)
POWER_LOSS_S = 5.0
# The operator writes two versions, and machines lose power between them.
SERVICES = ("old", "middle", "new")
BETWEEN_VERSIONS_S = 0.2
CONFIG_APPLY_S = 5.0
STABILITY_WINDOW_S = 5.0
# Allowance for the stand-ins, which share a machine with the gateways.
SLACK_S = 0.1
INTERVAL_S = 0.05
TIME_LIMIT_S = 1.0


async def play(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Take the power of some machines, and change the config."""
    for service in SERVICES:
        for number in range(3):
            await deployment.add_searcher(
                Searcher(f"i-{service}-{number}", service, ZONE, deployment.runs, work_s=0.005)
            )
    put_route(deployment, "old")
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
    put_route(deployment, "middle")
    await asyncio.sleep(BETWEEN_VERSIONS_S)
    if has_trouble:
        for gateway in lost:
            # A machine without power does not respond, and connections to it hang.
            gateway.process.send_signal(SIGSTOP)
        deployment.note(f"{', '.join(gateway.name for gateway in lost)} lose power")
    lost_at = time.monotonic()
    put_route(deployment, "new")
    acked_at = time.monotonic()
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
        f"CONFIG: {len(late)} requests to {gateway.name} were run as an older version says, "
        f"the last was sent {late[-1].sent_at - acked_at:.2f} s after the ack"
        for gateway in left
        if (late := find_late(deployment, gateway, acked_at))
    ]


def put_route(deployment: Deployment, service: str) -> None:
    """Write a version in which the route goes to a service."""
    route = {
        "name": "r-history",
        "pathPrefix": "/history/",
        "timeoutMs": 1000,
        "targetLatencyMs": 405,
        "service": service,
    }
    deployment.put_config([route], list(SERVICES))


async def probe(requester: Requester) -> None:
    """Send a request at regular intervals until cancelled."""
    while True:
        await requester.send(HOST_NAME, "/history/1", TIME_LIMIT_S)
        await asyncio.sleep(INTERVAL_S)


def find_late(deployment: Deployment, gateway: Gateway, acked_at: float) -> list[Outcome]:
    """Return the requests that were sent too late to be run as an older version says."""
    old_ids = {run.request_id for run in deployment.runs if run.service != "new"}
    return [
        outcome
        for outcome in deployment.outcomes
        if outcome.request_id.startswith(f"{gateway.name}-r")
        and outcome.request_id in old_ids
        and outcome.sent_at > acked_at + CONFIG_APPLY_S + SLACK_S
    ]


if __name__ == "__main__":
    run_case(__file__, play, limit_s=110.0)
