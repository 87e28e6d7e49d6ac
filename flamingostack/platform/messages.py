"""HTTP messages of callers and targets: header names, and the meaning of status codes."""

from __future__ import annotations

import enum
import functools
import re
import time
from collections.abc import Iterable, Mapping
from email.utils import parsedate_to_datetime
from math import inf

from multidict import CIMultiDict, CIMultiDictProxy, istr

from ..gateway.model import TargetLoad, TargetNotice
from .tenants import compute_digest

READINESS_PATH = "/-/readiness"

# Names of header fields are `istr`, which saves folding their case at each look-up.
REQUEST_ID = istr("X-Request-Id")
# The time left at the moment of sending, as a duration and not a point in time.
TIME_LEFT = istr("X-Deadline-Milliseconds")
TIME_LEFT_NAME = TIME_LEFT.encode()
# The signature with which a target marks its response to one request.
SIGNATURE = istr("X-Response-Stamp")
EXPECTED_TARGET = istr("X-Expected-Instance")
LOAD = istr("X-Server-Load")
NOT_RUN = istr("X-Not-Executed")
LEAVING = istr("Server-Leaving")
LIMIT = istr("Server-Limit")
PART_SIGNATURES = istr("X-Part-Stamps")
MISSING_PARTS = istr("X-Missing-Parts")
RETRY_AFTER = istr("Retry-After")
AUTHORIZATION = istr("Authorization")
# The organisation of a request. Targets trust it, so that of a caller is never passed on.
ORGANISATION = istr("X-Tenant")
CONTENT_ENCODING = istr("Content-Encoding")
KEY_SCHEME = "bearer"

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
GATEWAY_REQUEST_HEADERS = frozenset(
    name.lower() for name in (TIME_LEFT, EXPECTED_TARGET, ORGANISATION)
)
MS_PER_S = 1000
PERCENT = 100
# Machines are documented to become 2.5 times slower, and targets up to 10 times; a figure far
# outside of that is taken for another unit or an error.
MIN_TIME_FACTOR = 0.1
MAX_TIME_FACTOR = 20.0
# Statuses that promise callers that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
UNAUTHORIZED_STATUS = 401
# Methods whose requests have no body unless they announce one.
METHODS_WITHOUT_BODY = frozenset(("GET", "HEAD", "OPTIONS", "TRACE", "DELETE"))
# Announces after how many idle seconds a target closes a connection.
KEEP_ALIVE_TIMEOUT = re.compile(r"\btimeout=(\d{1,6})\b")
ABSOLUTE_TARGET = re.compile(r"https?://([^/?#]*)([/?].*)?", re.IGNORECASE)
LINE_BREAKING = re.compile(r"[\r\n\0]")
# What nearly all answers say: nothing, so that no earlier limit is in force any more.
NO_NOTICE = TargetNotice()


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


def read_key_digest(headers: CIMultiDictProxy[str]) -> str | None:
    """Return the digest of the request's API key; None without exactly one well-formed key."""
    values = headers.getall(AUTHORIZATION, ())
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(" ")
    key = key.strip()
    if scheme.lower() != KEY_SCHEME or not key:
        return None
    return compute_digest(key)


def select_request_headers(
    headers: CIMultiDictProxy[str], organisation: str | None = None, is_keyed: bool = False
) -> CIMultiDict[str]:
    """Return the headers of a caller's request that are forwarded to targets.

    `organisation` is the name of the caller's organisation. With `is_keyed`, requests are
    authorised by keys, which targets must not see.
    """
    connection_headers = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    dropped = HOP_BY_HOP_HEADERS | GATEWAY_REQUEST_HEADERS | connection_headers
    # A caller that lists these as headers of its connection would lose its request's identity.
    dropped -= END_TO_END_HEADERS
    if is_keyed:
        dropped |= {AUTHORIZATION.lower()}
    selected = CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )
    if organisation is not None:
        selected[ORGANISATION] = organisation
    return selected


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
    return b"%b%b: %d\r\n" % (encode_target_line(target_id), TIME_LEFT_NAME, milliseconds)


# As many as a large fleet has targets; an entry takes 0.3 KB.
@functools.lru_cache(maxsize=16_384)
def encode_target_line(target_id: str) -> bytes:
    """Return the header line with the id of a target; raise ValueError as above."""
    return encode_lines([f"{EXPECTED_TARGET}: {target_id}"])


def encode_lines(lines: list[str]) -> bytes:
    """Encode header lines; raise ValueError if one holds a line break or NUL."""
    for line in lines:
        check_line(line)
    return ("\r\n".join(lines) + "\r\n").encode("utf-8", "surrogateescape")


def check_line(line: str) -> None:
    """Raise ValueError if a header line holds a line break or NUL."""
    if LINE_BREAKING.search(line):
        raise ValueError(f"line break in header line {line!r}")


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
        if not headers.get(SIGNATURE) or CONTENT_ENCODING in headers:
            return ResponseKind.UNVERIFIED
        return ResponseKind.ANSWERED
    return ResponseKind.FAILED


def read_signature(headers: Mapping[str, str]) -> str:
    """Return the target's signature of its response; empty if it has none."""
    return headers.get(SIGNATURE, "")


def read_load(headers: Mapping[str, str]) -> TargetLoad | None:
    """Return the load that a target reports; None if it is missing or malformed."""
    numbers = headers.get(LOAD, "").split(",")
    if len(numbers) not in (3, 4):
        return None
    try:
        running, waiting, slots = int(numbers[0]), int(numbers[1]), int(numbers[2])
    except ValueError:
        return None
    if slots <= 0:
        return None
    time_factor = read_time_factor(numbers[3]) if len(numbers) == 4 else 1.0
    return TargetLoad(running, waiting, slots, time_factor)


def read_time_factor(text: str) -> float:
    """Return how many times as long as usual work takes; 1 if malformed or absurd.

    A wrong figure does not invalidate the others of its header.
    """
    try:
        factor = float(text) / PERCENT
    except ValueError:
        return 1.0
    return factor if MIN_TIME_FACTOR <= factor <= MAX_TIME_FACTOR else 1.0


def read_notice(status: int, headers: CIMultiDict[str]) -> TargetNotice:
    """Return what a target says of itself with an answer.

    Only a refusal (503) says for how long the target is closed.
    """
    if status != UNAVAILABLE_STATUS and LEAVING not in headers and LIMIT not in headers:
        return NO_NOTICE
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


def make_refusal_headers(
    request_id: str, retry_after_s: float | None, status: int = UNAVAILABLE_STATUS
) -> dict[str, str]:
    """Return the headers of a failure response that the gateway itself generates."""
    headers = {REQUEST_ID: request_id} if request_id else {}
    if status == UNAUTHORIZED_STATUS:
        headers["WWW-Authenticate"] = KEY_SCHEME.title()
    if retry_after_s is not None:
        headers[RETRY_AFTER] = f"{retry_after_s:.3f}"
    return headers
