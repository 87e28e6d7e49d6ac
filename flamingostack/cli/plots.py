"""Plots of a report as SVG, drawn with Matplotlib."""

from __future__ import annotations

import io
from collections.abc import Callable

import matplotlib
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from .report import COMPLETE, DENIED, ENDINGS, FAILED, INCOMPLETE, REFUSED, Second, Summary

SIZE_INCHES = (9.0, 2.6)
COLOURS_BY_ENDING = {
    COMPLETE: "#4c956c",
    INCOMPLETE: "#a7c957",
    REFUSED: "#f2a541",
    FAILED: "#c8553d",
    DENIED: "#9aa0a6",
}


def draw_plots(summary: Summary) -> dict[str, str]:
    """Return the plots of a report as SVG elements, by title."""
    # The same logs give the same file.
    with matplotlib.rc_context({"svg.hashsalt": "flamingostack", "font.size": 9}):
        return {
            "Requests a second, by how they ended": draw(summary, plot_endings),
            "Latency of answers, ms": draw(summary, plot_latency),
            "Extra sends a second, and the most spent budget": draw(summary, plot_extra_sends),
            "Instances by configuration version in force": draw(summary, plot_versions),
            "Instances that have lost the store": draw(summary, plot_store),
        }


def draw(summary: Summary, plot: Callable[[Summary, Axes, int], None]) -> str:
    """Return one plot; its time axis counts from the first request, in seconds."""
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    axes = figure.subplots()
    start = min(summary.seconds)
    plot(summary, axes, start)
    axes.set_xlim(0, max(summary.seconds) - start + 1)
    if axes.get_yscale() == "linear":
        axes.set_ylim(bottom=0)
    axes.set_xlabel("seconds")
    axes.spines[["top", "right"]].set_visible(False)
    handles, labels = axes.get_legend_handles_labels()
    if handles:
        # Beside the axes and behind the scale on their right side.
        figure.legend(handles, labels, loc="outside right upper", frameon=False)
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def list_seconds(summary: Summary) -> list[Second]:
    """Return all seconds of the span, also those without a line."""
    first, last = min(summary.seconds), max(summary.seconds)
    return [summary.seconds.get(at, Second()) for at in range(first, last + 1)]


def plot_endings(summary: Summary, axes: Axes, start: int) -> None:
    """Stack the requests of each second by how they ended."""
    seconds = list_seconds(summary)
    axes.stackplot(
        range(len(seconds)),
        [[second.endings[ending] for second in seconds] for ending in ENDINGS],
        labels=ENDINGS,
        colors=[COLOURS_BY_ENDING[ending] for ending in ENDINGS],
        step="post",
    )


def plot_latency(summary: Summary, axes: Axes, start: int) -> None:
    """Draw quantiles of the answers of each second, on a logarithmic scale."""
    seconds = list_seconds(summary)
    for quantile, colour in ((50.0, "#4c956c"), (99.0, "#c8553d")):
        values = [
            second.latency.get_value_at_percentile(quantile)
            if second.latency.get_total_count()
            else float("nan")
            for second in seconds
        ]
        axes.step(range(len(seconds)), values, where="post", label=f"p{quantile:g}", color=colour)
    axes.set_yscale("log")


def plot_extra_sends(summary: Summary, axes: Axes, start: int) -> None:
    """Draw the extra sends by cause, and the spent share of the budget on an axis of its own."""
    seconds = list_seconds(summary)
    causes = sorted({cause for second in seconds for cause in second.extra_sends})
    if causes:
        axes.stackplot(
            range(len(seconds)),
            [[second.extra_sends[cause] for second in seconds] for cause in causes],
            labels=causes,
            step="post",
            colors=("#6d98ba", "#d3b99f", "#9aa0a6"),
        )
    share_axes = axes.twinx()
    shares = [second.spent_share for second in seconds]
    share_axes.step(range(len(seconds)), shares, where="post", color="#222", linewidth=0.8)
    share_axes.set_ylim(0, 1.05)
    share_axes.set_ylabel("spent share")
    share_axes.spines["top"].set_visible(False)


def plot_versions(summary: Summary, axes: Axes, start: int) -> None:
    """Draw how many instances have each version in force."""
    versions = sorted({version for _, _, version in summary.versions})
    seconds = range(max(summary.seconds) - start + 1)
    changes = sorted(summary.versions)
    counts_by_version: dict[int, list[int]] = {version: [] for version in versions}
    version_by_instance: dict[str, int] = {}
    for second in seconds:
        while changes and changes[0][0] < start + second + 1:
            _, instance, version = changes.pop(0)
            version_by_instance[instance] = version
        in_force = list(version_by_instance.values())
        for version in versions:
            counts_by_version[version].append(in_force.count(version))
    for version, counts in counts_by_version.items():
        axes.step(seconds, counts, where="post", label=f"version {version}")


def plot_store(summary: Summary, axes: Axes, start: int) -> None:
    """Draw how many instances have lost the store with any of their feeds."""
    seconds = range(max(summary.seconds) - start + 1)
    changes = sorted(summary.store_changes)
    lost_feeds: set[tuple[str, str]] = set()
    counts = []
    for second in seconds:
        while changes and changes[0][0] < start + second + 1:
            _, instance, kind, is_lost = changes.pop(0)
            (lost_feeds.add if is_lost else lost_feeds.discard)((instance, kind))
        counts.append(len({instance for instance, _ in lost_feeds}))
    axes.step(seconds, counts, where="post", color="#c8553d")
