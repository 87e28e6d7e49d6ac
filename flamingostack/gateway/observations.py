"""What the instances of a failure domain have observed of targets in trouble.

It handles the load pattern of a large fleet in which many targets turn slow, full or dark for some
seconds. An instance that gets one request a second would find each of them by a request of its own.
Together, the instances of a failure domain have observed nearly all within a second.

An instance reports only what it has observed itself, with each poll of the instances that it
follows. These tell all the others what at least two have reported. A report makes a target less
likely to be chosen and never excludes it, and an instance's own later observation overrides it. The
queues that targets report with their answers are passed on as well; admission follows them.
Times are in seconds of the event loop's clock.
"""

from __future__ import annotations

import statistics
from collections.abc import Collection, Iterable

import msgspec

from .targets import MAX_SLOWDOWN, Target

# Age up to which an observation is reported and used.
MAX_OBSERVATION_AGE_S = 2.5
# From this slowdown or failure rate a target counts as in trouble. A pause of a healthy target
# stays below the first on most routes, and a single lost answer reaches the second.
MIN_SLOWDOWN = 3.0
MIN_FAILURE_RATE = 0.2
# Waiting requests for each slot from which a target counts as in trouble.
MIN_REPORTED_QUEUE = 1.0
# An instance that sees a larger share of its targets in trouble is probably in trouble itself.
MAX_TROUBLED_SHARE = 0.4
MIN_OBSERVERS = 2
MAX_OBSERVATIONS = 64
# A report is part of a request line, which may have 8 KiB, and escaping triples it at most.
MAX_REPORT_BYTES = 2000


class Observation(msgspec.Struct, array_like=True):
    """A target in trouble: latency relative to the typical one, share of failures, and their age.

    `queue` is the number of waiting requests for each slot that the target reported last, and
    `queue_age_s` the age of that report.
    """

    target: str
    slowdown: float
    failure_rate: float
    age_s: float
    queue: float = 0.0
    queue_age_s: float = MAX_OBSERVATION_AGE_S

    @property
    def severity(self) -> float:
        """Order of the observations of which only the worst are sent."""
        trouble = self.slowdown / MIN_SLOWDOWN + self.failure_rate / MIN_FAILURE_RATE
        return trouble + self.queue / MIN_REPORTED_QUEUE


def collect_own(targets: Iterable[Target], now: float) -> list[Observation]:
    """Return what this instance has observed of targets in trouble, the worst first."""
    recent = [t for t in targets if now - t.observed_at < MAX_OBSERVATION_AGE_S]
    observations = [observe_target(target, now) for target in recent]
    in_trouble = [
        item
        for item in observations
        if item.slowdown >= MIN_SLOWDOWN or item.failure_rate >= MIN_FAILURE_RATE
    ]
    # A target's own word on its queue does not depend on who has asked it.
    queued = [item for item in observations if item.queue >= MIN_REPORTED_QUEUE]
    unexplained = [item for item in in_trouble if item.queue < MIN_REPORTED_QUEUE]
    if len(unexplained) > max(len(recent) * MAX_TROUBLED_SHARE, 1):
        return select_worst(queued)
    return select_worst(queued + unexplained)


def observe_target(target: Target, now: float) -> Observation:
    """Return what this instance has observed of one target."""
    return Observation(
        target.entry.id,
        round(target.own_slowdown(now), 1),
        round(target.own_failure_rate(now), 2),
        round(now - target.observed_at, 3),
        round(target.load.waiting / max(target.load.slots, 1), 1) if target.load else 0.0,
        round(min(now - target.load_at, MAX_OBSERVATION_AGE_S), 3),
    )


def select_worst(observations: Iterable[Observation]) -> list[Observation]:
    """Return the worst observations, at most `MAX_OBSERVATIONS`."""
    ranked = sorted(observations, key=lambda observation: observation.severity, reverse=True)
    return ranked[:MAX_OBSERVATIONS]


class DomainObservations:
    """Latest reports of the instances that follow this one, and its own observations."""

    __slots__ = ("_reports_by_instance",)

    def __init__(self) -> None:
        self._reports_by_instance: dict[str, tuple[float, list[Observation]]] = {}

    def record(self, instance: str, observations: list[Observation], now: float) -> None:
        """Replace the report of an instance."""
        self._reports_by_instance[instance] = (now, observations[:MAX_OBSERVATIONS])

    def merge(self, own: Iterable[Observation], now: float) -> list[Observation]:
        """Return the targets that at least two instances have seen in trouble, the worst first.

        Slowdown and failure rate are the lower median of the reports, so that one observer out of
        two cannot exaggerate.
        """
        self._reports_by_instance = {
            name: report
            for name, report in self._reports_by_instance.items()
            if now - report[0] < MAX_OBSERVATION_AGE_S
        }
        observations_by_target: dict[str, list[Observation]] = {}
        for observation in own:
            observations_by_target.setdefault(observation.target, []).append(observation)
        for reported_at, report in self._reports_by_instance.values():
            for observation in report:
                age_s = now - reported_at + max(observation.age_s, 0.0)
                if age_s < MAX_OBSERVATION_AGE_S:
                    aged = Observation(
                        observation.target,
                        observation.slowdown,
                        observation.failure_rate,
                        age_s,
                        observation.queue,
                        now - reported_at + max(observation.queue_age_s, 0.0),
                    )
                    observations_by_target.setdefault(observation.target, []).append(aged)
        merged = [
            merge_target(target, observations)
            for target, observations in observations_by_target.items()
            if len(observations) >= MIN_OBSERVERS
        ]
        return select_worst(merged)


def merge_target(target: str, observations: Collection[Observation]) -> Observation:
    """Return what several instances have observed of one target, with its latest queue."""
    latest_queue = min(observations, key=lambda item: item.queue_age_s)
    return Observation(
        target,
        round(statistics.median_low(item.slowdown for item in observations), 1),
        round(statistics.median_low(item.failure_rate for item in observations), 2),
        round(min(item.age_s for item in observations), 3),
        latest_queue.queue,
        round(latest_queue.queue_age_s, 3),
    )


def apply_merged(targets_by_id: dict[str, Target], merged: list[Observation], now: float) -> None:
    """Tell the targets what other instances have observed of them."""
    for observation in merged[:MAX_OBSERVATIONS]:
        target = targets_by_id.get(observation.target)
        if target is not None and observation.age_s < MAX_OBSERVATION_AGE_S:
            target.record_report(
                min(max(observation.slowdown, 1.0), MAX_SLOWDOWN),
                min(max(observation.failure_rate, 0.0), 1.0),
                now - max(observation.age_s, 0.0),
            )
            target.record_queue(max(observation.queue, 0.0), now - max(observation.queue_age_s, 0))


def encode_observations(observations: Iterable[Observation]) -> str:
    """Return the first observations that fit into a report, as the text of a request parameter."""
    rows: list[bytes] = []
    free_bytes = MAX_REPORT_BYTES
    for observation in observations:
        row = msgspec.json.encode(observation)
        free_bytes -= len(row) + 1
        if free_bytes < 0:
            break
        rows.append(row)
    return f"[{b','.join(rows).decode()}]"


def decode_observations(text: str) -> list[Observation]:
    """Return the observations of a request parameter; none if it is malformed."""
    try:
        return msgspec.json.decode(text, type=list[Observation])
    except msgspec.DecodeError:
        return []
