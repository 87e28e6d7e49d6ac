"""Types of the gateway: its settings, the configuration in force, and the registered targets."""

from __future__ import annotations

Address = tuple[str, int]


class InstanceSettings:
    """What the instance was given at its start: addresses, and the bounds it has to keep."""

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
    ) -> None:
        self.instance = instance
        self.failure_domain = failure_domain
        self.caller_address = caller_address
        self.readiness_address = readiness_address
        self.peer_address = peer_address
        self.metrics_host = metrics_host
        self.store_url = store_url
        # For how long the store remembers changes, unless it discards them sooner.
        self.store_history_s = store_history_s
        self.shutdown_grace_s = shutdown_grace_s
        # Sends beyond the first of each request, over all instances: in each window a service may
        # get the ratio of its requests plus the slack.
        self.extra_send_ratio = extra_send_ratio
        self.extra_send_slack = extra_send_slack
        self.extra_send_window_s = extra_send_window_s
        # A cold target gets at most its own rate times the overshoot, plus the slack, in a second.
        self.cold_overshoot = cold_overshoot
        self.cold_slack = cold_slack


class SingleService:
    """Each request goes to one target of one service."""

    __slots__ = ("service",)

    def __init__(self, service: str) -> None:
        self.service = service


class WeightedServices:
    """Each request goes to one target of one service, which is drawn by weight."""

    __slots__ = ("weights_by_service",)

    def __init__(self, weights_by_service: dict[str, float]) -> None:
        self.weights_by_service = weights_by_service


class FanOut:
    """Each request goes to one target of every shard; the best records are merged.

    `min_coverage` is the share of shards, from 0 to 1, below which there is no answer.
    """

    __slots__ = ("services", "max_records", "min_coverage")

    def __init__(self, services: list[str], max_records: int, min_coverage: float) -> None:
        self.services = services
        self.max_records = max_records
        self.min_coverage = min_coverage


Destination = SingleService | WeightedServices | FanOut


class Route:
    """Where requests of one host and path prefix go, and how; times are in seconds."""

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
    ) -> None:
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.destination = destination
        self.is_idempotent = is_idempotent
        # To how many targets of a service one request may be sent.
        self.max_sends = max_sends
        self.timeout_s = timeout_s
        # The latency objective: an answer within it is worth most to the caller.
        self.latency_objective_s = latency_objective_s
        # 0 is the most urgent.
        self.priority = priority


class Service:
    """Limits of each target of a service; a cold rate of 0 means that none is set."""

    __slots__ = ("name", "max_connections", "cold_requests_per_s")

    def __init__(self, name: str, max_connections: int, cold_requests_per_s: float) -> None:
        self.name = name
        self.max_connections = max_connections
        self.cold_requests_per_s = cold_requests_per_s


class CallerLimits:
    """What a caller may send and how long it may take; sizes in bytes, times in seconds."""

    __slots__ = ("header_bytes", "body_bytes", "header_timeout_s", "idle_timeout_s")

    def __init__(
        self, header_bytes: int, body_bytes: int, header_timeout_s: float, idle_timeout_s: float
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s


class Configuration:
    """One version of the operators' configuration."""

    __slots__ = ("version", "routes", "services_by_name", "limits")

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services_by_name: dict[str, Service],
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services_by_name = services_by_name
        self.limits = limits


class TargetEntry:
    """A target as it has registered itself.

    `started_ms` tells a target that started again under the same id from the one before.
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
    ) -> None:
        self.id = id
        self.service = service
        self.host = host
        self.port = port
        self.failure_domain = failure_domain
        self.slots = slots
        self.is_draining = is_draining
        # How much longer the target expected to stay cold when it wrote the entry.
        self.cold_s = cold_s
        self.started_ms = started_ms


class StoredRecord:
    """An object of the platform's store; `value` is None for a deleted one."""

    __slots__ = ("name", "revision", "value")

    def __init__(self, name: str, revision: int, value: object) -> None:
        self.name = name
        self.revision = revision
        self.value = value


class StoredRecords:
    """Objects of one kind, and the store's revision at which they were read.

    All objects if `is_whole`, else those that have changed.
    """

    __slots__ = ("records", "revision", "is_whole")

    def __init__(self, records: list[StoredRecord], revision: int, is_whole: bool) -> None:
        self.records = records
        self.revision = revision
        self.is_whole = is_whole


class TargetLoad:
    """What a target says of itself with an answer, in requests."""

    __slots__ = ("running", "waiting", "slots")

    def __init__(self, running: int, waiting: int, slots: int) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
