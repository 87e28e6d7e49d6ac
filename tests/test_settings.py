"""Tests of flamingostack.settings."""

import unittest

from flamingostack.errors import Failure
from flamingostack.settings import parse_settings

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
    """Guards against settings that are accepted although they cannot work."""

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
