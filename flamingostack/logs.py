"""Logging: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import os
import stat
import sys
import time
from collections.abc import Callable
from typing import Protocol

import structlog

# Beyond this, lines are dropped and counted: a few lines for each request at the highest load of
# one instance, so that logging never takes much of its processor time.
MAX_LINES_PER_S = 400
BURST_LINES = 1000
# A pipe takes a write of up to this size whole or not at all.
MAX_LINE_BYTES = 4096
DROPPED_REPORT_S = 5.0

KEY_ORDER = ["timestamp", "level", "event", "instance", "failure_domain", "process", "request_id"]


class LogStream(Protocol):
    """What lines are written to."""

    def write(self, text: str) -> object:
        """Write a line."""

    def flush(self) -> None:
        """Pass on what was written."""


class BoundedStream:
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines beyond the rate, and lines for which a pipe has no room, are dropped. Their number is
    written in a line of its own once there is room again.
    """

    # structlog keeps a lock for each stream by a weak reference.
    __slots__ = ("_fd", "_now", "_tokens", "_updated", "_dropped", "_reported_at", "__weakref__")

    def __init__(self, fd: int, now: Callable[[], float] = time.monotonic) -> None:
        if stat.S_ISFIFO(os.fstat(fd).st_mode):
            os.set_blocking(fd, False)
        self._fd = fd
        self._now = now
        self._tokens = float(BURST_LINES)
        self._updated = now()
        self._dropped = 0
        self._reported_at = 0.0

    def write(self, text: str) -> None:
        """Write a line, or count it as dropped."""
        now = self._now()
        earned = (now - self._updated) * MAX_LINES_PER_S
        self._tokens = min(self._tokens + earned, BURST_LINES)
        self._updated = now
        if self._tokens < 1:
            self._dropped += 1
            return
        if self._dropped and now - self._reported_at >= DROPPED_REPORT_S:
            self._reported_at = now
            if self._write_line(
                f"level='warning' event='log_lines_dropped' count={self._dropped}\n"
            ):
                self._dropped = 0
        if self._write_line(text):
            self._tokens -= 1
        else:
            self._dropped += 1

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""

    def _write_line(self, text: str) -> bool:
        data = text.encode()
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            return os.write(self._fd, data) == len(data)
        except OSError:
            # No room, or no reader; the caller counts the line.
            return False


def configure_logs(level: str = "info", stream: LogStream | None = None) -> None:
    """Set up structlog to write lines of `level` and above to `stream`, or standard error."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.KeyValueRenderer(
                key_order=KEY_ORDER,
                drop_missing=True,
                sort_keys=True,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=True,
    )


def make_logger(
    instance: str, failure_domain: str, process: str
) -> structlog.typing.FilteringBoundLogger:
    """Return a logger that puts the instance, its failure domain and the process on each line."""
    return structlog.get_logger(
        instance=instance,
        failure_domain=failure_domain,
        process=process,
    )
