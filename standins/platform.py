"""Stand-in of the platform's object API (docs/design.md, section 4), in memory.

The API listens on one port. A second port injects faults and reads the counts; its calls are not
subject to the rates or to the faults.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import collections
import contextlib
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import msgspec
import uvloop
from aiohttp import web

MAX_VALUE_BYTES = 1024 * 1024
# The API's own check on the size answers 413; aiohttp's limit must lie above it.
MAX_BODY_BYTES = 16 * MAX_VALUE_BYTES
MAX_WAIT_MS = 60_000
WRITES_PER_S = 400
READS_PER_S = 2000
INSTANCES_LAG_MS = 3000
WRITE_KINDS = ("put", "delete")
OUTAGES = ("none", "refuse", "hang")

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StoredObject:
    """The newest version of a key; `value` is None once it is deleted."""

    __slots__ = ("value", "version")

    def __init__(self, value: bytes | None, version: int) -> None:
        self.value = value
        self.version = version


class ObjectStore:
    """Objects with versions; the version of an object is the store's revision that wrote it."""

    __slots__ = ("revision", "objects_by_key", "_waiters")

    def __init__(self) -> None:
        self.revision = 0
        # Ordered by version, so that the changes after a revision are at the end.
        self.objects_by_key: collections.OrderedDict[str, StoredObject] = collections.OrderedDict()
        self._waiters: list[tuple[str, asyncio.Future[None]]] = []

    def version_of(self, key: str) -> int:
        """Return the version of an existing object, or 0."""
        stored = self.objects_by_key.get(key)
        return stored.version if stored is not None and stored.value is not None else 0

    def get(self, key: str) -> StoredObject | None:
        """Return an existing object."""
        stored = self.objects_by_key.get(key)
        return stored if stored is not None and stored.value is not None else None

    def write(self, key: str, value: bytes | None) -> int:
        """Store or delete (None) an object, wake its watches, and return the new version."""
        self.revision += 1
        self.objects_by_key[key] = StoredObject(value, self.revision)
        self.objects_by_key.move_to_end(key)
        for prefix, waiter in self._waiters:
            if key.startswith(prefix) and not waiter.done():
                waiter.set_result(None)
        return self.revision

    def changes(self, since: int, prefix: str) -> list[tuple[str, StoredObject]]:
        """Return the objects with a version above `since`, oldest first."""
        found = []
        for key in reversed(self.objects_by_key):
            stored = self.objects_by_key[key]
            if stored.version <= since:
                break
            if key.startswith(prefix):
                found.append((key, stored))
        found.reverse()
        return found

    async def wait(self, since: int, prefix: str, wait_s: float) -> None:
        """Return when there is a change after `since` under `prefix`, or after `wait_s`."""
        if wait_s <= 0 or self.changes(since, prefix):
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append((prefix, waiter))
        try:
            await asyncio.wait_for(waiter, wait_s)
        except TimeoutError:
            return
        finally:
            self._waiters.remove((prefix, waiter))


class Rate:
    """A token bucket that holds at most one second's worth of calls."""

    __slots__ = ("per_s", "_tokens", "_at")

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self._tokens = per_s
        self._at = time.monotonic()

    def take(self) -> bool:
        """Take one token, or return False if there is none."""
        now = time.monotonic()
        self._tokens = min(self.per_s, self._tokens + (now - self._at) * self.per_s)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Faults:
    """The faults in force."""

    __slots__ = ("outage", "delay_ms", "jitter_ms", "lose_writes", "lose_share", "lose_prefix")

    def __init__(self) -> None:
        self.outage = "none"
        self.delay_ms = 0.0
        self.jitter_ms = 0.0
        self.lose_writes = 0
        self.lose_share = 0.0
        self.lose_prefix = ""

    def loses_answer(self, key: str, generator: random.Random) -> bool:
        """Decide whether the answer of a write that took effect is lost."""
        if not key.startswith(self.lose_prefix):
            return False
        if self.lose_writes > 0:
            self.lose_writes -= 1
            return True
        return self.lose_share > 0 and generator.random() < self.lose_share


class Counters:
    """Calls by kind and by status, and the most calls that arrived within one second."""

    __slots__ = ("calls", "statuses", "lost_answers", "peaks_per_s", "_second", "_in_second")

    def __init__(self) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self.statuses: collections.Counter[str] = collections.Counter()
        self.lost_answers = 0
        self.peaks_per_s: collections.Counter[str] = collections.Counter()
        self._second = 0
        self._in_second: collections.Counter[str] = collections.Counter()

    def arrive(self, kind: str) -> None:
        """Count a call when it arrives."""
        self.calls[kind] += 1
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._in_second.clear()
        group = "writes" if kind in WRITE_KINDS else "reads"
        self._in_second[group] += 1
        self.peaks_per_s[group] = max(self.peaks_per_s[group], self._in_second[group])

    def to_json(self) -> dict[str, Any]:
        """Return the counts for the admin port."""
        return {
            "calls": dict(self.calls),
            "statuses": dict(self.statuses),
            "lost_answers": self.lost_answers,
            "peaks_per_s": dict(self.peaks_per_s),
        }


class Platform:
    """The object API and its admin port."""

    __slots__ = (
        "host",
        "port",
        "store",
        "faults",
        "counters",
        "writes",
        "reads",
        "instances_lag_ms",
        "_instances",
        "_generator",
        "_outage_changed",
        "_runner",
        "_listener",
    )

    def __init__(
        self,
        host: str,
        port: int,
        writes_per_s: float = WRITES_PER_S,
        reads_per_s: float = READS_PER_S,
        instances_lag_ms: float = INSTANCES_LAG_MS,
        seed: int = 1,
    ) -> None:
        self.host = host
        self.port = port
        self.store = ObjectStore()
        self.faults = Faults()
        self.counters = Counters()
        self.writes = Rate(writes_per_s)
        self.reads = Rate(reads_per_s)
        self.instances_lag_ms = instances_lag_ms
        # Lists with the time from which each is visible, oldest first.
        self._instances: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]
        self._generator = random.Random(seed)
        self._outage_changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on the API's port."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        objects = "/v1/objects/{key:.+}"
        app.router.add_get(objects, self._call("get", self._get), allow_head=False)
        app.router.add_put(objects, self._call("put", self._put))
        app.router.add_delete(objects, self._call("delete", self._delete))
        app.router.add_get("/v1/changes", self._call("changes", self._changes))
        app.router.add_get("/v1/instances", self._call("instances", self._list_instances))
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await self._listen()

    async def stop(self) -> None:
        """Close everything."""
        self._close_listener()
        self._abort_connections()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._runner.server, self.host, self.port)
        self.port = self._listener.sockets[0].getsockname()[1]

    def _close_listener(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _abort_connections(self) -> None:
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def set_outage(self, outage: str) -> None:
        """Start or end an outage; connections that were open during one are closed at its end."""
        previous, self.faults.outage = self.faults.outage, outage
        if previous == outage:
            return
        if outage == "refuse":
            self._close_listener()
        if outage == "refuse" or previous == "hang":
            self._abort_connections()
        self._outage_changed.set()
        self._outage_changed = asyncio.Event()
        if outage != "refuse" and self._listener is None:
            await self._listen()

    def set_instances(self, instances: list[dict[str, Any]], lag_ms: float | None = None) -> None:
        """Set the instance list, visible to callers after the lag."""
        lag_s = (self.instances_lag_ms if lag_ms is None else lag_ms) / 1000
        self._instances.append((time.monotonic() + lag_s, instances))

    def _visible_instances(self) -> list[dict[str, Any]]:
        now = time.monotonic()
        while len(self._instances) > 1 and self._instances[1][0] <= now:
            self._instances.pop(0)
        return self._instances[0][1]

    def _call(self, kind: str, handler: Handler) -> Handler:
        """Wrap a handler with the counts, the faults and the rates."""
        rate = self.writes if kind in WRITE_KINDS else self.reads

        async def handle(request: web.Request) -> web.StreamResponse:
            self.counters.arrive(kind)
            if not await self._pass_outage(request):
                return web.Response(status=503)
            if self.faults.delay_ms or self.faults.jitter_ms:
                jitter_ms = self._generator.random() * self.faults.jitter_ms
                await asyncio.sleep((self.faults.delay_ms + jitter_ms) / 1000)
            if rate.take():
                response = await handler(request)
            else:
                response = make_error(429, "rate_exceeded", f"over {rate.per_s:g} calls per second")
            self.counters.statuses[f"{kind}:{response.status}"] += 1
            if not await self._pass_outage(request):
                return web.Response(status=503)
            if kind in WRITE_KINDS and response.status == 200:
                key = request.match_info["key"]
                if self.faults.loses_answer(key, self._generator):
                    self.counters.lost_answers += 1
                    abort(request)
            return response

        return handle

    async def _pass_outage(self, request: web.Request) -> bool:
        """Wait while the API hangs; return False, with the connection closed, after an outage."""
        if self.faults.outage == "none":
            return True
        while self.faults.outage == "hang":
            await self._outage_changed.wait()
        abort(request)
        return False

    async def _get(self, request: web.Request) -> web.Response:
        stored = self.store.get(request.match_info["key"])
        if stored is None:
            return make_error(404, "not_found", "there is no such object")
        return web.Response(body=stored.value, headers={"Object-Version": str(stored.version)})

    async def _put(self, request: web.Request) -> web.Response:
        body = await request.read()
        if len(body) > MAX_VALUE_BYTES:
            return make_error(413, "too_large", f"a value has at most {MAX_VALUE_BYTES} bytes")
        return self._write(request, body)

    async def _delete(self, request: web.Request) -> web.Response:
        return self._write(request, None)

    def _write(self, request: web.Request, value: bytes | None) -> web.Response:
        key = request.match_info["key"]
        current = self.store.version_of(key)
        match = request.headers.get("If-Match")
        none_match = request.headers.get("If-None-Match")
        if (match is None) == (none_match is None):
            return make_error(428, "condition_required", "give If-Match or If-None-Match: *")
        if none_match is not None:
            if none_match != "*" or value is None:
                return make_error(400, "malformed", "If-None-Match takes *, and only for a PUT")
            holds = current == 0
        else:
            expected = match.strip('"')
            if not expected.isdigit():
                return make_error(400, "malformed", "If-Match takes a version")
            holds = current != 0 and current == int(expected)
        if not holds:
            response = make_error(412, "version_conflict", f"the version is {current}")
            response.headers["Object-Version"] = str(current)
            return response
        version = self.store.write(key, value)
        return web.Response(headers={"Object-Version": str(version)})

    async def _changes(self, request: web.Request) -> web.Response:
        try:
            since = int(request.query.get("since", "0"))
            wait_ms = min(int(request.query.get("wait_ms", "0")), MAX_WAIT_MS)
        except ValueError:
            return make_error(400, "malformed", "since and wait_ms are integers")
        prefix = request.query.get("prefix", "")
        await self.store.wait(since, prefix, wait_ms / 1000)
        objects = [
            {"key": key, "version": stored.version, "value": encode_value(stored.value)}
            for key, stored in self.store.changes(since, prefix)
        ]
        return web.json_response({"revision": self.store.revision, "objects": objects})

    async def _list_instances(self, request: web.Request) -> web.Response:
        return web.json_response({"instances": self._visible_instances()})

    def make_admin(self) -> web.Application:
        """Return the application of the admin port."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/outage", self._admin_outage)
        app.router.add_post("/slow", self._admin_slow)
        app.router.add_post("/lose", self._admin_lose)
        app.router.add_put("/instances", self._admin_instances)
        app.router.add_get("/counters", self._admin_counters)
        app.router.add_delete("/counters", self._admin_reset)
        app.router.add_get("/objects", self._admin_objects)
        return app

    async def _admin_outage(self, request: web.Request) -> web.Response:
        mode = (await request.json()).get("mode")
        if mode not in OUTAGES:
            return make_error(400, "malformed", f"mode is one of {', '.join(OUTAGES)}")
        await self.set_outage(mode)
        return web.json_response({"outage": mode})

    async def _admin_slow(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.faults.delay_ms = float(body.get("delay_ms", 0))
        self.faults.jitter_ms = float(body.get("jitter_ms", 0))
        return web.json_response({"delay_ms": self.faults.delay_ms})

    async def _admin_lose(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.faults.lose_writes = int(body.get("writes", 0))
        self.faults.lose_share = float(body.get("probability", 0))
        self.faults.lose_prefix = str(body.get("prefix", ""))
        if "seed" in body:
            self._generator.seed(body["seed"])
        return web.json_response({"writes": self.faults.lose_writes})

    async def _admin_instances(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.set_instances(body["instances"], body.get("lag_ms"))
        return web.json_response({})

    async def _admin_counters(self, request: web.Request) -> web.Response:
        return web.json_response({**self.counters.to_json(), "revision": self.store.revision})

    async def _admin_reset(self, request: web.Request) -> web.Response:
        self.counters = Counters()
        return web.json_response({})

    async def _admin_objects(self, request: web.Request) -> web.Response:
        prefix = request.query.get("prefix", "")
        objects = [
            {"key": key, "version": stored.version, "value": encode_value(stored.value)}
            for key, stored in self.store.changes(0, prefix)
        ]
        return web.json_response({"revision": self.store.revision, "objects": objects})


def encode_value(value: bytes | None) -> str | None:
    """Return a value in base64, or None if the object is deleted."""
    return None if value is None else base64.b64encode(value).decode()


def make_error(status: int, code: str, message: str) -> web.Response:
    """Return an error answer."""
    return web.json_response({"code": code, "message": message}, status=status)


def abort(request: web.BaseRequest) -> None:
    """Reset the connection of a request, so that its answer never arrives."""
    if request.transport is not None:
        request.transport.abort()


@contextlib.contextmanager
def until_signal() -> Iterator[asyncio.Event]:
    """Give an event that SIGTERM and SIGINT set."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    yield stopped


@web.middleware
async def refuse_malformed(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Answer 400 with the reason where a handler could not read its request."""
    try:
        return await handler(request)
    except (KeyError, TypeError, ValueError, msgspec.MsgspecError) as error:
        return make_error(400, "malformed", repr(error))


async def serve_admin(app: web.Application, host: str, port: int) -> web.AppRunner:
    """Serve an admin application; the caller cleans the runner up."""
    app.middlewares.append(refuse_malformed)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner


async def run(arguments: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    platform = Platform(
        host=arguments.host,
        port=arguments.port,
        writes_per_s=arguments.writes_per_s,
        reads_per_s=arguments.reads_per_s,
        instances_lag_ms=arguments.instances_lag_ms,
        seed=arguments.seed,
    )
    with until_signal() as stopped:
        admin = await serve_admin(platform.make_admin(), arguments.host, arguments.admin_port)
        await platform.start()
        print(f"event=listening process=platform port={platform.port}", flush=True)
        await stopped.wait()
        await platform.stop()
        await admin.cleanup()


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--admin-port", type=int, required=True)
    parser.add_argument("--writes-per-s", type=float, default=WRITES_PER_S)
    parser.add_argument("--reads-per-s", type=float, default=READS_PER_S)
    parser.add_argument("--instances-lag-ms", type=float, default=INSTANCES_LAG_MS)
    parser.add_argument("--seed", type=int, default=1)
    uvloop.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
