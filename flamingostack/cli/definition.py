"""Definition of the command line: parses each command to a data class, which `core` runs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Literal

from cyclopts import App, Parameter, validators

DEFAULT_TIMEOUT_S = 10.0
MAX_NAME_CHARACTERS = 128

MarkStateName = Literal["leaving", "returning", "clear"]
SubjectKind = Literal["failure-domain", "target"]

FileArgument = Annotated[
    str,
    Parameter(help="File to read; - reads standard input.", allow_leading_hyphen=True),
]

LogArgument = Annotated[
    str,
    Parameter(
        help="Log of gateways, plain or gzip; - reads standard input.", allow_leading_hyphen=True
    ),
]

GatewayOption = Annotated[
    str,
    Parameter(
        help="Settings file of any gateway: speak to the store and the gateways that it names.",
        allow_leading_hyphen=True,
    ),
]


def validate_name(_type: type, value: str | None) -> None:
    """Raise ValueError for a name that is empty, too long or has unprintable characters.

    Names are stored with changes and printed, where such names could not be told apart.
    """
    if value is None:
        return
    if not value.strip() or not value.isprintable():
        raise ValueError("must not be empty and must have only printable characters")
    if len(value) > MAX_NAME_CHARACTERS:
        raise ValueError(f"must have at most {MAX_NAME_CHARACTERS} characters")


NameArgument = Annotated[str, Parameter(validator=validate_name)]


@Parameter(name="*")
@dataclass(frozen=True, slots=True)
class Options:
    """Options of all commands."""

    control: Annotated[
        tuple[str, ...],
        Parameter(
            help="Control process as HOST:PORT. May be repeated; the next is tried when one does"
            " not reply. Default: FLAMINGOSTACK_CONTROL, separated by commas or spaces.",
            negative="",
        ),
    ] = ()
    json: Annotated[bool, Parameter(help="Print one JSON object.", negative="")] = False
    timeout: Annotated[
        float,
        Parameter(
            help="Time limit of the whole command in seconds.",
            validator=validators.Number(gt=0, lte=3600),
        ),
    ] = DEFAULT_TIMEOUT_S


@Parameter(name="*")
@dataclass(frozen=True, slots=True)
class ChangeOptions:
    """Options of the commands that change the fleet."""

    change_id: Annotated[
        str | None,
        Parameter(
            help="Id of the change. To find out the outcome of a change, repeat the command with"
            " the id that it printed: a change is never applied twice. Default: a new id.",
            validator=validate_name,
        ),
    ] = None
    expect_version: Annotated[
        int | None,
        Parameter(
            help="Make the change only if no other operator's change came after this configuration"
            " version (for `preset put`: if this is the preset's store version); 0: any. Default:"
            " the version known when the command starts; for `preset put` 0.",
            validator=validators.Number(gte=0, lt=2**64),
        ),
    ] = None
    operator: Annotated[
        str | None,
        Parameter(
            help="Name recorded with the change. Default: FLAMINGOSTACK_OPERATOR, USER or LOGNAME.",
            validator=validate_name,
        ),
    ] = None


DEFAULT_OPTIONS = Options()
DEFAULT_CHANGE_OPTIONS = ChangeOptions()


@dataclass(frozen=True, slots=True)
class ListPresets:
    """Arguments of `preset list`."""

    options: Options


@dataclass(frozen=True, slots=True)
class ShowPreset:
    """Arguments of `preset show`."""

    name: str
    options: Options


@dataclass(frozen=True, slots=True)
class CheckPreset:
    """Arguments of `preset check`."""

    file: str
    options: Options


@dataclass(frozen=True, slots=True)
class PutPreset:
    """Arguments of `preset put`."""

    file: str
    change: ChangeOptions
    options: Options


@dataclass(frozen=True, slots=True)
class UsePreset:
    """Arguments of `preset use`."""

    name: str
    change: ChangeOptions
    options: Options


@dataclass(frozen=True, slots=True)
class SetMark:
    """Arguments of `mark failure-domain` and `mark target`.

    `gateway` is a gateway's settings file, or empty.
    """

    kind: SubjectKind
    name: str
    state: MarkStateName
    gateway: str
    change: ChangeOptions
    options: Options


@dataclass(frozen=True, slots=True)
class ShowStatus:
    """Arguments of `status`; `gateway` is a gateway's settings file, or empty."""

    list_targets: bool
    list_partitions: bool
    gateway: str
    options: Options


@dataclass(frozen=True, slots=True)
class SendQuery:
    """Arguments of `query`; `option_values` holds the keys of the body that are set by options.

    `gateway` is the settings file of a gateway, which gets a request for `url`; both may be empty.
    """

    body: str | None
    option_values: dict[str, object] = field(hash=False)
    entry: str | None
    gateway: str
    url: str
    options: Options


@dataclass(frozen=True, slots=True)
class ExplainRequest:
    """Arguments of `explain`."""

    request_id: str
    logs: tuple[str, ...]
    entries: tuple[str, ...]
    dispatch_status: tuple[str, ...]
    options: Options


@dataclass(frozen=True, slots=True)
class WriteReport:
    """Arguments of `report`."""

    logs: tuple[str, ...]
    output: str
    options: Options


@dataclass(frozen=True, slots=True)
class CheckSettings:
    """Arguments of `settings check`; the file is a gateway's if `is_gateway`."""

    file: str
    is_gateway: bool
    options: Options


@dataclass(frozen=True, slots=True)
class CheckConfiguration:
    """Arguments of `config check`.

    `against` is a configuration and `gateway` a gateway's settings file; both may be empty.
    """

    file: str
    against: str
    gateway: str
    options: Options


Change = PutPreset | UsePreset | SetMark
Command = (
    ListPresets
    | ShowPreset
    | CheckPreset
    | Change
    | ShowStatus
    | SendQuery
    | ExplainRequest
    | WriteReport
    | CheckSettings
    | CheckConfiguration
)


def make_app() -> App:
    """Return the cyclopts app; the function of each command returns its data class."""
    app = App(
        name="flamingostack",
        help="Operate a fleet of flamingostack instances.",
        help_format="plaintext",
    )
    app.command(make_preset_app())
    app.command(make_mark_app())
    app.command(make_settings_app())
    app.command(make_configuration_app())
    app.command(show_status, name="status")
    app.command(send_query, name="query")
    app.command(explain_request, name="explain")
    app.command(write_report, name="report")
    return app


def make_preset_app() -> App:
    """Return the app of the `preset` commands."""
    app = App(name="preset", help="List, check and store presets, and put them in force.")
    app.command(list_presets, name="list")
    app.command(show_preset, name="show")
    app.command(check_preset, name="check")
    app.command(put_preset, name="put")
    app.command(use_preset, name="use")
    return app


def make_mark_app() -> App:
    """Return the app of the `mark` commands."""
    app = App(name="mark", help="Mark failure domains and targets as leaving or returning.")
    app.command(mark_failure_domain, name="failure-domain")
    app.command(mark_target, name="target")
    return app


def make_configuration_app() -> App:
    """Return the app of the `config` commands."""
    app = App(name="config", help="Review a configuration of gateways.")
    app.command(check_configuration, name="check")
    return app


def make_settings_app() -> App:
    """Return the app of the `settings` commands."""
    app = App(name="settings", help="Validate the settings of an instance.")
    app.command(check_settings, name="check")
    return app


def list_presets(*, options: Options = DEFAULT_OPTIONS) -> Command:
    """List the stored presets and the one in force."""
    return ListPresets(options)


def show_preset(name: NameArgument, /, *, options: Options = DEFAULT_OPTIONS) -> Command:
    """Print the text of a stored preset."""
    return ShowPreset(name, options)


def check_preset(file: FileArgument, /, *, options: Options = DEFAULT_OPTIONS) -> Command:
    """Validate a preset file without sending it."""
    return CheckPreset(file, options)


def put_preset(
    file: FileArgument,
    /,
    *,
    change: ChangeOptions = DEFAULT_CHANGE_OPTIONS,
    options: Options = DEFAULT_OPTIONS,
) -> Command:
    """Validate a preset and store it under the name in the file, without putting it in force."""
    return PutPreset(file, change, options)


def use_preset(
    name: NameArgument,
    /,
    *,
    change: ChangeOptions = DEFAULT_CHANGE_OPTIONS,
    options: Options = DEFAULT_OPTIONS,
) -> Command:
    """Put a stored preset in force on all instances."""
    return UsePreset(name, change, options)


def mark_failure_domain(
    name: NameArgument,
    state: MarkStateName,
    /,
    *,
    gateway: GatewayOption = "",
    change: ChangeOptions = DEFAULT_CHANGE_OPTIONS,
    options: Options = DEFAULT_OPTIONS,
) -> Command:
    """Mark a failure domain as leaving or returning, or clear its mark."""
    return SetMark("failure-domain", name, state, gateway, change, options)


def mark_target(
    name: NameArgument,
    state: MarkStateName,
    /,
    *,
    gateway: GatewayOption = "",
    change: ChangeOptions = DEFAULT_CHANGE_OPTIONS,
    options: Options = DEFAULT_OPTIONS,
) -> Command:
    """Mark a target as leaving or returning, or clear its mark."""
    return SetMark("target", name, state, gateway, change, options)


def show_status(
    *,
    targets: Annotated[bool, Parameter(help="List each target.", negative="")] = False,
    partitions: Annotated[bool, Parameter(help="List each partition.", negative="")] = False,
    gateway: GatewayOption = "",
    options: Options = DEFAULT_OPTIONS,
) -> Command:
    """Show instances, targets, ownership and configuration versions."""
    return ShowStatus(targets, partitions, gateway, options)


def send_query(
    body: Annotated[
        str | None,
        Parameter(
            help="Body as JSON; - reads standard input. Options override its keys.",
            allow_leading_hyphen=True,
        ),
    ] = None,
    /,
    *,
    request_class: Annotated[str | None, Parameter(name="--class")] = None,
    tenant: str | None = None,
    query: Annotated[str | None, Parameter(help="Query text for the targets.")] = None,
    low: Annotated[int | None, Parameter(help="First key of the range.")] = None,
    high: Annotated[int | None, Parameter(help="Key after the last one of the range.")] = None,
    deadline_ms: int | None = None,
    min_coverage: float | None = None,
    entry: Annotated[
        str | None,
        Parameter(
            help="Entry process as HOST:PORT. Default: that of the control process's instance."
        ),
    ] = None,
    gateway: GatewayOption = "",
    url: Annotated[str, Parameter(help="HOST/PATH of the request to a gateway.")] = "",
    options: Options = DEFAULT_OPTIONS,
) -> Command:
    """Send one query to an entry process, or to a gateway, and print its answer."""
    option_values = {
        "class": request_class,
        "tenant": tenant,
        "query": query,
        "low": low,
        "high": high,
        "deadline_ms": deadline_ms,
        "min_coverage": min_coverage,
    }
    return SendQuery(
        body=body,
        option_values={key: value for key, value in option_values.items() if value is not None},
        entry=entry,
        gateway=gateway,
        url=url,
        options=options,
    )


def explain_request(
    request_id: NameArgument,
    /,
    *logs: LogArgument,
    entry: Annotated[
        tuple[str, ...],
        Parameter(help="Entry process to ask in addition to those of the fleet.", negative=""),
    ] = (),
    dispatch_status: Annotated[
        tuple[str, ...],
        Parameter(help="Status address of a dispatch process to ask too.", negative=""),
    ] = (),
    options: Options = DEFAULT_OPTIONS,
) -> Command:
    """Show which targets a request was sent to and why, with retries, hedges and refusals.

    With log files of gateways it tells the story of the request from their lines.
    """
    return ExplainRequest(request_id, logs, entry, dispatch_status, options)


def write_report(
    *logs: LogArgument,
    output: Annotated[str, Parameter(name=("--output", "-o"), help="File of the page.")],
    options: Options = DEFAULT_OPTIONS,
) -> Command:
    """Write a page with plots of a fleet of gateways over a span of time, from their logs."""
    return WriteReport(logs, output, options)


def check_settings(
    file: FileArgument,
    /,
    *,
    gateway: Annotated[
        bool, Parameter(help="The file is a gateway's, as the platform writes it.", negative="")
    ] = False,
    options: Options = DEFAULT_OPTIONS,
) -> Command:
    """Validate the settings file of an instance."""
    return CheckSettings(file, gateway, options)


def check_configuration(
    file: FileArgument,
    /,
    *,
    against: Annotated[
        str,
        Parameter(
            help="Configuration to compare with; - reads standard input.",
            allow_leading_hyphen=True,
        ),
    ] = "",
    gateway: GatewayOption = "",
    options: Options = DEFAULT_OPTIONS,
) -> Command:
    """Report all errors of a configuration of gateways, and what it would change.

    With --gateway it is compared with the one in the store.
    """
    return CheckConfiguration(file, against, gateway, options)
