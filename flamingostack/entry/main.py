"""The entry process: `python -m flamingostack.entry --settings PATH`."""

from __future__ import annotations

import argparse
import asyncio
import gc
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import uvloop

from ..environment import Environment, make_environment
from ..errors import Failure
from ..settings import load_settings
from ..state import StateFeed
from ..status import ExitStatus
from ..store import make_store
from .server import EntryServer

PROCESS_NAME = "entry-0"
# Time for the final report to reach the control process before the connection closes.
FINAL_REPORT_DELAY_S = 0.2
GC_THRESHOLDS = (20_000, 20, 50)


def tune_garbage_collector() -> None:
    """Collect garbage less often: a query makes hundreds of objects, nearly all without cycles."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def run(arguments: Sequence[str] | None = None) -> ExitStatus:
    """Run the process until SIGTERM or SIGINT; return its exit status."""
    parser = argparse.ArgumentParser(prog="flamingostack-entry", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True, help="TOML file of the instance")
    options = parser.parse_args(arguments)
    settings = load_settings(options.settings)
    if isinstance(settings, Failure):
        print(settings.message, file=sys.stderr)
        return ExitStatus.INVALID_INPUT
    environment = make_environment(settings, PROCESS_NAME)
    tune_garbage_collector()
    return uvloop.run(serve(environment))


async def serve(environment: Environment) -> ExitStatus:
    """Serve callers until the process is asked to shut down."""
    feed = StateFeed(environment, PROCESS_NAME)
    store = make_store(environment.settings.store.url, environment.settings.store.timeout_ms)
    server = EntryServer(environment, feed, store)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, server.shutdown.request)
    feed_task = asyncio.create_task(feed.run())
    try:
        await server.start()
    except OSError as error:
        environment.log.error("listen_failed", reason=str(error))
        feed_task.cancel()
        await store.close()
        return ExitStatus.ERROR
    environment.log.info("listening", address=environment.settings.entry.listen)
    shutdown_task = asyncio.create_task(server.shutdown.wait_requested())
    await asyncio.wait({shutdown_task, feed_task}, return_when=asyncio.FIRST_COMPLETED)
    status = ExitStatus.SUCCESS
    if feed_task.done():
        # The feed reconnects by itself, so it ends only on an unexpected error.
        environment.log.error("state_feed_failed", reason=repr(feed_task.exception()))
        status = ExitStatus.ERROR
    environment.log.info("shutting_down")
    await server.stop()
    await store.close()
    feed.report_shutdown(finished=True)
    await asyncio.sleep(FINAL_REPORT_DELAY_S)
    shutdown_task.cancel()
    feed_task.cancel()
    environment.log.info("stopped")
    return status
