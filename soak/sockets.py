"""Sockets of the callers, which record when bytes leave and when the other side has closed.

The soak's event loop may be late by seconds on a busy machine. What happened meanwhile is known
here all the same: bytes are recorded as they leave, and a thread waits for the ends of connections.
"""

from __future__ import annotations

import select
import socket
import threading
import time
import weakref
from collections.abc import Callable

# How often the thread looks whether it is to end.
POLL_INTERVAL_S = 0.2
CLOSED_BY_PEER = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class CallerSocket(socket.socket):
    """A socket that records its last send and the end of its connection, on the monotonic clock.

    `on_first_send` is called once, when the socket is connected.
    """

    __slots__ = ("sent_at", "closed_at", "on_first_send")

    def __init__(
        self, family: int, kind: int, protocol: int, on_first_send: Callable[[CallerSocket], None]
    ) -> None:
        super().__init__(family, kind, protocol)
        self.sent_at = 0.0
        # When the other side had closed the connection; 0 while it has not.
        self.closed_at = 0.0
        self.on_first_send = on_first_send

    def send(self, data: bytes, flags: int = 0) -> int:
        """Send, and record when."""
        is_first = not self.sent_at
        self.sent_at = time.monotonic()
        if is_first:
            self.on_first_send(self)
        return super().send(data, flags)


class CloseWatch:
    """A thread that records when the other side closes connections."""

    __slots__ = ("_epoll", "_socket_by_descriptor", "_is_stopped", "_thread")

    def __init__(self) -> None:
        self._epoll = select.epoll()
        # Descriptors are used again, so that an entry lasts as long as its socket at most.
        self._socket_by_descriptor: weakref.WeakValueDictionary[int, CallerSocket] = (
            weakref.WeakValueDictionary()
        )
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def make_socket(self, address: tuple) -> CallerSocket:
        """Return a socket for a connection to an address, as `aiohttp.TCPConnector` wants it."""
        family, kind, protocol, _, _ = address
        return CallerSocket(family, kind, protocol, self._watch)

    def stop(self) -> None:
        """End the thread."""
        self._is_stopped.set()
        self._thread.join()
        self._epoll.close()

    def _watch(self, caller_socket: CallerSocket) -> None:
        descriptor = caller_socket.fileno()
        self._socket_by_descriptor[descriptor] = caller_socket
        self._epoll.register(descriptor, CLOSED_BY_PEER | select.EPOLLONESHOT)

    def _run(self) -> None:
        while not self._is_stopped.is_set():
            for descriptor, _ in self._epoll.poll(POLL_INTERVAL_S):
                caller_socket = self._socket_by_descriptor.get(descriptor)
                if caller_socket is not None and not caller_socket.closed_at:
                    caller_socket.closed_at = time.monotonic()
