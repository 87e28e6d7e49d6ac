"""The gateway process: `python -m flamingostack.gateway`."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import random
import signal
import socket
import sys

from ..entry.shutdown import Phase
from ..errors import Failure
from ..logs import BoundedStream, LibraryHandler, configure_logs, make_logger
from ..metrics import Metrics
from ..platform.entries import INSTANCES
from ..platform.objects import ObjectStore
from ..platform.settings import load_instance_settings, read_settings_text
from ..settings import SettingsReason
from ..status import ExitStatus
from ..store import StoreFailure
from .allotment_exchange import AllotmentExchange
from .datagrams import DatagramPeer
from .feeds import Feed, StoreStatus, make_feeds
from .follower import Follower
from .internal import InternalServer
from .listener import Listener, open_listener
from .marks import is_mark
from .model import Address, InstanceSettings
from .pauses import PauseGuard
from .probe import StoreProbe
from .relay import PeerClient, make_relay_server
from .rollout_agent import RolloutAgent
from .sender import Sender
from .server import CallerServer, make_metrics_server, make_readiness_server
from .state import Gateway

METRICS_PORT = 9464
# Time to keep serving after reporting not ready: the platform checks readiness once a second, and
# stops routing callers to an instance after two failed checks.
DRAIN_NOTICE_S = 2.6
# Share of the grace period reserved for the exit of the process after its last request. The exit
# takes 0.25 s on a full core, and an instance may have only half a core.
EXIT_RESERVE_SHARE = 0.15
# A process that was to stop in its start has read requests that wait for the first state, for up to
# 0.3 s. On a busy machine its start alone takes longer than the grace period, and they were cut.
LATE_STOP_S = 0.5
# Interval at which a shutdown closes connections that have become idle or were just accepted.
CLOSE_INTERVAL_S = 0.02
REGISTER_RETRY_S = 2.0
# Over this time the instances spread their writes after a return of the store from an older copy.
RESTORE_SPREAD_S = 2.0
# How often the settings file is compared with what was read before.
SETTINGS_CHECK_S = 5.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


async def serve(
    settings: InstanceSettings, started_at: float, backlog: socket.socket | None = None
) -> ExitStatus:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    `started_at` is when the process started, in seconds of the event loop's clock. `backlog` is a
    socket that listens for callers already; by default one is opened.
    """
    loop = asyncio.get_running_loop()
    log = make_logger(settings.instance, settings.failure_domain, "gateway")
    logging.getLogger().addHandler(LibraryHandler(log))
    sender = Sender()
    gateway = Gateway(settings, log, Metrics(), loop.time, sender)
    gateway.metrics.set_gauge("gateway_skipped_answers", lambda: sender.skipped_answers)
    for name in STOP_SIGNALS:
        loop.add_signal_handler(name, gateway.shutdown.request)
    reload_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    store = ObjectStore(settings.store_url)
    peers = PeerClient()
    datagrams = DatagramPeer(settings.instance, peers.addresses_by_instance)
    store_status = StoreStatus(loop.time)
    feeds_by_kind = make_feeds(gateway, store, peers, store_status)
    follower = Follower(gateway, feeds_by_kind, store_status, peers)
    probe = StoreProbe(gateway, store, store_status, feeds_by_kind.values())
    gateway.request_grants = follower.request_grants
    gateway.allotments = AllotmentExchange(
        gateway, peers, datagrams, store_status.age_s, started_at
    )
    tasks = [asyncio.create_task(feed.run()) for feed in feeds_by_kind.values()]
    tasks.append(asyncio.create_task(follower.run()))
    tasks.append(asyncio.create_task(probe.run()))
    tasks.append(asyncio.create_task(gateway.allotments.run()))
    if settings.has_rollouts:
        agent = RolloutAgent(gateway, datagrams, store, peers.addresses_by_instance)
        gateway.describe_rollouts = agent.describe
        tasks.append(asyncio.create_task(agent.run()))
    tasks.append(asyncio.create_task(register_instance(gateway, store, feeds_by_kind[INSTANCES])))
    tasks.append(asyncio.create_task(restore_entries(gateway, store, feeds_by_kind[INSTANCES])))
    tasks.append(asyncio.create_task(watch_settings(gateway, reload_requested)))
    gateway.pauses = PauseGuard(
        follower.catch_up,
        lambda paused_s: log.warning("paused", paused_s=round(paused_s, 2)),
        lambda error: log.error("catch_up_failed", exc_info=error),
    )
    tasks.append(asyncio.create_task(gateway.pauses.run()))
    server = CallerServer(gateway)
    make_room = server.caller_connections.make_room
    listener = open_listener(settings.caller_address, server, log, backlog, make_room)
    relay = make_relay_server(gateway, feeds_by_kind, store_status)
    open_internal(gateway, make_readiness_server(gateway), settings.readiness_address)
    open_internal(gateway, relay, settings.peer_address)
    open_internal(gateway, make_metrics_server(gateway), (settings.metrics_host, METRICS_PORT))
    await datagrams.open(settings.peer_address)
    log.info("started", address=settings.caller_address, pid=os.getpid())
    is_stopped_in_start = not signal.sigpending().isdisjoint(STOP_SIGNALS)
    # They are blocked from the first statement of the process on, see `__main__.py`.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
    await gateway.shutdown.wait_requested()
    await shut_down(gateway, server, listener, started_at if is_stopped_in_start else None)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    datagrams.close()
    await store.close()
    await peers.close()
    await sender.close()
    # Closing the loop restores the default actions, which end the process with another status.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    log.info("stopped")
    return ExitStatus.SUCCESS


def open_internal(gateway: Gateway, server: InternalServer, address: Address) -> Listener:
    """Start to accept connections at an address."""
    return open_listener(
        address, server, gateway.log, make_room=server.internal_connections.make_room
    )


async def register_instance(gateway: Gateway, store: ObjectStore, instances: Feed) -> None:
    """Register this instance in the store, so that others count it when they divide the limits.

    After a restart the entry usually exists already, and is not written again.
    """
    value = make_own_entry(gateway.settings)
    await instances.listed.wait()
    record = instances.records_by_name.get(gateway.settings.instance)
    if record is not None and record.value == value:
        gateway.allotments.set_registered(is_new=False)
        return
    while True:
        # Others may learn of it before the answer arrives here.
        gateway.allotments.set_registered(is_new=True)
        result = await store.put(INSTANCES, gateway.settings.instance, value)
        if not isinstance(result, StoreFailure):
            return
        gateway.log.warning("register_failed", reason=result.reason.code, detail=result.message)
        await asyncio.sleep(REGISTER_RETRY_S)


def make_own_entry(settings: InstanceSettings) -> dict[str, str]:
    """Return the entry of this instance in the store."""
    host, port = settings.peer_address
    return {"failure_domain": settings.failure_domain, "address": f"{host}:{port}"}


async def restore_entries(gateway: Gateway, store: ObjectStore, instances: Feed) -> None:
    """Write what the system had written, each time the store came back from an older copy.

    Each instance writes its own entry, and those that watch the store the operators' marks. The
    instance still counts as known to the others, which hold the entries that the copy lacks.
    """
    while True:
        await instances.era_changed.wait()
        instances.era_changed.clear()
        # All instances learn of it at the same time.
        await asyncio.sleep(random.random() * RESTORE_SPREAD_S)
        values_by_name = {gateway.settings.instance: make_own_entry(gateway.settings)}
        if not instances.store_status.is_following_peers:
            marks = filter(is_mark, instances.held_by_name)
            values_by_name |= {name: instances.held_by_name[name].value for name in marks}
        for name, value in values_by_name.items():
            if name in instances.records_by_name:
                continue
            result = await store.put(INSTANCES, name, value)
            if isinstance(result, StoreFailure):
                gateway.log.warning(
                    "restore_failed", name=name, reason=result.reason.code, detail=result.message
                )
                # What is still missing is tried again.
                instances.era_changed.set()
            else:
                gateway.log.info("entry_restored", name=name, era=instances.era)


async def watch_settings(gateway: Gateway, reload_requested: asyncio.Event) -> None:
    """Reload the settings at SIGHUP, or when a periodic check finds the file changed.

    The file may change without a signal, and since it was read at the start.
    """
    text = None
    while True:
        is_signalled = False
        try:
            async with asyncio.timeout(SETTINGS_CHECK_S):
                await reload_requested.wait()
                is_signalled = True
                reload_requested.clear()
        except TimeoutError:
            pass
        current = read_settings_text(os.environ)
        if current == text and not is_signalled:
            continue
        text = current
        reload_settings(gateway, is_signalled)


def reload_settings(gateway: Gateway, is_signalled: bool) -> None:
    """Apply the settings file, or log why it is refused."""
    settings = load_instance_settings(os.environ)
    if isinstance(settings, Failure):
        gateway.log.error("reload_refused", detail=settings.message, signalled=is_signalled)
        return
    before = gateway.settings
    changed = [
        name for name in settings.__slots__ if getattr(settings, name) != getattr(before, name)
    ]
    if not changed and not is_signalled:
        return
    gateway.set_settings(settings)
    gateway.log.info("reloaded", changed=",".join(changed), signalled=is_signalled)


async def shut_down(
    gateway: Gateway, server: CallerServer, listener: Listener, started_at: float | None = None
) -> None:
    """Report not ready, let running requests finish, and close idle connections.

    With `started_at`, the process was to stop before it served. The grace period may have begun
    then, and the platform routes no callers to it yet. If it is over, what arrives is refused.

    Requests that arrive from now on fail in time to be answered, also if their targets are silent.
    Earlier ones that are still running near the end of the grace period are aborted.
    """
    grace_s = gateway.settings.shutdown_grace_s
    gateway.shutdown.phase = Phase.NOTICE
    gateway.log.info("stopping", running=gateway.shutdown.running, grace_s=grace_s)
    began_at = gateway.now() if started_at is None else started_at
    end_at = gateway.answer_until = began_at + grace_s * (1 - EXIT_RESERVE_SHARE)
    if started_at is None:
        await asyncio.sleep(min(DRAIN_NOTICE_S, grace_s / 2))
    gateway.shutdown.phase = Phase.FINISHING
    await listener.close()
    if started_at is not None:
        end_at = max(end_at, gateway.now() + LATE_STOP_S)
    while server.connections and gateway.now() < end_at:
        close_idle_connections(server)
        await asyncio.sleep(CLOSE_INTERVAL_S)
    if gateway.shutdown.running:
        gateway.log.warning("requests_cut", running=gateway.shutdown.running)
    # Let the last responses be sent.
    await asyncio.sleep(0.05)
    for connection in server.connections:
        connection.force_close()


def close_idle_connections(server: CallerServer) -> None:
    """Close the connections that wait for a request, so that their callers can see it at once.

    A transport closes its socket a step of the event loop later, which is long on a busy machine. A
    request that arrived in between would be lost.
    """
    for connection in server.connections:
        transport = connection.transport
        connection.close_if_idle()
        if transport is None or not transport.is_closing() or transport.get_write_buffer_size():
            continue
        with contextlib.suppress(OSError):
            transport.get_extra_info("socket").shutdown(socket.SHUT_WR)


def run(
    settings: InstanceSettings | Failure[SettingsReason],
    started_at: float,
    backlog: socket.socket | None = None,
) -> ExitStatus:
    """Run the gateway process and return its exit status; see `serve` for the arguments."""
    configure_logs("info", BoundedStream(sys.stdout.fileno()))
    if isinstance(settings, Failure):
        print(f"flamingostack-gateway: {settings.message}", file=sys.stderr)
        return ExitStatus.INVALID_INPUT
    gc.freeze()
    gc.enable()
    return asyncio.run(serve(settings, started_at, backlog))
