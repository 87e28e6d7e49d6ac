"""Tables of measured values, and their comparison with the performance goals (aims)."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from .experiment import BASELINE, TIER

Row = dict[str, Any]


def print_row(row: Row) -> None:
    """Print the results of one run, with one line for each request class."""
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
    """Print the measured value and the goal of each aim, and the paths of the plots."""
    print("\naims")
    for user in dict.fromkeys(row["user"] for row in rows):
        user_rows = [row for row in rows if row["user"] == user]
        for line in (
            *format_straggler_lines(user_rows),
            *format_capacity_lines(user_rows),
            *format_move_lines(user_rows),
        ):
            print(f"  {user}: {line}")
        for line in format_overload_lines(user_rows):
            print(f"  {user}: {line}")
    for path in plots:
        print(f"plot: {path}")


def find_row(rows: list[Row], scenario: str, variant: str) -> Row | None:
    """Return the row of a scenario and variant, or None if it did not run."""
    for row in rows:
        if row["scenario"] == scenario and row["variant"] == variant:
            return row
    return None


def format_straggler_lines(rows: list[Row]) -> list[str]:
    """Format the aim that p99 is at most half of the baseline's, with at most 5% extra load."""
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


def format_capacity_lines(rows: list[Row]) -> list[str]:
    """Format the aim that at 70% of slot capacity 99.9% of answers are whole and in time."""
    return [
        f"load-70, {variant}, {name}: whole in time {figures['whole_in_time_percent']}%"
        " (aim 99.9, the baseline loses some)"
        for variant in (TIER, BASELINE)
        if (row := find_row(rows, "load-70", variant))
        for name, figures in row["classes"].items()
    ]


def format_move_lines(rows: list[Row]) -> list[str]:
    """Format the aim of 99% whole answers in each second while a failure domain moves."""
    return [
        f"domain-move, {variant}: lowest second {min(row['whole_by_second'], default=0)}% whole"
        f" (aim 99), over cold limit {row['over_cold_limit']}, marks {row['marks_ms']} ms"
        for variant in (TIER, BASELINE)
        if (row := find_row(rows, "domain-move", variant))
    ]


def format_overload_lines(rows: list[Row]) -> list[str]:
    """Format the aim that useful work at 150% load is above 90% of its peak over all loads."""
    lines = []
    for variant in (TIER, BASELINE):
        useful_per_s = {
            name: row["whole_in_time_per_s"]
            for name in ("load-70", "load-100", "load-150")
            if (row := find_row(rows, name, variant))
        }
        if "load-150" in useful_per_s and len(useful_per_s) > 1:
            percent_of_peak = 100 * useful_per_s["load-150"] / max(max(useful_per_s.values()), 0.1)
            lines.append(
                f"load-150, {variant}: useful {useful_per_s} ="
                f" {percent_of_peak:.1f}% of peak (aim 90)"
            )
    return lines
