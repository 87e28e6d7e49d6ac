"""Directory of usable targets, from registered entries, deletions, evacuations and marks."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from .marks import NO_MARKS
from .model import TargetEntry
from .notices import KeptNotices
from .rollouts import Rollouts
from .targets import Target

# Entries that expired during a store outage reappear within about two seconds after its end.
ENTRY_RETURN_GRACE_S = 2.0
# Deletions this soon after a store failure may result from the outage. Derived from the delay after
# which the platform expires an entry: three missed heartbeats.
OUTAGE_DELETION_WINDOW_S = 6.0


class Exclusion(enum.Enum):
    """What takes targets out of service beside their own entries."""

    EVACUATIONS = "evacuations"
    MARKS = "marks"
    ROLLOUTS = "rollouts"


class Directory:
    """Targets by id and by service. Not thread-safe; owned by the event loop.

    A deletion that may result from a store outage takes effect after `ENTRY_RETURN_GRACE_S`, any
    other one at once.
    """

    __slots__ = (
        "targets_by_id",
        "targets_by_service",
        "evacuated_domains",
        "marks",
        "unlisted_exclusions",
        "rollouts",
        "_removal_times_by_id",
        "_kept_notices",
    )

    def __init__(self, rollouts: Rollouts | None = None) -> None:
        # Which versions of services may be used; None if all may always be.
        self.rollouts = rollouts
        self.targets_by_id: dict[str, Target] = {}
        self.targets_by_service: dict[str, list[Target]] = {}
        self.evacuated_domains: set[str] = set()
        self.marks = NO_MARKS
        # What a process that has just started does not know yet of what is out of service.
        self.unlisted_exclusions = {Exclusion.EVACUATIONS, Exclusion.MARKS}
        if rollouts is not None:
            self.unlisted_exclusions.add(Exclusion.ROLLOUTS)
        self._removal_times_by_id: dict[str, float] = {}
        self._kept_notices = KeptNotices()

    def usable_targets(self, service: str) -> list[Target]:
        """Return the targets that no evacuation, mark or roll-out takes out of service."""
        targets = self.targets_by_service.get(service, [])
        if self.rollouts is not None and self.rollouts.restricted_by_service:
            targets = self.rollouts.permit(service, targets)
        if not self.evacuated_domains and not self.marks:
            return targets
        excluded_domains = self.evacuated_domains | self.marks.failure_domains
        return [
            target
            for target in targets
            if target.entry.failure_domain not in excluded_domains
            and target.entry.id not in self.marks.targets
        ]

    def is_serving(self, target_id: str) -> bool:
        """Return whether a target is known and not draining."""
        target = self.targets_by_id.get(target_id)
        return target is not None and not target.is_draining

    def put(self, entry: TargetEntry, now: float) -> Target:
        """Add a target, or update its entry; a restarted target replaces the known one."""
        self._removal_times_by_id.pop(entry.id, None)
        known_target = self.targets_by_id.get(entry.id)
        if known_target is not None and known_target.is_same_incarnation(entry):
            known_target.update(entry, now)
            return known_target
        if known_target is not None:
            self._discard(entry.id, now)
        target = Target(entry, now, self._kept_notices.take(entry, now))
        self.targets_by_id[entry.id] = target
        self.targets_by_service.setdefault(entry.service, []).append(target)
        return target

    def remove(self, target_id: str, now: float, may_return: bool) -> None:
        """Remove a target, after a grace period if its entry may return and it is not draining."""
        target = self.targets_by_id.get(target_id)
        if target is None:
            return
        if may_return and not target.is_draining:
            self._removal_times_by_id.setdefault(target_id, now + ENTRY_RETURN_GRACE_S)
        else:
            self._discard(target_id, now)

    def replace_all(self, entries: Iterable[TargetEntry], now: float, may_return: bool) -> None:
        """Replace all entries, and remove the targets that are not listed."""
        listed_ids = set()
        for entry in entries:
            listed_ids.add(entry.id)
            self.put(entry, now)
        for target_id in [
            known_id for known_id in self.targets_by_id if known_id not in listed_ids
        ]:
            self.remove(target_id, now, may_return)

    def expire_removals(self, now: float) -> list[str]:
        """Remove the targets whose grace period has ended, and return their ids."""
        due_ids = [target_id for target_id, at in self._removal_times_by_id.items() if at <= now]
        for target_id in due_ids:
            self._discard(target_id, now)
        return due_ids

    @property
    def knows_exclusions(self) -> bool:
        """Whether it is known which targets are out of service.

        Before that, a process that restarted while one of the lists failed could send to targets
        that others have stopped using.
        """
        return not self.unlisted_exclusions

    @property
    def next_removal_at(self) -> float | None:
        """Time of the next delayed removal, None if there is none."""
        return min(self._removal_times_by_id.values(), default=None)

    def _discard(self, target_id: str, now: float) -> None:
        self._removal_times_by_id.pop(target_id, None)
        target = self.targets_by_id.pop(target_id)
        self._kept_notices.keep(target.entry, target.notices, now)
        # Requests in flight may still reference the target; it must not be chosen again.
        target.is_misdirected = True
        remaining = [t for t in self.targets_by_service[target.entry.service] if t is not target]
        if remaining:
            self.targets_by_service[target.entry.service] = remaining
        else:
            del self.targets_by_service[target.entry.service]
