"""HTTP messages of callers and targets: header names, and the meaning of status codes."""

from __future__ import annotations

import enum
import re
import time
from collections.abc import Iterable, Mapping
from email.utils import parsedate_to_datetime
from math import inf

from multidict import CIMultiDict, CIMultiDictProxy

from ..gateway.model import TargetLoad, TargetNotice

READINESS_PATH = "/-/readiness"

REQUEST_ID = "X-Request-Id"
# The time left at the moment of sending, as a duration and not a point in time.
TIME_LEFT = "X-Deadline-Milliseconds"
# The signature with which a target marks its response to one request.
SIGNATURE = "X-Response-Stamp"
EXPECTED_TARGET = "X-Expected-Instance"
LOAD = "X-Server-Load"
NOT_RUN = "X-Not-Executed"
LEAVING = "Server-Leaving"
LIMIT = "Server-Limit"
PART_SIGNATURES = "X-Part-Stamps"
MISSING_PARTS = "X-Missing-Parts"
RETRY_AFTER = "Retry-After"

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Expect",
        "Content-Length",
    )
)
END_TO_END_HEADERS = frozenset(("host", REQUEST_ID.lower()))
GATEWAY_REQUEST_HEADERS = frozenset(name.lower() for name in (TIME_LEFT, EXPECTED_TARGET))
MS_PER_S = 1000
# Statuses that promise callers that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# Methods whose requests have no body unless they announce one.
METHODS_WITHOUT_BODY = frozenset(("GET", "HEAD", "OPTIONS", "TRACE", "DELETE"))
# Announces after how many idle seconds a target closes a connection.
KEEP_ALIVE_TIMEOUT = re.compile(r"\btimeout=(\d{1,6})\b")
ABSOLUTE_TARGET = re.compile(r"https?://([^/?#]*)([/?].*)?", re.IGNORECASE)
LINE_BREAKING = re.compile(r"[\r\n\0]")


class ResponseKind(enum.Enum):
    """Classification of a target's response by what it says about the request."""

    ANSWERED = "answered"
    # The target reports that it did not run the request.
    NOT_RUN = "not_run"
    # Another target now has the address.
    WRONG_TARGET = "wrong_target"
    # A failure; the request may have run.
    FAILED = "failed"
    # A response to another request, or one that can't come from a target because it lacks the
    # signature or is encoded.
    UNVERIFIED = "not_ours"


def read_request_id(headers: Mapping[str, str]) -> str:
    """Return the id of a caller's request; empty if it has none."""
    return headers.get(REQUEST_ID, "")


def has_ambiguous_id(headers: CIMultiDictProxy[str]) -> bool:
    """Return whether a request names more than one id."""
    return len(headers.getall(REQUEST_ID, ())) > 1


def read_time_left_s(headers: Mapping[str, str]) -> float | None:
    """Return how long the caller will wait, in seconds; None if missing or invalid."""
    try:
        value = float(headers[TIME_LEFT])
    except (KeyError, ValueError):
        return None
    return value / MS_PER_S if 0 <= value < float("inf") else None


def split_target(raw_path: str, host: str) -> tuple[str, str]:
    """Return host and path of a request from its target and its Host header.

    A target in absolute form ("http://host/path") takes precedence over the Host header.
    """
    match = ABSOLUTE_TARGET.fullmatch(raw_path)
    return (match[1], match[2] or "/") if match else (host, raw_path)


def select_request_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the headers of a caller's request that are forwarded to targets."""
    connection_headers = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    dropped = HOP_BY_HOP_HEADERS | GATEWAY_REQUEST_HEADERS | connection_headers
    # A caller that lists these as headers of its connection would lose its request's identity.
    dropped -= END_TO_END_HEADERS
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )


def encode_request(method: str, path: str, headers: CIMultiDict[str], body: bytes) -> bytes:
    """Return the part of a request's head that is the same for all sends, without the empty line.

    Raise ValueError if a value would break the line that it is in.
    """
    lines = [f"{method} {path} HTTP/1.1"]
    if "Host" not in headers:
        lines.append("Host: ")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in METHODS_WITHOUT_BODY:
        lines.append(f"Content-Length: {len(body)}")
    return encode_lines(lines)


def encode_send_headers(target_id: str, time_left_s: float) -> bytes:
    """Return the header lines of one send: the id of its target and the current time left.

    Raise ValueError if the id would break its line.
    """
    milliseconds = max(int(time_left_s * MS_PER_S), 1)
    return encode_lines([f"{EXPECTED_TARGET}: {target_id}", f"{TIME_LEFT}: {milliseconds}"])


def encode_lines(lines: list[str]) -> bytes:
    """Encode header lines; raise ValueError if one holds a line break or NUL."""
    for line in lines:
        if LINE_BREAKING.search(line):
            raise ValueError(f"line break in header line {line!r}")
    return ("\r\n".join(lines) + "\r\n").encode("utf-8", "surrogateescape")


def decode_header(text: bytes) -> str:
    """Decode the name or value of a header; bytes that are no UTF-8 survive a round trip."""
    return text.decode("utf-8", "surrogateescape")


def is_for_other_request(
    headers: Mapping[str, str], request_id: str, is_id_required: bool = False
) -> bool:
    """Return whether a response carries another request's id, or none where one is required."""
    return headers.get(REQUEST_ID, "" if is_id_required else request_id) != request_id


def classify_response(status: int, headers: Mapping[str, str], request_id: str) -> ResponseKind:
    """Classify a response to the request with this id; its body must be complete."""
    if is_for_other_request(headers, request_id):
        return ResponseKind.UNVERIFIED
    if status == MISDIRECTED_STATUS:
        return ResponseKind.WRONG_TARGET
    if NOT_RUN in headers:
        return ResponseKind.NOT_RUN
    if 200 <= status < 300:
        # A successful response must have the target's signature and an unencoded body.
        if not headers.get(SIGNATURE) or "Content-Encoding" in headers:
            return ResponseKind.UNVERIFIED
        return ResponseKind.ANSWERED
    return ResponseKind.FAILED


def read_signature(headers: Mapping[str, str]) -> str:
    """Return the target's signature of its response; empty if it has none."""
    return headers.get(SIGNATURE, "")


def read_load(headers: Mapping[str, str]) -> TargetLoad | None:
    """Return the load that a target reports; None if it is missing or malformed."""
    numbers = headers.get(LOAD, "").split(",")
    if len(numbers) != 3:
        return None
    try:
        running, waiting, slots = (int(number) for number in numbers)
    except ValueError:
        return None
    return TargetLoad(running, waiting, slots) if slots > 0 else None


def read_notice(status: int, headers: CIMultiDict[str]) -> TargetNotice:
    """Return what a target says of itself with an answer.

    Only a refusal (503) says for how long the target is closed.
    """
    closed_texts = headers.getall(RETRY_AFTER, ()) if status == UNAVAILABLE_STATUS else ()
    return TargetNotice(
        is_leaving="1" in (text.strip() for text in headers.getall(LEAVING, ())),
        requests_per_s=read_limit(headers.getall(LIMIT, ())),
        closed_s=max((read_delay_s(text, time.time()) for text in closed_texts), default=0.0),
    )


def read_delay_s(text: str, wall_time_s: float) -> float:
    """Return a delay that is given in seconds or as a date; 0 if it is malformed or past."""
    try:
        delay_s = float(text)
    except ValueError:
        try:
            delay_s = parsedate_to_datetime(text).timestamp() - wall_time_s
        except (ValueError, OverflowError):
            return 0.0
    return delay_s if 0 < delay_s < inf else 0.0


def read_limit(texts: Iterable[str]) -> float | None:
    """Return the lowest of the limits named, infinite without one; None if one is malformed."""
    lowest = inf
    for text in texts:
        try:
            limit = float(text)
        except ValueError:
            return None
        if not 0 <= limit < inf:
            return None
        lowest = min(lowest, limit)
    return lowest


def select_response_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the headers of a target's response that are returned to the caller."""
    connection_headers = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    dropped = HOP_BY_HOP_HEADERS | connection_headers
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )


def make_merged_headers(request_id: str, signatures: Iterable[str], missing: int) -> dict[str, str]:
    """Return the headers of a response merged from parts with these signatures.

    `missing` is the number of parts that are left out.
    """
    return {
        REQUEST_ID: request_id,
        PART_SIGNATURES: ", ".join(signatures),
        MISSING_PARTS: str(missing),
    }


def make_request_headers(host: str, request_id: str, time_left_s: float) -> dict[str, str]:
    """Return the headers of a caller's request."""
    milliseconds = max(int(time_left_s * MS_PER_S), 1)
    return {"Host": host, REQUEST_ID: request_id, TIME_LEFT: str(milliseconds)}


def count_parts(headers: CIMultiDictProxy[str]) -> tuple[int, int] | None:
    """Return how many parts a merged answer has, one or more, and lacks; None if it is none."""
    signatures = ",".join(headers.getall(PART_SIGNATURES, ())).split(",")
    present = sum(bool(signature.strip()) for signature in signatures)
    missing = headers.get(MISSING_PARTS, "0")
    if not present or not (missing.isascii() and missing.isdigit()):
        return None
    return present, int(missing)


def read_retry_after_s(headers: Mapping[str, str]) -> float | None:
    """Return after how many seconds a refused caller may come back; None if that is not told."""
    try:
        return float(headers[RETRY_AFTER])
    except (KeyError, ValueError):
        return None


def make_refusal_headers(request_id: str, retry_after_s: float | None) -> dict[str, str]:
    """Return the headers of a failure response that the gateway itself generates."""
    headers = {REQUEST_ID: request_id} if request_id else {}
    if retry_after_s is not None:
        headers[RETRY_AFTER] = f"{retry_after_s:.3f}"
    return headers
