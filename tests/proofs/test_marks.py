"""Invariants 4 and 8: what operators take out of service gets no new work after a few seconds."""

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
    find_problems,
    now_ns,
    until,
    until_balanced,
    whole_share,
)

DOMAIN = "north"
# Holds the partitions of the failure domain that leaves, so that the fault hits their owner.
FAULTY = "north-1"
QUERIES_PER_S = 60
# How long the load goes on after the mark was accepted.
WATCH_S = 1.2
PROXIED = ("instances", "store")
LEAVING = pb.MARK_STATE_LEAVING
RETURNING = pb.MARK_STATE_RETURNING
# Section 1.4: the share of complete answers while a failure domain leaves and returns.
WHOLE_SHARE_GOAL = 0.99
# Long enough for several requests at once to each target.
SLOW_SEARCHERS = {"service_ms": 80.0, "warm_after": 15}

Fault = Callable[[Cluster, bool], object]


async def no_fault(cluster: Cluster, on: bool) -> None:
    """Leave everything as it is."""


async def cut_store(cluster: Cluster, on: bool) -> None:
    """Cut one instance off from the store: what is sent gets no answer."""
    await cluster.inject_link_fault([f"{FAULTY}>store"], "pause", on=on)


async def cut_all(cluster: Cluster, on: bool) -> None:
    """Cut one instance off from the store and from its peers."""
    others = [item for item in cluster.instances if item != FAULTY]
    links = [f"{FAULTY}>store", *cluster.links_between([FAULTY], others)]
    await cluster.inject_link_fault(links, "pause", on=on)


async def freeze(cluster: Cluster, on: bool) -> None:
    """Freeze one instance, or wake it."""
    (cluster.pause if on else cluster.resume)(FAULTY)


class Leaving:
    """What was seen while a subject was marked as leaving."""

    __slots__ = ("accepted_s", "arrivals", "shares", "problems")

    def __init__(self) -> None:
        self.accepted_s = 0.0
        self.arrivals: dict[str, int] = {}
        self.shares = ""
        self.problems: list[str] = []


class MarksCase(ProofCase):
    """Marks a subject under load, with a fault at one instance."""

    async def leave(
        self, cluster: Cluster, fault: Fault, targets: list[str], **subject: str
    ) -> Leaving:
        """Mark a subject as leaving during a fault, and count what reaches its targets after it.

        The instances are asked in turn, also the faulty one; it is woken, or reached again, when
        the mark has been accepted.
        """
        seen = Leaving()
        others = [item for item in cluster.instances if item != FAULTY]
        async with Load(cluster, QUERIES_PER_S, cluster.instances, deadline_ms=500) as load:
            await self.until_arrivals(cluster, targets, now_ns())
            await fault(cluster, True)
            started = now_ns()
            reply = await cluster.operate(
                pb.OperateRequest(set_mark=pb.SetMark(state=LEAVING, **subject)),
                instance_id=others[0],
            )
            from_ns = min(now_ns(), started + int(IN_FORCE_WITHIN_S * NS_PER_S))
            seen.accepted_s = (now_ns() - started) / NS_PER_S
            if reply.code != "accepted":
                seen.problems.append(f"{reply.code} {reply.message} {list(reply.waiting_for)}")
            await asyncio.sleep(WATCH_S / 2)
            await fault(cluster, False)
            await asyncio.sleep(WATCH_S)
        arrivals = await cluster.fetch_arrivals(after_ns=from_ns)
        seen.arrivals = {item: arrivals[item]["count"] for item in targets}
        seen.problems += [f"{n} at {item}" for item, n in seen.arrivals.items() if n]
        seen.problems += find_problems(load.asked)
        healthy = [item for item in load.asked if item.instance in others]
        seen.shares = f"{whole_share(healthy):.2%} whole through the other instances"
        self.report(
            f"{fault.__name__}, {subject}: accepted after {seen.accepted_s:.2f} s, arrivals later: "
            f"{sum(seen.arrivals.values())}, {seen.shares} ({len(healthy)} queries)"
        )
        return seen

    async def until_arrivals(self, cluster: Cluster, targets: list[str], since_ns: int) -> None:
        """Wait until each target has had an arrival since a moment."""

        async def all_served() -> bool:
            arrivals = await cluster.fetch_arrivals(after_ns=since_ns)
            return all(arrivals[item]["count"] for item in targets)

        await until(all_served, f"arrivals at {targets}")

    async def leave_and_clear(
        self, cluster: Cluster, fault: Fault, targets: list[str], **subject: str
    ) -> list[str]:
        """Do `leave`, clear the mark and wait until the cluster is as before."""
        seen = await self.leave(cluster, fault, targets, **subject)
        await until_balanced(cluster)
        await cluster.mark(pb.MARK_STATE_UNSPECIFIED, **subject)
        return seen.problems


class LeavingTest(MarksCase):
    """Guards against new work for what has left, also from instances with faults."""

    async def leave_with(self, faults: list[Fault], subject: str, mutant: str = "") -> list[str]:
        """Return what was wrong with one leave under each of the faults."""
        cluster = await self.start(mutant, proxied=PROXIED, settings={"fleet": SHORT_LEASES})
        targets = cluster.targets(failure_domain=DOMAIN)
        problems = []
        for fault in faults:
            if subject == "target":
                found = await self.leave_and_clear(cluster, fault, targets[:1], target=targets[0])
            else:
                found = await self.leave_and_clear(cluster, fault, targets, failure_domain=DOMAIN)
            problems += [f"{fault.__name__}: {item}" for item in found]
        return problems

    async def test_leaving_failure_domain_and_target_get_nothing(self):
        """Guards against an instance that is cut off, or woken, and sends as before the mark."""
        faults = [no_fault, cut_store, cut_all, freeze]
        problems = await asyncio.gather(
            self.leave_with(faults, "failure domain"),
            self.leave_with(faults, "target"),
        )
        self.assertEqual(problems, [[], []])

    async def test_leaving_failure_domain_gets_nothing_within_five_seconds(self):
        """Guards against a default lease that is too long for the stated 5 s."""
        cluster = await self.start(proxied=PROXIED)
        targets = cluster.targets(failure_domain=DOMAIN)
        seen = await self.leave(cluster, cut_all, targets, failure_domain=DOMAIN)
        self.assertEqual(seen.problems, [])
        self.assertLessEqual(seen.accepted_s, IN_FORCE_WITHIN_S)

    async def test_check_fails_without_marks_or_lease(self):
        """Guards against a check that passes although an instance goes on as before."""
        found = await asyncio.gather(
            self.leave_with([no_fault], "target", mutant="no-marks"),
            self.leave_with([cut_all], "failure domain", mutant="endless-lease"),
        )
        for problems in found:
            self.assertTrue(any(" at enquiry" in item for item in problems), problems)


class ReturnTest(MarksCase):
    """Guards against loss of service while a failure domain leaves and returns, at the defaults."""

    async def leave_and_return(self, mutant: str = "") -> tuple[list[str], float, int]:
        """Return what was wrong, the share of whole answers, and the most at once while cold."""
        cluster = await self.start(mutant, searchers=SLOW_SEARCHERS)
        targets = cluster.targets(failure_domain=DOMAIN)
        async with Load(cluster, QUERIES_PER_S) as load:
            await self.until_arrivals(cluster, targets, now_ns())
            started = time.monotonic()
            reply = await cluster.mark(LEAVING, failure_domain=DOMAIN)
            accepted_ns = now_ns()
            accepted_s = time.monotonic() - started
            self.assertEqual(reply.code, "accepted")
            await asyncio.sleep(WATCH_S)
            arrivals = await cluster.fetch_arrivals(after_ns=accepted_ns)
            problems = [f"{arrivals[item]['count']} at {item}" for item in targets]
            problems = [item for item in problems if not item.startswith("0 ")]
            await cluster.inject_searcher_fault(targets, "down")
            await cluster.inject_searcher_fault(targets, "up")
            await cluster.reset_searcher_counters()
            returned = await cluster.mark(RETURNING, failure_domain=DOMAIN)
            self.assertEqual(returned.code, "accepted")

            async def all_warm() -> bool:
                witness = await cluster.fetch_searcher_counters()
                return all(not witness[item]["cold"] for item in targets)

            if not mutant:
                await until(all_warm, "the failure domain serves and is warm again")
            else:
                await asyncio.sleep(WATCH_S)
        witness = await cluster.fetch_searcher_counters()
        over = sum(witness[item]["over_cold_limit"] for item in targets)
        most = max(witness[item]["cold_most_in_flight"] for item in targets)
        problems += find_problems(load.asked)
        self.report(
            f"accepted after {accepted_s:.2f} s, {len(load.asked)} queries, "
            f"{whole_share(load.asked):.2%} whole, over the cold limit: {over}, "
            f"most at once while cold: {most}"
        )
        return problems, whole_share(load.asked), over

    async def test_failure_domain_leaves_and_returns(self):
        """Guards against new work after the mark, overload of cold targets, and lost answers."""
        problems, share, over = await self.leave_and_return()
        self.assertEqual(problems, [])
        self.assertEqual(over, 0)
        self.assertGreaterEqual(share, WHOLE_SHARE_GOAL)

    async def test_check_fails_if_a_returning_target_counts_as_warm(self):
        """Guards against a check of the cold limit that cannot fail."""
        _, _, over = await self.leave_and_return(mutant="stay-warm")
        self.assertGreater(over, 0)
