"""Invariant 1: every answer reflects one index snapshot."""

from __future__ import annotations

import asyncio

from standins.launcher import Cluster
from tests.proofs.support import SERVICE, Load, ProofCase, find_problems, whole_share

CHANGES = 110
# Boundaries move at every second change, so that both kinds of change meet running queries.
SHIFTS = (0, 700, -1300, 2500)
# Shorter than a query, so that many queries lose the snapshot that they have pinned.
DROP_AFTER_S = 0.02
QUERIES_PER_S = 90


class SnapshotTest(ProofCase):
    """Guards against answers that mix the parts of two snapshots while the index changes."""

    async def change_index(
        self, changes: int, per_s: float = QUERIES_PER_S, mutant: str = ""
    ) -> list[str]:
        """Change the index under load, with one replica lost meanwhile; return what was wrong."""
        # The delay between failure domains leaves time for a change during a second try.
        cluster = await self.start(mutant, proxied=["instances"])
        lost = cluster.targets(failure_domain="north")[:1]
        async with Load(cluster, per_s) as load:
            for number in range(2, changes + 2):
                if number == changes // 3:
                    await cluster.inject_searcher_fault(lost, "down")
                if number == changes * 2 // 3:
                    await cluster.inject_searcher_fault(lost, "up")
                await asyncio.gather(
                    drop_early(cluster, f"s{number - 1}"),
                    cluster.publish_snapshot(
                        f"s{number}",
                        shift=SHIFTS[number // 2 % len(SHIFTS)],
                        keep=1,
                        drop_after_s=DROP_AFTER_S,
                    ),
                )
        witness = await cluster.fetch_searcher_counters()
        missing = sum(seen["snapshot_missing"] for seen in witness.values())
        served = {name for seen in witness.values() for name in seen["completed_by_snapshot"]}
        self.assertGreater(missing, 0, "no query lost its snapshot, so nothing was proved")
        self.assertGreater(len(served), changes // 2, "the load met too few of the snapshots")
        problems = find_problems(load.asked)
        self.report(
            f"{changes} changes, {len(load.asked)} queries, {len(served)} snapshots served, "
            f"{missing} sub-requests without their snapshot, "
            f"{whole_share(load.asked):.1%} whole, {len(problems)} wrong"
        )
        return problems

    async def test_no_answer_mixes_snapshots(self):
        """Guards against parts of another snapshot in an answer, also after repartitions."""
        self.assertEqual(await self.change_index(CHANGES), [])

    async def test_check_fails_if_a_query_follows_the_newest_snapshot(self):
        """Guards against a check that cannot fail."""
        self.assertNotEqual(await self.change_index(CHANGES // 2, 3 * QUERIES_PER_S, "no-pin"), [])


async def drop_early(cluster: Cluster, snapshot: str) -> None:
    """Let two of three replicas forget a snapshot just before the next one is published."""
    for admin in cluster.searcher_admins:
        early = [
            target
            for target in cluster.targets(SERVICE)
            if cluster.searcher_admin_by_id[target] == admin and not target.endswith("r2")
        ]
        await cluster.call_admin(
            "POST", f"{admin}/snapshots", {"drop": [snapshot], "searchers": early}
        )
