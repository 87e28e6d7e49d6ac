"""Steady load, checks of answers and common settings of the proofs with real processes."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
import unittest
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from standins.deployments import DUMALAGAN
from standins.launcher import CALL_ERRORS, Answer, Cluster, find_answer_error

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
KEYSPACE = 30_000
SERVICE = "enquiry"
REQUEST_CLASS = "lookup"
SMALL = DUMALAGAN.reduce(groups=3, instances=3, services=(SERVICE,))
# The relations of the defaults at about a third of their length.
SHORT_LEASES = {
    "lease_ms": 1200,
    "lease_margin_ms": 100,
    "sync_ms": 200,
    "suspect_ms": 800,
    "max_request_ms": 1000,
}
# The target of section 1.1: "a few seconds", stated as 5 s in sections 1.5 and 3.3.
IN_FORCE_WITHIN_S = 5.0
WAIT_S = 30.0
POLL_S = 0.02


def now_ns() -> int:
    """Return the clock by which searchers date their arrivals."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class Asked:
    """One query with its answer; times are of the boottime clock."""

    __slots__ = ("query", "instance", "sent_ns", "answer")

    def __init__(self, query: str, instance: str, sent_ns: int, answer: Answer) -> None:
        self.query = query
        self.instance = instance
        self.sent_ns = sent_ns
        self.answer = answer

    @property
    def ended_ns(self) -> int:
        """When the answer arrived."""
        return self.sent_ns + int(self.answer.elapsed_ms * NS_PER_MS)

    @property
    def is_whole(self) -> bool:
        """Tell whether every part of the keyspace was answered."""
        return self.answer.status == 200 and self.answer.body["coverage"] == 1

    def find_problem(self) -> str:
        """Return what is wrong with the answer, if it is one."""
        if self.answer.status != 200:
            return ""
        return find_answer_error(self.answer.body, self.query, 0, KEYSPACE)


class Load:
    """Asks unique queries at a steady rate until the context ends, and waits for their answers.

    `instances` are asked in turn, also while they are not ready; without them, those that report
    ready are.
    """

    __slots__ = ("cluster", "asked", "_pause_s", "_instances", "_fields", "_task")

    def __init__(
        self,
        cluster: Cluster,
        per_s: float,
        instances: Iterable[str] = (),
        **fields: Any,
    ) -> None:
        self.cluster = cluster
        self.asked: list[Asked] = []
        self._pause_s = 1 / per_s
        self._instances = list(instances)
        self._fields = fields
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Load:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *error: object) -> None:
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        started = time.monotonic()
        number = 0
        running: set[asyncio.Task[None]] = set()
        try:
            while True:
                number += 1
                task = asyncio.create_task(self._ask(number))
                running.add(task)
                task.add_done_callback(running.discard)
                await asyncio.sleep(max(started + number * self._pause_s - time.monotonic(), 0))
        finally:
            await asyncio.gather(*running)

    async def _ask(self, number: int) -> None:
        instance = self._instances[number % len(self._instances)] if self._instances else None
        await ask(self.cluster, f"{id(self)}-{number}", instance, self.asked, **self._fields)

    def since(self, moment_ns: int) -> list[Asked]:
        """Return the queries that were sent after a moment."""
        return [item for item in self.asked if item.sent_ns > moment_ns]


async def ask(
    cluster: Cluster,
    query: str,
    instance: str | None = None,
    into: list[Asked] | None = None,
    **fields: Any,
) -> Asked:
    """Ask one query over the whole keyspace."""
    sent_ns = now_ns()
    answer = await cluster.caller.query(REQUEST_CLASS, query, instance_id=instance, **fields)
    asked = Asked(query, answer.instance, sent_ns, answer)
    if into is not None:
        into.append(asked)
    return asked


def find_problems(asked: Iterable[Asked]) -> list[str]:
    """Return what is wrong with the answers."""
    return [problem for item in asked if (problem := item.find_problem())]


def whole_share(asked: Iterable[Asked]) -> float:
    """Return the share of whole answers among all queries, from 0 to 1."""
    items = list(asked)
    return sum(item.is_whole for item in items) / max(len(items), 1)


def count_statuses(asked: Iterable[Asked]) -> dict[str, int]:
    """Return how many answers there were of each kind."""
    counts: dict[str, int] = {}
    for item in asked:
        name = item.answer.body.get("code", "") or f"{item.answer.status} {item.answer.problem}"
        counts[name.strip()] = counts.get(name.strip(), 0) + 1
    return counts


async def until(
    condition: Callable[[], Awaitable[bool]], what: str, within_s: float = WAIT_S
) -> None:
    """Wait until `condition` holds; AssertionError if it does not within `within_s`."""
    end = time.monotonic() + within_s
    while not await condition():
        if time.monotonic() > end:
            raise AssertionError(f"{what}: not within {within_s:g} s")
        await asyncio.sleep(POLL_S)


async def until_whole(cluster: Cluster, instances: Iterable[str] | None = None) -> None:
    """Wait until each instance gives a whole answer."""
    for instance in instances or list(cluster.instances):

        async def is_whole(instance: str = instance) -> bool:
            return (await ask(cluster, "probe", instance)).is_whole

        await until(is_whole, f"whole answers from {instance}")


async def until_balanced(cluster: Cluster) -> None:
    """Wait until every instance holds its share of the partitions by every instance's view."""
    held_by_view: dict[str, dict[str, int]] = {}

    async def is_balanced() -> bool:
        for instance in cluster.instances:
            try:
                status = await cluster.fetch_status(instance)
            except CALL_ERRORS:
                # A process that was just started does not listen yet.
                return False
            holders = [item.holder.instance for item in status.partitions]
            held_by_view[instance] = {name: holders.count(name) for name in cluster.instances}
        return all(
            sum(held.values()) and max(held.values()) - min(held.values()) <= 1
            for held in held_by_view.values()
        )

    try:
        await until(is_balanced, "balanced partitions")
    except AssertionError as error:
        raise AssertionError(f"{error}; held by view: {held_by_view}") from error


class ProofCase(unittest.IsolatedAsyncioTestCase):
    """Starts clusters, optionally with a mechanism switched off."""

    async def asyncSetUp(self) -> None:
        """Leave out asyncio's debug mode, which slows the callers down."""
        asyncio.get_running_loop().set_debug(False)

    async def start(self, mutant: str = "", **options: Any) -> Cluster:
        """Return a ready cluster that ends with the test."""
        if mutant:
            options["wrapper"] = ["-m", "standins.mutants", mutant]
        cluster = await self.enterAsyncContext(Cluster(options.pop("deployment", SMALL), **options))
        await until_balanced(cluster)
        await until_whole(cluster)
        return cluster

    def report(self, text: str) -> None:
        """Print a measured figure beside the test's verdict."""
        print(f"\n  {self.id().split('.', 2)[-1]}: {text}", file=sys.stderr)
