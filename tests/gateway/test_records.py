"""Tests of flamingostack.gateway.records."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from flamingostack.gateway.records import RECORD_BYTES, merge_records


class MergeTest(unittest.TestCase):
    """Guards against a merged answer that lacks one of the greatest records."""

    def test_remainder_is_no_record_and_equal_records_all_count(self):
        a, b = b"a" * RECORD_BYTES, b"b" * RECORD_BYTES
        self.assertEqual(merge_records([a + b + b"rest", b], 3), b + b + a)

    @given(st.lists(st.lists(st.binary(min_size=16, max_size=16))), st.integers(0, 30))
    def test_records_are_the_greatest_in_falling_order(self, parts, count):
        merged = merge_records((b"".join(part) for part in parts), count)
        expected = sorted((record for part in parts for record in part), reverse=True)[:count]
        self.assertEqual(merged, b"".join(expected))
