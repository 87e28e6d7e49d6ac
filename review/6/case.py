"""Another writer leaves some large entries among those of the searchers."""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.harness2.case import CannotRunError, Case, run_case
from review.harness2.config import make_config, make_route
from review.harness2.fleet import Gateway, find_free_hosts
from review.harness2.http1 import Client
from review.harness2.searcher import Searcher
from review.harness2.store import Store

ZONES = ("east-a", "east-b")
SERVICE = "desk"
# `limits.memoryMb` of the settings.
MEMORY_BYTES = 300 * 1024 * 1024
MEMORY_CHECK_S = 0.02
RESTART_DELAY_S = 0.5
# `platform.valueBytes` of the settings, for the whole object, and `heartbeatIntervalMs`.
VALUE_BYTES = 1048576
REPORTS = 14
WRITE_INTERVAL_S = 0.3
# The rule: processes end by themselves three times, on two machines at least.
ENDS = 3
MACHINES = 2
PLAY_S = 50.0
REQUESTS_PER_S = 5.0


def make_report() -> dict:
    """Return what the other writer writes: none of the fields of a searcher's entry."""
    sample = {"v": 7}
    size = len(json.dumps(sample, separators=(",", ":"))) + 1
    return {"samples": [sample] * ((VALUE_BYTES - 500) // size)}


async def write_reports(case: Case, store: Store) -> None:
    """Write reports under different names, which stay."""
    report = make_report()
    for number in range(REPORTS):
        name = f"report-{number}"
        store.put("servers", name, report)
        entry = store.objects_by_kind["servers"][name]
        size = len(json.dumps(entry, separators=(",", ":")))
        if size > VALUE_BYTES:
            raise CannotRunError(f"the report has {size} bytes")
        case.record.add("written", name=name, bytes=size)
        await asyncio.sleep(WRITE_INTERVAL_S)
    await asyncio.Event().wait()


async def keep_within_memory(case: Case, gateway: Gateway) -> None:
    """Kill the process when it exceeds the memory of its machine, and start it again."""
    while True:
        memory = gateway.read_memory()
        if memory > MEMORY_BYTES or gateway.process.returncode is not None:
            await gateway.kill()
            case.record.add("ended", gateway=gateway.name, memory_mb=memory >> 20)
            await asyncio.sleep(RESTART_DELAY_S)
            await gateway.start()
        await asyncio.sleep(MEMORY_CHECK_S)


async def send_requests(case: Case, gateway: Gateway) -> None:
    """Send requests on one kept connection until cancelled."""
    client = Client(gateway.host, gateway.front_port)
    for number in itertools.count(1):
        request_id = f"{gateway.name}-{number}"
        headers = {
            "Host": "app.example",
            "X-Request-Id": request_id,
            "X-Deadline-Milliseconds": "2000",
        }
        case.record.add("sent", id=request_id)
        answer = await client.send("GET", "/desk/files/", headers, timeout_s=2.0)
        case.record.add("answered", id=request_id, status=answer.status, error=answer.error)
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def play(case: Case) -> list[str]:
    """Play the case; return what broke the rule."""
    record = case.record
    hosts = find_free_hosts(len(ZONES))
    store = Store()
    await store.server.start(hosts[0])
    for zone in ZONES:
        searcher = Searcher(record, f"i-{zone}", SERVICE, zone)
        await searcher.server.start(hosts[0])
        store.put("servers", searcher.name, searcher.make_entry())
    store.put("config", "main", make_config(3, [make_route("r", "/desk/", SERVICE)], [SERVICE]))
    gateways = [
        case.make_gateway(f"front-{zone}-1", zone, host, store.server.address)
        for zone, host in zip(ZONES, hosts, strict=True)
    ]
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        if not await gateway.wait_ready():
            raise CannotRunError("a process is not ready")
    plays = [keep_within_memory(case, gateway) for gateway in gateways]
    plays += [send_requests(case, gateway) for gateway in gateways]
    if case.has_trouble:
        plays.append(write_reports(case, store))
    tasks = [asyncio.create_task(item) for item in plays]
    done, _ = await asyncio.wait(tasks, timeout=PLAY_S, return_when=asyncio.FIRST_EXCEPTION)
    for task in tasks:
        task.cancel()
    for task in done:
        task.result()
    if not record.find("answered", status=200):
        raise CannotRunError("no request is served")
    ends = {gateway.name: record.find("ended", gateway=gateway.name) for gateway in gateways}
    served, sent = len(record.find("answered", status=200)), len(record.find("sent"))
    record.add("counted", served=served, sent=sent, **{n: len(items) for n, items in ends.items()})
    if sum(len(items) >= ENDS for items in ends.values()) < MACHINES:
        return []
    counts = ", ".join(f"{name} {len(items)} times" for name, items in ends.items())
    return [
        f"Fault: processes exceeded {MEMORY_BYTES >> 20} MB and ended: {counts};"
        f" {served} of {sent} requests were served"
    ]


if __name__ == "__main__":
    run_case(__file__, play)
