"""Servers for other instances, readiness and metrics, each with bounds of its own.

They take short requests without a body, but whoever reaches their ports may send anything. With
the HTTP library's own limits, 200 heads that stopped after 120 long fields took 373 MiB.
"""

from __future__ import annotations

import enum
import resource
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from .callers import BoundedConnection, CallerConnections
from .intake import (
    PROBE_BYTES,
    PROBE_CONNECTIONS,
    Intake,
    IntakeLimits,
    LineLimit,
    make_peer_limits,
)
from .model import CallerLimits

if TYPE_CHECKING:
    from .state import Gateway

# A poll with a follower's report takes up to 8 KiB. Idle connections stay open for longer than any
# client keeps them, and are the first to be closed for room.
INTERNAL_LIMITS = CallerLimits(
    header_bytes=16384, body_bytes=0, header_timeout_s=3.0, idle_timeout_s=3630.0
)


class InternalPort(enum.Enum):
    """Which of the ports it is; the value is its name in logs and metrics."""

    PEERS = "peers"
    READINESS = "readiness"
    METRICS = "metrics"


class InternalConnections(CallerConnections):
    """All connections to one port that is not for callers."""

    __slots__ = ("_port",)

    def __init__(self, gateway: Gateway, port: InternalPort) -> None:
        # Their answers are not cut: many followers may take the whole state at once, which is more
        # than the budget.
        intake = Intake(make_port_limits(gateway, port), gateway.now, spares_readers=True)
        super().__init__(intake, gateway.metrics, gateway.log, LineLimit(gateway.now))
        self._port = port.value
        self.log_fields = {"port": port.value}

    def close_excess(self) -> None:
        """Close connections until the others are within the budget, by what is unread now."""
        if self.intake.is_over_budget:
            self.refresh_unread()
            super().close_excess()

    def count_closed(self, reason: str) -> None:
        """Count a connection that is closed before its time."""
        self.metrics.count("gateway_internal_closed_total", port=self._port, reason=reason)


class InternalConnection(BoundedConnection):
    """A connection to a port that is not for callers."""

    __slots__ = ()

    def caller_limits(self) -> CallerLimits:
        """Return the limits, which don't depend on the configuration."""
        return INTERNAL_LIMITS


class InternalServer(web.Server):
    """A server for one of the ports; `internal_connections` bounds what is held there."""

    def __init__(
        self,
        gateway: Gateway,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        port: InternalPort,
    ) -> None:
        # A poll of a closed connection would otherwise be held until its wait is over.
        super().__init__(handle, handler_cancellation=True)
        self.internal_connections = InternalConnections(gateway, port)

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return InternalConnection(self, self.internal_connections, INTERNAL_LIMITS)


def make_port_limits(gateway: Gateway, port: InternalPort) -> IntakeLimits:
    """Return the bounds for the connections to a port."""
    if port is not InternalPort.PEERS:
        return IntakeLimits(PROBE_BYTES, PROBE_CONNECTIONS)
    settings = gateway.settings
    largest_descriptor, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return make_peer_limits(settings.memory_bytes, settings.descriptors, largest_descriptor)
