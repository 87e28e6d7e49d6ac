"""Counters, gauges and latency histograms, rendered in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
# Callers choose tenant names. Above this many label sets, new ones are recorded under one shared
# label set, so that callers cannot exhaust the memory.
MAX_LABEL_SETS = 500
OVERFLOW_LABELS = (("overflow", "true"),)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Registry of the metrics of one process. Not thread-safe: one event loop owns it."""

    __slots__ = ("counters_by_key", "gauges_by_key", "histograms_by_key", "sums_by_key")

    def __init__(self) -> None:
        self.counters_by_key: dict[tuple[str, Labels], float] = {}
        self.gauges_by_key: dict[tuple[str, Labels], Callable[[], float]] = {}
        self.histograms_by_key: dict[tuple[str, Labels], HdrHistogram] = {}
        self.sums_by_key: dict[tuple[str, Labels], int] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add `amount` to a counter, whose name ends in `_total`."""
        key = (name, make_labels(labels))
        if key not in self.counters_by_key and len(self.counters_by_key) >= MAX_LABEL_SETS:
            key = (name, OVERFLOW_LABELS)
        self.counters_by_key[key] = self.counters_by_key.get(key, 0) + amount

    def set_gauge(self, name: str, read: Callable[[], float], **labels: str) -> None:
        """Register the function that returns the value of a gauge at each scrape."""
        self.gauges_by_key[(name, make_labels(labels))] = read

    def record_us(self, name: str, microseconds: int, **labels: str) -> None:
        """Record one latency in a histogram, whose name ends in `_seconds`."""
        key = (name, make_labels(labels))
        histogram = self.histograms_by_key.get(key)
        if histogram is None:
            if len(self.histograms_by_key) >= MAX_LABEL_SETS:
                key = (name, OVERFLOW_LABELS)
            histogram = self.histograms_by_key.setdefault(key, make_histogram())
        value = min(max(microseconds, LOWEST_US), HIGHEST_US)
        histogram.record_value(value)
        self.sums_by_key[key] = self.sums_by_key.get(key, 0) + value

    def render(self) -> str:
        """Return all metrics in the Prometheus text format, latencies in seconds."""
        lines: list[str] = []
        self._render_counters(lines)
        self._render_gauges(lines)
        self._render_histograms(lines)
        return "\n".join(lines) + "\n"

    def _render_counters(self, lines: list[str]) -> None:
        previous = ""
        for (name, labels), value in sorted(self.counters_by_key.items()):
            if name != previous:
                lines.append(f"# TYPE {name} counter")
                previous = name
            lines.append(f"{name}{format_labels(labels)} {value:g}")

    def _render_gauges(self, lines: list[str]) -> None:
        previous = ""
        for (name, labels), read in sorted(self.gauges_by_key.items(), key=lambda item: item[0]):
            if name != previous:
                lines.append(f"# TYPE {name} gauge")
                previous = name
            lines.append(f"{name}{format_labels(labels)} {read():g}")

    def _render_histograms(self, lines: list[str]) -> None:
        previous = ""
        keys = sorted(self.histograms_by_key)
        for key in keys:
            name, labels = key
            if name != previous:
                lines.append(f"# TYPE {name} summary")
                previous = name
            histogram = self.histograms_by_key[key]
            for quantile in QUANTILES:
                seconds = histogram.get_value_at_percentile(quantile) / 1e6
                quantile_labels = (*labels, ("quantile", f"{quantile / 100:g}"))
                lines.append(f"{name}{format_labels(quantile_labels)} {seconds:g}")
            lines.append(f"{name}_sum{format_labels(labels)} {self.sums_by_key[key] / 1e6:g}")
            lines.append(f"{name}_count{format_labels(labels)} {histogram.get_total_count()}")


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies from 1 microsecond to 1 minute."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def make_labels(labels: dict[str, str]) -> Labels:
    """Return labels as a sorted tuple, which is hashable."""
    return tuple(sorted(labels.items()))


def format_labels(labels: Labels) -> str:
    """Format labels as `{a="b"}`, escaped for the Prometheus text format."""
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{escape_label(value)}"' for name, value in labels) + "}"


def escape_label(value: str) -> str:
    """Escape backslashes, double quotes and line feeds."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
