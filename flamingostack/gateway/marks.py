"""Marks by which operators take a target or a failure domain out of service.

They are kept beside the entries of the instances, since that kind is watched anyway: a watch of
its own would cost each reader further calls while no mark is set. A mark has no other content than
its name, so it is set or removed by one write, and two operators cannot overwrite each other.
"""

from __future__ import annotations

from collections.abc import Iterable

PREFIX = "mark."
TARGET = "target"
FAILURE_DOMAIN = "failure-domain"


class Marks:
    """The marked targets, by id, and failure domains, by name."""

    __slots__ = ("targets", "failure_domains")

    def __init__(self, targets: frozenset[str], failure_domains: frozenset[str]) -> None:
        self.targets = targets
        self.failure_domains = failure_domains

    def __bool__(self) -> bool:
        return bool(self.targets or self.failure_domains)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Marks) and (self.targets, self.failure_domains) == (
            other.targets,
            other.failure_domains,
        )

    def list_names(self) -> list[str]:
        """Return the marked subjects with their kinds, as "target i-1"."""
        names = [f"{TARGET} {name}" for name in sorted(self.targets)]
        return names + [f"{FAILURE_DOMAIN} {name}" for name in sorted(self.failure_domains)]


NO_MARKS = Marks(frozenset(), frozenset())


def is_mark(name: str) -> bool:
    """Return whether an object's name is that of a mark, also of an unknown subject."""
    return name.startswith(PREFIX)


def make_name(subject: str, name: str) -> str:
    """Return the name of the object that marks a target or a failure domain."""
    return f"{PREFIX}{subject}.{name}"


def collect_marks(names: Iterable[str]) -> Marks:
    """Return the marks among the names of objects; unknown subjects mark nothing."""
    names_by_subject: dict[str, set[str]] = {TARGET: set(), FAILURE_DOMAIN: set()}
    for name in names:
        if is_mark(name):
            subject, _, marked = name.removeprefix(PREFIX).partition(".")
            names_by_subject.get(subject, set()).add(marked)
    return Marks(frozenset(names_by_subject[TARGET]), frozenset(names_by_subject[FAILURE_DOMAIN]))
