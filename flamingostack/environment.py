"""What a process needs from outside, passed in explicitly in place of globals."""

from __future__ import annotations

import uuid
from collections.abc import Callable

import structlog

from .clock import boottime_ns
from .generated.settings import Settings
from .logs import configure_logs, make_logger


class Environment:
    """Settings, clock, log and incarnation of one process.

    `incarnation` differs at each start, so that a restarted process is never taken for the one
    before it.
    """

    __slots__ = ("settings", "log", "now_ns", "incarnation")

    def __init__(
        self,
        settings: Settings,
        log: structlog.typing.FilteringBoundLogger,
        now_ns: Callable[[], int],
        incarnation: str,
    ) -> None:
        self.settings = settings
        self.log = log
        self.now_ns = now_ns
        self.incarnation = incarnation

    def connect_address(self, advertised: str) -> str:
        """Translate an advertised host:port by the settings' routes."""
        return self.settings.routes.get(advertised, advertised)


def make_environment(settings: Settings, process: str) -> Environment:
    """Return the environment of the running process and configure its logs."""
    configure_logs(settings.logs.level)
    instance = settings.instance
    return Environment(
        settings=settings,
        log=make_logger(instance.id, instance.failure_domain, process),
        now_ns=boottime_ns,
        incarnation=f"{instance.id}-{uuid.uuid4().hex[:8]}",
    )
