"""Tables of the measured figures, and the ratios that are aimed at."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from .experiment import BASELINE, TIER

Row = dict[str, Any]


def print_row(row: Row) -> None:
    """Print the figures of one run, one line for each class."""
    print(
        f"{row['user']} {row['scenario']} {row['variant']}:"
        f" offered {row['offered_per_s']}/s, whole in time {row['whole_in_time_per_s']}/s,"
        f" extra load {row['extra_load_percent']}%, over cold limit {row['over_cold_limit']},"
        f" cores {row['cores_by_process']}",
        flush=True,
    )
    for name, figures in row["classes"].items():
        print(
            f"  {name}: p50 {figures['p50_ms']} p99 {figures['p99_ms']} p99.9 {figures['p99_9_ms']}"
            f" ms, whole in time {figures['whole_in_time_percent']}%,"
            f" coverage {figures['coverage_mean']},"
            f" lowest second {figures['lowest_second_percent']}%,"
            f" wrong {figures['wrong']}, refused p99 {figures['refusal_p99_ms']} ms,"
            f" errors {figures['errors']}, send lag p99 {figures['send_lag_p99_ms']} ms",
            flush=True,
        )


def print_report(rows: list[Row], plots: list[Path]) -> None:
    """Print the ratios that are aimed at, each with its measured value."""
    print("\naims")
    for user in dict.fromkeys(row["user"] for row in rows):
        own = [row for row in rows if row["user"] == user]
        for line in (*straggler_lines(own), *capacity_lines(own), *move_lines(own)):
            print(f"  {user}: {line}")
        for line in overload_lines(own):
            print(f"  {user}: {line}")
    for path in plots:
        print(f"plot: {path}")


def find_row(rows: list[Row], scenario: str, variant: str) -> Row | None:
    """Return the run of a scenario and variant, if there is one."""
    for row in rows:
        if row["scenario"] == scenario and row["variant"] == variant:
            return row
    return None


def straggler_lines(rows: list[Row]) -> list[str]:
    """Aim: p99 at most half of the baseline's at 5% extra load or less."""
    tier, baseline = find_row(rows, "stragglers", TIER), find_row(rows, "stragglers", BASELINE)
    if tier is None or baseline is None:
        return []
    return [
        f"stragglers, {name}: p99 {figures['p99_ms']} ms of the baseline's"
        f" {baseline['classes'][name]['p99_ms']} ms ="
        f" {figures['p99_ms'] / max(baseline['classes'][name]['p99_ms'], 0.01):.2f} (aim 0.50),"
        f" extra load {tier['extra_load_percent']}% (aim 5%)"
        for name, figures in tier["classes"].items()
    ]


def capacity_lines(rows: list[Row]) -> list[str]:
    """Aim: 99.9 in 100 answers whole within their deadline at 70% of slot capacity."""
    return [
        f"load-70, {variant}, {name}: whole in time {figures['whole_in_time_percent']}%"
        " (aim 99.9, the baseline loses some)"
        for variant in (TIER, BASELINE)
        if (row := find_row(rows, "load-70", variant))
        for name, figures in row["classes"].items()
    ]


def move_lines(rows: list[Row]) -> list[str]:
    """Aim: no second below 99% whole answers while a failure domain leaves and returns."""
    return [
        f"domain-move, {variant}: lowest second {min(row['whole_by_second'], default=0)}% whole"
        f" (aim 99), over cold limit {row['over_cold_limit']}, marks {row['marks_ms']} ms"
        for variant in (TIER, BASELINE)
        if (row := find_row(rows, "domain-move", variant))
    ]


def overload_lines(rows: list[Row]) -> list[str]:
    """Aim: useful work at 150% stays above 90% of its peak over the offered loads."""
    lines = []
    for variant in (TIER, BASELINE):
        useful = {
            name: row["whole_in_time_per_s"]
            for name in ("load-70", "load-100", "load-150")
            if (row := find_row(rows, name, variant))
        }
        if "load-150" in useful and len(useful) > 1:
            share = 100 * useful["load-150"] / max(max(useful.values()), 0.1)
            lines.append(f"load-150, {variant}: useful {useful} = {share:.1f}% of peak (aim 90)")
    return lines
