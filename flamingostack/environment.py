"""Dependencies of a process, passed in explicitly instead of through globals."""

from __future__ import annotations

import uuid
from collections.abc import Callable

import structlog

from .clock import boottime_ns
from .generated.settings import Settings
from .logs import configure_logs, make_logger


class Environment:
    """Settings, logger, clock and incarnation of one process.

    `incarnation` is an id that is unique to each start, so that a restarted process is not taken
    for its predecessor.
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

    def resolve_address(self, advertised: str) -> str:
        """Return the host:port to connect to for an advertised one, mapped by `settings.routes`."""
        return self.settings.routes.get(advertised, advertised)


def make_environment(settings: Settings, process: str) -> Environment:
    """Configure logging and return the environment of the running process."""
    configure_logs(settings.logs.level)
    instance = settings.instance
    return Environment(
        settings=settings,
        log=make_logger(instance.id, instance.failure_domain, process),
        now_ns=boottime_ns,
        incarnation=f"{instance.id}-{uuid.uuid4().hex[:8]}",
    )
