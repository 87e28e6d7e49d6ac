"""TCP proxy that injects faults: many listeners in one process, changed at any time over HTTP.

Delays apply to each chunk that the proxy reads, in each direction, and keep the order of the bytes.
The event loop's timers make them a multiple of about a millisecond.
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

BUFFER_BYTES = 1024 * 1024
# A chunk that is due within this time is sent now; timers are no finer.
TIMER_S = 0.0005
UP = "up"
DOWN = "down"
DIRECTIONS = (UP, DOWN)


class ListenerConfig(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One listener; `delay_ms` and `jitter_ms` are one-way and apply in both directions."""

    id: str
    port: int
    upstream: str
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    # Share of the chunks that a retransmission delays by `retransmit_ms`.
    loss: float = 0.0
    retransmit_ms: float = 200.0
    # How long the other side of a silent connection stays open after one side closed.
    half_open_ms: float = 5000.0


class Config(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One proxy process."""

    admin_port: int
    listeners: list[ListenerConfig]
    host: str = "127.0.0.1"
    seed: int = 1


class Flow:
    """The bytes of one connection in one direction; a chunk of None is the end of the stream."""

    __slots__ = (
        "listener",
        "direction",
        "source",
        "sink",
        "silent",
        "lost_bytes",
        "sink_full",
        "last_due",
        "_chunks",
        "_size",
        "_timer",
    )

    def __init__(self, listener: Listener, direction: str) -> None:
        self.listener = listener
        self.direction = direction
        self.source: asyncio.Transport | None = None
        self.sink: asyncio.Transport | None = None
        self.silent = False
        self.lost_bytes = False
        self.sink_full = False
        self.last_due = 0.0
        self._chunks: collections.deque[tuple[float, bytes | None]] = collections.deque()
        self._size = 0
        self._timer: asyncio.TimerHandle | None = None

    def feed(self, chunk: bytes | None) -> None:
        """Take a chunk from the source."""
        if self.silent:
            return
        if self.listener.dropped_direction == self.direction:
            self.lost_bytes = True
            return
        now = asyncio.get_running_loop().time()
        self.last_due = max(self.last_due, now + self.listener.draw_delay_s())
        self._chunks.append((self.last_due, chunk))
        self._size += len(chunk or b"")
        self.listener.bytes_by_direction[self.direction] += len(chunk or b"")
        self.deliver()
        self.update_reading()

    def deliver(self) -> None:
        """Write what is due, and set a timer for the next chunk."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.sink is None or self.listener.paused or self.silent:
            return
        loop = asyncio.get_running_loop()
        while self._chunks and self._chunks[0][0] <= loop.time() + TIMER_S:
            _, chunk = self._chunks.popleft()
            if chunk is None:
                self.sink.close()
                return
            self._size -= len(chunk)
            self.sink.write(chunk)
        if self._chunks:
            self._timer = loop.call_at(self._chunks[0][0], self._on_due)

    def _on_due(self) -> None:
        self.deliver()
        self.update_reading()

    def update_reading(self) -> None:
        """Stop reading from the source while too much is on its way."""
        if self.source is None or self.source.is_closing():
            return
        if self._size > BUFFER_BYTES or self.sink_full:
            self.source.pause_reading()
        else:
            self.source.resume_reading()

    def stop(self) -> None:
        """Drop what is on its way."""
        self._chunks.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class Side(asyncio.Protocol):
    """One of the two connections of a pair."""

    __slots__ = ("pair", "inbound", "outbound")

    def __init__(self, pair: Pair, inbound: Flow, outbound: Flow) -> None:
        self.pair = pair
        self.inbound = inbound
        self.outbound = outbound

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect the flows."""
        self.inbound.source = transport
        self.outbound.sink = transport
        self.outbound.deliver()

    def data_received(self, data: bytes) -> None:
        """Pass data on."""
        self.inbound.feed(data)

    def eof_received(self) -> bool:
        """Close on the end of the stream; half-closed connections are not supported."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass the end on."""
        self.outbound.sink = None
        self.outbound.stop()
        self.pair.side_lost(self.inbound, reset=exc is not None)

    def pause_writing(self) -> None:
        """Stop the other side while this one cannot take more."""
        self.outbound.sink_full = True
        self.outbound.update_reading()

    def resume_writing(self) -> None:
        """Let the other side continue."""
        self.outbound.sink_full = False
        self.outbound.update_reading()


class Pair:
    """A caller's connection and the one to the upstream."""

    __slots__ = ("listener", "up", "down", "client", "upstream", "open_sides")

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.up = Flow(listener, UP)
        self.down = Flow(listener, DOWN)
        self.client = Side(self, inbound=self.up, outbound=self.down)
        self.upstream = Side(self, inbound=self.down, outbound=self.up)
        self.open_sides = 1

    async def connect(self) -> None:
        """Connect to the upstream; the caller's connection is reset if that fails."""
        loop = asyncio.get_running_loop()
        # The handshake with the upstream is a round trip, which the caller's own skipped.
        self.up.last_due = loop.time() + 2 * self.listener.config.delay_ms / 1000
        host, _, port = self.listener.config.upstream.rpartition(":")
        try:
            await loop.create_connection(lambda: self.upstream, host, int(port))
            self.open_sides += 1
        except OSError:
            self.listener.failed_connects += 1
            self.abort()
        if self.up.source is None or self.up.source.is_closing():
            self.abort()

    def side_lost(self, inbound: Flow, reset: bool) -> None:
        """Pass the end of one side on to the other, unless the connection is silent."""
        self.open_sides -= 1
        if self.open_sides <= 0:
            self.listener.pairs.discard(self)
        if inbound.silent or self.listener.dropped_direction == inbound.direction:
            delay_s = self.listener.config.half_open_ms / 1000
            asyncio.get_running_loop().call_later(delay_s, self.abort)
        elif reset:
            self.abort()
        else:
            inbound.feed(None)

    def make_silent(self) -> None:
        """Swallow everything from now on, in both directions."""
        self.up.silent = self.down.silent = True
        self.up.stop()
        self.down.stop()

    def lost_bytes(self) -> bool:
        """Tell whether bytes are missing, so that the streams cannot go on."""
        return self.up.lost_bytes or self.down.lost_bytes

    def abort(self) -> None:
        """Reset both sides."""
        for flow in (self.up, self.down):
            flow.stop()
            for transport in (flow.source, flow.sink):
                if transport is not None:
                    transport.abort()


class Listener:
    """One listener with its connections and the faults in force."""

    __slots__ = (
        "config",
        "host",
        "pairs",
        "paused",
        "refusing",
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
        self.pairs: set[Pair] = set()
        self.paused = False
        self.refusing = False
        self.dropped_direction = ""
        self.accepted = 0
        self.failed_connects = 0
        self.bytes_by_direction = {UP: 0, DOWN: 0}
        self._generator = random.Random(f"{seed}/{config.id}")
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, self.host, self.config.port)

    def _accept(self) -> Side:
        self.accepted += 1
        pair = Pair(self)
        self.pairs.add(pair)
        task = asyncio.get_running_loop().create_task(pair.connect())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return pair.client

    def draw_delay_s(self) -> float:
        """Draw the delay of one chunk."""
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

    async def set_refusing(self, refusing: bool) -> None:
        """Refuse new connections, or accept them again."""
        if refusing == self.refusing:
            return
        self.refusing = refusing
        if refusing:
            self._server.close()
        else:
            await self.listen()

    def set_paused(self, paused: bool) -> None:
        """Hold all bytes, or deliver what was held."""
        self.paused = paused
        for pair in list(self.pairs):
            pair.up.deliver()
            pair.down.deliver()

    def set_dropped(self, direction: str) -> None:
        """Drop the bytes of one direction; the end of it resets connections that lost some."""
        self.dropped_direction = direction
        for pair in list(self.pairs):
            if not direction and pair.lost_bytes():
                pair.abort()

    def make_silent(self) -> None:
        """Make the open connections swallow everything; new ones work."""
        for pair in self.pairs:
            pair.make_silent()

    def to_json(self) -> dict[str, Any]:
        """Return the counts and the faults in force."""
        return {
            "open": len(self.pairs),
            "accepted": self.accepted,
            "failed_connects": self.failed_connects,
            "bytes": self.bytes_by_direction,
            "paused": self.paused,
            "refusing": self.refusing,
            "dropped_direction": self.dropped_direction,
        }


class Proxy:
    """All listeners of the process and their admin port."""

    __slots__ = ("config", "listeners_by_id")

    def __init__(self, config: Config) -> None:
        self.config = config
        self.listeners_by_id: dict[str, Listener] = {}

    async def add(self, config: ListenerConfig) -> None:
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
            return make_error(409, "exists", f"there is a listener {config.id}")
        await self.add(config)
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
                return make_error(400, "malformed", f"no such fault: {body}")
        return web.json_response({"listeners": len(ids)})


async def inject_fault(listener: Listener, body: dict[str, Any]) -> bool:
    """Apply one fault; return False if there is no such fault."""
    match body.get("fault"):
        case "cut":
            listener.cut()
        case "refuse":
            await listener.set_refusing(bool(body.get("on", True)))
        case "drop":
            direction = body.get("direction", "")
            if direction and direction not in DIRECTIONS:
                return False
            listener.set_dropped(direction)
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
    """Serve until SIGTERM or SIGINT."""
    proxy = Proxy(config)
    with watch_stop_signals() as stopped:
        admin = await serve_admin(proxy.make_admin(), config.host, config.admin_port)
        for listener in config.listeners:
            await proxy.add(listener)
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
