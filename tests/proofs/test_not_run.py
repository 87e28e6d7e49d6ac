"""Invariant 6: a refusal that says "not run" means that the request did not run."""

from __future__ import annotations

import asyncio

from tests.proofs.support import SHORT_LEASES, Asked, ProofCase, ask, count_statuses

SETTINGS = {"fleet": SHORT_LEASES, "entry": {"drain_notice_ms": 300}}
BURST = 150
DISPATCH_OF = "harbour-1"


class NotRunTest(ProofCase):
    """Guards against "not run" for a query of which a searcher ran a part."""

    async def refuse(self, mutant: str = "") -> tuple[int, list[str]]:
        """Cause refusals of several kinds; return how many said "not run", and the wrong ones."""
        cluster = await self.start(mutant, settings=SETTINGS, searchers={"service_ms": 80.0})
        first = next(iter(cluster.instances))
        asked: list[Asked] = []

        async def burst(number: int, **fields: object) -> None:
            names = [f"{len(asked)}-{item}" for item in range(number)]
            await asyncio.gather(
                *(ask(cluster, name, first, asked, min_coverage=1, **fields) for name in names)
            )

        await burst(10, deadline_ms=0)
        await burst(BURST, deadline_ms=200)
        overloaded = asyncio.create_task(burst(BURST))
        await asyncio.sleep(0.1)
        await cluster.kill(DISPATCH_OF, "dispatch")
        await overloaded
        cluster.pause(first, "control")
        await asyncio.sleep(2 * SHORT_LEASES["lease_ms"] / 1000)
        await burst(10)
        cluster.resume(first, "control")
        runs = await cluster.fetch_runs_by_request_id()
        refused = [item for item in asked if item.answer.body.get("ran") == "not_run"]
        wrong = []
        for item in refused:
            request_id = item.answer.body["request_id"]
            # Searchers see the caller's request id with the number of the sub-request.
            wrong += [run for run in runs if run.startswith(f"{request_id}.")]
        self.report(f"{mutant}: {count_statuses(asked)}, {len(refused)} not run, {len(wrong)} ran")
        return len(refused), wrong

    async def test_refused_queries_did_not_run(self):
        on, off = await asyncio.gather(self.refuse(), self.refuse("always-not-run"))
        self.assertEqual(on[1], [])
        self.assertGreater(on[0], 10)
        self.assertNotEqual(off[1], [])
