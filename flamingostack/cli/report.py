"""Report of a fleet of gateways over a span of time, from their log lines.

The logs are read once, line by line. What is kept grows with the number of time buckets, routes,
targets and instances, and not with the number of lines.
"""

from __future__ import annotations

import html
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import BinaryIO

from hdrh.histogram import HdrHistogram

from ..status import ExitStatus
from .definition import WriteReport
from .environment import CommandEnvironment
from .logs import Event, parse_line, read_lines, read_logs
from .output import Outcome, make_error

MAX_LATENCY_MS = 600_000
LATENCY_DIGITS = 2
QUANTILES = (50.0, 99.0, 99.9)
MAX_TARGETS_SHOWN = 15
# Only these lines are parsed. The others are far more numerous, and parsing takes the most time.
EVENTS = frozenset(
    {
        "request_answered",
        "request_refused",
        "extra_send",
        "send_failed",
        "configuration_applied",
        "store_lost",
        "store_regained",
        "started",
        "stopping",
        "paused",
        "log_lines_dropped",
    }
)
EVENT_HINTS = tuple(f"event='{event}'".encode() for event in sorted(EVENTS))
# How a request ended, in the order in which the plot stacks them.
COMPLETE, INCOMPLETE, REFUSED, FAILED, DENIED = (
    "complete",
    "incomplete",
    "refused, not run",
    "failed",
    "not allowed",
)
ENDINGS = (COMPLETE, INCOMPLETE, REFUSED, FAILED, DENIED)
NOT_RUN_STATUSES = (408, 421, 429, 503)


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of milliseconds."""
    return HdrHistogram(1, MAX_LATENCY_MS, LATENCY_DIGITS)


@dataclass(slots=True)
class Second:
    """What the logs hold about one second."""

    endings: Counter[str] = field(default_factory=Counter)
    extra_sends: Counter[str] = field(default_factory=Counter)
    latency: HdrHistogram = field(default_factory=make_histogram)
    # The largest spent share of any budget for extra sends, from 0 to 1.
    spent_share: float = 0.0


@dataclass(slots=True)
class Summary:
    """Everything that the report shows; times are whole seconds of Unix time."""

    seconds: dict[int, Second] = field(default_factory=dict)
    latency_by_route: dict[str, HdrHistogram] = field(default_factory=dict)
    reasons: Counter[tuple[str, str]] = field(default_factory=Counter)
    failures: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    # Versions put into force, as (time, instance, version), and gains and losses of the store.
    versions: list[tuple[float, str, int]] = field(default_factory=list)
    store_changes: list[tuple[float, str, str, bool]] = field(default_factory=list)
    processes: Counter[str] = field(default_factory=Counter)
    instances: set[str] = field(default_factory=set)

    def second(self, at: float) -> Second:
        """Return the second that holds a time; create it at first use."""
        return self.seconds.setdefault(int(at), Second())

    @property
    def endings(self) -> Counter[str]:
        """How all requests ended."""
        return sum((second.endings for second in self.seconds.values()), Counter())


def write_report(command: WriteReport, environment: CommandEnvironment) -> Outcome:
    """Read the logs that the command names, and write the report to its file."""
    summary = Summary()
    error = read_logs(command.logs, environment, lambda stream: add_log(summary, stream))
    if error is not None:
        return error
    if not summary.seconds:
        message = f"none of the {len(command.logs)} logs has lines of gateways about requests"
        return make_error(ExitStatus.NOT_FOUND, "unknown", message)
    try:
        # Only this command draws, and the library is not part of what instances install.
        from .plots import draw_plots
    except ImportError as error:
        message = f"the report needs the extra `report` of this package: {error}"
        return make_error(ExitStatus.ERROR, "missing_library", message)
    page = format_page(summary, draw_plots(summary))
    try:
        Path(command.output).write_text(page, encoding="utf-8")
    except (OSError, ValueError) as error:
        return make_error(ExitStatus.ERROR, "cannot_write", f"{command.output}: {error}")
    data = describe_summary(summary) | {"output": command.output}
    return Outcome(ExitStatus.SUCCESS, f"{command.output}: {describe_totals(summary)}", data)


def add_log(summary: Summary, stream: BinaryIO) -> None:
    """Add all lines of a log to the summary."""
    for event in read_events(stream):
        add_event(summary, event)


def read_events(stream: BinaryIO) -> Iterator[Event]:
    """Yield the events of a log that the report shows, and that have an instance and a time."""
    for line in read_lines(stream):
        if any(hint in line for hint in EVENT_HINTS):
            event = parse_line(line.decode(errors="replace"))
            if event.get("event") in EVENTS and read_time(event) is not None:
                yield event


def read_time(event: Event) -> float | None:
    """Return the Unix time of an event; None if it has none that can be read."""
    try:
        return datetime.fromisoformat(str(event.get("timestamp"))).timestamp()
    except (ValueError, OverflowError, OSError):
        return None


def read_number(event: Event, key: str) -> float:
    """Return a number of an event, 0 if it has none."""
    value = event.get(key)
    return value if isinstance(value, int | float) and not isinstance(value, bool) else 0


def add_event(summary: Summary, event: Event) -> None:
    """Add one line to the summary."""
    at = read_time(event)
    instance = str(event.get("instance", "?"))
    summary.instances.add(instance)
    match event["event"]:
        case "request_answered" | "request_refused":
            add_request(summary, event, at)
        case "extra_send":
            second = summary.second(at)
            second.extra_sends[str(event.get("cause", "?"))] += 1
            allowed = read_number(event, "window_allowance")
            if allowed > 0:
                spent_share = min(read_number(event, "window_spent") / allowed, 1.0)
                second.spent_share = max(second.spent_share, spent_share)
        case "send_failed":
            key = tuple(str(event.get(name, "?")) for name in ("target", "service", "outcome"))
            summary.failures[key] += 1
        case "configuration_applied":
            summary.versions.append((at, instance, int(read_number(event, "version"))))
        case "store_lost" | "store_regained":
            is_lost = event["event"] == "store_lost"
            summary.store_changes.append((at, instance, str(event.get("kind", "?")), is_lost))
        case name:
            summary.processes[str(name)] += 1


def add_request(summary: Summary, event: Event, at: float) -> None:
    """Add the line about the end of a request."""
    second = summary.second(at)
    ending = classify_request(event)
    second.endings[ending] += 1
    if ending in (REFUSED, FAILED, DENIED):
        key = (str(event.get("status", "?")), str(event.get("reason", "")))
        summary.reasons[key] += 1
        return
    elapsed_ms = min(max(int(read_number(event, "elapsed_ms")), 1), MAX_LATENCY_MS)
    second.latency.record_value(elapsed_ms)
    route = str(event.get("route", "?"))
    summary.latency_by_route.setdefault(route, make_histogram()).record_value(elapsed_ms)


def classify_request(event: Event) -> str:
    """Return how a request ended, one of ENDINGS."""
    status = int(read_number(event, "status"))
    if status in NOT_RUN_STATUSES:
        return REFUSED
    if 200 <= status < 300:
        return INCOMPLETE if read_number(event, "missing") else COMPLETE
    return DENIED if 300 <= status < 500 else FAILED


def describe_summary(summary: Summary) -> dict[str, object]:
    """Return the totals as JSON values."""
    return {
        "instances": len(summary.instances),
        "seconds": max(summary.seconds) - min(summary.seconds) + 1,
        "requests": {ending: summary.endings[ending] for ending in ENDINGS},
        "extra_sends": sum(s.extra_sends.total() for s in summary.seconds.values()),
        "latency_ms_by_route": {
            route: {str(q): histogram.get_value_at_percentile(q) for q in QUANTILES}
            for route, histogram in sorted(summary.latency_by_route.items())
        },
    }


def describe_totals(summary: Summary) -> str:
    """Return the totals as one line."""
    counts = ", ".join(f"{summary.endings[ending]} {ending}" for ending in ENDINGS)
    return (
        f"{sum(summary.endings.values())} requests at {len(summary.instances)} instances: {counts}"
    )


STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2em auto; max-width: 62em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { text-align: left; padding: 0.2em 1em 0.2em 0; border-bottom: 1px solid #ddd; }
td.number { text-align: right; }
svg { width: 100%; height: auto; }
"""


def format_page(summary: Summary, plots: Mapping[str, str]) -> str:
    """Return the self-contained page; `plots` are SVG elements by title."""
    sections = [f"<h2>{html.escape(title)}</h2>\n{svg}" for title, svg in plots.items()]
    return "\n".join(
        (
            '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">',
            f"<title>flamingostack report</title><style>{STYLE}</style></head><body>",
            "<h1>flamingostack report</h1>",
            f"<p>{html.escape(format_span(summary))}</p>",
            f"<p>{html.escape(describe_totals(summary))}</p>",
            *sections,
            "<h2>Latency by route, ms</h2>",
            format_html_table(("route", "requests", "p50", "p99", "p99.9"), list_routes(summary)),
            "<h2>Refused and failed requests</h2>",
            format_html_table(("status", "reason", "requests"), list_reasons(summary)),
            "<h2>Targets with the most failed sends</h2>",
            format_html_table(("target", "service", "outcome", "sends"), list_failures(summary)),
            "<h2>Processes</h2>",
            format_html_table(("event", "lines"), sorted(summary.processes.items())),
            "</body></html>\n",
        )
    )


def format_span(summary: Summary) -> str:
    """Return the time span of the report."""
    first, last = (
        datetime.fromtimestamp(at).astimezone().isoformat(sep=" ", timespec="seconds")
        for at in (min(summary.seconds), max(summary.seconds))
    )
    return f"{first} to {last}"


def list_routes(summary: Summary) -> list[tuple[object, ...]]:
    """Return the rows of the routes, with the most requests first."""
    ordered = sorted(summary.latency_by_route.items(), key=lambda item: -item[1].get_total_count())
    return [
        (route, item.get_total_count(), *(item.get_value_at_percentile(q) for q in QUANTILES))
        for route, item in ordered
    ]


def list_reasons(summary: Summary) -> list[tuple[object, ...]]:
    """Return the rows of the reasons, the most frequent first."""
    return [(*key, count) for key, count in summary.reasons.most_common()]


def list_failures(summary: Summary) -> list[tuple[object, ...]]:
    """Return the rows of the targets with the most failed sends."""
    return [(*key, count) for key, count in summary.failures.most_common(MAX_TARGETS_SHOWN)]


def format_html_table(header: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    """Return a table; numbers are aligned to the right."""

    def format_cell(cell: object) -> str:
        kind = ' class="number"' if isinstance(cell, int | float) else ""
        return f"<td{kind}>{html.escape(str(cell))}</td>"

    lines = ["<tr>" + "".join(f"<th>{html.escape(name)}</th>" for name in header) + "</tr>"]
    lines += ["<tr>" + "".join(format_cell(cell) for cell in row) + "</tr>" for row in rows]
    return "<table>" + "\n".join(lines) + "</table>"
