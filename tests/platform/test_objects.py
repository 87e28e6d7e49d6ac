"""Tests of flamingostack.platform.objects."""

import asyncio
import unittest
from unittest import mock

from aiohttp.client_proto import ResponseHandler

from flamingostack.platform.objects import CALL_TIMEOUT_S, ObjectStore
from flamingostack.store import MAX_RESPONSE_BYTES, StoreFailure, StoreReason
from standins.hostile import HOST, HostileTarget, Stall, Step, Write, WriteEndlessly
from tests.gateway.fakes import MAX_HELD_S, FakeObjectStore, HeldTime

WATCH_S = 8.0


class ObjectStoreTest(unittest.IsolatedAsyncioTestCase):
    """Guards against missed changes, and against writes whose result is reported wrongly."""

    async def asyncSetUp(self):
        self.fake = FakeObjectStore()
        await self.fake.start()
        self.store = ObjectStore(self.fake.url)

    async def asyncTearDown(self):
        await self.store.close()
        await self.fake.stop()

    async def test_watch_returns_changes_and_deletions_since_the_list(self):
        self.fake.put("kind", "a", 1)
        listed = await self.store.list_objects("kind")
        self.assertEqual([(r.name, r.value) for r in listed.records], [("a", 1)])
        self.fake.put("kind", "b", 2)
        self.fake.delete("kind", "a")
        changes = await self.store.watch("kind", listed.revision, 1.0)
        self.assertEqual([(r.name, r.value) for r in changes.records], [("b", 2), ("a", None)])
        later = await self.store.watch("kind", changes.revision, 0.05)
        self.assertEqual(later.records, [])

    async def test_discarded_history_is_told_apart(self):
        listed = await self.store.list_objects("kind")
        self.fake.put("kind", "a", 1)
        self.fake.discard_history()
        result = await self.store.watch("kind", listed.revision, 1.0)
        self.assertIs(result.reason, StoreReason.HISTORY_GONE)

    async def test_put_creates_and_replaces(self):
        self.assertIsNone(await self.store.put("kind", "a", 1))
        self.assertIsNone(await self.store.put("kind", "a", 2))
        self.assertEqual(self.fake.objects_by_kind["kind"]["a"]["spec"], 2)
        self.assertIsNone(await self.store.delete("kind", "a"))
        self.assertIsNone(await self.store.delete("kind", "a"))

    async def test_refusing_store_is_unavailable_and_each_call_is_sent_once(self):
        self.fake.is_down = True
        result = await self.store.list_objects("kind")
        self.assertIsInstance(result, StoreFailure)
        self.assertIs(result.reason, StoreReason.UNAVAILABLE)
        self.assertEqual(len(self.fake.calls), 1)


class EndlessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a store whose responses fill the memory of an instance."""

    async def check_endless(self, head: bytes) -> None:
        """Check that the call fails after a bounded number of bytes."""

        def script(request_id: str) -> list[Step]:
            return [Write(head), WriteEndlessly(b"a")]

        hostile = HostileTarget(script)
        await hostile.start()
        self.addAsyncCleanup(hostile.stop)
        store = ObjectStore(f"http://{HOST}:{hostile.port}")
        self.addAsyncCleanup(store.close)
        result = await store.list_objects("kind")
        self.assertIs(result.reason, StoreReason.OUTCOME_UNKNOWN)
        self.assertLess(hostile.written_bytes, 2 * MAX_RESPONSE_BYTES)

    async def test_body_with_a_length(self):
        await self.check_endless(b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n")

    async def test_body_that_ends_with_the_connection(self):
        await self.check_endless(b"HTTP/1.1 200 OK\r\n\r\n")

    async def test_body_of_a_failure(self):
        await self.check_endless(b"HTTP/1.1 503 Busy\r\n\r\n")

    async def test_head(self):
        await self.check_endless(b"HTTP/1.1 200 OK\r\nX: ")

    async def test_response_of_a_watch_that_does_not_end(self):
        # It arrives only after the wait, so a stalled one would look like a store without changes.
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n"
        hostile = HostileTarget(lambda _: [Write(head), Stall(WATCH_S)])
        await hostile.start()
        self.addAsyncCleanup(hostile.stop)
        store = ObjectStore(f"http://{HOST}:{hostile.port}")
        self.addAsyncCleanup(store.close)
        async with asyncio.timeout(CALL_TIMEOUT_S + 1.0):
            result = await store.watch("kind", 1, WATCH_S)
        self.assertIs(result.reason, StoreReason.OUTCOME_UNKNOWN)


class HeldLoopTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a store that holds the loop of an instance, while all requests wait."""

    async def check_held(self, head: bytes, piece: bytes) -> None:
        hostile = HostileTarget(lambda _: [Write(head), WriteEndlessly(piece)])
        await hostile.start()
        self.addAsyncCleanup(hostile.stop)
        store = ObjectStore(f"http://{HOST}:{hostile.port}")
        self.addAsyncCleanup(store.close)
        held = HeldTime()
        measured = held.wrap(ResponseHandler.data_received)
        with mock.patch.object(ResponseHandler, "data_received", measured):
            async with asyncio.timeout(CALL_TIMEOUT_S + 1.0):
                result = await store.list_objects("kind")
        self.assertIsInstance(result, StoreFailure)
        self.assertLess(held.longest_s, MAX_HELD_S)

    async def test_interim_responses(self):
        await self.check_held(b"", b"HTTP/1.1 100 Continue\r\n\r\n")

    async def test_header_fields(self):
        await self.check_held(b"HTTP/1.1 200 OK\r\n", b"a: b\r\n")

    async def test_short_chunks(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        await self.check_held(head, b"1\r\na\r\n")
