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

    Unknown keys are ignored, because the platform may add some at any time. The message of a
    failure names all missing keys and all invalid values, with their lines.
    """
    reader = SettingsReader(split_lines(text))
    settings = decode_instance_settings(reader)
    if reader.problems:
        return make_failure(SettingsReason.INVALID, f"{source}: {'; '.join(reader.problems)}")
    return settings


def split_lines(text: str) -> dict[str, tuple[int, str]]:
    """Return line numbers and values by key; the last line of a key counts.

    Blank lines and lines without `=` are ignored.
    """
    lines_by_key = {}
    for number, line in enumerate(text.splitlines(), 1):
        key, separator, value = line.partition("=")
        if separator:
            lines_by_key[key.strip()] = (number, value.strip())
    return lines_by_key


class SettingsReader:
    """Reads values by key, and collects what is wrong with them; it then returns a substitute."""

    __slots__ = ("lines_by_key", "problems")

    def __init__(self, lines_by_key: Mapping[str, tuple[int, str]]) -> None:
        self.lines_by_key = lines_by_key
        self.problems: list[str] = []

    def text(self, key: str) -> str:
        """Return a value that must be there and not be empty."""
        _, value = self.lines_by_key.get(key, (0, None))
        if value is None:
            self.problems.append(f"missing key {key!r}")
        elif not value:
            self._add_problem(key, "is empty")
        return value or ""

    def number(self, key: str, default: float | None = None) -> float:
        """Return a number from 0 up; it may lack if there is a default."""
        if default is not None and key not in self.lines_by_key:
            return default
        value = self.text(key)
        if not value:
            return 0.0
        try:
            number = float(value)
        except ValueError:
            self._add_problem(key, f"{value!r} is not a number")
            return 0.0
        if not 0 <= number < float("inf"):
            self._add_problem(key, f"{value} is out of range, it must be finite and at least 0")
        return number

    def address(self, key: str) -> Address:
        """Return host and port."""
        value = self.text(key)
        return self._parse_address(key, value) if value else ("", 0)

    def first_port_address(self, host_key: str, range_key: str) -> Address:
        """Return a host with the first port of a range."""
        host, ports = self.text(host_key), self.text(range_key)
        if not host or not ports:
            return "", 0
        return self._parse_address(range_key, f"{host}:{ports.partition(',')[0]}")

    def _parse_address(self, key: str, text: str) -> Address:
        try:
            return parse_address(text)
        except ValueError as error:
            self._add_problem(key, str(error))
            return "", 0

    def _add_problem(self, key: str, problem: str) -> None:
        self.problems.append(f"line {self.lines_by_key[key][0]}: {key}: {problem}")


def decode_instance_settings(reader: SettingsReader) -> InstanceSettings:
    """Build the settings; they are valid only if the reader has found no problems."""
    store_host, store_port = reader.address("platform.address")
    return InstanceSettings(
        instance=reader.text("nodeName"),
        failure_domain=reader.text("zone"),
        caller_address=reader.address("listen.front"),
        readiness_address=reader.address("listen.readiness"),
        peer_address=reader.first_port_address("ipAddress", "internalPortRange"),
        metrics_host=reader.text("ipAddress"),
        store_url=f"http://{store_host}:{store_port}",
        store_history_s=reader.number("platform.historyS", DEFAULT_HISTORY_S),
        shutdown_grace_s=reader.number("bounds.gracePeriodS"),
        extra_send_ratio=reader.number("bounds.retryBudgetRatio"),
        extra_send_slack=reader.number("bounds.retryBudgetSlack"),
        extra_send_window_s=reader.number("bounds.retryWindowS"),
        cold_overshoot=reader.number("bounds.coldOvershoot"),
        cold_slack=reader.number("bounds.coldSlack"),
    )


def parse_address(text: str) -> Address:
    """Return host and port of `host:port`; raise ValueError if the text has another form."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"{text!r} is not of the form host:port with a port from 1 to 65535")
    return host, int(port)
