"""Outcomes of commands and how they are printed, as text or as JSON."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime

from ..status import ExitStatus
from .environment import CommandEnvironment

# Outcomes with these statuses are printed to standard output; all others are errors.
RESULT_STATUSES = frozenset({ExitStatus.SUCCESS, ExitStatus.NOT_YET_ACCEPTED})
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a command: `text` for people, `data` for `--json`."""

    status: ExitStatus
    text: str
    data: dict


def make_error(status: ExitStatus, code: str, message: str, **data: object) -> Outcome:
    """Return the outcome of a command that failed."""
    return Outcome(
        status=status,
        text=f"{code}: {message}",
        data={"code": code, "message": message, **data},
    )


def write_outcome(outcome: Outcome, as_json: bool, environment: CommandEnvironment) -> None:
    """Print an outcome. JSON goes to standard output, the text of an error to standard error."""
    if as_json:
        data = {"exit_status": int(outcome.status), **outcome.data}
        print(json.dumps(data, sort_keys=True), file=environment.stdout)
    elif outcome.status in RESULT_STATUSES:
        print(outcome.text, file=environment.stdout)
    else:
        print(outcome.text, file=environment.stderr)


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Return the lines of a left-aligned table."""
    cells = [list(header)] + [[str(cell) for cell in row] for row in rows]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]


def format_seconds(milliseconds: float) -> str:
    """Format milliseconds as seconds with two decimals."""
    return f"{milliseconds / MS_PER_S:.2f} s"


def format_time(unix_ms: int) -> str:
    """Format a Unix time in milliseconds as ISO 8601 in UTC."""
    try:
        moment = datetime.fromtimestamp(unix_ms / MS_PER_S, tz=UTC)
    except (OverflowError, ValueError, OSError):
        return f"{unix_ms} ms"
    return moment.isoformat(timespec="seconds")
