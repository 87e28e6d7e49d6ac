"""Demonstration of the tier with stand-ins for the systems around it; started by `make demo`.

Starts a platform, the searchers of a reduced deployment and 3 instances in 3 failure domains, sends
queries and checks every answer. Meanwhile it switches the preset, takes a failure domain out of
service and back, and publishes a snapshot. Ctrl-C ends it, or DEMO_SECONDS=n after n seconds. The
exit status is 1 if an answer was wrong, an operation was not accepted, or nothing was answered.
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
from .launcher import Answer, Cluster, LauncherError, find_answer_error, require_accepted

GROUPS = 4
RATES_PER_S = {"lookup": 20.0, "enquiry": 15.0, "availability": 10.0, "portal": 5.0, "meter": 5.0}
SUBMITS_PER_S = 3.0
PRINT_INTERVAL_S = 1.0
# Duration of one round of operations if DEMO_SECONDS is not set.
ROUND_DURATION_S = 30.0
SEED = 7
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
BAR_WIDTH = 40
BUCKETS_MS = (5, 10, 20, 30, 40, 50, 75, 100, 150, 200, 400, 800, 1600)


class ClassStatistics:
    """Answers and refusals of one request class; `histogram` holds latencies in microseconds."""

    __slots__ = ("histogram", "answered", "whole", "coverage_sum", "refused_by_code", "wrong")

    def __init__(self) -> None:
        self.histogram: HdrHistogram = make_histogram()
        self.answered = 0
        self.whole = 0
        self.coverage_sum = 0.0
        self.refused_by_code: dict[str, int] = {}
        self.wrong = 0


class Demo:
    """The callers and the operator of the demonstration."""

    __slots__ = (
        "cluster",
        "deployment",
        "statistics_by_class",
        "problems",
        "preset",
        "last_answer_by_class",
        "snapshot",
        "_generator",
        "_tasks",
        "_request_count",
        "_answered_submits",
    )

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.deployment: Deployment = cluster.deployment
        self.statistics_by_class: dict[str, ClassStatistics] = {}
        self.problems: list[str] = []
        self.preset = cluster.preset
        self.last_answer_by_class: dict[str, tuple[str, Answer]] = {}
        self.snapshot = 1
        self._generator = random.Random(SEED)
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0
        self._answered_submits = 0

    async def run(self, seconds: float | None) -> None:
        """Send requests and run operations for `seconds`, or until cancelled if None."""
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

    async def _send(
        self, rate_per_s: float, make_request: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Start requests as a Poisson process, whether or not earlier ones were answered."""
        send_at = time.monotonic()
        while True:
            send_at += self._generator.expovariate(rate_per_s)
            await asyncio.sleep(max(send_at - time.monotonic(), 0))
            task = asyncio.create_task(make_request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _get_statistics(self, name: str) -> ClassStatistics:
        return self.statistics_by_class.setdefault(name, ClassStatistics())

    async def _query(self, name: str) -> None:
        """Send one query over the whole keyspace and check the answer."""
        self._request_count += 1
        query = f"{name} {self._request_count}"
        keyspace = self.deployment.service(self.deployment.query_classes[name]).keyspace
        expected_preset = self.preset
        answer = await self.cluster.caller.query(name, query)
        statistics = self._get_statistics(name)
        if answer.status != 200:
            code = answer.body.get("code", answer.problem or str(answer.status))
            statistics.refused_by_code[code] = statistics.refused_by_code.get(code, 0) + 1
            return
        statistics.answered += 1
        statistics.histogram.record_value(int(answer.elapsed_ms * 1000))
        statistics.coverage_sum += answer.body["coverage"]
        statistics.whole += answer.body["coverage"] == 1
        problem = find_answer_error(answer.body, query, 0, keyspace)
        if not problem and expected_preset and answer.body["preset"] != expected_preset:
            problem = f"preset {answer.body['preset']} after {expected_preset} was accepted"
        if problem:
            statistics.wrong += 1
            self.report_problem(f"wrong answer to {query!r}: {problem}")
        self.last_answer_by_class[name] = (query, answer)

    async def _submit(self, name: str) -> None:
        """Send one request that must run at most once, and check the answer."""
        self._request_count += 1
        key = self._generator.randrange(1000)
        idempotency_key = f"{name}-{self._request_count}"
        answer = await self.cluster.caller.submit(name, idempotency_key, key, {"visit": key})
        statistics = self._get_statistics(name)
        if answer.status != 200:
            code = answer.body.get("code", answer.problem or str(answer.status))
            statistics.refused_by_code[code] = statistics.refused_by_code.get(code, 0) + 1
            return
        statistics.answered += 1
        statistics.whole += 1
        statistics.coverage_sum += 1
        statistics.histogram.record_value(int(answer.elapsed_ms * 1000))
        self._answered_submits += 1
        echo = answer.body["outcome"]["echo"]
        if echo != {"visit": key}:
            statistics.wrong += 1
            self.report_problem(f"wrong answer to submit {idempotency_key}: {echo}")

    async def check_submits(self) -> None:
        """Check that each submit ran at most once, and that every answered submit ran."""
        runs = (await self.cluster.fetch_runs_by_key()).values()
        if any(count > 1 for count in runs):
            self.report_problem(f"a submit ran more than once: {sorted(runs)[-1]} times")
        if len(runs) < self._answered_submits:
            self.report_problem(
                f"{self._answered_submits} submits were answered as run, {len(runs)} ran"
            )
        print(f"submits: {self._answered_submits} answered, {len(runs)} ran, none twice")

    def report_problem(self, problem: str) -> None:
        """Record and print a problem."""
        self.problems.append(problem)
        print(f"PROBLEM: {problem}", flush=True)

    async def _print_answers(self) -> None:
        while True:
            await asyncio.sleep(PRINT_INTERVAL_S)
            for query, answer in self.last_answer_by_class.values():
                body = answer.body
                total = sum(part["count"] for part in body["parts"])
                print(
                    f"  {query:<20} via {answer.instance:<10} coverage {body['coverage']:.3f}"
                    f"  snapshot {body['snapshot']:<4} parts {len(body['parts'])}  sum {total:<8}"
                    f" preset {body['preset']:<12} {answer.elapsed_ms:6.1f} ms",
                    flush=True,
                )
            self.last_answer_by_class.clear()

    async def _operate(self, seconds: float | None) -> None:
        """Run the operations, spread over `seconds`; repeat them for ever if None."""
        pause_s = (seconds or ROUND_DURATION_S) / 9
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
        # Until the switch is accepted, answers may use either preset.
        self.preset = ""
        reply = await self._run_operation(self.cluster.use_new_preset(name), f"preset {name}")
        if reply is not None and reply.code == "accepted":
            self.preset = name

    async def _mark(self, domain: str, state: int, text: str) -> None:
        print(f"* failure domain {domain} {text}", flush=True)
        await self._run_operation(
            self.cluster.mark(state, failure_domain=domain), f"{domain} {text}"
        )

    async def _run_operation(
        self, operation: Coroutine[Any, Any, pb.OperateReply], operation_name: str
    ) -> pb.OperateReply | None:
        """Run an operation and print the reply; any outcome but "accepted" is a problem."""
        started = time.monotonic()
        try:
            reply = await operation
            require_accepted(reply, operation_name)
        except (LauncherError, OSError, TimeoutError) as error:
            self.report_problem(f"{operation_name}: {error}")
            return None
        elapsed_ms = (time.monotonic() - started) * 1000
        print(f"* {operation_name}: {reply.code} as version {reply.version} in {elapsed_ms:.0f} ms")
        if reply.code != "accepted":
            self.report_problem(
                f"{operation_name}: {reply.code}, waiting for {', '.join(reply.waiting_for)}"
            )
        return reply

    async def _publish_snapshot(self) -> None:
        self.snapshot += 1
        name = f"s{self.snapshot}"
        print(f"* snapshot {name}, with other shard boundaries", flush=True)
        shift = 200 * (self.snapshot % 2)
        await self.cluster.publish_snapshot(name, shift=shift)

    def print_results(self) -> None:
        """Print the counts and latencies of each class."""
        for name, statistics in sorted(self.statistics_by_class.items()):
            mean = statistics.coverage_sum / statistics.answered if statistics.answered else 0.0
            print(
                f"\n{name}: {statistics.answered} answered, {statistics.whole} whole,"
                f" mean coverage {mean:.4f}, {statistics.wrong} wrong,"
                f" refused {statistics.refused_by_code or 'none'}"
            )
            if statistics.answered:
                print_latencies(statistics.histogram)

    def exit_status(self) -> ExitStatus:
        """Print a summary; return SUCCESS if there were answers and no problems."""
        answered = sum(statistics.answered for statistics in self.statistics_by_class.values())
        print(f"\n{answered} answers checked, {len(self.problems)} problems")
        return ExitStatus.SUCCESS if answered and not self.problems else ExitStatus.ERROR


def print_latencies(histogram: HdrHistogram) -> None:
    """Print percentiles in milliseconds, and the count and a bar for each bucket."""
    percentiles = [
        f"p{percentile:g} {histogram.get_value_at_percentile(percentile) / 1000:.1f}"
        for percentile in PERCENTILES
    ]
    print(f"  ms: {'  '.join(percentiles)}")
    counts = [0] * (len(BUCKETS_MS) + 1)
    for item in histogram.get_recorded_iterator():
        value_ms = item.value_iterated_to / 1000
        bucket = next(
            (i for i, limit_ms in enumerate(BUCKETS_MS) if value_ms <= limit_ms), len(BUCKETS_MS)
        )
        counts[bucket] += item.count_at_value_iterated_to
    labels = [f"<= {limit_ms} ms" for limit_ms in BUCKETS_MS] + ["above"]
    for label, count in zip(labels, counts, strict=True):
        if count:
            bar = "#" * max(1, round(BAR_WIDTH * count / max(counts)))
            print(f"  {label:>10} {count:>6} {bar}")


async def demonstrate(seconds: float | None) -> ExitStatus:
    """Start a cluster, run the demonstration, and print the results."""
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
    """Run the demonstration until its end, SIGINT or SIGTERM."""
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
    """Read DEMO_SECONDS and run the demonstration."""
    text = os.environ.get("DEMO_SECONDS", "")
    try:
        seconds = float(text) if text else None
    except ValueError:
        seconds = 0.0
    if seconds is not None and seconds <= 0:
        print(f"DEMO_SECONDS must be a number above 0, but is {text!r}", file=sys.stderr)
        return ExitStatus.USAGE
    return asyncio.run(run(seconds))


if __name__ == "__main__":
    sys.exit(main())
