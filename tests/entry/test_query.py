"""Tests of a query from the caller to the dispatch processes and back."""

import asyncio
import unittest

from flamingostack.generated import messages_pb2 as pb
from tests.entry.fakes import Bed, answer, make_index, refuse

BUSY_MACHINE_MS = 150


def is_whole(result: dict, groups: int = 10) -> bool:
    """Tell whether each part is the right one for its range and the answer's snapshot."""
    number = int(result["snapshot"][1:])
    ranges = [(part["low"], part["high"]) for part in result["parts"]]
    return ranges == [(low, low + 100) for low in range(0, groups * 100, 100)] and all(
        part["count"] == 100 * number and part["snapshot"] == result["snapshot"]
        for part in result["parts"]
    )


class QueryTest(unittest.IsolatedAsyncioTestCase):
    """Guards against answers that are wrong, mixed, late or claim coverage they lack."""

    async def test_query_is_answered_whole(self):
        async with Bed() as bed:
            status, result = await bed.query(query="hello")
            self.assertEqual((status, result["coverage"], result["missing"]), (200, 1, []))
            self.assertTrue(is_whole(result))
            self.assertEqual({part["echo"] for part in result["parts"]}, {"hello"})

    async def test_part_range_is_cut_to_the_request(self):
        async with Bed() as bed:
            _, result = await bed.query(low=150, high=320)
            ranges = [(part["low"], part["high"]) for part in result["parts"]]
            self.assertEqual(ranges, [(150, 200), (200, 300), (300, 320)])
            self.assertEqual(result["coverage"], 1)

    async def test_sub_requests_of_one_iteration_share_a_batch(self):
        async with Bed(dispatches=1) as bed:
            await bed.query()
            self.assertEqual(bed.dispatches[0].batches, 1)

    async def test_silent_group_lowers_coverage_by_its_share_of_keys(self):
        async with Bed() as bed:
            bed.behave(lambda item: None if item.low == 300 else (0, answer(item)))
            status, result = await bed.query(deadline_ms=150, low=250)
            self.assertEqual((status, result["missing"]), (200, [[300, 400]]))
            self.assertAlmostEqual(result["coverage"], 650 / 750)
            # `test_parts` checks that the answer is timed for before the deadline; a busy machine
            # may serve the timer later than that.
            self.assertLess(result["elapsed_ms"], 150 + BUSY_MACHINE_MS)

    async def test_late_and_reordered_replies_reach_only_their_query(self):
        async with Bed() as bed:

            def behave(item):
                delay = 0.12 if item.payload == b'"slow"' else 0.001 * (item.low % 7)
                return delay, answer(item)

            bed.behave(behave)
            slow = [bed.query(query="slow", deadline_ms=80) for _ in range(5)]
            fast = [bed.query(query=f"q{number}", deadline_ms=1900) for number in range(40)]
            results = await asyncio.gather(*slow, *fast)
            await asyncio.sleep(0.2)
            for number, (_, result) in enumerate(results[5:]):
                self.assertEqual({part["echo"] for part in result["parts"]}, {f"q{number}"})
            self.assertTrue(all(result["coverage"] == 0 for _, result in results[:5]))
            again = await bed.query(query="again")
            self.assertEqual({part["echo"] for part in again[1]["parts"]}, {"again"})
            late = sum(
                link.late_replies for link in bed.server.fanout.links.links_by_address.values()
            )
            self.assertGreater(late, 0)

    async def test_malformed_target_answer_is_not_merged(self):
        async with Bed() as bed:

            def behave(item):
                reply = answer(item)
                if item.low == 0:
                    reply.body = b'{"snapshot":'
                if item.low == 100:
                    reply.body = b'{"snapshot": "\xff"}'
                return 0, reply

            bed.behave(behave)
            _, result = await bed.query()
            self.assertEqual(result["missing"], [[0, 200]])


class SnapshotTest(unittest.IsolatedAsyncioTestCase):
    """Guards against answers that mix snapshots, and parts lost although a replica has them."""

    async def test_other_replica_is_asked_if_a_target_lacks_the_snapshot(self):
        async with Bed() as bed:
            missing = pb.SUB_STATUS_SNAPSHOT_MISSING
            bed.behave(
                lambda item: (0, refuse(item, missing) if "b" in item.target else answer(item))
            )
            for _ in range(20):
                _, result = await bed.query()
                self.assertTrue(is_whole(result))

    async def test_query_restarts_on_the_newer_snapshot(self):
        async with Bed() as bed:
            # The targets of half of the ranges drop s7 while the query runs.
            def behave(item):
                if item.snapshot == "s7" and item.low >= 500:
                    if item.target.endswith("a"):
                        bed.apply(index=make_index(snapshots=(7, 8), revision=2))
                    return 0.01, refuse(item, pb.SUB_STATUS_SNAPSHOT_MISSING)
                return 0, answer(item)

            bed.behave(behave)
            _, result = await bed.query()
            self.assertEqual((result["snapshot"], result["coverage"]), ("s8", 1))
            self.assertTrue(is_whole(result))

    async def test_answer_of_another_snapshot_is_never_merged(self):
        async with Bed() as bed:

            def behave(item):
                reply = answer(item)
                if item.low < 300:
                    reply.snapshot = "s6"
                return 0, reply

            bed.behave(behave)
            _, result = await bed.query()
            self.assertEqual((result["snapshot"], result["missing"]), ("s7", [[0, 300]]))

    async def test_map_change_in_flight_keeps_the_pinned_snapshot(self):
        async with Bed() as bed:

            def behave(item):
                bed.apply(index=make_index(groups=5, snapshots=(8,), revision=2))
                return 0.01, answer(item)

            bed.behave(behave)
            _, result = await bed.query()
            self.assertTrue(is_whole(result))
            self.assertEqual(result["snapshot"], "s7")
