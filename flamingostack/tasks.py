"""Isolation of grpclib calls in separate tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

CLEANUP_TIMEOUT_S = 0.1

ResultT = TypeVar("ResultT")


async def run_isolated(
    work: Coroutine[Any, Any, ResultT], timeout_s: float | None = None
) -> ResultT:
    """Run a coroutine in a separate task and return its result.

    grpclib cancels the task that uses a broken connection, and may raise an error of its own
    instead of CancelledError when the task is cancelled from outside. In a separate task neither
    reaches the caller. Raises TimeoutError if the coroutine does not end within `timeout_s` or its
    task was cancelled.
    """
    task = asyncio.create_task(work)
    task.add_done_callback(retrieve_exception)
    try:
        await asyncio.wait({task}, timeout=timeout_s)
    finally:
        if not task.done():
            task.cancel()
            # Gives the task time to close its connection.
            await asyncio.wait({task}, timeout=CLEANUP_TIMEOUT_S)
    if not task.done() or task.cancelled():
        raise TimeoutError
    return task.result()


def retrieve_exception(task: asyncio.Task[Any]) -> None:
    """Retrieve the exception of a task, so that asyncio does not log it as never retrieved."""
    if not task.cancelled():
        task.exception()
