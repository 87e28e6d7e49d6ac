"""The gateway process: `python -m flamingostack.gateway`."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

from aiohttp import web

from ..entry.shutdown import Phase
from ..errors import Failure
from ..logs import BoundedStream, configure_logs, make_logger
from ..metrics import Metrics
from ..platform.objects import INSTANCES, ObjectStore
from ..platform.settings import load_instance_settings, read_settings_text
from ..status import ExitStatus
from ..store import StoreFailure
from .feeds import Feed, StoreStatus, make_feeds
from .follower import Follower
from .model import Address, InstanceSettings
from .relay import PeerClient, make_relay_server
from .sender import Sender
from .server import CallerServer, make_metrics_server, make_readiness_server
from .state import Gateway

METRICS_PORT = 9464
ACCEPT_BACKLOG = 512
# The platform asks for readiness once a second and needs two misses to take an instance out.
DRAIN_NOTICE_S = 2.6
# Share of the grace period kept for the end of the process itself. The end took 0.25 s on a whole
# core, and an instance may have half of one.
EXIT_SHARE = 0.15
# How soon a connection is closed whose last answer has left, or which was just accepted.
CLOSE_INTERVAL_S = 0.02
REGISTER_RETRY_S = 2.0
# How often the settings file is compared with what was read before.
SETTINGS_CHECK_S = 5.0


async def serve(settings: InstanceSettings) -> ExitStatus:
    """Serve until SIGTERM, then shut down without cutting a request."""
    loop = asyncio.get_running_loop()
    log = make_logger(settings.instance, settings.failure_domain, "gateway")
    sender = Sender()
    gateway = Gateway(settings, log, Metrics(), loop.time, sender)
    gateway.metrics.set_gauge("gateway_skipped_answers", lambda: sender.skipped_answers)
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, gateway.shutdown.request)
    hangup = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    store = ObjectStore(settings.store_url)
    peers = PeerClient()
    store_status = StoreStatus(loop.time)
    feeds_by_kind = make_feeds(gateway, store, peers, store_status)
    follower = Follower(gateway, feeds_by_kind, store_status, peers)
    tasks = [asyncio.create_task(feed.run()) for feed in feeds_by_kind.values()]
    tasks.append(asyncio.create_task(follower.run()))
    tasks.append(asyncio.create_task(register(gateway, store, feeds_by_kind[INSTANCES])))
    tasks.append(asyncio.create_task(follow_settings(gateway, hangup)))
    server = CallerServer(gateway)
    listener = await listen(server, settings.caller_address)
    await listen(make_readiness_server(gateway), settings.readiness_address)
    await listen(make_relay_server(feeds_by_kind, store_status), settings.peer_address)
    await listen(make_metrics_server(gateway), (settings.metrics_host, METRICS_PORT))
    log.info("started", address=settings.caller_address, pid=os.getpid())
    await gateway.shutdown.requested()
    await shut_down(gateway, server, listener)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await store.close()
    await peers.close()
    await sender.close()
    log.info("stopped")
    return ExitStatus.SUCCESS


async def listen(server: web.Server, address: Address) -> asyncio.Server:
    """Start to accept connections."""
    host, port = address
    loop = asyncio.get_running_loop()
    return await loop.create_server(server, host, port, backlog=ACCEPT_BACKLOG, reuse_address=True)


async def register(gateway: Gateway, store: ObjectStore, instances: Feed) -> None:
    """Write this instance's entry, by which the others know that it takes a share.

    After a restart the entry is mostly there already.
    """
    host, port = gateway.settings.peer_address
    value = {"failure_domain": gateway.settings.failure_domain, "address": f"{host}:{port}"}
    await instances.listed.wait()
    known = instances.records_by_name.get(gateway.settings.instance)
    if known is not None and known.value == value:
        return
    while True:
        result = await store.put(INSTANCES, gateway.settings.instance, value)
        if not isinstance(result, StoreFailure):
            return
        gateway.log.warning("register_failed", reason=result.reason.code, detail=result.message)
        await asyncio.sleep(REGISTER_RETRY_S)


async def follow_settings(gateway: Gateway, hangup: asyncio.Event) -> None:
    """Read the settings again at SIGHUP, and from time to time, since they may change without."""
    text = read_settings_text(os.environ)
    while True:
        is_signalled = False
        try:
            async with asyncio.timeout(SETTINGS_CHECK_S):
                await hangup.wait()
                is_signalled = True
                hangup.clear()
        except TimeoutError:
            pass
        current = read_settings_text(os.environ)
        if current == text and not is_signalled:
            continue
        text = current
        reload_settings(gateway, is_signalled)


def reload_settings(gateway: Gateway, is_signalled: bool) -> None:
    """Put changed settings into force, or log why they are refused."""
    settings = load_instance_settings(os.environ)
    if isinstance(settings, Failure):
        gateway.log.error("reload_refused", detail=settings.message, signalled=is_signalled)
        return
    before = gateway.settings
    changed = [
        name for name in settings.__slots__ if getattr(settings, name) != getattr(before, name)
    ]
    gateway.set_settings(settings)
    gateway.log.info("reloaded", changed=",".join(changed), signalled=is_signalled)


async def shut_down(gateway: Gateway, server: CallerServer, listener: asyncio.Server) -> None:
    """Stop being ready, let running requests finish, and close connections between requests."""
    grace_s = gateway.settings.shutdown_grace_s
    gateway.shutdown.phase = Phase.NOTICE
    gateway.log.info("stopping", running=gateway.shutdown.running, grace_s=grace_s)
    began_at = gateway.now()
    await asyncio.sleep(min(DRAIN_NOTICE_S, grace_s / 2))
    gateway.shutdown.phase = Phase.FINISHING
    listener.close()
    end_at = began_at + grace_s * (1 - EXIT_SHARE)
    while server.connections and gateway.now() < end_at:
        for connection in server.connections:
            connection.close_between_requests()
        await asyncio.sleep(CLOSE_INTERVAL_S)
    if gateway.shutdown.running:
        gateway.log.warning("requests_cut", running=gateway.shutdown.running)
    # Lets the last answers leave.
    await asyncio.sleep(0.05)
    for connection in server.connections:
        connection.force_close()


def run() -> ExitStatus:
    """Run the process; return its exit status."""
    configure_logs("info", BoundedStream(sys.stdout.fileno()))
    settings = load_instance_settings(os.environ)
    if isinstance(settings, Failure):
        print(f"flamingostack-gateway: {settings.message}", file=sys.stderr)
        return ExitStatus.INVALID_INPUT
    gc.freeze()
    return asyncio.run(serve(settings))
