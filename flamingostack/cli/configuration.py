"""The `config check` command: reviews a configuration of gateways before it is stored."""

from __future__ import annotations

import asyncio

from ..errors import Failure
from ..gateway.configuration_review import Draft, Finding, compare, review
from ..platform.entries import CONFIGURATION_NAME, CONFIGURATIONS
from ..platform.objects import ObjectStore
from ..platform.review import read_draft, read_draft_text
from ..status import ExitStatus
from ..store import StoreFailure
from .definition import CheckConfiguration
from .environment import CommandEnvironment
from .files import get_display_name, read_file
from .gateways import read_settings
from .output import Outcome, make_error


async def check_configuration(
    command: CheckConfiguration, environment: CommandEnvironment
) -> Outcome:
    """Report all errors of a configuration, and what it changes in the one in force."""
    if command.against and command.gateway:
        message = "--against and --gateway exclude each other"
        return make_error(ExitStatus.USAGE, "usage", message)
    read = read_draft_file(command.file, environment)
    if isinstance(read, Outcome):
        return read
    draft, findings = read
    in_force = None
    if command.against:
        read = read_draft_file(command.against, environment)
        if isinstance(read, Outcome):
            return read
        in_force, _ = read
    elif command.gateway:
        in_force = await fetch_in_force(command, environment)
        if isinstance(in_force, Outcome):
            return in_force
    findings += review(draft, in_force)
    changes = None if in_force is None else compare(in_force, draft)
    return describe(get_display_name(command.file), findings, changes)


def read_draft_file(
    file: str, environment: CommandEnvironment
) -> tuple[Draft, list[Finding]] | Outcome:
    """Read a configuration file, or return the error."""
    text = read_file(file, environment)
    result = text if isinstance(text, Failure) else read_draft_text(text, get_display_name(file))
    if isinstance(result, Failure):
        return make_error(ExitStatus.INVALID_INPUT, result.reason.code, result.message)
    return result


async def fetch_in_force(
    command: CheckConfiguration, environment: CommandEnvironment
) -> Draft | None | Outcome:
    """Return the stored configuration, None if there is none."""
    settings = read_settings(command.gateway, environment)
    if isinstance(settings, Outcome):
        return settings
    store = ObjectStore(settings.store_url)
    try:
        async with asyncio.timeout(command.options.timeout):
            listed = await store.list_objects(CONFIGURATIONS)
    except TimeoutError:
        message = f"{settings.store_url}: no answer within {command.options.timeout:g} s"
        return make_error(ExitStatus.UNAVAILABLE, "store_unavailable", message)
    finally:
        await store.close()
    if isinstance(listed, StoreFailure):
        message = f"{settings.store_url}: {listed.message}"
        return make_error(ExitStatus.UNAVAILABLE, listed.reason.code, message)
    for record in listed.records:
        if record.name == CONFIGURATION_NAME:
            result = read_draft(record.value, f"{settings.store_url}: {record.name}")
            if isinstance(result, Failure):
                return make_error(ExitStatus.ERROR, result.reason.code, result.message)
            return result[0]
    return None


def describe(file: str, findings: list[Finding], changes: list[str] | None) -> Outcome:
    """Return the outcome: invalid input if there is any error."""
    change_lines = []
    if changes is not None:
        change_lines = ["", "changes:", *(f"  {line}" for line in changes or ["none"])]
    data = {
        "file": file,
        "errors": [
            {"place": item.place, "value": item.value, "limit": item.limit} for item in findings
        ],
        "changes": changes,
    }
    if not findings:
        return Outcome(ExitStatus.SUCCESS, "\n".join([f"{file}: valid", *change_lines]), data)
    lines = [f"{file}: {len(findings)} errors", *(f"  {item.describe()}" for item in findings)]
    message = "\n".join(lines + change_lines)
    return make_error(ExitStatus.INVALID_INPUT, "configuration_invalid", message, **data)
