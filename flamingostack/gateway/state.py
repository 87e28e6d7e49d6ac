"""State shared by the tasks of one gateway process. Not thread-safe; the event loop owns it."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import TYPE_CHECKING

import structlog
from multidict import CIMultiDictProxy

from ..entry.latency import LatencyWindow
from ..entry.overload import OverloadLimit
from ..entry.shutdown import Shutdown
from ..metrics import Metrics
from ..platform.messages import read_key_digest
from .admission import MIN_QUEUE, SpareParts
from .budget import ExtraSendBudget
from .costs import CostModel
from .directory import Directory
from .fanout import MIN_HEDGE_LATENCIES
from .limit_ends import LimitEnd, LimitEnds
from .limits import LimitedSends, compute_share
from .model import Configuration, InstanceSettings, Organisation, Route, TargetNotice
from .observations import DomainObservations, Observation, apply_merged, collect_own
from .pauses import PauseGuard, read_clock_s
from .placement import ColdShare, compute_cross_domain_rank
from .pool import ExtraSendPool
from .refusals import RefusalOrders
from .rollouts import Rollouts
from .routing import RouteTable
from .sender import Sender
from .startup import StartGuard
from .targets import Target
from .tenants import (
    OVER_LIMIT,
    Access,
    Denial,
    OrganisationStats,
    find_access,
    find_change,
)
from .traffic import DomainTraffic

if TYPE_CHECKING:
    from .allotment_exchange import AllotmentExchange
    from .status import RolloutStatus

# Default median and slow latency of a part, as shares of the route's latency objective; used until
# enough latencies are recorded.
DEFAULT_MEDIAN_LATENCY_SHARE = 0.18
DEFAULT_SLOW_LATENCY_SHARE = 0.35
# Percentile of the latencies of a route's parts from which a part counts as slow and may be hedged.
SLOW_LATENCY_PERCENT = 90.0
MEDIAN_PERCENT = 50.0
# Distinct time limits counted for a route. Each retry has a different one.
MAX_DISTINCT_TIME_LIMITS = 64
# Longer round trips don't occur between the documented failure domains.
MAX_ROUND_TRIP_MS = 40
# Round trip until it can be estimated; the documented one-way latency is 1 to 3 ms.
DEFAULT_ROUND_TRIP_S = 0.006
ROUND_TRIP_REFRESH_S = 1.0
MS_PER_S = 1000
# The observations of up to 200 followers are merged once for all polls within this time.
MERGE_INTERVAL_S = 0.1
# Soft and hard limit of the connections of all instances to a target, as shares of its cap. After a
# power loss of all instances, the target still counts the old connections, and the new ones have to
# fit within the cap as well.
SOFT_MAX_CONNECTION_SHARE = 0.5
MAX_CONNECTION_SHARE = 0.7


class TimeLimitEstimator:
    """Estimates the typical time limit of a route's callers on their first attempt.

    A caller that retries has less time left. The estimate is the most frequent value and not the
    largest, because otherwise a few callers with a long time limit would make all other requests
    look like retries.
    """

    __slots__ = ("counts_by_ms",)

    def __init__(self) -> None:
        self.counts_by_ms: dict[int, int] = {}

    def record(self, time_left_s: float) -> None:
        """Count the time limit of a request."""
        key = round(time_left_s * MS_PER_S)
        self.counts_by_ms[key] = self.counts_by_ms.get(key, 0) + 1
        if len(self.counts_by_ms) > MAX_DISTINCT_TIME_LIMITS:
            # Halving keeps frequent values, and lets a new typical value replace the old one.
            halved = {key: count // 2 for key, count in self.counts_by_ms.items()}
            self.counts_by_ms = {key: count for key, count in halved.items() if count}

    def spent_s(self, time_left_s: float) -> float:
        """Return how long the caller has been trying, estimated from its time left.

        The result is 0 for a first attempt.
        """
        if not self.counts_by_ms:
            return 0.0
        return max(self._typical_time_limit_ms() / MS_PER_S - time_left_s, 0.0)

    def round_trip_s(self) -> float:
        """Return the estimated round-trip time to callers; 0 if it can't be estimated.

        A request on a new connection has one round trip less time left than a first attempt on an
        open connection.
        """
        if not self.counts_by_ms:
            return 0.0
        typical_ms = self._typical_time_limit_ms()
        nearby = range(typical_ms - MAX_ROUND_TRIP_MS, typical_ms)
        counts_by_ms = {key: n for key, n in self.counts_by_ms.items() if key in nearby and n > 1}
        if not counts_by_ms:
            return 0.0
        return (typical_ms - max(counts_by_ms, key=counts_by_ms.__getitem__)) / MS_PER_S

    def _typical_time_limit_ms(self) -> int:
        return max(self.counts_by_ms, key=self.counts_by_ms.__getitem__)


class RouteStats:
    """Latencies of the parts of a route, and the time limits of its callers."""

    __slots__ = ("latency", "time_limits")

    def __init__(self, now: float) -> None:
        self.latency = LatencyWindow(now)
        self.time_limits = TimeLimitEstimator()

    def typical_latency_s(self, route: Route, now: float) -> float:
        """Return the median latency of a part; a default before enough data."""
        median = self.latency.quantile(MEDIAN_PERCENT, now)
        return (
            median
            if median is not None
            else route.latency_objective_s * DEFAULT_MEDIAN_LATENCY_SHARE
        )

    def slow_latency_s(self, route: Route, now: float) -> float:
        """Return the latency from which a part counts as slow; a default before enough data."""
        slow = self.latency.quantile(SLOW_LATENCY_PERCENT, now)
        if slow is None:
            return route.latency_objective_s * DEFAULT_SLOW_LATENCY_SHARE
        return max(slow, self.typical_latency_s(route, now) * MIN_HEDGE_LATENCIES)


class Gateway:
    """State of one gateway process."""

    __slots__ = (
        "settings",
        "log",
        "metrics",
        "now",
        "rollouts",
        "describe_rollouts",
        "directory",
        "routes",
        "budget",
        "pool",
        "request_grants",
        "allotments",
        "sender",
        "pauses",
        "startup",
        "shutdown",
        "answer_until",
        "instances",
        "cold_share",
        "traffic",
        "observations",
        "limit_ends",
        "spare_parts",
        "refusal_orders",
        "has_queued_targets",
        "stats_by_route",
        "organisation_stats",
        "costs",
        "overload_by_service",
        "_round_trip_s",
        "_round_trip_until",
        "_merged_observations",
        "_merge_observations_at",
    )

    def __init__(
        self,
        settings: InstanceSettings,
        log: structlog.typing.FilteringBoundLogger,
        metrics: Metrics,
        now: Callable[[], float],
        sender: Sender,
    ) -> None:
        self.settings = settings
        self.log = log
        self.metrics = metrics
        self.now = now
        self.sender = sender
        self.rollouts = Rollouts(read_clock_s, settings.configuration_delay_s)
        # Returns the orders in force as operators see them.
        self.describe_rollouts: Callable[[], list[RolloutStatus]] = list
        self.directory = Directory(self.rollouts if settings.has_rollouts else None)
        # None until the first configuration is applied.
        self.routes: RouteTable | None = None
        self.budget = ExtraSendBudget(
            settings.extra_send_ratio,
            settings.extra_send_slack,
            settings.extra_send_window_s,
            now(),
        )
        # What this instance hands out to others of its failure domain.
        self.pool = ExtraSendPool(settings.extra_send_window_s, now())
        # Asks for extra sends to services from the pool of the failure domain, and returns the
        # services for which there is one. None if there is no pool.
        self.request_grants: Callable[[Collection[str]], Awaitable[Collection[str]]] | None = None
        # Asks for the tokens of organisations with a limit. None if this process has no exchange,
        # and then no limit is kept.
        self.allotments: AllotmentExchange | None = None
        # None if the process does not watch for pauses.
        self.pauses: PauseGuard | None = None
        self.startup = StartGuard(now)
        self.shutdown = Shutdown()
        # When this process has to have answered what it accepts, since it is about to end.
        self.answer_until = math.inf
        self.instances: set[str] = {settings.instance}
        self.cold_share = ColdShare(0, 1, settings.cold_overshoot, settings.cold_slack)
        self.traffic = DomainTraffic()
        self.observations = DomainObservations()
        self.limit_ends = LimitEnds()
        self.spare_parts = SpareParts()
        self.refusal_orders = RefusalOrders()
        # Whether the failure domain knows of targets whose queues matter for admission.
        self.has_queued_targets = False
        self.stats_by_route: dict[str, RouteStats] = {}
        self.organisation_stats = OrganisationStats()
        # None if all requests of a route are taken for equally costly.
        self.costs = CostModel() if settings.learns_costs else None
        self.overload_by_service: dict[str, OverloadLimit] = {}
        self._round_trip_s = DEFAULT_ROUND_TRIP_S
        self._round_trip_until = 0.0
        self._merged_observations: list[Observation] = []
        self._merge_observations_at = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether this instance can serve callers."""
        return self.knows_state and bool(self.directory.targets_by_id)

    @property
    def knows_state(self) -> bool:
        """Whether it is known how to route requests, and which targets are out of service."""
        return self.routes is not None and self.directory.knows_exclusions

    def find_access(self, host: str, path: str, headers: CIMultiDictProxy[str]) -> Access | Denial:
        """Return the route and organisation of a request by the configuration in force."""
        has_keys = self.routes.configuration.organisations is not None
        key_digest = read_key_digest(headers) if has_keys else None
        return find_access(self.routes, host, path, key_digest, self.settings.demands_keys)

    def find_change(
        self, access: Access, host: str, path: str, headers: CIMultiDictProxy[str]
    ) -> Denial | None:
        """Return why a request with this access must not be sent any more; None if it may be."""
        if access.routes is self.routes:
            return None
        return find_change(access, self.find_access(host, path, headers))

    async def wait_after_pause(self) -> None:
        """Wait until the state is up to date again, if the process stood still."""
        if self.pauses is not None:
            await self.pauses.wait()

    async def wait_for_state(self) -> None:
        """Wait for the first state if the process has just started."""
        await self.startup.wait(lambda: self.knows_state)

    def set_configuration(self, configuration: Configuration) -> bool:
        """Apply a version of the configuration; return whether it was newer than the current one.

        A version that is not newer is ignored.
        """
        if self.routes is not None and configuration.version <= self.routes.configuration.version:
            return False
        self.routes = RouteTable(configuration)
        self.spare_parts = SpareParts()
        self.refusal_orders = RefusalOrders()
        kept = {route.name for route in configuration.routes}
        for name in [known for known in self.stats_by_route if known not in kept]:
            del self.stats_by_route[name]
        organisations = configuration.organisations
        self.organisation_stats.keep(organisations.by_name if organisations else ())
        if self.costs is not None:
            self.costs.keep_routes(kept)
        self.update_shares()
        return True

    def set_instances(self, instances: set[str]) -> None:
        """Set the instances among which the budget, cold targets and connections are divided."""
        instances = instances | {self.settings.instance}
        if instances != self.instances:
            self.instances = instances
            for target in self.directory.targets_by_id.values():
                if target.notices.is_limited:
                    self._update_limit_share(target)
        self.update_shares()

    def set_settings(self, settings: InstanceSettings) -> None:
        """Apply changed limits; changed addresses take effect at the next start."""
        self.settings = settings
        if settings.learns_costs != (self.costs is not None):
            self.costs = CostModel() if settings.learns_costs else None
        self.budget.ratio = settings.extra_send_ratio
        self.budget.slack = settings.extra_send_slack
        self.budget.window_s = self.pool.window_s = settings.extra_send_window_s
        if self.allotments is not None:
            self.allotments.set_settings(settings)
        self.update_shares()

    def update_shares(self) -> None:
        """Recompute this instance's share of the limits that are divided among all instances."""
        count = len(self.instances)
        rank = sorted(self.instances).index(self.settings.instance)
        self.budget.instance_count = count
        self.cold_share = ColdShare(
            rank, count, self.settings.cold_overshoot, self.settings.cold_slack
        )
        if self.routes is None:
            return
        services_by_name = self.routes.configuration.services_by_name
        for target in self.directory.targets_by_id.values():
            target.cross_domain_rank = compute_cross_domain_rank(
                self.settings.instance, target.entry.id
            )
            service = services_by_name.get(target.entry.service)
            if service is not None:
                share = service.max_connections / count
                target.soft_max_connections = max(int(share * SOFT_MAX_CONNECTION_SHARE), 1)
                target.max_connections = max(int(share * MAX_CONNECTION_SHARE), 1)

    def domain_requests(self) -> int | None:
        """Return the requests of the failure domain in the last window; None if not known."""
        now = self.now()
        return self.traffic.total(self.budget.requests(now), now)

    def grant_extra_sends(self, services: Collection[str]) -> list[str]:
        """Hand out one extra send to each service, and return those for which there was one."""
        limit, now = self.budget.pool_limit(), self.now()
        granted = [service for service in services if self.pool.try_grant(service, limit, now)]
        for result, count in (("granted", len(granted)), ("refused", len(services) - len(granted))):
            self.metrics.count("gateway_pool_requests_total", count, result=result)
        return granted

    def record_organisation(self, organisation: Organisation | None, reason: str | None) -> None:
        """Count a request of an organisation; `reason` is None if it was served."""
        if organisation is None:
            return
        label = self.organisation_stats.record(organisation.name, reason)
        result = "served" if reason is None else "over_limit" if reason == OVER_LIMIT else "failed"
        self.metrics.count("gateway_tenant_requests_total", tenant=label, result=result)

    def record_notice(
        self, target: Target, notice: TargetNotice, request_id: str, sent_at: float = -math.inf
    ) -> None:
        """Record what a target says of itself with the answer to a request; log what is new.

        `sent_at` is no later than the time when the request was sent.
        """
        now = self.now()
        kinds = target.notices.record(notice, now, sent_at)
        ended_at = target.notices.find_end(now)
        if ended_at is not None:
            self.limit_ends.record_end(target.entry.id, target.entry.started_ms, ended_at)
        if not kinds:
            return
        if "limit" in kinds:
            self._update_limit_share(target)
            if target.notices.is_limited:
                self.limit_ends.record_limit(target.entry, now)
        for kind in kinds:
            self.metrics.count("gateway_target_notices_total", kind=kind)
        self.log.info(
            "target_notice",
            target=target.entry.id,
            service=target.entry.service,
            leaving=target.notices.is_leaving,
            requests_per_s=target.notices.requests_per_s,
            closed_s=notice.closed_s,
            draining=target.entry.is_draining,
            request_id=request_id,
        )

    def _update_limit_share(self, target: Target) -> None:
        """Recompute this instance's share in the limit that a target has named."""
        notices = target.notices
        if not notices.is_limited:
            notices.limited_sends = None
            return
        share = compute_share(
            notices.requests_per_s,
            target_id=target.entry.id,
            instance=self.settings.instance,
            instances=self.instances,
        )
        if notices.limited_sends is None:
            notices.limited_sends = LimitedSends(share, self.now())
        else:
            notices.limited_sends.set_share(share, self.now())

    def apply_limit_ends(self, ends: Iterable[LimitEnd], reported_at: float) -> None:
        """Use what other instances report of limits that have ended.

        Their ages were computed at `reported_at` or later.
        """
        for end in ends:
            target = self.directory.targets_by_id.get(end.target)
            if target is not None and target.entry.started_ms == end.started_ms:
                target.notices.record_reported_end(reported_at - max(end.age_s, 0.0))

    def receive_limit_ends(self, ends: Collection[LimitEnd], clock: str) -> None:
        """Use and pass on what a follower reports, with the clock that it was told last."""
        reported_at = self.limit_ends.read_clock(clock, self.now())
        if reported_at is None:
            return
        self.apply_limit_ends(ends, reported_at)
        for end in ends:
            ended_at = reported_at - max(end.age_s, 0.0)
            self.limit_ends.record_end(end.target, end.started_ms, ended_at)

    def own_observations(self) -> list[Observation]:
        """Return what this instance has observed of targets in trouble."""
        return collect_own(self.directory.targets_by_id.values(), self.now())

    def merge_observations(self) -> list[Observation]:
        """Return what the failure domain has observed of targets in trouble, as far as known."""
        now = self.now()
        if now >= self._merge_observations_at:
            self._merge_observations_at = now + MERGE_INTERVAL_S
            self._merged_observations = self.observations.merge(self.own_observations(), now)
            self.apply_observations(self._merged_observations)
        return self._merged_observations

    def apply_observations(self, merged: list[Observation]) -> None:
        """Use what other instances have observed of targets in trouble."""
        self.has_queued_targets = any(item.queue >= MIN_QUEUE for item in merged)
        apply_merged(self.directory.targets_by_id, merged, self.now())

    def cold_sends_per_s(self, service: str) -> int | None:
        """Return the limit of sends per second to a cold target; None if there is no limit."""
        if self.routes is None:
            return None
        configured = self.routes.configuration.services_by_name.get(service)
        if configured is None or not configured.cold_requests_per_s:
            return None
        return self.cold_share.sends_per_s(configured.cold_requests_per_s)

    def stats(self, route: Route) -> RouteStats:
        """Return the statistics of a route."""
        stats = self.stats_by_route.get(route.name)
        if stats is None:
            stats = self.stats_by_route[route.name] = RouteStats(self.now())
        return stats

    def caller_round_trip_s(self, now: float) -> float:
        """Return the estimated round-trip time to callers.

        It is the largest estimate of any route: an instance of a large fleet gets so few requests
        that most routes have no estimate, and a late response is worth almost nothing to a caller.
        """
        if now >= self._round_trip_until:
            all_stats = self.stats_by_route.values()
            largest_s = max((stats.time_limits.round_trip_s() for stats in all_stats), default=0.0)
            self._round_trip_s = largest_s or DEFAULT_ROUND_TRIP_S
            self._round_trip_until = now + ROUND_TRIP_REFRESH_S
        return self._round_trip_s

    def overload_limit(self, service: str) -> OverloadLimit:
        """Return the limit of requests in flight to a service; create it at first use."""
        limit = self.overload_by_service.get(service)
        if limit is None:
            limit = self.overload_by_service[service] = OverloadLimit(self.now())
        return limit
