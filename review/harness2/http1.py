"""A small HTTP/1.1 server and client for the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

MAX_HEAD_BYTES = 1024 * 1024
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request"}


class Request:
    """A request that has arrived as a whole."""

    __slots__ = ("method", "path", "headers", "body", "connection")

    def __init__(
        self, method: str, path: str, headers: dict[str, str], body: bytes, connection: Connection
    ) -> None:
        self.method = method
        self.path = path
        # By name in lower case.
        self.headers = headers
        self.body = body
        self.connection = connection


class Response:
    """A response with a length."""

    __slots__ = ("status", "headers", "body")

    def __init__(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        self.status = status
        self.body = body
        self.headers = headers or {}

    def encode(self) -> bytes:
        """Return the bytes of the response."""
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines.append(f"Content-Length: {len(self.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + self.body


class Connection:
    """A connection of a server. Once it is silent, nothing is sent on it and it stays open."""

    __slots__ = ("reader", "writer", "is_silent")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.is_silent = False


Handler = Callable[[Request], Awaitable[Response | None]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its header fields by name in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message with a length or chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return body


class Server:
    """Serves one request at a time on each connection; the handler may return no response."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int = 0) -> None:
        """Listen at an address; port 0 takes a free one."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=MAX_HEAD_BYTES)
        self.host, self.port = self._server.sockets[0].getsockname()[:2]

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ")
                body = await read_body(reader, headers)
                response = await self.handler(Request(method, path, headers, body, connection))
                if response is None or connection.is_silent:
                    connection.is_silent = True
                    while await reader.read(65536):
                        pass
                    return
                writer.write(response.encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            # The end of the loop.
            pass
        finally:
            self.connections.discard(connection)
            with contextlib.suppress(Exception):
                writer.close()


class Answer:
    """What a client got for a request; `status` is 0 without a whole answer."""

    __slots__ = ("status", "headers", "body", "error")

    def __init__(self, status: int, headers: dict[str, str], body: bytes, error: str = "") -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.error = error


class Client:
    """A connection of a client, which sends one request at a time."""

    __slots__ = ("host", "port", "reader", "writer")

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, timeout_s: float = 1.0) -> None:
        """Open the connection."""
        async with asyncio.timeout(timeout_s):
            self.reader, self.writer = await asyncio.open_connection(
                self.host, self.port, limit=MAX_HEAD_BYTES
            )

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None

    async def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 5.0,
    ) -> Answer:
        """Send a request and return the answer; open the connection if it is not open."""
        lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        try:
            async with asyncio.timeout(timeout_s):
                if self.writer is None:
                    await self.open(timeout_s)
                self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                first, answer_headers = await read_head(self.reader)
                answer_body = await read_body(self.reader, answer_headers)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.close()
            return Answer(0, {}, b"", repr(error))
        if answer_headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(first.split(" ")[1]), answer_headers, answer_body)
