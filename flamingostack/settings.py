"""Settings of an instance: TOML, validated against the schema and for conflicts between keys."""

from __future__ import annotations

import ipaddress
from pathlib import Path

import msgspec

from .errors import Failure, Reason, make_failure
from .generated.settings import Settings

MAX_PORT = 65535
MAX_PORT_DIGITS = 5
# Besides msgspec's own error, the TOML decoder raises ValueError for invalid UTF-8 and for integers
# of more than 4,300 digits, and RecursionError for deep nesting.
DECODE_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)


class SettingsReason(Reason):
    """Why settings were rejected."""

    UNREADABLE = "settings_unreadable"
    INVALID = "settings_invalid"


def load_settings(path: Path) -> Settings | Failure[SettingsReason]:
    """Read and validate the settings file at `path`; messages name the file and the key's path."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return make_failure(SettingsReason.UNREADABLE, f"{path}: {error.strerror}")
    return parse_settings(text, source=str(path))


def parse_settings(text: bytes, source: str) -> Settings | Failure[SettingsReason]:
    """Decode TOML and validate it; messages name the source and the key's path."""
    try:
        settings = msgspec.toml.decode(text, type=Settings)
    except DECODE_ERRORS as error:
        return make_failure(SettingsReason.INVALID, f"{source}: {error}")
    problem = find_conflict(settings)
    if problem:
        return make_failure(SettingsReason.INVALID, f"{source}: {problem}")
    return settings


def find_conflict(settings: Settings) -> str:
    """Return the first value that is invalid or conflicts with another, or an empty string.

    The text ends with the key's path.
    """
    fleet = settings.fleet
    addresses = {
        "$.control.listen": settings.control.listen,
        "$.dispatch.listen": settings.dispatch.listen,
        "$.entry.listen": settings.entry.listen,
    }
    if settings.dispatch.status_listen:
        addresses["$.dispatch.status_listen"] = settings.dispatch.status_listen
    for key, address in addresses.items():
        if not is_address(address):
            return f"{address!r} is not an IP address and port - at `{key}`"
    if len(set(addresses.values())) < len(addresses):
        return "two processes listen on the same address - at `$`"
    if fleet.voter_count > fleet.partition_count:
        return "voter_count is above partition_count - at `$.fleet.voter_count`"
    if fleet.sync_ms * 3 > fleet.lease_ms:
        return "sync_ms must be at most a third of lease_ms - at `$.fleet.sync_ms`"
    return ""


def is_address(text: str) -> bool:
    """Return whether `text` is an IP address and port, such as 127.0.0.1:7000 or [::1]:7000."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    # str.isdigit alone also accepts the digits of other scripts.
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        return False
    return 0 < int(port) <= MAX_PORT


def split_address(address: str) -> tuple[str, int]:
    """Split host:port, and strip the brackets of an IPv6 address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
