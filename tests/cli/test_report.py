"""Tests of `flamingostack report`."""

import gzip
import tempfile
from pathlib import Path

from flamingostack.cli.report import Summary, add_event, classify_request, read_events

from .fakes import CommandTest
from .test_logs import RENDER

START = "2026-12-04T10:00:{:02}.5Z"


def make_line(second: int, event: str, instance: str = "front-a-1", **fields: object) -> str:
    """Return a log line as a gateway writes it, behind the prefix of a collector."""
    values = {
        "timestamp": START.format(second),
        "level": "info",
        "event": event,
        "instance": instance,
        **fields,
    }
    return f"{second}.5 {instance} {RENDER(None, '', values)}\n"


def make_day() -> str:
    """Return the log of some seconds in which a version comes into force and the store is lost."""
    answer = {"route": "all", "status": 200, "elapsed_ms": 40, "missing": 0}
    return "".join(
        (
            make_line(0, "configuration_applied", version=4),
            make_line(1, "request_answered", **answer),
            make_line(1, "request_answered", **(answer | {"missing": 2, "elapsed_ms": 90})),
            make_line(2, "target_removed", target="i-1"),
            make_line(2, "extra_send", cause="hedge", window_spent=3, window_allowance=4.0),
            make_line(2, "store_lost", kind="config"),
            make_line(3, "send_failed", target="i-<b>", service="s1", outcome="lost"),
            make_line(3, "request_answered", route="all", status=502, reason="too_few_parts"),
            make_line(4, "request_refused", "front-a-2", status=503, reason="no_configuration"),
            make_line(5, "request_refused", "front-a-2", status=404, reason="no_route"),
            make_line(6, "store_regained", kind="config"),
            make_line(6, "configuration_applied", "front-a-2", version=5),
            "no pairs at all\n",
            make_line(7, "paused").replace("timestamp='2026", "timestamp='x"),
        )
    )


class SummaryTest(CommandTest):
    """Guards against requests that are left out, or counted as what they are not."""

    def test_each_request_counts_once_by_how_it_ended(self):
        summary = Summary()
        with tempfile.TemporaryFile() as log:
            log.write(make_day().encode())
            log.seek(0)
            for event in read_events(log):
                add_event(summary, event)
        self.assertEqual(
            dict(summary.endings),
            {"complete": 1, "incomplete": 1, "refused, not run": 1, "failed": 1, "not allowed": 1},
        )
        self.assertEqual(len(summary.seconds), 5)
        self.assertEqual(summary.instances, {"front-a-1", "front-a-2"})
        self.assertEqual([version for _, _, version in summary.versions], [4, 5])
        self.assertEqual(max(second.spent_share for second in summary.seconds.values()), 0.75)

    def test_odd_values_count_as_failed(self):
        for event in ({}, {"status": "200"}, {"status": True}, {"status": None}):
            self.assertEqual(classify_request(event), "failed")


class ReportTest(CommandTest):
    """Guards against a page that cannot be opened alone, or that a log line can change."""

    async def run_report(self, *logs: str, output: str | None = None):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.page = Path(folder.name, "report.html")
        return await self.run_command("report", *logs, "--output", output or str(self.page))

    async def test_page_of_plain_and_compressed_logs(self):
        plain = self.write_file(make_day().encode())
        compressed = self.write_file(gzip.compress(make_day().encode()))
        result = await self.run_report(plain, compressed)
        self.assertEqual(result.status, 0, result.stderr)
        self.assertIn("10 requests at 2 instances: 2 complete, 2 incomplete", result.stdout)
        page = self.page.read_text()
        self.assertEqual(page.count("<svg"), 5)
        self.assertIn("too_few_parts", page)
        self.assertNotIn("i-<b>", page)
        for outside in ("<script", "src=", "@import", "<link"):
            self.assertNotIn(outside, page)

    async def test_data(self):
        result = await self.run_command(
            "report", "-", "-o", "/dev/null", "--json", stdin=make_day().encode()
        )
        self.assertEqual(result.data["requests"]["failed"], 1)
        self.assertEqual(result.data["seconds"], 5)
        self.assertEqual(set(result.data["latency_ms_by_route"]), {"all"})

    async def test_input_without_requests_and_files_that_cannot_be_used(self):
        empty = self.write_file(b"something else\n")
        log = self.write_file(make_day().encode())
        cut = self.write_file(gzip.compress(make_day().encode())[:-20])
        for logs, output, status in (
            ([empty], None, 7),
            ([empty + ".missing"], None, 3),
            ([cut], None, 3),
            ([log], str(Path(log).parent / "nowhere" / "report.html"), 1),
            ([], None, 2),
        ):
            with self.subTest(logs=logs, output=output):
                result = await self.run_report(*logs, output=output)
                self.assertEqual(result.status, status, result.stderr)
                self.assertEqual(len(result.stderr.splitlines()), 1, result.stderr)
