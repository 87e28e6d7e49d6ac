"""The dispatch process: start, signals and graceful shutdown."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import gc
import signal
import sys
from pathlib import Path

import uvloop
from aiohttp import web
from grpclib.server import Server

from ..clock import NS_PER_MS
from ..environment import Environment, make_environment
from ..errors import Failure
from ..settings import load_settings, split_address
from ..state import StateFeed
from ..status import ExitStatus
from .ownership import Ownership
from .recorder import Recorder
from .service import DispatchService

# Interval at which a shutdown checks whether the lease has expired.
LEASE_POLL_S = 0.05
# Allocations between two runs of the garbage collector. aiohttp leaves about 6 objects per request
# in reference cycles, so at 1,800 sub-requests/s and the default threshold of 700 the collector
# takes 11% of the CPU time.
GC_THRESHOLD = 10_000
# Time limit, at each step of the shutdown, for the last replies to leave the process.
FLUSH_TIMEOUT_S = 1.0
# Time given to the last report to control.
REPORT_FLUSH_S = 0.2


class Dispatch:
    """The components of one dispatch process and their life cycle."""

    __slots__ = (
        "environment",
        "feed",
        "recorder",
        "ownership",
        "service",
        "_server",
        "_status_runner",
        "_follower",
        "_subscription",
    )

    def __init__(self, environment: Environment) -> None:
        self.environment = environment
        self.feed = StateFeed(environment, process="dispatch")
        self.recorder = Recorder(environment.settings.entry.explain_entries)
        self.ownership = Ownership(environment, self.feed, self.recorder)
        self.service = DispatchService(self.ownership)
        self._server = Server([self.service])
        self._status_runner: web.AppRunner | None = None
        self._follower: asyncio.Task | None = None
        self._subscription = None

    async def start(self) -> None:
        """Listen for entry processes and follow the control process.

        Raises OSError if a listen address is in use.
        """
        settings = self.environment.settings.dispatch
        self._subscription = self.feed.views.subscribe(self.ownership.apply)
        await self._server.start(*split_address(settings.listen))
        if settings.status_listen:
            await self._start_status(settings.status_listen)
        self._follower = asyncio.create_task(self.feed.run())
        self.environment.log.info("listening", address=settings.listen)

    async def _start_status(self, address: str) -> None:
        app = web.Application()
        app.router.add_get("/metrics", self._serve_metrics)
        app.router.add_get("/explain/{request_id}", self._serve_explain)
        self._add_gauges()
        self._status_runner = web.AppRunner(app, access_log=None)
        await self._status_runner.setup()
        await web.TCPSite(self._status_runner, *split_address(address)).start()

    def _add_gauges(self) -> None:
        metrics = self.recorder.metrics
        ownership = self.ownership
        metrics.set_gauge("flamingostack_dispatch_in_flight", lambda: ownership.in_flight)
        metrics.set_gauge("flamingostack_dispatch_queue_length", lambda: ownership.queue_length)
        metrics.set_gauge("flamingostack_dispatch_targets", lambda: ownership.target_count)
        metrics.set_gauge("flamingostack_dispatch_lease_current", self.feed.is_current)

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        return web.Response(text=self.recorder.render())

    async def _serve_explain(self, request: web.Request) -> web.Response:
        traces = self.recorder.find_traces(request.match_info["request_id"])
        if not traces:
            return web.json_response({"code": "unknown_request"}, status=404)
        return web.json_response({"sub_requests": traces})

    async def shut_down(self) -> None:
        """Serve until all grants are withdrawn, reply to all sub-requests, then stop."""
        settings = self.environment.settings
        log = self.environment.log
        log.info("shutting_down")
        self.feed.report_shutdown(finished=False)
        if not settings.dispatch.direct_share_percent:
            await self._wait_grants_withdrawn()
        self.ownership.stop_accepting()
        longest_ms = settings.fleet.max_request_ms + settings.dispatch.silent_after_ms
        is_finished = await self.ownership.wait_finished(longest_ms / 1000 + FLUSH_TIMEOUT_S)
        if not is_finished:
            log.warning("requests_interrupted", in_flight=self.ownership.in_flight)
        await self.service.wait_sent(FLUSH_TIMEOUT_S)
        self.feed.report_shutdown(finished=True)
        await asyncio.sleep(REPORT_FLUSH_S)
        await self._stop()
        log.info("stopped")

    async def _wait_grants_withdrawn(self) -> None:
        """Wait until no partition is granted, or until `shutdown_ms` is over.

        Also stops waiting once the lease has been expired for a full lease duration: control is
        then gone and does not withdraw the grants, and nothing is sent without a lease.
        """
        settings = self.environment.settings
        lease_ns = settings.fleet.lease_ms * NS_PER_MS
        changed = asyncio.Event()
        subscription = self.feed.views.subscribe(lambda view: changed.set())
        end_ns = self.environment.now_ns() + settings.control.shutdown_ms * NS_PER_MS
        while self.feed.view.grants_by_partition and self.environment.now_ns() < min(
            end_ns, self.feed.view.lease_until_ns + lease_ns
        ):
            changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), LEASE_POLL_S)
        subscription.dispose()

    async def _stop(self) -> None:
        self._subscription.dispose()
        self._follower.cancel()
        if self._status_runner is not None:
            await self._status_runner.cleanup()
        self._server.close()
        try:
            await asyncio.wait_for(self._server.wait_closed(), FLUSH_TIMEOUT_S)
        except TimeoutError:
            self.environment.log.warning("streams_not_closed")


async def serve(environment: Environment) -> ExitStatus:
    """Run the process until SIGTERM or SIGINT, then shut it down gracefully."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    dispatch = Dispatch(environment)
    try:
        await dispatch.start()
    except OSError as error:
        environment.log.error("cannot_listen", reason=str(error))
        return ExitStatus.UNAVAILABLE
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    await stop.wait()
    await dispatch.shut_down()
    return ExitStatus.SUCCESS


def main(arguments: list[str]) -> ExitStatus:
    """Load the settings and run the process; return the exit status."""
    parser = argparse.ArgumentParser(prog="flamingostack-dispatch")
    parser.add_argument("--settings", type=Path, required=True, help="settings file (TOML)")
    options = parser.parse_args(arguments)
    settings = load_settings(options.settings)
    if isinstance(settings, Failure):
        print(f"flamingostack-dispatch: {settings.message}", file=sys.stderr)
        return ExitStatus.INVALID_INPUT
    return uvloop.run(serve(make_environment(settings, "dispatch")))


def run() -> None:
    """Entry point of `flamingostack-dispatch`."""
    sys.exit(main(sys.argv[1:]))
