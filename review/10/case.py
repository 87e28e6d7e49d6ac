"""All processes are killed while entries of another writer lie among those of the searchers."""

from __future__ import annotations

import asyncio
import itertools
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
# `platform.valueBytes` of the settings is 1,048,576 for the whole object.
REPORT_BYTES = 1_048_000
REPORTS = 34
WRITE_INTERVAL_S = 0.4
RECOVERY_S = 12.0
# The rule: less than a quarter is served, though a quarter or more was before the fault.
MIN_SHARE = 0.25
DOWN_S = 1.3
JUDGED_S = 10.0
REQUESTS_PER_S = 10.0


async def send_requests(case: Case, gateway: Gateway) -> None:
    """Send requests, each on a new connection, until cancelled."""
    for number in itertools.count(1):
        request_id = f"{gateway.name}-{number}"
        headers = {
            "Host": "app.example",
            "X-Request-Id": request_id,
            "X-Deadline-Milliseconds": "1000",
        }
        client = Client(gateway.host, gateway.front_port)
        case.record.add("sent", id=request_id)
        answer = await client.send("GET", "/desk/files/", headers, timeout_s=1.0)
        client.close()
        case.record.add("answered", id=request_id, status=answer.status, error=answer.error)
        await asyncio.sleep(1 / REQUESTS_PER_S)


def count_share(case: Case, begin: float, end: float) -> tuple[int, int]:
    """Return how many of the requests sent between two times were served, and their number."""
    sent = {e.fields["id"] for e in case.record.find("sent") if begin <= e.at < end}
    served = {e.fields["id"] for e in case.record.find("answered", status=200)}
    return len(sent & served), len(sent)


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
    tasks = [asyncio.create_task(send_requests(case, gateway)) for gateway in gateways]
    begin = record.now()
    for number in range(REPORTS):
        if case.has_trouble:
            name = f"report-{number}"
            store.put("servers", name, {"report": chr(ord("a") + number % 26) * REPORT_BYTES})
            record.add("written", name=name, bytes=REPORT_BYTES)
        await asyncio.sleep(WRITE_INTERVAL_S)
    await asyncio.sleep(2.0)
    served_before, sent_before = count_share(case, begin, record.now() - 1.0)
    record.add("before", served=served_before, sent=sent_before)
    if served_before < sent_before * MIN_SHARE:
        raise CannotRunError(f"{served_before} of {sent_before} requests served before the fault")
    for gateway in gateways:
        record.add("killed", gateway=gateway.name, memory_mb=gateway.read_memory() >> 20)
        await gateway.kill()
    await asyncio.sleep(DOWN_S)
    for gateway in gateways:
        await gateway.start()
    back_at = record.now()
    await asyncio.sleep(RECOVERY_S + JUDGED_S + 1.0)
    for task in tasks:
        task.cancel()
    begin = back_at + RECOVERY_S
    served, sent = count_share(case, begin, begin + JUDGED_S)
    record.add("after", served=served, sent=sent)
    for gateway in gateways:
        record.add("memory", gateway=gateway.name, mb=gateway.read_memory() >> 20)
    if served >= sent * MIN_SHARE:
        return []
    return [
        f"RECOVER: {served} of {sent} requests were served from {RECOVERY_S:.0f} s after the"
        f" processes were back, {served_before} of {sent_before} before"
    ]


if __name__ == "__main__":
    run_case(__file__, play)
