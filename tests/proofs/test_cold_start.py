"""Invariant 3: a target in cold start receives no more load than it can handle."""

from __future__ import annotations

import asyncio

from flamingostack.generated import messages_pb2 as pb
from standins.launcher import Cluster
from tests.proofs.faults import (
    SETTLE_S,
    find_held_targets,
    find_holders,
    find_over_limit,
    freeze_in_fence,
    restart_cold,
    until_served,
    until_taken_over,
)
from tests.proofs.support import SHORT_LEASES, Load, ProofCase, ask, until, until_balanced

# Searchers that stay cold, under more load than 9 of them take at 2 requests of about 120 ms at
# once, so that each request over the limit is seen.
ALWAYS_COLD = {"start_cold": True, "warm_after": 10**9, "service_ms": 60.0}
OVERLOAD_PER_S = 70
# Warm searchers, of which 9 take 120 queries/s with all 6 slots.
WARM = {"service_ms": 150.0, "warm_after": 20}
FULL_LOAD_PER_S = 130
BURST = 60
# Longer than the dispatch process takes to read an answer on a busy machine.
FLAG_GRACE_MS = 300
SLOW_FACTOR = 6
# Shorter than a new connection takes (6 ms), so that nothing sent after the close is let off, but
# requests that the searcher had received before it are.
CLOSE_GRACE_MS = 5
SETTINGS = {"fleet": SHORT_LEASES, "entry": {"drain_notice_ms": 300}}
LEASE_S = (SHORT_LEASES["lease_ms"] + SHORT_LEASES["lease_margin_ms"]) / 1000
# A takeover is over before the longest requests of the previous owner have ended.
EARLY_TAKEOVER = {"fleet": {**SHORT_LEASES, "sync_ms": 100, "suspect_ms": 200}}
OWNER = "harbour-1"


class ColdCase(ProofCase):
    """Counts requests over the cold limit by the searchers' own count."""

    async def start_cold(
        self, mutant: str = "", settings: dict[str, dict[str, int]] = SETTINGS
    ) -> Cluster:
        """Return a cluster of searchers that stay cold."""
        cluster = await self.start(mutant, settings=settings, searchers=ALWAYS_COLD)
        # Full cold limits: nothing of the start is left over.
        await cluster.reset_searcher_counters()
        return cluster

    async def find_violations(self, cluster: Cluster, what: str) -> dict[str, int]:
        """Return the searchers that had too much at once; all of them must have been busy."""
        over = await find_over_limit(cluster)
        seen = await cluster.fetch_searcher_counters()
        started = sum(item["started"] for item in seen.values())
        self.report(f"{what}: {started} requests, over the cold limit at {over or 'none'}")
        return over


class FreezeTest(ColdCase):
    """Guards against requests of an owner that was frozen, replaced and woken."""

    async def freeze(self, mutant: str = "", process: str | None = None) -> dict[str, int]:
        """Freeze an owner under load, wait for the takeover, and wake it past its lease."""
        cluster = await self.start_cold(mutant)
        targets = await find_held_targets(cluster, OWNER)
        async with Load(cluster, OVERLOAD_PER_S):
            await until_served(cluster, targets)
            if "freeze-in-fence" in mutant:
                await freeze_in_fence(cluster, OWNER)
            else:
                cluster.pause(OWNER, process)
            if process is None:
                await until_taken_over(cluster, OWNER)
                await until_served(cluster, targets)
            else:
                await asyncio.sleep(2 * LEASE_S)
            cluster.resume(OWNER, process)
            await until_served(cluster, targets)
            await asyncio.sleep(SETTLE_S)
        return await self.find_violations(cluster, f"{process or 'instance'} {mutant}")

    async def test_frozen_instance_is_replaced_and_wakes(self):
        self.assertEqual(await self.freeze(), {})

    async def test_owner_frozen_between_check_and_write(self):
        on, off = await asyncio.gather(
            self.freeze("freeze-in-fence"), self.freeze("freeze-in-fence+no-reserve")
        )
        self.assertEqual(on, {})
        self.assertNotEqual(off, {})

    async def test_frozen_dispatch_process_and_store_outage(self):
        frozen, outage = await asyncio.gather(self.freeze(process="dispatch"), self.outage())
        self.assertEqual((frozen, outage), ({}, {}))

    async def outage(self) -> dict[str, int]:
        """Freeze an owner while the store is down, so that nobody may take over, and wake it."""
        cluster = await self.start_cold()
        targets = await find_held_targets(cluster, OWNER)
        others = [item for item in cluster.instances if item != OWNER]
        async with Load(cluster, OVERLOAD_PER_S):
            await until_served(cluster, targets)
            before = await find_holders(cluster, others[0])
            await cluster.set_store_outage("refuse")
            cluster.pause(OWNER)
            await asyncio.sleep(3 * LEASE_S)
            for other in others:
                self.assertEqual(await find_holders(cluster, other), before)
            cluster.resume(OWNER)
            await until_served(cluster, targets)
            await cluster.set_store_outage("none")
            await asyncio.sleep(SETTLE_S)
        return await self.find_violations(cluster, "store outage")


class SuddenTest(ColdCase):
    """Guards against load on a target that turned cold without warning."""

    async def start_warm(self, mutant: str = "") -> Cluster:
        """Return a cluster whose targets are all warm, and at their full limit."""
        cluster = await self.start(mutant, settings=SETTINGS, searchers=WARM)
        await self.warm_up(cluster)
        return cluster

    async def warm_up(self, cluster: Cluster) -> None:
        """Load all targets until each has had requests in all slots."""
        await cluster.reset_searcher_counters()

        async def is_full() -> bool:
            seen = (await cluster.fetch_searcher_counters()).values()
            return all(item["most_in_flight"] == 6 and not item["cold"] for item in seen)

        async with Load(cluster, FULL_LOAD_PER_S):
            await until(is_full, "full load on all targets")

    async def turn_cold(self, cluster: Cluster, mutant: str, **options: object) -> dict[str, int]:
        """Turn all searchers of a failure domain cold at full load."""
        cold = cluster.targets(failure_domain="north")
        async with Load(cluster, FULL_LOAD_PER_S):
            await until_served(cluster, cluster.targets())
            await cluster.reset_searcher_counters()
            await cluster.inject_searcher_fault(cold, "cold", **options)
            await until_served(cluster, cold)
            await asyncio.sleep(SETTLE_S)
        return await self.find_violations(cluster, f"{options} {mutant}")

    async def restart_idle(self, cluster: Cluster, mutant: str) -> dict[str, int]:
        """Restart all searchers while nothing is sent, then send a burst."""
        await self.warm_up(cluster)
        await cluster.reset_searcher_counters()
        await restart_cold(cluster, cluster.targets())
        await asyncio.gather(*(ask(cluster, f"burst-{number}") for number in range(BURST)))
        return await self.find_violations(cluster, f"restart while idle {mutant}")

    async def test_target_turns_cold_at_full_load(self):
        on, off = await asyncio.gather(self.start_warm(), self.start_warm("stay-warm"))
        for options in ({"close": True, "grace_ms": CLOSE_GRACE_MS}, {"grace_ms": FLAG_GRACE_MS}):
            self.assertEqual(await self.turn_cold(on, "", **options), {})
            self.assertNotEqual(await self.turn_cold(off, "stay-warm", **options), {})

    async def test_idle_target_restarts_cold(self):
        mutant = "unwatched-connections"
        on, off = await asyncio.gather(self.start_warm(), self.start_warm(mutant))
        self.assertEqual(await self.restart_idle(on, ""), {})
        self.assertNotEqual(await self.restart_idle(off, mutant), {})

    async def return_cold(self, mutant: str = "") -> dict[str, int]:
        """Take a failure domain out of service, restart its searchers, and bring it back."""
        cluster = await self.start_warm(mutant)
        cold = cluster.targets(failure_domain="north")
        async with Load(cluster, FULL_LOAD_PER_S / 2):
            leaving = await cluster.mark(pb.MARK_STATE_LEAVING, failure_domain="north")
            self.assertEqual(leaving.code, "accepted")
            await restart_cold(cluster, cold)
            returning = await cluster.mark(pb.MARK_STATE_RETURNING, failure_domain="north")
            self.assertEqual(returning.code, "accepted")
            await until_served(cluster, cold)
            cleared = await cluster.mark(pb.MARK_STATE_UNSPECIFIED, failure_domain="north")
            self.assertEqual(cleared.code, "accepted")
            await until_served(cluster, cold)
        return await self.find_violations(cluster, f"failure domain returns {mutant}")

    async def test_failure_domain_returns_cold(self):
        on, off = await asyncio.gather(self.return_cold(), self.return_cold("stay-warm"))
        self.assertEqual(on, {})
        self.assertNotEqual(off, {})


class ReplacementTest(ColdCase):
    """Guards against two owners that send at the same time."""

    async def kill(self, mutant: str = "") -> dict[str, int]:
        """Kill an owner under load and start it again."""
        cluster = await self.start_cold(mutant, EARLY_TAKEOVER)
        targets = await find_held_targets(cluster, OWNER)
        async with Load(cluster, OVERLOAD_PER_S):
            # Requests that run for nearly max_request_ms are still there after a takeover.
            await cluster.inject_searcher_fault(targets, "slow", factor=SLOW_FACTOR)
            await until_served(cluster, targets, more=4)
            await cluster.kill(OWNER)
            await until_taken_over(cluster, OWNER)
            await until_served(cluster, targets, more=4)
            await cluster.inject_searcher_fault(targets, "slow", factor=1)
            cluster.start_instance(OWNER)
            await cluster.set_instance_list()
            await until_balanced(cluster)
            await until_served(cluster, cluster.targets())
        return await self.find_violations(cluster, f"kill {mutant}")

    async def transfer(self, mutant: str = "") -> dict[str, int]:
        """Replace an owner gracefully under load, so that its partitions move twice."""
        cluster = await self.start_cold(mutant)
        async with Load(cluster, OVERLOAD_PER_S):
            await until_served(cluster, cluster.targets())
            await cluster.replace(OWNER, graceful=True)
            await until_balanced(cluster)
            await until_served(cluster, cluster.targets())
        return await self.find_violations(cluster, f"transfer {mutant}")

    async def test_owner_is_killed_and_replaced(self):
        self.assertEqual(await self.kill(), {})

    async def test_partitions_are_transferred(self):
        on, off = await asyncio.gather(self.transfer(), self.transfer("no-drain"))
        self.assertEqual(on, {})
        self.assertNotEqual(off, {})
