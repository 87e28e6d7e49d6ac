"""Plots of measured values."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib as mpl

mpl.use("Agg")
from matplotlib import pyplot  # noqa: E402

COLORS = {"tier": "tab:blue", "baseline": "tab:gray"}


def write_plots(rows: list[dict[str, Any]], folder: Path) -> list[Path]:
    """Write a PNG plot of each user's failure domain moves; return the paths."""
    paths = []
    for user in dict.fromkeys(row["user"] for row in rows):
        move_rows = [
            row for row in rows if row["user"] == user and row["scenario"] == "domain-move"
        ]
        if move_rows:
            paths.append(plot_move(user, move_rows, folder / f"domain-move-{user}.png"))
    return paths


def plot_move(user: str, rows: list[dict[str, Any]], path: Path) -> Path:
    """Plot the percentage of queries answered whole and in time by second of arrival.

    Each variant has a line of its own.
    """
    figure, axes = pyplot.subplots(figsize=(8, 4))
    for row in rows:
        shares = row["whole_by_second"]
        axes.plot(range(len(shares)), shares, label=row["variant"], color=COLORS[row["variant"]])
    leaving_s = rows[0]["duration_s"] / 6
    axes.axvline(leaving_s, linestyle=":", color="tab:red", label="leaving")
    returning_s = leaving_s + rows[0]["duration_s"] / 4
    axes.axvline(returning_s, linestyle=":", color="tab:green", label="returning, cold")
    axes.set(
        title=f"{user}: a failure domain leaves and returns",
        xlabel="second of arrival",
        ylabel="whole in time, %",
    )
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
    return path
