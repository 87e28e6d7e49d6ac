"""Invariant 1: every answer is computed from a single index snapshot."""

from __future__ import annotations

import asyncio

from standins.launcher import Cluster
from tests.proofs.support import SERVICE, Load, ProofCase, complete_share, find_problems

SNAPSHOT_CHANGES = 110
# Range boundaries move with every second change, so that queries run both during changes that
# move the boundaries and during changes that don't.
SHIFTS = (0, 700, -1300, 2500)
# Shorter than a query, so that the pinned snapshot of many queries is dropped while they run.
DROP_AFTER_S = 0.02
QUERIES_PER_S = 90


class SnapshotTest(ProofCase):
    """Guards against answers that combine parts of two snapshots while the index changes."""

    async def change_index_under_load(
        self, changes: int, per_s: float = QUERIES_PER_S, mutant: str = ""
    ) -> list[str]:
        """Publish snapshots under load, with one replica down for a third; return the problems."""
        # The delay between failure domains leaves time for a change before a retry.
        cluster = await self.start(mutant, proxied=["instances"])
        stopped_targets = cluster.targets(failure_domain="north")[:1]
        async with Load(cluster, per_s) as load:
            for number in range(2, changes + 2):
                if number == changes // 3:
                    await cluster.inject_searcher_fault(stopped_targets, "down")
                if number == changes * 2 // 3:
                    await cluster.inject_searcher_fault(stopped_targets, "up")
                await asyncio.gather(
                    drop_snapshot_early(cluster, f"s{number - 1}"),
                    cluster.publish_snapshot(
                        f"s{number}",
                        shift=SHIFTS[number // 2 % len(SHIFTS)],
                        keep=1,
                        drop_after_s=DROP_AFTER_S,
                    ),
                )
        witness = await cluster.fetch_searcher_counters()
        missing = sum(counters["snapshot_missing"] for counters in witness.values())
        served_snapshots = {
            name for counters in witness.values() for name in counters["completed_by_snapshot"]
        }
        self.assertGreater(
            missing, 0, "no sub-request met a dropped snapshot, so the test proved nothing"
        )
        self.assertGreater(
            len(served_snapshots), changes // 2, "queries were served from too few of the snapshots"
        )
        problems = find_problems(load.records)
        self.report(
            f"{changes} changes, {len(load.records)} queries, "
            f"{len(served_snapshots)} snapshots served, "
            f"{missing} sub-requests without their snapshot, "
            f"{complete_share(load.records):.1%} whole, {len(problems)} wrong"
        )
        return problems

    async def test_no_answer_mixes_snapshots(self):
        """Guards against parts of another snapshot in an answer, also if range boundaries move."""
        self.assertEqual(await self.change_index_under_load(SNAPSHOT_CHANGES), [])

    async def test_check_fails_if_a_query_follows_the_newest_snapshot(self):
        """Guards against a check that passes even when queries do not pin their snapshot."""
        self.assertNotEqual(
            await self.change_index_under_load(SNAPSHOT_CHANGES // 2, 3 * QUERIES_PER_S, "no-pin"),
            [],
        )


async def drop_snapshot_early(cluster: Cluster, snapshot: str) -> None:
    """Drop a snapshot from two of three replicas, just before the next one is published."""
    for admin in cluster.searcher_admins:
        targets = [
            target
            for target in cluster.targets(SERVICE)
            if cluster.searcher_admin_by_id[target] == admin and not target.endswith("r2")
        ]
        await cluster.call_admin(
            "POST", f"{admin}/snapshots", {"drop": [snapshot], "searchers": targets}
        )
