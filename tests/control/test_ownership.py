"""Tests of transfers, takeovers and shutdown with several control processes."""

import asyncio

from tests.control.cluster import ClusterTest, SeparateInstance, until


class OwnershipTest(ClusterTest):
    """Guards against partitions that stay without an owner, or get two."""

    async def test_killed_instance_is_taken_over(self):
        await self.start("b1", "c1")
        self.cluster.add("a1", SeparateInstance)
        await until(lambda: self.is_balanced(("a1", "b1", "c1")))
        await self.cluster.instances.pop("a1").kill()
        await until(lambda: self.is_balanced(("b1", "c1")))

    async def test_graceful_shutdown_gives_everything_away_at_once(self):
        await self.start("a1", "b1", "c1")
        version = self.cluster.instances["b1"].node.document.version
        await self.cluster.instances.pop("a1").stop()
        await until(self.cluster.is_served, timeout_s=0.3)
        self.assertEqual(self.cluster.instances["b1"].node.document.version, version)

    async def test_sigterm_ends_the_process_with_success_after_its_partitions_are_given(self):
        await self.start("b1", "c1")
        leaving = self.cluster.add("a1", SeparateInstance)
        await until(lambda: self.is_balanced(("a1", "b1", "c1")))
        self.assertEqual(await leaving.stop(), 0)
        del self.cluster.instances["a1"]
        self.assertTrue(self.cluster.is_served())

    async def test_restarted_fleet_takes_over_its_old_partitions(self):
        await self.cluster.start()
        for name in ("a1", "b1"):
            self.cluster.add(name, SeparateInstance)
        await until(lambda: self.is_balanced(("a1", "b1")))
        for name in ("a1", "b1"):
            await self.cluster.instances.pop(name).kill()
        self.cluster.add("a2")
        await until(lambda: self.is_balanced(("a2",)))

    async def test_lost_dispatch_process_loses_its_partitions(self):
        await self.start("a1", "b1")
        self.cluster.instances["a1"].following.cancel()
        await until(lambda: self.cluster.counts()["b1"] == 12)

    async def test_shutdown_does_not_wait_for_a_peer_that_is_gone(self):
        await self.start("a1")
        gone = self.cluster.add("b1", SeparateInstance)
        await until(lambda: self.is_balanced(("a1", "b1")))
        gone.freeze()
        async with asyncio.timeout(2):
            await self.cluster.instances["a1"].stop()


class FollowTest(ClusterTest):
    """Guards against grants that outlive a claim: a transfer needs the drained report."""

    async def test_partition_is_not_transferred_before_it_is_drained(self):
        await self.start("a1")
        instance = self.cluster.instances["a1"]
        instance.keeps_undrained = True
        self.cluster.add("b1")
        await until(lambda: self.cluster.counts()["a1"] == 6)
        await asyncio.sleep(0.3)
        self.assertEqual(self.cluster.counts(), {"a1": 6, "b1": 0})
        instance.keeps_undrained = False
        instance.report_undrained()
        await until(lambda: self.is_balanced(("a1", "b1")))
