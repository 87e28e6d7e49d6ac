"""The `mark` command for the gateways on the users' platform."""

from __future__ import annotations

import asyncio

from ..errors import Failure
from ..gateway.marks import FAILURE_DOMAIN, TARGET, collect_marks, make_name
from ..gateway.model import StoredRecord, TargetEntry
from ..platform.decode import decode_target
from ..platform.entries import INSTANCES, TARGETS
from ..platform.objects import ObjectStore
from ..status import ExitStatus
from ..store import StoreFailure, StoreReason
from .definition import SetMark
from .environment import CommandEnvironment
from .gateways import GatewayReport, ask_instances, is_instance, read_settings
from .output import MS_PER_S, Outcome, format_seconds, make_error

POLL_INTERVAL_S = 0.2


async def set_gateway_mark(command: SetMark, environment: CommandEnvironment) -> Outcome:
    """Set or clear a mark in the store, and wait until all gateways have confirmed it."""
    settings = read_settings(command.gateway, environment)
    if isinstance(settings, Outcome):
        return settings
    if command.state == "returning":
        message = "gateways know no mark `returning`, since targets tell that they are cold; use"
        return make_error(ExitStatus.USAGE, "usage", f"{message} `clear`")
    store = ObjectStore(settings.store_url)
    started_s = environment.now_s()
    try:
        failure = await write_mark(store, command)
        if failure is not None:
            return describe_write_failure(failure, settings.store_url)
        reports, warnings, listed = await confirm_mark(store, command, environment, started_s)
    finally:
        await store.close()
    elapsed_ms = (environment.now_s() - started_s) * MS_PER_S
    return describe_mark(command, reports, warnings, listed, elapsed_ms)


async def write_mark(store: ObjectStore, command: SetMark) -> StoreFailure | None:
    """Write or delete the object of the mark; both may be repeated after a lost answer."""
    name = make_name(command.kind, command.name)
    if command.state == "clear":
        return await store.delete(INSTANCES, name)
    return await store.put(INSTANCES, name, {})


def describe_write_failure(failure: StoreFailure, url: str) -> Outcome:
    """Return the outcome of a write that failed, or whose answer was lost."""
    message = f"{url}: {failure.message}"
    if failure.reason is StoreReason.OUTCOME_UNKNOWN:
        message += "; the mark may have been written. Running the same command again is safe"
        return make_error(ExitStatus.OUTCOME_UNKNOWN, failure.reason.code, message)
    return make_error(ExitStatus.UNAVAILABLE, failure.reason.code, message)


async def confirm_mark(
    store: ObjectStore, command: SetMark, environment: CommandEnvironment, started_s: float
) -> tuple[list[GatewayReport], list[str], bool]:
    """Ask the gateways until all have put the mark in force, or time is up.

    Return the reports of those that have not, warnings, and whether the store could be read.
    """
    listed = await store.list_objects(INSTANCES)
    if isinstance(listed, StoreFailure):
        return [], [], False
    warnings = await find_warnings(store, command, listed.records)
    waiting = [record for record in listed.records if is_instance(record)]
    while True:
        reports = await ask_instances(waiting, version=None)
        behind = [report for report in reports if not has_confirmed(report, command)]
        elapsed_s = environment.now_s() - started_s
        if not behind or elapsed_s >= command.options.timeout:
            return behind, warnings, True
        names = {report.instance for report in behind}
        waiting = [record for record in waiting if record.name in names]
        await asyncio.sleep(POLL_INTERVAL_S)


def has_confirmed(report: GatewayReport, command: SetMark) -> bool:
    """Return whether the state of an instance is the one that the command asks for."""
    if report.status is None:
        return False
    is_marked = f"{command.kind} {command.name}" in report.status.marks
    return is_marked == (command.state == "leaving")


async def find_warnings(
    store: ObjectStore, command: SetMark, records: list[StoredRecord]
) -> list[str]:
    """Return what an operator should know: an unknown name, and services without targets."""
    listed = await store.list_objects(TARGETS)
    if isinstance(listed, StoreFailure):
        return [f"the targets could not be read: {listed.message}"]
    decoded = [decode_target(record) for record in listed.records]
    entries: list[TargetEntry] = [entry for entry in decoded if not isinstance(entry, Failure)]
    names = {
        TARGET: {entry.id for entry in entries},
        FAILURE_DOMAIN: {entry.failure_domain for entry in entries},
    }
    warnings = []
    if command.name not in names[command.kind]:
        warnings.append(f"no target has this {command.kind} now")
    marks = collect_marks(record.name for record in records)
    remaining = {
        entry.service
        for entry in entries
        if entry.id not in marks.targets
        and entry.failure_domain not in marks.failure_domains
        and not entry.is_draining
    }
    warnings += [
        f"no target of {service} is left in service"
        for service in sorted({entry.service for entry in entries} - remaining)
    ]
    return warnings


def describe_mark(
    command: SetMark,
    behind: list[GatewayReport],
    warnings: list[str],
    is_listed: bool,
    elapsed_ms: float,
) -> Outcome:
    """Return the outcome of a mark that is in the store."""
    action = f"{command.kind} {command.name}: {command.state}"
    data = {
        "kind": command.kind,
        "name": command.name,
        "state": command.state,
        "warnings": warnings,
        "unconfirmed": [report.instance for report in behind],
    }
    lines = [f"warning: {warning}" for warning in warnings]
    if not is_listed:
        lines.append(f"{action}: stored, but the instances could not be listed")
    elif behind:
        names = ", ".join(report.instance for report in behind)
        lines.append(f"{action}: stored, not yet confirmed by {names}")
    else:
        lines.append(f"{action}: in force everywhere after {format_seconds(elapsed_ms)}")
    is_confirmed = is_listed and not behind
    status = ExitStatus.SUCCESS if is_confirmed else ExitStatus.NOT_YET_ACCEPTED
    return Outcome(status, "\n".join(lines), data)
