"""Invariant 6: a request that is refused as "not run" did not run."""

from __future__ import annotations

import asyncio

from tests.proofs.support import SHORT_LEASES, ProofCase, QueryRecord, count_statuses, send_query

SETTINGS = {"fleet": SHORT_LEASES, "entry": {"drain_notice_ms": 300}}
BURST_QUERIES = 150
KILLED_DISPATCH_INSTANCE = "harbour-1"


class NotRunTest(ProofCase):
    """Guards against "not run" for a query of which a searcher executed a sub-request."""

    async def cause_refusals(self, mutant: str = "") -> tuple[int, list[str]]:
        """Cause refusals of several kinds.

        Returns the number of queries refused as "not run", and the sub-requests of these queries
        that searchers executed nevertheless.
        """
        cluster = await self.start(mutant, settings=SETTINGS, searchers={"service_ms": 80.0})
        first = next(iter(cluster.instances))
        records: list[QueryRecord] = []

        async def send_burst(count: int, **fields: object) -> None:
            queries = [f"{len(records)}-{item}" for item in range(count)]
            await asyncio.gather(
                *(
                    send_query(cluster, query, first, records, min_coverage=1, **fields)
                    for query in queries
                )
            )

        await send_burst(10, deadline_ms=0)
        await send_burst(BURST_QUERIES, deadline_ms=200)
        overload = asyncio.create_task(send_burst(BURST_QUERIES))
        await asyncio.sleep(0.1)
        await cluster.kill(KILLED_DISPATCH_INSTANCE, "dispatch")
        await overload
        cluster.pause(first, "control")
        await asyncio.sleep(2 * SHORT_LEASES["lease_ms"] / 1000)
        await send_burst(10)
        cluster.resume(first, "control")
        runs = await cluster.fetch_runs_by_request_id()
        refused = [item for item in records if item.answer.body.get("ran") == "not_run"]
        executed = []
        for item in refused:
            request_id = item.answer.body["request_id"]
            # Searchers receive the id as REQUEST_ID.NUMBER, with the number of the sub-request.
            executed += [run for run in runs if run.startswith(f"{request_id}.")]
        self.report(
            f"{mutant}: {count_statuses(records)}, {len(refused)} not run, {len(executed)} executed"
        )
        return len(refused), executed

    async def test_refused_queries_did_not_run(self):
        unmodified, mutated = await asyncio.gather(
            self.cause_refusals(), self.cause_refusals("always-not-run")
        )
        self.assertEqual(unmodified[1], [])
        self.assertGreater(unmodified[0], 10)
        self.assertNotEqual(mutated[1], [])
