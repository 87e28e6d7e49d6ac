"""Experiments with real processes, each with the same load on the tier and on its baseline.

The tier is flamingostack itself. In the baseline mode each instance sends to all targets directly,
under a fixed share of their slots, with random replicas, no hedging and no retries.
"""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path
from typing import Any

from flamingostack.generated import messages_pb2 as pb
from standins.deployments import Deployment
from standins.launcher import Cluster

from .load import ClassLoad, ClassResult, run_load
from .workers import run_from_workers

TIER = "tier"
BASELINE = "baseline"
WARM_UP_S = 4.0
WARM_UP_SEED = 10_000
STRAGGLERS = {"straggler_one_in": 100, "straggler_factor": 20.0}
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Scenario:
    """A load level and a fault pattern for one service of a deployment.

    `load_percent` is the query rate relative to the slot capacity of the service, where each query
    goes to all groups of the service.
    """

    __slots__ = ("name", "load_percent", "duration_s", "searchers", "moves_domain")

    def __init__(
        self,
        name: str,
        load_percent: float,
        duration_s: float,
        searchers: dict[str, Any] | None = None,
        moves_domain: bool = False,
    ) -> None:
        self.name = name
        self.load_percent = load_percent
        self.duration_s = duration_s
        self.searchers = searchers or {}
        self.moves_domain = moves_domain


class Workload:
    """A deployment, and the service and request classes to measure in it.

    `classes` holds the share of the load by request class.
    """

    __slots__ = ("deployment", "service", "classes")

    def __init__(self, deployment: Deployment, service: str, classes: dict[str, float]) -> None:
        self.deployment = deployment
        self.service = service
        self.classes = classes


def make_scenarios(duration_s: float) -> list[Scenario]:
    """Return the scenarios that issue 5 lists, with `duration_s` seconds of load each.

    The domain move takes at least 18 seconds.
    """
    return [
        Scenario("stragglers", 40, duration_s, searchers=STRAGGLERS),
        Scenario("load-70", 70, duration_s),
        Scenario("load-100", 100, duration_s),
        Scenario("load-150", 150, duration_s),
        Scenario("domain-move", 45, max(duration_s, 18.0), moves_domain=True),
    ]


def baseline_settings(workload: Workload) -> dict[str, dict[str, Any]]:
    """Return the settings of the baseline mode, with an equal share of the slots per instance."""
    share = max(100 // workload.deployment.instances, 1)
    return {"dispatch": {"direct_share_percent": share}, "entry": {"baseline": True}}


def make_loads(workload: Workload, preset: dict[str, Any], load_percent: float) -> list[ClassLoad]:
    """Return the load of each request class at a percentage of the service's capacity."""
    capacity = workload.deployment.service(workload.service).capacity_per_s()
    return [
        ClassLoad(
            request_class=request_class,
            tenant=workload.deployment.name,
            rate_per_s=capacity * load_percent / 100 * share,
            deadline_ms=preset["classes"][request_class]["deadline_ms"],
        )
        for request_class, share in workload.classes.items()
    ]


async def run_scenario(
    workload: Workload,
    scenario: Scenario,
    variant: str,
    preset: dict[str, Any],
    seed: int,
    log_dir: Path | None = None,
) -> dict[str, Any]:
    """Run one scenario against one variant; return a JSON-compatible row of measured values."""
    settings = baseline_settings(workload) if variant == BASELINE else {}
    async with Cluster(
        workload.deployment,
        log_dir=log_dir,
        proxied=["instances"],
        settings=settings,
        searchers=scenario.searchers,
        searcher_processes=3,
        seed=seed,
    ) as cluster:
        loads = make_loads(workload, preset, scenario.load_percent)
        await wait_until_balanced(cluster)
        urls = [cluster.caller_url(name) for name in cluster.instances]
        await warm_up(cluster, loads, seed)
        await cluster.reset_searcher_counters()
        cpu_before_s = cpu_seconds(cluster)
        domain_move = asyncio.create_task(move_failure_domain(cluster, scenario))
        started = time.monotonic()
        results = await run_from_workers(loads, urls, scenario.duration_s, seed)
        elapsed_s = time.monotonic() - started
        marks = await domain_move
        cpu_s = {
            name: value - cpu_before_s.get(name, 0) for name, value in cpu_seconds(cluster).items()
        }
        witness = await cluster.fetch_searcher_counters()
    return {
        "scenario": scenario.name,
        "variant": variant,
        "load_percent": scenario.load_percent,
        "duration_s": scenario.duration_s,
        "classes": {name: result.summary() for name, result in results.items()},
        "whole_in_time_per_s": round(
            sum(result.whole_in_time for result in results.values()) / scenario.duration_s, 1
        ),
        "offered_per_s": round(
            sum(result.sent for result in results.values()) / scenario.duration_s, 1
        ),
        "extra_load_percent": extra_load_percent(workload, results, witness),
        "over_cold_limit": sum(item["over_cold_limit"] for item in witness.values()),
        "marks_ms": marks,
        "cores_by_process": cores_by_kind(cpu_s, elapsed_s),
        "whole_by_second": whole_percent_by_second(results),
    }


async def wait_until_balanced(cluster: Cluster) -> None:
    """Wait until every instance holds partitions, as the first instance reports; 30 s at most."""
    names = list(cluster.instances)
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline:
        status = await cluster.fetch_status(names[0])
        holders = [item.holder.instance for item in status.partitions]
        if len(set(holders)) == len(names):
            return
        await asyncio.sleep(0.2)


async def warm_up(cluster: Cluster, loads: list[ClassLoad], seed: int) -> None:
    """Warm up all targets with a third of the load; results are discarded."""
    warm_up_loads = [
        ClassLoad(
            request_class=load.request_class,
            tenant=load.tenant,
            rate_per_s=load.rate_per_s / 3,
            deadline_ms=load.deadline_ms,
        )
        for load in loads
    ]
    await run_load(warm_up_loads, cluster.caller.pick_url, WARM_UP_S, seed + WARM_UP_SEED)


async def move_failure_domain(cluster: Cluster, scenario: Scenario) -> dict[str, int]:
    """Take a failure domain out of service and return it cold, if the scenario moves a domain.

    Returns the milliseconds until each mark was accepted.
    """
    if not scenario.moves_domain:
        return {}
    domain = cluster.deployment.failure_domains[-1]
    await asyncio.sleep(scenario.duration_s / 6)
    leaving_reply = await cluster.mark(pb.MARK_STATE_LEAVING, failure_domain=domain)
    await asyncio.sleep(scenario.duration_s / 4)
    targets = cluster.targets(failure_domain=domain)
    await cluster.inject_searcher_fault(targets, "cold", close=True)
    returning_reply = await cluster.mark(pb.MARK_STATE_RETURNING, failure_domain=domain)
    return {"leaving": leaving_reply.elapsed_ms, "returning": returning_reply.elapsed_ms}


def extra_load_percent(
    workload: Workload,
    results: dict[str, ClassResult],
    witness: dict[str, dict[str, Any]],
) -> float:
    """Return the percentage of sub-requests beyond one for each query and group.

    The value is exact if no query was refused or cut short. Under overload it is a lower bound,
    since refused queries count as planned.
    """
    groups = workload.deployment.service(workload.service).groups
    planned = groups * sum(result.sent for result in results.values())
    received = sum(item["received"] for item in witness.values())
    return round(100 * (received / max(planned, 1) - 1), 2)


def whole_percent_by_second(results: dict[str, ClassResult]) -> list[float]:
    """Return the percentage of queries answered whole and in time, by second of arrival."""
    seconds = sorted({second for result in results.values() for second in result.sent_by_second})
    shares = []
    for second in seconds:
        sent = sum(result.sent_by_second.get(second, 0) for result in results.values())
        whole = sum(result.whole_by_second.get(second, 0) for result in results.values())
        shares.append(round(100 * whole / sent, 2))
    return shares


def cpu_seconds(cluster: Cluster) -> dict[str, float]:
    """Return the CPU seconds used by each running process of the cluster, by process name."""
    cpu_s = {}
    for process in cluster.processes:
        if process.is_running():
            fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            cpu_s[process.name] = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return cpu_s


def cores_by_kind(cpu_s: dict[str, float], elapsed_s: float) -> dict[str, float]:
    """Return the peak use of CPU cores by kind of process, such as entry or searchers."""
    highest: dict[str, float] = {}
    for name, seconds in cpu_s.items():
        kind = name.rsplit(".", 1)[-1].split("-")[0]
        highest[kind] = max(highest.get(kind, 0.0), round(seconds / elapsed_s, 3))
    return highest
