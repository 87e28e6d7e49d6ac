"""What the instances of a failure domain tell each other of announced limits that have ended.

It handles the load pattern of a large fleet in which each instance has a request for a limited
target every few seconds or less. Most turns to try the target (`limits.py`) are missed, and an
instance learns minutes late that the limit has ended.

An instance whose request was answered without the limit says so with its polls of the instances
that it follows, and these tell all the others. A report never lifts a limit: it allows one request,
whose answer decides. It counts only if that answer was given after the last one that named the
limit to the instance that is told. While a limit is in force no report can therefore count, however
late it comes.

The clocks of instances differ, so a report gives the age of the request that was answered. Ages
are taken off a time that is earlier than the report itself: the poll of the receiver, or the clock
of the receiver that its last response to the sender held.
"""

from __future__ import annotations

import random
import secrets
from collections.abc import Iterable
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from .model import TargetEntry

# For how long an end is passed on. A poll takes a second, and there are two on its way.
KEEP_S = 10.0
MAX_ENDS = 64
# Part of a request line of 8 KiB, of which the observations take up to 6,000 bytes; escaping
# triples it at most.
MAX_REPORT_BYTES = 500
# For how long after the last new limit an instance asks for the clocks of those that it follows.
ACTIVE_S = 600.0

Run = tuple[str, int]


class LimitEnd(msgspec.Struct, array_like=True):
    """A run of a target that answered without a limit to a request sent `age_s` ago, or later."""

    target: str
    started_ms: int
    age_s: float


class LimitEnds:
    """Ends of limits that this instance passes on; times in seconds of its event loop's clock."""

    __slots__ = ("_process", "_active_until", "_ended_at_by_run")

    def __init__(self) -> None:
        # Tells the clock of this process from that of an earlier one.
        self._process = secrets.token_hex(4)
        self._active_until = float("-inf")
        self._ended_at_by_run: dict[Run, float] = {}

    def record_limit(self, entry: TargetEntry, now: float) -> None:
        """Record that a target has announced a limit."""
        self._active_until = now + ACTIVE_S
        self._ended_at_by_run.pop((entry.id, entry.started_ms), None)

    def record_end(self, target: str, started_ms: int, ended_at: float) -> None:
        """Record that a target answered without a limit to a request sent at `ended_at`."""
        run = target, started_ms
        known_at = self._ended_at_by_run.pop(run, ended_at)
        self._ended_at_by_run[run] = max(known_at, ended_at)
        if len(self._ended_at_by_run) > MAX_ENDS:
            del self._ended_at_by_run[next(iter(self._ended_at_by_run))]

    def is_active(self, now: float) -> bool:
        """Return whether there may be an end to report soon."""
        return now < self._active_until

    def collect(self, now: float) -> list[LimitEnd]:
        """Return the ends to pass on."""
        if not self._ended_at_by_run:
            return []
        self._ended_at_by_run = {
            run: ended_at
            for run, ended_at in self._ended_at_by_run.items()
            if now - ended_at < KEEP_S
        }
        return [
            LimitEnd(target, started_ms, now - ended_at)
            for (target, started_ms), ended_at in self._ended_at_by_run.items()
        ]

    def make_clock(self, now: float) -> str:
        """Return the reading of this instance's clock, which the reports of others refer to."""
        return f"{self._process}:{now!r}"

    def read_clock(self, text: str, now: float) -> float | None:
        """Return a reading of this process's clock; None if it is another's or malformed."""
        process, _, reading = text.partition(":")
        if process != self._process:
            return None
        try:
            at = float(reading)
        except ValueError:
            return None
        return at if at <= now else None


def encode_limit_ends(ends: Iterable[LimitEnd]) -> str:
    """Return the ends that fit into a report, others each time, as a request parameter."""
    rows: list[bytes] = []
    free_bytes = MAX_REPORT_BYTES
    for row in random.sample(encoded := [msgspec.json.encode(end) for end in ends], len(encoded)):
        free_bytes -= len(row) + 1
        if free_bytes < 0:
            break
        rows.append(row)
    return f"[{b','.join(rows).decode()}]"


def decode_limit_ends(text: str) -> list[LimitEnd]:
    """Return the ends of a request parameter; none if it is malformed."""
    try:
        return msgspec.json.decode(text, type=list[LimitEnd])[:MAX_ENDS]
    except msgspec.DecodeError:
        return []
