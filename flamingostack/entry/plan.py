"""Snapshots of service maps, and the key ranges of a query under the snapshot it is pinned to."""

from __future__ import annotations

from bisect import bisect_right

from ..errors import Failure, make_failure
from ..generated import messages_pb2 as pb
from .refusals import EntryReason

# (low, high, target ids of the replicas)
PinnedRange = tuple[int, int, tuple[str, ...]]


class PinnedMap:
    """One immutable snapshot of a service's map; a running query is not affected by new ones.

    The ranges are in key order and disjoint. Where ranges of the published map overlap, the lower
    one keeps the shared keys, so that no key is counted twice.
    """

    __slots__ = ("service", "keyspace", "snapshot", "revision", "ranges", "_lows")

    def __init__(self, index: pb.ServiceIndex, snapshot: pb.Snapshot) -> None:
        self.service = index.service
        self.keyspace = index.keyspace
        self.snapshot = snapshot.id
        self.revision = index.revision
        self.ranges = _make_ranges(index.keyspace, snapshot)
        self._lows = [low for low, _, _ in self.ranges]

    def split(self, low: int, high: int) -> list[PinnedRange]:
        """Return the ranges that intersect [low, high), clipped to it."""
        if low == 0 and high == self.keyspace:
            return self.ranges
        first = max(bisect_right(self._lows, low) - 1, 0)
        parts: list[PinnedRange] = []
        for start, end, replicas in self.ranges[first:]:
            if start >= high:
                break
            if end > low:
                parts.append((max(start, low), min(end, high), replicas))
        return parts


class MapCache:
    """Cache of the newest snapshot of each service; an entry is rebuilt when its index changes."""

    __slots__ = ("_maps_by_service", "_indexes_by_service")

    def __init__(self) -> None:
        self._maps_by_service: dict[str, PinnedMap] = {}
        self._indexes_by_service: dict[str, pb.ServiceIndex] = {}

    def newest(
        self,
        indexes_by_service: dict[str, pb.ServiceIndex],
        service: str,
    ) -> PinnedMap | None:
        """Return the newest snapshot of a service, or None if none is known."""
        index = indexes_by_service.get(service)
        if index is None or not index.snapshots:
            return None
        if self._indexes_by_service.get(service) is not index:
            self._indexes_by_service[service] = index
            self._maps_by_service[service] = PinnedMap(index, index.snapshots[-1])
        return self._maps_by_service[service]


def resolve_range(
    pinned: PinnedMap,
    low: int | None,
    high: int | None,
) -> tuple[int, int] | Failure[EntryReason]:
    """Return the requested range with defaults filled in, or a failure if it is not valid."""
    start = 0 if low is None else low
    end = pinned.keyspace if high is None else high
    if not 0 <= start < end <= pinned.keyspace:
        return make_failure(
            EntryReason.UNKNOWN_RANGE,
            f"[{start}, {end}) is not a range within [0, {pinned.keyspace}) of {pinned.service}",
        )
    return start, end


def _make_ranges(keyspace: int, snapshot: pb.Snapshot) -> list[PinnedRange]:
    ranges: list[PinnedRange] = []
    position = 0
    for item in sorted(snapshot.ranges, key=lambda item: (item.low, item.high)):
        low = max(item.low, position)
        high = min(item.high, keyspace)
        if low < high:
            ranges.append((low, high, tuple(item.targets)))
            position = high
    return ranges
