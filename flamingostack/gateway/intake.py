"""Bounds on what callers' connections hold, and the choice of those to close.

It handles the load pattern of many callers at once that send requests without end, stop in the
middle of them, do not read their answers, or only open connections. A machine has 152 to 552 MB,
and such a connection takes up to the limits of a head and a body. What all connections hold beyond
a small fixed amount is counted against one budget, and their number has a bound. Callers whose
requests are complete and who read their answers are the last to notice either.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from .model import CallerLimits

# The smallest machine of the requirements; used where the settings don't name the memory.
DEFAULT_MEMORY_BYTES = 152 * 1024 * 1024
# What the process takes without callers: 42 MiB at rest, and more with many targets.
PROCESS_BYTES = 48 * 1024 * 1024
# Share of the rest of the machine's memory for callers: their connections, and what is held for
# them. As much again is taken for a while by what was closed, and gaps in the heap.
BUDGET_SHARE = 0.25
MIN_BUDGET_BYTES = 2 * 1024 * 1024
# A connection takes 4.5 KiB while nothing is sent on it, up to 4 KiB of a request that are not
# counted, and what is left of it for a while after it is closed.
CONNECTION_BYTES = 13 * 1024
# The tasks, timers and buffers of a request while its body is received: 600 bodies that did not end
# took 27 KiB for each open connection beside their bytes.
BODY_REQUEST_BYTES = 12 * 1024
# Share of the budget for connections alone.
MAX_CONNECTION_SHARE = 0.75
# An answer that waits to be read is held by the transport and by its request.
UNREAD_WEIGHT = 2
# Descriptors of files, and the share of the others that callers may have. Targets, the store and
# other instances need the rest.
RESERVED_DESCRIPTORS = 200
CALLER_DESCRIPTOR_SHARE = 0.5
MIN_CONNECTIONS = 16
# Over the budget, connections are closed down to this share of it, so that the choice, which looks
# at all of them, is rare.
CLOSE_TO_SHARE = 7 / 8
# A part of a head is copied each time a further part arrives, which leaves gaps in the heap.
HEAD_WEIGHT = 2
# A parsed header field takes this much beyond its bytes: 250 fields of 6 bytes took 36 KiB.
FIELD_BYTES = 160
# The same for a request whose body is received. Its header fields are many small objects, and the
# memory of a closed one is used again only in part: 250 fields took twice their size.
BODY_FIELD_BYTES = 2 * FIELD_BYTES
# A caller that reads takes an answer within this time even on a slow link.
UNREAD_GRACE_S = 0.5
# The same for the followers of a reader. One change of the state wakes all of their polls, and with
# 100 of them it takes a second on half a core until all answers are written.
SPARED_READER_S = 2.0
# Young connections would all have the same weight without it.
MIN_AGE_S = 0.05
# Shares of memory and descriptors for the port of peers. A reader has a connection or two of each
# of the others in its failure domain, which are 99 of 300 instances in three domains.
PEER_BUDGET_SHARE = 1 / 14
PEER_DESCRIPTOR_SHARE = 1 / 6
MIN_PEER_CONNECTIONS = 64
# The platform checks readiness once a second, and few systems read the metrics.
PROBE_BYTES = 1024 * 1024
PROBE_CONNECTIONS = 32
# Log lines on bad requests and closed connections.
LINES_PER_S = 5
BURST_LINES = 20


class IntakeLimits:
    """Bounds on the connections of callers, and on their bytes together with what is held."""

    __slots__ = ("all_bytes", "connections")

    def __init__(self, all_bytes: int, connections: int) -> None:
        self.all_bytes = all_bytes
        self.connections = connections


def make_intake_limits(
    memory_bytes: int, descriptors: int, largest_descriptor: int
) -> IntakeLimits:
    """Return the bounds for callers on a machine.

    Memory and descriptors are 0 if the settings don't name them. `largest_descriptor` is the
    operating system's limit for the process.
    """
    left_bytes, usable = compute_left(memory_bytes, descriptors, largest_descriptor)
    all_bytes, connections = left_bytes * BUDGET_SHARE, usable * CALLER_DESCRIPTOR_SHARE
    return make_limits(all_bytes, connections, MIN_CONNECTIONS)


def make_peer_limits(memory_bytes: int, descriptors: int, largest_descriptor: int) -> IntakeLimits:
    """Return the bounds for the port of peers; for the parameters see `make_intake_limits`."""
    left_bytes, usable = compute_left(memory_bytes, descriptors, largest_descriptor)
    all_bytes, connections = left_bytes * PEER_BUDGET_SHARE, usable * PEER_DESCRIPTOR_SHARE
    return make_limits(all_bytes, connections, MIN_PEER_CONNECTIONS)


def compute_left(memory_bytes: int, descriptors: int, largest_descriptor: int) -> tuple[int, int]:
    """Return the memory and descriptors that the process does not need for itself."""
    left_bytes = (memory_bytes or DEFAULT_MEMORY_BYTES) - PROCESS_BYTES
    available = min(descriptors or largest_descriptor, largest_descriptor)
    return left_bytes, available - RESERVED_DESCRIPTORS


def make_limits(all_bytes: float, connections: float, min_connections: int) -> IntakeLimits:
    """Return bounds with at least the smallest budget and number of connections."""
    all_bytes = max(int(all_bytes), MIN_BUDGET_BYTES)
    connections = min(connections, all_bytes * MAX_CONNECTION_SHARE / CONNECTION_BYTES)
    return IntakeLimits(all_bytes, max(int(connections), min_connections))


def estimate_head_bytes(data: bytes) -> int:
    """Return the memory that a part of a head takes, with its fields."""
    return HEAD_WEIGHT * len(data) + FIELD_BYTES * data.count(b"\n")


class Phase(enum.Enum):
    """WAITING: for a whole request; SERVED: a request was complete, and was answered or runs.

    GIVEN_UP: the connection is about to be closed.
    """

    WAITING = "waiting"
    SERVED = "served"
    GIVEN_UP = "given_up"


class Entry:
    """What is known of one connection; `connection` is the caller's key for it."""

    __slots__ = (
        "connection",
        "is_open",
        "phase",
        "request_bytes",
        "unread_bytes",
        "has_requests_ahead",
        "since",
    )

    def __init__(self, connection: object, now: float) -> None:
        self.connection = connection
        self.is_open = True
        self.phase = Phase.WAITING
        # Bytes of requests, and bytes of answers that the caller has not read.
        self.request_bytes = 0
        self.unread_bytes = 0
        # Whether it has sent requests before it had the answer to the last one.
        self.has_requests_ahead = False
        # When it began to hold bytes, or last took some of an answer.
        self.since = now

    @property
    def held_bytes(self) -> int:
        """All bytes that are held for the connection."""
        return self.request_bytes + self.unread_bytes


class Intake:
    """Counts the connections of callers and what they hold; no I/O.

    `now` is a clock in seconds. With `spares_readers`, connections that still take their answer are
    not closed for the budget.
    """

    __slots__ = (
        "limits",
        "held_bytes",
        "opened",
        "unread",
        "_spares_readers",
        "_now",
        "_waiting",
        "_served",
        "_holders",
    )

    def __init__(
        self, limits: IntakeLimits, now: Callable[[], float], spares_readers: bool = False
    ) -> None:
        self.limits = limits
        self._spares_readers = spares_readers
        self.held_bytes = 0
        self.opened = 0
        # Connections with answers that wait to be read, in the order in which that began. This and
        # the others are dictionaries without values, for their order.
        self.unread: dict[Entry, None] = {}
        self._now = now
        # In the order in which the wait for a request began, or the last request was complete.
        self._waiting: dict[Entry, None] = {}
        self._served: dict[Entry, None] = {}
        self._holders: dict[Entry, None] = {}

    @property
    def is_over_budget(self) -> bool:
        """Whether more is held for the connections than the budget leaves beside them."""
        return self.held_bytes > self.budget_bytes

    @property
    def budget_bytes(self) -> int:
        """What may be held, beside what the connections take by themselves."""
        return self.limits.all_bytes - self.opened * CONNECTION_BYTES

    def open(self, connection: object) -> Entry:
        """Count a new connection, which waits for its first request."""
        entry = Entry(connection, self._now())
        self.opened += 1
        self._waiting[entry] = None
        return entry

    def remove(self, entry: Entry) -> None:
        """Count a connection no more; further calls for it have no effect."""
        self.give_up(entry)
        if entry.is_open:
            entry.is_open = False
            self.opened -= 1

    def give_up(self, entry: Entry) -> None:
        """Count no longer what a connection holds, since it is about to be closed."""
        if entry.phase is Phase.GIVEN_UP:
            return
        entry.phase = Phase.GIVEN_UP
        self.held_bytes -= entry.held_bytes
        entry.request_bytes = entry.unread_bytes = 0
        for entries in (self._waiting, self._served, self._holders, self.unread):
            entries.pop(entry, None)

    def complete_request(self, entry: Entry) -> None:
        """Record that a request is complete, and that the connection waits for none."""
        if entry.phase is Phase.SERVED:
            # The connection that was idle for longest stays the first.
            del self._served[entry]
            self._served[entry] = None
        elif entry.phase is Phase.WAITING:
            del self._waiting[entry]
            entry.phase = Phase.SERVED
            self._served[entry] = None

    def await_request(self, entry: Entry) -> None:
        """Record that a request has begun to arrive and is not complete."""
        if entry.phase is Phase.SERVED:
            del self._served[entry]
            entry.phase = Phase.WAITING
            self._waiting[entry] = None

    def hold_request(self, entry: Entry, added_bytes: int) -> None:
        """Count bytes of a request."""
        self._add(entry, added_bytes, 0)

    def hold_ahead(self, entry: Entry, total_bytes: int) -> None:
        """Count requests that arrive before the answer to the last one, if not counted yet."""
        if not entry.has_requests_ahead:
            entry.has_requests_ahead = True
            self._add(entry, total_bytes, 0)

    def release_requests(self, entry: Entry) -> None:
        """Record that all requests of a connection are answered."""
        entry.has_requests_ahead = False
        self._add(entry, -entry.request_bytes, 0)

    def set_unread(self, entry: Entry, answer_bytes: int) -> None:
        """Set how many bytes of answers wait to be read; 0 means none."""
        if entry.phase is Phase.GIVEN_UP:
            return
        total_bytes = answer_bytes * UNREAD_WEIGHT
        if total_bytes < entry.unread_bytes or entry not in self.unread:
            entry.since = self._now()
        self._add(entry, 0, total_bytes - entry.unread_bytes)
        if total_bytes:
            self.unread.setdefault(entry)
        else:
            self.unread.pop(entry, None)

    def pick_excess(self) -> list[Entry]:
        """Return which connections to close, so that the others are within the budget.

        Requests that are complete and run are not cut: what they hold was within the budget when
        they became complete. Connections above an equal share of as many as may be open come first,
        and among them those that hold much and have done so for long: a large body of an ordinary
        caller arrives soon. Answers that the caller may still be taking come last.
        """
        if not self.is_over_budget:
            return []
        now = self._now()
        budget_bytes = self.budget_bytes
        share_bytes = budget_bytes / self.limits.connections
        candidates = [
            entry
            for entry in self._holders
            if is_closable(entry) and not self._is_spared(entry, now)
        ]
        candidates.sort(key=lambda entry: rank_for_close(entry, share_bytes, now))
        picked = []
        left_bytes = self.held_bytes
        for entry in candidates:
            if left_bytes <= budget_bytes * CLOSE_TO_SHARE:
                break
            left_bytes -= entry.held_bytes
            picked.append(entry)
        return picked

    def _is_spared(self, entry: Entry, now: float) -> bool:
        is_recent = now - entry.since < SPARED_READER_S
        return self._spares_readers and entry.unread_bytes > 0 and is_recent

    def pick_for_room(self, is_idle: Callable[[object], bool]) -> Entry | None:
        """Return which connection to close in favour of a new one; None if all are in use.

        These are, in this order, callers that don't read their answer, those that have waited for
        longest with an incomplete request or with none, and those that were idle for longest.
        """
        unread = next(iter(self.unread), None)
        if unread is not None and self._now() - unread.since > UNREAD_GRACE_S:
            return unread
        waiting = next(iter(self._waiting), None)
        if waiting is not None:
            return waiting
        return next((entry for entry in self._served if is_idle(entry.connection)), None)

    def pick_stalled(self, limits: CallerLimits) -> list[Entry]:
        """Return the connections whose callers have taken nothing of their answer for too long."""
        until = self._now() - limits.idle_timeout_s
        return [entry for entry in self.unread if entry.since < until]

    def _add(self, entry: Entry, request_bytes: int, unread_bytes: int) -> None:
        if entry.phase is Phase.GIVEN_UP:
            return
        if not entry.held_bytes:
            entry.since = self._now()
        entry.request_bytes += request_bytes
        entry.unread_bytes += unread_bytes
        self.held_bytes += request_bytes + unread_bytes
        if entry.held_bytes:
            self._holders.setdefault(entry)
        else:
            self._holders.pop(entry, None)


def is_closable(entry: Entry) -> bool:
    """Return whether a connection may be closed for what it holds."""
    return entry.phase is Phase.WAITING or entry.unread_bytes > 0 or entry.has_requests_ahead


def rank_for_close(entry: Entry, share_bytes: float, now: float) -> tuple[bool, bool, float]:
    """Return a key that is smallest for the connection to close first."""
    age_s = now - entry.since
    may_be_reading = entry.unread_bytes > 0 and age_s < UNREAD_GRACE_S
    weight = entry.held_bytes * max(age_s, MIN_AGE_S)
    return may_be_reading, entry.held_bytes <= share_bytes, -weight


class LineLimit:
    """Bounds the log lines on bad requests; what is dropped is counted."""

    __slots__ = ("dropped", "_now", "_tokens", "_refilled_at")

    def __init__(self, now: Callable[[], float]) -> None:
        self.dropped = 0
        self._now = now
        self._tokens = float(BURST_LINES)
        self._refilled_at = now()

    def try_take(self) -> bool:
        """Return whether a line may be written."""
        now = self._now()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(self._tokens + refill, BURST_LINES)
        self._refilled_at = now
        if self._tokens < 1:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True

    def take_dropped(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped
