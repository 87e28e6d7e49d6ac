"""Invariant 9: a graceful shutdown interrupts no request."""

from __future__ import annotations

import asyncio
import time

from standins.launcher import Cluster, LauncherError
from tests.proofs.faults import (
    SUBMIT_SERVICE,
    WITH_SUBMITS,
    Submitted,
    find_holders,
    submit,
    until_running,
)
from tests.proofs.support import SHORT_LEASES, Load, ProofCase, count_statuses, find_problems, until

# The balancer asks for /ready every 100 ms and waits 300 ms for each answer.
SETTINGS = {"fleet": SHORT_LEASES, "entry": {"drain_notice_ms": 1000}}
QUERIES_PER_S = 40
# The default of control.shutdown_ms, the longest that a graceful shutdown may take.
EXIT_WITHIN_S = 30.0
READY_WITHIN_S = 30.0
# With a mechanism off, an instance may never get ready; the check only has to see that.
NOT_READY_WITHIN_S = 4.0
# Makes a submit run for about 400 ms, so that it is in flight at SIGTERM.
SLOW_FACTOR = 10
# Events of a process that ended before it had finished.
UNFINISHED = ("leave_timed_out", "requests_interrupted", "shutdown_with_unsettled_records")


class RestartTest(ProofCase):
    """Guards against a request that is cut, refused or lost by a rolling restart."""

    async def roll(self, mutant: str = "", outage: str = "none") -> list[str]:
        """Restart all instances, one after the other, under load; return what went wrong.

        While the store is up, a submit is in flight at each SIGTERM.
        """
        cluster = await self.start(mutant, deployment=WITH_SUBMITS, settings=SETTINGS)
        await cluster.inject_searcher_fault(
            cluster.targets(service=SUBMIT_SERVICE), "slow", factor=SLOW_FACTOR
        )
        await cluster.set_store_outage(outage)
        submits: list[asyncio.Task[Submitted]] = []
        problems: list[str] = []
        async with Load(cluster, QUERIES_PER_S) as load:
            for instance in cluster.instances:
                if outage == "none":
                    submits.append(asyncio.create_task(submit(cluster, instance, instance)))
                    await until_running(cluster, instance)
                problems += await self.restart(cluster, instance, bool(mutant))
                if problems:
                    break
            await asyncio.sleep(1)
        await cluster.set_store_outage("none")
        problems += find_problems(load.asked)
        problems += await self.find_lost_submits(cluster, submits)
        whole = sum(item.is_whole for item in load.asked)
        if whole < len(load.asked):
            problems.append(f"{whole} of {len(load.asked)} whole: {count_statuses(load.asked)}")
        self.report(f"{mutant} store {outage}: {whole} of {len(load.asked)} whole, {problems}")
        return problems

    async def restart(self, cluster: Cluster, instance: str, fails: bool) -> list[str]:
        """Send SIGTERM to all processes of an instance, wait, and start new ones."""
        started = time.monotonic()
        statuses = await cluster.terminate(instance, within_s=EXIT_WITHIN_S)
        elapsed_s = time.monotonic() - started
        problems = [f"{name} ended with {status}" for name, status in statuses.items() if status]
        for process in cluster.instances[instance].processes.values():
            log = process.read_log()
            problems += [f"{process.name}: {event}" for event in UNFINISHED if event in log]
        if problems:
            problems.append(f"{instance} took {elapsed_s:.1f} s")
        cluster.start_instance(instance)
        await cluster.set_instance_list()
        try:
            within_s = NOT_READY_WITHIN_S if fails else READY_WITHIN_S
            await cluster.wait_ready([instance], within_s=within_s)
        except LauncherError as error:
            return [*problems, str(error)]

        async def is_holder() -> bool:
            return instance in (await find_holders(cluster, instance)).values()

        if not problems:
            await until(is_holder, f"a partition for {instance}")
        return problems

    async def find_lost_submits(
        self, cluster: Cluster, submits: list[asyncio.Task[Submitted]]
    ) -> list[str]:
        """Return the submits that were not answered with their outcome, or not run once."""
        runs = await cluster.fetch_runs_by_key()
        problems = []
        for item in await asyncio.gather(*submits):
            seen = (item.answer.status, runs.get(item.once_key, 0))
            if seen != (200, 1):
                problems.append(f"submit {item.idempotency_key}: status and runs {seen}")
        return problems

    async def test_rolling_restart(self):
        on, off = await asyncio.gather(self.roll(), self.roll("exit-at-once"))
        self.assertEqual(on, [])
        self.assertNotEqual(off, [])

    async def test_rolling_restart_while_the_store_is_down(self):
        refusing, hanging = await asyncio.gather(
            self.roll(outage="refuse"), self.roll(outage="hang")
        )
        self.assertEqual((refusing, hanging), ([], []))

    async def test_partitions_that_are_not_transferred_are_lost(self):
        self.assertNotEqual(await self.roll("no-transfer", outage="refuse"), [])
