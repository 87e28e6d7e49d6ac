"""Tests of several control processes during a store outage."""

import asyncio

from tests.control.cluster import INDEX, ClusterTest, wait_until


class OutageTest(ClusterTest):
    """Guards against a store outage that interrupts service or prevents an instance's start.

    Without the store, leases depend on the votes of peers, and the document, preset and index maps
    on copies from peers.
    """

    async def test_service_continues_without_the_store(self):
        await self.start("a1", "b1", "c1")
        self.cluster.store.is_down = True
        await asyncio.sleep(2.5)
        for instance in self.cluster.instances.values():
            self.assertTrue(instance.feed.is_current())
            self.assertEqual(instance.node.lease_source, "vote")

    async def test_instance_started_in_an_outage_serves(self):
        await self.start("a1", "b1")
        await self.cluster.store.put("index/search", INDEX.SerializeToString())
        await self.use_preset()
        await wait_until(lambda: self.cluster.instances["a1"].node.indexes)
        self.cluster.store.is_down = True
        added = self.cluster.add("c1")
        await wait_until(lambda: self.is_balanced(("a1", "b1", "c1")))
        self.assertEqual(added.feed.view.preset.name, "ordinary")
        self.assertIn("t1", added.feed.view.targets_by_id)

    async def test_rolling_replacement_without_the_store(self):
        await self.start("a1", "b1")
        self.cluster.store.is_down = True
        for old, new in (("a1", "a2"), ("b1", "b2")):
            self.cluster.add(new)
            await wait_until(lambda: self.cluster.partition_counts()[new] > 0)  # noqa: B023
            await self.cluster.instances.pop(old).stop()
        await wait_until(lambda: self.is_balanced(("a2", "b2")))
