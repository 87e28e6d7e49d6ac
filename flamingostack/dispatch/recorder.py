"""Metrics and traces of sub-requests that have been replied to."""

from __future__ import annotations

from collections import deque

from hdrh.histogram import HdrHistogram

from ..generated import messages_pb2 as pb
from ..metrics import (
    HIGHEST_US,
    LOWEST_US,
    MAX_LABEL_SETS,
    OVERFLOW_LABELS,
    Labels,
    Metrics,
    make_histogram,
    make_labels,
)

STATUS_PREFIX = "SUB_STATUS_"
LATENCY_METRIC = "flamingostack_dispatch_target_seconds"
REPLIES_METRIC = "flamingostack_dispatch_replies_total"


class Trace:
    """Record of one sub-request and its reply."""

    __slots__ = (
        "sub_request_id",
        "request_id",
        "request_class",
        "target",
        "low",
        "high",
        "hedge",
        "status",
        "reason",
        "queue_us",
        "target_us",
    )

    def __init__(
        self,
        request: pb.SubRequest,
        status: int,
        reason: str,
        queue_us: int,
        target_us: int,
    ) -> None:
        # A reference to the message would keep its whole batch in memory.
        self.sub_request_id = request.id
        self.request_id = request.request_id
        self.request_class = request.request_class
        self.target = request.target
        self.low = request.low
        self.high = request.high
        self.hedge = request.hedge
        self.status = status
        self.reason = reason
        self.queue_us = queue_us
        self.target_us = target_us

    def to_builtins(self) -> dict:
        """Return the trace as a dict for JSON; times are microseconds."""
        return {
            "id": self.sub_request_id,
            "request_id": self.request_id,
            "class": self.request_class,
            "target": self.target,
            "low": self.low,
            "high": self.high,
            "hedge": self.hedge,
            "status": format_status(self.status),
            "reason": self.reason,
            "queue_us": self.queue_us,
            "target_us": self.target_us,
        }


class Recorder:
    """Records the reply to each sub-request.

    To keep this cheap, metric names and labels of the reply counts are built only at a scrape.
    """

    __slots__ = ("metrics", "traces", "_counts", "_latencies_by_class")

    def __init__(self, max_traces: int) -> None:
        self.metrics = Metrics()
        self.traces: deque[Trace] = deque(maxlen=max_traces)
        self._counts: dict[tuple[int, str], int] = {}
        self._latencies_by_class: dict[str, tuple[HdrHistogram, tuple[str, Labels]]] = {}

    def record(self, trace: Trace) -> None:
        """Record the trace of one reply and count it."""
        self.traces.append(trace)
        key = (trace.status, trace.reason)
        self._counts[key] = self._counts.get(key, 0) + 1
        if trace.target_us:
            self._record_latency(trace.request_class, trace.target_us)

    def _record_latency(self, request_class: str, target_us: int) -> None:
        cached = self._latencies_by_class.get(request_class)
        if cached is None:
            cached = self._add_class(request_class)
        histogram, key = cached
        value = min(max(target_us, LOWEST_US), HIGHEST_US)
        histogram.record_value(value)
        self.metrics.sums_by_key[key] += value

    def _add_class(self, request_class: str) -> tuple[HdrHistogram, tuple[str, Labels]]:
        is_full = len(self._latencies_by_class) >= MAX_LABEL_SETS
        labels = OVERFLOW_LABELS if is_full else make_labels({"class": request_class})
        key = (LATENCY_METRIC, labels)
        histogram = self.metrics.histograms_by_key.setdefault(key, make_histogram())
        self.metrics.sums_by_key.setdefault(key, 0)
        if not is_full:
            self._latencies_by_class[request_class] = (histogram, key)
        return histogram, key

    def find_traces(self, request_id: str) -> list[dict]:
        """Return the traces of a caller's request, oldest first, as far as they are kept."""
        found = [trace for trace in self.traces if trace.request_id == request_id]
        return [trace.to_builtins() for trace in found]

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        for (status, reason), count in self._counts.items():
            labels = make_labels({"status": format_status(status), "reason": reason})
            self.metrics.counters_by_key[(REPLIES_METRIC, labels)] = count
        return self.metrics.render()


def format_status(status: int) -> str:
    """Return the name of a status in lower case without its prefix, for example `not_run`."""
    return pb.SubStatus.Name(status).removeprefix(STATUS_PREFIX).lower()
