"""Logging: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import structlog

KEY_ORDER = ["timestamp", "level", "event", "instance", "failure_domain", "process", "request_id"]


def configure_logs(level: str = "info", stream: TextIO | None = None) -> None:
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
        logger_factory=structlog.PrintLoggerFactory(file=stream or sys.stderr),
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
