"""A process starts again, and its kept connections refuse heads within the limit."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.harness2.case import CannotRunError, Case, run_case
from review.harness2.config import make_config, make_route
from review.harness2.fleet import find_free_hosts
from review.harness2.http1 import Client
from review.harness2.searcher import Searcher
from review.harness2.store import Store

SERVICE = "desk"
MAX_HEADER_BYTES = 32768
# A head of 20 KiB is well within the limit of the configuration.
COOKIE_BYTES = 20 * 1024
CALLERS = 20
STABILITY_WINDOW_S = 4.0


async def send(case: Case, client: Client, request_id: str, cookie: str = "") -> int:
    """Send a request and return the status of its answer."""
    headers = {"Host": "app.example", "X-Request-Id": request_id, "X-Deadline-Milliseconds": "2000"}
    if cookie:
        headers["Cookie"] = cookie
    case.record.add("sent", id=request_id, cookie_bytes=len(cookie))
    answer = await client.send("GET", "/desk/files/", headers)
    case.record.add("answered", id=request_id, status=answer.status, error=answer.error)
    return answer.status


async def play(case: Case) -> list[str]:
    """Play the case; return what broke the rule."""
    record = case.record
    (host,) = find_free_hosts(1)
    store = Store()
    await store.server.start(host)
    searcher = Searcher(record, "i-1", SERVICE, "east-a")
    await searcher.server.start(host)
    store.put("servers", searcher.name, searcher.make_entry())
    routes = [make_route("r", "/desk/", SERVICE)]
    config = make_config(3, routes, [SERVICE], maxHeaderBytes=MAX_HEADER_BYTES)
    store.put("config", "main", config)
    gateway = case.make_gateway("front-east-a-1", "east-a", host, store.server.address)
    await gateway.start()
    if not await gateway.wait_ready():
        raise CannotRunError("the process is not ready")
    await asyncio.sleep(1.0)
    clients = [Client(host, gateway.front_port) for _ in range(CALLERS)]
    if case.has_trouble:
        await gateway.kill()
        record.add("killed", gateway=gateway.name)
        await asyncio.sleep(0.3)
        await gateway.start()
    # They connect as soon as the process accepts connections.
    for client in clients:
        for _ in range(200):
            try:
                await client.open()
                break
            except OSError:
                await asyncio.sleep(0.02)
    await asyncio.gather(*(send(case, c, f"first-{n}") for n, c in enumerate(clients)))
    if not await gateway.wait_ready():
        raise CannotRunError("the process is not ready")
    await asyncio.sleep(STABILITY_WINDOW_S + 0.5)
    if 200 not in await asyncio.gather(*(send(case, c, f"n-{n}") for n, c in enumerate(clients))):
        raise CannotRunError("no request is served")
    cookie = "c=" + "x" * COOKIE_BYTES
    statuses = await asyncio.gather(
        *(send(case, c, f"large-{n}", cookie) for n, c in enumerate(clients))
    )
    new = await send(case, Client(host, gateway.front_port), "large-new", cookie)
    record.add("new_connection", status=new)
    denied = [s for s in statuses if 400 <= s < 500 and s not in (408, 421, 429)]
    sent = len(record.find("sent"))
    if len(denied) <= 5 + sent / 500:
        return []
    return [f"DENIED: {len(denied)} of {sent} proper requests got {sorted(set(denied))}"]


if __name__ == "__main__":
    run_case(__file__, play)
