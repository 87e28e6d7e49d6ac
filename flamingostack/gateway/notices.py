"""What targets say of themselves with their answers, kept for as long as a target runs.

It handles the load pattern in which a target asks for less while the store cannot tell: the store
is down, silent or turns the instance away, or the entry of the target has expired.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from .model import TargetEntry, TargetNotice

if TYPE_CHECKING:
    from .limits import LimitedSends

# A target that leaves ends some seconds later; this is long enough for an outage meanwhile.
KEEP_AFTER_REMOVAL_S = 600.0
# For how long after the end of a limit its answers are reported to other instances. One that could
# not be reached meanwhile finds out by a turn of its own.
REPORT_END_S = 20.0
# How long after the request of another instance its answer without a limit allows a request. The
# limit may be in force again: without this bound, 95 of 1,000 instances, in place of 65 that the
# limit allows, sent one in 4 s, 5 s or more after its return (seed 1 of the replay).
REPORTED_END_VALID_S = 4.0
MAX_KEPT = 4096

Incarnation = tuple[str, int, str, int, str]


class TargetNotices:
    """What one incarnation of a target has said of itself.

    `requests_per_s` is the limit that its last answer has named, infinite without one, and
    `limited_sends` this instance's share in it. Before `closed_until`, in seconds of the event
    loop's clock, it wants nothing.

    `limited_at` is when an answer last named a limit. `unlimited_at` is when the latest request was
    sent that was answered without one after that, and `reported_end_at` when another instance sent
    such a request.
    """

    __slots__ = (
        "is_leaving",
        "requests_per_s",
        "limited_sends",
        "closed_until",
        "limited_at",
        "unlimited_at",
        "reported_end_at",
        "_reports_end_until",
    )

    def __init__(self) -> None:
        self.is_leaving = False
        self.requests_per_s = inf
        self.limited_sends: LimitedSends | None = None
        self.closed_until = 0.0
        self.limited_at = -inf
        self.unlimited_at = -inf
        self.reported_end_at = -inf
        self._reports_end_until = -inf

    @property
    def is_limited(self) -> bool:
        """Whether the target has named a limit."""
        return self.requests_per_s < inf

    def is_end_reported(self, now: float) -> bool:
        """Return whether a request is allowed because another instance was told no limit."""
        is_later = self.reported_end_at > self.limited_at
        return is_later and now - self.reported_end_at < REPORTED_END_VALID_S

    def may_send(self, now: float) -> bool:
        """Return whether the target wants a request of this instance now."""
        if self.is_leaving or now < self.closed_until:
            return False
        sends = self.limited_sends
        return sends is None or self.is_end_reported(now) or sends.may_send(now)

    def record_send(self, now: float) -> None:
        """Record that a request is about to be sent."""
        if self.limited_sends is None:
            return
        self.limited_sends.record_send(now)
        if self.is_end_reported(now):
            # Only a report of a later answer allows another request.
            self.limited_at = now

    def record(self, notice: TargetNotice, now: float, sent_at: float = -inf) -> list[str]:
        """Record a notice; return the kinds of what is new in it. Leaving is final.

        `sent_at` is no later than the time when the request was sent that was answered with it.
        """
        kinds = []
        if notice.is_leaving and not self.is_leaving:
            self.is_leaving = True
            kinds.append("leaving")
        if notice.requests_per_s is not None:
            if notice.requests_per_s != self.requests_per_s:
                kinds.append("limit")
            self._record_limit(notice.requests_per_s, now, sent_at)
        if notice.closed_s:
            if now >= self.closed_until:
                kinds.append("closed")
            self.closed_until = max(self.closed_until, now + notice.closed_s)
        return kinds

    def _record_limit(self, requests_per_s: float, now: float, sent_at: float) -> None:
        if requests_per_s < inf:
            self.limited_at = now
            self._reports_end_until = -inf
        elif self.is_limited:
            self._reports_end_until = now + REPORT_END_S
        if now < self._reports_end_until and sent_at > self.limited_at:
            self.unlimited_at = max(self.unlimited_at, sent_at)
        self.requests_per_s = requests_per_s

    def find_end(self, now: float) -> float | None:
        """Return when a request was sent that shows the end of a limit, if that is to be told."""
        is_shown = now < self._reports_end_until and self.unlimited_at > self.limited_at
        return self.unlimited_at if is_shown else None

    def record_reported_end(self, ended_at: float) -> None:
        """Record that a request of another instance, sent at `ended_at`, got no limit."""
        if self.is_limited:
            self.reported_end_at = max(self.reported_end_at, ended_at)

    def has_any(self, now: float) -> bool:
        """Return whether anything that the target has said is in force."""
        return self.is_leaving or self.is_limited or now < self.closed_until


class KeptNotices:
    """Notices of targets whose entries were removed, in case the same incarnation is listed again.

    Times are in seconds of the event loop's clock.
    """

    __slots__ = ("_kept_by_incarnation",)

    def __init__(self) -> None:
        self._kept_by_incarnation: dict[Incarnation, tuple[float, TargetNotices]] = {}

    def keep(self, entry: TargetEntry, notices: TargetNotices, now: float) -> None:
        """Keep the notices of a target that is removed, if it has said anything."""
        if not notices.has_any(now):
            return
        self._kept_by_incarnation[get_incarnation(entry)] = (now, notices)
        if len(self._kept_by_incarnation) > MAX_KEPT:
            del self._kept_by_incarnation[next(iter(self._kept_by_incarnation))]

    def take(self, entry: TargetEntry, now: float) -> TargetNotices:
        """Return the notices of a target that is listed, new ones if none are kept."""
        kept_at, notices = self._kept_by_incarnation.pop(get_incarnation(entry), (now, None))
        if notices is None or now - kept_at >= KEEP_AFTER_REMOVAL_S:
            return TargetNotices()
        return notices


def get_incarnation(entry: TargetEntry) -> Incarnation:
    """Return what differs between two runs of targets, also if they have the same id."""
    return entry.id, entry.started_ms, entry.host, entry.port, entry.service
