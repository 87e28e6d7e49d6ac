"""Running a grpclib call in a task of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

CLEANUP_S = 0.1

ResultT = TypeVar("ResultT")


async def run_isolated(
    work: Coroutine[Any, Any, ResultT], timeout_s: float | None = None
) -> ResultT:
    """Run a coroutine in its own task and return its result; TimeoutError if it does not end.

    grpclib cancels the task that uses a broken connection, and may raise an error of its own in
    place of a cancellation from outside. In a task of its own neither reaches the caller.
    """
    task = asyncio.create_task(work)
    task.add_done_callback(retrieve_exception)
    try:
        await asyncio.wait({task}, timeout=timeout_s)
    finally:
        if not task.done():
            task.cancel()
            # Lets the task close what it has opened.
            await asyncio.wait({task}, timeout=CLEANUP_S)
    if not task.done() or task.cancelled():
        raise TimeoutError
    return task.result()


def retrieve_exception(task: asyncio.Task[Any]) -> None:
    """Mark the exception of a task as seen, so that asyncio does not log it."""
    if not task.cancelled():
        task.exception()
