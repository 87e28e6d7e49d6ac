"""Tests that the platform's names are used in flamingostack.platform only."""

import ast
import json
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "flamingostack"
# Header names, keys and kinds that the platform defines, without those that are ordinary words.
PLATFORM_NAMES = json.loads((Path(__file__).parent / "platform_names.json").read_text())


class BoundaryTest(unittest.TestCase):
    """Guards against the platform's names in code outside the adapter."""

    def test_names_appear_in_the_adapter_only(self):
        leaks = []
        for path in PACKAGE.rglob("*.py"):
            if path.is_relative_to(PACKAGE / "platform"):
                continue
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Constant) and isinstance(node.value, str):
                    found = [name for name in PLATFORM_NAMES if name in node.value]
                    leaks += [f"{path.name}: {name}" for name in found]
        self.assertEqual(leaks, [])

    def test_adapter_uses_these_names(self):
        adapter = "".join(path.read_text() for path in (PACKAGE / "platform").glob("*.py"))
        used = [name for name in PLATFORM_NAMES if name in adapter]
        self.assertGreater(len(used), 25)
