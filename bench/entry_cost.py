"""Measure the CPU time of the entry process for each query, with fake dispatch processes.

Run `python -m bench.entry_cost`. The entry server runs in a separate process, so that only its CPU
time is counted; the callers and the fakes share another one. Queries are sent at a fixed rate,
since a saturated entry process would combine sub-requests of several queries in one batch, which
lowers the cost of each query.
"""

from __future__ import annotations

import argparse
import asyncio
import cProfile
import multiprocessing
import pstats
import time

import aiohttp
import uvloop

from flamingostack.entry.main import tune_garbage_collector
from flamingostack.entry.server import EntryServer
from flamingostack.state import StateFeed
from tests.entry.fakes import (
    FakeDispatch,
    FakeStore,
    answer,
    make_environment,
    make_index,
    make_update,
)

FAKE_DISPATCHES = 8
WARM_UP_QUERIES = 300
CPU_SAMPLE_INTERVAL_S = 0.05


def run_entry(settings, addresses, groups: int, shared_values, ready, profile: bool) -> None:
    """Serve until `shared_values["stop"]` is set; publish CPU time and hedges of this process."""
    environment = make_environment(drain_notice_ms=0)
    environment.settings = settings

    async def main() -> None:
        feed = StateFeed(environment, "entry-0")
        server = EntryServer(environment, feed, FakeStore())
        feed.apply(make_update(addresses, index=make_index(groups=groups)))
        await server.start()
        while not shared_values["stop"].value:
            shared_values["cpu"].value = time.process_time()
            shared_values["hedges"].value = server.fanout.counts.hedges
            ready.set()
            await asyncio.sleep(CPU_SAMPLE_INTERVAL_S)
        await server.stop()

    tune_garbage_collector()
    profiler = cProfile.Profile()
    if profile:
        profiler.enable()
    uvloop.run(main())
    if profile:
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(30)


async def send_queries(url: str, count: int, rate: float) -> None:
    """Send `count` queries at `rate` per second; raise RuntimeError on an incomplete answer."""
    body = {"class": "search", "tenant": "bench", "query": "q", "deadline_ms": 1900}

    async def send(session: aiohttp.ClientSession) -> None:
        async with session.post(f"{url}/v1/query", json=body) as response:
            result = await response.json()
            if result.get("coverage") != 1:
                raise RuntimeError(f"expected an answer with coverage 1, got: {str(result)[:200]}")

    async with aiohttp.ClientSession() as session:
        started = time.monotonic()
        tasks = []
        for number in range(count):
            await asyncio.sleep(max(started + number / rate - time.monotonic(), 0))
            tasks.append(asyncio.create_task(send(session)))
        await asyncio.gather(*tasks)


async def measure(groups: int, queries: int, rate: float, profile: bool) -> None:
    """Measure queries with one sub-request for each of `groups` groups and print the result."""
    dispatches = [FakeDispatch() for _ in range(FAKE_DISPATCHES)]
    for dispatch in dispatches:
        dispatch.behave = lambda request: (0, answer(request))
        await dispatch.start()
    environment = make_environment(drain_notice_ms=0)
    context = multiprocessing.get_context("spawn")
    ready = context.Event()
    shared_values = {name: context.Value("d", 0) for name in ("cpu", "hedges", "stop")}
    addresses = [dispatch.address for dispatch in dispatches]
    process = context.Process(
        target=run_entry,
        args=(environment.settings, addresses, groups, shared_values, ready, profile),
    )
    process.start()
    await asyncio.to_thread(ready.wait)
    url = f"http://{environment.settings.entry.listen}"
    await send_queries(url, WARM_UP_QUERIES, rate)
    await asyncio.sleep(2 * CPU_SAMPLE_INTERVAL_S)
    cpu_before_s = shared_values["cpu"].value
    await send_queries(url, queries, rate)
    await asyncio.sleep(2 * CPU_SAMPLE_INTERVAL_S)
    per_query_us = (shared_values["cpu"].value - cpu_before_s) / queries * 1e6
    batches = sum(dispatch.batches for dispatch in dispatches) / (queries + WARM_UP_QUERIES)
    shared_values["stop"].value = 1
    await asyncio.to_thread(process.join)
    for dispatch in dispatches:
        await dispatch.stop()
    print(
        f"sub_requests={groups} rate={rate:g}/s cpu_us_per_query={per_query_us:.0f}"
        f" cpu_us_per_sub_request={per_query_us / groups:.1f} batches_per_query={batches:.1f}"
        f" hedges={shared_values['hedges'].value:.0f}"
    )


def main() -> None:
    """Measure queries with 10, 30 and 55 sub-requests, or those given with --groups."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--queries", type=int, default=1500)
    parser.add_argument("--rate", type=float, default=146)
    parser.add_argument("--groups", type=int, nargs="*", default=[10, 30, 55])
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    for groups in options.groups:
        asyncio.run(measure(groups, options.queries, options.rate, options.profile))


if __name__ == "__main__":
    main()
