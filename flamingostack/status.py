"""Exit statuses of all programs: a stable interface, documented in docs/operators.md."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a process."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    INVALID_INPUT = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_YET_ACCEPTED = 6
    NOT_FOUND = 7
    OUTCOME_UNKNOWN = 8
    INTERRUPTED = 130
