"""Measure how costs grow with the size of a deployment, for docs/CAPACITY.md.

Run `python -m bench.capacity`. Each cost is measured at three or more sizes. The output is a linear
fit (slope and intercept) with its largest residual, in the unit of the measured value.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np

from flamingostack.fleet.node import NS_PER_MS, Node, Timing
from flamingostack.generated import messages_pb2 as pb
from standins.deployments import DUMALAGAN, Deployment
from standins.launcher import Cluster

from .experiment import cpu_seconds, wait_until_balanced
from .load import ClassLoad, run_load

DOCUMENT_PARTITIONS = (240, 1_200, 5_200)
MEMBER_SIZES = (100, 650, 2_600)
INSTANCE_SIZES = (3, 6, 12)
QUERY_PARTS = (10, 30, 55)
BATCH_SIZES = (1, 4, 8, 32)
QUERIES_PER_S = 20.0
LOAD_S = 8.0
IDLE_S = 10.0
US_PER_S = 1_000_000
KIB = 1024


def fit(sizes: list[float], values: list[float]) -> dict[str, Any]:
    """Return the least-squares line through the values, and its largest residual."""
    slope, intercept = np.polyfit(sizes, values, 1)
    residuals = [
        abs(value - (intercept + slope * size)) for size, value in zip(sizes, values, strict=True)
    ]
    return {
        "sizes": sizes,
        "values": [round(value, 4) for value in values],
        "slope": float(f"{slope:.4g}"),
        "intercept": float(f"{intercept:.4g}"),
        "largest_residual": float(f"{max(residuals):.3g}"),
    }


def measure_cpu_us(function: Callable[[], object], seconds: float = 0.3) -> float:
    """Return the mean CPU time of a call in microseconds.

    The function is called repeatedly for `seconds` of CPU time.
    """
    calls = 0
    start = time.process_time()
    while time.process_time() - start < seconds:
        function()
        calls += 1
    return (time.process_time() - start) / calls * US_PER_S


def make_member(number: int) -> pb.Member:
    """Return a member with names and addresses of typical length."""
    return pb.Member(
        instance=f"instance-{number:05}",
        incarnation=f"instance-{number:05}-0123abcd",
        failure_domain=f"domain-{number % 14:02}",
        control_address=f"10.20.{number // 250}.{number % 250}:7000",
        dispatch_addresses=[f"10.20.{number // 250}.{number % 250}:7001"],
        entry_address=f"10.20.{number // 250}.{number % 250}:8000",
    )


def make_document(partitions: int) -> pb.FleetDocument:
    """Return a fleet document with `partitions` partitions held by half as many members."""
    members = [make_member(number) for number in range(max(partitions // 2, 1))]
    return pb.FleetDocument(
        version=1,
        partition_count=partitions,
        voter_count=9,
        preset=pb.PresetInForce(name="ordinary", revision=1, body=b"x" * 1500),
        partitions=[
            pb.Partition(number=number, term=3, transfer=2, holder=members[number % len(members)])
            for number in range(partitions)
        ],
        recent_changes=[
            pb.Change(change_id=f"change-{number:032}", version=number, summary="use preset peak")
            for number in range(200)
        ],
    )


def measure_document() -> dict[str, Any]:
    """Measure size and parse time of the fleet document by number of partitions."""
    documents = [make_document(partitions) for partitions in DOCUMENT_PARTITIONS]
    encoded = [document.SerializeToString() for document in documents]
    sizes = [float(size) for size in DOCUMENT_PARTITIONS]
    return {
        "document_bytes_by_partitions": fit(sizes, [float(len(item)) for item in encoded]),
        "document_parse_us_by_partitions": fit(
            sizes,
            [
                measure_cpu_us(lambda item=item: pb.FleetDocument.FromString(item))
                for item in encoded
            ],
        ),
    }


def measure_members() -> dict[str, Any]:
    """Measure size and parse time of the list of all members, as sent with the first Sync."""
    replies = [
        pb.SyncReply(known_members=[make_member(number) for number in range(size)])
        for size in MEMBER_SIZES
    ]
    encoded = [reply.SerializeToString() for reply in replies]
    sizes = [float(size) for size in MEMBER_SIZES]
    return {
        "member_list_bytes_by_members": fit(sizes, [float(len(item)) for item in encoded]),
        "member_list_parse_us_by_members": fit(
            sizes,
            [measure_cpu_us(lambda item=item: pb.SyncReply.FromString(item)) for item in encoded],
        ),
    }


def sync_once(sender: Node, receiver: Node, now_ns: int) -> tuple[int, float]:
    """Exchange one Sync; return its bytes and CPU time in microseconds, summed over both sides."""
    start = time.process_time()
    request = sender.make_sync_request(receiver.own.incarnation)
    reply = receiver.on_sync_request(request, now_ns)
    sender.on_sync_reply(reply, now_ns, now_ns)
    elapsed_us = (time.process_time() - start) * US_PER_S
    return request.ByteSize() + reply.ByteSize(), elapsed_us


def measure_sync_cost(size: int) -> dict[str, float]:
    """Measure the first and later Syncs between two members of a fleet of `size` members.

    One in twenty partitions has moved since the document was written.
    """
    members = [make_member(number) for number in range(size)]
    document = make_document(2 * size)
    moved = [
        pb.Partition(number=number, term=3, transfer=3, holder=members[number % size])
        for number in range(0, 2 * size, 20)
    ]
    timing = Timing(*(ms * NS_PER_MS for ms in (3000, 250, 2000, 1000)))
    nodes = [Node(member, timing, 0) for member in members[:2]]
    for node in nodes:
        node.adopt_document(document, 0)
        node.merge_partitions(moved)
    first, _ = sync_once(*nodes, NS_PER_MS)
    later = []
    for number in range(2, 12):
        sync_once(*reversed(nodes), number * NS_PER_MS)
        later.append(sync_once(*nodes, number * NS_PER_MS))
    return {
        "first_bytes": float(first),
        "later_bytes": float(later[-1][0]),
        "later_us": sum(elapsed_us for _, elapsed_us in later) / len(later),
    }


def measure_sync() -> dict[str, Any]:
    """Measure the cost of a Sync by number of members."""
    rows = [measure_sync_cost(size) for size in MEMBER_SIZES]
    sizes = [float(size) for size in MEMBER_SIZES]
    return {f"sync_{name}_by_members": fit(sizes, [row[name] for row in rows]) for name in rows[0]}


def measure_batches() -> dict[str, Any]:
    """Measure the CPU time of encoding and parsing a batch by number of sub-requests."""
    sizes = [float(size) for size in BATCH_SIZES]
    batches = [
        pb.EntryBatch(
            requests=[
                pb.SubRequest(
                    id=number,
                    request_id="instance-00001-0123abcd-000001",
                    service="enquiry",
                    target="enquiry-g01-r1",
                    snapshot="s100",
                    high=3000,
                    deadline_ms=500,
                    request_class="lookup",
                    payload=b'"a query of a usual length"',
                )
                for number in range(size)
            ]
        )
        for size in BATCH_SIZES
    ]

    def round_trip(batch: pb.EntryBatch) -> None:
        pb.EntryBatch.FromString(batch.SerializeToString())

    return {
        "batch_codec_us_by_sub_requests": fit(
            sizes, [measure_cpu_us(lambda batch=batch: round_trip(batch)) for batch in batches]
        )
    }


def read_rss_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KIB
    return 0.0


def find_peak_rss_mib(cluster: Cluster) -> dict[str, float]:
    """Return the peak resident memory in MiB by kind of process, such as control."""
    highest: dict[str, float] = {}
    for process in cluster.processes:
        if process.is_running() and "." in process.name:
            process_kind = process.name.rsplit(".", 1)[-1]
            highest[process_kind] = max(
                highest.get(process_kind, 0.0), round(read_rss_mib(process.pid), 1)
            )
    return highest


async def measure_control(instances: int) -> dict[str, float]:
    """Measure the load of an idle control process in a fleet of `instances` instances.

    CPU time and bytes are means for one control process, memory is that of the largest one, and
    store calls are those of the fleet.
    """
    deployment = DUMALAGAN.reduce(groups=2, instances=instances, services=("enquiry",))
    with tempfile.TemporaryDirectory() as folder:
        wrapper = ["-m", "bench.byte_counter", folder]
        async with Cluster(deployment, wrapper=wrapper) as cluster:
            await wait_until_balanced(cluster)
            names = [process.name for process in cluster.processes if ".control" in process.name]
            cpu_before, bytes_before = cpu_seconds(cluster), sum_received_bytes(folder)
            calls_before = await count_store_calls(cluster)
            await asyncio.sleep(IDLE_S)
            cpu_after, bytes_after = cpu_seconds(cluster), sum_received_bytes(folder)
            calls_after = await count_store_calls(cluster)
            rss_mib = find_peak_rss_mib(cluster)
    cpu_share = sum(cpu_after[name] - cpu_before[name] for name in names) / len(names) / IDLE_S
    return {
        "cpu_percent": 100 * cpu_share,
        # Only received bytes are counted. Each was also sent by another process, so the mean
        # traffic of a process, sent and received, is twice that.
        "bytes_per_s": 2 * (bytes_after - bytes_before) / IDLE_S / instances,
        "rss_mib": rss_mib["control"],
        "store_calls_per_s": (calls_after - calls_before) / IDLE_S,
    }


def sum_received_bytes(folder: str) -> int:
    """Return the total bytes received by all processes that run under bench.byte_counter."""
    return sum(int(path.read_text().split()[0] or 0) for path in Path(folder).glob("*.bytes"))


async def count_store_calls(cluster: Cluster) -> int:
    """Return the number of store calls that the platform stand-in has counted."""
    counters = await cluster.fetch_store_counters()
    return sum(value for value in counters["calls"].values())


async def measure_fleet() -> dict[str, Any]:
    """Measure the load of an idle control process by number of instances."""
    rows = [await measure_control(instances) for instances in INSTANCE_SIZES]
    sizes = [float(size) for size in INSTANCE_SIZES]
    return {
        f"control_{name}_by_instances": fit(sizes, [row[name] for row in rows]) for name in rows[0]
    }


def make_wide_deployment(parts: int) -> Deployment:
    """Return a deployment with `parts` key ranges for each query, on 2 replicas each."""
    deployment = DUMALAGAN.reduce(groups=parts, instances=3, services=("enquiry",))
    return deployment.with_service("enquiry", groups=parts, replicas=2)


async def measure_query(parts: int) -> dict[str, float]:
    """Measure CPU time and memory by kind of process for queries of `parts` parts.

    The CPU time that the processes use without queries is subtracted.
    """
    load = ClassLoad("lookup", "dumalagan", QUERIES_PER_S, 1000)
    async with Cluster(make_wide_deployment(parts), searcher_processes=3) as cluster:
        await wait_until_balanced(cluster)
        await run_load([load], cluster.caller.pick_url, 3.0, 2)
        idle_cores = await measure_idle_cores(cluster)
        cpu_before, started = cpu_seconds(cluster), time.monotonic()
        results = await run_load([load], cluster.caller.pick_url, LOAD_S, 1)
        elapsed_s, cpu_after = time.monotonic() - started, cpu_seconds(cluster)
        rss_mib = find_peak_rss_mib(cluster)
    sent = results["lookup"].sent
    row = {}
    for process_kind in ("entry", "dispatch"):
        names = [name for name in cpu_after if name.endswith(f".{process_kind}")]
        cpu_s = sum(
            cpu_after[name] - cpu_before[name] - idle_cores[name] * elapsed_s for name in names
        )
        row[f"{process_kind}_us"] = cpu_s / sent * US_PER_S
        row[f"{process_kind}_rss_mib"] = rss_mib[process_kind]
    row["whole_percent"] = 100 * results["lookup"].whole / sent
    return row


async def measure_idle_cores(cluster: Cluster) -> dict[str, float]:
    """Return the CPU cores that each process uses without queries, by process name."""
    cpu_before = cpu_seconds(cluster)
    await asyncio.sleep(3.0)
    return {name: (value - cpu_before[name]) / 3.0 for name, value in cpu_seconds(cluster).items()}


async def measure_queries() -> dict[str, Any]:
    """Measure CPU time and memory of queries by number of parts."""
    rows = [await measure_query(parts) for parts in QUERY_PARTS]
    sizes = [float(size) for size in QUERY_PARTS]
    return {f"query_{name}_by_parts": fit(sizes, [row[name] for row in rows]) for name in rows[0]}


def main() -> int:
    """Measure all costs and print the fits as JSON."""
    slopes = {**measure_document(), **measure_members(), **measure_batches(), **measure_sync()}
    slopes.update(asyncio.run(measure_fleet()))
    slopes.update(asyncio.run(measure_queries()))
    print(json.dumps(slopes, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
