"""Data types of the gateway: instance settings, configuration, registered targets."""

from __future__ import annotations

from math import inf

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
        # Maximum number of targets of a service to which one request is sent.
        self.max_sends = max_sends
        self.timeout_s = timeout_s
        # An answer within this latency is worth most to the caller.
        self.latency_objective_s = latency_objective_s
        # 0 is the most urgent.
        self.priority = priority


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
        # Remaining time for which the target expected to stay cold when it wrote the entry.
        self.cold_s = cold_s
        self.started_ms = started_ms


class StoredRecord:
    """An object of the platform's store.

    For a deleted one `value` is None, and `last_value` is what it was before, if known.
    """

    __slots__ = ("name", "revision", "value", "last_value")

    def __init__(self, name: str, revision: int, value: object, last_value: object = None) -> None:
        self.name = name
        self.revision = revision
        self.value = value
        self.last_value = last_value


class StoredRecords:
    """Objects of one kind, and the store's revision at which they were read.

    If `is_whole`, these are all objects of the kind, otherwise only the changed ones.
    """

    __slots__ = ("records", "revision", "is_whole")

    def __init__(self, records: list[StoredRecord], revision: int, is_whole: bool) -> None:
        self.records = records
        self.revision = revision
        self.is_whole = is_whole


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
    """Load that a target reports with an answer, in numbers of requests."""

    __slots__ = ("running", "waiting", "slots")

    def __init__(self, running: int, waiting: int, slots: int) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
