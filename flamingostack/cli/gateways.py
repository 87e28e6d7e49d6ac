"""The `status` command for the gateways on the users' platform."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence

import aiohttp
import msgspec

from ..errors import Failure
from ..gateway.marks import Marks, collect_marks, is_mark
from ..gateway.model import InstanceSettings, StoredRecord
from ..gateway.status import STATUS_PATH, InstanceStatus, TenantStatus
from ..platform.decode import decode_configuration
from ..platform.entries import CONFIGURATIONS, INSTANCES
from ..platform.objects import ObjectStore
from ..status import ExitStatus
from ..store import StoreFailure
from .addresses import is_host_and_port
from .definition import ShowStatus
from .environment import CommandEnvironment
from .files import get_display_name, read_file
from .http import get_json, open_session
from .output import Outcome, format_table, make_error
from .presets import parse_gateway_settings

# An instance answers within a round trip of 8 ms; one that is frozen or cut off delays the command.
INSTANCE_TIMEOUT_S = 2.0
# Readers renew their watch each 8 s; see `follower.py` for the age that followers accept.
MAX_CONFIRMED_AGE_S = 15.0
# In a larger fleet the table shows only this many; those with a problem come first.
MAX_INSTANCES_SHOWN = 60
# Tenants in the table; those with the most refused requests come first.
MAX_TENANTS_SHOWN = 30


class GatewayReport(msgspec.Struct):
    """What one instance answered; `status` is None and there is a problem if it did not."""

    instance: str
    failure_domain: str
    address: str
    status: InstanceStatus | None
    problems: list[str]


async def show_gateways(command: ShowStatus, environment: CommandEnvironment) -> Outcome:
    """Ask all gateways that the store knows for their status, and name those that lag behind."""
    settings = read_settings(command.gateway, environment)
    if isinstance(settings, Outcome):
        return settings
    store = ObjectStore(settings.store_url)
    try:
        async with asyncio.timeout(command.options.timeout):
            listed = await list_fleet(store)
            if isinstance(listed, StoreFailure):
                message = f"{settings.store_url}: {listed.message}"
                return make_error(ExitStatus.UNAVAILABLE, listed.reason.code, message)
            version, records = listed
            marks = collect_marks(record.name for record in records)
            reports = await ask_instances([item for item in records if is_instance(item)], version)
    except TimeoutError:
        message = f"{settings.store_url}: no answer within {command.options.timeout:g} s"
        return make_error(ExitStatus.UNAVAILABLE, "store_unavailable", message)
    finally:
        await store.close()
    return describe_reports(version, marks, reports)


def read_settings(file: str, environment: CommandEnvironment) -> InstanceSettings | Outcome:
    """Read a gateway's settings file, or return the error."""
    text = read_file(file, environment)
    if not isinstance(text, Failure):
        text = parse_gateway_settings(text, get_display_name(file))
    if isinstance(text, Failure):
        return make_error(ExitStatus.INVALID_INPUT, text.reason.code, text.message)
    return text


async def list_fleet(
    store: ObjectStore,
) -> tuple[int | None, list[StoredRecord]] | StoreFailure:
    """Return the newest stored version, and the entries of the instances with the marks.

    The version is None if there is no configuration, or if the newest cannot be decoded.
    """
    configurations = await store.list_objects(CONFIGURATIONS)
    if isinstance(configurations, StoreFailure):
        return configurations
    instances = await store.list_objects(INSTANCES)
    if isinstance(instances, StoreFailure):
        return instances
    decoded = [decode_configuration(record) for record in configurations.records]
    versions = [item.version for item in decoded if not isinstance(item, Failure)]
    return max(versions, default=None), instances.records


def is_instance(record: StoredRecord) -> bool:
    """Return whether an object is the entry of an instance, and not an operator's mark."""
    return not is_mark(record.name)


async def ask_instances(
    records: Sequence[StoredRecord], version: int | None
) -> list[GatewayReport]:
    """Ask all instances at the same time, and compare their answers with the stored version."""
    async with open_session() as session:
        reports = await asyncio.gather(*(ask_instance(session, item, version) for item in records))
    return sorted(reports, key=lambda item: (item.failure_domain, item.instance))


async def ask_instance(
    session: aiohttp.ClientSession, record: StoredRecord, version: int | None
) -> GatewayReport:
    """Ask the instance of an entry for its status."""
    entry: Mapping[str, object] = record.value if isinstance(record.value, dict) else {}
    address = str(entry.get("address", ""))
    report = GatewayReport(record.name, str(entry.get("failure_domain", "")), address, None, [])
    if not is_host_and_port(address):
        report.problems.append(f"no status: its entry has the address {address!r}")
        return report
    response = await get_json(session, address, STATUS_PATH, INSTANCE_TIMEOUT_S)
    if isinstance(response, Failure):
        report.problems.append(f"no status: {response.message}")
        return report
    try:
        report.status = msgspec.convert(response.body, InstanceStatus)
    except msgspec.ValidationError as error:
        report.problems.append(f"no status: {address}: {error}")
        return report
    report.problems = find_problems(report.status, record.name, version)
    return report


def find_problems(status: InstanceStatus, expected: str, version: int | None) -> list[str]:
    """Return what is wrong with an instance, in words for operators."""
    problems = []
    if status.instance != expected:
        problems.append(f"the address is that of {status.instance}")
    if status.version is None:
        problems.append("no configuration")
    elif version is not None and status.version < version:
        problems.append(f"version {status.version}, not yet {version}")
    if not status.is_ready:
        problems.append("not ready")
    if status.phase != "serving":
        problems.append("stopping")
    if status.is_store_lost:
        problems.append("has lost the store")
    age_s = status.confirmed_age_s
    if age_s is None or age_s > MAX_CONFIRMED_AGE_S:
        problems.append("never confirmed" if age_s is None else f"confirmed {age_s:.0f} s ago")
    return problems


def describe_reports(
    version: int | None, marks: Marks, reports: Sequence[GatewayReport]
) -> Outcome:
    """Return the outcome: success only if all instances have confirmed the newest version."""
    faulty = [report for report in reports if report.problems]
    status = ExitStatus.NOT_YET_ACCEPTED if faulty else ExitStatus.SUCCESS
    shown = faulty + [report for report in reports if not report.problems]
    shown = shown[:MAX_INSTANCES_SHOWN]
    lines = [f"configuration: version {version}", *format_domains(reports)]
    lines += [f"leaving: {name}" for name in marks.list_names()]
    lines += format_rollouts(reports) + [""]
    lines += format_table(
        ("instance", "domain", "version", "state from", "age", "targets", "paused", "problems"),
        [format_report(report) for report in shown],
    )
    if len(shown) < len(reports):
        lines.append(f"... and {len(reports) - len(shown)} more")
    tenants = sum_tenants(reports)
    lines += format_tenants(tenants)
    data = {
        "version": version,
        "leaving": marks.list_names(),
        "instances": [msgspec.to_builtins(report) for report in reports],
        "tenants": [msgspec.to_builtins(tenant) for tenant in tenants],
    }
    return Outcome(status, "\n".join(lines), data)


def sum_tenants(reports: Sequence[GatewayReport]) -> list[TenantStatus]:
    """Return the tenants with their requests at all instances, most refused requests first."""
    sums_by_name: dict[str, TenantStatus] = {}
    for report in reports:
        for tenant in report.status.tenants if report.status is not None else ():
            total = sums_by_name.setdefault(tenant.name, TenantStatus(name=tenant.name))
            total.asked += tenant.asked
            total.served += tenant.served
            total.used += tenant.used
            total.allotment += tenant.allotment
            total.limit = max(total.limit, tenant.limit)
            total.owners = tenant.owners or total.owners
            for reason, count in tenant.refused_by_reason.items():
                by_reason = total.refused_by_reason
                total.refused_by_reason = {**by_reason, reason: by_reason.get(reason, 0) + count}
    tenants = list(sums_by_name.values())
    return sorted(tenants, key=lambda item: (item.served - item.asked, -item.asked, item.name))


def format_tenants(tenants: Sequence[TenantStatus]) -> list[str]:
    """Return the table of tenants; nothing without any."""
    if not tenants:
        return []
    rows = [
        (
            tenant.name,
            tenant.asked,
            tenant.served,
            ",".join(f"{reason}:{n}" for reason, n in sorted(tenant.refused_by_reason.items()))
            or "-",
            f"{tenant.used} of {tenant.limit}" if tenant.limit else "no limit",
            ",".join(tenant.owners) or "-",
        )
        for tenant in tenants[:MAX_TENANTS_SHOWN]
    ]
    lines = ["", *format_table(("tenant", "asked", "served", "refused", "in use", "owners"), rows)]
    if len(tenants) > len(rows):
        lines.append(f"... and {len(tenants) - len(rows)} more")
    return lines


def format_domains(reports: Sequence[GatewayReport]) -> list[str]:
    """Return a line for each failure domain."""
    lines = []
    for domain in sorted({report.failure_domain for report in reports}):
        members = [report for report in reports if report.failure_domain == domain]
        healthy = sum(not report.problems for report in members)
        readers = [
            report.instance
            for report in members
            if report.status is not None and not report.status.sources
        ]
        lines.append(
            f"failure domain {domain}: {healthy} of {len(members)} instances without a problem;"
            f" {len(readers)} watch the store"
        )
    return lines


def format_rollouts(reports: Sequence[GatewayReport]) -> list[str]:
    """Return the lines on the orders of roll-outs that instances know, with the evidence."""
    rollouts = [
        (report.instance, rollout)
        for report in reports
        if report.status is not None
        for rollout in report.status.rollouts
    ]
    lines = []
    for service, version in sorted({(item.service, item.version) for _, item in rollouts}):
        known = [
            (instance, item)
            for instance, item in rollouts
            if (item.service, item.version) == (service, version)
        ]
        states = ", ".join(sorted({item.state for _, item in known}))
        shares = sorted(item.share for _, item in known)
        lines.append(
            f"rollout of {service} to {version}: {states}; share {shares[0]:g} to {shares[-1]:g}"
            f" at {len(known)} instances"
        )
        for instance, item in known:
            if item.phase:
                reason = f"; {item.reason}" if item.reason else ""
                lines.append(
                    f"  coordinator {instance}: {item.phase}, {item.fleet_exposed} of"
                    f" {item.fleet_requests} requests exposed; {item.evidence}{reason}"
                )
    return lines


def format_report(report: GatewayReport) -> tuple[object, ...]:
    """Return the cells of an instance."""
    status = report.status
    problems = "; ".join(report.problems) or "-"
    if status is None:
        return report.instance, report.failure_domain, "-", "-", "-", "-", "-", problems
    age = "-" if status.confirmed_age_s is None else f"{status.confirmed_age_s:.1f} s"
    sources = ",".join(status.sources) or "store"
    return (
        report.instance,
        report.failure_domain,
        "-" if status.version is None else status.version,
        sources,
        age,
        status.targets,
        status.paused_targets,
        problems,
    )
