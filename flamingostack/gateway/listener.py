"""Accepted connections: read in slices, and none lost when the socket for callers is closed.

`asyncio.Server.close` drops the connections that it has accepted in the same step of the event
loop, and resets those that wait in the backlog. Their callers may have sent a request by then.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

import structlog
from aiohttp.web_protocol import RequestHandler

from ..store import READ_BYTES
from .backlog import BACKLOG
from .model import Address

# Pause after the process or the machine has run out of descriptors or memory.
ACCEPT_RETRY_S = 0.25
EXHAUSTED_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Pause while as many connections are open as may be and all are in use.
ROOM_RETRY_S = 0.02
# Connections accepted in one step of the event loop.
ACCEPTS_PER_STEP = 64


class SliceConnection(RequestHandler):
    """A connection that is read in slices, so that one peer cannot hold the event loop."""

    __slots__ = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to read in slices."""
        super().connection_made(transport)
        transport.max_size = READ_BYTES


class Listener:
    """Accepts connections at one address, each with a protocol of its own.

    `make_room` returns whether one more may be accepted, beside a number of those that have no
    protocol yet. While it does not, new ones wait in the backlog.
    """

    __slots__ = (
        "_socket",
        "_make_protocol",
        "_make_room",
        "_log",
        "_loop",
        "_starts",
        "_unopened",
        "_is_closed",
    )

    def __init__(
        self,
        listening_socket: socket.socket,
        make_protocol: Callable[[], asyncio.BaseProtocol],
        log: structlog.typing.FilteringBoundLogger,
        make_room: Callable[[int], bool] | None = None,
    ) -> None:
        self._socket = listening_socket
        self._make_protocol = make_protocol
        self._make_room = make_room
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._starts: set[asyncio.Task[None]] = set()
        # Accepted connections that their protocol does not know yet.
        self._unopened: set[socket.socket] = set()
        self._is_closed = False
        self._resume()

    @property
    def port(self) -> int:
        """Port on which connections are accepted."""
        return self._socket.getsockname()[1]

    async def close(self) -> None:
        """Accept the connections that wait in the backlog, and no more, whatever room there is.

        Return once each of them is handled by its protocol. Further calls have no effect.
        """
        if self._is_closed:
            return
        self._loop.remove_reader(self._socket)
        for _ in range(BACKLOG):
            if not self._accept_one():
                break
        self._is_closed = True
        self._loop.remove_reader(self._socket)
        self._socket.close()
        if self._starts:
            await asyncio.wait(self._starts)

    def _resume(self) -> None:
        if not self._is_closed:
            self._loop.add_reader(self._socket, self._accept_waiting)

    def _accept_waiting(self) -> None:
        for _ in range(ACCEPTS_PER_STEP):
            if self._make_room is not None and not self._make_room(len(self._unopened)):
                self._loop.remove_reader(self._socket)
                self._loop.call_later(ROOM_RETRY_S, self._resume)
                return
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept a connection; return whether more may wait."""
        try:
            connection, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            self._pause(error)
            return False
        connection.setblocking(False)
        self._unopened.add(connection)
        task = self._loop.create_task(self._start(connection))
        self._starts.add(task)
        task.add_done_callback(self._starts.discard)
        return True

    def _pause(self, error: OSError) -> None:
        # Other errors concern only the new connection.
        if error.errno not in EXHAUSTED_ERRORS:
            return
        self._log.error("accept_failed", detail=repr(error), retry_s=ACCEPT_RETRY_S)
        self._loop.remove_reader(self._socket)
        self._loop.call_later(ACCEPT_RETRY_S, self._resume)

    async def _start(self, connection: socket.socket) -> None:
        def make_protocol() -> asyncio.BaseProtocol:
            protocol = self._make_protocol()
            # Runs just before `connection_made`, in which the protocol counts the connection.
            self._loop.call_soon(self._unopened.discard, connection)
            return protocol

        try:
            await self._loop.connect_accepted_socket(make_protocol, connection)
        except Exception as error:
            # One connection must not leave its socket open, nor the others unserved.
            connection.close()
            self._log.error("connection_failed", detail=repr(error))
        finally:
            self._unopened.discard(connection)


def open_listener(
    address: Address,
    make_protocol: Callable[[], asyncio.BaseProtocol],
    log: structlog.typing.FilteringBoundLogger,
    listening_socket: socket.socket | None = None,
    make_room: Callable[[int], bool] | None = None,
) -> Listener:
    """Return a listener that accepts at `address`; raise OSError if the address is not free.

    `listening_socket` is one that listens there already; for `make_room` see `Listener`.
    """
    if listening_socket is None:
        listening_socket = socket.create_server(address, backlog=BACKLOG)
        listening_socket.setblocking(False)
    return Listener(listening_socket, make_protocol, log, make_room)
