"""HTTP/1.1 messages over asyncio streams, as far as the stand-ins need them."""

from __future__ import annotations

import asyncio
import json
from typing import Any

MAX_HEAD_BYTES = 256 * 1024
REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Message:
    """A request or a response; the names of the header fields are in lower case."""

    __slots__ = ("start", "headers", "body")

    def __init__(self, start: list[str], headers: dict[str, str], body: bytes) -> None:
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]]:
    """Read a start line and header fields; raise IncompleteReadError at the end of the stream."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = (line.partition(":") for line in lines)
    return first.split(" ", 2), {name.lower(): value.strip() for name, _, value in fields}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole request, or a response that has a length or chunks."""
    start, headers = await read_head(reader)
    return Message(start, headers, await read_body(reader, headers))


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def encode_json(status: int, content: Any) -> bytes:
    """Return the bytes of a response with a JSON body."""
    return encode_response(
        status, {"Content-Type": "application/json"}, json.dumps(content).encode()
    )
