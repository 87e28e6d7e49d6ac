"""The record of a case: what was sent, answered and run, with times from the begin."""

from __future__ import annotations

import time
from pathlib import Path


class Event:
    """One line of the record; `at` is in seconds from the begin."""

    __slots__ = ("at", "kind", "fields")

    def __init__(self, at: float, kind: str, fields: dict[str, object]) -> None:
        self.at = at
        self.kind = kind
        self.fields = fields


class Record:
    """Events in the order in which they happened; each is written to the file at once."""

    def __init__(self, path: Path) -> None:
        self.events: list[Event] = []
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the time since the begin, in seconds."""
        return time.monotonic() - self._began_at

    def add(self, kind: str, **fields: object) -> Event:
        """Add an event."""
        event = Event(self.now(), kind, fields)
        self.events.append(event)
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{event.at:8.3f} {kind} {text}\n")
        self._file.flush()
        return event

    def find(self, kind: str, **fields: object) -> list[Event]:
        """Return the events of a kind with these fields."""
        return [
            event
            for event in self.events
            if event.kind == kind
            and all(event.fields.get(name) == value for name, value in fields.items())
        ]
