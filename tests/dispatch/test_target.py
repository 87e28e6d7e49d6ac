"""Tests of flamingostack.dispatch.target and ownership against a fake searcher."""

import asyncio
import random
import unittest

from flamingostack.clock import ms_to_ns
from flamingostack.dispatch.limit import LimitState
from flamingostack.generated import messages_pb2 as pb

from .support import NOT_RUN, OK, make_target, serving, until

LEAVING = pb.Mark(target="t1", state=pb.MARK_STATE_LEAVING)
RETURNING = pb.Mark(target="t1", state=pb.MARK_STATE_RETURNING)
FAILED = pb.SUB_STATUS_FAILED


class SendTest(unittest.IsolatedAsyncioTestCase):
    """Guards against work that is sent although it must not be, and against wrong outcomes."""

    async def refuse_between_queueing_and_writing(self, change, reason):
        async with serving(cold_limit=1) as (bench, searcher):
            number = bench.send(deadline_ms=1000)
            # The target's task has started the request, but the connection is not open yet.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertEqual(bench.target().in_flight, 1)
            change(bench)
            reply = await bench.reply(number)
            self.assertEqual((reply.status, reply.reason), (NOT_RUN, reason))
            self.assertEqual(searcher.bodies, [])

    async def test_lease_that_expired_while_frozen(self):
        def freeze(bench):
            bench.skew_ns += ms_to_ns(bench.lease_ms + 1)

        await self.refuse_between_queueing_and_writing(freeze, "not_current")

    async def test_deadline_that_passed_before_the_write(self):
        def wait(bench):
            bench.skew_ns += ms_to_ns(1001)

        await self.refuse_between_queueing_and_writing(wait, "deadline")

    async def test_grant_that_was_withdrawn_before_the_write(self):
        await self.refuse_between_queueing_and_writing(
            lambda bench: bench.update(grants=()), "not_owner"
        )

    async def test_grant_that_came_back_with_another_transfer(self):
        def regrant(bench):
            bench.update(grants=[(0, 1, 3, 0)])

        await self.refuse_between_queueing_and_writing(regrant, "not_owner")

    async def test_mark_that_was_set_before_the_write(self):
        await self.refuse_between_queueing_and_writing(
            lambda bench: bench.update(marks=[LEAVING]), "leaving"
        )

    async def test_queued_work_is_not_sent_after_a_freeze(self):
        async with serving(cold_limit=1) as (bench, searcher):
            searcher.mode = "wait"
            numbers = [bench.send(), bench.send()]
            await until(lambda: searcher.running)
            bench.skew_ns += ms_to_ns(bench.lease_ms + 1)
            searcher.go_on.set()
            replies = [await bench.reply(number) for number in numbers]
            self.assertEqual([reply.status for reply in replies], [OK, NOT_RUN])
            self.assertEqual(len(searcher.bodies), 1)

    async def test_post_on_a_closed_connection_is_not_resent(self):
        async with serving() as (bench, searcher):
            self.assertEqual((await bench.ask()).status, OK)
            searcher.mode = "close"
            search = await bench.ask()
            submit = await bench.ask(once_key="k1")
            for reply in (search, submit):
                self.assertEqual((reply.status, reply.reason), (FAILED, "connection_lost"))
            self.assertEqual(len(searcher.bodies), 3)
            self.assertIs(bench.target().limit.state, LimitState.COLD)

    async def test_submit_goes_to_its_path_with_its_key(self):
        async with serving() as (bench, searcher):
            self.assertEqual((await bench.ask(once_key="k1")).status, OK)
            self.assertEqual(searcher.headers[0]["path"], "/submit")
            self.assertEqual(searcher.headers[0]["Request-Key"], "k1")
            outcomes = {503: pb.SUB_STATUS_TARGET_SHED, 504: FAILED, 500: FAILED}
            outcomes[409] = pb.SUB_STATUS_SNAPSHOT_MISSING
            for searcher.mode, status in outcomes.items():
                self.assertEqual((await bench.ask(once_key="k2")).status, status)
            self.assertEqual(len(searcher.bodies), 5)

    async def test_search_statuses(self):
        async with serving() as (bench, searcher):
            outcomes = {409: "snapshot_missing", 503: "shed", 504: "target_deadline"}
            for searcher.mode, reason in outcomes.items():
                self.assertEqual((await bench.ask()).reason, reason)

    async def test_target_that_refuses_connections(self):
        async with serving() as (bench, searcher):
            await searcher.runner.cleanup()
            reply = await bench.ask()
            self.assertEqual((reply.status, reply.reason), (NOT_RUN, "connect_failed"))

    async def test_not_run_only_without_a_complete_request(self):
        # Guards against "not run" for a request that the target may have run, under any mixture
        # of closed and slow connections, cancellations, deadlines, marks and withdrawn grants.
        for seed in range(4):
            choose = random.Random(seed)
            async with serving(slots=6, cold_limit=6) as (bench, searcher):
                searcher.delay_s = 0.005
                for _ in range(60):
                    searcher.mode = choose.choice(["ok", "ok", "close", 503, 504])
                    numbers = [bench.send(deadline_ms=choose.choice([2, 8, 500])) for _ in range(4)]
                    await asyncio.sleep(choose.choice([0, 0.002, 0.006]))
                    work = bench.sink.work_by_id.get(choose.choice(numbers))
                    if work is not None:
                        bench.ownership.cancel(work)
                    if choose.random() < 0.2:
                        bench.update(grants=choose.choice([(), [(0, 1, bench.version, 0)]]))
                    else:
                        bench.update(marks=choose.choice([(), (), [LEAVING]]))
                await until(lambda: len(bench.sink.replies_by_id) == bench.next_id)
                arrived = {headers["Request-Id"] for headers in searcher.headers}
                replies = bench.sink.replies_by_id.values()
                not_run = {f"r1.{reply.id}" for reply in replies if reply.status == NOT_RUN}
                self.assertTrue(arrived and not_run)
                self.assertEqual(arrived & not_run, set())
                self.assertEqual(len(arrived), len(searcher.headers))


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against too much load and too many connections on a target."""

    async def test_cold_target_gets_no_more_than_its_limit(self):
        async with serving(slots=6, cold_limit=3) as (bench, searcher):
            searcher.cold = "1"
            searcher.delay_s = 0.005
            bench.update(grants=[(0, 1, 1, 1)])
            await asyncio.gather(*(bench.ask() for _ in range(12)))
            self.assertEqual(searcher.most_running, 2)
            bench.update(grants=[(0, 1, 1, 3)])
            reply = await bench.ask()
            self.assertEqual((reply.status, reply.reason), (NOT_RUN, "queue_full"))

    async def test_warm_target_gets_its_slots(self):
        async with serving(slots=6, cold_limit=1) as (bench, searcher):
            for _ in range(7):
                await bench.ask()
            searcher.mode = "wait"
            numbers = [bench.send() for _ in range(10)]
            await until(lambda: searcher.running == 6)
            self.assertEqual(bench.target().queue.length, 4)
            searcher.go_on.set()
            for number in numbers:
                self.assertEqual((await bench.reply(number)).status, OK)
            self.assertEqual(searcher.most_running, 6)

    async def test_warm_target_that_closed_its_connections_counts_as_cold(self):
        # Guards against a burst to a target that restarted while nothing was sent to it.
        async with serving(slots=6, cold_limit=1) as (bench, searcher):
            for _ in range(7):
                await bench.ask()
            self.assertIs(bench.target().limit.state, LimitState.WARM)
            for transport in searcher.connections:
                transport.abort()
            searcher.delay_s = 0.02
            numbers = [bench.send() for _ in range(10)]
            await until(lambda: searcher.running)
            self.assertEqual(bench.target().limit.current, 1)
            searcher.most_running = 0
            for number in numbers[:2]:
                self.assertEqual((await bench.reply(number)).status, OK)
            self.assertEqual(searcher.most_running, 1)

    async def test_connections_that_dispatch_closes_leave_a_target_warm_but_for_the_last(self):
        # Guards against a cold start at each connection that was idle for long.
        async with serving(slots=4, cold_limit=2) as (bench, searcher):
            searcher.delay_s = 0.01
            for _ in range(6):
                await asyncio.gather(*(bench.ask() for _ in range(4)))
            target = bench.target()
            idle = [
                item[0] for group in target._session.connector._conns.values() for item in group
            ]
            self.assertEqual(len(idle), 4)
            for protocol in idle:
                self.assertIs(target.limit.state, LimitState.WARM)
                protocol.close()
                await asyncio.sleep(0.01)
            self.assertIs(target.limit.state, LimitState.COLD)

    async def test_limit_that_drops_while_requests_wait_for_a_connection(self):
        # Guards against requests that were within the limit when they started to connect.
        async with serving(slots=6, cold_limit=4) as (bench, searcher):
            searcher.cold = "1"
            searcher.delay_s = 0.02
            numbers = [bench.send() for _ in range(4)]
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertEqual((bench.target().in_flight, bench.target().sent), (4, 0))
            bench.update(grants=[(0, 1, 1, 3)])
            for number in numbers:
                self.assertEqual((await bench.reply(number)).status, OK)
            self.assertEqual(searcher.most_running, 1)
            self.assertEqual((bench.target().in_flight, bench.target().sent), (0, 0))

    async def test_silent_connection_is_replaced_while_the_cap_holds(self):
        async with serving(cold_limit=2, connections=2) as (bench, searcher):
            target = bench.target()
            await bench.ask()
            searcher.mode = "silent"
            reply = await bench.ask(deadline_ms=400)
            self.assertEqual(reply.status, pb.SUB_STATUS_DEADLINE)
            await until(lambda: target.connections.half_open == 1)
            self.assertEqual(target.limit.epoch, 1)
            searcher.mode = "wait"
            numbers = [bench.send(), bench.send()]
            await asyncio.sleep(0.05)
            self.assertEqual((target.connections.in_use, target.queue.length), (1, 1))
            # The second one starts once the target no longer counts the abandoned connection.
            await until(lambda: target.connections.in_use == 2)
            self.assertEqual(target.connections.half_open, 0)
            searcher.go_on.set()
            for number in numbers:
                self.assertEqual((await bench.reply(number)).status, OK)
            self.assertLessEqual(searcher.most_connections, 2)

    async def test_connections_above_a_lowered_cap_are_closed(self):
        async with serving(cold_limit=4, connections=4) as (bench, searcher):
            searcher.mode = "wait"
            numbers = [bench.send() for _ in range(4)]
            await until(lambda: searcher.running == 4)
            searcher.go_on.set()
            for number in numbers:
                await bench.reply(number)
            bench.update([make_target(searcher.address, cold_limit=4, connections=2)])
            for _ in range(4):
                await bench.ask()
            await asyncio.sleep(0.02)
            open_ones = [item for item in searcher.connections if not item.is_closing()]
            self.assertEqual(len(open_ones), 2)

    async def test_priorities_then_deadlines(self):
        async with serving(cold_limit=1) as (bench, searcher):
            searcher.cold = "1"
            searcher.mode = "wait"
            first = bench.send()
            late = bench.send(request_class="portal", deadline_ms=1900)
            soon = bench.send(request_class="portal", deadline_ms=1500)
            urgent = bench.send(request_class="desk", deadline_ms=2000)
            await until(lambda: searcher.running)
            searcher.go_on.set()
            await until(lambda: len(bench.sink.order) == 4)
            self.assertEqual(bench.sink.order, [first, urgent, soon, late])

    async def test_early_refusal_by_expected_wait(self):
        async with serving(cold_limit=1) as (bench, searcher):
            searcher.cold = "1"
            searcher.delay_s = 0.25
            await bench.ask()
            numbers = [bench.send(request_class="portal") for _ in range(4)]
            numbers += [bench.send(request_class="desk") for _ in range(2)]
            replies = [await bench.reply(number) for number in numbers]
            # The second is overtaken by two of an earlier priority and waits over max_queue_ms.
            self.assertEqual(
                [reply.reason for reply in replies],
                ["", "queue_full", "queue_full", "queue_full", "", ""],
            )
            self.assertEqual(len(searcher.headers), 4)
            waited_us = replies[1].queue_us
            self.assertGreaterEqual(waited_us, 450_000)

    async def test_queue_is_refused_early_when_the_target_turns_cold(self):
        async with serving(slots=4, cold_limit=1) as (bench, searcher):
            searcher.delay_s = 0.25
            for _ in range(3):
                await bench.ask()
            searcher.mode = "wait"
            running = [bench.send() for _ in range(4)]
            await until(lambda: searcher.running == 4)
            queued = [bench.send(request_class="portal") for _ in range(3)]
            await asyncio.sleep(0.01)
            self.assertEqual(bench.target().queue.length, 3)
            bench.update(marks=[RETURNING])
            for number in queued[1:]:
                self.assertEqual((await bench.reply(number)).reason, "queue_full")
            searcher.go_on.set()
            for number in running:
                self.assertEqual((await bench.reply(number)).status, OK)

    async def test_expired_work_in_the_queue(self):
        async with serving(cold_limit=1) as (bench, searcher):
            searcher.mode = "wait"
            bench.send()
            reply = await bench.ask(deadline_ms=200)
            self.assertEqual((reply.status, reply.reason), (NOT_RUN, "deadline"))

    async def test_cancel_of_running_and_queued_work(self):
        async with serving(cold_limit=1) as (bench, searcher):
            searcher.mode = "wait"
            running, queued = bench.send(), bench.send()
            await until(lambda: searcher.running)
            for number in (queued, running):
                bench.ownership.cancel(bench.sink.work_by_id[number])
            self.assertEqual((await bench.reply(queued)).status, NOT_RUN)
            self.assertEqual((await bench.reply(running)).status, pb.SUB_STATUS_CANCELLED)
            await until(lambda: searcher.cancelled and not bench.target().in_flight)
            self.assertEqual(searcher.cancelled, [f"r1.{running}"])

    async def test_baseline_sends_a_share_without_grants(self):
        async with serving("direct_share_percent = 50", slots=6, cold_limit=1) as (bench, searcher):
            bench.update(grants=())
            searcher.cold = "1"
            searcher.delay_s = 0.005
            replies = await asyncio.gather(*(bench.ask() for _ in range(12)))
            self.assertEqual([reply.reason for reply in replies], [""] * 12)
            self.assertEqual(searcher.most_running, 3)


class OwnershipTest(unittest.IsolatedAsyncioTestCase):
    """Guards against interrupted requests and early drained reports when ownership changes."""

    async def test_drained_only_when_nothing_is_in_flight(self):
        async with serving(cold_limit=1) as (bench, searcher):
            searcher.mode = "wait"
            running, queued = bench.send(), bench.send()
            await until(lambda: searcher.running)
            bench.update(grants=())
            self.assertEqual((await bench.reply(queued)).reason, "not_owner")
            self.assertEqual((await bench.ask()).reason, "not_owner")
            self.assertEqual(bench.feed.drained, [])
            searcher.go_on.set()
            self.assertEqual((await bench.reply(running)).status, OK)
            self.assertEqual(bench.feed.drained, [(0, 1, 1, "a1-0")])
            await until(lambda: not bench.ownership.target_count)
            bench.update(grants=[(0, 2, 0, 0)])
            self.assertEqual((await bench.ask()).status, OK)

    async def test_lost_request_counts_until_its_deadline(self):
        # Guards against a drained report while the target may still run a request.
        async with serving(cold_limit=1) as (bench, searcher):
            searcher.mode = "close"
            self.assertEqual((await bench.ask(deadline_ms=800)).reason, "connection_lost")
            self.assertEqual(bench.target().in_flight, 1)
            bench.update(grants=())
            self.assertEqual(bench.feed.drained, [])
            await until(lambda: bench.feed.drained and not bench.ownership.target_count)

    async def test_idle_partition_is_drained_at_once(self):
        async with serving() as (bench, _):
            bench.update(grants=())
            self.assertEqual(bench.feed.drained, [(0, 1, 1, "a1-0")])

    async def test_target_that_leaves_the_index_is_retired_without_a_cut(self):
        async with serving() as (bench, searcher):
            searcher.mode = "wait"
            running = bench.send()
            await until(lambda: searcher.running)
            bench.update([make_target(searcher.address, name="t2")])
            self.assertEqual((await bench.ask()).reason, "unknown_target")
            searcher.go_on.set()
            self.assertEqual((await bench.reply(running)).status, OK)
            await until(lambda: bench.ownership.target_count == 1)

    async def test_marks_stop_work_and_a_returning_target_starts_cold(self):
        async with serving(slots=2, cold_limit=1) as (bench, _):
            await bench.ask()
            self.assertIs(bench.target().limit.state, LimitState.WARM)
            bench.update(marks=[LEAVING])
            self.assertEqual((await bench.ask()).reason, "leaving")
            bench.update(marks=[RETURNING])
            await asyncio.sleep(0.01)
            self.assertIs(bench.target().limit.state, LimitState.COLD)
            self.assertEqual((await bench.ask()).status, OK)

    async def test_expired_lease_refuses_new_work(self):
        async with serving() as (bench, _):
            bench.update(lease_ms=-1)
            self.assertEqual((await bench.ask()).reason, "not_current")


if __name__ == "__main__":
    unittest.main()
