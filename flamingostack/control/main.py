"""Entry point of the control process."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from collections.abc import Awaitable
from pathlib import Path

from grpclib.server import Server

from ..environment import Environment, make_environment
from ..errors import Failure
from ..settings import load_settings, split_address
from ..status import ExitStatus
from ..store import make_store
from .controller import Controller, make_controller
from .keeper import FleetStore
from .operations import Operations
from .ownership import Ownership
from .peers import Peers
from .service import ControlService

# For how long a stop waits for the end of a component. The partitions are transferred by then.
CLEANUP_LIMIT_S = 2.0


def run() -> None:
    """Run the control process and exit with its status."""
    sys.exit(main(sys.argv[1:]))


def main(arguments: list[str]) -> ExitStatus:
    """Read the settings and serve until SIGTERM."""
    parser = argparse.ArgumentParser(prog="flamingostack-control", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True, help="TOML file of the instance")
    settings = load_settings(parser.parse_args(arguments).settings)
    if isinstance(settings, Failure):
        print(settings.message, file=sys.stderr)
        return ExitStatus.INVALID_INPUT
    environment = make_environment(settings, "control")
    return asyncio.run(serve_until_signal(environment))


async def serve_until_signal(environment: Environment) -> ExitStatus:
    """Serve until SIGTERM or SIGINT; a second signal ends the shutdown at once."""
    process = ControlProcess(environment)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, process.stop)
    return await process.serve()


class ControlProcess:
    """The components of a control process; `serve` runs them until shutdown has ended."""

    __slots__ = (
        "environment",
        "controller",
        "store",
        "fleet_store",
        "peers",
        "service",
        "ownership",
        "_stopping",
        "_interrupted",
    )

    def __init__(self, environment: Environment) -> None:
        store = environment.settings.store
        self.environment = environment
        self.controller: Controller = make_controller(environment)
        self.store = make_store(store.url, store.timeout_ms)
        self.fleet_store = FleetStore(self.controller, self.store)
        self.peers = Peers(self.controller, self.fleet_store)
        operations = Operations(self.controller, self.fleet_store)
        self.service = ControlService(self.controller, self.fleet_store, operations)
        self.ownership = Ownership(self.controller, self.fleet_store, self.peers)
        self._stopping = asyncio.Event()
        self._interrupted = asyncio.Event()

    def stop(self) -> None:
        """Start a graceful shutdown; a second call interrupts it."""
        if self._stopping.is_set():
            self._interrupted.set()
        self._stopping.set()

    async def serve(self) -> ExitStatus:
        """Serve until `stop`, transfer all partitions to peers, and return the exit status."""
        address = self.environment.settings.control.listen
        server = Server([self.service])
        try:
            await server.start(*split_address(address))
        except OSError as error:
            self.environment.log.error("cannot_listen", address=address, reason=str(error))
            return ExitStatus.UNAVAILABLE
        self.environment.log.info(
            "listening", address=address, incarnation=self.environment.incarnation
        )
        tasks = [asyncio.create_task(coroutine) for coroutine in self._make_background_work()]
        for task in tasks:
            task.add_done_callback(self._on_task_done)
        try:
            await self._stopping.wait()
            return await self._leave()
        finally:
            for task in tasks:
                task.cancel()
            await self._clean_up("tasks", asyncio.gather(*tasks, return_exceptions=True))
            await self._clean_up("peers", self.peers.close())
            server.close()
            await self._clean_up("server", server.wait_closed())
            await self._clean_up("store", self.store.close())
            self.environment.log.info("stopped")

    async def _clean_up(self, component: str, work: Awaitable[object]) -> None:
        """Wait for the end of a component; log if it does not end in time."""
        ended, _ = await asyncio.wait({asyncio.ensure_future(work)}, timeout=CLEANUP_LIMIT_S)
        for task in ended:
            task.result()
        if not ended:
            self.environment.log.error(
                "cleanup_timed_out", component=component, limit_s=CLEANUP_LIMIT_S
            )

    def _make_background_work(self) -> list:
        return [
            self.ownership.run(),
            self.fleet_store.watch_document(),
            self.fleet_store.watch_indexes(),
            self.fleet_store.watch_presets(),
            self.fleet_store.watch_instances(),
        ]

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Stop the process if a background task fails.

        A restarted process is better than one that runs without some of its tasks.
        """
        if not task.cancelled() and task.exception() is not None:
            self.environment.log.error("task_failed", exc_info=task.exception())
            self._stopping.set()
            self._interrupted.set()

    async def _leave(self) -> ExitStatus:
        """Transfer all partitions and wait for the local processes, for at most `shutdown_ms`."""
        if self._interrupted.is_set():
            return ExitStatus.ERROR
        limit_s = self.environment.settings.control.shutdown_ms / 1000
        self.environment.log.info("leaving", limit_s=limit_s)
        self.controller.node.own.leaving = True
        self.controller.publish_changes()
        left = await self.controller.wait_for(
            lambda: self._interrupted.is_set() or self._can_stop(), limit_s
        )
        node = self.controller.node
        self.environment.log.info(
            "left" if left else "leave_timed_out", partitions_held=len(node.accepted_claims)
        )
        return ExitStatus.INTERRUPTED if self._interrupted.is_set() else ExitStatus.SUCCESS

    def _can_stop(self) -> bool:
        """Return whether the local processes and the peers no longer need this process.

        The local processes have finished, no transfer to a reached peer is unanswered, no
        partition is held that another member could hold, and the reached peers have confirmed
        the newest claims.
        """
        node = self.controller.node
        now_ns = self.controller.now_ns()
        if not self.controller.followers.all_finished():
            return False
        reached = {peer.member.incarnation for peer in node.membership.reached_peers(now_ns)}
        unanswered = reached & node.transfers_to_send().keys()
        receivers = node.eligible_holder_domains(now_ns).keys() - {node.own.incarnation}
        if unanswered or (node.accepted_claims and receivers):
            return False
        return node.has_confirmed_claims(now_ns)
