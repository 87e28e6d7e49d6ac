"""Order of what is known of the store: by era, then by revision.

The store may come back from an older copy. Its revisions go back then and are given out again, and
its era rises by one. A revision means nothing without its era.
"""

from __future__ import annotations

import functools

# The era of a store that names none.
NO_ERA = 0


@functools.total_ordering
class StorePosition:
    """A revision of the store in an era."""

    __slots__ = ("era", "revision")

    def __init__(self, era: int, revision: int) -> None:
        self.era = era
        self.revision = revision

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, StorePosition):
            return NotImplemented
        return (self.era, self.revision) == (other.era, other.revision)

    def __lt__(self, other: object) -> bool:
        if not isinstance(other, StorePosition):
            return NotImplemented
        return (self.era, self.revision) < (other.era, other.revision)

    def __hash__(self) -> int:
        return hash((self.era, self.revision))

    def __repr__(self) -> str:
        return f"{self.era}.{self.revision}"
