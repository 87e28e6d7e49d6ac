"""The two machines that watch the store for a zone are cut from it when a version moves a route."""

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
from review.harness2.proxy import Proxy
from review.harness2.searcher import Searcher
from review.harness2.store import Store

ZONE = "east-a"
OLD, NEW = "desk", "ledger"
MACHINES = 8
CUT_MACHINES = 2
CUT_S = 5.5
CONFIG_APPLY_S = 3.0
# How long after its bound a request has to be sent to count.
MARGIN_S = 0.2
REQUESTS_PER_S = 10.0
# Until then the machines have found out who watches the store.
SETTLE_S = 8.0
MAX_SETTLE_S = 20.0


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
        case.record.add("sent", id=request_id, gateway=gateway.name)
        answer = await client.send("GET", "/desk/files/", headers)
        case.record.add("answered", id=request_id, status=answer.status)
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def find_readers(store: Store) -> set[str]:
    """Return the addresses of the machines that watch the store."""
    await asyncio.sleep(SETTLE_S)
    until = asyncio.get_running_loop().time() + MAX_SETTLE_S
    while asyncio.get_running_loop().time() < until:
        hosts = store.find_watching_hosts("config")
        if len(hosts) == CUT_MACHINES:
            return hosts
        await asyncio.sleep(0.1)
    raise CannotRunError(f"{len(hosts)} machines watch the store")


async def play(case: Case) -> list[str]:
    """Play the case; return what broke the rule."""
    record = case.record
    hosts = find_free_hosts(MACHINES)
    store = Store()
    await store.server.start(hosts[0])
    for service in (OLD, NEW):
        for number in range(1, 4):
            searcher = Searcher(record, f"i-{service}-{number}", service, ZONE)
            await searcher.server.start(hosts[0])
            store.put("servers", searcher.name, searcher.make_entry())
    routes = [make_route("r", "/desk/", OLD)]
    store.put("config", "main", make_config(3, routes, [OLD, NEW]))
    proxies: dict[str, Proxy] = {}
    gateways = []
    for number, host in enumerate(hosts, 1):
        proxies[host] = Proxy(host, (store.server.host, store.server.port))
        await proxies[host].start()
        name = f"front-{ZONE}-{number}"
        gateways.append(case.make_gateway(name, ZONE, host, proxies[host].address))
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        if not await gateway.wait_ready():
            raise CannotRunError("a process is not ready")
    readers = await find_readers(store)
    tasks = [asyncio.create_task(send_requests(case, gateway)) for gateway in gateways]
    await asyncio.sleep(2.0)
    added = make_route("s", "/other/", OLD)
    store.put("config", "main", make_config(5, [*routes, added], [OLD, NEW]))
    record.add("changed", version=5)
    await asyncio.sleep(0.3)
    cut = readers if case.has_trouble else set()
    for host in cut:
        proxies[host].cut()
        record.add("cut", host=host)
    await asyncio.sleep(0.1)
    moved = make_route("r", "/desk/", NEW)
    store.put("config", "main", make_config(7, [moved, added], [OLD, NEW]))
    changed_at = record.add("changed", version=7).at
    await asyncio.sleep(CUT_S)
    for host in cut:
        proxies[host].heal()
        record.add("healed", host=host)
    await asyncio.sleep(3.0)
    for task in tasks:
        task.cancel()
    if not any(e.at > changed_at for e in record.find("arrived", service=NEW)):
        raise CannotRunError("no request reaches the new service")
    calm = {gateway.name for gateway in gateways if gateway.host not in cut}
    sent = {event.fields["id"]: event for event in record.find("sent")}
    late = [
        sent[event.fields["id"]]
        for event in record.find("arrived", service=OLD)
        if sent[event.fields["id"]].at > changed_at + CONFIG_APPLY_S + MARGIN_S
    ]
    late = [event for event in late if event.fields["gateway"] in calm]
    if not late:
        return []
    names = {event.fields["gateway"] for event in late}
    last_s = max(event.at for event in late) - changed_at
    return [
        f"CONFIG: {len(late)} requests, sent up to {last_s:.1f} s after the ack of a version by"
        f" {len(names)} machines that were not cut, were run by the old service"
    ]


if __name__ == "__main__":
    run_case(__file__, play)
