"""Explanation of a request to the gateway from the log lines of any number of instances.

Lines have the form of `logs.py`: key=value pairs, in which a string is quoted as in Python. Text
before the first pair is ignored, so that lines that a collector has prefixed are understood.
"""

from __future__ import annotations

import ast
import gzip
import re
import zlib
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import BinaryIO

from ..errors import Failure, make_failure
from ..status import ExitStatus
from .definition import ExplainRequest
from .environment import CommandEnvironment
from .files import STANDARD_INPUT, FileReason, get_display_name
from .output import Outcome, format_table, make_error

GZIP_MAGIC = b"\x1f\x8b"
# The gateway writes no longer lines; anything behind is not read as part of an event.
MAX_LINE_BYTES = 64 * 1024
PAIR = re.compile(
    r"(?:^|(?<=\s))(\w+)=('(?:[^'\\]|\\.)*'|\"(?:[^\"\\]|\\.)*\"|\[[^\]]*\]|\{[^}]*\}|\([^)]*\)|[^\s'\"]+)"
)
ANSWER_EVENTS = frozenset({"request_answered", "request_refused", "request_broken"})
SEND_EVENTS = frozenset({"extra_send", "send_failed"})
# The last of these lines before the request tell what its instance knew.
TARGET_EVENTS = frozenset({"target_changed", "target_removed", "target_notice"})
STORE_EVENTS = frozenset({"store_lost", "store_regained"})
SOURCE_EVENTS = frozenset({"store_watched", "store_followed"})
# What an instance knew of the order for a service, and what it was permitted.
ROLLOUT_EVENTS = frozenset(
    {
        "rollout_ordered",
        "rollout_share",
        "rollout_phase",
        "rollout_decided",
        "rollout_withdrawn",
    }
)
KNOWLEDGE_EVENTS = (
    TARGET_EVENTS
    | STORE_EVENTS
    | SOURCE_EVENTS
    | ROLLOUT_EVENTS
    | {"started", "stopping", "configuration_applied", "evacuations_changed", "marks_changed"}
)
SEND_HEADER = ("TIME", "EVENT", "SERVICE", "TARGET", "DETAIL")
# Keys of an event that its line of the story shows elsewhere, or that all events share.
HIDDEN_KEYS = frozenset({"event", "timestamp", "level", "instance", "failure_domain", "process"})
EVENT_HINTS = tuple(event.encode() for event in KNOWLEDGE_EVENTS)

Event = Mapping[str, object]


@dataclass(slots=True)
class InstanceKnowledge:
    """The last lines about the state of one instance, by subject."""

    events_by_subject: dict[str, Event] = field(default_factory=dict)

    def record(self, event: Event) -> None:
        """Replace the last line about the subject of an event."""
        self.events_by_subject[find_subject(event)] = event


@dataclass(slots=True)
class RequestStory:
    """The lines about one request at one instance, and what the instance knew before."""

    instance: str
    known_by_subject: dict[str, Event]
    answer: Event | None = None
    sends: list[Event] = field(default_factory=list)


def find_subject(event: Event) -> str:
    """Return what an event tells about; a later event about the same replaces it."""
    match event["event"]:
        case "target_changed" | "target_removed":
            return f"target {event.get('target')}"
        case "target_notice":
            return f"notice of {event.get('target')}"
        case "store_lost" | "store_regained":
            return f"store {event.get('kind')}"
        case "store_watched" | "store_followed":
            return "source"
        case "rollout_phase":
            return f"rollout at its coordinator {event.get('service')}"
        case "rollout_share":
            return f"rollout share {event.get('service')}"
        case "rollout_ordered" | "rollout_decided" | "rollout_withdrawn":
            return f"rollout {event.get('service')}"
        case "started" | "stopping":
            return "process"
        case name:
            return str(name)


def explain_from_logs(command: ExplainRequest, environment: CommandEnvironment) -> Outcome:
    """Return the story of a request from the logs that the command names."""
    stories_by_instance: dict[str, RequestStory] = {}
    error = read_logs(
        command.logs,
        environment,
        lambda stream: collect_stories(command.request_id, stream, stories_by_instance),
    )
    if error is not None:
        return error
    if not stories_by_instance:
        message = (
            f"request {command.request_id!r} is in none of the {len(command.logs)} logs: it never"
            " arrived there, its connection ended before it was read, or lines were dropped"
            " (`log_lines_dropped`)"
        )
        return make_error(ExitStatus.NOT_FOUND, "unknown", message)
    stories = list(stories_by_instance.values())
    data = {
        "request_id": command.request_id,
        "stories": [describe_story(story) for story in stories],
    }
    text = "\n".join(line for story in stories for line in format_story(command.request_id, story))
    return Outcome(ExitStatus.SUCCESS, text, data)


def read_logs(
    files: Iterable[str], environment: CommandEnvironment, read: Callable[[BinaryIO], None]
) -> Outcome | None:
    """Call `read` with the stream of each log; return an error if one cannot be read to its end."""
    for file in files:
        stream = open_log(file, environment)
        if isinstance(stream, Failure):
            return make_error(ExitStatus.INVALID_INPUT, stream.reason.code, stream.message)
        try:
            with stream:
                read(stream)
        except (OSError, EOFError, zlib.error) as error:
            message = f"{get_display_name(file)}: {error}"
            return make_error(ExitStatus.INVALID_INPUT, FileReason.UNREADABLE.code, message)
    return None


def open_log(file: str, environment: CommandEnvironment) -> BinaryIO | Failure[FileReason]:
    """Open a log, compressed or not, as a stream of lines."""
    if file == STANDARD_INPUT:
        stream = environment.stdin
    else:
        try:
            stream = open(file, "rb")  # noqa: SIM115
        except (OSError, ValueError) as error:
            detail = error.strerror if isinstance(error, OSError) else error
            return make_failure(FileReason.UNREADABLE, f"{get_display_name(file)}: {detail}")
    if hasattr(stream, "peek") and stream.peek(2)[:2] == GZIP_MAGIC:
        return gzip.open(stream)
    return stream


def read_lines(stream: BinaryIO) -> Iterator[bytes]:
    """Yield the lines of a stream; a longer line than `MAX_LINE_BYTES` comes in pieces."""
    while line := stream.readline(MAX_LINE_BYTES):
        yield line


def collect_stories(
    request_id: str, stream: BinaryIO, stories_by_instance: dict[str, RequestStory]
) -> None:
    """Add the lines of one log to the stories of the request, by instance."""
    knowledge_by_instance: dict[str, InstanceKnowledge] = {}
    encoded_id = request_id.encode(errors="surrogateescape")
    for line in read_lines(stream):
        is_about_request = encoded_id in line
        if not is_about_request and not any(hint in line for hint in EVENT_HINTS):
            continue
        event = parse_line(line.decode(errors="replace"))
        instance = str(event.get("instance", "?"))
        knowledge = knowledge_by_instance.setdefault(instance, InstanceKnowledge())
        name = event.get("event")
        if name in KNOWLEDGE_EVENTS:
            knowledge.record(event)
        elif is_about_request and event.get("request_id") == request_id:
            story = stories_by_instance.get(instance)
            if story is None:
                known = dict(knowledge.events_by_subject)
                story = stories_by_instance[instance] = RequestStory(instance, known)
            if name in ANSWER_EVENTS:
                story.answer = event
            elif name in SEND_EVENTS:
                story.sends.append(event)


def parse_line(line: str) -> Event:
    """Return the pairs of a line; a value that is no Python literal stays text."""
    event: dict[str, object] = {}
    for key, text in PAIR.findall(line):
        try:
            event[key] = ast.literal_eval(text)
        except (ValueError, SyntaxError, MemoryError, RecursionError):
            event[key] = text
    return event


def describe_story(story: RequestStory) -> dict[str, object]:
    """Return the story as JSON values."""
    return {
        "instance": story.instance,
        "cause": find_cause(story),
        "answer": dict(story.answer) if story.answer is not None else None,
        "sends": [dict(event) for event in story.sends],
        "known_before": [dict(event) for event in select_knowledge(story)],
    }


def find_cause(story: RequestStory) -> str:
    """Return in one sentence why the request ended as it did."""
    answer = story.answer
    if answer is None:
        return "no answer is logged: the caller left, the process ended, or lines were dropped"
    missing = split_names(answer.get("missing_services"))
    lacking = f"; no part from {describe_missing(story, missing)}" if missing else ""
    detail = answer.get("detail", "")
    match answer.get("event"), answer.get("status"), answer.get("reason"):
        case "request_refused", _, "over_limit":
            return f"refused, not run: tenant {answer.get('tenant')} has used up its limit"
        case "request_refused", _, "no_owner":
            return (
                f"refused, not run: no owner of the limit of tenant {answer.get('tenant')} has"
                " answered, or those that did have just started"
            )
        case "request_refused", _, "no_key":
            return "refused, not run: it has no API key, or not exactly one that is well-formed"
        case "request_refused", _, "unknown_key":
            return f"refused, not run: version {answer.get('version')} has no tenant with its key"
        case "request_refused", _, reason:
            return f"refused before it was sent anywhere: {reason}"
        case "request_broken", _, _:
            return f"could not be handled: {detail}"
        case _, 200, _ if missing:
            return f"answered without all parts{lacking}"
        case _, status, None:
            return f"answered with status {status} by its target"
        case _, _, "no_target":
            return f"refused, not run: {detail}{lacking}"
        case _, _, "unknown_key":
            return "refused, not run: its API key was removed while it waited"
        case _, _, "overloaded":
            return f"refused, not run: {detail}"
        case _, _, "deadline":
            return f"out of time: {detail}{lacking}"
        case _, _, "too_few_parts":
            return f"too few parts can still be answered: {detail}{lacking}"
        case _, status, reason:
            return f"status {status}, {reason}: {detail}"


def describe_missing(story: RequestStory, missing: Iterable[str]) -> str:
    """Return the services without an answer, each with what its sends have met."""
    targets_by_service = dict(
        item.split(">", 1) for item in split_names(story.answer.get("waiting_for")) if ">" in item
    )
    descriptions = []
    for service in missing:
        outcomes = [
            str(event.get("outcome"))
            for event in story.sends
            if event["event"] == "send_failed" and event.get("service") == service
        ]
        details = [f"{outcomes.count(name)} {name}" for name in dict.fromkeys(outcomes)]
        if service in targets_by_service:
            details.append(f"{targets_by_service[service]} has not answered")
        descriptions.append(f"{service} ({', '.join(details)})" if details else service)
    return ", ".join(descriptions)


def split_names(value: object) -> list[str]:
    """Return the items of a comma-separated field."""
    return [item for item in str(value or "").split(",") if item]


def select_knowledge(story: RequestStory) -> list[Event]:
    """Return what the instance knew before of the store and of the targets concerned, by time.

    These are the targets of the request, and the withdrawn ones of services without an answer.
    """
    answer = story.answer or {}
    missing = set(split_names(answer.get("missing_services")))
    targets = {str(event.get("target")) for event in story.sends}
    targets |= {item.partition(">")[2] for item in split_names(answer.get("waiting_for"))}

    services = {str(event.get("service")) for event in story.sends} | missing

    def is_relevant(event: Event) -> bool:
        if event["event"] in ROLLOUT_EVENTS and services:
            return event.get("service") in services
        if event["event"] not in TARGET_EVENTS or event.get("target") in targets:
            return True
        return bool(event.get("draining")) and event.get("service") in missing

    selected = filter(is_relevant, story.known_by_subject.values())
    return sorted(selected, key=lambda event: str(event.get("timestamp", "")))


def format_story(request_id: str, story: RequestStory) -> list[str]:
    """Return the lines that show a story to people."""
    answer = story.answer or {}
    status = answer.get("status", "no answer")
    lines = [
        f"request {request_id} at {story.instance}: status {status}"
        f" after {answer.get('elapsed_ms', '?')} ms",
        f"  cause: {find_cause(story)}",
    ]
    facts = {
        "route": answer.get("route"),
        "configuration version": answer.get("version"),
        "tenant": answer.get("tenant"),
        "token from": answer.get("token_of"),
        "tenant above its rate": "yes" if answer.get("above_rate") else None,
        "time left at arrival": format_ms(answer.get("time_left_ms")),
        "extra sends": answer.get("extra_sends"),
        "retry after": format_s(answer.get("retry_after_s")),
    }
    lines += [f"  {name}: {value}" for name, value in facts.items() if value is not None]
    lines += format_sends(answer)
    if story.sends:
        lines.append("  retries, hedges and failures:")
        lines += ["    " + line for line in format_table(SEND_HEADER, list_sends(story))]
    known = select_knowledge(story)
    if known:
        lines.append("  known before:")
        lines += [f"    {format_event(event)}" for event in known]
    return lines


def format_sends(answer: Event) -> list[str]:
    """Return the line that counts the finished sends by outcome, with the slowest answer."""
    counts: dict[str, int] = {}
    slowest = (-1, "")
    for item in split_names(answer.get("sends")):
        target, outcome, elapsed_ms = (item.rsplit(":", 2) + ["", ""])[:3]
        counts[outcome] = counts.get(outcome, 0) + 1
        if outcome == "answered" and elapsed_ms.isdecimal():
            slowest = max(slowest, (int(elapsed_ms), target))
    if not counts:
        return []
    text = ", ".join(f"{count} {outcome}" for outcome, count in counts.items())
    if slowest[1]:
        text += f"; slowest answer: {slowest[1]} after {slowest[0]} ms"
    return [f"  finished sends: {text}"]


def list_sends(story: RequestStory) -> list[tuple[str, ...]]:
    """Return the rows of the table of sends."""
    rows = []
    for event in story.sends:
        if event["event"] == "extra_send":
            name = str(event.get("cause"))
            detail = (
                f"after {event.get('waited_ms')} ms;"
                f" budget {event.get('window_spent')} of {event.get('window_allowance')}"
            )
        else:
            name = str(event.get("outcome"))
            detail = f"after {event.get('elapsed_ms')} ms"
            detail += f"; load {event['load']}" if event.get("load") else ""
            detail += f"; {event['detail']}" if event.get("detail") else ""
        service, target = str(event.get("service")), str(event.get("target"))
        rows.append((str(event.get("timestamp", "")), name, service, target, detail))
    return rows


def format_event(event: Event) -> str:
    """Return an event on one line, without what the story tells already."""
    pairs = ", ".join(f"{key} {value}" for key, value in event.items() if key not in HIDDEN_KEYS)
    return f"{event.get('timestamp', '')} {event['event']}: {pairs}".strip().rstrip(":")


def format_ms(value: object) -> str | None:
    """Return a time in milliseconds with its unit; None stays None."""
    return None if value is None else f"{value} ms"


def format_s(value: object) -> str | None:
    """Return a time in seconds with its unit; None stays None."""
    return None if value is None else f"{value} s"
