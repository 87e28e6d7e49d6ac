"""Data types of the gateway: instance settings, configuration, registered targets."""

from __future__ import annotations

import enum
from math import inf

from .news_waits import compute_wait_share
from .position import NO_ERA, StorePosition

Address = tuple[str, int]


class InstanceSettings:
    """Addresses and limits that the instance is started with."""

    __slots__ = (
        "instance",
        "failure_domain",
        "caller_address",
        "readiness_address",
        "peer_address",
        "metrics_host",
        "store_url",
        "store_history_s",
        "shutdown_grace_s",
        "extra_send_ratio",
        "extra_send_slack",
        "extra_send_window_s",
        "cold_overshoot",
        "cold_slack",
        "has_rollouts",
        "exposure_share",
        "exposure_slack",
        "rollback_s",
        "quota_window_s",
        "quota_overshoot",
        "quota_slack",
        "configuration_delay_s",
        "evacuation_delay_s",
        "drain_delay_s",
        "stability_s",
        "demands_keys",
        "memory_bytes",
        "descriptors",
        "processor_cores",
        "learns_costs",
    )

    def __init__(
        self,
        *,
        instance: str,
        failure_domain: str,
        caller_address: Address,
        readiness_address: Address,
        peer_address: Address,
        metrics_host: str,
        store_url: str,
        store_history_s: float,
        shutdown_grace_s: float,
        extra_send_ratio: float,
        extra_send_slack: float,
        extra_send_window_s: float,
        cold_overshoot: float,
        cold_slack: float,
        has_rollouts: bool = False,
        exposure_share: float = 0.1,
        exposure_slack: float = 50.0,
        rollback_s: float = 5.0,
        quota_window_s: float = 5.0,
        quota_overshoot: float = 0.1,
        quota_slack: float = 20.0,
        configuration_delay_s: float = 5.0,
        evacuation_delay_s: float = 5.0,
        drain_delay_s: float = 5.0,
        stability_s: float = 5.0,
        demands_keys: bool = False,
        memory_bytes: int = 0,
        descriptors: int = 0,
        processor_cores: float = 0.0,
        learns_costs: bool = False,
    ) -> None:
        self.instance = instance
        self.failure_domain = failure_domain
        self.caller_address = caller_address
        self.readiness_address = readiness_address
        self.peer_address = peer_address
        self.metrics_host = metrics_host
        self.store_url = store_url
        # How long the store keeps its history of changes, unless it discards them earlier.
        self.store_history_s = store_history_s
        self.shutdown_grace_s = shutdown_grace_s
        # Limit of sends beyond the first of each request, over all instances: in each window a
        # service may get `extra_send_ratio` times its requests plus `extra_send_slack`.
        self.extra_send_ratio = extra_send_ratio
        self.extra_send_slack = extra_send_slack
        self.extra_send_window_s = extra_send_window_s
        # In any second, a cold target may get at most the cold rate of its service times
        # `cold_overshoot`, plus `cold_slack` requests, over all instances.
        self.cold_overshoot = cold_overshoot
        self.cold_slack = cold_slack
        # Whether operators order roll-outs of new versions of services here.
        self.has_rollouts = has_rollouts
        # A bad version may get `exposure_share` of the requests for its service plus
        # `exposure_slack`, over all instances, and nothing `rollback_s` after its 50th bad answer.
        self.exposure_share = exposure_share
        self.exposure_slack = exposure_slack
        self.rollback_s = rollback_s
        # In any window, an organisation may get its rate times the window plus its burst, times
        # 1 + `quota_overshoot`, plus `quota_slack` requests, over all instances.
        self.quota_window_s = quota_window_s
        self.quota_overshoot = quota_overshoot
        self.quota_slack = quota_slack
        # After this time all instances have to use a new version of the configuration.
        self.configuration_delay_s = configuration_delay_s
        # After these, none may send to an evacuated failure domain, or to a target that leaves.
        self.evacuation_delay_s = evacuation_delay_s
        self.drain_delay_s = drain_delay_s
        # The three bounds hold once the store has been undisturbed for this time.
        self.stability_s = stability_s
        # Whether an empty list of organisations means that no key is valid, and not that requests
        # need none.
        self.demands_keys = demands_keys
        # Limits of the process; 0 means unknown.
        self.memory_bytes = memory_bytes
        self.descriptors = descriptors
        # Processor time that the process gets in each second; a part of one core on most machines.
        self.processor_cores = processor_cores
        # Whether requests of one route may be expected to cost different work.
        self.learns_costs = learns_costs

    @property
    def belief_hold_s(self) -> float:
        """For how long what an older copy of the store lacks stays in force without being written.

        An operator writes an evacuation again and counts on it `evacuation_delay_s` later.
        """
        return 2 * self.evacuation_delay_s

    @property
    def news_wait_share(self) -> float:
        """Share of the usual waits for news of the store that the bounds allow."""
        return compute_wait_share(
            (self.configuration_delay_s, self.evacuation_delay_s, self.drain_delay_s)
        )


class SingleService:
    """Each request goes to one target of one service."""

    __slots__ = ("service",)

    def __init__(self, service: str) -> None:
        self.service = service


class WeightedServices:
    """Each request goes to one target of one service, drawn at random by weight."""

    __slots__ = ("weights_by_service",)

    def __init__(self, weights_by_service: dict[str, float]) -> None:
        self.weights_by_service = weights_by_service


class FanOut:
    """Each request goes to one target of every shard, and the greatest records are merged.

    Each service is a shard. The request fails if the share of shards that have answered, from 0
    to 1, is below `min_coverage`.
    """

    __slots__ = ("services", "max_records", "min_coverage")

    def __init__(self, services: list[str], max_records: int, min_coverage: float) -> None:
        self.services = services
        self.max_records = max_records
        self.min_coverage = min_coverage


Destination = SingleService | WeightedServices | FanOut


class Route:
    """Destination and limits of the requests for one host and path prefix; times in seconds."""

    __slots__ = (
        "name",
        "host",
        "path_prefix",
        "destination",
        "is_idempotent",
        "max_sends",
        "timeout_s",
        "latency_objective_s",
        "priority",
        "is_public",
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        path_prefix: str,
        destination: Destination,
        is_idempotent: bool,
        max_sends: int,
        timeout_s: float,
        latency_objective_s: float,
        priority: int,
        is_public: bool = False,
    ) -> None:
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.destination = destination
        self.is_idempotent = is_idempotent
        # Maximum number of targets of a service to which one request is sent.
        self.max_sends = max_sends
        self.timeout_s = timeout_s
        # An answer within this latency is worth most to the caller.
        self.latency_objective_s = latency_objective_s
        # 0 is the most urgent.
        self.priority = priority
        # Whether requests need no API key where the others do.
        self.is_public = is_public


class Organisation:
    """An organisation that sends requests: its name, priority and limit.

    Without a priority of its own, None, that of the route counts. A `rate_per_s` of 0 means no
    limit; `burst` is how many requests it may send beyond its rate in a window.
    """

    __slots__ = ("name", "priority", "rate_per_s", "burst")

    def __init__(
        self, name: str, priority: int | None = None, rate_per_s: float = 0.0, burst: float = 0.0
    ) -> None:
        self.name = name
        self.priority = priority
        self.rate_per_s = rate_per_s
        self.burst = burst

    @property
    def is_limited(self) -> bool:
        """Whether the organisation has a limit."""
        return self.rate_per_s > 0


class Organisations:
    """The organisations of one configuration, by name and by the digests of their API keys.

    `has_limits` tells whether any of them has a limit. `entries` counts the entries in the
    configuration, also those that could not be used; `problems` tells what is wrong with them.
    """

    __slots__ = ("by_name", "by_digest", "entries", "problems", "has_limits")

    def __init__(
        self,
        by_name: dict[str, Organisation],
        by_digest: dict[str, Organisation],
        entries: int,
        problems: list[str],
    ) -> None:
        self.by_name = by_name
        self.by_digest = by_digest
        self.entries = entries
        self.problems = problems
        self.has_limits = any(item.is_limited for item in by_name.values())


class Service:
    """Limits of each target of a service; `cold_requests_per_s` of 0 means no limit."""

    __slots__ = ("name", "max_connections", "cold_requests_per_s")

    def __init__(self, name: str, max_connections: int, cold_requests_per_s: float) -> None:
        self.name = name
        self.max_connections = max_connections
        self.cold_requests_per_s = cold_requests_per_s


class CallerLimits:
    """Limits on the requests and connections of callers; sizes in bytes, times in seconds."""

    __slots__ = ("header_bytes", "body_bytes", "header_timeout_s", "idle_timeout_s")

    def __init__(
        self, header_bytes: int, body_bytes: int, header_timeout_s: float, idle_timeout_s: float
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s


class Configuration:
    """One version of the operators' configuration; `organisations` is None if it names none."""

    __slots__ = ("version", "routes", "services_by_name", "limits", "organisations")

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services_by_name: dict[str, Service],
        limits: CallerLimits,
        organisations: Organisations | None = None,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services_by_name = services_by_name
        self.limits = limits
        self.organisations = organisations


class TargetEntry:
    """Entry that a target has registered in the store.

    `started_ms`, the wall-clock time of its start, distinguishes a restarted target from an earlier
    one with the same id.
    """

    __slots__ = (
        "id",
        "service",
        "host",
        "port",
        "failure_domain",
        "slots",
        "is_draining",
        "cold_s",
        "started_ms",
        "version",
    )

    def __init__(
        self,
        *,
        id: str,
        service: str,
        host: str,
        port: int,
        failure_domain: str,
        slots: int,
        is_draining: bool,
        cold_s: float,
        started_ms: int,
        version: str = "",
    ) -> None:
        self.id = id
        self.service = service
        self.host = host
        self.port = port
        self.failure_domain = failure_domain
        self.slots = slots
        self.is_draining = is_draining
        # Remaining time for which the target expected to stay cold when it wrote the entry.
        self.cold_s = cold_s
        self.started_ms = started_ms
        # Version of the program that the target runs.
        self.version = version


class RolloutState(enum.Enum):
    """Progress of an order; nothing follows the last two."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


class RolloutOrder:
    """An operator's order to replace all targets of a service by those of another version.

    `state` is None before any instance has written one. A write of the state is conditional on
    `revision`, which counts in its era only, and repeats what operators have written, `spec`.
    """

    __slots__ = ("service", "version", "duration_s", "state", "revision", "spec", "era")

    def __init__(
        self,
        *,
        service: str,
        version: str,
        duration_s: float,
        state: RolloutState | None,
        revision: int,
        spec: object = None,
        era: int = NO_ERA,
    ) -> None:
        self.service = service
        self.version = version
        self.duration_s = duration_s
        self.state = state
        self.revision = revision
        self.spec = spec
        self.era = era

    @property
    def position(self) -> StorePosition:
        """The last change of the order or of its state."""
        return StorePosition(self.era, self.revision)

    @property
    def is_decided(self) -> bool:
        """Whether no other state can follow."""
        return self.state in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)


class StoredRecord:
    """An object of the platform's store.

    For a deleted one `value` is None, and `last_value` is what it was before, if known.
    """

    __slots__ = ("name", "revision", "value", "last_value", "era")

    def __init__(
        self,
        name: str,
        revision: int,
        value: object,
        last_value: object = None,
        era: int = NO_ERA,
    ) -> None:
        self.name = name
        self.revision = revision
        self.value = value
        self.last_value = last_value
        # The era of the response that held the object.
        self.era = era

    @property
    def position(self) -> StorePosition:
        """The object's last change."""
        return StorePosition(self.era, self.revision)


class StoredRecords:
    """Objects of one kind, and the store's revision and era at which they were read.

    If `is_whole`, these are all objects of the kind, otherwise only the changed ones.
    """

    __slots__ = ("records", "revision", "is_whole", "era")

    def __init__(
        self,
        records: list[StoredRecord],
        revision: int,
        is_whole: bool,
        era: int = NO_ERA,
    ) -> None:
        self.records = records
        self.revision = revision
        self.is_whole = is_whole
        self.era = era

    @property
    def position(self) -> StorePosition:
        """Where the store was."""
        return StorePosition(self.era, self.revision)


class TargetNotice:
    """What a target says of itself with an answer.

    `requests_per_s` is how many requests a second it takes from all instances together: infinite
    if it names no limit, None if what it names cannot be read. `closed_s` is for how long it wants
    nothing more from this instance, 0 if it does not say so.
    """

    __slots__ = ("is_leaving", "requests_per_s", "closed_s")

    def __init__(
        self,
        *,
        is_leaving: bool = False,
        requests_per_s: float | None = inf,
        closed_s: float = 0.0,
    ) -> None:
        self.is_leaving = is_leaving
        self.requests_per_s = requests_per_s
        self.closed_s = closed_s


class TargetLoad:
    """Load that a target reports with an answer, in numbers of requests.

    `time_factor` is how many times as long as usual work takes on its machine at this moment.
    """

    __slots__ = ("running", "waiting", "slots", "time_factor")

    def __init__(self, running: int, waiting: int, slots: int, time_factor: float = 1.0) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.time_factor = time_factor
