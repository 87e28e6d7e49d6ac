"""Reasons for which a request is refused, with the HTTP status and whether the request ran."""

from __future__ import annotations

from ..errors import Reason

# Whether a refused request ran, shown as `ran`.
NOT_RUN = "not_run"
RAN = "ran"
UNKNOWN = "unknown"


class EntryReason(Reason):
    """The stable error codes of the API."""

    MALFORMED = "malformed"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_RANGE = "unknown_range"
    UNKNOWN_REQUEST = "unknown_request"
    TOO_LARGE = "too_large"
    DEADLINE_EXPIRED = "deadline_expired"
    NOT_CURRENT = "not_current"
    SHUTTING_DOWN = "shutting_down"
    OVERLOADED = "overloaded"
    STORE_UNAVAILABLE = "store_unavailable"
    COVERAGE_TOO_LOW = "coverage_too_low"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_CONFLICT = "key_conflict"
    INTERNAL = "internal"

    @property
    def status(self) -> int:
        """The HTTP status."""
        return STATUS_BY_REASON[self]

    @property
    def ran(self) -> str:
        """Whether the request ran: `not_run`, `ran` or `unknown`."""
        return RAN_BY_REASON.get(self, NOT_RUN)


STATUS_BY_REASON = {
    EntryReason.MALFORMED: 400,
    EntryReason.UNKNOWN_CLASS: 404,
    EntryReason.UNKNOWN_RANGE: 404,
    EntryReason.UNKNOWN_REQUEST: 404,
    EntryReason.TOO_LARGE: 413,
    EntryReason.DEADLINE_EXPIRED: 504,
    EntryReason.NOT_CURRENT: 503,
    EntryReason.SHUTTING_DOWN: 503,
    EntryReason.OVERLOADED: 503,
    EntryReason.STORE_UNAVAILABLE: 503,
    EntryReason.COVERAGE_TOO_LOW: 504,
    EntryReason.OUTCOME_UNKNOWN: 409,
    EntryReason.KEY_CONFLICT: 422,
    EntryReason.INTERNAL: 500,
}
RAN_BY_REASON = {
    EntryReason.COVERAGE_TOO_LOW: RAN,
    EntryReason.OUTCOME_UNKNOWN: UNKNOWN,
    EntryReason.INTERNAL: UNKNOWN,
}
