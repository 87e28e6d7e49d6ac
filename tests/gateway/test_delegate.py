"""Tests of flamingostack.gateway.delegate: queries that another instance carries out."""

import asyncio
import unittest

from aiohttp import ClientError, web

from standins.objects import start_server

from .fakes import (
    HOST,
    FakeTarget,
    GatewayCase,
    RunningGateway,
    make_configuration,
    make_route,
    wait_until,
)

SERVICES = [f"s{number}" for number in range(6)]
ROUTE = make_route(
    "all", fanOutServices=SERVICES, maxResults=3, minPartShare=0.8, maxAttempts=2, timeoutMs=1500
)


class DelegateTest(GatewayCase, unittest.IsolatedAsyncioTestCase):
    """Guards against queries that are lost, run too often, or wait for a dead instance."""

    async def start_pair(self, behaviour=None) -> None:
        """Start an instance next to the targets, and one in a failure domain without any."""
        targets_by_service = {service: [FakeTarget(behaviour)] for service in SERVICES}
        self.targets = [target for (target,) in targets_by_service.values()]
        self.near = await self.start_gateway(targets_by_service, [ROUTE], instance="front-a-1")
        self.far = RunningGateway(self.store, instance="front-z-1", failure_domain="z")
        await self.far.start()
        self.addAsyncCleanup(self.far.stop)
        await wait_until(lambda: self.far.gateway.is_ready)
        self.name_near(self.near.relay_port)

    def name_near(self, port: int) -> None:
        self.far.peers.addresses_by_instance["front-a-1"] = f"{HOST}:{port}"
        self.far.peers.domains_by_instance["front-a-1"] = "a"

    async def name_stand_in(self, handle) -> None:
        """Put a server of the test in the place of the near instance."""
        server = web.Server(handle, access_log=None)
        listener, port = await start_server(server)
        self.addAsyncCleanup(server.shutdown, 0.01)
        self.addCleanup(listener.close)
        self.name_near(port)

    def runs(self) -> list[int]:
        return [len(target.requests) for target in self.targets]

    def answered(self, running: RunningGateway) -> list[dict]:
        return [event for event in running.events if event["event"] == "request_answered"]

    async def test_query_is_carried_out_next_to_the_targets(self):
        await self.start_pair()
        status, headers, body = await self.far.get("/all/x", "r1")
        self.assertEqual((status, headers["X-Missing-Parts"]), (200, "0"))
        records = sorted((target.record for target in self.targets), reverse=True)
        self.assertEqual(body, b"".join(records[:3]))
        self.assertEqual(len(headers["X-Part-Stamps"].split(", ")), len(SERVICES))
        self.assertEqual([e["request_id"] for e in self.answered(self.near)], ["r1"])
        self.assertEqual(self.answered(self.far)[0]["delegate"], "front-a-1")
        self.assertEqual(self.runs(), [1] * len(SERVICES))

    async def test_other_version_is_not_taken(self):
        await self.start_pair()
        self.far.gateway.routes.configuration.version += 1
        self.assertEqual((await self.far.get("/all/x"))[0], 200)
        self.assertEqual(self.answered(self.near), [])
        self.assertEqual(self.runs(), [1] * len(SERVICES))

    async def test_instance_that_is_down_or_stops_costs_nothing(self):
        await self.start_pair()
        self.name_near(1)
        self.assertEqual((await self.far.get("/all/x"))[0], 200)
        # It is paused now; the next query stays here at once.
        pauses = self.far.gateway.delegates.pauses
        now = self.far.gateway.now()
        self.assertIsNone(pauses.choose("front-z-1", ["front-a-1"], now))
        pauses.note_success("front-a-1")
        self.name_near(self.near.relay_port)
        ending = asyncio.create_task(self.near.shut_down())
        await asyncio.sleep(0.05)
        self.assertEqual((await self.far.get("/all/x"))[0], 200)
        self.assertEqual(self.answered(self.near), [])
        await ending

    async def test_silent_instance_is_passed_over_and_sends_count_as_repeats(self):
        await self.start_pair()

        async def hang(request):
            await asyncio.sleep(30)

        await self.name_stand_in(hang)
        status, _, _ = await self.far.get("/all/x")
        self.assertEqual(status, 200)
        self.assertEqual(self.runs(), [1] * len(SERVICES))
        now = self.far.gateway.now()
        self.assertEqual([self.far.gateway.budget.spent(s, now) for s in SERVICES], [1] * 6)

    async def test_query_that_was_taken_and_lost_is_not_sent_again(self):
        await self.start_pair()

        async def take_and_die(request):
            response = web.StreamResponse()
            await response.prepare(request)
            await asyncio.sleep(0.05)
            request.transport.abort()
            return response

        await self.name_stand_in(take_and_die)
        status, headers, _ = await self.far.get("/all/x")
        self.assertEqual((status, "Retry-After" in headers), (502, False))
        self.assertEqual(self.runs(), [0] * len(SERVICES))

    async def test_refusal_of_the_other_instance_reaches_the_caller(self):
        await self.start_pair()
        for target in self.targets[:3]:
            self.near.gateway.directory.targets_by_id[target.id].paused_until = float("inf")
        status, headers, _ = await self.far.get("/all/x")
        self.assertEqual((status, "Retry-After" in headers), (503, True))
        self.assertEqual(self.runs(), [0] * len(SERVICES))

    async def test_caller_that_leaves_ends_the_sends_of_the_other_instance(self):
        async def hang(target, request):
            await asyncio.sleep(30)

        await self.start_pair(hang)
        with self.assertRaises((ClientError, TimeoutError)):
            async with asyncio.timeout(0.2):
                await self.far.get("/all/x")
        await wait_until(lambda: all(target.cancelled for target in self.targets))

    async def test_stopping_instance_finishes_the_queries_of_others(self):
        async def slow(target, request):
            await asyncio.sleep(0.8)
            return target.answer(request)

        await self.start_pair(slow)
        self.near.gateway.settings.shutdown_grace_s = 2.0
        pending = asyncio.create_task(self.far.get("/all/x"))
        await wait_until(lambda: all(self.runs()))
        await self.near.shut_down()
        self.assertEqual((await pending)[0], 200)

    async def test_new_version_is_in_force_for_passed_queries(self):
        await self.start_pair()
        self.store.put("config", "main", make_configuration(9, [], SERVICES))
        await wait_until(lambda: self.far.gateway.routes.configuration.version == 9)
        self.assertEqual((await self.far.get("/all/x"))[0], 404)
