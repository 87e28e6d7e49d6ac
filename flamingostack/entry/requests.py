"""Decoding of API requests, and the checks that need no fleet state."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ..errors import Failure, make_failure
from ..strict import StrictStruct
from .refusals import EntryReason

MAX_IDEMPOTENCY_KEY_LENGTH = 256

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Share = Annotated[float, Meta(ge=0, le=1)]


class QueryRequest(StrictStruct):
    """Body of `POST /v1/query`; `low` and `high` bound the queried key range."""

    request_class: Name = msgspec.field(name="class")
    tenant: Name
    query: msgspec.Raw
    low: int | None = None
    high: int | None = None
    deadline_ms: float | None = None
    min_coverage: Share | None = None


class SubmitRequest(StrictStruct):
    """Body of `POST /v1/submit`; `key` is the position in the keyspace."""

    request_class: Name = msgspec.field(name="class")
    tenant: Name
    key: int
    body: msgspec.Raw
    deadline_ms: float | None = None


QUERY_DECODER = msgspec.json.Decoder(QueryRequest)
SUBMIT_DECODER = msgspec.json.Decoder(SubmitRequest)


def decode_query(body: bytes) -> QueryRequest | Failure[EntryReason]:
    """Decode a query; the failure's message names the path of the invalid value."""
    return _decode(QUERY_DECODER, body)


def decode_submit(body: bytes) -> SubmitRequest | Failure[EntryReason]:
    """Decode a submit; the failure's message names the path of the invalid value."""
    parsed = _decode(SUBMIT_DECODER, body)
    if isinstance(parsed, Failure):
        return parsed
    try:
        # The body is hashed later, when a value that cannot be decoded would be an internal error.
        msgspec.json.decode(parsed.body)
    except (msgspec.DecodeError, RecursionError) as error:
        return make_failure(EntryReason.MALFORMED, f"{error} - at `$.body`")
    return parsed


def check_idempotency_key(key: str | None) -> Failure[EntryReason] | None:
    """Return a failure if the Idempotency-Key header is missing or not valid."""
    if key and len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH and key.isascii() and key.isprintable():
        return None
    return make_failure(
        EntryReason.MALFORMED,
        f"the Idempotency-Key header must have 1 to {MAX_IDEMPOTENCY_KEY_LENGTH} printable"
        " ASCII characters",
    )


def _decode(decoder: msgspec.json.Decoder, body: bytes):
    try:
        # The decoder does not check the UTF-8 of values that are passed on undecoded.
        if not body.isascii():
            body.decode()
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return make_failure(EntryReason.MALFORMED, str(error))
