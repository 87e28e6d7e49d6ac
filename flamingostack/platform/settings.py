"""Settings file that the platform writes for each process, with lines of the form a.b=value."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from ..errors import Failure, make_failure
from ..gateway.model import Address, InstanceSettings
from ..settings import SettingsReason

PATH_VARIABLE = "FLAMINGOSTACK_NODE_FILE"
# Turns placement by the learnt cost of requests off if it is "off".
COST_LEARNING_VARIABLE = "FLAMINGOSTACK_COST_LEARNING"
DEFAULT_PATH = "/etc/flamingostack/local.conf"
# History time of the store in both deployments. It only limits how long a watch may wait.
DEFAULT_HISTORY_S = 20.0
# Bounds that only deployments with roll-outs or organisations name.
DEFAULT_EXPOSURE_SHARE = 0.1
DEFAULT_EXPOSURE_SLACK = 50.0
DEFAULT_ROLLBACK_MS = 5000.0
DEFAULT_QUOTA_WINDOW_S = 5.0
DEFAULT_QUOTA_OVERSHOOT = 0.1
DEFAULT_QUOTA_SLACK = 20.0
DEFAULT_NEWS_DELAY_MS = 5000
DEFAULT_CONFIGURATION_DELAY_MS = 5000.0
ROLLOUT_CONTRACTS = ("rollout", "rollouts")
KEY_CONTRACTS = ("tenant", "tenants")
MS_PER_S = 1000
# Far above any bound. Products of numbers up to it are finite.
MAX_NUMBER = 1e15
BYTES_PER_MB = 1024 * 1024


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
    settings = parse_instance_settings(text, source=str(path))
    if isinstance(settings, InstanceSettings):
        settings.learns_costs = variables.get(COST_LEARNING_VARIABLE) == "on"
    return settings


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
        if not 0 <= number <= MAX_NUMBER:
            self._add_problem(
                key, f"{value} is out of range, it must be from 0 to {MAX_NUMBER:.0e}"
            )
            return 0.0
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
        has_rollouts=has_rollouts(reader),
        exposure_share=reader.number("bounds.exposureShare", DEFAULT_EXPOSURE_SHARE),
        exposure_slack=reader.number("bounds.exposureSlack", DEFAULT_EXPOSURE_SLACK),
        rollback_s=reader.number("bounds.rollbackMs", DEFAULT_ROLLBACK_MS) / MS_PER_S,
        quota_window_s=reader.number("bounds.quotaWindowS", DEFAULT_QUOTA_WINDOW_S),
        quota_overshoot=reader.number("bounds.quotaOvershoot", DEFAULT_QUOTA_OVERSHOOT),
        quota_slack=reader.number("bounds.quotaSlack", DEFAULT_QUOTA_SLACK),
        configuration_delay_s=reader.number("bounds.configApplyMs", DEFAULT_CONFIGURATION_DELAY_MS)
        / MS_PER_S,
        evacuation_delay_s=reader.number("bounds.evacuationMs", DEFAULT_NEWS_DELAY_MS) / MS_PER_S,
        drain_delay_s=reader.number("bounds.drainTimeoutMs", DEFAULT_NEWS_DELAY_MS) / MS_PER_S,
        stability_s=reader.number("bounds.stabilityWindowMs", DEFAULT_NEWS_DELAY_MS) / MS_PER_S,
        demands_keys=not read_contracts(reader).isdisjoint(KEY_CONTRACTS),
        memory_bytes=int(reader.number("limits.memoryMb", 0) * BYTES_PER_MB),
        descriptors=int(reader.number("limits.fileDescriptors", 0)),
        processor_cores=reader.number("limits.cpuShare", 0) * reader.number("limits.cpuCores", 1),
    )


def has_rollouts(reader: SettingsReader) -> bool:
    """Return whether operators may order roll-outs, by the contracts or a bound of roll-outs."""
    names = read_contracts(reader)
    return not names.isdisjoint(ROLLOUT_CONTRACTS) or "bounds.exposureShare" in reader.lines_by_key


def read_contracts(reader: SettingsReader) -> set[str]:
    """Return the names of the parts that are in force."""
    _, contracts = reader.lines_by_key.get("contracts", (0, ""))
    return {name.strip() for name in contracts.split(",")}


def parse_address(text: str) -> Address:
    """Return host and port of `host:port`; raise ValueError if the text has another form."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"{text!r} is not of the form host:port with a port from 1 to 65535")
    return host, int(port)
