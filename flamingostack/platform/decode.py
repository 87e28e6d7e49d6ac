"""Decoding of the objects that operators and targets write into the platform's store."""

from __future__ import annotations

from typing import Any

from ..errors import Failure, Reason, make_failure
from ..gateway.model import (
    CallerLimits,
    Configuration,
    Destination,
    FanOut,
    RolloutOrder,
    RolloutState,
    Route,
    Service,
    SingleService,
    StoredRecord,
    TargetEntry,
    WeightedServices,
)
from .entries import LEFT_OUT_FIELD
from .settings import parse_address
from .tenants import TENANTS, decode_organisations

MS_PER_S = 1000
# A target with more than these is misconfigured, or the entry is another writer's.
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 86_400_000
# Longer names would not fit into a datagram between instances.
MAX_NAME_CHARACTERS = 200
MAX_ROLLOUT_S = 30 * 86_400.0
ROLLOUT_STATE_NAMES = {
    RolloutState.RUNNING: "running",
    RolloutState.COMPLETED: "completed",
    RolloutState.ROLLED_BACK: "rolled_back",
}
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class DecodeReason(Reason):
    """Reasons why an object of the store can't be decoded."""

    MALFORMED = "object_malformed"


def decode_configuration(record: StoredRecord) -> Configuration | Failure[DecodeReason]:
    """Decode one version of the operators' configuration; fail if any part is malformed."""
    try:
        body: dict[str, Any] = record.value  # type: ignore[assignment]
        services = [decode_service(item) for item in body["services"]]
        limits = body["limits"]
        return Configuration(
            version=int(body["version"]),
            routes=[decode_route(item) for item in body["routes"]],
            services_by_name={service.name: service for service in services},
            limits=CallerLimits(
                header_bytes=int(limits["maxHeaderBytes"]),
                body_bytes=int(limits["maxBodyBytes"]),
                header_timeout_s=limits["headerTimeoutMs"] / MS_PER_S,
                idle_timeout_s=limits["idleTimeoutMs"] / MS_PER_S,
            ),
            organisations=decode_organisations(body.get(TENANTS)),
        )
    except DECODE_ERRORS as error:
        return make_failure(DecodeReason.MALFORMED, f"configuration: {error!r}")


def decode_service(item: dict[str, Any]) -> Service:
    """Decode a service with the limits of its targets."""
    return Service(
        name=item["name"],
        # The limit for each target, not for the service as a whole.
        max_connections=int(item.get("maxConnections") or 1),
        cold_requests_per_s=float(item.get("coldPerS") or 0),
    )


def decode_route(item: dict[str, Any]) -> Route:
    """Decode a route. Only requests of the kind "safe" count as idempotent."""
    timeout_s = item["timeoutMs"] / MS_PER_S
    return Route(
        name=item["name"],
        host=item["host"].lower(),
        path_prefix=item["pathPrefix"],
        destination=decode_destination(item),
        is_idempotent=item["kind"] == "safe",
        # Includes the first send, and applies to each shard of a fan-out separately.
        max_sends=max(int(item.get("maxAttempts") or 1), 1),
        timeout_s=timeout_s,
        latency_objective_s=(item.get("targetLatencyMs") or item["timeoutMs"]) / MS_PER_S,
        priority=int(item.get("priority") or 0),
        # Anything else than true leaves the route closed.
        is_public=item.get("public") is True,
    )


def decode_destination(item: dict[str, Any]) -> Destination:
    """Decode the destination of a route: a fan-out, weighted services or a single service."""
    if item.get("fanOutServices"):
        return FanOut(
            services=list(item["fanOutServices"]),
            max_records=int(item["maxResults"]),
            min_coverage=float(item.get("minPartShare") or 0),
        )
    if item.get("trafficSplit"):
        return WeightedServices(
            {part["service"]: float(part["weight"]) for part in item["trafficSplit"]}
        )
    return SingleService(item["service"])


def decode_target(record: StoredRecord) -> TargetEntry | Failure[DecodeReason]:
    """Decode a target's entry; fail if any field is missing or malformed."""
    try:
        body: dict[str, Any] = record.value  # type: ignore[assignment]
        check_kept(body)
        host, port = parse_address(body["address"])
        for key in ("service", "zone", "version", "state"):
            if not isinstance(body[key], str):
                raise TypeError(f"{key} is not a string")
        if body["state"] not in ("ready", "draining"):
            raise ValueError(f"unknown state {body['state']!r}")
        slots, cold_ms = body["slots"], body["coldRemainingMs"]
        # The wall-clock time of the target's start in milliseconds; not all targets tell it.
        started_ms = body.get("born", 0)
        for key, value in (
            ("slots", slots),
            ("coldRemainingMs", cold_ms),
            ("sequence", body["sequence"]),
            ("born", started_ms),
        ):
            if isinstance(value, bool) or not isinstance(value, int | float):
                raise TypeError(f"{key} is not a number")
        if not isinstance(slots, int) or not 1 <= slots <= MAX_SLOTS:
            raise ValueError(f"slots is {slots!r}")
        if not 0 <= cold_ms <= MAX_COLD_MS:
            raise ValueError(f"coldRemainingMs is {cold_ms!r}")
        return TargetEntry(
            id=record.name,
            service=body["service"],
            host=host,
            port=port,
            failure_domain=body["zone"],
            slots=slots,
            is_draining=body["state"] == "draining",
            cold_s=cold_ms / MS_PER_S,
            started_ms=int(started_ms),
            version=body["version"],
        )
    except DECODE_ERRORS as error:
        return make_failure(DecodeReason.MALFORMED, f"target {record.name}: {error!r}")


def check_kept(body: dict[str, Any]) -> None:
    """Raise ValueError if the value of an object was beyond its limit, and left out."""
    if LEFT_OUT_FIELD in body:
        raise ValueError(body[LEFT_OUT_FIELD])


def decode_rollout(record: StoredRecord) -> RolloutOrder | Failure[DecodeReason]:
    """Decode an order to roll out a version; fail if any field is missing or malformed.

    A state that belongs to another version was left by an earlier order and counts as none.
    """
    try:
        body: dict[str, Any] = record.value  # type: ignore[assignment]
        check_kept(body)
        spec, status = body["spec"], body.get("status")
        service, version, duration_s = spec["service"], spec["targetVersion"], spec["durationS"]
        for key, value in (("service", service), ("targetVersion", version)):
            if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARACTERS:
                raise ValueError(f"{key} is no string of 1 to {MAX_NAME_CHARACTERS} characters")
        if service != record.name:
            raise ValueError(f"service is {service!r}")
        if isinstance(duration_s, bool) or not isinstance(duration_s, int | float):
            raise TypeError("durationS is not a number")
        if not 0 < duration_s <= MAX_ROLLOUT_S:
            raise ValueError(f"durationS is {duration_s!r}")
        return RolloutOrder(
            service=service,
            version=version,
            duration_s=float(duration_s),
            state=decode_rollout_state(status, version),
            revision=record.revision,
            spec=spec,
            era=record.era,
        )
    except DECODE_ERRORS as error:
        return make_failure(DecodeReason.MALFORMED, f"rollout {record.name[:100]}: {error!r}")


def decode_rollout_state(status: object, version: str) -> RolloutState | None:
    """Return the state of the order for a version; None if there is none."""
    if not isinstance(status, dict) or status.get("targetVersion") != version:
        return None
    state = status.get("state")
    return next((item for item, name in ROLLOUT_STATE_NAMES.items() if name == state), None)


def encode_rollout_status(order: RolloutOrder, state: RolloutState) -> dict[str, str]:
    """Return the status that tells the state of an order."""
    return {"state": ROLLOUT_STATE_NAMES[state], "targetVersion": order.version}
