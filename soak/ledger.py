"""What callers and targets have seen: the only evidence that the checks use."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached a target; times are in seconds of the event loop's clock."""

    at: float
    request_id: str
    service: str
    target: str
    method: str
    path: str
    body: bytes
    has_run: bool
    # The target's bound on requests a second if it was cold, else None.
    cold_limit: float | None


@dataclasses.dataclass(slots=True)
class Outcome:
    """How one attempt of a caller ended; `status` is 0 if the connection ended before an answer."""

    request_id: str
    route: str
    instance: str
    boot: int
    method: str
    path: str
    body: bytes
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    answer: bytes = b""
    # Without it, the request cannot have been read: there was no connection.
    was_connected: bool = False
    error: str = ""


@dataclasses.dataclass(slots=True)
class Change:
    """A change that the operators or a target have made, acknowledged at a time."""

    at: float
    kind: str
    subject: str
    undone_at: float = float("inf")


class Ledger:
    """All that was seen in one run."""

    __slots__ = ("arrivals", "outcomes_by_id", "changes", "disturbances_by_instance", "notes")

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.outcomes_by_id: dict[str, Outcome] = {}
        self.changes: list[Change] = []
        # Begin and end of each fault that excuses an instance from bounds in time.
        self.disturbances_by_instance: dict[str, list[list[float]]] = {}
        # Broken promises that were seen at once, such as a process that ended by itself.
        self.notes: list[str] = []

    def disturb(self, instances: list[str], at: float) -> list[list[float]]:
        """Note that a fault on instances begins; its end is set in the returned intervals."""
        intervals = []
        for name in instances:
            interval = [at, float("inf")]
            self.disturbances_by_instance.setdefault(name, []).append(interval)
            intervals.append(interval)
        return intervals

    def is_calm(self, instance: str, begin: float, end: float) -> bool:
        """Tell whether no fault touched an instance between two times."""
        return not any(
            start < end and until > begin
            for start, until in self.disturbances_by_instance.get(instance, [])
        )
