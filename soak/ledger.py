"""What callers, targets and faults recorded during a run: the evidence for the checks.

All times are in seconds of the event loop's clock.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached a target."""

    at: float
    request_id: str
    service: str
    target: str
    method: str
    path: str
    body: bytes
    # Whether the target began to process the request rather than refuse it.
    has_run: bool
    # The limit in requests per second if the target was cold, else None.
    cold_limit: float | None
    # What the target said of itself with its answer: that it leaves, how many requests a second it
    # takes from all instances together, and for how long it wants none from this one.
    said_leaving: bool = False
    said_limit: float | None = None
    said_closed_s: float = 0.0
    answered_at: float = 0.0
    # The values of `X-Tenant` that it got, and whether any of its bytes were those of an API key.
    tenants: tuple[str, ...] = ()
    has_key: bool = False


@dataclasses.dataclass(slots=True)
class Outcome:
    """One request of a caller and how it ended.

    `status` is 0 if there was no complete response, and `ended_at` is 0 while the request is in
    flight.
    """

    request_id: str
    route: str
    instance: str
    # Which process of the instance ran when the request was sent, counted from 1.
    process_number: int
    method: str
    path: str
    body: bytes
    sent_at: float
    # When its last bytes left the process; 0 if none did.
    written_at: float = 0.0
    # When the other side had closed its connection; 0 if that is not known.
    closed_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    response_body: bytes = b""
    # Whether a connection existed; without one the instance cannot have read the request.
    was_connected: bool = False
    error: str = ""
    # The API key that it was sent with; empty without one.
    key: str = ""


@dataclasses.dataclass(slots=True)
class Change:
    """A change by operators or a target, such as an evacuation; `at` is its acknowledgement."""

    at: float
    # "evacuation" or "drain".
    kind: str
    # The evacuated failure domain, or the ID of the draining target.
    subject: str
    # When the evacuation was reverted, or the draining target stopped.
    reverted_at: float = float("inf")


class Ledger:
    """All observations of one run."""

    __slots__ = (
        "arrivals",
        "outcomes_by_id",
        "changes",
        "fault_intervals_by_name",
        "immediate_violations",
    )

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.outcomes_by_id: dict[str, Outcome] = {}
        self.changes: list[Change] = []
        # Start and end of each fault, by instance name, process key (`make_process_key`) or target
        # ID. The checks excuse missed deadlines and interrupted requests that a fault explains.
        self.fault_intervals_by_name: dict[str, list[list[float]]] = {}
        # Violations found during the run, such as a process that exited unexpectedly.
        self.immediate_violations: list[str] = []

    def record_fault_start(self, names: list[str], at: float) -> list[list[float]]:
        """Record that a fault on instances, processes or targets starts.

        Returns one interval `[start, end]` for each name. The end is infinite until the caller
        sets it.
        """
        intervals = []
        for name in names:
            interval = [at, float("inf")]
            self.fault_intervals_by_name.setdefault(name, []).append(interval)
            intervals.append(interval)
        return intervals

    def is_fault_free(self, name: str, begin: float, end: float) -> bool:
        """Return whether no fault on an instance, process or target overlaps the given interval."""
        return not any(
            start < end and until > begin
            for start, until in self.fault_intervals_by_name.get(name, [])
        )
