"""Invariants 4 and 8: targets taken out of service get no new work after a few seconds."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from flamingostack.generated import messages_pb2 as pb
from standins.launcher import Cluster
from tests.proofs.support import (
    IN_FORCE_WITHIN_S,
    NS_PER_S,
    SHORT_LEASES,
    Load,
    ProofCase,
    boottime_ns,
    complete_share,
    find_problems,
    wait_until,
    wait_until_balanced,
)

LEAVING_DOMAIN = "north"
# Holds the partitions of the leaving failure domain, so that the fault affects their owner.
FAULTY_INSTANCE = "north-1"
QUERIES_PER_S = 60
# How long the load continues after the mark has been accepted.
OBSERVATION_S = 1.2
PROXIED = ("instances", "store")
LEAVING = pb.MARK_STATE_LEAVING
RETURNING = pb.MARK_STATE_RETURNING
# Required share of complete answers while a failure domain leaves and returns (docs/design.md,
# section 1.4).
MIN_COMPLETE_SHARE = 0.99
# Service times long enough for several concurrent requests at each target.
SLOW_SEARCHERS = {"service_ms": 80.0, "warm_after": 15}

Fault = Callable[[Cluster, bool], object]


async def no_fault(cluster: Cluster, on: bool) -> None:
    """Inject no fault."""


async def cut_store(cluster: Cluster, on: bool) -> None:
    """Cut FAULTY_INSTANCE off from the store, so that its requests get no answer."""
    await cluster.inject_link_fault([f"{FAULTY_INSTANCE}>store"], "pause", on=on)


async def cut_all(cluster: Cluster, on: bool) -> None:
    """Cut FAULTY_INSTANCE off from the store and from its peers."""
    others = [item for item in cluster.instances if item != FAULTY_INSTANCE]
    links = [f"{FAULTY_INSTANCE}>store", *cluster.links_between([FAULTY_INSTANCE], others)]
    await cluster.inject_link_fault(links, "pause", on=on)


async def freeze(cluster: Cluster, on: bool) -> None:
    """Freeze FAULTY_INSTANCE, or resume it."""
    (cluster.pause if on else cluster.resume)(FAULTY_INSTANCE)


class LeaveResult:
    """Observations after a target or failure domain was marked as leaving."""

    __slots__ = ("accepted_s", "arrivals", "complete_summary", "problems")

    def __init__(self) -> None:
        self.accepted_s = 0.0
        self.arrivals: dict[str, int] = {}
        self.complete_summary = ""
        self.problems: list[str] = []


class MarksCase(ProofCase):
    """Marks a target or failure domain under load, with a fault at one instance."""

    async def leave(
        self, cluster: Cluster, fault: Fault, targets: list[str], **subject: str
    ) -> LeaveResult:
        """Mark `subject` as leaving during a fault, and count later arrivals at its targets.

        `subject` is either target=ID or failure_domain=NAME. Queries go to all instances in turn,
        including the faulty one. Arrivals count from the acceptance of the mark, but from
        IN_FORCE_WITHIN_S after the request at the latest. The fault ends some time after that.
        """
        result = LeaveResult()
        others = [item for item in cluster.instances if item != FAULTY_INSTANCE]
        async with Load(cluster, QUERIES_PER_S, cluster.instances, deadline_ms=500) as load:
            await self.wait_until_arrivals(cluster, targets, boottime_ns())
            await fault(cluster, True)
            started = boottime_ns()
            reply = await cluster.operate(
                pb.OperateRequest(set_mark=pb.SetMark(state=LEAVING, **subject)),
                instance_id=others[0],
            )
            from_ns = min(boottime_ns(), started + int(IN_FORCE_WITHIN_S * NS_PER_S))
            result.accepted_s = (boottime_ns() - started) / NS_PER_S
            if reply.code != "accepted":
                result.problems.append(f"{reply.code} {reply.message} {list(reply.waiting_for)}")
            await asyncio.sleep(OBSERVATION_S / 2)
            await fault(cluster, False)
            await asyncio.sleep(OBSERVATION_S)
        arrivals = await cluster.fetch_arrivals(after_ns=from_ns)
        result.arrivals = {item: arrivals[item]["count"] for item in targets}
        result.problems += [f"{n} at {item}" for item, n in result.arrivals.items() if n]
        result.problems += find_problems(load.records)
        healthy = [item for item in load.records if item.instance in others]
        result.complete_summary = f"{complete_share(healthy):.2%} whole through the other instances"
        self.report(
            f"{fault.__name__}, {subject}: accepted after {result.accepted_s:.2f} s, "
            f"later arrivals: {sum(result.arrivals.values())}, {result.complete_summary} "
            f"({len(healthy)} queries)"
        )
        return result

    async def wait_until_arrivals(
        self, cluster: Cluster, targets: list[str], since_ns: int
    ) -> None:
        """Wait until each target has had an arrival since `since_ns` (CLOCK_BOOTTIME)."""

        async def have_arrivals() -> bool:
            arrivals = await cluster.fetch_arrivals(after_ns=since_ns)
            return all(arrivals[item]["count"] for item in targets)

        await wait_until(have_arrivals, f"arrivals at {targets}")

    async def leave_and_clear(
        self, cluster: Cluster, fault: Fault, targets: list[str], **subject: str
    ) -> list[str]:
        """Run `leave`, wait for balanced partitions, clear the mark, and return the problems."""
        result = await self.leave(cluster, fault, targets, **subject)
        await wait_until_balanced(cluster)
        await cluster.mark(pb.MARK_STATE_UNSPECIFIED, **subject)
        return result.problems


class LeavingTest(MarksCase):
    """Guards against new work for leaving targets, also from instances with faults."""

    async def find_leave_problems(
        self, faults: list[Fault], subject: str, mutant: str = ""
    ) -> list[str]:
        """Run `leave_and_clear` under each fault; return the problems."""
        cluster = await self.start(mutant, proxied=PROXIED, settings={"fleet": SHORT_LEASES})
        targets = cluster.targets(failure_domain=LEAVING_DOMAIN)
        problems = []
        for fault in faults:
            if subject == "target":
                found = await self.leave_and_clear(cluster, fault, targets[:1], target=targets[0])
            else:
                found = await self.leave_and_clear(
                    cluster, fault, targets, failure_domain=LEAVING_DOMAIN
                )
            problems += [f"{fault.__name__}: {item}" for item in found]
        return problems

    async def test_leaving_failure_domain_and_target_get_nothing(self):
        """Guards against an instance that is cut off or resumes, and sends as before the mark."""
        faults = [no_fault, cut_store, cut_all, freeze]
        problems = await asyncio.gather(
            self.find_leave_problems(faults, "failure domain"),
            self.find_leave_problems(faults, "target"),
        )
        self.assertEqual(problems, [[], []])

    async def test_leaving_failure_domain_gets_nothing_within_five_seconds(self):
        """Guards against default lease durations that are too long for the required 5 s."""
        cluster = await self.start(proxied=PROXIED)
        targets = cluster.targets(failure_domain=LEAVING_DOMAIN)
        result = await self.leave(cluster, cut_all, targets, failure_domain=LEAVING_DOMAIN)
        self.assertEqual(result.problems, [])
        self.assertLessEqual(result.accepted_s, IN_FORCE_WITHIN_S)

    async def test_check_fails_without_marks_or_lease(self):
        """Guards against a check that passes although an instance sends as before the mark."""
        found = await asyncio.gather(
            self.find_leave_problems([no_fault], "target", mutant="no-marks"),
            self.find_leave_problems([cut_all], "failure domain", mutant="endless-lease"),
        )
        for problems in found:
            self.assertTrue(any(" at enquiry" in item for item in problems), problems)


class ReturnTest(MarksCase):
    """Guards against lost service at default settings while a failure domain leaves and returns."""

    async def leave_and_return(self, mutant: str = "") -> tuple[list[str], float, int]:
        """Return problems, the share of complete answers, and the requests over the cold limit."""
        cluster = await self.start(mutant, searchers=SLOW_SEARCHERS)
        targets = cluster.targets(failure_domain=LEAVING_DOMAIN)
        async with Load(cluster, QUERIES_PER_S) as load:
            await self.wait_until_arrivals(cluster, targets, boottime_ns())
            started = time.monotonic()
            reply = await cluster.mark(LEAVING, failure_domain=LEAVING_DOMAIN)
            accepted_ns = boottime_ns()
            accepted_s = time.monotonic() - started
            self.assertEqual(reply.code, "accepted")
            await asyncio.sleep(OBSERVATION_S)
            arrivals = await cluster.fetch_arrivals(after_ns=accepted_ns)
            problems = [f"{arrivals[item]['count']} at {item}" for item in targets]
            problems = [item for item in problems if not item.startswith("0 ")]
            await cluster.inject_searcher_fault(targets, "down")
            await cluster.inject_searcher_fault(targets, "up")
            await cluster.reset_searcher_counters()
            returned = await cluster.mark(RETURNING, failure_domain=LEAVING_DOMAIN)
            self.assertEqual(returned.code, "accepted")

            async def all_warm() -> bool:
                witness = await cluster.fetch_searcher_counters()
                return all(not witness[item]["cold"] for item in targets)

            if not mutant:
                await wait_until(all_warm, "the returned failure domain to be warm")
            else:
                await asyncio.sleep(OBSERVATION_S)
        witness = await cluster.fetch_searcher_counters()
        over_limit = sum(witness[item]["over_cold_limit"] for item in targets)
        cold_most_in_flight = max(witness[item]["cold_most_in_flight"] for item in targets)
        problems += find_problems(load.records)
        self.report(
            f"accepted after {accepted_s:.2f} s, {len(load.records)} queries, "
            f"{complete_share(load.records):.2%} whole, over the cold limit: {over_limit}, "
            f"peak of concurrent requests while cold: {cold_most_in_flight}"
        )
        return problems, complete_share(load.records), over_limit

    async def test_failure_domain_leaves_and_returns(self):
        """Guards against new work after the mark, overload of cold targets, and missing parts."""
        problems, share, over_limit = await self.leave_and_return()
        self.assertEqual(problems, [])
        self.assertEqual(over_limit, 0)
        self.assertGreaterEqual(share, MIN_COMPLETE_SHARE)

    async def test_check_fails_if_a_returning_target_counts_as_warm(self):
        """Guards against a cold limit check that passes even when cold targets count as warm."""
        _, _, over_limit = await self.leave_and_return(mutant="stay-warm")
        self.assertGreater(over_limit, 0)
