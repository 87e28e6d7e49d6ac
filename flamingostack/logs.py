"""Logging: each event is one line of key=value pairs."""

from __future__ import annotations

import logging
import os
import stat
import sys
import time
from collections.abc import Callable
from typing import Protocol

import structlog
from aiohttp.http_exceptions import HttpProcessingError

# Lines over this rate are dropped and counted, to bound the CPU time spent on logging. It allows a
# few lines for each request at the highest load of one instance.
MAX_LINES_PER_S = 400
BURST_LINES = 1000
# A write of up to this size (PIPE_BUF on Linux) to a pipe is atomic: all of it or nothing.
MAX_LINE_BYTES = 4096
DROPPED_REPORT_INTERVAL_S = 5.0

KEY_ORDER = ["timestamp", "level", "event", "instance", "failure_domain", "process", "request_id"]


class LogStream(Protocol):
    """Stream that log lines are written to."""

    def write(self, text: str) -> object:
        """Write one line."""

    def flush(self) -> None:
        """Flush buffered lines."""


class BoundedStream:
    """Non-blocking, rate-limited stream to a file descriptor.

    Lines over the rate and lines that do not fit into a full pipe are dropped. A later line
    reports how many, at most once in `DROPPED_REPORT_INTERVAL_S`.
    """

    # __weakref__: structlog refers weakly to each stream, to keep a lock for it.
    __slots__ = (
        "_fd",
        "_now",
        "_tokens",
        "_refilled_at",
        "_dropped_count",
        "_reported_at",
        "__weakref__",
    )

    def __init__(self, fd: int, now: Callable[[], float] = time.monotonic) -> None:
        if stat.S_ISFIFO(os.fstat(fd).st_mode):
            os.set_blocking(fd, False)
        self._fd = fd
        self._now = now
        self._tokens = float(BURST_LINES)
        self._refilled_at = now()
        self._dropped_count = 0
        self._reported_at = 0.0

    def write(self, text: str) -> None:
        """Write one line, or drop and count it."""
        now = self._now()
        refill = (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(self._tokens + refill, BURST_LINES)
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped_count += 1
            return
        if self._dropped_count and now - self._reported_at >= DROPPED_REPORT_INTERVAL_S:
            self._reported_at = now
            if self._write_line(
                f"level='warning' event='log_lines_dropped' count={self._dropped_count}\n"
            ):
                self._dropped_count = 0
        if self._write_line(text):
            self._tokens -= 1
        else:
            self._dropped_count += 1

    def flush(self) -> None:
        """Do nothing; lines are not buffered."""

    def _write_line(self, text: str) -> bool:
        data = text.encode()
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            return os.write(self._fd, data) == len(data)
        except OSError:
            # The pipe is full or has no reader. The caller counts the line as dropped.
            return False


class LibraryHandler(logging.Handler):
    """Passes the messages of libraries to the structured log, which bounds their volume.

    Without a handler Python writes them, with tracebacks, to standard error, which blocks.
    """

    def __init__(self, log: structlog.typing.FilteringBoundLogger) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Log one message with its error, without a traceback."""
        error = record.exc_info[1] if record.exc_info else None
        self._log.warning(
            "library_message",
            library=record.name,
            detail=record.getMessage(),
            error=describe_error(error),
        )


def describe_error(error: BaseException | None) -> str:
    """Return an error for a log line; empty without one.

    The parser's errors quote what a caller has sent, which may be its API key.
    """
    if error is None:
        return ""
    if isinstance(error, HttpProcessingError):
        return type(error).__name__
    return repr(error)


def configure_logs(level: str = "info", stream: LogStream | None = None) -> None:
    """Configure structlog to write events of `level` and above to `stream`, or standard error."""
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
    """Return a logger that adds the instance, its failure domain and the process to each line."""
    return structlog.get_logger(
        instance=instance,
        failure_domain=failure_domain,
        process=process,
    )
