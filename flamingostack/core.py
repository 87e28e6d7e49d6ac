"""Entry point of the operators' command line: runs one command and returns its exit status."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import sys
from collections.abc import Sequence

from cyclopts import CycloptsError

from .cli.addresses import find_bad_address
from .cli.changes import make_change
from .cli.client import ControlClient
from .cli.configuration import check_configuration
from .cli.definition import (
    ChangeOptions,
    CheckConfiguration,
    CheckPreset,
    CheckSettings,
    Command,
    ExplainRequest,
    ListPresets,
    PutPreset,
    SendQuery,
    SetMark,
    ShowPreset,
    ShowStatus,
    UsePreset,
    WriteReport,
    make_app,
)
from .cli.environment import CommandEnvironment, make_command_environment
from .cli.fleet import show_status
from .cli.gateways import show_gateways
from .cli.logs import explain_from_logs
from .cli.marks import set_gateway_mark
from .cli.output import Outcome, make_error, write_outcome
from .cli.presets import check_preset, check_settings, list_presets, show_preset
from .cli.queries import send_gateway_query
from .cli.report import write_report
from .cli.requests import explain_request, send_query
from .status import ExitStatus

CONTROL_VARIABLE = "FLAMINGOSTACK_CONTROL"


def main(args: Sequence[str], environment: CommandEnvironment) -> ExitStatus:
    """Run one command and return its exit status."""
    command = parse(args, environment)
    if isinstance(command, ExitStatus):
        return command
    command = complete_command(command, environment)
    try:
        outcome = check_addresses(command) or asyncio.run(execute(command, environment))
    except KeyboardInterrupt:
        outcome = describe_interrupt(command)
    write_outcome(outcome, command.options.json, environment)
    return outcome.status


def parse(args: Sequence[str], environment: CommandEnvironment) -> Command | ExitStatus:
    """Parse the arguments to a command; an exit status if help was printed or they are invalid."""
    try:
        # cyclopts prints help to the standard output of the process, not to a given stream.
        with contextlib.redirect_stdout(environment.stdout):
            command = make_app()(
                list(args),
                exit_on_error=False,
                print_error=False,
                result_action="return_value",
            )
    except CycloptsError as error:
        print(f"usage: {error}", file=environment.stderr)
        print("see `flamingostack --help`", file=environment.stderr)
        return ExitStatus.USAGE
    return ExitStatus.SUCCESS if command is None else command


def complete_command(command: Command, environment: CommandEnvironment) -> Command:
    """Fill in missing control addresses from the environment, and a missing change id.

    The id is made once for each command, so that all its attempts send the same id. A mark of
    gateways has none.
    """
    if not command.options.control:
        variable = environment.variables.get(CONTROL_VARIABLE, "")
        control = tuple(variable.replace(",", " ").split())
        options = dataclasses.replace(command.options, control=control)
        command = dataclasses.replace(command, options=options)
    is_gateway_mark = isinstance(command, SetMark) and command.gateway
    is_change = isinstance(command, PutPreset | UsePreset | SetMark) and not is_gateway_mark
    if is_change and command.change.change_id is None:
        change = dataclasses.replace(command.change, change_id=environment.make_id())
        command = dataclasses.replace(command, change=change)
    return command


def check_addresses(command: Command) -> Outcome | None:
    """Return an error if a required address is missing or an address is invalid."""
    addresses = list(command.options.control)
    needs_control = True
    match command:
        case CheckPreset() | CheckSettings() | CheckConfiguration():
            return None
        case WriteReport(logs=logs):
            return None if logs else make_error(ExitStatus.USAGE, "usage", "name a log, or -")
        case ExplainRequest(logs=logs) if logs:
            return None
        case SetMark(gateway=gateway, change=change) if gateway:
            return check_gateway_change(change)
        case ShowStatus(gateway=gateway) if gateway:
            return None
        case SendQuery(gateway=gateway, url=url) if gateway or url:
            return check_gateway_query(command)
        case SendQuery(entry=entry) if entry is not None:
            addresses.append(entry)
            needs_control = False
        case ExplainRequest(entries=entries, dispatch_status=dispatch_status):
            addresses += [*entries, *dispatch_status]
            needs_control = not entries
    bad = find_bad_address(addresses)
    if bad:
        return make_error(ExitStatus.USAGE, "usage", f"{bad!r} is not HOST:PORT")
    if needs_control and not command.options.control:
        message = f"no control address; use --control HOST:PORT or set {CONTROL_VARIABLE}"
        return make_error(ExitStatus.USAGE, "usage", message)
    return None


def check_gateway_change(change: ChangeOptions) -> Outcome | None:
    """Return an error for options that a change by --gateway would not heed."""
    if change.change_id is None and change.expect_version is None:
        return None
    message = "--change-id and --expect-version have no meaning with --gateway"
    return make_error(ExitStatus.USAGE, "usage", message)


def check_gateway_query(command: SendQuery) -> Outcome | None:
    """Return an error unless a query to a gateway has just the options that it heeds."""
    if not command.gateway or not command.url:
        return make_error(ExitStatus.USAGE, "usage", "--gateway and --url go together")
    others = [f"--{key.replace('_', '-')}" for key in command.option_values if key != "deadline_ms"]
    if command.body is not None:
        others.insert(0, "a body")
    if command.entry is not None:
        others.append("--entry")
    if not others:
        return None
    message = f"{', '.join(others)}: no meaning with --gateway"
    return make_error(ExitStatus.USAGE, "usage", message)


async def execute(command: Command, environment: CommandEnvironment) -> Outcome:
    """Run a command whose options are complete and whose addresses are valid."""
    client = ControlClient(
        addresses=dict.fromkeys(command.options.control),
        now_s=environment.now_s,
        timeout_s=command.options.timeout,
    )
    match command:
        case ListPresets():
            return await list_presets(client)
        case ShowPreset():
            return await show_preset(command, client)
        case CheckPreset():
            return check_preset(command, environment)
        case CheckSettings():
            return check_settings(command, environment)
        case CheckConfiguration():
            return await check_configuration(command, environment)
        case SetMark(gateway=gateway) if gateway:
            return await set_gateway_mark(command, environment)
        case PutPreset() | UsePreset() | SetMark():
            return await make_change(command, client, environment)
        case ShowStatus(gateway=gateway) if gateway:
            return await show_gateways(command, environment)
        case ShowStatus():
            return await show_status(command, client)
        case SendQuery(gateway=gateway) if gateway:
            return await send_gateway_query(command, environment)
        case SendQuery():
            return await send_query(command, client, environment)
        case ExplainRequest(logs=logs) if logs:
            return explain_from_logs(command, environment)
        case WriteReport():
            return write_report(command, environment)
        case ExplainRequest():
            return await explain_request(command, client)


def describe_interrupt(command: Command) -> Outcome:
    """Return the outcome of an interrupted command; it names the change id, if there is one."""
    message = "the command was interrupted before it finished"
    match command:
        case SetMark(gateway=gateway) if gateway:
            message += "; the mark may have been written. Running the same command again is safe"
        case PutPreset(change=change) | UsePreset(change=change) | SetMark(change=change):
            message += (
                "; the change may have been made. To find out, run the same command again with"
                f" --change-id {change.change_id}"
            )
    return make_error(ExitStatus.INTERRUPTED, "interrupted", message)


def run() -> int:
    """Run the console script and return its exit status."""
    try:
        status = main(sys.argv[1:], make_command_environment())
        sys.stdout.flush()
    except OSError as error:
        # The reader has closed the pipe, or the disk is full. Standard output is redirected to the
        # null device so that the interpreter's flush at exit does not fail as well.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        print(f"cannot write the output: {error.strerror}", file=sys.stderr)
        return ExitStatus.ERROR
    return status
