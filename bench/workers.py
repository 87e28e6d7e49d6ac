"""Load from several processes, since a single one cannot send the highest rates on time."""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
import time
from concurrent.futures import ProcessPoolExecutor

import aiohttp
import uvloop

from .load import ClassLoad, ClassResult, run_load

WORKERS = 4
# Difference between the seeds of two workers. A worker's seed depends only on the run's seed and on
# the worker's number, so that runs with the same seed send the same queries at the same offsets.
WORKER_SEED_STEP = 1_000
READY_POLL_S = 0.1
READY_TIMEOUT_S = 0.3


class ReadyEntryPool:
    """Minimal round-robin load balancer over the entry processes that report ready."""

    __slots__ = ("urls", "ready", "_picked")

    def __init__(self, urls: list[str]) -> None:
        self.urls = urls
        self.ready: list[str] = []
        self._picked = 0

    def pick(self) -> str | None:
        """Return the base URL of the next ready entry process, or None if none is ready."""
        if not self.ready:
            return None
        self._picked += 1
        return self.ready[self._picked % len(self.ready)]

    async def poll(self) -> None:
        """Poll the readiness of all entry processes until cancelled."""
        timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                states = await asyncio.gather(*(is_ready(session, url) for url in self.urls))
                self.ready = [url for url, ready in zip(self.urls, states, strict=True) if ready]
                await asyncio.sleep(READY_POLL_S)


async def is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    """Return whether an entry process reports ready."""
    try:
        async with session.get(f"{url}/ready") as response:
            return response.status == 200
    except (TimeoutError, aiohttp.ClientError):
        return False


def run_worker(
    loads: list[ClassLoad],
    urls: list[str],
    start_at: float,
    duration_s: float,
    seed: int,
) -> dict[str, ClassResult]:
    """Send one worker's share of the load; entry point of a worker process."""
    return uvloop.run(send_worker_load(loads, urls, start_at, duration_s, seed))


async def send_worker_load(
    loads: list[ClassLoad],
    urls: list[str],
    start_at: float,
    duration_s: float,
    seed: int,
) -> dict[str, ClassResult]:
    """Send load to ready entry processes from `start_at` on (seconds of CLOCK_MONOTONIC)."""
    entry_pool = ReadyEntryPool(urls)
    poll_task = asyncio.create_task(entry_pool.poll())
    await asyncio.sleep(max(start_at - time.monotonic(), 0))
    try:
        return await run_load(loads, entry_pool.pick, duration_s, seed)
    finally:
        poll_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await poll_task


async def run_from_workers(
    loads: list[ClassLoad],
    urls: list[str],
    duration_s: float,
    seed: int,
    workers: int = WORKERS,
) -> dict[str, ClassResult]:
    """Send equal shares of the load from `workers` processes; return merged results by class."""
    shares = [
        ClassLoad(
            request_class=load.request_class,
            tenant=load.tenant,
            rate_per_s=load.rate_per_s / workers,
            deadline_ms=load.deadline_ms,
        )
        for load in loads
    ]
    loop = asyncio.get_running_loop()
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, mp_context=context) as pool:
        # Start the processes first, so that their start-up does not delay the load.
        await asyncio.gather(*(loop.run_in_executor(pool, time.sleep, 0.5) for _ in range(workers)))
        start_at = time.monotonic() + 0.5
        worker_results = await asyncio.gather(
            *(
                loop.run_in_executor(
                    pool,
                    run_worker,
                    shares,
                    urls,
                    start_at,
                    duration_s,
                    seed + WORKER_SEED_STEP * number,
                )
                for number in range(workers)
            )
        )
    merged_results = worker_results[0]
    for worker_result in worker_results[1:]:
        for name, result in worker_result.items():
            merged_results[name].merge(result)
    return merged_results
