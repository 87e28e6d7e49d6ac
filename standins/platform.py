"""In-memory stand-in for the platform's object API (docs/design.md, section 4).

The API listens on one port. A second port, the admin port, injects faults and returns the call
counters; neither the rate limits nor the injected faults apply to its requests.
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
# Higher than MAX_VALUE_BYTES, so that the API itself, not aiohttp, answers 413 to a large value.
MAX_BODY_BYTES = 16 * MAX_VALUE_BYTES
MAX_WAIT_MS = 60_000
WRITES_PER_S = 400
READS_PER_S = 2000
INSTANCES_LAG_MS = 3000
WRITE_KINDS = ("put", "delete")
OUTAGES = ("none", "refuse", "hang")

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StoredObject:
    """The latest version of an object; `value` is None after the object was deleted."""

    __slots__ = ("value", "version")

    def __init__(self, value: bytes | None, version: int) -> None:
        self.value = value
        self.version = version


class ObjectStore:
    """Versioned objects; each write increments the store's revision, which becomes the version."""

    __slots__ = ("revision", "objects_by_key", "_waiters")

    def __init__(self) -> None:
        self.revision = 0
        # Ordered by version, so that the changes since a revision are at the end.
        self.objects_by_key: collections.OrderedDict[str, StoredObject] = collections.OrderedDict()
        self._waiters: list[tuple[str, asyncio.Future[None]]] = []

    def version_of(self, key: str) -> int:
        """Return the version of an object, or 0 if it does not exist or was deleted."""
        stored = self.objects_by_key.get(key)
        return stored.version if stored is not None and stored.value is not None else 0

    def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist or was deleted."""
        stored = self.objects_by_key.get(key)
        return stored if stored is not None and stored.value is not None else None

    def write(self, key: str, value: bytes | None) -> int:
        """Store a value, or delete the object for None; wake watches, return the new version."""
        self.revision += 1
        self.objects_by_key[key] = StoredObject(value, self.revision)
        self.objects_by_key.move_to_end(key)
        for prefix, waiter in self._waiters:
            if key.startswith(prefix) and not waiter.done():
                waiter.set_result(None)
        return self.revision

    def find_changes(self, since: int, prefix: str) -> list[tuple[str, StoredObject]]:
        """Return objects under `prefix`, also deleted ones, with a version over `since`, in order.

        Each item is a key and its latest version; the oldest version comes first.
        """
        found = []
        for key in reversed(self.objects_by_key):
            stored = self.objects_by_key[key]
            if stored.version <= since:
                break
            if key.startswith(prefix):
                found.append((key, stored))
        found.reverse()
        return found

    async def wait_for_change(self, since: int, prefix: str, wait_s: float) -> None:
        """Wait until an object under `prefix` has a version over `since`, or for `wait_s`."""
        if wait_s <= 0 or self.find_changes(since, prefix):
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append((prefix, waiter))
        try:
            await asyncio.wait_for(waiter, wait_s)
        except TimeoutError:
            return
        finally:
            self._waiters.remove((prefix, waiter))


class TokenBucket:
    """A rate limiter; the bucket starts full and holds at most the calls of one second."""

    __slots__ = ("per_s", "_tokens", "_refilled_at")

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self._tokens = per_s
        self._refilled_at = time.monotonic()

    def take(self) -> bool:
        """Take one token; return False if the bucket holds less than one."""
        now = time.monotonic()
        self._tokens = min(self.per_s, self._tokens + (now - self._refilled_at) * self.per_s)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Faults:
    """The faults that are injected at present."""

    __slots__ = ("outage", "delay_ms", "jitter_ms", "lose_writes", "lose_share", "lose_prefix")

    def __init__(self) -> None:
        self.outage = "none"
        self.delay_ms = 0.0
        self.jitter_ms = 0.0
        self.lose_writes = 0
        self.lose_share = 0.0
        self.lose_prefix = ""

    def should_lose_answer(self, key: str, generator: random.Random) -> bool:
        """Return whether to drop the response to a write that was applied.

        The next `lose_writes` writes under `lose_prefix` lose theirs, and after them a random
        share of `lose_share`.
        """
        if not key.startswith(self.lose_prefix):
            return False
        if self.lose_writes > 0:
            self.lose_writes -= 1
            return True
        return self.lose_share > 0 and generator.random() < self.lose_share


class Counters:
    """Calls by kind, responses by kind and status, and the highest calls in one clock second."""

    __slots__ = (
        "calls",
        "statuses",
        "lost_answers",
        "peaks_per_s",
        "_current_second",
        "_calls_in_second",
    )

    def __init__(self) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self.statuses: collections.Counter[str] = collections.Counter()
        self.lost_answers = 0
        self.peaks_per_s: collections.Counter[str] = collections.Counter()
        self._current_second = 0
        self._calls_in_second: collections.Counter[str] = collections.Counter()

    def count_call(self, kind: str) -> None:
        """Count a call on arrival."""
        self.calls[kind] += 1
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._calls_in_second.clear()
        group = "writes" if kind in WRITE_KINDS else "reads"
        self._calls_in_second[group] += 1
        self.peaks_per_s[group] = max(self.peaks_per_s[group], self._calls_in_second[group])

    def to_json(self) -> dict[str, Any]:
        """Return the counters as the admin port reports them."""
        return {
            "calls": dict(self.calls),
            "statuses": dict(self.statuses),
            "lost_answers": self.lost_answers,
            "peaks_per_s": dict(self.peaks_per_s),
        }


class Platform:
    """The server of the object API, and the application of its admin port."""

    __slots__ = (
        "host",
        "port",
        "store",
        "faults",
        "counters",
        "write_bucket",
        "read_bucket",
        "instances_lag_ms",
        "_instance_lists",
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
        self.write_bucket = TokenBucket(writes_per_s)
        self.read_bucket = TokenBucket(reads_per_s)
        self.instances_lag_ms = instances_lag_ms
        # Instance lists, oldest first, each with the time.monotonic() at which it becomes visible.
        self._instance_lists: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]
        self._generator = random.Random(seed)
        self._outage_changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to serve the API."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        objects = "/v1/objects/{key:.+}"
        app.router.add_get(objects, self._wrap_handler("get", self._get), allow_head=False)
        app.router.add_put(objects, self._wrap_handler("put", self._put))
        app.router.add_delete(objects, self._wrap_handler("delete", self._delete))
        app.router.add_get("/v1/changes", self._wrap_handler("changes", self._changes))
        app.router.add_get("/v1/instances", self._wrap_handler("instances", self._list_instances))
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await self._listen()

    async def stop(self) -> None:
        """Close the listener and all connections."""
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
        """Start or end an outage of a kind in OUTAGES ("none" ends it).

        "refuse" closes the listener and resets all connections. "hang" accepts calls and answers
        none; its end resets all connections.
        """
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
        """Set the instance list; callers see it after `lag_ms`, or the configured lag if None."""
        lag_s = (self.instances_lag_ms if lag_ms is None else lag_ms) / 1000
        self._instance_lists.append((time.monotonic() + lag_s, instances))

    def _visible_instances(self) -> list[dict[str, Any]]:
        now = time.monotonic()
        while len(self._instance_lists) > 1 and self._instance_lists[1][0] <= now:
            self._instance_lists.pop(0)
        return self._instance_lists[0][1]

    def _wrap_handler(self, kind: str, handler: Handler) -> Handler:
        """Return a handler that adds call counting, fault injection and rate limiting."""
        bucket = self.write_bucket if kind in WRITE_KINDS else self.read_bucket

        async def handle(request: web.Request) -> web.StreamResponse:
            self.counters.count_call(kind)
            if not await self._check_outage(request):
                return web.Response(status=503)
            if self.faults.delay_ms or self.faults.jitter_ms:
                jitter_ms = self._generator.random() * self.faults.jitter_ms
                await asyncio.sleep((self.faults.delay_ms + jitter_ms) / 1000)
            if bucket.take():
                response = await handler(request)
            else:
                response = make_error(
                    429,
                    "rate_exceeded",
                    f"rate limit of {bucket.per_s:g} calls per second exceeded",
                )
            self.counters.statuses[f"{kind}:{response.status}"] += 1
            if not await self._check_outage(request):
                return web.Response(status=503)
            if kind in WRITE_KINDS and response.status == 200:
                key = request.match_info["key"]
                if self.faults.should_lose_answer(key, self._generator):
                    self.counters.lost_answers += 1
                    abort_connection(request)
            return response

        return handle

    async def _check_outage(self, request: web.Request) -> bool:
        """Return True if there is no outage; otherwise reset the connection and return False.

        While the API hangs, the reset waits for the end of the outage.
        """
        if self.faults.outage == "none":
            return True
        while self.faults.outage == "hang":
            await self._outage_changed.wait()
        abort_connection(request)
        return False

    async def _get(self, request: web.Request) -> web.Response:
        stored = self.store.get(request.match_info["key"])
        if stored is None:
            return make_error(404, "not_found", "the object does not exist")
        return web.Response(body=stored.value, headers={"Object-Version": str(stored.version)})

    async def _put(self, request: web.Request) -> web.Response:
        body = await request.read()
        if len(body) > MAX_VALUE_BYTES:
            return make_error(413, "too_large", f"the value is over {MAX_VALUE_BYTES} bytes")
        return self._write(request, body)

    async def _delete(self, request: web.Request) -> web.Response:
        return self._write(request, None)

    def _write(self, request: web.Request, value: bytes | None) -> web.Response:
        key = request.match_info["key"]
        current = self.store.version_of(key)
        match = request.headers.get("If-Match")
        none_match = request.headers.get("If-None-Match")
        if (match is None) == (none_match is None):
            return make_error(
                428, "condition_required", "either If-Match or If-None-Match: * is required"
            )
        if none_match is not None:
            if none_match != "*" or value is None:
                return make_error(400, "malformed", "If-None-Match must be * and is for PUT only")
            is_condition_met = current == 0
        else:
            expected = match.strip('"')
            if not expected.isdigit():
                return make_error(400, "malformed", "If-Match must be an object version")
            is_condition_met = current != 0 and current == int(expected)
        if not is_condition_met:
            response = make_error(412, "version_conflict", f"the current version is {current}")
            response.headers["Object-Version"] = str(current)
            return response
        version = self.store.write(key, value)
        return web.Response(headers={"Object-Version": str(version)})

    async def _changes(self, request: web.Request) -> web.Response:
        try:
            since = int(request.query.get("since", "0"))
            wait_ms = min(int(request.query.get("wait_ms", "0")), MAX_WAIT_MS)
        except ValueError:
            return make_error(400, "malformed", "since and wait_ms must be integers")
        prefix = request.query.get("prefix", "")
        await self.store.wait_for_change(since, prefix, wait_ms / 1000)
        objects = [
            {"key": key, "version": stored.version, "value": encode_value(stored.value)}
            for key, stored in self.store.find_changes(since, prefix)
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
            return make_error(400, "malformed", f"mode must be one of {', '.join(OUTAGES)}")
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
            for key, stored in self.store.find_changes(0, prefix)
        ]
        return web.json_response({"revision": self.store.revision, "objects": objects})


def encode_value(value: bytes | None) -> str | None:
    """Return a value as base64, or None for a deleted object."""
    return None if value is None else base64.b64encode(value).decode()


def make_error(status: int, code: str, message: str) -> web.Response:
    """Return an error response with a stable code and a text for people."""
    return web.json_response({"code": code, "message": message}, status=status)


def abort_connection(request: web.BaseRequest) -> None:
    """Reset the connection of a request, so that the caller gets no response."""
    if request.transport is not None:
        request.transport.abort()


@contextlib.contextmanager
def watch_stop_signals() -> Iterator[asyncio.Event]:
    """Yield an event that SIGTERM and SIGINT set."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    yield stopped


@web.middleware
async def refuse_malformed(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Answer 400 with the error if a handler fails to parse its request."""
    try:
        return await handler(request)
    except (KeyError, TypeError, ValueError, msgspec.MsgspecError) as error:
        return make_error(400, "malformed", repr(error))


async def serve_admin(app: web.Application, host: str, port: int) -> web.AppRunner:
    """Start to serve an admin application; the caller must clean up the returned runner."""
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
    with watch_stop_signals() as stopped:
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
