"""Reading of a configuration for review: unlike `decode.py`, it goes on after what is malformed.

It reads tenants, whose keys it turns into digests at once; no value of a key is kept or shown.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Mapping
from typing import Any

from ..errors import Failure, make_failure
from ..gateway.configuration_review import Draft, Entry, Finding, KeyDigest, WeightedService, show
from .bounded_json import decode_json
from .decode import DecodeReason


class Field:
    """A field: our name and the platform's, what it must be, and whether it may be missing."""

    __slots__ = ("name", "key", "expected", "is_valid", "is_required")

    def __init__(
        self,
        name: str,
        key: str,
        expected: str,
        is_valid: Callable[[object], bool],
        is_required: bool = False,
    ) -> None:
        self.name = name
        self.key = key
        self.expected = expected
        self.is_valid = is_valid
        self.is_required = is_required


def is_text(value: object) -> bool:
    """Return whether a value is a string that is not empty."""
    return isinstance(value, str) and bool(value)


def is_number(value: object) -> bool:
    """Return whether a value is a finite number."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return isinstance(value, int) or math.isfinite(value)


def is_integer(value: object) -> bool:
    """Return whether a value is an integer."""
    return isinstance(value, int) and not isinstance(value, bool)


def make_text(name: str, key: str, is_required: bool = True) -> Field:
    """Return a field that holds a string."""
    return Field(name, key, "a string that is not empty", is_text, is_required)


def make_number(name: str, key: str, is_required: bool = False) -> Field:
    """Return a field that holds a number."""
    return Field(name, key, "a finite number", is_number, is_required)


def make_integer(name: str, key: str, is_required: bool = False) -> Field:
    """Return a field that holds an integer."""
    return Field(name, key, "an integer", is_integer, is_required)


ROUTE_FIELDS = (
    make_text("name", "name"),
    make_text("host", "host"),
    make_text("path_prefix", "pathPrefix"),
    make_text("kind", "kind"),
    make_number("timeout_ms", "timeoutMs", is_required=True),
    make_number("objective_ms", "targetLatencyMs"),
    make_integer("max_sends", "maxAttempts"),
    make_integer("priority", "priority"),
    make_number("min_coverage", "minPartShare"),
    make_integer("max_records", "maxResults"),
    Field("is_public", "public", "true or false", lambda value: isinstance(value, bool)),
)
SERVICE_FIELDS = (
    make_text("name", "name"),
    make_integer("max_connections", "maxConnections"),
    make_number("cold_requests_per_s", "coldPerS"),
)
ORGANISATION_FIELDS = (
    make_text("name", "name"),
    make_integer("priority", "priority"),
    make_number("rate_per_s", "ratePerS"),
    make_number("burst", "burstSize"),
)
LIMIT_FIELDS = (
    make_integer("header_bytes", "maxHeaderBytes", is_required=True),
    make_integer("body_bytes", "maxBodyBytes", is_required=True),
    make_number("header_timeout_ms", "headerTimeoutMs", is_required=True),
    make_number("idle_timeout_ms", "idleTimeoutMs", is_required=True),
)
KEYS = "apiKeys"
SINGLE, SPLIT, FAN_OUT = "service", "trafficSplit", "fanOutServices"


def read_draft_text(
    text: bytes, source: str
) -> tuple[Draft, list[Finding]] | Failure[DecodeReason]:
    """Read a configuration from JSON: an object as it is stored, or only its value."""
    try:
        body = decode_json(text)
    except (ValueError, RecursionError) as error:
        return make_failure(DecodeReason.MALFORMED, f"{source}: {error}")
    if isinstance(body, dict) and isinstance(body.get("spec"), dict):
        body = body["spec"]
    return read_draft(body, source)


def read_draft(body: object, source: str) -> tuple[Draft, list[Finding]] | Failure[DecodeReason]:
    """Read the value of a configuration, with all that is malformed in it."""
    if not isinstance(body, dict):
        return make_failure(DecodeReason.MALFORMED, f"{source}: not an object")
    findings: list[Finding] = []
    version = body.get("version")
    if not is_integer(version):
        findings.append(Finding("version", describe(version), "must be an integer"))
        version = None
    routes = [
        read_route(item, place, findings) for place, item in list_items(body, "routes", findings)
    ]
    services = [
        read_entry(item, place, SERVICE_FIELDS, findings)
        for place, item in list_items(body, "services", findings)
    ]
    organisations = [
        read_organisation(item, place, findings)
        for place, item in list_items(body, "tenants", findings, is_required=False)
    ]
    limits = read_entry(body.get("limits"), "limits", LIMIT_FIELDS, findings)
    draft = Draft(
        version=version,
        version_place="version",
        routes=routes,
        services=services,
        organisations=organisations,
        limits=limits,
    )
    return draft, findings


def list_items(
    body: Mapping[str, Any], key: str, findings: list[Finding], is_required: bool = True
) -> list[tuple[str, object]]:
    """Return the items of a list with their places."""
    items = body.get(key)
    if items is None and not is_required:
        return []
    if not isinstance(items, list):
        findings.append(Finding(key, describe(items), "must be a list"))
        return []
    return [(f"{key}[{index}]", item) for index, item in enumerate(items)]


def read_entry(
    item: object, place: str, fields: tuple[Field, ...], findings: list[Finding]
) -> Entry:
    """Read the fields of one entry."""
    places = {field.name: f"{place}.{field.key}" for field in fields}
    if not isinstance(item, dict):
        findings.append(Finding(place, describe(item), "must be an object"))
        return Entry(place, "", {}, places)
    values: dict[str, object] = {}
    for field in fields:
        value = item.get(field.key)
        if value is None and not field.is_required:
            continue
        if field.is_valid(value):
            values[field.name] = value
        else:
            limit = f"must be {field.expected}"
            findings.append(Finding(places[field.name], describe(value), limit))
    name = values.get("name")
    return Entry(place, name if isinstance(name, str) else "", values, places)


def read_route(item: object, place: str, findings: list[Finding]) -> Entry:
    """Read a route with the services that it names."""
    entry = read_entry(item, place, ROUTE_FIELDS, findings)
    if not isinstance(item, dict):
        return entry
    # As in `decode.py`, the first of these that is not empty counts.
    services: list[WeightedService] = []
    if item.get(FAN_OUT):
        for part_place, service in list_items(item, FAN_OUT, findings):
            services += read_service(service, f"{place}.{part_place}", findings)
        if item.get("maxResults") is None:
            limit = "must be an integer, since the route merges answers"
            findings.append(Finding(entry.places["max_records"], "none", limit))
    elif item.get(SPLIT):
        for part_place, part in list_items(item, SPLIT, findings):
            services += read_weighted_service(part, f"{place}.{part_place}", findings)
    else:
        services += read_service(item.get(SINGLE), f"{place}.{SINGLE}", findings)
    entry.values["services"] = services
    return entry


def read_service(service: object, place: str, findings: list[Finding]) -> list[WeightedService]:
    """Return a named service as a list, empty if it is malformed."""
    if isinstance(service, str) and service:
        return [WeightedService(place, service)]
    findings.append(Finding(place, describe(service), "must be the name of a service"))
    return []


def read_weighted_service(
    part: object, place: str, findings: list[Finding]
) -> list[WeightedService]:
    """Return a service with its weight as a list, empty if it is malformed."""
    if not isinstance(part, dict):
        findings.append(Finding(place, describe(part), "must be an object"))
        return []
    weight = part.get("weight")
    if isinstance(weight, bool) or not is_number(weight):
        findings.append(Finding(f"{place}.weight", describe(weight), "must be a finite number"))
        weight = None
    services = read_service(part.get("service"), f"{place}.service", findings)
    for service in services:
        service.weight = None if weight is None else float(weight)
    return services


def read_organisation(item: object, place: str, findings: list[Finding]) -> Entry:
    """Read a tenant; its keys as digests."""
    entry = read_entry(item, place, ORGANISATION_FIELDS, findings)
    entry.places = {**entry.places, "keys": f"{place}.{KEYS}"}
    if not isinstance(item, dict):
        return entry
    keys = item.get(KEYS)
    if not isinstance(keys, list):
        findings.append(Finding(entry.places["keys"], name_type(keys), "must be a list"))
        return entry
    digests = []
    for index, key in enumerate(keys):
        key_place = f"{entry.places['keys']}[{index}]"
        if not isinstance(key, str) or not is_sendable(key):
            limit = "must be a string of visible ASCII characters"
            findings.append(Finding(key_place, name_type(key), limit))
            continue
        digest = hashlib.sha256(key.encode()).digest()
        digests.append(KeyDigest(key_place, digest, len(key)))
    if digests or not keys:
        entry.values["keys"] = digests
    return entry


def is_sendable(key: str) -> bool:
    """Return whether a key can be sent in a header."""
    return bool(key) and key.isascii() and key.isprintable() and " " not in key


def describe(value: object) -> str:
    """Return a malformed value for a finding; of lists and objects only the type."""
    if value is None or isinstance(value, dict | list):
        return name_type(value)
    return show(value) if value != "" else "an empty string"


def name_type(value: object) -> str:
    """Return what a value is, without showing it."""
    match value:
        case None:
            return "none"
        case bool():
            return "true or false"
        case str():
            return "a string"
        case int() | float():
            return "a number"
        case list():
            return "a list"
        case _:
            return "an object"
