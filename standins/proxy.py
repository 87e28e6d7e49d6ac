"""TCP proxy with fault injection: many listeners in one process, with an HTTP admin port.

A delay applies to each chunk that the proxy reads, in each direction; the bytes keep their order.
The event loop's timers round delays to about a millisecond.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import random
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
import uvloop
from aiohttp import web

from .platform import make_error, serve_admin, watch_stop_signals

MAX_BUFFERED_BYTES = 1024 * 1024
# A chunk that is due within this time is written at once, since timers are no finer.
TIMER_RESOLUTION_S = 0.0005
UP = "up"
DOWN = "down"
DIRECTIONS = (UP, DOWN)


class ListenerConfig(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Configuration of a listener; `delay_ms` and `jitter_ms` are one-way, for both directions."""

    id: str
    port: int
    upstream: str
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    # Share of the chunks that are delayed by `retransmit_ms`, as by a retransmission.
    loss: float = 0.0
    retransmit_ms: float = 200.0
    # How long one side of a silent connection stays open after the other side has closed.
    half_open_ms: float = 5000.0


class Config(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Configuration of a proxy process."""

    admin_port: int
    listeners: list[ListenerConfig]
    host: str = "127.0.0.1"
    seed: int = 1


class Flow:
    """The bytes of a proxied connection in one direction, each chunk with the time it is due.

    A chunk of None is the end of the stream.
    """

    __slots__ = (
        "listener",
        "direction",
        "source",
        "sink",
        "is_silent",
        "has_lost_bytes",
        "is_sink_full",
        "last_due_at",
        "_chunks",
        "_queued_bytes",
        "_timer",
    )

    def __init__(self, listener: Listener, direction: str) -> None:
        self.listener = listener
        self.direction = direction
        self.source: asyncio.Transport | None = None
        self.sink: asyncio.Transport | None = None
        self.is_silent = False
        self.has_lost_bytes = False
        self.is_sink_full = False
        self.last_due_at = 0.0
        self._chunks: collections.deque[tuple[float, bytes | None]] = collections.deque()
        self._queued_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    def enqueue(self, chunk: bytes | None) -> None:
        """Queue a chunk from the source; discard it if the flow is silent or drops its bytes."""
        if self.is_silent:
            return
        if self.listener.dropped_direction == self.direction:
            self.has_lost_bytes = True
            return
        now = asyncio.get_running_loop().time()
        self.last_due_at = max(self.last_due_at, now + self.listener.draw_delay_s())
        self._chunks.append((self.last_due_at, chunk))
        self._queued_bytes += len(chunk or b"")
        self.listener.bytes_by_direction[self.direction] += len(chunk or b"")
        self.write_due_chunks()
        self.apply_backpressure()

    def write_due_chunks(self) -> None:
        """Write the chunks that are due to the sink, and set a timer for the next one."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.sink is None or self.listener.is_paused or self.is_silent:
            return
        loop = asyncio.get_running_loop()
        while self._chunks and self._chunks[0][0] <= loop.time() + TIMER_RESOLUTION_S:
            _, chunk = self._chunks.popleft()
            if chunk is None:
                self.sink.close()
                return
            self._queued_bytes -= len(chunk)
            self.sink.write(chunk)
        if self._chunks:
            self._timer = loop.call_at(self._chunks[0][0], self._on_timer)

    def _on_timer(self) -> None:
        self.write_due_chunks()
        self.apply_backpressure()

    def apply_backpressure(self) -> None:
        """Pause reading from the source while the queue or the sink is full, else resume it."""
        if self.source is None or self.source.is_closing():
            return
        if self._queued_bytes > MAX_BUFFERED_BYTES or self.is_sink_full:
            self.source.pause_reading()
        else:
            self.source.resume_reading()

    def discard_queued(self) -> None:
        """Discard the queued chunks and cancel the timer."""
        self._chunks.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class PairedConnection(asyncio.Protocol):
    """One connection of a pair; it reads into the flow `inbound` and writes from `outbound`."""

    __slots__ = ("pair", "inbound", "outbound")

    def __init__(self, pair: ConnectionPair, inbound: Flow, outbound: Flow) -> None:
        self.pair = pair
        self.inbound = inbound
        self.outbound = outbound

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Attach the transport to both flows and write what is already due."""
        self.inbound.source = transport
        self.outbound.sink = transport
        self.outbound.write_due_chunks()

    def data_received(self, data: bytes) -> None:
        """Queue received data for the other connection."""
        self.inbound.enqueue(data)

    def eof_received(self) -> bool:
        """Close the connection at the end of the stream; half-closed ones are not supported."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Discard data for this connection, and let the pair end the other one."""
        self.outbound.sink = None
        self.outbound.discard_queued()
        self.pair.on_connection_lost(self.inbound, reset=exc is not None)

    def pause_writing(self) -> None:
        """Pause reading from the other connection while the write buffer of this one is full."""
        self.outbound.is_sink_full = True
        self.outbound.apply_backpressure()

    def resume_writing(self) -> None:
        """Resume reading from the other connection, unless the queue is full."""
        self.outbound.is_sink_full = False
        self.outbound.apply_backpressure()


class ConnectionPair:
    """A client connection, its upstream connection, and the flows between them, `up` and `down`."""

    __slots__ = ("listener", "up", "down", "client", "upstream", "open_connections")

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.up = Flow(listener, UP)
        self.down = Flow(listener, DOWN)
        self.client = PairedConnection(self, inbound=self.up, outbound=self.down)
        self.upstream = PairedConnection(self, inbound=self.down, outbound=self.up)
        self.open_connections = 1

    async def connect(self) -> None:
        """Connect to the upstream; reset the client's connection if that fails."""
        loop = asyncio.get_running_loop()
        # The client's handshake with the proxy had no delay, so the first chunk is held for the
        # round trip that a handshake with the upstream would take.
        self.up.last_due_at = loop.time() + 2 * self.listener.config.delay_ms / 1000
        host, _, port = self.listener.config.upstream.rpartition(":")
        try:
            await loop.create_connection(lambda: self.upstream, host, int(port))
            self.open_connections += 1
        except OSError:
            self.listener.failed_connects += 1
            self.abort()
        if self.up.source is None or self.up.source.is_closing():
            self.abort()

    def on_connection_lost(self, inbound: Flow, reset: bool) -> None:
        """End the other connection too: after the queued data, or at once after a reset.

        If `inbound` is silent or drops its bytes, the other connection learns nothing and is
        reset after `half_open_ms`.
        """
        self.open_connections -= 1
        if self.open_connections <= 0:
            self.listener.pairs.discard(self)
        if inbound.is_silent or self.listener.dropped_direction == inbound.direction:
            delay_s = self.listener.config.half_open_ms / 1000
            asyncio.get_running_loop().call_later(delay_s, self.abort)
        elif reset:
            self.abort()
        else:
            inbound.enqueue(None)

    def make_silent(self) -> None:
        """Discard all data from now on, in both directions."""
        self.up.is_silent = self.down.is_silent = True
        self.up.discard_queued()
        self.down.discard_queued()

    def has_lost_bytes(self) -> bool:
        """Return whether bytes were dropped, so that the stream cannot continue."""
        return self.up.has_lost_bytes or self.down.has_lost_bytes

    def abort(self) -> None:
        """Reset both connections."""
        for flow in (self.up, self.down):
            flow.discard_queued()
            for transport in (flow.source, flow.sink):
                if transport is not None:
                    transport.abort()


class Listener:
    """One listener, its connections and the faults that are injected at present."""

    __slots__ = (
        "config",
        "host",
        "pairs",
        "is_paused",
        "is_refusing",
        "dropped_direction",
        "accepted",
        "failed_connects",
        "bytes_by_direction",
        "_generator",
        "_server",
        "_tasks",
    )

    def __init__(self, config: ListenerConfig, host: str, seed: int) -> None:
        self.config = config
        self.host = host
        self.pairs: set[ConnectionPair] = set()
        self.is_paused = False
        self.is_refusing = False
        self.dropped_direction = ""
        self.accepted = 0
        self.failed_connects = 0
        self.bytes_by_direction = {UP: 0, DOWN: 0}
        self._generator = random.Random(f"{seed}/{config.id}")
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, self.host, self.config.port)

    def _accept(self) -> PairedConnection:
        self.accepted += 1
        pair = ConnectionPair(self)
        self.pairs.add(pair)
        task = asyncio.get_running_loop().create_task(pair.connect())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return pair.client

    def draw_delay_s(self) -> float:
        """Draw the delay of one chunk in seconds: delay, jitter and retransmission."""
        config = self.config
        delay_ms = config.delay_ms
        if config.jitter_ms:
            delay_ms += self._generator.random() * config.jitter_ms
        if config.loss and self._generator.random() < config.loss:
            delay_ms += config.retransmit_ms
        return delay_ms / 1000

    def cut(self) -> None:
        """Reset all connections."""
        for pair in list(self.pairs):
            pair.abort()

    async def set_refusing(self, is_refusing: bool) -> None:
        """Refuse new connections, or accept them again."""
        if is_refusing == self.is_refusing:
            return
        self.is_refusing = is_refusing
        if is_refusing:
            self._server.close()
        else:
            await self.listen()

    def set_paused(self, is_paused: bool) -> None:
        """Hold all chunks, or write those that were held."""
        self.is_paused = is_paused
        for pair in list(self.pairs):
            pair.up.write_due_chunks()
            pair.down.write_due_chunks()

    def set_dropped_direction(self, direction: str) -> None:
        """Drop the bytes of a direction, or of none for "".

        With "", connections that lost bytes are reset, since their streams have gaps.
        """
        self.dropped_direction = direction
        for pair in list(self.pairs):
            if not direction and pair.has_lost_bytes():
                pair.abort()

    def make_silent(self) -> None:
        """Make the open connections discard all data; new connections work."""
        for pair in self.pairs:
            pair.make_silent()

    def to_json(self) -> dict[str, Any]:
        """Return the counters and the current faults."""
        return {
            "open": len(self.pairs),
            "accepted": self.accepted,
            "failed_connects": self.failed_connects,
            "bytes": self.bytes_by_direction,
            "paused": self.is_paused,
            "refusing": self.is_refusing,
            "dropped_direction": self.dropped_direction,
        }


class Proxy:
    """All listeners of the process, and the application of their admin port."""

    __slots__ = ("config", "listeners_by_id")

    def __init__(self, config: Config) -> None:
        self.config = config
        self.listeners_by_id: dict[str, Listener] = {}

    async def add_listener(self, config: ListenerConfig) -> None:
        """Start a listener."""
        listener = Listener(config, self.config.host, self.config.seed)
        await listener.listen()
        self.listeners_by_id[config.id] = listener

    def make_admin(self) -> web.Application:
        """Return the application of the admin port."""
        app = web.Application()
        app.router.add_get("/listeners", self._admin_list)
        app.router.add_post("/listeners", self._admin_add)
        app.router.add_post("/fault", self._admin_fault)
        return app

    async def _admin_list(self, request: web.Request) -> web.Response:
        return web.json_response({k: item.to_json() for k, item in self.listeners_by_id.items()})

    async def _admin_add(self, request: web.Request) -> web.Response:
        config = msgspec.convert(await request.json(), ListenerConfig)
        if config.id in self.listeners_by_id:
            return make_error(409, "exists", f"listener {config.id} already exists")
        await self.add_listener(config)
        return web.json_response({})

    async def _admin_fault(self, request: web.Request) -> web.Response:
        body = await request.json()
        ids: Iterable[str] | None = body.get("listeners")
        ids = list(self.listeners_by_id) if ids is None else ids
        unknown = [item for item in ids if item not in self.listeners_by_id]
        if unknown:
            return make_error(404, "unknown_listener", ", ".join(unknown))
        for item in ids:
            if not await inject_fault(self.listeners_by_id[item], body):
                return make_error(400, "malformed", f"unknown fault or direction: {body}")
        return web.json_response({"listeners": len(ids)})


async def inject_fault(listener: Listener, body: dict[str, Any]) -> bool:
    """Inject the fault that a request body names; return False if it or its direction is unknown.

    The faults are cut, refuse, drop, silent, pause and delay. `on` false ends refuse and pause, an
    empty `direction` ends drop; the numbers of delay replace those of the configuration.
    """
    match body.get("fault"):
        case "cut":
            listener.cut()
        case "refuse":
            await listener.set_refusing(bool(body.get("on", True)))
        case "drop":
            direction = body.get("direction", "")
            if direction and direction not in DIRECTIONS:
                return False
            listener.set_dropped_direction(direction)
        case "silent":
            listener.make_silent()
        case "pause":
            listener.set_paused(bool(body.get("on", True)))
        case "delay":
            for name in ("delay_ms", "jitter_ms", "loss", "retransmit_ms"):
                if name in body:
                    setattr(listener.config, name, float(body[name]))
        case _:
            return False
    return True


async def run(config: Config) -> None:
    """Serve the listeners and the admin port until SIGTERM or SIGINT."""
    proxy = Proxy(config)
    with watch_stop_signals() as stopped:
        admin = await serve_admin(proxy.make_admin(), config.host, config.admin_port)
        for listener in config.listeners:
            await proxy.add_listener(listener)
        print(f"event=listening process=proxy count={len(config.listeners)}", flush=True)
        await stopped.wait()
        await admin.cleanup()


def main() -> None:
    """Read the configuration and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--config", type=Path, required=True, help="JSON, see Config")
    arguments = parser.parse_args()
    try:
        config = msgspec.json.decode(arguments.config.read_bytes(), type=Config)
    except (OSError, msgspec.DecodeError) as error:
        sys.exit(f"{arguments.config}: {error}")
    uvloop.run(run(config))


if __name__ == "__main__":
    main()
