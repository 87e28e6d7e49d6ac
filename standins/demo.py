"""Demonstration of the tier with stand-ins for everything around it; reached by `make demo`.

Starts a platform, the searchers of a reduced deployment and 3 instances in 3 failure domains, asks
queries and checks every answer. Meanwhile it switches the preset, takes a failure domain out and
back in, and publishes a snapshot. Ctrl-C ends it; DEMO_SECONDS=n ends it after n seconds. The exit
status is 1 if an answer was wrong, an operation was not accepted, or nothing was answered.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any

from hdrh.histogram import HdrHistogram

from flamingostack.generated import messages_pb2 as pb
from flamingostack.metrics import make_histogram
from flamingostack.status import ExitStatus

from .deployments import DUMALAGAN, Deployment
from .launcher import Answer, Cluster, LauncherError, find_wrong, require_accepted

GROUPS = 4
RATES_PER_S = {"lookup": 20.0, "enquiry": 15.0, "availability": 10.0, "portal": 5.0, "meter": 5.0}
SUBMITS_PER_S = 3.0
PRINT_EVERY_S = 1.0
# One round of operations when no end is given.
ROUND_S = 30.0
SEED = 7
QUANTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
BAR_WIDTH = 40
BUCKETS_MS = (5, 10, 20, 30, 40, 50, 75, 100, 150, 200, 400, 800, 1600)


class ClassRecord:
    """What the callers of one class saw."""

    __slots__ = ("histogram", "answered", "whole", "coverage_sum", "refused_by_code", "wrong")

    def __init__(self) -> None:
        self.histogram: HdrHistogram = make_histogram()
        self.answered = 0
        self.whole = 0
        self.coverage_sum = 0.0
        self.refused_by_code: dict[str, int] = {}
        self.wrong = 0


class Demo:
    """The callers and operators of the demonstration."""

    __slots__ = (
        "cluster",
        "deployment",
        "records",
        "problems",
        "preset",
        "last_answer",
        "snapshot",
        "_generator",
        "_tasks",
        "_number",
        "_submits_ran",
    )

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.deployment: Deployment = cluster.deployment
        self.records: dict[str, ClassRecord] = {}
        self.problems: list[str] = []
        self.preset = cluster.preset
        self.last_answer: dict[str, tuple[str, Answer]] = {}
        self.snapshot = 1
        self._generator = random.Random(SEED)
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0
        self._submits_ran = 0

    async def run(self, seconds: float | None) -> None:
        """Ask and operate for `seconds`, or until cancelled."""
        senders = [
            asyncio.create_task(self._send(rate, lambda name=name: self._query(name)))
            for name, rate in RATES_PER_S.items()
            if name in self.deployment.query_classes
        ]
        senders += [
            asyncio.create_task(self._send(SUBMITS_PER_S, lambda name=name: self._submit(name)))
            for name in self.deployment.submit_classes
        ]
        senders.append(asyncio.create_task(self._print_answers()))
        operator = asyncio.create_task(self._operate(seconds))
        try:
            await asyncio.sleep(seconds) if seconds else await operator
        finally:
            for task in (*senders, operator):
                task.cancel()
            await asyncio.gather(*senders, operator, return_exceptions=True)
            if self._tasks:
                await asyncio.wait(self._tasks, timeout=3)

    async def _send(self, rate_per_s: float, make: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Start requests at random times, whether or not earlier ones are answered."""
        at = time.monotonic()
        while True:
            at += self._generator.expovariate(rate_per_s)
            await asyncio.sleep(max(at - time.monotonic(), 0))
            task = asyncio.create_task(make())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _record(self, name: str) -> ClassRecord:
        return self.records.setdefault(name, ClassRecord())

    async def _query(self, name: str) -> None:
        """Ask one query over the whole keyspace and check the answer."""
        self._number += 1
        query = f"{name} {self._number}"
        keyspace = self.deployment.service(self.deployment.query_classes[name]).keyspace
        expected_preset = self.preset
        answer = await self.cluster.caller.query(name, query)
        record = self._record(name)
        if answer.status != 200:
            code = answer.body.get("code", answer.problem or str(answer.status))
            record.refused_by_code[code] = record.refused_by_code.get(code, 0) + 1
            return
        record.answered += 1
        record.histogram.record_value(int(answer.elapsed_ms * 1000))
        record.coverage_sum += answer.body["coverage"]
        record.whole += answer.body["coverage"] == 1
        problem = find_wrong(answer.body, query, 0, keyspace)
        if not problem and expected_preset and answer.body["preset"] != expected_preset:
            problem = f"preset {answer.body['preset']} after {expected_preset} was accepted"
        if problem:
            record.wrong += 1
            self.report(f"wrong answer to {query!r}: {problem}")
        self.last_answer[name] = (query, answer)

    async def _submit(self, name: str) -> None:
        """Send one request that must not be repeated."""
        self._number += 1
        key = self._generator.randrange(1000)
        idempotency_key = f"{name}-{self._number}"
        answer = await self.cluster.caller.submit(name, idempotency_key, key, {"visit": key})
        record = self._record(name)
        if answer.status != 200:
            code = answer.body.get("code", answer.problem or str(answer.status))
            record.refused_by_code[code] = record.refused_by_code.get(code, 0) + 1
            return
        record.answered += 1
        record.whole += 1
        record.coverage_sum += 1
        record.histogram.record_value(int(answer.elapsed_ms * 1000))
        self._submits_ran += 1
        echo = answer.body["outcome"]["echo"]
        if echo != {"visit": key}:
            record.wrong += 1
            self.report(f"wrong answer to submit {idempotency_key}: {echo}")

    async def check_submits(self) -> None:
        """Compare the answered submits with the runs that the searchers counted."""
        runs = (await self.cluster.runs_by_key()).values()
        if any(count > 1 for count in runs):
            self.report(f"a submit ran more than once: {sorted(runs)[-1]} times")
        if len(runs) < self._submits_ran:
            self.report(f"{self._submits_ran} submits were answered as run, {len(runs)} ran")
        print(f"submits: {self._submits_ran} answered, {len(runs)} ran, none twice")

    def report(self, problem: str) -> None:
        """Record and print a problem."""
        self.problems.append(problem)
        print(f"PROBLEM: {problem}", flush=True)

    async def _print_answers(self) -> None:
        while True:
            await asyncio.sleep(PRINT_EVERY_S)
            for query, answer in self.last_answer.values():
                body = answer.body
                total = sum(part["count"] for part in body["parts"])
                print(
                    f"  {query:<20} via {answer.instance:<10} coverage {body['coverage']:.3f}"
                    f"  snapshot {body['snapshot']:<4} parts {len(body['parts'])}  sum {total:<8}"
                    f" preset {body['preset']:<12} {answer.elapsed_ms:6.1f} ms",
                    flush=True,
                )
            self.last_answer.clear()

    # ---- Operations ----

    async def _operate(self, seconds: float | None) -> None:
        """Run the operations, spread over the time; without an end, again and again."""
        pause_s = (seconds or ROUND_S) / 9
        domain = self.deployment.failure_domains[1]
        while True:
            await asyncio.sleep(pause_s)
            await self._switch_preset("peak")
            await asyncio.sleep(pause_s)
            await self._mark(domain, pb.MARK_STATE_LEAVING, "leaving")
            await asyncio.sleep(pause_s)
            await self._mark(domain, pb.MARK_STATE_RETURNING, "returning")
            await asyncio.sleep(pause_s)
            await self._publish_snapshot()
            await asyncio.sleep(pause_s)
            await self._mark(domain, pb.MARK_STATE_UNSPECIFIED, "in service")
            await asyncio.sleep(pause_s)
            await self._switch_preset("ordinary")
            if seconds:
                return

    async def _switch_preset(self, name: str) -> None:
        print(f"* preset {name}", flush=True)
        # Until the switch is accepted, either preset may answer.
        self.preset = ""
        reply = await self._accept(self.cluster.use_new_preset(name), f"preset {name}")
        if reply is not None and reply.code == "accepted":
            self.preset = name

    async def _mark(self, domain: str, state: int, text: str) -> None:
        print(f"* failure domain {domain} {text}", flush=True)
        await self._accept(self.cluster.mark(state, failure_domain=domain), f"{domain} {text}")

    async def _accept(
        self, operation: Coroutine[Any, Any, pb.OperateReply], what: str
    ) -> pb.OperateReply | None:
        """Carry an operation out and print the reply; anything but accepted is a problem."""
        started = time.monotonic()
        try:
            reply = await operation
            require_accepted(reply, what)
        except (LauncherError, OSError, TimeoutError) as error:
            self.report(f"{what}: {error}")
            return None
        elapsed_ms = (time.monotonic() - started) * 1000
        print(f"* {what}: {reply.code} as version {reply.version} in {elapsed_ms:.0f} ms")
        if reply.code != "accepted":
            self.report(f"{what}: {reply.code}, waiting for {', '.join(reply.waiting_for)}")
        return reply

    async def _publish_snapshot(self) -> None:
        self.snapshot += 1
        name = f"s{self.snapshot}"
        print(f"* snapshot {name}, with other shard boundaries", flush=True)
        shift = 200 * (self.snapshot % 2)
        await self.cluster.publish_snapshot(name, shift=shift)

    # ---- Results ----

    def print_results(self) -> None:
        """Print a latency histogram for each class."""
        for name, record in sorted(self.records.items()):
            mean = record.coverage_sum / record.answered if record.answered else 0.0
            print(
                f"\n{name}: {record.answered} answered, {record.whole} whole,"
                f" mean coverage {mean:.4f}, {record.wrong} wrong,"
                f" refused {record.refused_by_code or 'none'}"
            )
            if record.answered:
                print_histogram(record.histogram)

    def exit_status(self) -> ExitStatus:
        """Return whether everything was right."""
        answered = sum(record.answered for record in self.records.values())
        print(f"\n{answered} answers checked, {len(self.problems)} problems")
        return ExitStatus.SUCCESS if answered and not self.problems else ExitStatus.ERROR


def print_histogram(histogram: HdrHistogram) -> None:
    """Print quantiles and a bar for each bucket in milliseconds."""
    quantiles = [
        f"p{quantile:g} {histogram.get_value_at_percentile(quantile) / 1000:.1f}"
        for quantile in QUANTILES
    ]
    print(f"  ms: {'  '.join(quantiles)}")
    counts = [0] * (len(BUCKETS_MS) + 1)
    for item in histogram.get_recorded_iterator():
        value_ms = item.value_iterated_to / 1000
        bucket = next((i for i, top in enumerate(BUCKETS_MS) if value_ms <= top), len(BUCKETS_MS))
        counts[bucket] += item.count_at_value_iterated_to
    labels = [f"<= {top} ms" for top in BUCKETS_MS] + ["above"]
    for label, count in zip(labels, counts, strict=True):
        if count:
            bar = "#" * max(1, round(BAR_WIDTH * count / max(counts)))
            print(f"  {label:>10} {count:>6} {bar}")


async def demonstrate(seconds: float | None) -> ExitStatus:
    """Start everything, run, and print the results."""
    deployment = DUMALAGAN.reduce(groups=GROUPS)
    print("starting the platform, the searchers and 3 instances", flush=True)
    async with Cluster(deployment, searchers={"straggler_one_in": 100}) as cluster:
        print(f"instances: {', '.join(cluster.instances)}; logs in {cluster.log_dir}", flush=True)
        control = next(iter(cluster.instances.values())).addresses["control"]
        print(f"export FLAMINGOSTACK_CONTROL={control}", flush=True)
        demo = Demo(cluster)
        try:
            await demo.run(seconds)
        except asyncio.CancelledError:
            print("interrupted", flush=True)
            asyncio.current_task().uncancel()
        await demo.check_submits()
        demo.print_results()
        return demo.exit_status()


async def run(seconds: float | None) -> ExitStatus:
    """Run until the end or a signal."""
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await demonstrate(seconds)
    except asyncio.CancelledError:
        return ExitStatus.INTERRUPTED
    except LauncherError as error:
        print(f"demo: {error}", file=sys.stderr)
        return ExitStatus.ERROR


def main() -> ExitStatus:
    """Read DEMO_SECONDS and run."""
    text = os.environ.get("DEMO_SECONDS", "")
    try:
        seconds = float(text) if text else None
    except ValueError:
        seconds = 0.0
    if seconds is not None and seconds <= 0:
        print(f"DEMO_SECONDS must be a number above 0, not {text!r}", file=sys.stderr)
        return ExitStatus.USAGE
    return asyncio.run(run(seconds))


if __name__ == "__main__":
    sys.exit(main())
