"""Errors as return values.

A function that fails returns a `Failure` instead of its result; exceptions are for programming
errors and libraries. Each layer defines its own enumeration of reasons and maps the reasons of the
layer below to them.
"""

from __future__ import annotations

import enum
from typing import Generic, TypeVar

ReasonT = TypeVar("ReasonT", bound="Reason")


class Reason(enum.Enum):
    """Base of a layer's reasons; the value of each is the stable code that users see."""

    @property
    def code(self) -> str:
        """Stable code, for example `not_current`."""
        return self.value


class Failure(Generic[ReasonT]):
    """A falsy value that is returned instead of a result."""

    __slots__ = ("reason", "message")

    def __init__(self, reason: ReasonT, message: str = "") -> None:
        self.reason = reason
        self.message = message or reason.code

    def __repr__(self) -> str:
        return f"Failure({self.reason.code}: {self.message})"

    def __bool__(self) -> bool:
        return False


def make_failure(reason: ReasonT, message: str = "") -> Failure[ReasonT]:
    """Return a failure for `reason`; `message` defaults to the code of the reason."""
    return Failure(reason, message)
