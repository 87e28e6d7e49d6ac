"""Processor time of the entry process for each query, against fake dispatch processes.

Run with `python -m bench.entry_cost`. The entry server has a process of its own, so that only its
processor time is counted; the callers and the fakes share the other. Queries arrive at a fixed
rate, since a saturated process would put several queries into one batch and look cheaper.
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

DISPATCHES = 8
WARM_UP = 300
READ_EVERY_S = 0.05


def run_entry(environment_settings, addresses, groups: int, shared, ready, profile: bool) -> None:
    """Serve until asked to stop, and publish this process's processor time."""
    environment = make_environment(drain_notice_ms=0)
    environment.settings = environment_settings

    async def main() -> None:
        feed = StateFeed(environment, "entry-0")
        server = EntryServer(environment, feed, FakeStore())
        feed.apply(make_update(addresses, index=make_index(groups=groups)))
        await server.start()
        while not shared["stop"].value:
            shared["cpu"].value = time.process_time()
            shared["hedges"].value = server.fanout.counts.hedges
            ready.set()
            await asyncio.sleep(READ_EVERY_S)
        await server.stop()

    tune_garbage_collector()
    profiler = cProfile.Profile()
    if profile:
        profiler.enable()
    uvloop.run(main())
    if profile:
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(30)


async def drive(url: str, count: int, rate: float) -> None:
    """Send `count` queries at a fixed rate and check each answer."""
    body = {"class": "search", "tenant": "bench", "query": "q", "deadline_ms": 1900}

    async def send(session: aiohttp.ClientSession) -> None:
        async with session.post(f"{url}/v1/query", json=body) as response:
            result = await response.json()
            if result.get("coverage") != 1:
                raise RuntimeError(f"incomplete answer: {str(result)[:200]}")

    async with aiohttp.ClientSession() as session:
        started = time.monotonic()
        tasks = []
        for number in range(count):
            await asyncio.sleep(max(started + number / rate - time.monotonic(), 0))
            tasks.append(asyncio.create_task(send(session)))
        await asyncio.gather(*tasks)


async def measure(groups: int, queries: int, rate: float, profile: bool) -> None:
    """Measure one number of sub-requests for each query and print the result."""
    dispatches = [FakeDispatch() for _ in range(DISPATCHES)]
    for dispatch in dispatches:
        dispatch.behave = lambda request: (0, answer(request))
        await dispatch.start()
    environment = make_environment(drain_notice_ms=0)
    context = multiprocessing.get_context("spawn")
    ready = context.Event()
    shared = {name: context.Value("d", 0) for name in ("cpu", "hedges", "stop")}
    addresses = [dispatch.address for dispatch in dispatches]
    process = context.Process(
        target=run_entry,
        args=(environment.settings, addresses, groups, shared, ready, profile),
    )
    process.start()
    await asyncio.to_thread(ready.wait)
    url = f"http://{environment.settings.entry.listen}"
    await drive(url, WARM_UP, rate)
    await asyncio.sleep(2 * READ_EVERY_S)
    before = shared["cpu"].value
    await drive(url, queries, rate)
    await asyncio.sleep(2 * READ_EVERY_S)
    per_query_us = (shared["cpu"].value - before) / queries * 1e6
    batches = sum(dispatch.batches for dispatch in dispatches) / (queries + WARM_UP)
    shared["stop"].value = 1
    await asyncio.to_thread(process.join)
    for dispatch in dispatches:
        await dispatch.stop()
    print(
        f"sub_requests={groups} rate={rate:g}/s cpu_us_per_query={per_query_us:.0f}"
        f" cpu_us_per_sub_request={per_query_us / groups:.1f} batches_per_query={batches:.1f}"
        f" hedges={shared['hedges'].value:.0f}"
    )


def main() -> None:
    """Measure 10, 30 and 55 sub-requests, or profile one of them."""
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
