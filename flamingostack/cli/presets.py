"""Commands that read presets and settings: `preset list`, `show` and `check`, `settings check`."""

from __future__ import annotations

import msgspec

from ..errors import Failure, make_failure
from ..gateway.model import InstanceSettings
from ..generated import messages_pb2 as pb
from ..platform.settings import parse_instance_settings
from ..presets import parse_preset
from ..settings import SettingsReason, parse_settings
from ..status import ExitStatus
from .client import ControlClient
from .definition import CheckPreset, CheckSettings, ShowPreset
from .environment import CommandEnvironment
from .files import get_display_name, read_file
from .fleet import describe_unreachable
from .output import Outcome, format_table, make_error


async def list_presets(client: ControlClient) -> Outcome:
    """Return the stored presets with their state."""
    reply = await client.status(include_presets=True)
    if isinstance(reply, Failure):
        return describe_unreachable(reply)
    presets = [describe_preset(stored, reply.document.preset) for stored in reply.presets]
    presets.sort(key=lambda preset: preset["name"])
    in_force = reply.document.preset
    lines = [f"in force: {in_force.name or 'none'} (revision {in_force.revision})"]
    if presets:
        rows = [
            (
                preset["name"],
                describe_state(preset),
                preset["store_version"],
                preset["problem"] or preset["description"],
            )
            for preset in presets
        ]
        lines += format_table(("NAME", "STATE", "STORE VERSION", "DESCRIPTION"), rows)
    else:
        lines.append("no presets are stored; see `flamingostack preset put`")
    data = {
        "in_force": {"name": in_force.name, "revision": in_force.revision},
        "presets": presets,
    }
    return Outcome(ExitStatus.SUCCESS, "\n".join(lines), data)


def describe_preset(stored: pb.StoredPreset, in_force: pb.PresetInForce) -> dict:
    """Return the JSON form of one stored preset."""
    preset = parse_preset(stored.body, source=f"preset {stored.name}")
    valid = not isinstance(preset, Failure)
    return {
        "name": stored.name,
        "store_version": stored.store_version,
        "in_force": stored.name == in_force.name,
        "differs_from_force": stored.name == in_force.name and stored.body != in_force.body,
        "description": preset.description if valid else "",
        "problem": "" if valid else preset.message,
    }


def describe_state(preset: dict) -> str:
    """Return the state of a preset as shown in the STATE column."""
    if preset["problem"]:
        return "invalid"
    if preset["differs_from_force"]:
        return "in force, stored text is newer"
    return "in force" if preset["in_force"] else "stored"


async def show_preset(command: ShowPreset, client: ControlClient) -> Outcome:
    """Return the text of a stored preset, or of the one in force if it is no longer stored."""
    reply = await client.status(include_presets=True)
    if isinstance(reply, Failure):
        return describe_unreachable(reply)
    bodies_by_name = {reply.document.preset.name: reply.document.preset.body}
    bodies_by_name |= {stored.name: stored.body for stored in reply.presets}
    if command.name not in bodies_by_name:
        known = ", ".join(sorted(filter(None, bodies_by_name))) or "none"
        return make_error(
            ExitStatus.NOT_FOUND,
            "unknown",
            f"preset {command.name!r} is not stored; known presets: {known}",
        )
    body = bodies_by_name[command.name].decode(errors="replace")
    data = {
        "name": command.name,
        "in_force": command.name == reply.document.preset.name,
        "body": body,
    }
    return Outcome(ExitStatus.SUCCESS, body.rstrip("\n"), data)


def check_preset(command: CheckPreset, environment: CommandEnvironment) -> Outcome:
    """Validate a preset file."""
    return _validate_file(command.file, parse_preset, environment)


def check_settings(command: CheckSettings, environment: CommandEnvironment) -> Outcome:
    """Validate a settings file."""
    parse = parse_gateway_settings if command.is_gateway else parse_settings
    return _validate_file(command.file, parse, environment)


def parse_gateway_settings(text: bytes, source: str) -> InstanceSettings | Failure[SettingsReason]:
    """Decode the settings file of a gateway."""
    try:
        return parse_instance_settings(text.decode(), source)
    except UnicodeDecodeError as error:
        return make_failure(SettingsReason.UNREADABLE, f"{source}: {error}")


def _validate_file(file: str, parse, environment: CommandEnvironment) -> Outcome:
    text = read_file(file, environment)
    result = text if isinstance(text, Failure) else parse(text, get_display_name(file))
    if isinstance(result, Failure):
        return make_error(ExitStatus.INVALID_INPUT, result.reason.code, result.message)
    data = {"file": get_display_name(file), "values": make_data(result)}
    return Outcome(ExitStatus.SUCCESS, f"{get_display_name(file)}: valid", data)


def make_data(values: object) -> object:
    """Return checked values as JSON values."""
    if isinstance(values, InstanceSettings):
        return {name: getattr(values, name) for name in values.__slots__}
    return msgspec.to_builtins(values)
