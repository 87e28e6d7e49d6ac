"""Stand-in for the searchers of the back ends (docs/design.md, section 4), many in one process.

Each searcher listens on its own port. The admin port returns the searchers' counters and injects
faults. The counters are independent of the search protocol, so that tests can compare what callers
were told with what the searchers received and ran.
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
MAX_KEPT_ARRIVALS = 100_000
MAX_KEPT_REQUEST_IDS = 200_000
KEEPALIVE_S = 3600.0
# A process that does not look at its clock for longer than this has stalled; it looks each LOOK_S.
STALL_NS = 50 * NS_PER_MS
LOOK_S = 0.02
# Requests that waited in the sockets during a stall are read within this time after its end.
BACKLOG_NS = 100 * NS_PER_MS
CLOCKS = {"boottime": time.CLOCK_BOOTTIME, "monotonic": time.CLOCK_MONOTONIC}


class StrictModel(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of configurations and request bodies; unknown keys are errors."""


class Shard(StrictModel):
    """The key range [low, high) that a searcher holds of one snapshot."""

    id: Annotated[str, msgspec.Meta(pattern=r"^s\d+$")]
    low: int
    high: int


class SearcherConfig(StrictModel):
    """Configuration of one searcher; `slots` requests run at once, over `connections` at most."""

    id: str
    port: int
    slots: int
    connections: int
    cold_limit: int
    connect_ms: float = 1.0
    # How many requests may wait for a slot; any further one is shed.
    queue: int = 0
    # A cold searcher is warm after it has completed this many requests.
    warm_after: int = 200
    start_cold: bool = False
    # How long connections are refused after a cold searcher had more requests than its cold limit.
    fail_ms: float = 2000.0
    # Service times are log-normal with this median and this sigma (shape).
    service_ms: float = 8.0
    service_sigma: float = 0.25
    cold_factor: float = 2.0
    # 1 in `straggler_one_in` requests takes `straggler_factor` times as long; 0: none does.
    straggler_one_in: int = 0
    straggler_factor: float = 20.0
    max_request_ms: float = 2000.0
    # What /health and /load report: "honest" the current state, "lag" a state that is at least
    # report_lag_ms old, "mislead" always an idle and warm searcher.
    reports: str = "lag"
    report_lag_ms: float = 3000.0
    shards: list[Shard] = msgspec.field(default_factory=list)


class Config(StrictModel):
    """Configuration of one process of searchers; `clock` is a key of CLOCKS."""

    admin_port: int
    searchers: list[SearcherConfig]
    host: str = "127.0.0.1"
    seed: int = 1
    clock: str = "boottime"


class SearchBody(StrictModel):
    """Body of /search and /submit; `low` and `high` bound the keys as [low, high)."""

    low: int
    high: int
    query: Any = None


class SearcherCounters:
    """What a searcher received and ran since its start or the last reset."""

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
        """Return all counters by name."""
        return {name: getattr(self, name) for name in self.__slots__}


class StallWatch:
    """Tells since when a request that is read now may have waited in its socket.

    A process that is stopped, or waits for a processor, reads requests later than they arrived.
    """

    __slots__ = ("now_ns", "_looked_ns", "_stall")

    def __init__(self, now_ns: Callable[[], int]) -> None:
        self.now_ns = now_ns
        # Time of the latest look; None until `run` has started.
        self._looked_ns: int | None = None
        # Begin and end of the latest stall.
        self._stall = (0, 0)

    async def run(self) -> None:
        """Look at the clock until cancelled."""
        while True:
            self.look()
            await asyncio.sleep(LOOK_S)

    def look(self) -> None:
        """Record a stall if the clock was not looked at for long."""
        now = self.now_ns()
        last = now if self._looked_ns is None else self._looked_ns
        if now - last > STALL_NS:
            start, end = self._stall
            # What waited in an earlier stall may not have been read before this one.
            self._stall = (start if last - end <= BACKLOG_NS else last, now)
        self._looked_ns = now

    def find_arrival_ns(self) -> int:
        """Return the earliest time at which a request that is read now can have arrived."""
        if self._looked_ns is None:
            return self.now_ns()
        self.look()
        start, end = self._stall
        return start if self._looked_ns - end <= BACKLOG_NS else self._looked_ns


class Connection(RequestHandler):
    """A caller's connection, with the connect time, connection limit and faults of a searcher."""

    __slots__ = ("searcher", "is_admitted", "is_silent", "closed_event", "_connect_timer")

    def __init__(self, searcher: Searcher, **kwargs: Any) -> None:
        super().__init__(searcher.server, **kwargs)
        self.searcher = searcher
        self.is_admitted = False
        self.is_silent = False
        self.closed_event = asyncio.Event()
        self._connect_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset a connection that is not admitted; read from others after the connect time."""
        super().connection_made(transport)
        if not self.searcher.admit_connection(self):
            transport.abort()
            return
        self.is_admitted = True
        delay_s = self.searcher.config.connect_ms / 1000
        if delay_s > 0:
            # The kernel completes the handshake, so the connect time delays the first read instead.
            transport.pause_reading()
            loop = asyncio.get_running_loop()
            self._connect_timer = loop.call_later(delay_s, self._start_reading, transport)

    def _start_reading(self, transport: asyncio.Transport) -> None:
        if not self.closed_event.is_set() and not transport.is_closing():
            transport.resume_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from its searcher."""
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        self.closed_event.set()
        if self.is_admitted:
            self.searcher.connections.discard(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received data; a silent connection discards it."""
        if not self.is_silent:
            super().data_received(data)


class SearcherServer(web.Server):
    """An aiohttp server that creates the connections of one searcher."""

    def __init__(self, searcher: Searcher) -> None:
        super().__init__(searcher.handle, access_log=None, keepalive_timeout=KEEPALIVE_S)
        self.searcher = searcher

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return Connection(
            self.searcher,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
        )


class RunningRequest:
    """A request that runs or waits for a slot.

    The outcome is "done", "deadline", "cancelled" or "cut_off".
    """

    __slots__ = ("outcome_future", "timer")

    def __init__(self, outcome_future: asyncio.Future[str]) -> None:
        self.outcome_future = outcome_future
        self.timer: asyncio.TimerHandle | None = None

    def finish(self, outcome: str) -> None:
        """End the request with an outcome, unless it has one already."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.outcome_future.done():
            self.outcome_future.set_result(outcome)


class Searcher:
    """One searcher: its state, injected faults and counters; used on the event loop only."""

    __slots__ = (
        "config",
        "host",
        "find_arrival_ns",
        "record_run",
        "server",
        "counters",
        "connections",
        "shards_by_snapshot",
        "running_by_request_id",
        "arrivals",
        "is_draining",
        "is_down",
        "slow_factor",
        "is_cold",
        "grace_s",
        "cold_visible_at",
        "failing_until",
        "_completed_while_cold",
        "_slots_in_use",
        "_slot_waiters",
        "_sequence",
        "_generator",
        "_listener",
        "_load_samples",
    )

    def __init__(
        self,
        config: SearcherConfig,
        host: str,
        seed: int,
        find_arrival_ns: Callable[[], int],
        record_run: Callable[[str], bool],
    ) -> None:
        self.config = config
        self.host = host
        self.find_arrival_ns = find_arrival_ns
        self.record_run = record_run
        self.server = SearcherServer(self)
        self.counters = SearcherCounters()
        self.connections: set[Connection] = set()
        self.shards_by_snapshot = {shard.id: shard for shard in config.shards}
        self.running_by_request_id: dict[str, set[RunningRequest]] = {}
        # Time, request id and request key of each complete request that reached the searcher. After
        # a stall of the process, the time is that at which the stall began.
        self.arrivals: collections.deque[tuple[int, str, str]] = collections.deque(
            maxlen=MAX_KEPT_ARRIVALS
        )
        self.is_draining = False
        self.is_down = False
        self.slow_factor = 1.0
        self.is_cold = config.start_cold
        # Grace period after cold_visible_at; None: there is none.
        self.grace_s: float | None = None
        # time.monotonic() from which senders can know that the searcher is cold.
        self.cold_visible_at: float | None = None
        self.failing_until = 0.0
        self._completed_while_cold = 0
        self._slots_in_use = 0
        self._slot_waiters: collections.deque[asyncio.Future[None]] = collections.deque()
        self._sequence = 0
        self._generator = random.Random(f"{seed}/{config.id}")
        self._listener: asyncio.Server | None = None
        # The two latest samples of the load, older first, as (time, in flight, cold).
        self._load_samples = [(0.0, 0, self.is_cold), (0.0, 0, self.is_cold)]

    async def listen(self) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self.server, self.host, self.config.port)

    def admit_connection(self, connection: Connection) -> bool:
        """Register a connection; return False if too many are open or the searcher is failing."""
        if (
            time.monotonic() < self.failing_until
            or len(self.connections) >= self.config.connections
        ):
            self.counters.connections_refused += 1
            return False
        self.connections.add(connection)
        self.counters.connections_opened += 1
        self.counters.peak_connections = max(self.counters.peak_connections, len(self.connections))
        return True

    def abort_all(self) -> None:
        """Reset all connections and end all requests, as a restart does."""
        for running in [
            item for requests in self.running_by_request_id.values() for item in requests
        ]:
            running.finish("cut_off")
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def turn_cold(self, close: bool, grace_ms: float | None = None) -> None:
        """Turn cold; `close` also resets the connections and ends all requests.

        With `grace_ms`, requests over the cold limit cause no failure and have a counter of their
        own until `grace_ms` after senders could first see that the searcher is cold: by a closed
        connection, or by a response with the header Searcher-Cold: 1. Without it, they make the
        searcher fail at once.
        """
        now = time.monotonic()
        self.is_cold = True
        self.grace_s = None if grace_ms is None else grace_ms / 1000
        self.cold_visible_at = now if close and self.connections else None
        self._completed_while_cold = 0
        if close:
            self.abort_all()

    async def set_down(self, is_down: bool) -> None:
        """Stop listening and end everything as a restart does, or listen again and turn cold."""
        if is_down == self.is_down:
            return
        self.is_down = is_down
        if is_down:
            self._listener.close()
            self.abort_all()
            return
        self.turn_cold(close=False)
        await self.listen()

    def make_silent(self, share: float) -> int:
        """Make a share of the open connections discard all data from now on; return how many."""
        count = math.ceil(len(self.connections) * share)
        for connection in list(self.connections)[:count]:
            connection.is_silent = True
        return count

    def add_shard(self, shard: Shard) -> None:
        """Hold a shard, in place of any other shard of the same snapshot."""
        self.shards_by_snapshot[shard.id] = shard

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request; on a silent connection, wait for its end instead of a response."""
        connection: Connection = request.protocol
        method, path = request.method, request.path
        if method == "POST" and path in ("/search", "/submit"):
            response = await self._serve_search(request, submit=path == "/submit")
        elif method == "DELETE" and path.startswith("/requests/"):
            response = self._cancel_requests(path.removeprefix("/requests/"))
        elif method == "GET" and path == "/health":
            response = web.json_response({"status": "ok", "cold": self._load_report()[2]})
        elif method == "GET" and path == "/load":
            in_flight = self._load_report()[1]
            response = web.json_response({"in_flight": in_flight, "slots": self.config.slots})
        else:
            response = make_error(404, "not_found", f"unknown endpoint: {method} {path}")
        if connection.is_silent:
            await connection.closed_event.wait()
        if self.is_cold and self.cold_visible_at is None:
            self.cold_visible_at = time.monotonic()
        response.headers["Searcher-Cold"] = "1" if self.is_cold else "0"
        response.headers["Searcher-In-Flight"] = str(self._slots_in_use + len(self._slot_waiters))
        return response

    async def _serve_search(self, request: web.BaseRequest, submit: bool) -> web.Response:
        connection: Connection = request.protocol
        body = await request.read()
        if connection.is_silent:
            # The body was complete just before the connection went silent; discard it as well.
            await connection.closed_event.wait()
            return make_error(503, "silent", "the connection is silent")
        arrived_ns = self.find_arrival_ns()
        headers = request.headers
        request_id = headers.get("Request-Id", "")
        request_key = headers.get("Request-Key", "")
        self.counters.received += 1
        self.arrivals.append((arrived_ns, request_id, request_key))
        problem = find_header_error(headers, submit)
        if problem:
            return make_error(400, "malformed", problem)
        try:
            search = msgspec.json.decode(body, type=SearchBody)
        except msgspec.DecodeError as error:
            return make_error(400, "malformed", str(error))
        remaining_ms = min(float(headers["Deadline-Ms"]), self.config.max_request_ms)
        if self._enforce_cold_limit():
            request.transport.abort()
            return make_error(503, "overloaded", "more requests in flight than the cold limit")
        if self.is_draining:
            self.counters.shed += 1
            return make_error(503, "shed", "the searcher is draining")
        shard = self.shards_by_snapshot.get(headers["Snapshot"])
        if shard is None or not shard.low <= search.low <= search.high <= shard.high:
            self.counters.snapshot_missing += 1
            return make_error(
                409,
                "snapshot_missing",
                f"snapshot {headers['Snapshot']} is not held for this range",
            )
        if self._slots_in_use >= self.config.slots and len(self._slot_waiters) >= self.config.queue:
            self.counters.shed += 1
            return make_error(503, "shed", "all slots are in use")
        outcome = await self._run(request_id, request_key if submit else "", remaining_ms)
        return self._make_response(outcome, search, shard, request)

    def _enforce_cold_limit(self) -> bool:
        """Return whether one more request exceeds the cold limit, and if so make the searcher fail.

        Updates the counters of the cold start. A request over the limit within the grace period
        only counts, and the result is False.
        """
        in_flight = self._slots_in_use + len(self._slot_waiters) + 1
        if not self.is_cold:
            return False
        if in_flight <= self.config.cold_limit:
            self.counters.cold_most_in_flight = max(self.counters.cold_most_in_flight, in_flight)
            return False
        now = time.monotonic()
        if self._is_in_grace(now):
            self.counters.over_cold_limit_in_grace += 1
            return False
        self.counters.cold_most_in_flight = max(self.counters.cold_most_in_flight, in_flight)
        self.counters.over_cold_limit += 1
        self.failing_until = now + self.config.fail_ms / 1000
        self._completed_while_cold = 0
        self.abort_all()
        return True

    def _is_in_grace(self, now: float) -> bool:
        """Return whether senders may still be unaware that the searcher is cold."""
        if self.grace_s is None:
            return False
        return self.cold_visible_at is None or now < self.cold_visible_at + self.grace_s

    async def _run(self, request_id: str, request_key: str, remaining_ms: float) -> str:
        """Run a request in a slot and return its outcome (see RunningRequest)."""
        loop = asyncio.get_running_loop()
        running = RunningRequest(loop.create_future())
        deadline = loop.time() + remaining_ms / 1000
        requests = self.running_by_request_id.setdefault(request_id, set())
        requests.add(running)
        try:
            outcome = await self._acquire_slot(running, deadline)
            if outcome:
                return outcome
            try:
                self._count_start(request_id, request_key)
                end_at = loop.time() + self._draw_service_time_s()
                outcome = "done" if end_at <= deadline else "deadline"
                running.timer = loop.call_at(min(end_at, deadline), running.finish, outcome)
                return await running.outcome_future
            finally:
                self._release_slot()
        finally:
            requests.discard(running)
            if not requests:
                self.running_by_request_id.pop(request_id, None)

    async def _acquire_slot(self, running: RunningRequest, deadline: float) -> str:
        """Take a slot, waiting until one is free; return "", or the outcome if the request ended.

        `deadline` is a time of the event loop.
        """
        if self._slots_in_use < self.config.slots:
            self._slots_in_use += 1
            return ""
        loop = asyncio.get_running_loop()
        slot_future: asyncio.Future[None] = loop.create_future()
        self._slot_waiters.append(slot_future)
        running.timer = loop.call_at(deadline, running.finish, "deadline")
        await asyncio.wait(
            (slot_future, running.outcome_future), return_when=asyncio.FIRST_COMPLETED
        )
        running.timer.cancel()
        if not running.outcome_future.done():
            return ""
        if slot_future.done():
            self._release_slot()
        else:
            self._slot_waiters.remove(slot_future)
        return running.outcome_future.result()

    def _release_slot(self) -> None:
        """Pass the slot to the request that has waited longest, or free it."""
        if self._slot_waiters:
            self._slot_waiters.popleft().set_result(None)
        else:
            self._slots_in_use -= 1

    def _count_start(self, request_id: str, request_key: str) -> None:
        counters = self.counters
        counters.started += 1
        counters.most_in_flight = max(counters.most_in_flight, self._slots_in_use)
        if request_key:
            counters.runs_by_key[request_key] += 1
        if not self.record_run(request_id):
            counters.duplicate_ids += 1

    def _draw_service_time_s(self) -> float:
        """Draw a service time in seconds.

        Each request takes one draw of the time and one of the straggler, also if none straggles.
        """
        config = self.config
        self._sequence += 1
        service_ms = config.service_ms * self._generator.lognormvariate(0.0, config.service_sigma)
        straggles = self._generator.random() * config.straggler_one_in < 1
        if config.straggler_one_in and straggles:
            service_ms *= config.straggler_factor
        if self.is_cold:
            service_ms *= config.cold_factor
        return service_ms * self.slow_factor / 1000

    def _make_response(
        self, outcome: str, search: SearchBody, shard: Shard, request: web.BaseRequest
    ) -> web.Response:
        counters = self.counters
        if outcome == "done":
            counters.completed += 1
            counters.completed_by_snapshot[shard.id] += 1
            if self.is_cold:
                self._completed_while_cold += 1
                self.is_cold = self._completed_while_cold < self.config.warm_after
            answer = {
                "snapshot": shard.id,
                "low": search.low,
                "high": search.high,
                "count": (search.high - search.low) * parse_snapshot_number(shard.id),
                "echo": search.query,
            }
            return web.Response(body=msgspec.json.encode(answer), content_type="application/json")
        if outcome == "cancelled":
            counters.cancelled += 1
            return make_error(499, "cancelled", "cancelled by the sender")
        if outcome == "deadline":
            counters.deadline += 1
            return make_error(504, "deadline", "the deadline passed")
        counters.cut_off += 1
        if request.transport is not None:
            request.transport.abort()
        return make_error(503, "cut_off", "the searcher stopped")

    def _cancel_requests(self, request_id: str) -> web.Response:
        requests = self.running_by_request_id.get(request_id, ())
        cancelled = len(requests)
        for running in list(requests):
            running.finish("cancelled")
        return web.json_response({"cancelled": cancelled})

    def _load_report(self) -> tuple[float, int, bool]:
        """Return the reported load as (time, in flight, cold); see SearcherConfig.reports."""
        now = time.monotonic()
        current = (now, self._slots_in_use + len(self._slot_waiters), self.is_cold)
        if self.config.reports == "honest":
            return current
        if self.config.reports == "mislead":
            return (now, 0, False)
        if now - self._load_samples[1][0] >= self.config.report_lag_ms / 1000:
            self._load_samples = [self._load_samples[1], current]
        return self._load_samples[0]

    def counters_json(self) -> dict[str, Any]:
        """Return the counters and the current state, as the admin port reports them."""
        return {
            **self.counters.to_json(),
            "cold": self.is_cold,
            "draining": self.is_draining,
            "down": self.is_down,
            "in_flight": self._slots_in_use + len(self._slot_waiters),
            "open_connections": len(self.connections),
            "snapshots": sorted(self.shards_by_snapshot),
        }


def find_header_error(headers: Any, submit: bool) -> str:
    """Return an error message for the headers of a request, or "" if they are valid."""
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
    return "" if remaining_ms > 0 else "Deadline-Ms must be above 0"


def parse_snapshot_number(snapshot: str) -> int:
    """Return the number in a snapshot id: 17 for s17."""
    return int(snapshot.lstrip("s"))


class SearcherProcess:
    """All searchers of the process, and the application of their admin port."""

    __slots__ = ("config", "searchers_by_id", "stall_watch", "_runs_by_request_id")

    def __init__(self, config: Config) -> None:
        self.config = config
        # Oldest first. A plain dict would scan all removed entries to find its first key.
        self._runs_by_request_id: collections.OrderedDict[str, int] = collections.OrderedDict()
        clock = CLOCKS[config.clock]
        self.stall_watch = StallWatch(lambda: time.clock_gettime_ns(clock))
        self.searchers_by_id = {
            searcher.id: Searcher(
                config=searcher,
                host=config.host,
                seed=config.seed,
                find_arrival_ns=self.stall_watch.find_arrival_ns,
                record_run=self._record_run,
            )
            for searcher in config.searchers
        }

    def _record_run(self, request_id: str) -> bool:
        """Count a run of a request id; return False if the id has run before in this process."""
        runs = self._runs_by_request_id.get(request_id, 0) + 1
        self._runs_by_request_id[request_id] = runs
        if len(self._runs_by_request_id) > MAX_KEPT_REQUEST_IDS:
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

    def _select_searchers(self, ids: Iterable[str] | None) -> list[Searcher] | web.Response:
        if ids is None:
            return list(self.searchers_by_id.values())
        unknown = [item for item in ids if item not in self.searchers_by_id]
        if unknown:
            return make_error(404, "unknown_searcher", ", ".join(unknown))
        return [self.searchers_by_id[item] for item in ids]

    def _select_from_query(self, request: web.Request) -> list[Searcher] | web.Response:
        ids = request.query.get("searchers")
        return self._select_searchers(ids.split(",") if ids else None)

    async def _admin_witness(self, request: web.Request) -> web.Response:
        chosen = self._select_from_query(request)
        if isinstance(chosen, web.Response):
            return chosen
        return web.json_response({item.config.id: item.counters_json() for item in chosen})

    async def _admin_reset(self, request: web.Request) -> web.Response:
        """Reset all counters; open connections and running requests stay."""
        for searcher in self.searchers_by_id.values():
            searcher.counters = SearcherCounters()
            searcher.counters.peak_connections = len(searcher.connections)
            searcher.arrivals.clear()
        self._runs_by_request_id.clear()
        return web.json_response({})

    async def _admin_arrivals(self, request: web.Request) -> web.Response:
        chosen = self._select_from_query(request)
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
        """Return the runs by request id, for the latest ids that start with a prefix."""
        prefix = request.query.get("prefix", "")
        runs = {
            request_id: count
            for request_id, count in self._runs_by_request_id.items()
            if request_id.startswith(prefix)
        }
        return web.json_response({"runs": runs})

    async def _admin_fault(self, request: web.Request) -> web.Response:
        body = await request.json()
        chosen = self._select_searchers(body.get("searchers"))
        if isinstance(chosen, web.Response):
            return chosen
        for searcher in chosen:
            if not await inject_fault(searcher, body):
                return make_error(400, "malformed", f"unknown fault {body.get('fault')!r}")
        return web.json_response({"searchers": len(chosen)})

    async def _admin_snapshots(self, request: web.Request) -> web.Response:
        """Add shards (`add`, by searcher id); drop the snapshots in `drop` from `searchers`.

        Without `searchers`, the snapshots are dropped from all searchers.
        """
        body = await request.json()
        shards_by_searcher = msgspec.convert(body.get("add", {}), dict[str, Shard])
        chosen = self._select_searchers(shards_by_searcher)
        if isinstance(chosen, web.Response):
            return chosen
        for searcher in chosen:
            searcher.add_shard(shards_by_searcher[searcher.config.id])
        dropping = self._select_searchers(body.get("searchers"))
        if isinstance(dropping, web.Response):
            return dropping
        for snapshot in body.get("drop", []):
            for searcher in dropping:
                searcher.shards_by_snapshot.pop(snapshot, None)
        return web.json_response({})


async def inject_fault(searcher: Searcher, body: dict[str, Any]) -> bool:
    """Inject the fault that a request body names; return False if the name is unknown.

    The faults and their options are cold (close, grace_ms), slow (factor), silent (share), down,
    up and drain (on).
    """
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
            searcher.is_draining = bool(body.get("on", True))
        case _:
            return False
    return True


async def run(config: Config) -> None:
    """Serve the searchers and the admin port until SIGTERM or SIGINT."""
    process = SearcherProcess(config)
    with watch_stop_signals() as stopped:
        admin = await serve_admin(process.make_admin(), config.host, config.admin_port)
        for searcher in process.searchers_by_id.values():
            await searcher.listen()
        watching = asyncio.create_task(process.stall_watch.run())
        print(f"event=listening process=searcher count={len(config.searchers)}", flush=True)
        await stopped.wait()
        watching.cancel()
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
        sys.exit(f"{arguments.config}: clock must be one of {', '.join(CLOCKS)}")
    uvloop.run(run(config))


if __name__ == "__main__":
    main()
