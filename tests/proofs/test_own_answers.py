"""Invariant 5: each caller receives the complete answer to its own request."""

from __future__ import annotations

import asyncio
import random
import time

from standins.launcher import Cluster
from tests.proofs.support import Asked, ProofCase, ask, count_statuses, find_problems, whole_share

SEED = 5
CALLERS = 30
RUN_S = 6.0
DEADLINES_MS = (150, 300, 700)
# The stated bound: no request hangs past its deadline plus a second.
GRACE_MS = 1000
# Longer than the shortest deadlines and than the grace, so that answers are late, and so that a
# request that waits for a frozen process shows.
FREEZES_S = (0.2, 0.5, 2.0)
FAULT_PAUSE_S = 0.25
# A link must not be given up for its silence before the frozen process is woken.
SETTINGS = {"dispatch": {"silent_after_ms": 5000}}
REFUSALS = ("overloaded", "not_current", "coverage_too_low", "deadline_expired")


class OwnAnswerTest(ProofCase):
    """Guards against answers that reach another caller, come in part unnoticed, or never."""

    async def disturb(self, mutant: str = "", run_s: float = RUN_S) -> list[str]:
        """Run many callers while links and dispatch processes fail; return what was wrong."""
        cluster = await self.start(mutant, proxied=["instances", "callers"], settings=SETTINGS)
        generator = random.Random(SEED)
        await cluster.inject_link_fault(cluster.links(), "delay", jitter_ms=20)
        asked: list[Asked] = []
        end = time.monotonic() + run_s
        callers = [
            self.call(cluster, f"caller-{number}", random.Random(number), end, asked)
            for number in range(CALLERS)
        ]
        await asyncio.gather(self.inject(cluster, generator, end), *callers)
        problems = find_problems(asked)
        for item in asked:
            answer, code = item.answer, item.answer.body.get("code")
            deadline_ms = int(item.query.rpartition("/")[2])
            if answer.elapsed_ms > deadline_ms + GRACE_MS:
                problems.append(f"{answer.elapsed_ms:.0f} ms for a deadline of {deadline_ms} ms")
            if answer.status != 200 and code not in REFUSALS:
                problems.append(f"{answer.status} {answer.problem} {answer.body}")
        late = await self.count_late(cluster)
        self.report(
            f"{len(asked)} queries, {whole_share(asked):.1%} whole, {late} late replies dropped, "
            f"{count_statuses(asked)}, {len(problems)} wrong"
        )
        self.assertTrue(mutant or late > 0, "no answer came late, so nothing was proved")
        return problems

    async def call(
        self,
        cluster: Cluster,
        name: str,
        generator: random.Random,
        end: float,
        asked: list[Asked],
    ) -> None:
        """Ask unique queries one after another through changing instances."""
        number = 0
        while time.monotonic() < end:
            number += 1
            deadline_ms = generator.choice(DEADLINES_MS)
            instance = generator.choice(list(cluster.instances))
            query = f"{name}/{number}/{deadline_ms}"
            await ask(cluster, query, instance, asked, deadline_ms=deadline_ms)

    async def inject(self, cluster: Cluster, generator: random.Random, end: float) -> None:
        """Cut links and freeze dispatch processes, each woken late."""
        links = cluster.links_between(cluster.instances, cluster.instances)
        dispatch_links = [link for link in links if link.endswith(".dispatch")]
        freezes = 0
        while time.monotonic() < end:
            await cluster.inject_link_fault(generator.sample(dispatch_links, 2), "cut")
            await asyncio.sleep(FAULT_PAUSE_S)
            frozen = generator.choice(list(cluster.instances))
            cluster.pause(frozen, "dispatch")
            await asyncio.sleep(FREEZES_S[freezes % len(FREEZES_S)])
            cluster.resume(frozen, "dispatch")
            freezes += 1
            await asyncio.sleep(FAULT_PAUSE_S)

    async def count_late(self, cluster: Cluster) -> int:
        """Return how many replies came after their sub-request had ended."""
        total = 0
        for instance in cluster.instances:
            async with cluster.session.get(f"{cluster.caller_url(instance)}/metrics") as answer:
                for line in (await answer.text()).splitlines():
                    if line.startswith("flamingostack_sub_request_late_replies_total"):
                        total += int(float(line.split()[-1]))
        return total

    async def test_each_caller_gets_its_own_answer_in_time(self):
        """Guards against late or out-of-order answers that are taken for another request's."""
        self.assertEqual(await self.disturb(), [])

    async def test_check_fails_without_ids_or_deadlines(self):
        """Guards against checks that cannot fail."""
        mixed, late = await asyncio.gather(
            self.disturb("replies-by-order", run_s=1.5),
            self.disturb("no-deadline", run_s=3.0),
        )
        self.assertTrue(any("instead of" in item for item in mixed), mixed[:3])
        self.assertTrue(any("for a deadline of" in item for item in late), late[:3])
