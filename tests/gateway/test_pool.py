"""Tests of flamingostack.gateway.pool, and of requests that use it."""

import asyncio
import unittest
from unittest import mock

from flamingostack.gateway.pool import GRANT_VALID_S, ExtraSendPool
from flamingostack.gateway.query import Grants

from .fakes import FakeTarget, GatewayCase, make_route

WINDOW_S = 10.0


class ExtraSendPoolTest(unittest.TestCase):
    """Guards against grants beyond the limit of a window."""

    def test_limit_holds_in_each_window_for_each_service(self):
        pool = ExtraSendPool(WINDOW_S, -WINDOW_S)
        granted = [at / 10 for at in range(300) if pool.try_grant("a", 5.9, at / 10)]
        for start in range(20):
            self.assertEqual(sum(start <= at < start + WINDOW_S for at in granted), 5)
        self.assertTrue(pool.try_grant("b", 1.0, 30.0))
        self.assertFalse(pool.try_grant("b", 1.0, 30.0))
        self.assertFalse(pool.try_grant("c", 0.9, 30.0))

    def test_new_process_grants_nothing_for_one_window(self):
        pool = ExtraSendPool(WINDOW_S, 100.0)
        self.assertFalse(pool.try_grant("a", 5.0, 109.9))
        self.assertTrue(pool.try_grant("a", 5.0, 110.0))


class GrantsTest(unittest.TestCase):
    """Guards against a grant that is used twice or late, and against repeated requests for one."""

    def test_service_is_asked_for_once(self):
        grants = Grants()
        for service in ("a", "b", "a"):
            grants.want(service)
        self.assertEqual(grants.take_wanted(), ["a", "b"])
        grants.want("a")
        self.assertEqual(grants.take_wanted(), [])

    def test_grant_is_used_once_and_in_time(self):
        grants = Grants()
        grants.add("a", 5.0)
        grants.add("b", 5.0)
        self.assertFalse(grants.use("b", 5.0))
        self.assertFalse(grants.use("b", 4.9))
        self.assertTrue(grants.use("a", 4.9))
        self.assertFalse(grants.use("a", 4.9))


async def pause_first(target: FakeTarget, request):
    """Answer the first request after the latency objective, as a target in a pause."""
    if len(target.requests) == 1:
        await asyncio.sleep(8.0)
    return target.answer(request)


class PooledQueryTest(GatewayCase, unittest.IsolatedAsyncioTestCase):
    """Guards against an answer that lacks a part while the fleet has hardly spent any extra send.

    The load is that of an instance of a large fleet: its share of the budget is used up by the
    pauses of two targets, by chance.
    """

    async def start(self):
        targets_by_service = {f"s{number}": [FakeTarget()] for number in range(4)}
        # The first one is chosen, since it is in the failure domain of the instance.
        targets_by_service["s4"] = [FakeTarget(pause_first), FakeTarget()]
        domains = {targets_by_service["s4"][1].id: "b"}
        fields = {"maxResults": 3, "minPartShare": 0.75, "targetLatencyMs": 3000, "timeoutMs": 9000}
        route = make_route("all", fanOutServices=list(targets_by_service), **fields)
        running = await self.start_gateway(targets_by_service, [route], domains)
        # The follower would set the number of instances again.
        running.follower_task.cancel()
        running.gateway.budget.instance_count = 1000
        running.gateway.budget.pooled_instances = 200
        self.asked = []
        return running

    def answer_requests_for_grants(self, running, services, delay_s: float = 0.0):
        async def request_grants(asked):
            self.asked += asked
            await asyncio.sleep(delay_s)
            return services

        running.gateway.request_grants = request_grants

    async def count_missing(self, running) -> int:
        status, headers, _ = await running.get(
            "/all/x", headers={"X-Deadline-Milliseconds": "9000"}
        )
        self.assertEqual(status, 200)
        return int(headers["X-Missing-Parts"])

    async def test_part_beyond_the_own_share_is_sent_again_with_a_grant(self):
        running = await self.start()
        self.answer_requests_for_grants(running, ["s4"])
        # A busy machine may leave this process without a processor for as long as a grant is valid.
        with mock.patch("flamingostack.gateway.query.read_clock_s", return_value=1.0):
            self.assertEqual(await self.count_missing(running), 0)
        self.assertEqual(self.asked, ["s4"])
        (event,) = [e for e in running.events if e["event"] == "extra_send"]
        self.assertEqual(event["service"], "s4")

    async def test_without_a_grant_it_is_left_out(self):
        running = await self.start()
        self.answer_requests_for_grants(running, [])
        self.assertEqual(await self.count_missing(running), 1)
        self.assertEqual(self.asked, ["s4"])

    async def test_grant_that_comes_too_late_is_not_used(self):
        running = await self.start()
        self.answer_requests_for_grants(running, ["s4"])
        clock = mock.Mock(side_effect=lambda: clock.call_count * GRANT_VALID_S)
        with mock.patch("flamingostack.gateway.query.read_clock_s", clock):
            self.assertEqual(await self.count_missing(running), 1)
        self.assertEqual([e for e in running.events if e["event"] == "extra_send"], [])

    async def test_small_failure_domain_asks_nobody(self):
        running = await self.start()
        running.gateway.budget.pooled_instances = 0
        self.answer_requests_for_grants(running, ["s4"])
        self.assertEqual(await self.count_missing(running), 1)
        self.assertEqual(self.asked, [])
