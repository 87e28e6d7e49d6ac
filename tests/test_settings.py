"""Tests of flamingostack.settings."""

import unittest

from hypothesis import example, given, settings, strategies

from flamingostack.errors import Failure
from flamingostack.generated.settings import Settings
from flamingostack.settings import parse_settings

from .toml_mutations import mutate_toml

MINIMAL = b"""
[instance]
id = "a1"
failure_domain = "a"
[control]
listen = "127.0.0.1:7000"
[dispatch]
listen = "127.0.0.1:7001"
[entry]
listen = "127.0.0.1:8000"
[store]
url = "http://127.0.0.1:9000"
"""


class ParseSettingsTest(unittest.TestCase):
    """Guards against accepting settings with invalid or contradictory values."""

    def test_minimal_settings_have_defaults(self):
        settings = parse_settings(MINIMAL, source="a.toml")
        self.assertEqual(settings.fleet.lease_ms, 3000)

    def assert_refused(self, text: bytes, path: str):
        result = parse_settings(text, source="a.toml")
        self.assertIsInstance(result, Failure)
        self.assertIn(path, result.message)
        self.assertIn("a.toml", result.message)

    def test_unknown_key_is_refused_with_its_path(self):
        self.assert_refused(MINIMAL.replace(b"[control]", b"[control]\nlistne = 1"), "$.control")

    def test_wrong_unit_is_refused_with_its_path(self):
        self.assert_refused(MINIMAL + b'[fleet]\nlease_ms = "3s"\n', "$.fleet.lease_ms")

    def test_impossible_pair_is_refused_with_its_path(self):
        self.assert_refused(MINIMAL + b"[fleet]\nsync_ms = 2000\n", "$.fleet.sync_ms")

    def test_host_name_is_refused_as_address(self):
        self.assert_refused(MINIMAL.replace(b"127.0.0.1:7000", b"host:7000"), "$.control.listen")

    def test_invalid_toml_is_refused(self):
        self.assert_refused(b"[instance", "a.toml")

    def test_port_of_other_digits_is_refused(self):
        # str.isdigit accepts digits of other scripts; int() raises for some and accepts others.
        for port in ("\u00b2", "\u0663\u0663", "9" * 5000):
            text = MINIMAL.replace(b"7000", port.encode())
            self.assert_refused(text, "$.control.listen")


class FuzzSettingsTest(unittest.TestCase):
    """Guards against input that raises an exception.

    The process would end without naming the file.
    """

    def check(self, text: bytes):
        result = parse_settings(text, source="a.toml")
        if isinstance(result, Failure):
            self.assertTrue(result.message.startswith("a.toml: "), result.message)
        else:
            self.assertIsInstance(result, Settings)

    @settings(max_examples=300, deadline=None)
    @given(strategies.binary(max_size=300))
    def test_arbitrary_bytes(self, text):
        self.check(text)

    @settings(max_examples=600, deadline=None)
    @given(mutate_toml(MINIMAL))
    @example(b"a = " + b"[" * 100_000)
    @example(MINIMAL + b"[fleet]\nlease_ms = " + b"9" * 5000)
    def test_mutated_settings(self, text):
        self.check(text)
