"""Tests of flamingostack.gateway.directory."""

import unittest

from flamingostack.gateway.directory import ENTRY_RETURN_GRACE_S, Directory

from .test_placement import make_target


def make_entry(id: str, **fields):
    return make_target(id, **fields).entry


class DirectoryTest(unittest.TestCase):
    """Guards against sends to removed targets, and against removing targets that still serve."""

    def setUp(self):
        self.directory = Directory()
        self.directory.put(make_entry("i-1"), 0.0)
        self.directory.put(make_entry("i-2", domain="b"), 0.0)

    def ids(self):
        return sorted(target.entry.id for target in self.directory.usable_targets("s"))

    def test_removed_target_is_gone_at_once(self):
        self.directory.remove("i-1", 0.0, may_return=False)
        self.assertEqual(self.ids(), ["i-2"])

    def test_entry_that_lapsed_in_an_outage_is_kept_until_it_may_be_back(self):
        self.directory.remove("i-1", 0.0, may_return=True)
        self.directory.remove("i-2", 0.0, may_return=True)
        self.assertEqual(self.ids(), ["i-1", "i-2"])
        self.directory.put(make_entry("i-2", domain="b"), 1.0)
        self.assertEqual(self.directory.expire_removals(ENTRY_RETURN_GRACE_S), ["i-1"])
        self.assertEqual(self.ids(), ["i-2"])
        self.assertIsNone(self.directory.next_removal_at)

    def test_leaving_target_is_not_kept_for_an_outage(self):
        self.directory.put(make_entry("i-1", is_draining=True), 0.0)
        self.directory.remove("i-1", 0.0, may_return=True)
        self.assertEqual(self.ids(), ["i-2"])

    def test_evacuated_failure_domain_gets_nothing(self):
        self.directory.evacuated_domains = {"a"}
        self.assertEqual(self.ids(), ["i-2"])

    def test_target_that_started_again_is_known_afresh(self):
        known = self.directory.targets_by_id["i-1"]
        known.record_failure(0.0)
        self.directory.put(make_entry("i-1", started_ms=5), 1.0)
        self.assertEqual(self.directory.targets_by_id["i-1"].consecutive_failures, 0)
        self.assertTrue(known.is_misdirected)
        self.assertEqual(self.ids(), ["i-1", "i-2"])

    def test_list_replaces_what_is_missing_in_it(self):
        self.directory.replace_all([make_entry("i-3")], 0.0, may_return=False)
        self.assertEqual(self.ids(), ["i-3"])
