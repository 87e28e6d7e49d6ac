"""Choice among the replicas of a range."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from ..generated import messages_pb2 as pb
from ..state import FleetView

INITIAL_LATENCY_S = 0.005
EWMA_WEIGHT = 0.2
# Reported values lag and count this process's own work too, so they weigh less than its own count.
REPORTED_WEIGHT = 0.5
REPORT_VALID_S = 1.0
# After a failed or refused send, other replicas come first for this long.
AVOID_AFTER_FAILURE_S = 0.25
AVOID_AFTER_REFUSAL_S = 0.05
# Cold targets come last. A small share still goes to them, or they would never get warm.
COLD_TRIAL_SHARE = 0.05


class TargetState:
    """What this process has seen of one target; latencies and times in seconds."""

    __slots__ = (
        "target_id",
        "latency",
        "updated",
        "outstanding",
        "reported_work",
        "reported_at",
        "limit",
        "avoid_until",
    )

    def __init__(self, target_id: str) -> None:
        self.target_id = target_id
        self.latency = INITIAL_LATENCY_S
        self.updated = 0.0
        self.outstanding = 0
        self.reported_work = 0
        self.reported_at = 0.0
        self.limit = -1
        self.avoid_until = 0.0

    def record_latency(self, seconds: float, now: float) -> None:
        """Add one measured latency."""
        self.latency += EWMA_WEIGHT * (seconds - self.latency)
        self.updated = now

    def record_at_least(self, seconds: float, now: float) -> None:
        """Add an attempt that ended unanswered; it counts only if it was slower than usual."""
        if seconds > self.latency:
            self.record_latency(seconds, now)

    def record_report(self, reply: pb.SubReply, now: float) -> None:
        """Take over the queue length, in-flight count and limit that the owner reports."""
        self.reported_work = max(reply.queue_length + reply.in_flight - self.outstanding, 0)
        self.reported_at = now
        self.limit = reply.limit

    def expected_latency(self, now: float) -> float:
        """Return the latency to expect of one more sub-request.

        An old measurement loses weight, so that a target that was slow once is tried again.
        """
        work = self.outstanding
        if now - self.reported_at < REPORT_VALID_S:
            work += REPORTED_WEIGHT * self.reported_work
        latency = self.latency / (1 + (now - self.updated)) if now > self.updated else self.latency
        return latency * (1 + work / (self.limit if self.limit > 1 else 1))


class Route:
    """How to reach a target under the present view."""

    __slots__ = ("target_id", "state", "address", "instance", "is_foreign", "cold_limit", "slots")

    def __init__(
        self,
        target: pb.Target,
        state: TargetState,
        address: str,
        instance: str,
        is_foreign: bool,
    ) -> None:
        self.target_id = target.id
        self.state = state
        self.address = address
        self.instance = instance
        self.is_foreign = is_foreign
        self.cold_limit = target.cold_limit
        self.slots = target.slots

    @property
    def is_cold(self) -> bool:
        """Tell whether the owner reported the limit of a target in cold start."""
        return 0 <= self.state.limit <= self.cold_limit < self.slots


class Replicas:
    """Chooses replicas; holds what was seen of each target and the routes of the present view."""

    __slots__ = ("own_address", "_view", "_states_by_id", "_routes_by_id", "_random")

    def __init__(self, own_address: str = "", seed: int | None = None) -> None:
        """Route everything to `own_address` if it is not empty (baseline mode)."""
        self.own_address = own_address
        self._view = FleetView()
        self._states_by_id: dict[str, TargetState] = {}
        self._routes_by_id: dict[str, Route | None] = {}
        self._random = random.Random(seed)

    def apply(self, view: FleetView) -> None:
        """Use a new view: routes, marks and owners may have changed."""
        self._view = view
        self._routes_by_id.clear()
        if len(self._states_by_id) > 2 * len(view.targets_by_id):
            self._states_by_id = {
                key: state
                for key, state in self._states_by_id.items()
                if key in view.targets_by_id or state.outstanding
            }

    def route_of(self, target_id: str) -> Route | None:
        """Return the route to a target; None if it is leaving, unknown or has no owner."""
        try:
            return self._routes_by_id[target_id]
        except KeyError:
            route = self._routes_by_id[target_id] = self._make_route(target_id)
            return route

    def choose(
        self,
        target_ids: Sequence[str],
        excluded: Iterable[str],
        now: float,
        foreign_penalty_s: float,
    ) -> Route | None:
        """Return the better of two random replicas, cold and failing ones last."""
        routes = [
            route
            for target_id in target_ids
            if target_id not in excluded and (route := self.route_of(target_id)) is not None
        ]
        if len(routes) < 2:
            return routes[0] if routes else None
        preferred = [
            route for route in routes if route.state.avoid_until <= now and not route.is_cold
        ]
        if len(preferred) < len(routes):
            trial = self._choose_cold_trial(routes, now)
            if trial is not None:
                return trial
        candidates = preferred or routes
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._pick_two(candidates)
        first_s = first.state.expected_latency(now) + foreign_penalty_s * first.is_foreign
        second_s = second.state.expected_latency(now) + foreign_penalty_s * second.is_foreign
        return first if first_s <= second_s else second

    def choose_random(self, target_ids: Sequence[str]) -> Route | None:
        """Return any replica that may be used (baseline mode)."""
        routes = [route for item in target_ids if (route := self.route_of(item)) is not None]
        return self._random.choice(routes) if routes else None

    def _pick_two(self, candidates: list[Route]) -> tuple[Route, Route]:
        count = len(candidates)
        first = int(self._random.random() * count)
        second = int(self._random.random() * (count - 1))
        if second >= first:
            second += 1
        return candidates[first], candidates[second]

    def _choose_cold_trial(self, routes: list[Route], now: float) -> Route | None:
        if self._random.random() >= COLD_TRIAL_SHARE:
            return None
        for route in routes:
            state = route.state
            if route.is_cold and not state.outstanding and state.avoid_until <= now:
                return route
        return None

    def _make_route(self, target_id: str) -> Route | None:
        info = self._view.targets_by_id.get(target_id)
        if info is None or self._view.is_leaving(info.target):
            return None
        address, instance = self._find_owner(target_id, info.partition)
        if not address:
            return None
        state = self._states_by_id.get(target_id)
        if state is None:
            state = self._states_by_id[target_id] = TargetState(target_id)
        return Route(
            target=info.target,
            state=state,
            address=address,
            instance=instance,
            is_foreign=info.target.failure_domain != self._view.self_member.failure_domain,
        )

    def _find_owner(self, target_id: str, partition: int) -> tuple[str, str]:
        if self.own_address:
            return self.own_address, self._view.self_member.instance
        owner = self._view.owner_of(target_id)
        if owner is None or not owner.dispatch_addresses:
            return "", ""
        addresses = owner.dispatch_addresses
        return addresses[partition % len(addresses)], owner.instance
