"""Tests that the documentation matches the code."""

import ast
import io
import re
import shlex
import time
import unittest
from pathlib import Path

from flamingostack.cli.environment import CommandEnvironment
from flamingostack.core import parse
from flamingostack.errors import Failure
from flamingostack.presets import parse_preset
from flamingostack.status import ExitStatus

ROOT = Path(__file__).resolve().parent.parent
OPERATORS_PAGE = (ROOT / "docs" / "operators.md").read_text()
RECORDING_METHODS = {
    *("debug", "info", "warning", "error", "exception"),
    *("count", "set_gauge", "record_us"),
}
README_PAGE = (ROOT / "README.md").read_text()


def find_blocks(page: str, language: str) -> list[str]:
    return re.findall(rf"```{language}\n(.*?)```", page, re.DOTALL)


def find_names(call: ast.Call) -> set[str]:
    """Return the event or metric names in a call to a logger or to `Metrics`."""
    if call.func.attr not in RECORDING_METHODS or not call.args:
        return set()
    constants = (node for node in ast.walk(call.args[0]) if isinstance(node, ast.Constant))
    names = {str(node.value) for node in constants}
    return {name for name in names if re.fullmatch("[a-z]+(_[a-z]+)*", name)}


class PagesTest(unittest.TestCase):
    """Guards against pages that show invalid commands, presets, exit statuses or links.

    Also against log events and metrics that the operators' page does not describe.
    """

    def test_commands_on_the_pages_are_accepted(self):
        lines = "\n".join(find_blocks(README_PAGE + OPERATORS_PAGE, "sh")).splitlines()
        commands = [shlex.split(line)[1:] for line in lines if line.startswith("flamingostack ")]
        commands += [
            shlex.split(text)
            for text in re.findall(r"`flamingostack ([a-z][^`]*)`", README_PAGE + OPERATORS_PAGE)
        ]
        self.assertGreater(len(commands), 15)
        for args in commands:
            errors = io.StringIO()
            environment = CommandEnvironment(
                stdin=io.BytesIO(),
                stdout=io.StringIO(),
                stderr=errors,
                variables={},
                now_s=time.monotonic,
                make_id=str,
            )
            result = parse(args, environment)
            self.assertNotIsInstance(result, ExitStatus, f"{args}: {errors.getvalue()}")

    def test_presets_on_the_pages_are_valid(self):
        presets = [
            parse_preset(text.encode(), "page") for text in find_blocks(OPERATORS_PAGE, "toml")
        ]
        self.assertEqual([preset for preset in presets if isinstance(preset, Failure)], [])
        names = [preset.name for preset in presets]
        self.assertEqual(names, ["ordinary", "peak", "maintenance"])

    def test_each_exit_status_is_documented(self):
        rows = re.findall(r"^\| (\d+) \| ([A-Z_]+) \|", OPERATORS_PAGE, re.MULTILINE)
        documented = {(int(number), name) for number, name in rows}
        self.assertEqual(documented, {(status.value, status.name) for status in ExitStatus})

    def test_each_log_event_and_metric_is_documented(self):
        names = set()
        for path in (ROOT / "flamingostack").rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                    names |= find_names(node)
        self.assertIn("control_connection_lost", names)
        self.assertEqual([name for name in sorted(names) if f"`{name}`" not in OPERATORS_PAGE], [])

    def test_links_lead_to_files(self):
        for page in [*ROOT.glob("*.md"), ROOT / "docs" / "operators.md", ROOT / "docs/glossary.md"]:
            for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
                self.assertTrue((page.parent / link).exists(), f"{page.name}: {link}")
