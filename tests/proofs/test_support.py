"""Tests of tests.proofs.support: which runs say nothing, for lack of a processor."""

import unittest
from types import SimpleNamespace
from unittest import mock

from standins.launcher import Answer

from . import support
from .support import NS_PER_MS, ProcessorWaits, QueryRecord, is_starved

EXPIRED = {"code": "not_current", "ran": "not_run"}
SENT_NS = 10_000 * NS_PER_MS
LEASE_NS = 1_200 * NS_PER_MS


def make_record(status: int, body: dict) -> QueryRecord:
    return QueryRecord("q", "a", SENT_NS, Answer(status, body, "a", 1.0))


class StarvedTest(unittest.TestCase):
    """Guards against a real fault that is put down to a busy machine."""

    def setUp(self):
        self.complete = make_record(200, {"coverage": 1})
        self.refused = make_record(503, EXPIRED)
        self.waits = ProcessorWaits(SimpleNamespace(instances={}))
        self.waits.waits_by_instance["a"] = [(SENT_NS - LEASE_NS, SENT_NS)]

    def test_refusals_without_a_processor_are_starved(self):
        self.assertTrue(is_starved([self.complete, self.refused], self.waits))

    def test_refusals_without_a_wait_of_the_instance_in_the_lease_before_are_not(self):
        start_ns, end_ns = SENT_NS - 3 * LEASE_NS, SENT_NS - LEASE_NS - 1
        later_ns = SENT_NS + 2 * NS_PER_MS
        for waits_by_instance in (
            {},
            {"b": [(SENT_NS - LEASE_NS, SENT_NS)]},
            {"a": [(start_ns, end_ns)]},
            {"a": [(later_ns, later_ns + LEASE_NS)]},
        ):
            self.waits.waits_by_instance = waits_by_instance
            self.assertFalse(is_starved([self.refused], self.waits), waits_by_instance)

    def test_a_run_without_refusals_is_not(self):
        self.assertFalse(is_starved([self.complete], self.waits))

    def test_any_other_failure_counts_whatever_the_wait(self):
        for status, body in (
            (0, {}),
            (200, {"coverage": 0.5}),
            (503, {"code": "shutting_down", "ran": "not_run"}),
            (503, EXPIRED | {"ran": "unknown"}),
        ):
            records = [self.refused, make_record(status, body)]
            self.assertFalse(is_starved(records, self.waits), body)


class ProcessorWaitsTest(unittest.TestCase):
    """Guards against waits that are summed over processes or over a long time."""

    def test_only_a_long_wait_of_one_process_between_two_looks_counts(self):
        processes = {"control": SimpleNamespace(pid=1), "entry": SimpleNamespace(pid=2)}
        cluster = SimpleNamespace(instances={"a": SimpleNamespace(id="a", processes=processes)})
        waits = ProcessorWaits(cluster)
        # The first process waits for 0.5, 0.5 and 0.75 s, the second one for 0.5 s each time.
        read = mock.Mock(side_effect=[9.0, 0.0, 9.5, 0.5, 10.0, 1.0, 10.75, 1.5])
        with mock.patch.object(support, "read_processor_wait_s", read):
            for number in range(4):
                waits.look(number)
        self.assertEqual(waits.waits_by_instance, {"a": [(2, 3)]})
