"""Open-loop load with seeded arrivals; latency is measured from the intended arrival time.

A whole answer has a coverage of 1, that is, it lacks no part of the keyspace.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterator

import aiohttp
from hdrh.histogram import HdrHistogram

from flamingostack.metrics import HIGHEST_US, LOWEST_US

SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
# How long to wait for an answer after its deadline.
GRACE_S = 2.0
HISTOGRAM_FIELDS = ("histogram", "refusal_histogram", "send_lag")


class ClassLoad:
    """The query rate of one request class, and the fields of its query bodies."""

    __slots__ = ("request_class", "tenant", "rate_per_s", "deadline_ms")

    def __init__(
        self,
        request_class: str,
        tenant: str,
        rate_per_s: float,
        deadline_ms: int,
    ) -> None:
        self.request_class = request_class
        self.tenant = tenant
        self.rate_per_s = rate_per_s
        self.deadline_ms = deadline_ms


class ClassResult:
    """Results of one request class as seen by its callers.

    `histogram` and `refusal_histogram` hold the latencies of 200 and other answers, `send_lag` the
    delays between intended and actual sending, all in microseconds.
    """

    __slots__ = (
        "histogram",
        "refusal_histogram",
        "sent",
        "answered",
        "whole",
        "whole_in_time",
        "coverage_sum",
        "wrong",
        "errors_by_code",
        "whole_by_second",
        "sent_by_second",
        "send_lag",
    )

    def __init__(self) -> None:
        self.histogram = make_histogram()
        self.refusal_histogram = make_histogram()
        self.sent = 0
        self.answered = 0
        self.whole = 0
        self.whole_in_time = 0
        self.coverage_sum = 0.0
        self.wrong = 0
        self.errors_by_code: dict[str, int] = {}
        self.whole_by_second: dict[int, int] = {}
        self.sent_by_second: dict[int, int] = {}
        self.send_lag = make_histogram()

    def __getstate__(self) -> dict[str, object]:
        """Return the state for pickling, with histograms in their own encoding."""
        return {
            name: getattr(self, name).encode() if name in HISTOGRAM_FIELDS else getattr(self, name)
            for name in self.__slots__
        }

    def __setstate__(self, state: dict[str, object]) -> None:
        """Restore the state that `__getstate__` returned."""
        for name, value in state.items():
            setattr(self, name, HdrHistogram.decode(value) if name in HISTOGRAM_FIELDS else value)

    def merge(self, other: ClassResult) -> None:
        """Add the results of another process."""
        for name in HISTOGRAM_FIELDS:
            getattr(self, name).add(getattr(other, name))
        for name in ("sent", "answered", "whole", "whole_in_time", "coverage_sum", "wrong"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for name in ("errors_by_code", "whole_by_second", "sent_by_second"):
            counts = getattr(self, name)
            for key, count in getattr(other, name).items():
                counts[key] = counts.get(key, 0) + count

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile of the answered queries in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000

    def summary(self) -> dict[str, object]:
        """Return the measured values for JSON output and tables."""
        sent = max(self.sent, 1)
        return {
            "sent": self.sent,
            "answered": self.answered,
            "p50_ms": round(self.percentile_ms(50), 2),
            "p99_ms": round(self.percentile_ms(99), 2),
            "p99_9_ms": round(self.percentile_ms(99.9), 2),
            "refusal_p99_ms": round(
                self.refusal_histogram.get_value_at_percentile(99) / 1000,
                2,
            ),
            "coverage_mean": round(self.coverage_sum / sent, 5),
            "whole_in_time_percent": round(100 * self.whole_in_time / sent, 3),
            "lowest_second_percent": round(self.lowest_second_percent(), 2),
            "wrong": self.wrong,
            "send_lag_p99_ms": round(self.send_lag.get_value_at_percentile(99) / 1000, 2),
            "errors": dict(sorted(self.errors_by_code.items())),
        }

    def lowest_second_percent(self) -> float:
        """Return the lowest percentage of queries answered whole and in time in any second."""
        shares = [
            100 * self.whole_by_second.get(arrival_second, 0) / count
            for arrival_second, count in self.sent_by_second.items()
            if count
        ]
        return min(shares, default=0.0)


def make_histogram() -> HdrHistogram:
    """Return an empty histogram for values in microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def arrival_times(rate_per_s: float, duration_s: float, seed: int) -> Iterator[float]:
    """Yield the arrival times of a Poisson process, in seconds from the start."""
    generator = random.Random(seed)
    now = generator.expovariate(rate_per_s)
    while now < duration_s:
        yield now
        now += generator.expovariate(rate_per_s)


async def run_load(
    loads: list[ClassLoad],
    pick_entry: Callable[[], str | None],
    duration_s: float,
    seed: int,
) -> dict[str, ClassResult]:
    """Send the queries of all classes for `duration_s` seconds; return the results by class.

    `pick_entry` returns the base URL of an entry process that reports ready, or None. Each query
    is sent at its intended time, whether or not earlier ones have been answered, and its latency
    counts from that time. A stall of the tier therefore shows in the latencies instead of slowing
    down the load.
    """
    results = {load.request_class: ClassResult() for load in loads}
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=60)
    async with aiohttp.ClientSession(connector=connector) as session:
        start = time.monotonic() + 0.1
        senders = [
            send_class(
                load=load,
                result=results[load.request_class],
                session=session,
                pick_entry=pick_entry,
                start=start,
                duration_s=duration_s,
                seed=seed + number,
            )
            for number, load in enumerate(loads)
        ]
        await asyncio.gather(*senders)
    return results


async def send_class(
    load: ClassLoad,
    result: ClassResult,
    session: aiohttp.ClientSession,
    pick_entry: Callable[[], str | None],
    start: float,
    duration_s: float,
    seed: int,
) -> None:
    """Send the queries of one class at their intended times and wait for all answers."""
    tasks: set[asyncio.Task[None]] = set()
    offsets = arrival_times(load.rate_per_s, duration_s, seed)
    for number, offset in enumerate(offsets):
        delay = start + offset - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        task = asyncio.create_task(
            send_query(load, result, session, pick_entry(), start + offset, int(offset), number)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks, timeout=load.deadline_ms / 1000 + GRACE_S)


async def send_query(
    load: ClassLoad,
    result: ClassResult,
    session: aiohttp.ClientSession,
    entry_url: str | None,
    intended_at: float,
    arrival_second: int,
    number: int,
) -> None:
    """Send one query and record its answer or error."""
    result.sent += 1
    result.send_lag.record_value(clamp_us(int((time.monotonic() - intended_at) * US_PER_S)))
    result.sent_by_second[arrival_second] = result.sent_by_second.get(arrival_second, 0) + 1
    if entry_url is None:
        count_error(result, "no_entry_ready")
        return
    query = f"{load.request_class}-{number}"
    body = {
        "class": load.request_class,
        "tenant": load.tenant,
        "query": query,
        "deadline_ms": load.deadline_ms,
    }
    timeout = aiohttp.ClientTimeout(total=load.deadline_ms / 1000 + GRACE_S)
    try:
        async with session.post(f"{entry_url}/v1/query", json=body, timeout=timeout) as response:
            answer = await response.json()
            status = response.status
    except (TimeoutError, aiohttp.ClientError) as error:
        count_error(result, type(error).__name__)
        return
    elapsed_us = int((time.monotonic() - intended_at) * US_PER_S)
    if status != 200:
        result.refusal_histogram.record_value(clamp_us(elapsed_us))
        count_error(result, answer.get("code", str(status)))
        return
    result.histogram.record_value(clamp_us(elapsed_us))
    record_answer(result, answer, query, arrival_second, elapsed_us <= load.deadline_ms * 1000)


def record_answer(
    result: ClassResult,
    answer: dict,
    query: str,
    arrival_second: int,
    in_time: bool,
) -> None:
    """Check an answer and record its coverage."""
    result.answered += 1
    result.coverage_sum += answer["coverage"]
    if not is_correct(answer, query):
        result.wrong += 1
        return
    if answer["coverage"] == 1:
        result.whole += 1
        if in_time:
            result.whole_in_time += 1
            result.whole_by_second[arrival_second] = (
                result.whole_by_second.get(arrival_second, 0) + 1
            )


def is_correct(answer: dict, query: str) -> bool:
    """Return whether all parts belong to this query and to the snapshot of the answer."""
    number = int(answer["snapshot"].lstrip("s"))
    return all(
        part["echo"] == query
        and part["snapshot"] == answer["snapshot"]
        and part["count"] == (part["high"] - part["low"]) * number
        for part in answer["parts"]
    )


def count_error(result: ClassResult, code: str) -> None:
    """Count an unsuccessful query under its error code."""
    result.errors_by_code[code] = result.errors_by_code.get(code, 0) + 1


def clamp_us(microseconds: int) -> int:
    """Limit a value to the range of the histograms."""
    return min(max(microseconds, LOWEST_US), HIGHEST_US)
