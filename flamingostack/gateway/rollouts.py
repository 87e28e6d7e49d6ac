"""Which versions of a service this instance sends to, while an order rolls out a new one.

It handles these load patterns:

- A version is bad. It gets a small share of the requests, which the coordinator of the order
  (`rollout_coordinator.py`) permits for two seconds at a time, and nothing without a permission.
- Targets of the new version start a moment before this instance sees the order. They get nothing
  until any order would have been seen.
- A release replaces targets without an order. The new ones are used after that time, and at once
  if no other target is left.
- An operator withdraws or replaces an order. What it has not completed is not used further.

Every choice of a target asks `permit` for the targets that may be used at all, and `rank` for the
order in which a part tries them.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

from .model import RolloutOrder, RolloutState
from .rollout_evidence import OLD_TARGETS, CellReport, OwnEvidence, hash_name
from .targets import Target

# A new order is in force on all instances in touch within the time of a change of configuration.
DEFAULT_HOLD_S = 5.0
# Versions remembered of a service; a release a minute leaves a day's worth.
MAX_VERSIONS = 1000
# Consecutive bad answers of the new version after which this instance stops by itself, and for how
# long: by then the coordinator has seen the evidence.
MAX_CONSECUTIVE_BAD = 4
OWN_STOP_S = 2.0
# The coordinator is told at once from this many on. If it were told of each bad answer, it would
# know of all bad ones and only of part of the good ones.
MIN_CONSECUTIVE_BAD = 2
# A target's answer counts as bad for these purposes from this many typical latencies.
BAD_SLOWDOWN = 2.5


class Lease:
    """Permission of the coordinator to send a share of the requests to the new version.

    With `is_final` the old version gets nothing more. `valid_until` is a time of the clock of
    `Rollouts`; a lease that has run out permits nothing.
    """

    __slots__ = ("share", "is_final", "epoch", "valid_until", "coordinator")

    def __init__(
        self,
        share: float,
        *,
        is_final: bool = False,
        epoch: int = 0,
        valid_until: float = 0.0,
        coordinator: str = "",
    ) -> None:
        self.share = share
        self.is_final = is_final
        self.epoch = epoch
        self.valid_until = valid_until
        self.coordinator = coordinator


NO_LEASE = Lease(0.0)


class ServiceVersions:
    """Versions of one service: those that were seen, barred and ordered."""

    __slots__ = (
        "service",
        "hold_ends_by_version",
        "barred",
        "order",
        "lease",
        "evidence",
        "seen_at",
        "incarnation",
        "is_stopped",
        "stopped_until",
        "consecutive_bad",
    )

    def __init__(self, service: str) -> None:
        self.service = service
        # Until when the targets of a version are not used; 0 if it was always there.
        self.hold_ends_by_version: dict[str, float] = {}
        # Versions that were rolled back, replaced or withdrawn.
        self.barred: set[str] = set()
        self.order: RolloutOrder | None = None
        self.lease = NO_LEASE
        self.evidence = OwnEvidence()
        # When the order was seen; None if it was there at the start.
        self.seen_at: float | None = None
        self.incarnation = 0
        # Whether a coordinator has given the version up, or this instance has for a time.
        self.is_stopped = False
        self.stopped_until = 0.0
        self.consecutive_bad = 0

    def is_held(self, version: str, now: float) -> bool:
        """Return whether a version has appeared too recently, or beside an order."""
        return now < self.hold_ends_by_version.get(version, 0.0)

    def is_established(self, version: str, now: float) -> bool:
        """Return whether a version needs no order."""
        return version not in self.barred and not self.is_held(version, now)

    def is_old(self, version: str, now: float) -> bool:
        """Return whether the order replaces a version."""
        return version != self.order.version and self.is_established(version, now)

    def permitted_share(self, now: float) -> float:
        """Return the share of requests that may go to the new version now."""
        if self.is_stopped or now < self.stopped_until or now >= self.lease.valid_until:
            return 0.0
        return self.lease.share

    def is_final(self, now: float) -> bool:
        """Return whether the old version gets nothing more."""
        return self.lease.is_final and not self.is_stopped and now < self.lease.valid_until

    def permit(self, targets: Sequence[Target], now: float) -> list[Target]:
        """Return the targets that may be used."""
        order = self.order
        if order is None:
            return self._permit_established(targets, now)
        match order.state:
            case RolloutState.COMPLETED:
                return [t for t in targets if t.entry.version == order.version]
            case RolloutState.ROLLED_BACK:
                return [t for t in targets if self.is_old(t.entry.version, now)]
        new = [t for t in targets if t.entry.version == order.version]
        if self.is_final(now):
            return new
        old = [t for t in targets if self.is_old(t.entry.version, now)]
        if not old:
            # The old version is gone, or the order names the version in use.
            return [] if self.is_stopped else new
        return old + new if self.permitted_share(now) > 0 else old

    def _permit_established(self, targets: Sequence[Target], now: float) -> list[Target]:
        established = [t for t in targets if self.is_established(t.entry.version, now)]
        if any(not target.is_draining for target in established):
            return established
        # Without an order, a release may have replaced all targets by those of another version.
        return list(targets)


class Rollouts:
    """Versions and orders of all services; owned by the event loop.

    `clock` returns seconds that also pass while the process stands still. `on_bad_answer` is called
    with a service when its new version has answered badly.
    """

    __slots__ = (
        "clock",
        "hold_s",
        "versions_by_service",
        "restricted_by_service",
        "on_bad_answer",
        "on_send",
        "_is_listed",
        "_last_incarnation",
    )

    def __init__(self, clock: Callable[[], float], hold_s: float = DEFAULT_HOLD_S) -> None:
        self.clock = clock
        self.hold_s = hold_s
        self.versions_by_service: dict[str, ServiceVersions] = {}
        # Only these services are not served by all of their targets. It is empty, and then costs
        # nothing on the sending path, unless an order or a new version is known.
        self.restricted_by_service: dict[str, ServiceVersions] = {}
        self.on_bad_answer: Callable[[str], None] = lambda service: None
        self.on_send: Callable[[str, bool], None] = lambda service, is_new: None
        self._is_listed = False
        # Differs between processes of the same instance.
        self._last_incarnation = random.getrandbits(40)

    def note_targets(self, versions: Iterable[tuple[str, str]], is_list: bool = False) -> None:
        """Record the services and versions of registered targets; hold versions that are new."""
        now = self.clock()
        is_first = is_list and not self._is_listed
        self._is_listed = self._is_listed or is_list
        for service, version in versions:
            state = self._get(service)
            if version in state.hold_ends_by_version:
                continue
            state.hold_ends_by_version[version] = self._hold_end(state, version, is_first, now)
            if len(state.hold_ends_by_version) > MAX_VERSIONS:
                del state.hold_ends_by_version[next(iter(state.hold_ends_by_version))]
            self._update_restriction(state, now)

    def _hold_end(self, state: ServiceVersions, version: str, is_first: bool, now: float) -> float:
        order = state.order
        target = order.version if order is not None else None
        has_other = any(
            state.is_established(known, now) and known != target
            for known in state.hold_ends_by_version
        )
        if is_first or version == target or not has_other:
            return 0.0
        # A version that appears beside an order is not named by it.
        return now + self.hold_s if order is None else float("inf")

    def set_order(self, order: RolloutOrder, is_at_start: bool = False) -> bool:
        """Apply an order as read from the store; return whether it is another than before.

        A state that was decided stays for the same order, also if an older one is read again.
        """
        now = self.clock()
        state = self._get(order.service)
        known = state.order
        if known is not None and order.position < known.position:
            return False
        if known is not None and is_same_order(known, order):
            if known.is_decided and order.state is not known.state:
                order.state = known.state
            state.order = order
            return False
        self._end_order(state)
        for version, until in state.hold_ends_by_version.items():
            if version != order.version and now < until:
                state.hold_ends_by_version[version] = float("inf")
        state.hold_ends_by_version[order.version] = 0.0
        state.barred.discard(order.version)
        state.order = order
        state.seen_at = None if is_at_start else now
        state.evidence = OwnEvidence()
        self._last_incarnation += 1
        state.incarnation = self._last_incarnation
        self._update_restriction(state, now)
        return True

    def withdraw(self, service: str) -> bool:
        """Forget the order of a service; return whether there was one."""
        state = self.versions_by_service.get(service)
        if state is None or state.order is None:
            return False
        now = self.clock()
        self._end_order(state)
        state.order = None
        for version, until in state.hold_ends_by_version.items():
            if until == float("inf"):
                state.hold_ends_by_version[version] = now + self.hold_s
        self._update_restriction(state, now)
        return True

    def _end_order(self, state: ServiceVersions) -> None:
        """Bar the versions that lost by the order that ends."""
        order = state.order
        if order is not None and order.state is RolloutState.COMPLETED:
            state.barred.update(state.hold_ends_by_version)
            state.barred.discard(order.version)
        elif order is not None:
            state.barred.add(order.version)
        state.lease = NO_LEASE
        state.is_stopped = False
        state.stopped_until = 0.0
        state.consecutive_bad = 0

    def set_lease(self, service: str, version: str, lease: Lease) -> bool:
        """Apply a lease for an order that is in force; return whether it permits something else."""
        state = self.versions_by_service.get(service)
        if state is None or state.order is None or state.order.version != version:
            return False
        known, state.lease = state.lease, lease
        return (known.share, known.is_final) != (lease.share, lease.is_final)

    def stop(self, service: str, version: str) -> bool:
        """Give the new version up for good; return whether this is new."""
        state = self.versions_by_service.get(service)
        if state is None or state.order is None or state.order.version != version:
            return False
        was_stopped, state.is_stopped = state.is_stopped, True
        return not was_stopped

    def running_orders(self) -> list[ServiceVersions]:
        """Return the services with an order that is not decided."""
        return [
            state
            for state in self.versions_by_service.values()
            if state.order is not None and not state.order.is_decided
        ]

    def permit(self, service: str, targets: list[Target]) -> list[Target]:
        """Return those of a service's targets that may be used."""
        state = self.restricted_by_service.get(service)
        if state is None:
            return targets
        now = self.clock()
        if state.order is None:
            self._update_restriction(state, now)
        return state.permit(targets, now)

    def rank(
        self, service: str, targets: list[Target], draw: float, is_extra: bool
    ) -> tuple[list[Target], ...]:
        """Return the groups of permitted targets that a part tries, one after the other.

        `draw` is a number from 0 to 1 that is drawn once for each part. An extra send goes to the
        old version, since the new one may have caused it.
        """
        state = self.restricted_by_service.get(service)
        if state is None or state.order is None or state.order.is_decided:
            return (targets,)
        version, now = state.order.version, self.clock()
        old = [target for target in targets if target.entry.version != version]
        if not old:
            return (targets,)
        if is_extra or draw >= state.permitted_share(now):
            return (old,)
        return [target for target in targets if target.entry.version == version], old

    def count_send(self, target: Target, is_extra: bool) -> None:
        """Count a send to a service with an order that is not decided."""
        state = self.restricted_by_service.get(target.entry.service)
        if state is None or state.order is None or state.order.is_decided:
            return
        is_new = target.entry.version == state.order.version
        state.evidence.requests += not is_extra
        state.evidence.exposed += is_new
        self.on_send(target.entry.service, is_new)

    def count_answer(
        self,
        target: Target,
        *,
        route: str,
        elapsed_s: float,
        latency_s: float,
        is_failure: bool,
        was_cold: bool,
    ) -> None:
        """Count how a send has ended; `latency_s` is the typical latency of the route.

        A target that was cold is slow whatever its version, and a failure may be faster than any
        answer or as late as the time limit.
        """
        state = self.restricted_by_service.get(target.entry.service)
        if state is None or state.order is None or state.order.is_decided:
            return
        is_new = target.entry.version == state.order.version
        state.evidence.count_answer(
            route,
            hash_name(target.entry.id) if is_new else OLD_TARGETS,
            None if is_failure or was_cold else elapsed_s,
            is_failure,
        )
        is_slow = not was_cold and elapsed_s >= BAD_SLOWDOWN * latency_s
        if not is_new or not (is_failure or is_slow):
            if is_new:
                state.consecutive_bad = 0
            return
        state.consecutive_bad += 1
        if state.consecutive_bad >= MAX_CONSECUTIVE_BAD:
            state.stopped_until = self.clock() + OWN_STOP_S
        if state.consecutive_bad >= MIN_CONSECUTIVE_BAD:
            self.on_bad_answer(target.entry.service)

    def make_cells(self, service: str) -> list[CellReport]:
        """Return what was counted for the order of a service."""
        return self.versions_by_service[service].evidence.make_cells()

    def _get(self, service: str) -> ServiceVersions:
        state = self.versions_by_service.get(service)
        if state is None:
            state = self.versions_by_service[service] = ServiceVersions(service)
        return state

    def _update_restriction(self, state: ServiceVersions, now: float) -> None:
        """Restrict a service if it has an order, or versions that may not be used."""
        is_restricted = (
            state.order is not None
            or not state.barred.isdisjoint(state.hold_ends_by_version)
            or any(now < until for until in state.hold_ends_by_version.values())
        )
        if is_restricted:
            self.restricted_by_service[state.service] = state
        else:
            self.restricted_by_service.pop(state.service, None)


def is_same_order(known: RolloutOrder, order: RolloutOrder) -> bool:
    """Return whether an order is the known one with, at most, another state or duration.

    Operators who write an order anew leave it without a state.
    """
    is_anew = order.state is None and known.state is not None
    return known.version == order.version and not is_anew
