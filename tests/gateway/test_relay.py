"""Tests of flamingostack.gateway.relay."""

import unittest
import zlib

from flamingostack.gateway.relay import (
    RelayChanges,
    RelayFreshness,
    RelayRecord,
    RelayResponse,
    ResponseEncoder,
    decode_response,
)
from flamingostack.store import MAX_RESPONSE_BYTES

from .fakes import (
    HOST,
    FakeObjectStore,
    FakeTarget,
    GatewayCase,
    RunningGateway,
    make_configuration,
    make_route,
    wait_until,
)

ROUTE = make_route("one", service="one")


class RelayTest(GatewayCase, unittest.IsolatedAsyncioTestCase):
    """Guards against an instance that stays stale because the store rejects its calls."""

    async def start_rejected(self) -> tuple[RunningGateway, RunningGateway]:
        """Start two gateways; the store of the second rejects all calls."""
        served = await self.start_gateway({"one": [FakeTarget()]}, [ROUTE])
        address = f"{HOST}:{served.relay_port}"
        self.store.put("flamingostack-instances", "front-a-1", {"address": address})
        instances = served.feeds_by_kind["flamingostack-instances"]
        await wait_until(lambda: "front-a-1" in instances.records_by_name)
        refusing = FakeObjectStore()
        await refusing.start()
        self.addAsyncCleanup(refusing.stop)
        refusing.is_down = True
        other = RunningGateway(refusing, instance="front-b-1", failure_domain="b")
        await other.start()
        self.addAsyncCleanup(other.stop)
        other.peers.addresses_by_instance["front-a-1"] = address
        return served, other

    async def test_instance_that_is_turned_away_learns_from_another(self):
        served, other = await self.start_rejected()
        await wait_until(lambda: other.gateway.is_ready)
        self.assertEqual((await other.get("/one/x"))[0], 200)
        self.store.put("config", "main", make_configuration(12, [ROUTE], ["one"]))
        self.store.put("evacuations", "a", {})
        await wait_until(lambda: other.gateway.routes.configuration.version == 12)
        await wait_until(lambda: other.gateway.directory.evacuated_domains == {"a"})
        self.assertEqual((await other.get("/one/x"))[0], 503)

    async def test_restarted_instance_with_a_stale_list_learns_which_target_left(self):
        gone = FakeTarget()
        served = await self.start_gateway({"one": [FakeTarget(), gone]}, [ROUTE])
        stale = FakeObjectStore()
        await stale.start()
        self.addAsyncCleanup(stale.stop)
        stale.objects_by_kind = {
            kind: dict(objects) for kind, objects in self.store.objects_by_kind.items()
        }
        stale.revision = self.store.revision
        address = f"{HOST}:{served.relay_port}"
        stale.put("flamingostack-instances", "front-a-1", {"address": address})
        stale.put("flamingostack-instances", "front-b-1", {"address": f"{HOST}:1"})
        self.store.revision = stale.revision
        self.store.delete("servers", gone.id)
        await wait_until(lambda: gone.id not in served.gateway.directory.targets_by_id)
        restarted = RunningGateway(stale, instance="front-b-1", failure_domain="b")
        await restarted.start()
        self.addAsyncCleanup(restarted.stop)
        await wait_until(
            lambda: restarted.gateway.is_ready and restarted.peers.addresses_by_instance
        )
        self.assertIn(gone.id, restarted.gateway.directory.targets_by_id)
        stale.is_down = True
        await wait_until(lambda: gone.id not in restarted.gateway.directory.targets_by_id)

    async def test_older_picture_changes_nothing(self):
        served, other = await self.start_rejected()
        await wait_until(lambda: other.gateway.is_ready)
        feed = other.feeds_by_kind["config"]
        feed.revision = 10_000
        self.assertIsNone(await other.peers.fetch("config", feed.revision))

    async def test_instance_without_the_store_passes_nothing_on(self):
        served, other = await self.start_rejected()
        await wait_until(lambda: other.gateway.is_ready)
        served.peers.addresses_by_instance["front-b-1"] = f"{HOST}:{other.relay_port}"
        self.assertIsNone(await served.peers.fetch("config", 0))

    def test_unreadable_picture_is_refused(self):
        freshness = RelayFreshness(1.0, None, False)
        good = ResponseEncoder().encode({}, RelayResponse(freshness, {}))
        self.assertEqual(decode_response(good).freshness, freshness)
        for body in (b"", b"{}", good[:-3], good.replace(b"1.0", b"oo"), b"\xff", good[:10]):
            self.assertIsNone(decode_response(body))

    def test_response_that_is_too_large_when_decompressed_is_refused(self):
        header = ResponseEncoder().encode({}, RelayResponse(RelayFreshness(1.0, None, False), {}))
        header = header[: header.index(b"\n") + 1]
        self.assertEqual(decode_response(header + zlib.compress(b"{ }")).changes_by_kind, {})
        padded = b"{" + b" " * MAX_RESPONSE_BYTES + b"}"
        self.assertIsNone(decode_response(header + zlib.compress(padded)))

    def test_large_answer_is_compressed_and_encoded_anew_when_it_changes(self):
        routes = [make_route(f"r{number}", service="one") for number in range(400)]
        configuration = make_configuration(7, routes, ["one"])
        encoder = ResponseEncoder()
        freshness = RelayFreshness(1.0, None, False)
        for revision in (5, 6, 6):
            record = RelayRecord("main", revision, configuration)
            changes = {"config": RelayChanges(revision, [record], False)}
            body = encoder.encode({"config": 4, "servers": 2}, RelayResponse(freshness, changes))
            self.assertEqual(decode_response(body).changes_by_kind, changes)
        # The configuration takes 71 KB, and 22 followers get it over a link of 20 Mbit/s.
        self.assertLess(len(body), 10_000)
