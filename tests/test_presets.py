"""Tests of flamingostack.presets."""

import unittest

from hypothesis import example, given, settings, strategies

from flamingostack.errors import Failure
from flamingostack.generated.preset import Preset
from flamingostack.presets import parse_preset

from .toml_mutations import mutate_toml

VALID = b"""\
name = "peak"
description = "Peaks"

[classes.enquiry]
service = "enquiry"
deadline_ms = 250
hedge_quantile = 95.5

[classes.booking]
service = "booking"
deadline_ms = 1500
repeatable = false
extra_load_percent = 0

[limits]
slot_percent = 90
foreign_domain_penalty_ms = 1.5
"""


class ParsePresetTest(unittest.TestCase):
    """Guards against accepting a preset with invalid or contradictory values."""

    def assert_refused(self, text: bytes, path: str):
        result = parse_preset(text, source="peak.toml")
        self.assertIsInstance(result, Failure)
        self.assertIn(path, result.message)
        self.assertIn("peak.toml", result.message)

    def test_valid_preset_is_read(self):
        self.assertEqual(parse_preset(VALID, "peak.toml").classes["booking"].deadline_ms, 1500)

    def test_wrong_unit_names_the_class(self):
        # msgspec reports `$.classes[...]`, which does not tell which class is invalid.
        self.assert_refused(VALID.replace(b"1500", b'"1500ms"'), "$.classes.booking.deadline_ms")

    def test_unknown_key_names_the_class(self):
        self.assert_refused(VALID.replace(b"deadline_ms = 250", b"dead = 250"), "$.classes.enquiry")

    def test_queue_longer_than_deadline_is_refused(self):
        text = VALID.replace(b"= 250", b"= 100")
        self.assert_refused(text, "$.classes.enquiry.max_queue_ms")

    def test_repeated_sends_of_a_class_that_is_not_repeatable_are_refused(self):
        text = VALID.replace(b"extra_load_percent = 0", b"extra_load_percent = 5")
        self.assert_refused(text, "$.classes.booking.extra_load_percent")

    def test_infinite_penalty_is_refused(self):
        # With an infinite penalty all replicas in other failure domains would compare as equal,
        # however slow one of them is.
        self.assert_refused(VALID.replace(b"1.5", b"inf"), "$.limits.foreign_domain_penalty_ms")


class FuzzPresetTest(unittest.TestCase):
    """Guards against input that raises an exception, which would end the process that reads it."""

    def check(self, text: bytes):
        result = parse_preset(text, source="peak.toml")
        if isinstance(result, Failure):
            self.assertTrue(result.message.startswith("peak.toml: "), result.message)
        else:
            self.assertIsInstance(result, Preset)

    @settings(max_examples=300, deadline=None)
    @given(strategies.binary(max_size=300))
    def test_arbitrary_bytes(self, text):
        self.check(text)

    @settings(max_examples=600, deadline=None)
    @given(mutate_toml(VALID))
    @example(b"a = " + b"[" * 100_000)
    @example(VALID.replace(b"1500", b"9" * 5000))
    def test_mutated_preset(self, text):
        self.check(text)
