"""Test of standins.launcher with processes of the tier."""

import asyncio
import unittest

from standins.deployments import DUMALAGAN
from standins.launcher import Cluster, find_answer_error

# Short leases, so that a takeover does not take up most of the test's run time.
FLEET = {"lease_ms": 900, "sync_ms": 150, "suspect_ms": 500, "max_request_ms": 1000}
SETTINGS = {"fleet": FLEET, "entry": {"drain_notice_ms": 200}}


class ClusterTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a launcher that reports an instance as ended, frozen or ready when it is not.

    Other tests check how the tier itself handles the faults.
    """

    async def test_instances_are_frozen_replaced_and_terminated(self):
        deployment = DUMALAGAN.reduce(groups=2, services=("enquiry", "booking"))
        preset = deployment.preset_text("ordinary").partition(b"\n[classes.portal]")[0]
        preset = preset.replace(b"deadline_ms = 1500", b"deadline_ms = 1000")
        async with Cluster(deployment, settings=SETTINGS, preset="") as cluster:
            await cluster.use_new_preset("ordinary", preset)
            await cluster.wait_ready()
            self.assertEqual(len(cluster.running_instances()), 3)
            await self.ask(cluster)
            first, second, third = cluster.instances
            cluster.pause(second)
            await asyncio.sleep(0.5)
            self.assertFalse(await cluster.is_ready(second, timeout_s=0.3))
            self.assertNotIn(second, cluster.caller.ready)
            cluster.resume(second)
            await cluster.wait_ready([second])
            old = cluster.instances[third].processes["entry"].pid
            await cluster.replace(third)
            self.assertNotEqual(cluster.instances[third].processes["entry"].pid, old)
            await cluster.wait_ready([third])
            await self.ask(cluster)
            statuses = await cluster.terminate(first)
            self.assertEqual(set(statuses.values()), {0}, statuses)
            self.assertEqual(len(cluster.running_instances()), 2)

    async def ask(self, cluster: Cluster) -> None:
        answer = await cluster.caller.query("lookup", "q")
        self.assertEqual(answer.status, 200, (answer.body, answer.problem))
        self.assertEqual(find_answer_error(answer.body, "q", 0, 30_000), "")
