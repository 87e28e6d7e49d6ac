"""Commands that change the fleet: `preset put`, `preset use` and `mark`."""

from __future__ import annotations

from ..errors import Failure
from ..generated import messages_pb2 as pb
from ..presets import parse_preset
from ..state import PROTOCOL
from ..status import ExitStatus
from .client import STORE_UNAVAILABLE, ClientReason, ControlClient
from .definition import Change, ChangeOptions, PutPreset, SetMark, UsePreset
from .environment import CommandEnvironment
from .files import get_display_name, read_file
from .output import MS_PER_S, Outcome, format_seconds, format_time, make_error

STATES_BY_NAME = {
    "leaving": pb.MARK_STATE_LEAVING,
    "returning": pb.MARK_STATE_RETURNING,
    "clear": pb.MARK_STATE_UNSPECIFIED,
}
STATUSES_BY_CODE = {
    STORE_UNAVAILABLE: ExitStatus.UNAVAILABLE,
    "invalid": ExitStatus.INVALID_INPUT,
}
STATUSES_BY_REASON = {
    ClientReason.UNREACHABLE: ExitStatus.UNAVAILABLE,
    ClientReason.REFUSED: ExitStatus.ERROR,
    ClientReason.OUTCOME_UNKNOWN: ExitStatus.OUTCOME_UNKNOWN,
}


async def make_change(
    command: Change,
    client: ControlClient,
    environment: CommandEnvironment,
) -> Outcome:
    """Send a change, wait until it is in force on all instances, and return the outcome."""
    request = make_request(command, environment)
    if isinstance(request, Outcome):
        return request
    started_s = environment.now_s()
    version = await choose_expected_version(command, client)
    if isinstance(version, Failure):
        return make_error(
            STATUSES_BY_REASON[version.reason],
            version.reason.code,
            f"{version.message}; this command changed nothing",
            change_id=request.change_id,
        )
    request.expected_version = version
    reply = await client.change(request)
    elapsed_ms = (environment.now_s() - started_s) * MS_PER_S
    if isinstance(reply, Failure):
        return describe_failure(reply, request.change_id)
    return describe_reply(reply, request, describe_action(command), elapsed_ms)


def make_request(command: Change, environment: CommandEnvironment) -> pb.OperateRequest | Outcome:
    """Return the request for a change, or an error outcome if the command's input is invalid."""
    options: ChangeOptions = command.change
    request = pb.OperateRequest(
        protocol=PROTOCOL,
        change_id=options.change_id,
        operator=options.operator or environment.operator(),
    )
    match command:
        case UsePreset(name=name):
            request.use_preset.name = name
        case SetMark(kind="failure-domain", name=name, state=state):
            request.set_mark.failure_domain = name
            request.set_mark.state = STATES_BY_NAME[state]
        case SetMark(name=name, state=state):
            request.set_mark.target = name
            request.set_mark.state = STATES_BY_NAME[state]
        case PutPreset(file=file):
            text = read_file(file, environment)
            if isinstance(text, Failure):
                return make_error(ExitStatus.INVALID_INPUT, text.reason.code, text.message)
            preset = parse_preset(text, source=get_display_name(file))
            if isinstance(preset, Failure):
                return make_error(ExitStatus.INVALID_INPUT, preset.reason.code, preset.message)
            request.put_preset.name = preset.name
            request.put_preset.body = text
    return request


async def choose_expected_version(
    command: Change, client: ControlClient
) -> int | Failure[ClientReason]:
    """Return the version that must still be current for the change to be made; 0 for any.

    For `preset put` this is the version of the preset's stored object. A control process may learn
    of that version late, so without the option the text is replaced whatever its version is. For
    the other changes the default is the version of the fleet document.
    """
    if command.change.expect_version is not None:
        return command.change.expect_version
    if isinstance(command, PutPreset):
        return 0
    status = await client.status()
    if isinstance(status, Failure):
        return status
    return status.document.version


def describe_action(command: Change) -> str:
    """Return a short description of a change, in the terms of the command line."""
    match command:
        case UsePreset(name=name):
            return f"preset {name}"
        case SetMark(kind=kind, name=name, state=state):
            return f"mark {kind} {name} {state}"
        case PutPreset(file=file):
            return f"preset from {get_display_name(file)}"


def describe_reply(
    reply: pb.OperateReply,
    request: pb.OperateRequest,
    action: str,
    elapsed_ms: float,
) -> Outcome:
    """Map control's reply to the outcome of the command."""
    data = {
        "code": reply.code,
        "message": reply.message,
        "change_id": request.change_id,
        "version": reply.version,
        "elapsed_ms": round(elapsed_ms),
        "waiting_for": list(reply.waiting_for),
    }
    match reply.code:
        case "accepted" if request.HasField("put_preset"):
            return Outcome(ExitStatus.SUCCESS, f"preset {request.put_preset.name}: stored", data)
        case "accepted":
            text = (
                f"{action}: in force everywhere after {format_seconds(elapsed_ms)}"
                f" (version {reply.version}, change {request.change_id})"
            )
            return Outcome(ExitStatus.SUCCESS, text, data)
        case "written":
            return Outcome(
                ExitStatus.NOT_YET_ACCEPTED,
                describe_written(reply, request, action, elapsed_ms),
                data,
            )
        case "conflict":
            return describe_conflict(reply, request, action, data)
        case code:
            status = STATUSES_BY_CODE.get(code, ExitStatus.ERROR)
            return Outcome(status, describe_refusal(reply, request, action), data)


def describe_written(
    reply: pb.OperateReply,
    request: pb.OperateRequest,
    action: str,
    elapsed_ms: float,
) -> str:
    """Return the text for a change that is durable but not confirmed by all instances."""
    missing = ", ".join(reply.waiting_for) or "unknown"
    return (
        f"{action}: written (version {reply.version}), not yet in force everywhere after"
        f" {format_seconds(elapsed_ms)}\n"
        f"not confirmed: {missing}\n"
        "The change stays and takes effect on each instance as soon as it can. To wait again, run"
        f" the same command with --change-id {request.change_id}"
    )


def describe_refusal(reply: pb.OperateReply, request: pb.OperateRequest, action: str) -> str:
    """Return the text that says why a change was refused."""
    text = f"{reply.code}: {action}: {reply.message or 'no reason given'}"
    if reply.code == STORE_UNAVAILABLE:
        text += (
            "\nNo change is possible until the store is reachable; queries continue. Repeat the"
            f" command with --change-id {request.change_id}"
        )
    return text


def describe_conflict(
    reply: pb.OperateReply,
    request: pb.OperateRequest,
    action: str,
    data: dict,
) -> Outcome:
    """Return the outcome of a conflict: which change was made first, and what to do next."""
    winner = reply.winner
    lines = [f"conflict: {action}: another change came first; nothing was changed"]
    if reply.message:
        lines.append(reply.message)
    if reply.HasField("winner"):
        lines.append(
            f"winner: {winner.summary or 'no summary'}, by {winner.operator or 'unknown'}"
            f" at {format_time(winner.at_unix_ms)}"
            f" (version {winner.version}, change {winner.change_id})"
        )
        data = {
            **data,
            "winner": {
                "change_id": winner.change_id,
                "version": winner.version,
                "summary": winner.summary,
                "operator": winner.operator,
                "at_unix_ms": winner.at_unix_ms,
            },
        }
    version = winner.version or reply.version
    lines.append(
        "If your change is still wanted, check `flamingostack status` and run the command again"
        + (f" with --expect-version {version}" if version else "")
    )
    return Outcome(ExitStatus.CONFLICT, "\n".join(lines), data)


def describe_failure(failure: Failure[ClientReason], change_id: str) -> Outcome:
    """Return the outcome of a change without a usable reply from any control process."""
    message = f"{failure.message}; this command changed nothing"
    if failure.reason is ClientReason.OUTCOME_UNKNOWN:
        message = (
            f"{failure.message}\nThe change may have been made. To find out, run the same"
            f" command with --change-id {change_id}: it is not made twice"
        )
    return make_error(
        STATUSES_BY_REASON[failure.reason],
        failure.reason.code,
        message,
        change_id=change_id,
    )
