"""The count of a target's connections against its cap."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from aiohttp import TCPConnector
from aiohttp.client_proto import ResponseHandler


class Connections:
    """Connections that one target holds open for us, as far as the target may count them.

    aiohttp opens a connection only if none is idle, so the number of open connections never
    exceeds the largest number in use. A connection that was closed because it went silent is
    half-open: the target may not have seen the close and still counts it.
    """

    __slots__ = ("cap", "in_use", "half_open", "peak")

    def __init__(self, cap: int) -> None:
        self.cap = max(cap, 1)
        self.in_use = 0
        self.half_open = 0
        self.peak = 0

    @property
    def available(self) -> int:
        """How many more connections may be in use."""
        return self.cap - self.half_open - self.in_use

    def acquire(self) -> None:
        """Count a connection that a request takes, idle or new."""
        self.in_use += 1
        self.peak = max(self.peak, self.in_use)

    def release(self) -> None:
        """Count a connection that a request gives back."""
        self.in_use -= 1

    def abandon(self) -> None:
        """Count a released connection that was closed because it went silent."""
        self.half_open += 1
        self.peak = max(self.peak - 1, 0)

    def expire(self) -> None:
        """Stop counting one abandoned connection."""
        self.half_open -= 1

    def set_cap(self, cap: int) -> None:
        """Apply another cap; connections above it are closed as they are given back."""
        self.cap = max(cap, 1)

    def take_excess(self) -> bool:
        """Tell whether a connection must be closed after use, since the cap was lowered."""
        if self.peak <= self.cap - self.half_open:
            return False
        self.peak -= 1
        return True


class WatchedConnector(TCPConnector):
    """Reports each lost connection; aiohttp itself drops idle ones that closed without a word.

    `on_lost(by_target, remaining)` is called in the step in which a connection is lost: whether
    the target closed it, and how many are still open.
    """

    def __init__(self, on_lost: Callable[[bool, int], None]) -> None:
        super().__init__(limit=0, force_close=False)
        self._open_count = 0
        self._on_lost = on_lost
        # aiohttp 3.14 makes the protocol of each connection with this factory.
        self._factory = partial(WatchedHandler, self, loop=self._loop)

    def count_open(self) -> None:
        """Count a new connection."""
        self._open_count += 1

    def count_lost(self, by_target: bool) -> None:
        """Report a lost connection."""
        self._open_count -= 1
        self._on_lost(by_target, self._open_count)


class WatchedHandler(ResponseHandler):
    """The protocol of one connection."""

    def __init__(self, connector: WatchedConnector, loop) -> None:
        super().__init__(loop=loop)
        self._connector = connector

    def connection_made(self, transport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self._connector.count_open()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report the loss; a connection that aiohttp closes has no transport any more."""
        by_target = self.transport is not None
        super().connection_lost(exc)
        self._connector.count_lost(by_target)
