"""A target whose answers are malformed, endless, repeated, cut or late; never shipped.

The answers are made by `make_misbehaviour` from a seed, or given as a script of steps.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import socket
import struct
from collections.abc import Callable, Iterable

HOST = "127.0.0.1"
REQUEST_END = b"\r\n\r\n"
ENDLESS_BLOCK_BYTES = 65536
STALL_S = 0.02
WRITE_POLL_S = 0.001


class Write:
    """Write these bytes."""

    __slots__ = ("data",)

    def __init__(self, data: bytes) -> None:
        self.data = data


class WriteEndlessly:
    """Write a block again and again until the other side closes the connection."""

    __slots__ = ("block",)

    def __init__(self, block: bytes) -> None:
        self.block = block * (ENDLESS_BLOCK_BYTES // len(block) + 1)


class Stall:
    """Write nothing for some seconds."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float = STALL_S) -> None:
        self.seconds = seconds


class Close:
    """Close the connection, with a reset if `is_reset`."""

    __slots__ = ("is_reset",)

    def __init__(self, is_reset: bool = False) -> None:
        self.is_reset = is_reset


class HalfClose:
    """Close the sending direction only."""

    __slots__ = ()


Step = Write | WriteEndlessly | Stall | Close | HalfClose
Script = Callable[[str], list[Step]]


class HostileTarget:
    """Accepts connections, and plays a script for each request that it receives.

    `script` maps the id of a request to steps; calls to a store or a peer have the id "". The port
    is set once it has started.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.port = 0
        self.request_ids: list[str] = []
        self.connections = 0
        # Bytes written to connections that are closed now, and to those still open.
        self.written_bytes = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(REQUEST_END)).decode()
                match = re.search(r"(?i)x-request-id: (\S+)", head)
                request_id = match[1] if match else ""
                self.request_ids.append(request_id)
                await play_steps(self.script(request_id), writer.transport, self._count_written)
        writer.close()

    def _count_written(self, data: bytes) -> None:
        self.written_bytes += len(data)


async def play_steps(
    steps: Iterable[Step],
    transport: asyncio.Transport,
    on_written: Callable[[bytes], None] | None = None,
) -> None:
    """Play steps on a connection; raise ConnectionResetError once it is closed by either side.

    `on_written` is called with all data that was handed to the transport.
    """

    async def write(data: bytes) -> None:
        transport.write(data)
        if on_written is not None:
            on_written(data)
        while transport.get_write_buffer_size() > ENDLESS_BLOCK_BYTES:  # noqa: ASYNC110
            await asyncio.sleep(WRITE_POLL_S)

    for step in steps:
        if transport.is_closing():
            raise ConnectionResetError
        match step:
            case Write(data=data):
                await write(data)
            case WriteEndlessly(block=block):
                while not transport.is_closing():
                    await write(block)
                    await asyncio.sleep(0)
            case Stall(seconds=seconds):
                await asyncio.sleep(seconds)
            case HalfClose():
                transport.write_eof()
            case Close(is_reset=is_reset):
                if is_reset:
                    reset_on_close = struct.pack("ii", 1, 0)
                    own_socket = transport.get_extra_info("socket")
                    own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close)
                    transport.abort()
                raise ConnectionResetError


def make_head(request_id: str, *fields: str, status: str = "200 OK") -> bytes:
    """Return the head of an answer to a request, with its signature and these fields."""
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Request-Id: {request_id}",
        f"X-Response-Stamp: {request_id}.stamp",
        *fields,
    ]
    return "\r\n".join(lines).encode() + REQUEST_END


def make_answer(request_id: str, body: bytes) -> bytes:
    """Return a whole answer to a request."""
    return make_head(request_id, f"Content-Length: {len(body)}") + body


def make_misbehaviour(seed: int, body: bytes) -> Script:
    """Return a script that answers with `body`, misbehaving in one way that depends on the seed.

    The answer is cut, extended, repeated, delayed, or interleaved with other bytes, at any byte.
    """

    def script(request_id: str) -> list[Step]:
        choices = random.Random(f"{seed} {len(request_id)}")
        framing = choices.choice(("length", "chunked", "close"))
        whole = encode_answer(request_id, body, framing)
        at = choices.randrange(len(whole) + 1)
        junk = bytes(choices.randrange(256) for _ in range(choices.randrange(1, 40)))
        foreign = choices.choice(
            (b"HTTP/1.1 100 Continue\r\n\r\n", make_answer("other", b"foreign"), junk, b"a", b"\n")
        )
        end = [Close()] if framing == "close" else []
        match choices.randrange(8):
            case 0:
                return [Write(whole[:at]), Close(is_reset=choices.random() < 0.5)]
            case 1:
                return [Write(whole[:at]), WriteEndlessly(foreign)]
            case 2:
                return [Write(whole[:at] + foreign + whole[at:]), *end]
            case 3:
                return [Write(foreign + whole), *end]
            case 4:
                return [Write(whole + foreign), *end]
            case 5:
                return [Write(whole[:at]), Stall(), Write(whole[at:]), *end]
            case 6:
                return [Write(whole + whole), *end]
            case _:
                return [Write(whole), Stall(), Write(foreign), *end]

    return script


def encode_answer(request_id: str, body: bytes, framing: str) -> bytes:
    """Return a whole answer whose body ends by "length", "chunked" or the connection ("close")."""
    match framing:
        case "length":
            return make_answer(request_id, body)
        case "chunked":
            half = len(body) // 2
            chunks = [f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in split(body, half)]
            head = make_head(request_id, "Transfer-Encoding: chunked")
            return head + b"".join(chunks) + b"0\r\n\r\n"
    return make_head(request_id) + body


def split(body: bytes, at: int) -> list[bytes]:
    """Return the non-empty parts of `body` before and after a position."""
    return [part for part in (body[:at], body[at:]) if part]
