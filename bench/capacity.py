"""Slopes for docs/CAPACITY.md: `python -m bench.capacity`.

Each slope is measured on at least three sizes and given with its fit (intercept, slope) and the
largest residual, in the unit of the measured value.
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

from .experiment import cpu_seconds, wait_balanced
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
    """Return the least-squares line through the values and its largest residual."""
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


def time_us(function: Callable[[], object], seconds: float = 0.3) -> float:
    """Return the processor time of one call in microseconds."""
    calls = 0
    start = time.process_time()
    while time.process_time() - start < seconds:
        function()
        calls += 1
    return (time.process_time() - start) / calls * US_PER_S


# ---- Messages ----------------------------------------------------------------------------


def make_member(number: int) -> pb.Member:
    """Return a member with names and addresses of a usual length."""
    return pb.Member(
        instance=f"instance-{number:05}",
        incarnation=f"instance-{number:05}-0123abcd",
        failure_domain=f"domain-{number % 14:02}",
        control_address=f"10.20.{number // 250}.{number % 250}:7000",
        dispatch_addresses=[f"10.20.{number // 250}.{number % 250}:7001"],
        entry_address=f"10.20.{number // 250}.{number % 250}:8000",
    )


def make_document(partitions: int) -> pb.FleetDocument:
    """Return a document with `partitions` partitions over half as many members."""
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
    """Return bytes and parse time of the fleet document by its partitions."""
    documents = [make_document(partitions) for partitions in DOCUMENT_PARTITIONS]
    encoded = [document.SerializeToString() for document in documents]
    sizes = [float(size) for size in DOCUMENT_PARTITIONS]
    return {
        "document_bytes_by_partitions": fit(sizes, [float(len(item)) for item in encoded]),
        "document_parse_us_by_partitions": fit(
            sizes,
            [time_us(lambda item=item: pb.FleetDocument.FromString(item)) for item in encoded],
        ),
    }


def measure_members() -> dict[str, Any]:
    """Return bytes and parse time of a list of all members, as the first Sync carries it."""
    replies = [
        pb.SyncReply(known_members=[make_member(number) for number in range(size)])
        for size in MEMBER_SIZES
    ]
    encoded = [reply.SerializeToString() for reply in replies]
    sizes = [float(size) for size in MEMBER_SIZES]
    return {
        "member_list_bytes_by_members": fit(sizes, [float(len(item)) for item in encoded]),
        "member_list_parse_us_by_members": fit(
            sizes, [time_us(lambda item=item: pb.SyncReply.FromString(item)) for item in encoded]
        ),
    }


def sync_once(sender: Node, receiver: Node, now_ns: int) -> tuple[int, float]:
    """Return the bytes of one Sync and its processor time in microseconds, both sides together."""
    start = time.process_time()
    request = sender.make_sync_request(receiver.own.incarnation)
    reply = receiver.on_sync_request(request, now_ns)
    sender.on_sync_reply(reply, now_ns, now_ns)
    elapsed_us = (time.process_time() - start) * US_PER_S
    return request.ByteSize() + reply.ByteSize(), elapsed_us


def measure_sync_of(size: int) -> dict[str, float]:
    """Return the cost of the first Sync and of later ones between two of `size` members.

    A twentieth of the partitions has moved since the document was written.
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
    """Return what a Sync costs by the members of the fleet."""
    rows = [measure_sync_of(size) for size in MEMBER_SIZES]
    sizes = [float(size) for size in MEMBER_SIZES]
    return {f"sync_{name}_by_members": fit(sizes, [row[name] for row in rows]) for name in rows[0]}


def measure_batches() -> dict[str, Any]:
    """Return the cost of encoding and parsing a batch by its sub-requests."""
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
            sizes, [time_us(lambda batch=batch: round_trip(batch)) for batch in batches]
        )
    }


# ---- Processes ---------------------------------------------------------------------------


def read_rss_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KIB
    return 0.0


def memory_by_kind(cluster: Cluster) -> dict[str, float]:
    """Return the highest resident memory by kind of process in MiB."""
    highest: dict[str, float] = {}
    for process in cluster.processes:
        if process.is_running() and "." in process.name:
            kind = process.name.rsplit(".", 1)[-1]
            highest[kind] = max(highest.get(kind, 0.0), round(read_rss_mib(process.pid), 1))
    return highest


async def measure_control(instances: int) -> dict[str, float]:
    """Return what an idle control process costs in a fleet of `instances`."""
    deployment = DUMALAGAN.reduce(groups=2, instances=instances, services=("enquiry",))
    with tempfile.TemporaryDirectory() as folder:
        wrapper = ["-m", "bench.byte_counter", folder]
        async with Cluster(deployment, wrapper=wrapper) as cluster:
            await wait_balanced(cluster)
            names = [process.name for process in cluster.processes if ".control" in process.name]
            before, bytes_before = cpu_seconds(cluster), sum_bytes(folder)
            calls_before = await store_calls(cluster)
            await asyncio.sleep(IDLE_S)
            after, bytes_after = cpu_seconds(cluster), sum_bytes(folder)
            calls_after = await store_calls(cluster)
            memory = memory_by_kind(cluster)
    cpu = sum(after[name] - before[name] for name in names) / len(names) / IDLE_S
    return {
        "cpu_percent": 100 * cpu,
        # Received by one process was sent by another one, so a process has both.
        "bytes_per_s": 2 * (bytes_after - bytes_before) / IDLE_S / instances,
        "rss_mib": memory["control"],
        "store_calls_per_s": (calls_after - calls_before) / IDLE_S,
    }


def sum_bytes(folder: str) -> int:
    """Return the bytes received by all counted processes."""
    return sum(int(path.read_text().split()[0] or 0) for path in Path(folder).glob("*.bytes"))


async def store_calls(cluster: Cluster) -> int:
    """Return the calls that the platform stand-in has counted."""
    counters = await cluster.fetch_store_counters()
    return sum(value for value in counters["calls"].values())


async def measure_fleet() -> dict[str, Any]:
    """Return the slopes of the control process by the instances of the fleet."""
    rows = [await measure_control(instances) for instances in INSTANCE_SIZES]
    sizes = [float(size) for size in INSTANCE_SIZES]
    return {
        f"control_{name}_by_instances": fit(sizes, [row[name] for row in rows]) for name in rows[0]
    }


def make_wide(parts: int) -> Deployment:
    """Return a deployment whose queries have `parts` parts, on 2 replicas each."""
    deployment = DUMALAGAN.reduce(groups=parts, instances=3, services=("enquiry",))
    return deployment.with_service("enquiry", groups=parts, replicas=2)


async def measure_query(parts: int) -> dict[str, float]:
    """Return the processor time of a query of `parts` parts, by kind of process."""
    load = ClassLoad("lookup", "dumalagan", QUERIES_PER_S, 1000)
    async with Cluster(make_wide(parts), searcher_processes=3) as cluster:
        await wait_balanced(cluster)
        await run_load([load], cluster.caller.pick_url, 3.0, 2)
        idle = await idle_cores(cluster)
        before, started = cpu_seconds(cluster), time.monotonic()
        results = await run_load([load], cluster.caller.pick_url, LOAD_S, 1)
        elapsed_s, after = time.monotonic() - started, cpu_seconds(cluster)
        memory = memory_by_kind(cluster)
    sent = results["lookup"].sent
    row = {}
    for kind in ("entry", "dispatch"):
        names = [name for name in after if name.endswith(f".{kind}")]
        used = sum(after[name] - before[name] - idle[name] * elapsed_s for name in names)
        row[f"{kind}_us"] = used / sent * US_PER_S
        row[f"{kind}_rss_mib"] = memory[kind]
    row["whole_percent"] = 100 * results["lookup"].whole / sent
    return row


async def idle_cores(cluster: Cluster) -> dict[str, float]:
    """Return the share of a core that each process uses without queries."""
    before = cpu_seconds(cluster)
    await asyncio.sleep(3.0)
    return {name: (value - before[name]) / 3.0 for name, value in cpu_seconds(cluster).items()}


async def measure_queries() -> dict[str, Any]:
    """Return the slopes of a query's processor time by its parts."""
    rows = [await measure_query(parts) for parts in QUERY_PARTS]
    sizes = [float(size) for size in QUERY_PARTS]
    return {f"query_{name}_by_parts": fit(sizes, [row[name] for row in rows]) for name in rows[0]}


def main() -> int:
    """Measure all slopes and print them as JSON."""
    slopes = {**measure_document(), **measure_members(), **measure_batches(), **measure_sync()}
    slopes.update(asyncio.run(measure_fleet()))
    slopes.update(asyncio.run(measure_queries()))
    print(json.dumps(slopes, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
