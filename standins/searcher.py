"""Stand-in of the back ends' searchers (docs/design.md, section 4): many in one process.

Each searcher listens on its own port. The admin port counts what the searchers saw and injects
faults. The counts are kept apart from the protocol, so that they are evidence of what arrived.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import math
import random
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Annotated, Any

import msgspec
import uvloop
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from .platform import make_error, serve_admin, watch_stop_signals

NS_PER_MS = 1_000_000
KEPT_ARRIVALS = 100_000
KEPT_REQUEST_IDS = 200_000
KEEPALIVE_S = 3600.0
CLOCKS = {"boottime": time.CLOCK_BOOTTIME, "monotonic": time.CLOCK_MONOTONIC}


class Model(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of the configuration; unknown keys are errors."""


class Shard(Model):
    """The keys [low, high) of one snapshot that a searcher holds."""

    id: Annotated[str, msgspec.Meta(pattern=r"^s\d+$")]
    low: int
    high: int


class SearcherConfig(Model):
    """One searcher. Times are in milliseconds."""

    id: str
    port: int
    slots: int
    connections: int
    cold_limit: int
    connect_ms: float = 1.0
    # Requests that may wait for a slot; a request beyond them is shed.
    queue: int = 0
    warm_after: int = 200
    start_cold: bool = False
    # How long nothing is served after a cold searcher got more than its cold limit.
    fail_ms: float = 2000.0
    # Service times follow a log-normal distribution with this median and shape.
    service_ms: float = 8.0
    service_sigma: float = 0.25
    cold_factor: float = 2.0
    # 1 in `straggler_one_in` sub-requests takes `straggler_factor` times as long; 0: none.
    straggler_one_in: int = 0
    straggler_factor: float = 20.0
    max_request_ms: float = 2000.0
    # /health and /load: "honest", "lag" by report_lag_ms, or "mislead" (always idle and healthy).
    reports: str = "lag"
    report_lag_ms: float = 3000.0
    shards: list[Shard] = msgspec.field(default_factory=list)


class Config(Model):
    """One process of searchers."""

    admin_port: int
    searchers: list[SearcherConfig]
    host: str = "127.0.0.1"
    seed: int = 1
    clock: str = "boottime"


class SearchBody(Model):
    """Body of /search and /submit."""

    low: int
    high: int
    query: Any = None


class Witness:
    """What a searcher saw since its start or the last reset."""

    __slots__ = (
        "received",
        "started",
        "completed",
        "cancelled",
        "shed",
        "deadline",
        "snapshot_missing",
        "cut_off",
        "duplicate_ids",
        "cold_most_in_flight",
        "most_in_flight",
        "over_cold_limit",
        "over_cold_limit_in_grace",
        "connections_opened",
        "connections_refused",
        "peak_connections",
        "completed_by_snapshot",
        "runs_by_key",
    )

    def __init__(self) -> None:
        self.received = 0
        self.started = 0
        self.completed = 0
        self.cancelled = 0
        self.shed = 0
        self.deadline = 0
        self.snapshot_missing = 0
        self.cut_off = 0
        self.duplicate_ids = 0
        self.cold_most_in_flight = 0
        self.most_in_flight = 0
        self.over_cold_limit = 0
        self.over_cold_limit_in_grace = 0
        self.connections_opened = 0
        self.connections_refused = 0
        self.peak_connections = 0
        self.completed_by_snapshot: collections.Counter[str] = collections.Counter()
        self.runs_by_key: collections.Counter[str] = collections.Counter()

    def to_json(self) -> dict[str, Any]:
        """Return all counts by name."""
        return {name: getattr(self, name) for name in self.__slots__}


class Connection(RequestHandler):
    """A caller's connection, with the connect time, the cap and the faults of a searcher."""

    __slots__ = ("searcher", "accepted", "silent", "lost", "_opening")

    def __init__(self, searcher: Searcher, **kwargs: Any) -> None:
        super().__init__(searcher.server, **kwargs)
        self.searcher = searcher
        self.accepted = False
        self.silent = False
        self.lost = asyncio.Event()
        self._opening: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Refuse a connection over the cap; otherwise read from it after the connect time."""
        super().connection_made(transport)
        if not self.searcher.open_connection(self):
            transport.abort()
            return
        self.accepted = True
        delay_s = self.searcher.config.connect_ms / 1000
        if delay_s > 0:
            # The kernel accepts by itself, so that the connect time is spent before the first read.
            transport.pause_reading()
            loop = asyncio.get_running_loop()
            self._opening = loop.call_later(delay_s, self._open, transport)

    def _open(self, transport: asyncio.Transport) -> None:
        if not self.lost.is_set() and not transport.is_closing():
            transport.resume_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        if self._opening is not None:
            self._opening.cancel()
        self.lost.set()
        if self.accepted:
            self.searcher.connections.discard(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Pass data on, unless the connection is silent."""
        if not self.silent:
            super().data_received(data)


class SearcherServer(web.Server):
    """An aiohttp server that makes the connections of one searcher."""

    def __init__(self, searcher: Searcher) -> None:
        super().__init__(searcher.handle, access_log=None, keepalive_timeout=KEEPALIVE_S)
        self.searcher = searcher

    def __call__(self) -> RequestHandler:
        """Make the protocol of a new connection."""
        return Connection(
            self.searcher,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
        )


class Running:
    """A request that runs or waits for a slot; `end` takes its outcome."""

    __slots__ = ("end", "timer")

    def __init__(self, end: asyncio.Future[str]) -> None:
        self.end = end
        self.timer: asyncio.TimerHandle | None = None

    def finish(self, outcome: str) -> None:
        """End the request with the first outcome."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.end.done():
            self.end.set_result(outcome)


class Searcher:
    """One searcher: its state, its faults and its witness. Owned by the event loop."""

    __slots__ = (
        "config",
        "host",
        "now_ns",
        "record",
        "server",
        "witness",
        "connections",
        "shards_by_snapshot",
        "running_by_id",
        "arrivals",
        "draining",
        "down",
        "slow_factor",
        "cold",
        "grace_s",
        "noticed_at",
        "failing_until",
        "_served_cold",
        "_active",
        "_waiting",
        "_sequence",
        "_generator",
        "_listener",
        "_reported",
    )

    def __init__(
        self,
        config: SearcherConfig,
        host: str,
        seed: int,
        now_ns: Callable[[], int],
        record: Callable[[str], bool],
    ) -> None:
        self.config = config
        self.host = host
        self.now_ns = now_ns
        self.record = record
        self.server = SearcherServer(self)
        self.witness = Witness()
        self.connections: set[Connection] = set()
        self.shards_by_snapshot = {shard.id: shard for shard in config.shards}
        self.running_by_id: dict[str, set[Running]] = {}
        # Time, request id and request key of each complete request that reached the searcher.
        self.arrivals: collections.deque[tuple[int, str, str]] = collections.deque(
            maxlen=KEPT_ARRIVALS
        )
        self.draining = False
        self.down = False
        self.slow_factor = 1.0
        self.cold = config.start_cold
        self.grace_s: float | None = None
        # When senders could first know that the searcher is cold.
        self.noticed_at: float | None = None
        self.failing_until = 0.0
        self._served_cold = 0
        self._active = 0
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()
        self._sequence = 0
        self._generator = random.Random(f"{seed}/{config.id}")
        self._listener: asyncio.Server | None = None
        # The two newest samples of the load report, as (time, in flight, cold).
        self._reported = [(0.0, 0, self.cold), (0.0, 0, self.cold)]

    # ---- Connections and faults ----

    async def listen(self) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self.server, self.host, self.config.port)

    def open_connection(self, connection: Connection) -> bool:
        """Take a connection, or return False if it is over the cap or the searcher fails."""
        if (
            time.monotonic() < self.failing_until
            or len(self.connections) >= self.config.connections
        ):
            self.witness.connections_refused += 1
            return False
        self.connections.add(connection)
        self.witness.connections_opened += 1
        self.witness.peak_connections = max(self.witness.peak_connections, len(self.connections))
        return True

    def cut_off(self) -> None:
        """Close all connections and end the work in progress, as a restart does."""
        for running in [item for group in self.running_by_id.values() for item in group]:
            running.finish("cut_off")
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def turn_cold(self, close: bool, grace_ms: float | None = None) -> None:
        """Turn cold, with or without closing the connections.

        With a grace, more than the cold limit at once is harmless and counted apart until
        `grace_ms` after the first sign that senders could see: a closed connection, or an answer
        with the cold flag. Without one, it makes the searcher fail from the start.
        """
        now = time.monotonic()
        self.cold = True
        self.grace_s = None if grace_ms is None else grace_ms / 1000
        self.noticed_at = now if close and self.connections else None
        self._served_cold = 0
        if close:
            self.cut_off()

    async def set_down(self, down: bool) -> None:
        """Stop or start to listen. A searcher that comes up starts cold."""
        if down == self.down:
            return
        self.down = down
        if down:
            self._listener.close()
            self.cut_off()
            return
        self.turn_cold(close=False)
        await self.listen()

    def make_silent(self, share: float) -> int:
        """Make open connections swallow everything from now on; return how many."""
        count = math.ceil(len(self.connections) * share)
        for connection in list(self.connections)[:count]:
            connection.silent = True
        return count

    def publish(self, shard: Shard) -> None:
        """Hold one more snapshot, or other keys of one."""
        self.shards_by_snapshot[shard.id] = shard

    # ---- Requests ----

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request; nothing is answered on a silent connection."""
        connection: Connection = request.protocol
        method, path = request.method, request.path
        if method == "POST" and path in ("/search", "/submit"):
            response = await self._serve(request, submit=path == "/submit")
        elif method == "DELETE" and path.startswith("/requests/"):
            response = self._cancel(path.removeprefix("/requests/"))
        elif method == "GET" and path == "/health":
            response = web.json_response({"status": "ok", "cold": self._report()[2]})
        elif method == "GET" and path == "/load":
            in_flight = self._report()[1]
            response = web.json_response({"in_flight": in_flight, "slots": self.config.slots})
        else:
            response = make_error(404, "not_found", f"no {method} {path}")
        if connection.silent:
            await connection.lost.wait()
        if self.cold and self.noticed_at is None:
            self.noticed_at = time.monotonic()
        response.headers["Searcher-Cold"] = "1" if self.cold else "0"
        response.headers["Searcher-In-Flight"] = str(self._active + len(self._waiting))
        return response

    async def _serve(self, request: web.BaseRequest, submit: bool) -> web.Response:
        connection: Connection = request.protocol
        body = await request.read()
        if connection.silent:
            # Complete just before the connection went silent: swallowed like what follows.
            await connection.lost.wait()
            return make_error(503, "silent", "the connection is silent")
        arrived_ns = self.now_ns()
        headers = request.headers
        request_id = headers.get("Request-Id", "")
        request_key = headers.get("Request-Key", "")
        self.witness.received += 1
        self.arrivals.append((arrived_ns, request_id, request_key))
        problem = find_problem(headers, submit)
        if problem:
            return make_error(400, "malformed", problem)
        try:
            search = msgspec.json.decode(body, type=SearchBody)
        except msgspec.DecodeError as error:
            return make_error(400, "malformed", str(error))
        remaining_ms = min(float(headers["Deadline-Ms"]), self.config.max_request_ms)
        if self._is_over_cold_limit():
            request.transport.abort()
            return make_error(503, "overloaded", "more than the cold limit at once")
        if self.draining:
            self.witness.shed += 1
            return make_error(503, "shed", "the searcher is draining")
        shard = self.shards_by_snapshot.get(headers["Snapshot"])
        if shard is None or not shard.low <= search.low <= search.high <= shard.high:
            self.witness.snapshot_missing += 1
            return make_error(409, "snapshot_missing", f"no {headers['Snapshot']} for this range")
        if self._active >= self.config.slots and len(self._waiting) >= self.config.queue:
            self.witness.shed += 1
            return make_error(503, "shed", "all slots are in use")
        outcome = await self._run(request_id, request_key if submit else "", remaining_ms)
        return self._answer(outcome, search, shard, request)

    def _is_over_cold_limit(self) -> bool:
        """Tell whether one more request makes a cold searcher fail, and count it."""
        at_once = self._active + len(self._waiting) + 1
        if not self.cold:
            return False
        if at_once <= self.config.cold_limit:
            self.witness.cold_most_in_flight = max(self.witness.cold_most_in_flight, at_once)
            return False
        now = time.monotonic()
        if self._is_in_grace(now):
            self.witness.over_cold_limit_in_grace += 1
            return False
        self.witness.cold_most_in_flight = max(self.witness.cold_most_in_flight, at_once)
        self.witness.over_cold_limit += 1
        self.failing_until = now + self.config.fail_ms / 1000
        self._served_cold = 0
        self.cut_off()
        return True

    def _is_in_grace(self, now: float) -> bool:
        """Tell whether senders may not know yet that the searcher is cold."""
        if self.grace_s is None:
            return False
        return self.noticed_at is None or now < self.noticed_at + self.grace_s

    async def _run(self, request_id: str, request_key: str, remaining_ms: float) -> str:
        """Run a request in a slot until it is done, cancelled, past its deadline or cut off."""
        loop = asyncio.get_running_loop()
        running = Running(loop.create_future())
        deadline = loop.time() + remaining_ms / 1000
        group = self.running_by_id.setdefault(request_id, set())
        group.add(running)
        try:
            outcome = await self._take_slot(running, deadline)
            if outcome:
                return outcome
            try:
                self._start(request_id, request_key)
                end_at = loop.time() + self._draw_service_s()
                outcome = "done" if end_at <= deadline else "deadline"
                running.timer = loop.call_at(min(end_at, deadline), running.finish, outcome)
                return await running.end
            finally:
                self._leave_slot()
        finally:
            group.discard(running)
            if not group:
                self.running_by_id.pop(request_id, None)

    async def _take_slot(self, running: Running, deadline: float) -> str:
        """Take a slot, waiting for one if there is none; return an outcome if it ended before."""
        if self._active < self.config.slots:
            self._active += 1
            return ""
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[None] = loop.create_future()
        self._waiting.append(turn)
        running.timer = loop.call_at(deadline, running.finish, "deadline")
        await asyncio.wait((turn, running.end), return_when=asyncio.FIRST_COMPLETED)
        running.timer.cancel()
        if not running.end.done():
            return ""
        if turn.done():
            self._leave_slot()
        else:
            self._waiting.remove(turn)
        return running.end.result()

    def _leave_slot(self) -> None:
        """Pass the slot on to the first that waits, or free it."""
        if self._waiting:
            self._waiting.popleft().set_result(None)
        else:
            self._active -= 1

    def _start(self, request_id: str, request_key: str) -> None:
        witness = self.witness
        witness.started += 1
        witness.most_in_flight = max(witness.most_in_flight, self._active)
        if request_key:
            witness.runs_by_key[request_key] += 1
        if not self.record(request_id):
            witness.duplicate_ids += 1

    def _draw_service_s(self) -> float:
        """Draw a service time; each sub-request takes the same number of draws."""
        config = self.config
        self._sequence += 1
        service_ms = config.service_ms * self._generator.lognormvariate(0.0, config.service_sigma)
        straggles = self._generator.random() * config.straggler_one_in < 1
        if config.straggler_one_in and straggles:
            service_ms *= config.straggler_factor
        if self.cold:
            service_ms *= config.cold_factor
        return service_ms * self.slow_factor / 1000

    def _answer(
        self, outcome: str, search: SearchBody, shard: Shard, request: web.BaseRequest
    ) -> web.Response:
        witness = self.witness
        if outcome == "done":
            witness.completed += 1
            witness.completed_by_snapshot[shard.id] += 1
            if self.cold:
                self._served_cold += 1
                self.cold = self._served_cold < self.config.warm_after
            answer = {
                "snapshot": shard.id,
                "low": search.low,
                "high": search.high,
                "count": (search.high - search.low) * snapshot_number(shard.id),
                "echo": search.query,
            }
            return web.Response(body=msgspec.json.encode(answer), content_type="application/json")
        if outcome == "cancelled":
            witness.cancelled += 1
            return make_error(499, "cancelled", "cancelled by the sender")
        if outcome == "deadline":
            witness.deadline += 1
            return make_error(504, "deadline", "the deadline passed")
        witness.cut_off += 1
        if request.transport is not None:
            request.transport.abort()
        return make_error(503, "cut_off", "the searcher stopped")

    def _cancel(self, request_id: str) -> web.Response:
        group = self.running_by_id.get(request_id, ())
        cancelled = len(group)
        for running in list(group):
            running.finish("cancelled")
        return web.json_response({"cancelled": cancelled})

    # ---- Reports ----

    def _report(self) -> tuple[float, int, bool]:
        """Return the load report as (time, in flight, cold), late or wrong as configured."""
        now = time.monotonic()
        current = (now, self._active + len(self._waiting), self.cold)
        if self.config.reports == "honest":
            return current
        if self.config.reports == "mislead":
            return (now, 0, False)
        if now - self._reported[1][0] >= self.config.report_lag_ms / 1000:
            self._reported = [self._reported[1], current]
        return self._reported[0]

    def witness_json(self) -> dict[str, Any]:
        """Return the witness and the present state."""
        return {
            **self.witness.to_json(),
            "cold": self.cold,
            "draining": self.draining,
            "down": self.down,
            "in_flight": self._active + len(self._waiting),
            "open_connections": len(self.connections),
            "snapshots": sorted(self.shards_by_snapshot),
        }


def find_problem(headers: Any, submit: bool) -> str:
    """Return what is wrong with the headers of a request, or an empty string."""
    names = ["Request-Id", "Deadline-Ms", "Snapshot"]
    if submit:
        names.append("Request-Key")
    for name in names:
        if not headers.get(name):
            return f"the header {name} is missing"
    try:
        remaining_ms = float(headers["Deadline-Ms"])
    except ValueError:
        return "Deadline-Ms is not a number"
    return "" if remaining_ms > 0 else "Deadline-Ms is not above 0"


def snapshot_number(snapshot: str) -> int:
    """Return the number in a snapshot id such as s17."""
    return int(snapshot.lstrip("s"))


class Process:
    """All searchers of the process and their admin port."""

    __slots__ = ("config", "searchers_by_id", "_runs_by_request_id")

    def __init__(self, config: Config) -> None:
        self.config = config
        # Oldest first. Removing the first key of a plain dict passes over all removed ones.
        self._runs_by_request_id: collections.OrderedDict[str, int] = collections.OrderedDict()
        clock = CLOCKS[config.clock]
        self.searchers_by_id = {
            searcher.id: Searcher(
                config=searcher,
                host=config.host,
                seed=config.seed,
                now_ns=lambda: time.clock_gettime_ns(clock),
                record=self._record_run,
            )
            for searcher in config.searchers
        }

    def _record_run(self, request_id: str) -> bool:
        """Count a run of a request id; return False if it ran before in this process."""
        runs = self._runs_by_request_id.get(request_id, 0) + 1
        self._runs_by_request_id[request_id] = runs
        if len(self._runs_by_request_id) > KEPT_REQUEST_IDS:
            self._runs_by_request_id.popitem(last=False)
        return runs == 1

    def make_admin(self) -> web.Application:
        """Return the application of the admin port."""
        app = web.Application()
        app.router.add_get("/witness", self._admin_witness)
        app.router.add_delete("/witness", self._admin_reset)
        app.router.add_get("/arrivals", self._admin_arrivals)
        app.router.add_get("/runs", self._admin_runs)
        app.router.add_post("/fault", self._admin_fault)
        app.router.add_post("/snapshots", self._admin_snapshots)
        return app

    def _choose(self, ids: Iterable[str] | None) -> list[Searcher] | web.Response:
        if ids is None:
            return list(self.searchers_by_id.values())
        unknown = [item for item in ids if item not in self.searchers_by_id]
        if unknown:
            return make_error(404, "unknown_searcher", ", ".join(unknown))
        return [self.searchers_by_id[item] for item in ids]

    def _choose_from_query(self, request: web.Request) -> list[Searcher] | web.Response:
        ids = request.query.get("searchers")
        return self._choose(ids.split(",") if ids else None)

    async def _admin_witness(self, request: web.Request) -> web.Response:
        chosen = self._choose_from_query(request)
        if isinstance(chosen, web.Response):
            return chosen
        return web.json_response({item.config.id: item.witness_json() for item in chosen})

    async def _admin_reset(self, request: web.Request) -> web.Response:
        """Start all counts again. Open connections and running work stay."""
        for searcher in self.searchers_by_id.values():
            searcher.witness = Witness()
            searcher.witness.peak_connections = len(searcher.connections)
            searcher.arrivals.clear()
        self._runs_by_request_id.clear()
        return web.json_response({})

    async def _admin_arrivals(self, request: web.Request) -> web.Response:
        chosen = self._choose_from_query(request)
        if isinstance(chosen, web.Response):
            return chosen
        after = int(request.query.get("after_ns", "0"))
        before = int(request.query.get("before_ns", str(sys.maxsize)))
        limit = int(request.query.get("limit", "100"))
        answer = {}
        for searcher in chosen:
            found = [item for item in searcher.arrivals if after < item[0] < before]
            answer[searcher.config.id] = {"count": len(found), "arrivals": found[:limit]}
        return web.json_response(answer)

    async def _admin_runs(self, request: web.Request) -> web.Response:
        """Return the runs by request id for the newest ids, under a prefix."""
        prefix = request.query.get("prefix", "")
        runs = {
            request_id: count
            for request_id, count in self._runs_by_request_id.items()
            if request_id.startswith(prefix)
        }
        return web.json_response({"runs": runs})

    async def _admin_fault(self, request: web.Request) -> web.Response:
        body = await request.json()
        chosen = self._choose(body.get("searchers"))
        if isinstance(chosen, web.Response):
            return chosen
        for searcher in chosen:
            if not await inject_fault(searcher, body):
                return make_error(400, "malformed", f"no fault {body.get('fault')!r}")
        return web.json_response({"searchers": len(chosen)})

    async def _admin_snapshots(self, request: web.Request) -> web.Response:
        """Hold `add` (shards by searcher id); drop the snapshots in `drop` at `searchers`."""
        body = await request.json()
        shards_by_searcher = msgspec.convert(body.get("add", {}), dict[str, Shard])
        chosen = self._choose(shards_by_searcher)
        if isinstance(chosen, web.Response):
            return chosen
        for searcher in chosen:
            searcher.publish(shards_by_searcher[searcher.config.id])
        dropping = self._choose(body.get("searchers"))
        if isinstance(dropping, web.Response):
            return dropping
        for snapshot in body.get("drop", []):
            for searcher in dropping:
                searcher.shards_by_snapshot.pop(snapshot, None)
        return web.json_response({})


async def inject_fault(searcher: Searcher, body: dict[str, Any]) -> bool:
    """Apply one fault; return False if there is no such fault."""
    match body.get("fault"):
        case "cold":
            searcher.turn_cold(close=bool(body.get("close")), grace_ms=body.get("grace_ms"))
        case "slow":
            searcher.slow_factor = float(body.get("factor", 1))
        case "silent":
            searcher.make_silent(share=float(body.get("share", 1)))
        case "down":
            await searcher.set_down(True)
        case "up":
            await searcher.set_down(False)
        case "drain":
            searcher.draining = bool(body.get("on", True))
        case _:
            return False
    return True


async def run(config: Config) -> None:
    """Serve until SIGTERM or SIGINT."""
    process = Process(config)
    with watch_stop_signals() as stopped:
        admin = await serve_admin(process.make_admin(), config.host, config.admin_port)
        for searcher in process.searchers_by_id.values():
            await searcher.listen()
        print(f"event=listening process=searcher count={len(config.searchers)}", flush=True)
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
    if config.clock not in CLOCKS:
        sys.exit(f"{arguments.config}: clock is one of {', '.join(CLOCKS)}")
    uvloop.run(run(config))


if __name__ == "__main__":
    main()
