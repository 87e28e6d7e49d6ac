"""Errors as sentinel values with a reason.

Each layer defines its own enumeration of reasons next to its code and turns the reasons of the
layer below into them. Functions return a `Failure` in place of a result; exceptions are left for
programming errors and for libraries.
"""

from __future__ import annotations

import enum
from typing import Generic, TypeVar

ReasonT = TypeVar("ReasonT", bound="Reason")


class Reason(enum.Enum):
    """Base of a layer's reasons; each value is the stable code that users see."""

    @property
    def code(self) -> str:
        """The stable code, for example `not_current`."""
        return self.value


class Failure(Generic[ReasonT]):
    """A sentinel that stands in place of a result."""

    __slots__ = ("reason", "message")

    def __init__(self, reason: ReasonT, message: str = "") -> None:
        self.reason = reason
        self.message = message or reason.code

    def __repr__(self) -> str:
        return f"Failure({self.reason.code}: {self.message})"

    def __bool__(self) -> bool:
        return False


def make_failure(reason: ReasonT, message: str = "") -> Failure[ReasonT]:
    """Return a failure for `reason`; the message defaults to its code."""
    return Failure(reason, message)
