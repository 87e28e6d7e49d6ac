"""Tests of flamingostack.platform.objects."""

import unittest

from flamingostack.platform.objects import ObjectStore
from flamingostack.store import StoreFailure, StoreReason
from tests.gateway.fakes import FakeObjectStore


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
