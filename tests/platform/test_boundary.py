"""The platform's names stay in one folder."""

import ast
import json
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "flamingostack"
# Names that the platform gives to things; some of its words are ordinary ones and not listed.
PLATFORM_NAMES = json.loads((Path(__file__).parent / "platform_names.json").read_text())


class BoundaryTest(unittest.TestCase):
    """Guards against names of the platform that spread through the code."""

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
