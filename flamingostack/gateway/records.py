"""Merge of the parts' records into one answer."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Return the complete records of a part, without an incomplete one at the end."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES)]


def merge_records(bodies: Iterable[bytes], max_records: int) -> bytes:
    """Return the `max_records` greatest records of all parts, greatest first, with duplicates."""
    records = (record for body in bodies for record in split_records(body))
    return b"".join(heapq.nlargest(max_records, records))
