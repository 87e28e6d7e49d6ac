"""Commands that send or look up requests: `query` and `explain`."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from urllib.parse import quote

from aiohttp import ClientSession

from ..errors import Failure
from ..status import ExitStatus
from .addresses import find_bad_address
from .client import ClientReason, ControlClient
from .definition import ExplainRequest, SendQuery
from .environment import CommandEnvironment
from .files import STANDARD_INPUT, read_file
from .fleet import describe_unreachable
from .http import HttpReason, HttpResponse, get_json, open_session, post_json
from .output import Outcome, format_table, make_error

INDENT = "  "
HTTP_OK = 200
HTTP_NOT_FOUND = 404
STATUSES_BY_CODE = {
    "malformed": ExitStatus.INVALID_INPUT,
    "too_large": ExitStatus.INVALID_INPUT,
    "unknown_class": ExitStatus.NOT_FOUND,
    "unknown_range": ExitStatus.NOT_FOUND,
    "key_conflict": ExitStatus.INVALID_INPUT,
    "deadline_expired": ExitStatus.UNAVAILABLE,
    "not_current": ExitStatus.UNAVAILABLE,
    "shutting_down": ExitStatus.UNAVAILABLE,
    "overloaded": ExitStatus.UNAVAILABLE,
    "store_unavailable": ExitStatus.UNAVAILABLE,
    "outcome_unknown": ExitStatus.OUTCOME_UNKNOWN,
}


async def send_query(
    command: SendQuery,
    client: ControlClient,
    environment: CommandEnvironment,
) -> Outcome:
    """Send one query and return the response."""
    body = make_body(command, environment)
    if isinstance(body, Outcome):
        return body
    entry = command.entry or await find_entry(client)
    if isinstance(entry, Outcome):
        return entry
    response = await post_json(entry, "/v1/query", body, client.remaining_s())
    if isinstance(response, Failure):
        return describe_http_failure(response, entry)
    return describe_response(response, entry)


def make_body(command: SendQuery, environment: CommandEnvironment) -> dict | Outcome:
    """Return the request body, built from JSON and options; options override keys."""
    text: str | bytes | Failure = command.body or "{}"
    source = "query"
    if command.body == STANDARD_INPUT:
        source = "standard input"
        text = read_file(STANDARD_INPUT, environment)
        if isinstance(text, Failure):
            return make_error(ExitStatus.INVALID_INPUT, text.reason.code, text.message)
    try:
        body = json.loads(text)
    except (ValueError, RecursionError) as error:
        return make_error(ExitStatus.INVALID_INPUT, "malformed", f"{source}: not JSON: {error}")
    if not isinstance(body, dict):
        return make_error(ExitStatus.INVALID_INPUT, "malformed", f"{source}: not a JSON object")
    body |= command.option_values
    for key in ("class", "tenant", "query"):
        if key not in body:
            return make_error(
                ExitStatus.INVALID_INPUT,
                "malformed",
                f"{source}: `{key}` is missing; give it in the JSON or as --{key}",
            )
    return body


async def find_entry(client: ControlClient) -> str | Outcome:
    """Return the entry address of the instance whose control process replies."""
    status = await client.status()
    if isinstance(status, Failure):
        return describe_unreachable(status)
    if not status.own_member.entry_address:
        return make_error(
            ExitStatus.NOT_FOUND,
            "unknown",
            f"instance {status.own_member.instance!r} has no entry process; give --entry",
        )
    return status.own_member.entry_address


def describe_http_failure(failure: Failure[HttpReason], entry: str) -> Outcome:
    """Return the outcome of a query without a usable response."""
    ran = "not_run" if failure.reason is HttpReason.UNREACHABLE else "unknown"
    status = ExitStatus.UNAVAILABLE
    if failure.reason is HttpReason.BAD_ANSWER:
        status = ExitStatus.ERROR
    return make_error(status, failure.reason.code, failure.message, ran=ran, entry=entry)


def describe_response(response: HttpResponse, entry: str) -> Outcome:
    """Return the outcome of a query that was answered or rejected."""
    body = response.body
    data = {**body, "entry": entry}
    if response.status != HTTP_OK:
        code = str(body.get("code", f"http_{response.status}"))
        text = (
            f"{code}: {body.get('message', '')} (ran: {body.get('ran', 'unknown')},"
            f" request {body.get('request_id', 'unknown')})"
        )
        return Outcome(STATUSES_BY_CODE.get(code, ExitStatus.ERROR), text, data)
    lines = [
        f"request: {body.get('request_id')}",
        f"snapshot: {body.get('snapshot')}",
        f"coverage: {body.get('coverage')}",
        f"missing: {body.get('missing') or 'none'}",
        f"preset: {body.get('preset')}",
        f"elapsed: {body.get('elapsed_ms')} ms",
        "parts:",
        *(f"  {json.dumps(part)}" for part in body.get("parts") or ()),
    ]
    return Outcome(ExitStatus.SUCCESS, "\n".join(lines), data)


async def explain_request(command: ExplainRequest, client: ControlClient) -> Outcome:
    """Look up a request at all known entry processes and the given dispatch processes."""
    entries = list(command.entries)
    error_messages: list[str] = []
    if client.addresses:
        status = await client.status()
        if not isinstance(status, Failure):
            entries += [
                member.member.entry_address
                for member in status.members
                if member.member.entry_address
            ]
        elif entries and status.reason is not ClientReason.REFUSED:
            error_messages.append(status.message)
        else:
            return describe_unreachable(status)
    entries = [entry for entry in dict.fromkeys(entries) if not find_bad_address([entry])]
    path = quote(command.request_id, safe="")
    lookup = Lookup(timeout_s=client.remaining_s(), error_messages=error_messages)
    await lookup.ask([(entry, f"/v1/explain/{path}") for entry in entries], first_only=True)
    asked_dispatch = [(address, f"/explain/{path}") for address in command.dispatch_status]
    await lookup.ask(asked_dispatch, first_only=False)
    return describe_lookup(command.request_id, lookup)


class Lookup:
    """Traces found so far, and error messages of the processes that gave no usable response."""

    __slots__ = ("timeout_s", "error_messages", "traces", "asked_count")

    def __init__(self, timeout_s: float, error_messages: list[str]) -> None:
        self.timeout_s = timeout_s
        self.error_messages = error_messages
        self.traces: list[dict] = []
        self.asked_count = 0

    async def ask(self, endpoints: Sequence[tuple[str, str]], first_only: bool) -> None:
        """Query all (address, path) concurrently; `first_only` stops at the first trace."""
        self.asked_count += len(endpoints)
        async with open_session() as session:
            tasks = [
                asyncio.create_task(self._ask_one(session, *endpoint)) for endpoint in endpoints
            ]
            for task in asyncio.as_completed(tasks):
                if await task and first_only:
                    break
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _ask_one(self, session: ClientSession, address: str, path: str) -> bool:
        match await get_json(session, address, path, self.timeout_s):
            case Failure(message=message):
                self.error_messages.append(message)
            case HttpResponse(status=200, body=body):
                self.traces.append({"address": address, "trace": body})
                return True
            case HttpResponse(status=status) if status != HTTP_NOT_FOUND:
                self.error_messages.append(f"{address}: HTTP status {status}")
        return False


def describe_lookup(request_id: str, lookup: Lookup) -> Outcome:
    """Return the outcome of `explain`."""
    data = {
        "request_id": request_id,
        "traces": lookup.traces,
        "not_answered": lookup.error_messages,
    }
    if lookup.traces:
        text = format_traces(request_id, lookup.traces, lookup.error_messages)
        return Outcome(ExitStatus.SUCCESS, text, data)
    return describe_missing(request_id, lookup.asked_count, lookup.error_messages, data)


def describe_missing(
    request_id: str, asked_count: int, error_messages: Sequence[str], data: dict
) -> Outcome:
    """Return the outcome when no trace was found."""
    if error_messages:
        message = (
            f"request {request_id!r} was not found, but not all processes responded:"
            f" {'; '.join(error_messages)}"
        )
        return make_error(ExitStatus.UNAVAILABLE, "entry_no_answer", message, **data)
    message = (
        f"request {request_id!r} is unknown to all {asked_count} processes asked; each keeps only"
        " its latest requests (`entry.explain_entries`) and loses them at a restart"
    )
    return make_error(ExitStatus.NOT_FOUND, "unknown", message, **data)


def format_traces(request_id: str, traces: Sequence[dict], error_messages: Sequence[str]) -> str:
    """Return the text form of all traces."""
    lines = [f"request {request_id}"]
    for item in traces:
        lines += [f"at {item['address']}:", *format_value(item["trace"], 1)]
    lines += [f"not answered: {message}" for message in error_messages]
    return "\n".join(lines)


def format_value(value: object, depth: int) -> list[str]:
    """Format nested JSON as indented lines; a list of flat objects becomes a table."""
    indent = INDENT * depth
    match value:
        case dict():
            lines: list[str] = []
            for key, item in value.items():
                if is_nested(item):
                    lines += [f"{indent}{key}:", *format_value(item, depth + 1)]
                else:
                    lines.append(f"{indent}{key}: {format_flat(item)}")
            return lines
        case [dict() as first, *others] if is_table(first, others):
            rows = [[format_flat(cell) for cell in item.values()] for item in value]
            return [indent + line for line in format_table(list(first), rows)]
        case list():
            return [
                line
                for item in value
                for line in ([f"{indent}-"] if is_nested(item) else [])
                + format_value(item, depth + is_nested(item))
            ]
        case _:
            return [f"{indent}{format_flat(value)}"]


def is_nested(value: object) -> bool:
    """Return whether a value is a non-empty object or list; it is printed on separate lines."""
    return isinstance(value, dict | list) and bool(value)


def is_table(first: dict, others: Sequence[object]) -> bool:
    """Return whether all items are objects with the same keys and without nested values."""
    return all(
        isinstance(item, dict)
        and list(item) == list(first)
        and not any(map(is_nested, item.values()))
        for item in (first, *others)
    )


def format_flat(value: object) -> str:
    """Format a value on one line."""
    return value if isinstance(value, str) else json.dumps(value)
