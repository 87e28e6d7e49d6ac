"""Invariant 7: a request that must not be repeated runs at most once."""

from __future__ import annotations

import asyncio
import random

from standins.launcher import Cluster
from tests.proofs.faults import WITH_SUBMITS, Submitted, submit
from tests.proofs.support import SHORT_LEASES, ProofCase

SETTINGS = {"fleet": SHORT_LEASES, "entry": {"drain_notice_ms": 300}}
SEEDS = (1, 2, 3)
KEYS = 12
# The longest time from the first attempt to the fault; an exchange takes about 60 ms.
SWEEP_S = 0.08


class OnceTest(ProofCase):
    """Guards against a second run, and against "not run" for a key that ran."""

    async def sweep(self, mutant: str = "") -> list[str]:
        """Kill the entry process at seeded times of an exchange, with lost store answers."""
        cluster = await self.start(mutant, deployment=WITH_SUBMITS, settings=SETTINGS)
        answers: list[Submitted] = []
        for seed in SEEDS:
            choose = random.Random(seed)
            killed = choose.choice(list(cluster.instances))
            await cluster.inject_store_fault("lose", probability=0.3, prefix="once/", seed=seed)
            names = [f"{seed}-{number}" for number in range(KEYS)]
            first = [asyncio.create_task(submit(cluster, name, killed)) for name in names]
            await asyncio.sleep(choose.random() * SWEEP_S)
            await cluster.kill(killed, "entry")
            answers += await asyncio.gather(*first)
            answers += await self.retry(cluster, names, killed)
            cluster.start_instance(killed)
            await cluster.wait_ready([killed])
            await cluster.inject_store_fault("lose")
            answers += await self.retry(cluster, names, killed)
        problems = find_problems(answers, await cluster.fetch_runs_by_key())
        kinds = [item.answer.body.get("code") or str(item.answer.status) for item in answers]
        counts = {kind: kinds.count(kind) for kind in sorted(set(kinds))}
        self.report(f"{mutant}: {len(answers)} attempts {counts}, {len(problems)} problems")
        return problems

    async def retry(self, cluster: Cluster, names: list[str], killed: str) -> list[Submitted]:
        """Repeat each submit through all other instances at once."""
        others = [item for item in cluster.instances if item != killed]
        return await asyncio.gather(
            *(submit(cluster, name, other) for name in names for other in others)
        )

    async def test_retries_after_a_killed_entry_process(self):
        on, off = await asyncio.gather(self.sweep(), self.sweep("no-record"))
        self.assertEqual(on, [])
        self.assertNotEqual(off, [])


def find_problems(answers: list[Submitted], runs: dict[str, int]) -> list[str]:
    """Return the keys that ran twice, and the answers that the searchers' runs contradict."""
    problems = [f"{key} ran {count} times" for key, count in runs.items() if count > 1]
    for item in answers:
        ran = runs.get(item.once_key, 0)
        if item.answer.status == 200 and not ran:
            problems.append(f"{item.idempotency_key} has an outcome without a run")
    # An attempt that did not run may be followed by one that did, so only the last one counts.
    last = {item.idempotency_key: item for item in answers}
    problems += [
        f"{name} was refused as not run after it ran"
        for name, item in last.items()
        if item.answer.body.get("ran") == "not_run" and runs.get(item.once_key, 0)
    ]
    return problems
