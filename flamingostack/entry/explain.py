"""Bounded traces of recent requests: where each was sent, why, and what came back."""

from __future__ import annotations

from collections import OrderedDict

from ..generated import messages_pb2 as pb

# Layout of one attempt in `Trace.attempts`. The list is flat: thousands of traces are kept, and a
# tuple for each attempt would double their size.
FIELDS_PER_ATTEMPT = 9
STATUS_OFFSET = 6
REASON_OFFSET = 7
END_OFFSET = 8
PENDING_STATUS = -1

# Reasons why an attempt was sent, shown as `why`.
PRIMARY = "primary"
HEDGE = "hedge"
RETRY = "retry"
ELSEWHERE = "not_run_elsewhere"
SNAPSHOT = "snapshot_missing_elsewhere"
SUBMIT = "submit"

STATUS_NAMES = {
    value: name.removeprefix("SUB_STATUS_").lower() for name, value in pb.SubStatus.items()
}
STATUS_NAMES[PENDING_STATUS] = "pending"


class Trace:
    """Attempts, events and result of one request; times in seconds of the event loop's clock."""

    __slots__ = (
        "request_id",
        "tenant",
        "request_class",
        "service",
        "preset",
        "started",
        "attempts",
        "events",
        "code",
        "elapsed",
    )

    def __init__(
        self,
        request_id: str,
        tenant: str,
        request_class: str,
        service: str,
        preset: str,
        started: float,
    ) -> None:
        self.request_id = request_id
        self.tenant = tenant
        self.request_class = request_class
        self.service = service
        self.preset = preset
        self.started = started
        self.attempts: list = []
        self.events: list[tuple[float, str]] = []
        self.code = ""
        self.elapsed = 0.0

    def add_attempt(
        self,
        target_id: str,
        instance: str,
        low: int,
        high: int,
        why: str,
        now: float,
    ) -> int:
        """Add an attempt and return its index for `end_attempt`."""
        index = len(self.attempts)
        self.attempts += (target_id, instance, low, high, why, now, PENDING_STATUS, "", 0.0)
        return index

    def end_attempt(self, index: int, status: int, reason: str, now: float) -> None:
        """Record how an attempt ended."""
        attempts = self.attempts
        attempts[index + STATUS_OFFSET] = status
        attempts[index + REASON_OFFSET] = reason
        attempts[index + END_OFFSET] = now

    def add_event(self, text: str, now: float) -> None:
        """Record an event that concerns the whole request."""
        self.events.append((now, text))

    def end(self, code: str, now: float) -> None:
        """Record how the request ended."""
        self.code = code
        self.elapsed = now - self.started

    def render(self) -> dict:
        """Return the trace as JSON values, times in milliseconds since the request arrived."""
        return {
            "request_id": self.request_id,
            "tenant": self.tenant,
            "class": self.request_class,
            "service": self.service,
            "preset": self.preset,
            "code": self.code or "running",
            "elapsed_ms": round(self.elapsed * 1000, 3),
            "events": [{"at_ms": self._ms(at), "event": text} for at, text in self.events],
            "attempts": [
                self._render_attempt(self.attempts[index : index + FIELDS_PER_ATTEMPT])
                for index in range(0, len(self.attempts), FIELDS_PER_ATTEMPT)
            ],
        }

    def _render_attempt(self, fields: list) -> dict:
        target_id, instance, low, high, why, start, status, reason, end = fields
        return {
            "target": target_id,
            "instance": instance,
            "low": low,
            "high": high,
            "why": why,
            "start_ms": self._ms(start),
            "end_ms": self._ms(end) if end else None,
            "status": STATUS_NAMES.get(status, str(status)),
            "reason": reason,
        }

    def _ms(self, at: float) -> float:
        return round((at - self.started) * 1000, 3)


class Traces:
    """The last `capacity` traces by request id, and as many refusals.

    They are kept apart, so that a burst of refusals does not displace the traces.
    """

    __slots__ = ("capacity", "_traces_by_id", "_refusals_by_id")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._traces_by_id: OrderedDict[str, Trace] = OrderedDict()
        self._refusals_by_id: OrderedDict[str, dict] = OrderedDict()

    def add(self, trace: Trace) -> None:
        """Add a trace; at capacity, the oldest is dropped."""
        self._add_bounded(self._traces_by_id, trace.request_id, trace)

    def add_refusal(self, request_id: str, refusal: dict) -> None:
        """Add the answer to a refused request; at capacity, the oldest is dropped."""
        self._add_bounded(self._refusals_by_id, request_id, refusal)

    def find(self, request_id: str) -> dict | None:
        """Return the trace or refusal of a request as JSON values, or None if neither is kept."""
        trace = self._traces_by_id.get(request_id)
        refusal = self._refusals_by_id.get(request_id)
        if trace is None:
            return refusal
        return trace.render() | ({"refusal": refusal} if refusal else {})

    def _add_bounded(self, items: OrderedDict, request_id: str, item: object) -> None:
        if not self.capacity:
            return
        items[request_id] = item
        if len(items) > self.capacity:
            items.popitem(last=False)
