"""Choice of a replica of a key range by expected latency."""

from __future__ import annotations

import random
from collections.abc import Sequence, Set

from ..generated import messages_pb2 as pb
from ..state import FleetView

INITIAL_LATENCY_S = 0.005
EWMA_WEIGHT = 0.2
SERVICE_EWMA_WEIGHT = 0.01
# The load that an owner reports is stale and includes this process's own sub-requests, so it
# weighs less than the process's own count.
REPORTED_LOAD_WEIGHT = 0.5
REPORT_VALID_S = 1.0
# For this long after a failed or refused sub-request, other replicas are preferred.
AVOID_AFTER_FAILURE_S = 0.25
AVOID_AFTER_REFUSAL_S = 0.05
# Cold targets are chosen last. They get a small share of the sub-requests all the same, because
# they would never become warm without any.
COLD_TRIAL_SHARE = 0.05


class ServiceState:
    """The moving average of the latency over all targets of a service, in seconds."""

    __slots__ = ("latency",)

    def __init__(self) -> None:
        self.latency = INITIAL_LATENCY_S


class TargetState:
    """Latency, load and failures of one target as this process sees them; times in seconds."""

    __slots__ = (
        "target_id",
        "service",
        "latency",
        "updated_at",
        "outstanding",
        "reported_load",
        "reported_at",
        "limit",
        "avoid_until",
        "cold_limit",
        "is_cold",
    )

    def __init__(self, target_id: str, service: ServiceState) -> None:
        self.target_id = target_id
        self.service = service
        self.latency = service.latency
        self.updated_at = 0.0
        self.outstanding = 0
        self.reported_load = 0
        self.reported_at = 0.0
        self.limit = -1
        self.avoid_until = 0.0
        # The target's limit during its cold start, or -1 if it equals that of a warm target.
        self.cold_limit = -1
        self.is_cold = False

    def record_latency(self, seconds: float, now: float) -> None:
        """Add a measured latency to the averages of the target and its service."""
        self.latency += EWMA_WEIGHT * (seconds - self.latency)
        self.updated_at = now
        service = self.service
        service.latency += SERVICE_EWMA_WEIGHT * (seconds - service.latency)

    def record_lower_bound(self, seconds: float, now: float) -> None:
        """Add the age of an attempt that was cancelled; it counts only if above the average."""
        if seconds > self.latency:
            self.record_latency(seconds, now)

    def record_report(self, reply: pb.SubReply, now: float) -> None:
        """Record the queue length, in-flight count and limit that the owner reports."""
        self.reported_load = max(reply.queue_length + reply.in_flight - self.outstanding, 0)
        self.reported_at = now
        self.limit = reply.limit
        self.is_cold = self.limit <= self.cold_limit

    def estimate_latency(self, now: float) -> float:
        """Return the latency to expect of one more sub-request, in seconds.

        An average above that of the service decays towards it with time, so that a target that
        was slow is tried again, but not by all queries at once.
        """
        load = self.outstanding
        if now - self.reported_at < REPORT_VALID_S:
            load += REPORTED_LOAD_WEIGHT * self.reported_load
        latency = self.latency
        typical = self.service.latency
        if latency > typical and now > self.updated_at:
            latency = typical + (latency - typical) / (1 + now - self.updated_at)
        return latency * (1 + load / (self.limit if self.limit > 1 else 1))


class Route:
    """Address and owner of a target under the current view; foreign is another failure domain."""

    __slots__ = ("target_id", "state", "address", "instance", "is_foreign")

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


class Replicas:
    """Chooses replicas; holds the state of each target and the routes of the current view."""

    __slots__ = (
        "own_address",
        "_unusable_addresses",
        "_view",
        "_states_by_id",
        "_states_by_service",
        "_routes_by_id",
        "_routes_by_replicas",
        "_random",
    )

    def __init__(
        self,
        unusable_addresses: Set[str],
        own_address: str = "",
        seed: int | None = None,
    ) -> None:
        """Start without a view; if `own_address` is set, all routes lead to it (baseline mode).

        `unusable_addresses` is a live set that the links update.
        """
        self.own_address = own_address
        self._unusable_addresses = unusable_addresses
        self._view = FleetView()
        self._states_by_id: dict[str, TargetState] = {}
        self._states_by_service: dict[str, ServiceState] = {}
        self._routes_by_id: dict[str, Route | None] = {}
        self._routes_by_replicas: dict[tuple[str, ...], list[Route]] = {}
        self._random = random.Random(seed)

    def apply(self, view: FleetView) -> None:
        """Adopt a new view; all routes are rebuilt, since marks and owners may have changed."""
        self._view = view
        self._routes_by_id.clear()
        self._routes_by_replicas.clear()
        if len(self._states_by_id) > 2 * len(view.targets_by_id):
            self._states_by_id = {
                key: state
                for key, state in self._states_by_id.items()
                if key in view.targets_by_id or state.outstanding
            }

    def get_route(self, target_id: str) -> Route | None:
        """Return the route to a target; None if it is leaving, unknown or has no owner."""
        try:
            return self._routes_by_id[target_id]
        except KeyError:
            route = self._routes_by_id[target_id] = self._make_route(target_id)
            return route

    def choose(
        self,
        target_ids: tuple[str, ...],
        excluded: Sequence[str],
        now: float,
        foreign_penalty_s: float,
    ) -> Route | None:
        """Return the faster of two random replicas, with cold and failing ones last.

        Returns None if no replica is left.
        """
        routes = self._routes_of(target_ids)
        if excluded:
            routes = [route for route in routes if route.target_id not in excluded]
        if len(routes) < 2:
            return routes[0] if routes else None
        first, second = self._pick_two(routes)
        if not (self._is_preferred(first, now) and self._is_preferred(second, now)):
            trial = self._choose_cold_trial(routes, now)
            if trial is not None:
                return trial
            routes = (
                [route for route in routes if self._is_preferred(route, now)]
                or [route for route in routes if route.address not in self._unusable_addresses]
                or routes
            )
            if len(routes) == 1:
                return routes[0]
            first, second = self._pick_two(routes)
        first_s = first.state.estimate_latency(now) + foreign_penalty_s * first.is_foreign
        second_s = second.state.estimate_latency(now) + foreign_penalty_s * second.is_foreign
        return first if first_s <= second_s else second

    def choose_random(self, target_ids: tuple[str, ...]) -> Route | None:
        """Return a random replica that has a route (baseline mode)."""
        routes = self._routes_of(target_ids)
        return self._random.choice(routes) if routes else None

    def _routes_of(self, target_ids: tuple[str, ...]) -> list[Route]:
        routes = self._routes_by_replicas.get(target_ids)
        if routes is None:
            routes = [route for item in target_ids if (route := self.get_route(item)) is not None]
            self._routes_by_replicas[target_ids] = routes
        return routes

    def _is_preferred(self, route: Route, now: float) -> bool:
        state = route.state
        return (
            state.avoid_until <= now
            and not state.is_cold
            and route.address not in self._unusable_addresses
        )

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
            if state.is_cold and not state.outstanding and state.avoid_until <= now:
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
            service = self._states_by_service.setdefault(info.service, ServiceState())
            state = self._states_by_id[target_id] = TargetState(target_id, service)
        target = info.target
        state.cold_limit = target.cold_limit if target.cold_limit < target.slots else -1
        return Route(
            target=target,
            state=state,
            address=address,
            instance=instance,
            is_foreign=target.failure_domain != self._view.own_member.failure_domain,
        )

    def _find_owner(self, target_id: str, partition: int) -> tuple[str, str]:
        if self.own_address:
            return self.own_address, self._view.own_member.instance
        owner = self._view.find_owner(target_id)
        if owner is None or not owner.dispatch_addresses:
            return "", ""
        addresses = owner.dispatch_addresses
        return addresses[partition % len(addresses)], owner.instance
