"""Review of a configuration before operators put it into force; performs no I/O.

It finds what decodes but cannot be meant: routes that never match, limits that contradict each
other. Keys of organisations are known as digests only, so that none can be shown.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence

# Of a value that a finding shows.
MAX_SHOWN_CHARACTERS = 60
# "Authorization: Bearer " and the line break.
KEY_HEADER_BYTES = 24


class Finding:
    """One error: the place in the file, the value there, and the limit that it does not keep."""

    __slots__ = ("place", "value", "limit")

    def __init__(self, place: str, value: object, limit: str) -> None:
        self.place = place
        self.value = value
        self.limit = limit

    def describe(self) -> str:
        """Return the finding as one line."""
        return f"{self.place}: {self.value}: {self.limit}"


class Entry:
    """A route, service, organisation or the limits: its valid values by our name of the field.

    `places` holds where each field is, also if it is missing or malformed.
    """

    __slots__ = ("place", "name", "values", "places")

    def __init__(
        self, place: str, name: str, values: dict[str, object], places: Mapping[str, str]
    ) -> None:
        self.place = place
        self.name = name
        self.values = values
        self.places = places

    def number(self, field: str) -> float | None:
        """Return a number; None if it is missing or malformed."""
        value = self.values.get(field)
        return value if isinstance(value, int | float) else None

    def text(self, field: str) -> str:
        """Return a string; empty if it is missing or malformed."""
        value = self.values.get(field)
        return value if isinstance(value, str) else ""


class KeyDigest:
    """A key of an organisation: where it is, its digest and its length."""

    __slots__ = ("place", "digest", "size")

    def __init__(self, place: str, digest: bytes, size: int) -> None:
        self.place = place
        self.digest = digest
        self.size = size


class WeightedService:
    """A service that a route names; the weight is None unless the route divides by weight."""

    __slots__ = ("place", "service", "weight")

    def __init__(self, place: str, service: str, weight: float | None = None) -> None:
        self.place = place
        self.service = service
        self.weight = weight


class Draft:
    """A configuration as read, with what is malformed in it."""

    __slots__ = ("version", "version_place", "routes", "services", "organisations", "limits")

    def __init__(
        self,
        *,
        version: int | None,
        version_place: str,
        routes: list[Entry],
        services: list[Entry],
        organisations: list[Entry],
        limits: Entry,
    ) -> None:
        self.version = version
        self.version_place = version_place
        # The field `services` of a route holds all that it names, as `WeightedService`.
        self.routes = routes
        self.services = services
        # The field `keys` holds the keys, as `KeyDigest`.
        self.organisations = organisations
        self.limits = limits


def review(draft: Draft, in_force: Draft | None = None) -> list[Finding]:
    """Return all that is wrong with a configuration, in the order of the file's parts."""
    findings = check_version(draft, in_force)
    findings += check_unique(draft.routes, "route")
    findings += check_hidden_routes(draft.routes)
    findings += check_services(draft)
    for route in draft.routes:
        findings += check_route(route)
    for service in draft.services:
        findings += check_range(service, "max_connections", 1)
        findings += check_range(service, "cold_requests_per_s", 0)
    findings += check_unique(draft.services, "service")
    findings += check_unique(draft.organisations, "tenant")
    for organisation in draft.organisations:
        findings += check_quota(organisation)
    findings += check_keys(draft)
    return findings + check_limits(draft)


def check_version(draft: Draft, in_force: Draft | None) -> list[Finding]:
    """Check that gateways would take the version for newer than the one in force."""
    if in_force is None or in_force.version is None or draft.version is None:
        return []
    if draft.version > in_force.version:
        return []
    limit = f"must be above {in_force.version}, the version in force, or it is ignored"
    return [Finding(draft.version_place, draft.version, limit)]


def check_unique(entries: Iterable[Entry], noun: str) -> list[Finding]:
    """Check that no two entries have the same name."""
    findings = []
    places_by_name: dict[str, str] = {}
    for entry in entries:
        if not entry.name:
            continue
        first = places_by_name.setdefault(entry.name, entry.place)
        if first != entry.place:
            limit = f"the name of another {noun}, {first}"
            findings.append(Finding(entry.places["name"], show(entry.name), limit))
    return findings


def check_hidden_routes(routes: Iterable[Entry]) -> list[Finding]:
    """Check that no earlier route of the same host has the same prefix."""
    findings = []
    first_by_match: dict[tuple[str, str], Entry] = {}
    for route in routes:
        if "host" not in route.values or "path_prefix" not in route.values:
            continue
        prefix = route.text("path_prefix")
        first = first_by_match.setdefault((route.text("host").lower(), prefix), route)
        if first is not route:
            limit = (
                f"never matches, {first.place} ({show(first.name)}) has the same host and prefix"
            )
            findings.append(Finding(route.places["path_prefix"], show(prefix), limit))
        elif not prefix.startswith("/"):
            limit = "never matches, paths begin with /"
            findings.append(Finding(route.places["path_prefix"], show(prefix), limit))
    return findings


def check_services(draft: Draft) -> list[Finding]:
    """Check that routes name only known services, and that each service is named."""
    findings = []
    known = {service.name for service in draft.services}
    used = set()
    for route in draft.routes:
        for item in named_services(route):
            used.add(item.service)
            if item.service not in known:
                findings.append(Finding(item.place, show(item.service), "no such service"))
    for service in draft.services:
        if service.name and service.name not in used:
            findings.append(Finding(service.place, show(service.name), "no route uses the service"))
    return findings


def check_route(route: Entry) -> list[Finding]:
    """Check the limits of a route and the weights of its services."""
    findings = check_range(route, "timeout_ms", 0, is_exclusive=True)
    findings += check_range(route, "objective_ms", 0)
    findings += check_range(route, "max_sends", 0)
    findings += check_range(route, "priority", 0)
    findings += check_range(route, "max_records", 1)
    timeout_ms, objective_ms = route.number("timeout_ms"), route.number("objective_ms")
    if timeout_ms is not None and objective_ms is not None and 0 < timeout_ms < objective_ms:
        limit = f"must be at least the latency objective, {show(objective_ms)} ms"
        findings.append(Finding(route.places["timeout_ms"], show(timeout_ms), limit))
    coverage = route.number("min_coverage")
    if coverage is not None and not 0 <= coverage <= 1:
        limit = "must be from 0 to 1, or no answer reaches it"
        findings.append(Finding(route.places["min_coverage"], show(coverage), limit))
    return findings + check_weights(route)


def check_weights(route: Entry) -> list[Finding]:
    """Check that requests can be divided by the weights, and each service is named once."""
    findings = []
    services = named_services(route)
    first_by_service: dict[str, str] = {}
    for item in services:
        first = first_by_service.setdefault(item.service, item.place)
        if first != item.place:
            limit = f"named before, at {first}"
            findings.append(Finding(item.place, show(item.service), limit))
        if item.weight is not None and item.weight < 0:
            findings.append(Finding(item.place, show(item.weight), "a weight must be at least 0"))
    weights = [item.weight for item in services if item.weight is not None]
    if weights and sum(max(weight, 0) for weight in weights) <= 0:
        limit = "all weights are 0, so they cannot be met"
        findings.append(Finding(route.place, show(route.name), limit))
    return findings


def check_quota(organisation: Entry) -> list[Finding]:
    """Check rate, burst and priority of an organisation; a rate of 0 means no limit."""
    findings = check_range(organisation, "rate_per_s", 0)
    findings += check_range(organisation, "burst", 0)
    findings += check_range(organisation, "priority", 0)
    rate, burst = organisation.number("rate_per_s"), organisation.number("burst")
    if rate is not None and burst is not None and 0 <= burst < rate:
        limit = f"must be at least the rate, {show(rate)} per second"
        findings.append(Finding(organisation.places["burst"], show(burst), limit))
    return findings


def check_keys(draft: Draft) -> list[Finding]:
    """Check that each organisation has keys, and each key only one; never show a key."""
    findings = []
    header_bytes = draft.limits.number("header_bytes")
    owners_by_digest: dict[bytes, tuple[Entry, KeyDigest]] = {}
    for organisation in draft.organisations:
        keys = list_keys(organisation)
        if not keys and "keys" in organisation.values:
            limit = "without a key no request can be of this tenant"
            findings.append(Finding(organisation.places["keys"], "0 keys", limit))
        for key in keys:
            owner, first = owners_by_digest.setdefault(key.digest, (organisation, key))
            if first is not key:
                limit = f"the same key as {first.place} of tenant {show(owner.name)}"
                findings.append(Finding(key.place, "a key", limit))
            if header_bytes is not None and key.size + KEY_HEADER_BYTES > header_bytes:
                limit = f"does not fit into the header limit of {show(header_bytes)} bytes"
                findings.append(Finding(key.place, f"a key of {key.size} bytes", limit))
    return findings


def check_limits(draft: Draft) -> list[Finding]:
    """Check the limits on callers against each other and against the routes."""
    limits = draft.limits
    findings = check_range(limits, "header_bytes", 0, is_exclusive=True)
    findings += check_range(limits, "body_bytes", 0)
    findings += check_range(limits, "header_timeout_ms", 0, is_exclusive=True)
    findings += check_range(limits, "idle_timeout_ms", 0, is_exclusive=True)
    header_ms, idle_ms = limits.number("header_timeout_ms"), limits.number("idle_timeout_ms")
    if header_ms is not None and idle_ms is not None and 0 < idle_ms < header_ms:
        limit = f"must be at least the time limit of a header, {show(header_ms)} ms"
        findings.append(Finding(limits.places["idle_timeout_ms"], show(idle_ms), limit))
    header_bytes = limits.number("header_bytes")
    for route in draft.routes:
        size = len(route.text("host").encode()) + len(route.text("path_prefix").encode())
        if header_bytes is not None and 0 < header_bytes < size:
            limit = f"host and prefix exceed the header limit of {show(header_bytes)} bytes"
            findings.append(Finding(route.place, f"{size} bytes", limit))
    return findings


def check_range(
    entry: Entry, field: str, lowest: float, is_exclusive: bool = False
) -> list[Finding]:
    """Check that a number, if there is one, is not too low."""
    value = entry.number(field)
    if value is None or value > lowest or (value == lowest and not is_exclusive):
        return []
    limit = f"must be {'above' if is_exclusive else 'at least'} {lowest}"
    return [Finding(entry.places[field], show(value), limit)]


def named_services(route: Entry) -> list[WeightedService]:
    """Return the services that a route names."""
    services = route.values.get("services", [])
    return services if isinstance(services, list) else []


def list_keys(organisation: Entry) -> list[KeyDigest]:
    """Return the keys of an organisation."""
    keys = organisation.values.get("keys", [])
    return keys if isinstance(keys, list) else []


def compare(before: Draft, after: Draft) -> list[str]:
    """Return what changes, one line for each route, service, tenant and limit."""
    lines = []
    if before.version != after.version:
        lines.append(f"version: {before.version} -> {after.version}")
    lines += compare_entries("route", before.routes, after.routes)
    lines += compare_entries("service", before.services, after.services)
    lines += compare_entries("tenant", before.organisations, after.organisations)
    changes = compare_values(before.limits, after.limits)
    return lines + [f"limits: {change}" for change in changes]


def compare_entries(noun: str, before: Sequence[Entry], after: Sequence[Entry]) -> list[str]:
    """Return the entries that are added, removed or changed, by name."""
    before_by_name = {entry.name: entry for entry in before}
    after_by_name = {entry.name: entry for entry in after}
    lines = [
        f"{noun} {show(name)}: removed" for name in before_by_name if name not in after_by_name
    ]
    for name, entry in after_by_name.items():
        known = before_by_name.get(name)
        if known is None:
            lines.append(f"{noun} {show(name)}: added")
        else:
            lines += [f"{noun} {show(name)}: {change}" for change in compare_values(known, entry)]
    return lines


def compare_values(before: Entry, after: Entry) -> list[str]:
    """Return the fields that differ; of keys only how many are added and removed."""
    changes = []
    for field in sorted(before.values.keys() | after.values.keys()):
        old, new = before.values.get(field), after.values.get(field)
        if field == "keys":
            old_keys = {key.digest for key in list_keys(before)}
            new_keys = {key.digest for key in list_keys(after)}
            if old_keys != new_keys:
                added, removed = len(new_keys - old_keys), len(old_keys - new_keys)
                changes.append(f"{added} keys added, {removed} removed, {len(new_keys)} now")
            continue
        if field == "services":
            old, new = describe_services(before), describe_services(after)
        if old != new:
            changes.append(f"{field}: {show(old)} -> {show(new)}")
    return changes


def describe_services(route: Entry) -> str:
    """Return the services that a route names, with their weights."""
    return ", ".join(
        item.service if item.weight is None else f"{item.service} {item.weight:g}"
        for item in named_services(route)
    )


def show(value: object) -> str:
    """Return a value for a line of output, bounded and without control characters."""
    if value is None:
        return "none"
    if isinstance(value, float) and math.isfinite(value):
        return f"{value:g}"
    text = str(value) if not isinstance(value, str) or value.isprintable() else repr(value)
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[:MAX_SHOWN_CHARACTERS] + "..."
    return text
