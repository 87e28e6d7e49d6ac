"""Validation of addresses given on the command line."""

from __future__ import annotations

from collections.abc import Iterable

from ..settings import MAX_PORT, MAX_PORT_DIGITS


def find_bad_address(addresses: Iterable[str]) -> str:
    """Return the first address that is not host:port, or an empty string if all are."""
    return next((address for address in addresses if not is_host_and_port(address)), "")


def is_host_and_port(address: str) -> bool:
    """Return whether an address is host:port; unlike in the settings, host names are allowed."""
    host, _, port = address.rpartition(":")
    if not host or any(character in host for character in " /@?#\\"):
        return False
    if ":" in host and not (host.startswith("[") and host.endswith("]")):
        return False
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        return False
    return 0 < int(port) <= MAX_PORT
