"""Settings file that the platform writes for each process, with lines of the form a.b=value."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from ..errors import Failure, make_failure
from ..gateway.model import Address, InstanceSettings
from ..settings import SettingsReason

PATH_VARIABLE = "FLAMINGOSTACK_NODE_FILE"
DEFAULT_PATH = "/etc/flamingostack/local.conf"
# History time of the store in both deployments. It only limits how long a watch may wait.
DEFAULT_HISTORY_S = 20.0


def read_settings_text(variables: Mapping[str, str]) -> str | None:
    """Return the text of the settings file; None if it is unreadable.

    `variables` are environment variables, one of which may give the path.
    """
    try:
        return Path(variables.get(PATH_VARIABLE, DEFAULT_PATH)).read_text()
    except (OSError, UnicodeDecodeError):
        return None


def load_instance_settings(
    variables: Mapping[str, str],
) -> InstanceSettings | Failure[SettingsReason]:
    """Read and check the settings file; `variables` are environment variables."""
    path = Path(variables.get(PATH_VARIABLE, DEFAULT_PATH))
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return make_failure(SettingsReason.UNREADABLE, f"{path}: {error}")
    return parse_instance_settings(text, source=str(path))


def parse_instance_settings(text: str, source: str) -> InstanceSettings | Failure[SettingsReason]:
    """Decode the text of a settings file; `source` names the file in error messages.

    Unknown keys are ignored, because the platform may add some at any time.
    """
    values_by_key = split_lines(text)
    try:
        return decode_instance_settings(values_by_key)
    except KeyError as error:
        return make_failure(SettingsReason.INVALID, f"{source}: missing key {error}")
    except ValueError as error:
        return make_failure(SettingsReason.INVALID, f"{source}: {error}")


def split_lines(text: str) -> dict[str, str]:
    """Return the values by key; blank lines and lines without `=` are ignored."""
    values_by_key = {}
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator:
            values_by_key[key.strip()] = value.strip()
    return values_by_key


def decode_instance_settings(values_by_key: Mapping[str, str]) -> InstanceSettings:
    """Build the settings; raise KeyError for a missing key, ValueError for an invalid value."""

    def parse_number(key: str) -> float:
        try:
            result = float(values_by_key[key])
        except ValueError:
            raise ValueError(f"{key}: {values_by_key[key]!r} is not a number") from None
        if not 0 <= result < float("inf"):
            raise ValueError(f"{key}: {result} is out of range")
        return result

    has_history = "platform.historyS" in values_by_key
    ip_address = values_by_key["ipAddress"]
    first_port = values_by_key["internalPortRange"].partition(",")[0]
    return InstanceSettings(
        instance=values_by_key["nodeName"],
        failure_domain=values_by_key["zone"],
        caller_address=parse_address(values_by_key["listen.front"]),
        readiness_address=parse_address(values_by_key["listen.readiness"]),
        peer_address=parse_address(f"{ip_address}:{first_port}"),
        metrics_host=ip_address,
        store_url=f"http://{values_by_key['platform.address']}",
        store_history_s=parse_number("platform.historyS") if has_history else DEFAULT_HISTORY_S,
        shutdown_grace_s=parse_number("bounds.gracePeriodS"),
        extra_send_ratio=parse_number("bounds.retryBudgetRatio"),
        extra_send_slack=parse_number("bounds.retryBudgetSlack"),
        extra_send_window_s=parse_number("bounds.retryWindowS"),
        cold_overshoot=parse_number("bounds.coldOvershoot"),
        cold_slack=parse_number("bounds.coldSlack"),
    )


def parse_address(text: str) -> Address:
    """Return host and port of `host:port`; raise ValueError if the text has another form."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"{text!r} is not of the form host:port with a port from 1 to 65535")
    return host, int(port)
