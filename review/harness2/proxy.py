"""A proxy for connections that can be cut silently."""

from __future__ import annotations

import asyncio
import contextlib


class Proxy:
    """Passes connections on to an address; while it is cut, nothing passes and nothing closes.

    They come from `host`, by which the other side can tell whose they are.
    """

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self.host = host
        self.target = target
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"

    def cut(self) -> None:
        """Pass nothing on."""
        self._open.clear()

    def heal(self) -> None:
        """Pass everything on again."""
        self._open.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._open.wait()
            other_reader, other_writer = await asyncio.open_connection(
                *self.target, local_addr=(self.host, 0)
            )
            await asyncio.gather(self._pass(reader, other_writer), self._pass(other_reader, writer))
        except (OSError, asyncio.CancelledError):
            writer.close()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        await self._open.wait()
        with contextlib.suppress(Exception):
            writer.close()
