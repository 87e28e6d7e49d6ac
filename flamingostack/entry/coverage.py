"""Coverage of an answer: the share of the requested keyspace that was answered."""

from __future__ import annotations

from collections.abc import Iterable

Interval = tuple[int, int]


def find_missing_intervals(low: int, high: int, answered: Iterable[Interval]) -> list[Interval]:
    """Return the intervals of [low, high) that no answered one covers, in key order and merged."""
    missing: list[Interval] = []
    position = low
    for start, end in sorted(answered):
        if start > position:
            missing.append((position, min(start, high)))
        position = max(position, end)
        if position >= high:
            return missing
    if position < high:
        missing.append((position, high))
    return missing


def compute_coverage(low: int, high: int, missing: Iterable[Interval]) -> float:
    """Return the share of [low, high) that is not missing, from 0 to 1."""
    total = high - low
    return (total - sum(end - start for start, end in missing)) / total
