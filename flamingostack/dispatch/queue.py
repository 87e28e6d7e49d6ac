"""The queue of one target: by class priority, then by deadline."""

from __future__ import annotations

import heapq
import itertools

from .work import Work, WorkState

PRIORITIES = 10


class WorkQueue:
    """Queued work; an entry that was answered meanwhile is skipped when it reaches the front."""

    __slots__ = ("_heap", "_lengths", "_order", "length")

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, int, Work]] = []
        self._lengths = [0] * PRIORITIES
        self._order = itertools.count()
        self.length = 0

    def push(self, work: Work) -> None:
        """Add work."""
        work.state = WorkState.QUEUED
        heapq.heappush(
            self._heap,
            (work.policy.priority, work.deadline_ns, next(self._order), work),
        )
        self._lengths[work.policy.priority] += 1
        self.length += 1

    def pop(self) -> Work | None:
        """Remove and return the first work that is still waiting."""
        while self._heap:
            work = heapq.heappop(self._heap)[3]
            if work.state is WorkState.QUEUED:
                self.forget(work)
                return work
        return None

    def forget(self, work: Work) -> None:
        """Stop counting work that leaves the queue, from its front or from within."""
        work.state = WorkState.DONE
        self._lengths[work.policy.priority] -= 1
        self.length -= 1
        # Work that was answered within the queue must not fill the memory.
        if len(self._heap) > 64 and len(self._heap) > 2 * self.length:
            self._heap = [entry for entry in self._heap if entry[3].state is WorkState.QUEUED]
            heapq.heapify(self._heap)

    def take_all(self) -> list[Work]:
        """Empty the queue and return the work that was waiting, in its order."""
        self._heap.sort()
        waiting = [entry[3] for entry in self._heap if entry[3].state is WorkState.QUEUED]
        for work in waiting:
            work.state = WorkState.DONE
        self._heap.clear()
        self._lengths = [0] * PRIORITIES
        self.length = 0
        return waiting

    def length_ahead(self, priority: int) -> int:
        """Return how many wait that are served before new work of this priority."""
        return sum(self._lengths[: priority + 1])
