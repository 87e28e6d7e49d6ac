"""Accounting of the connections to a target against its connection cap."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from aiohttp import TCPConnector
from aiohttp.client_proto import ResponseHandler


class Connections:
    """Upper bound of the connections from this process that a target may count.

    aiohttp opens a connection only if none is idle, so the number of open connections never
    exceeds the largest number that was in use at one time (`max_open`). A connection that was
    closed because it stalled is half-open: the target may not have noticed and still count it.
    """

    __slots__ = ("cap", "in_use", "half_open", "max_open")

    def __init__(self, cap: int) -> None:
        self.cap = max(cap, 1)
        self.in_use = 0
        self.half_open = 0
        self.max_open = 0

    @property
    def available(self) -> int:
        """Number of further connections that may be used now."""
        return self.cap - self.half_open - self.in_use

    def acquire(self) -> None:
        """Count a connection, idle or new, as used by a request."""
        self.in_use += 1
        self.max_open = max(self.max_open, self.in_use)

    def release(self) -> None:
        """Count a connection as no longer used by a request."""
        self.in_use -= 1

    def abandon(self) -> None:
        """Count a released connection as half-open: it was closed because it stalled."""
        self.half_open += 1
        self.max_open = max(self.max_open - 1, 0)

    def expire(self) -> None:
        """Stop counting one half-open connection."""
        self.half_open -= 1

    def set_cap(self, cap: int) -> None:
        """Set the cap; connections in excess of it are closed after their next request."""
        self.cap = max(cap, 1)

    def take_excess(self) -> bool:
        """Return whether a connection must be closed after its request, and count it as closed.

        That is so while more connections may be open than the cap and the half-open ones allow.
        """
        if self.max_open <= self.cap - self.half_open:
            return False
        self.max_open -= 1
        return True


class WatchedConnector(TCPConnector):
    """Connector that reports each lost connection; aiohttp drops closed idle ones silently.

    `on_lost(by_target, remaining)` is called synchronously when a connection is lost: `by_target`
    is whether the target closed it, `remaining` the number of connections that are still open.
    """

    def __init__(self, on_lost: Callable[[bool, int], None]) -> None:
        super().__init__(limit=0, force_close=False)
        self._open_count = 0
        self._on_lost = on_lost
        # aiohttp 3.14 creates the protocol object of each connection with this factory.
        self._factory = partial(WatchedHandler, self, loop=self._loop)

    def count_open(self) -> None:
        """Count a new connection."""
        self._open_count += 1

    def count_lost(self, by_target: bool) -> None:
        """Count a lost connection and report it."""
        self._open_count -= 1
        self._on_lost(by_target, self._open_count)


class WatchedHandler(ResponseHandler):
    """Protocol of one connection; reports its start and its loss to the connector."""

    def __init__(self, connector: WatchedConnector, loop) -> None:
        super().__init__(loop=loop)
        self._connector = connector

    def connection_made(self, transport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self._connector.count_open()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report the loss.

        The target closed the connection if the transport is still set: when aiohttp closes a
        connection, it unsets the transport first.
        """
        by_target = self.transport is not None
        super().connection_lost(exc)
        self._connector.count_lost(by_target)
