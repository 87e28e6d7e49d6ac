"""Plots of the measured figures."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib as mpl

mpl.use("Agg")
from matplotlib import pyplot  # noqa: E402

COLORS = {"tier": "tab:blue", "baseline": "tab:gray"}


def write_plots(rows: list[dict[str, Any]], folder: Path) -> list[Path]:
    """Write the share of whole answers by second for each failure domain move as PNG."""
    paths = []
    for user in dict.fromkeys(row["user"] for row in rows):
        moves = [row for row in rows if row["user"] == user and row["scenario"] == "domain-move"]
        if moves:
            paths.append(plot_move(user, moves, folder / f"domain-move-{user}.png"))
    return paths


def plot_move(user: str, rows: list[dict[str, Any]], path: Path) -> Path:
    """Plot the share of whole answers by second of arrival, one line for each variant."""
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
