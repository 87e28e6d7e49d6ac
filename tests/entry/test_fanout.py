"""Tests of hedges, retries, replica choice and links."""

import asyncio
import time
import unittest

from flamingostack.entry.latency import REFRESH_S
from flamingostack.generated import messages_pb2 as pb
from tests.entry.fakes import FAR_NS, Bed, answer, refuse

HALF_SLOW_S = 0.05


def count_extra(bed: Bed) -> int:
    """Return how many sub-requests beyond the first reached a target, for each part."""
    return len(bed.requests) - len({(item.request_id, item.low) for item in bed.requests})


class HedgeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against stragglers that decide the latency, and extra load over the budget."""

    async def warm_up(self, bed: Bed, queries: int = 30) -> None:
        bed.behave(lambda item: (0.002, answer(item)))
        for _ in range(queries):
            await bed.query()
        # The quantile read before there were enough samples is cached for this long.
        await asyncio.sleep(REFRESH_S)

    async def test_straggler_is_hedged_and_the_loser_cancelled(self):
        async with Bed() as bed:
            await self.warm_up(bed)
            # Noise in the warm-up may have spent the budget.
            bed.server.fanout.budget_of("search").earn(100, 5)
            stuck: list[pb.SubRequest] = []

            def behave(item):
                if item.low == 400 and not stuck:
                    stuck.append(item)
                    return None
                return 0.002, answer(item)

            bed.behave(behave)
            _, result = await bed.query(deadline_ms=1900)
            self.assertEqual(result["coverage"], 1)
            # Without a measured quantile it would be hedged only after a third of the deadline.
            self.assertLess(result["elapsed_ms"], 500)
            hedges = [
                item
                for item in bed.requests
                if item.hedge and (item.request_id, item.low) == (result["request_id"], 400)
            ]
            self.assertNotEqual(hedges[0].target, stuck[0].target)
            await asyncio.sleep(0.02)
            self.assertIn(stuck[0].id, bed.cancels)

    async def test_extra_sends_stay_in_the_budget_with_half_of_the_targets_slow(self):
        async with Bed() as bed:
            await self.warm_up(bed)
            slow = {"a": HALF_SLOW_S, "b": HALF_SLOW_S}
            bed.behave(lambda item: (slow.get(item.target[-1], 0.002), answer(item)))
            for _ in range(10):
                await asyncio.gather(*(bed.query() for _ in range(10)))
            primaries = bed.server.fanout.counts.primaries
            self.assertEqual(primaries, 1300)
            self.assertGreater(count_extra(bed), 0)
            self.assertLessEqual(count_extra(bed), primaries * 0.05)

    async def test_failed_sub_requests_are_retried_only_from_the_budget(self):
        async with Bed() as bed:
            bed.behave(
                lambda item: (
                    0.001,
                    answer(item)
                    if item.target.endswith("c")
                    else refuse(item, pb.SUB_STATUS_FAILED),
                )
            )
            for _ in range(30):
                await bed.query()
            self.assertGreater(bed.server.fanout.counts.retries, 0)
            self.assertLessEqual(count_extra(bed), 300 * 0.05)

    async def test_not_run_is_tried_elsewhere_without_budget(self):
        async with Bed() as bed:
            bed.behave(
                lambda item: (
                    0,
                    answer(item)
                    if item.target.endswith("c")
                    else refuse(item, pb.SUB_STATUS_NOT_RUN, "not_owner"),
                )
            )
            _, result = await bed.query()
            self.assertEqual(result["coverage"], 1)

    async def test_tries_after_not_run_are_bounded(self):
        async with Bed() as bed:
            bed.behave(lambda item: (0, refuse(item, pb.SUB_STATUS_NOT_RUN, "not_owner")))
            status, result = await bed.query(deadline_ms=1500)
            self.assertEqual((status, result["code"]), (503, "overloaded"))
            self.assertLessEqual(len(bed.requests), 10 * 3 * 7)

    async def test_full_queues_are_reported_early(self):
        async with Bed() as bed:
            bed.behave(lambda item: (0, refuse(item, pb.SUB_STATUS_NOT_RUN, "queue_full")))
            started = time.monotonic()
            status, result = await bed.query(deadline_ms=1500)
            self.assertEqual((status, result["ran"]), (503, "not_run"))
            self.assertLess(time.monotonic() - started, 0.3)
            self.assertLessEqual(len(bed.requests), 10 * 3)

    async def test_baseline_neither_hedges_nor_retries_and_stays_on_its_instance(self):
        async with Bed(baseline=True) as bed:
            own = bed.environment.settings.dispatch
            own.listen = bed.dispatches[1].address
            bed.server.fanout.replicas.own_address = own.listen

            def behave(item):
                status = pb.SUB_STATUS_NOT_RUN if item.low < 500 else pb.SUB_STATUS_FAILED
                return (0, answer(item)) if item.low % 200 else (0, refuse(item, status))

            bed.behave(behave)
            _, result = await bed.query()
            self.assertEqual((result["coverage"], len(bed.requests)), (0.5, 10))
            self.assertEqual(bed.dispatches[0].requests, [])


class ChoiceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against new work for leaving targets and for targets that are slow or cold."""

    async def test_leaving_domain_and_target_get_nothing_new(self):
        async with Bed() as bed:
            marks = [
                pb.Mark(failure_domain="a", state=pb.MARK_STATE_LEAVING),
                pb.Mark(target="t3b", state=pb.MARK_STATE_LEAVING),
            ]
            bed.apply(marks=marks, version=2)
            for _ in range(20):
                _, result = await bed.query()
                self.assertEqual(result["coverage"], 1)
            targets = {item.target for item in bed.requests}
            self.assertFalse([item for item in targets if item.endswith("a")])
            self.assertNotIn("t3b", targets)

    async def test_slow_and_cold_replicas_get_little(self):
        async with Bed() as bed:

            def behave(item):
                reply = answer(item)
                if item.target.endswith("a"):
                    reply.limit = 1
                return (0.15 if item.target.endswith("b") else 0.001), reply

            bed.behave(behave)
            for _ in range(40):
                await bed.query()
            count_by_domain = {
                domain: sum(item.target.endswith(domain) for item in bed.requests)
                for domain in "abc"
            }
            self.assertGreater(count_by_domain["c"], 250)
            self.assertGreater(count_by_domain["a"], 0)


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Guards against sub-requests that hang or get a wrong outcome when a stream breaks."""

    async def test_broken_stream_fails_what_is_in_flight_and_reconnects(self):
        async with Bed() as bed:
            await bed.query()
            bed.behave(lambda item: None)
            running = asyncio.create_task(bed.submit(deadline_ms=1500))
            await asyncio.sleep(0.05)
            for dispatch in bed.dispatches:
                await dispatch.restart()
            status, result = await running
            self.assertEqual((status, result["code"]), (409, "outcome_unknown"))
            self.assertLess(len(bed.store.objects), 2)
            bed.behave(lambda item: (0, answer(item)))
            await asyncio.sleep(0.3)
            _, result = await bed.query()
            self.assertEqual(result["coverage"], 1)

    async def test_query_that_ends_by_a_broken_stream_is_not_called_again(self):
        async with Bed(dispatches=1) as bed:
            bed.behave(lambda item: None)
            running = asyncio.create_task(bed.query(**{"class": "strict"}))
            await asyncio.sleep(0.05)
            await bed.dispatches[0].restart()
            self.assertEqual((await running)[1]["code"], "coverage_too_low")
            states = bed.server.fanout.replicas._states_by_id.values()
            self.assertEqual({state.outstanding for state in states}, {0})

    async def test_silent_stream_is_given_up_by_lack_of_progress(self):
        async with Bed(dispatches=1) as bed:
            await bed.query()
            bed.dispatches[0].is_silent = True
            started = time.monotonic()
            _, result = await bed.submit(deadline_ms=1500)
            self.assertEqual(result["code"], "outcome_unknown")
            self.assertLess(time.monotonic() - started, 1)

    async def test_silent_stream_is_avoided_before_it_is_given_up(self):
        async with Bed(dispatches=3) as bed:
            bed.environment.settings.dispatch.silent_after_ms = 60_000
            await bed.query()
            bed.dispatches[0].is_silent = True
            unusable = bed.server.fanout.links.unusable_addresses
            for _ in range(20):
                await bed.query(deadline_ms=300)
                if unusable:
                    break
            self.assertEqual(unusable, {bed.dispatches[0].address})
            for _ in range(5):
                _, result = await bed.query(deadline_ms=300)
                self.assertEqual(result["coverage"], 1)
                self.assertLess(result["elapsed_ms"], 250)

    async def test_slow_targets_alone_do_not_break_the_stream(self):
        async with Bed(dispatches=1) as bed:
            bed.behave(lambda item: (0.8, answer(item)))
            status, _ = await bed.submit(deadline_ms=1500)
            self.assertEqual(status, 200)
            link = bed.server.fanout.links.get(bed.dispatches[0].address)
            self.assertEqual(link.breaks, 0)

    async def test_unreachable_dispatch_process_costs_no_coverage(self):
        async with Bed(dispatches=3) as bed:
            await bed.dispatches[2].stop()
            await asyncio.sleep(0.1)
            for _ in range(5):
                _, result = await bed.query()
                self.assertEqual(result["coverage"], 1)

    async def test_lease_that_expires_stops_retries(self):
        async with Bed() as bed:

            def behave(item):
                bed.feed.view.lease_until_ns = 0
                return 0.001, refuse(item, pb.SUB_STATUS_NOT_RUN, "not_current")

            bed.behave(behave)
            status, _ = await bed.query()
            self.assertEqual((status, len(bed.requests)), (503, 10))
            bed.apply(lease_until_ns=FAR_NS)
