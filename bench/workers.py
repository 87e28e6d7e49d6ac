"""Load from several processes, since one cannot send the highest rates on time."""

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
# Two runs of one seed send the same queries at the same offsets, whatever the workers' number.
SEED_STEP = 1_000
READY_POLL_S = 0.1
READY_TIMEOUT_S = 0.3


class ReadyEntries:
    """A minimal load balancer: asks each entry process whether it is ready, and takes turns."""

    __slots__ = ("urls", "ready", "_turn")

    def __init__(self, urls: list[str]) -> None:
        self.urls = urls
        self.ready: list[str] = []
        self._turn = 0

    def pick(self) -> str | None:
        """Return the base URL of the next ready entry process."""
        if not self.ready:
            return None
        self._turn += 1
        return self.ready[self._turn % len(self.ready)]

    async def watch(self) -> None:
        """Ask all entry processes until cancelled."""
        timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                states = await asyncio.gather(*(is_ready(session, url) for url in self.urls))
                self.ready = [url for url, ready in zip(self.urls, states, strict=True) if ready]
                await asyncio.sleep(READY_POLL_S)


async def is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    """Tell whether an entry process reports ready."""
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
    """Send one worker's share of the load; runs in a process of its own."""
    return uvloop.run(send_share(loads, urls, start_at, duration_s, seed))


async def send_share(
    loads: list[ClassLoad],
    urls: list[str],
    start_at: float,
    duration_s: float,
    seed: int,
) -> dict[str, ClassResult]:
    """Watch the entry processes and send the load from `start_at` on (CLOCK_MONOTONIC)."""
    entries = ReadyEntries(urls)
    watching = asyncio.create_task(entries.watch())
    await asyncio.sleep(max(start_at - time.monotonic(), 0))
    try:
        return await run_load(loads, entries.pick, duration_s, seed)
    finally:
        watching.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watching


async def run_from_workers(
    loads: list[ClassLoad],
    urls: list[str],
    duration_s: float,
    seed: int,
    workers: int = WORKERS,
) -> dict[str, ClassResult]:
    """Send the load from `workers` processes, each an equal share; return the merged results."""
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
        # Starting the processes takes time that must not count as a late start of the load.
        await asyncio.gather(*(loop.run_in_executor(pool, time.sleep, 0.5) for _ in range(workers)))
        start_at = time.monotonic() + 0.5
        parts = await asyncio.gather(
            *(
                loop.run_in_executor(
                    pool, run_worker, shares, urls, start_at, duration_s, seed + SEED_STEP * number
                )
                for number in range(workers)
            )
        )
    merged = parts[0]
    for part in parts[1:]:
        for name, result in part.items():
            merged[name].add(result)
    return merged
