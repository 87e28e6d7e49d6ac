"""Tests of bootstrap, fleet separation and operators' requests, with a fake store."""

import asyncio

from flamingostack.generated import messages_pb2 as pb
from tests.control.cluster import INDEX, PRESET, Cluster, ClusterTest, SeparateInstance, wait_until


class BootstrapTest(ClusterTest):
    """Guards against a first start that needs manual steps, and against unbalanced partitions."""

    async def test_first_instance_creates_the_document_without_preset(self):
        await self.start("a1")
        view = self.cluster.instances["a1"].feed.view
        self.assertEqual(view.document.version, 1)
        self.assertIsNone(view.preset)

    async def test_partitions_spread_with_home_domain_first(self):
        await self.start("a1", "b1", "c1")
        partitions = self.cluster.instances["a1"].node.partitions.values()
        holder_is_in_home_domain = [
            item.holder.failure_domain == "abc"[item.number % 3] for item in partitions
        ]
        self.assertEqual(holder_is_in_home_domain, [True] * 12)

    async def test_index_and_preset_reach_every_process(self):
        await self.start("a1", "b1")
        await self.cluster.store.put("index/search", INDEX.SerializeToString())
        self.assertEqual((await self.use_preset()).code, "accepted")
        for instance in self.cluster.instances.values():
            await wait_until(lambda feed=instance.feed: "t1" in feed.view.targets_by_id)
            self.assertEqual(instance.feed.view.preset.name, "ordinary")


class FleetTest(ClusterTest):
    """Guards against two fleets that merge after one has reused an address of the other."""

    async def test_instances_of_another_fleet_are_no_members(self):
        await self.start("a1")
        other = Cluster()
        self.addAsyncCleanup(other.stop)
        await other.start("x1")
        await wait_until(other.is_served)
        nodes = [self.cluster.instances["a1"].node, other.instances["x1"].node]
        other.instances["x1"].process.fleet_store.listed_addresses.add(nodes[0].own.control_address)
        await asyncio.sleep(0.5)
        self.assertEqual([node.membership.peers for node in nodes], [{}, {}])
        self.assertNotEqual(nodes[0].document.fleet, nodes[1].document.fleet)


class OperateTest(ClusterTest):
    """Guards against operators' changes that are lost, made twice, or reported wrongly.

    This can come about when operators change the document at the same time, when the store is
    down or its response to a write is lost, or when an instance is frozen.
    """

    async def test_change_is_accepted_at_once_if_all_confirm(self):
        await self.start("a1", "b1", "c1")
        reply = await self.use_preset()
        self.assertEqual((reply.code, reply.version), ("accepted", 2))
        self.assertLess(reply.elapsed_ms, 1500)
        again = await self.use_preset()
        self.assertEqual((again.code, again.version), ("accepted", 2))

    async def test_stale_operator_gets_the_winner(self):
        await self.start("a1", "b1")
        await self.use_preset(change_id="first")
        mark = pb.SetMark(failure_domain="b", state=pb.MARK_STATE_LEAVING)
        reply = await self.cluster.operate(
            "b1", change_id="second", expected_version=1, set_mark=mark
        )
        self.assertEqual((reply.code, reply.winner.change_id), ("conflict", "first"))

    async def test_lost_answer_is_resolved_by_the_change_id(self):
        await self.start("a1")
        await self.use_preset()
        self.cluster.store.responses_to_drop = 1
        mark = pb.SetMark(failure_domain="b", state=pb.MARK_STATE_LEAVING)
        reply = await self.cluster.operate("a1", change_id="c2", set_mark=mark)
        self.assertEqual((reply.code, reply.version), ("accepted", 3))
        document = self.cluster.instances["a1"].node.document
        self.assertEqual([c.change_id for c in document.recent_changes], ["c1", "c2"])
        self.assertEqual(len(document.marks), 1)

    async def test_unconfirmed_instance_is_waited_for(self):
        await self.start("a1", "b1")
        frozen = self.cluster.add("c1", SeparateInstance)
        await wait_until(lambda: self.is_balanced(("a1", "b1", "c1")))
        frozen.freeze()
        reply = await self.use_preset(wait_ms=700)
        self.assertEqual((reply.code, list(reply.waiting_for)), ("written", ["c1"]))
        reply = await self.use_preset(wait_ms=6000)
        self.assertEqual(reply.code, "accepted")
        self.assertFalse(frozen.feed.is_current())
        frozen.resume()
        await wait_until(lambda: frozen.feed.is_current())
        self.assertEqual(frozen.feed.view.preset.name, "ordinary")

    async def test_bad_requests_are_refused_with_a_reason(self):
        await self.start("a1")
        invalid_requests = [
            {"use_preset": pb.UsePreset(name="missing")},
            {"set_mark": pb.SetMark(failure_domain="nowhere", state=pb.MARK_STATE_LEAVING)},
            {"set_mark": pb.SetMark(state=pb.MARK_STATE_LEAVING)},
            {"put_preset": pb.PutPreset(name="x", body=b"name = 3")},
            {"put_preset": pb.PutPreset(name="other", body=PRESET)},
            {},
        ]
        for request in invalid_requests:
            reply = await self.cluster.operate("a1", change_id="c", **request)
            self.assertEqual(reply.code, "invalid", request)
            self.assertTrue(reply.message)
        self.assertEqual(self.cluster.instances["a1"].node.document.version, 1)

    async def test_preset_text_is_stored_and_shown(self):
        await self.start("a1")
        self.cluster.store.responses_to_drop = 1
        put = pb.PutPreset(name="ordinary", body=PRESET)
        reply = await self.cluster.operate("a1", change_id="p", put_preset=put)
        self.assertEqual(reply.code, "accepted")
        presets = self.cluster.instances["a1"].process.fleet_store.presets
        await wait_until(lambda: presets["ordinary"].body == PRESET if presets else False)

    async def test_store_outage_is_reported(self):
        await self.start("a1")
        self.cluster.store.is_down = True
        reply = await self.use_preset()
        self.assertEqual(reply.code, "store_unavailable")
