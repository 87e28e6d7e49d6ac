"""The queue of one target, ordered by class priority and then by deadline."""

from __future__ import annotations

import heapq
import itertools

from .work import WorkItem, WorkState

# Class priorities are 0 (served first) to 9.
PRIORITY_COUNT = 10


class WorkQueue:
    """Priority queue of work, with lazy removal.

    Work that is replied to while queued stays in the heap as a stale entry, which is skipped when
    it reaches the front. `length` counts the entries that are not stale.
    """

    __slots__ = ("_heap", "_lengths", "_sequence", "length")

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, int, WorkItem]] = []
        self._lengths = [0] * PRIORITY_COUNT
        self._sequence = itertools.count()
        self.length = 0

    def push(self, work: WorkItem) -> None:
        """Add work to the queue."""
        work.state = WorkState.QUEUED
        heapq.heappush(
            self._heap,
            (work.policy.priority, work.deadline_ns, next(self._sequence), work),
        )
        self._lengths[work.policy.priority] += 1
        self.length += 1

    def pop(self) -> WorkItem | None:
        """Remove and return the first work that is still queued, or None if there is none."""
        while self._heap:
            work = heapq.heappop(self._heap)[3]
            if work.state is WorkState.QUEUED:
                self.mark_removed(work)
                return work
        return None

    def mark_removed(self, work: WorkItem) -> None:
        """Set work to DONE and stop counting it, wherever in the queue it is."""
        work.state = WorkState.DONE
        self._lengths[work.policy.priority] -= 1
        self.length -= 1
        # Drop the stale entries once they outnumber the others, to bound the memory.
        if len(self._heap) > 64 and len(self._heap) > 2 * self.length:
            self._heap = [entry for entry in self._heap if entry[3].state is WorkState.QUEUED]
            heapq.heapify(self._heap)

    def take_all(self) -> list[WorkItem]:
        """Empty the queue; return the work that was still queued, in queue order."""
        self._heap.sort()
        queued = [entry[3] for entry in self._heap if entry[3].state is WorkState.QUEUED]
        for work in queued:
            work.state = WorkState.DONE
        self._heap.clear()
        self._lengths = [0] * PRIORITY_COUNT
        self.length = 0
        return queued

    def count_ahead(self, priority: int) -> int:
        """Return the number of queued entries that are served before new work of this priority.

        Entries of the same priority count as ahead, whatever their deadlines.
        """
        return sum(self._lengths[: priority + 1])
