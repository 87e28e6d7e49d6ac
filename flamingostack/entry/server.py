"""The HTTP API for callers."""

from __future__ import annotations

import asyncio
import itertools

import msgspec
from aiohttp import web

from ..environment import Environment
from ..errors import Failure, make_failure
from ..generated.preset import ClassPolicy, Preset
from ..metrics import Metrics
from ..settings import split_address
from ..state import StateFeed
from .explain import Trace, Traces
from .fanout import Fanout, QueryPlan, QueryResult, compute_answer_margin
from .once import StoreClient, SubmitAnswer, SubmitCoordinator, make_body_hash, make_record_key
from .overload import OverloadLimit
from .plan import PinnedMap, resolve_range
from .refusals import RAN, EntryReason
from .requests import (
    QueryRequest,
    SubmitRequest,
    check_idempotency_key,
    decode_query,
    decode_submit,
)
from .shutdown import Phase, Shutdown
from .single import SubmitSender

MS_PER_S = 1000
US_PER_S = 1_000_000
IDEMPOTENCY_KEY = "Idempotency-Key"
JSON = "application/json"
# Steps of the event loop, asyncio's or uvloop's, in which the task of an accepted connection begins
# to wait for a request. One that begins after aiohttp has closed the idle connections is not read
# any more, and is waited for until its caller closes it.
ACCEPT_STEPS = 5
# Share of `control.shutdown_ms` for which a stop waits for callers that don't take their answers;
# aiohttp waits twice for so long. The default of aiohttp, 60 s, is longer than control waits.
CLOSE_SHARE = 0.2
ENCODER = msgspec.json.Encoder()


class Admission:
    """Preset, policy, map and deadline of a request that passed the checks.

    `deadline` is in seconds of the event loop's clock.
    """

    __slots__ = ("preset", "policy", "pinned", "deadline")

    def __init__(
        self,
        preset: Preset,
        policy: ClassPolicy,
        pinned: PinnedMap,
        deadline: float,
    ) -> None:
        self.preset = preset
        self.policy = policy
        self.pinned = pinned
        self.deadline = deadline


class EntryServer:
    """Serves callers; the server and all that it holds belong to one event loop."""

    def __init__(self, environment: Environment, feed: StateFeed, store: StoreClient) -> None:
        self.environment = environment
        self.feed = feed
        self.metrics = Metrics()
        self.shutdown = Shutdown()
        self.fanout = Fanout(environment, feed)
        self.submits = SubmitCoordinator(environment, store)
        self.traces = Traces(environment.settings.entry.explain_entries)
        self._loop = asyncio.get_running_loop()
        self._request_numbers = itertools.count(1)
        self._exported_counts: dict[str, int] = {}
        self._runner = web.AppRunner(
            self._make_app(),
            access_log=None,
            shutdown_timeout=environment.settings.control.shutdown_ms / MS_PER_S * CLOSE_SHARE,
        )
        self._site: web.TCPSite | None = None
        self._subscription = feed.views.subscribe(self.fanout.apply)
        self._register_gauges()

    async def start(self) -> None:
        """Listen for callers; raise OSError if the address cannot be used."""
        await self._runner.setup()
        host, port = split_address(self.environment.settings.entry.listen)
        self._site = web.TCPSite(self._runner, host, port)
        await self._site.start()

    async def stop(self) -> None:
        """Shut down gracefully: report not ready, finish requests, settle records, close."""
        self.shutdown.phase = Phase.NOTICE
        self.feed.report_shutdown(finished=False)
        await asyncio.sleep(self.environment.settings.entry.drain_notice_ms / MS_PER_S)
        self.shutdown.phase = Phase.FINISHING
        site, self._site = self._site, None
        if site is not None:
            await site.stop()
        for _ in range(ACCEPT_STEPS):
            await asyncio.sleep(0)
        await self.shutdown.wait_idle()
        unsettled = await self.submits.settle()
        if unsettled:
            self.environment.log.error("shutdown_with_unsettled_records", count=unsettled)
        await self._runner.cleanup()
        self._subscription.dispose()
        await self.fanout.links.close()

    def _make_app(self) -> web.Application:
        app = web.Application(
            client_max_size=self.environment.settings.entry.max_body_bytes,
            middlewares=[self._handle_errors],
        )
        app.router.add_post("/v1/query", self._query)
        app.router.add_post("/v1/submit", self._submit)
        app.router.add_get("/v1/explain/{request_id}", self._explain)
        app.router.add_get("/ready", self._ready)
        app.router.add_get("/live", self._live)
        app.router.add_get("/metrics", self._metrics)
        return app

    @web.middleware
    async def _handle_errors(self, request: web.Request, handler) -> web.StreamResponse:
        """Turn exceptions into error responses of the API."""
        try:
            return await handler(request)
        except web.HTTPRequestEntityTooLarge:
            limit = self.environment.settings.entry.max_body_bytes
            failure = make_failure(
                EntryReason.TOO_LARGE, f"the body exceeds the limit of {limit} bytes"
            )
            return self._refuse(failure, self._next_request_id())
        except web.HTTPException as error:
            failure = make_failure(EntryReason.MALFORMED, f"{request.path}: {error.reason}")
            return self._refuse(failure, self._next_request_id(), status=error.status)
        except Exception:
            request_id = self._next_request_id()
            self.environment.log.exception("request_failed", request_id=request_id)
            failure = make_failure(EntryReason.INTERNAL, "internal error, see the log")
            return self._refuse(failure, request_id)

    async def _query(self, request: web.Request) -> web.Response:
        started = self._loop.time()
        request_id = self._next_request_id()
        body = await request.read()
        parsed = decode_query(body)
        if isinstance(parsed, Failure):
            return self._refuse(parsed, request_id)
        admission = self._admit(parsed, started)
        if isinstance(admission, Failure):
            return self._refuse(admission, request_id, parsed.request_class)
        interval = resolve_range(admission.pinned, parsed.low, parsed.high)
        if isinstance(interval, Failure):
            return self._refuse(interval, request_id, parsed.request_class)
        problem = self._check_mapped_coverage(parsed, admission, interval)
        if problem is not None:
            return self._refuse(problem, request_id, parsed.request_class)
        overload = self.fanout.get_overload_limit(admission.pinned.service)
        if not self._try_admit_query(overload, admission.policy):
            failure = make_failure(
                EntryReason.OVERLOADED, "the limit on queries in flight to the service is reached"
            )
            return self._refuse(failure, request_id, parsed.request_class)
        self.shutdown.begin()
        has_overloaded_part = False
        try:
            result, response = await self._run_query(
                parsed, admission, interval, request_id, started
            )
            has_overloaded_part = result.has_overloaded_part
            return response
        finally:
            overload.release(has_overloaded_part, self._loop.time())
            self.shutdown.end()

    def _try_admit_query(self, overload: OverloadLimit, policy: ClassPolicy) -> bool:
        """Admit a query unless the overload limit is reached; the baseline has no limit."""
        if self.fanout.is_baseline:
            overload.in_flight += 1
            return True
        return overload.try_admit(policy.priority, self._loop.time())

    async def _run_query(
        self,
        parsed: QueryRequest,
        admission: Admission,
        interval: tuple[int, int],
        request_id: str,
        started: float,
    ) -> tuple[QueryResult, web.Response]:
        trace = self._make_trace(parsed, admission, request_id, started)
        plan = QueryPlan(
            request_id=request_id,
            request_class=parsed.request_class,
            policy=admission.policy,
            foreign_penalty_s=admission.preset.limits.foreign_domain_penalty_ms / MS_PER_S,
            payload=bytes(parsed.query),
            low=parsed.low,
            high=parsed.high,
            deadline=admission.deadline,
            min_coverage=find_min_coverage(parsed, admission),
        )
        result = await self.fanout.start_query(plan, admission.pinned, interval, trace)
        code = result.reason.code if result.reason else "ok"
        elapsed = self._end_trace(trace, code, "flamingostack_query_seconds")
        if result.reason is not None:
            failure = make_failure(result.reason, result.message)
            return result, self._refuse(failure, request_id, parsed.request_class)
        return result, self._answer_query(result, admission, request_id, elapsed)

    def _answer_query(
        self,
        result: QueryResult,
        admission: Admission,
        request_id: str,
        elapsed: float,
    ) -> web.Response:
        return self._respond(
            {
                "request_id": request_id,
                "snapshot": result.snapshot,
                "coverage": result.coverage,
                "missing": result.missing,
                "parts": [msgspec.Raw(body) for body in result.bodies],
                "preset": admission.preset.name,
                "elapsed_ms": round(elapsed * MS_PER_S, 3),
            }
        )

    async def _submit(self, request: web.Request) -> web.Response:
        started = self._loop.time()
        request_id = self._next_request_id()
        body = await request.read()
        parsed = decode_submit(body)
        if isinstance(parsed, Failure):
            return self._refuse(parsed, request_id)
        idempotency_key = request.headers.get(IDEMPOTENCY_KEY)
        problem = check_idempotency_key(idempotency_key)
        if problem is not None:
            return self._refuse(problem, request_id, parsed.request_class)
        admission = self._admit(parsed, started)
        if isinstance(admission, Failure):
            return self._refuse(admission, request_id, parsed.request_class)
        self.shutdown.begin()
        try:
            return await self._run_submit(parsed, admission, idempotency_key, request_id, started)
        finally:
            self.shutdown.end()

    async def _run_submit(
        self,
        parsed: SubmitRequest,
        admission: Admission,
        idempotency_key: str,
        request_id: str,
        started: float,
    ) -> web.Response:
        items = admission.pinned.split(parsed.key, parsed.key + 1) if parsed.key >= 0 else []
        if not items:
            failure = make_failure(
                EntryReason.UNKNOWN_RANGE,
                f"no target serves key {parsed.key} of {admission.pinned.service}",
            )
            return self._refuse(failure, request_id, parsed.request_class)
        trace = self._make_trace(parsed, admission, request_id, started)
        record_key = make_record_key(parsed.tenant, parsed.request_class, idempotency_key)
        sender = SubmitSender(
            fanout=self.fanout,
            plan=QueryPlan(
                request_id=request_id,
                request_class=parsed.request_class,
                policy=admission.policy,
                foreign_penalty_s=admission.preset.limits.foreign_domain_penalty_ms / MS_PER_S,
                payload=bytes(parsed.body),
                low=parsed.key,
                high=parsed.key + 1,
                deadline=admission.deadline,
                min_coverage=0,
            ),
            pinned=admission.pinned,
            item=items[0],
            record_key=record_key,
            trace=trace,
        )
        answer = await self.submits.submit(
            key=record_key,
            body_hash=make_body_hash(parsed.key, bytes(parsed.body)),
            answer_at=admission.deadline - compute_answer_margin(admission.deadline - started),
            send=sender.send,
        )
        elapsed = self._end_trace(
            trace,
            answer.reason.code if answer.reason else "ok",
            "flamingostack_submit_seconds",
        )
        return self._answer_submit(answer, admission, parsed, request_id, elapsed)

    def _answer_submit(
        self,
        answer: SubmitAnswer,
        admission: Admission,
        parsed: SubmitRequest,
        request_id: str,
        elapsed: float,
    ) -> web.Response:
        if answer.reason is not None:
            failure = make_failure(answer.reason, answer.message)
            return self._refuse(failure, request_id, parsed.request_class)
        return self._respond(
            {
                "request_id": request_id,
                "ran": RAN,
                "outcome": msgspec.Raw(answer.body),
                "recorded_earlier": answer.is_recorded_earlier,
                "preset": admission.preset.name,
                "elapsed_ms": round(elapsed * MS_PER_S, 3),
            }
        )

    async def _explain(self, request: web.Request) -> web.Response:
        request_id = request.match_info["request_id"]
        known = self.traces.find(request_id)
        if known is None:
            failure = make_failure(
                EntryReason.UNKNOWN_REQUEST,
                "this entry process keeps no trace of the request",
            )
            return self._refuse(failure, request_id)
        return self._respond(known)

    async def _ready(self, _request: web.Request) -> web.Response:
        reasons = self.find_unready_reasons()
        return self._respond({"ready": not reasons, "reasons": reasons}, 503 if reasons else 200)

    async def _live(self, _request: web.Request) -> web.Response:
        return self._respond({"live": True})

    async def _metrics(self, _request: web.Request) -> web.Response:
        self._export_counters()
        return web.Response(text=self.metrics.render(), content_type="text/plain")

    def find_unready_reasons(self) -> list[str]:
        """Return why the load balancer must send no requests here; empty if it may."""
        view = self.feed.view
        reasons = {
            "shutting_down": self.shutdown.phase is not Phase.SERVING,
            "not_current": not self.feed.is_current(),
            "no_preset": view.preset is None,
            "leaving": view.leaving
            or self.environment.settings.instance.failure_domain in view.leaving_failure_domains,
        }
        return [reason for reason, applies in reasons.items() if applies]

    def _admit(
        self,
        parsed: QueryRequest | SubmitRequest,
        started: float,
    ) -> Admission | Failure[EntryReason]:
        """Check a request against its deadline, the process's state and the preset in force."""
        if self.shutdown.phase is Phase.FINISHING:
            return make_failure(EntryReason.SHUTTING_DOWN, "the process is shutting down")
        if not self.feed.is_current():
            return make_failure(EntryReason.NOT_CURRENT, "the state lease has expired")
        view = self.feed.view
        if view.preset is None:
            return make_failure(EntryReason.NOT_CURRENT, "no preset is in force")
        policy = view.preset.classes.get(parsed.request_class)
        if policy is None:
            return make_failure(
                EntryReason.UNKNOWN_CLASS,
                f"preset {view.preset.name} has no class {parsed.request_class}",
            )
        deadline_ms = policy.deadline_ms if parsed.deadline_ms is None else parsed.deadline_ms
        deadline = started + min(deadline_ms, self._max_request_ms()) / MS_PER_S
        if deadline_ms <= 0 or deadline <= self._loop.time():
            return make_failure(EntryReason.DEADLINE_EXPIRED, "the deadline has passed")
        if self.shutdown.running >= self.environment.settings.entry.max_in_flight:
            return make_failure(EntryReason.OVERLOADED, "too many requests in flight")
        pinned = self.fanout.newest_map(policy.service)
        if pinned is None:
            return make_failure(
                EntryReason.UNKNOWN_RANGE, f"no snapshot of the map of {policy.service} is known"
            )
        return Admission(view.preset, policy, pinned, deadline)

    def _max_request_ms(self) -> int:
        return self.environment.settings.fleet.max_request_ms

    def _check_mapped_coverage(
        self,
        parsed: QueryRequest,
        admission: Admission,
        interval: tuple[int, int],
    ) -> Failure[EntryReason] | None:
        """Return a failure if the map covers none of the range or less than the required coverage.

        Such a query is refused before anything is sent.
        """
        low, high = interval
        parts = admission.pinned.split(low, high)
        min_coverage = find_min_coverage(parsed, admission)
        if parts and not min_coverage:
            return None
        mapped = sum(end - start for start, end, _ in parts) / (high - low)
        if mapped and mapped >= min_coverage:
            return None
        return make_failure(
            EntryReason.UNKNOWN_RANGE,
            f"snapshot {admission.pinned.snapshot} maps only a share of {mapped:.6g} of the range",
        )

    def _next_request_id(self) -> str:
        return f"{self.environment.incarnation}-{next(self._request_numbers):x}"

    def _respond(self, value: dict, status: int = 200) -> web.Response:
        response = web.Response(body=ENCODER.encode(value), status=status, content_type=JSON)
        if self.shutdown.phase is not Phase.SERVING:
            response.force_close()
        return response

    def _refuse(
        self,
        failure: Failure[EntryReason],
        request_id: str,
        request_class: str = "",
        status: int = 0,
    ) -> web.Response:
        reason = failure.reason
        self.metrics.count(
            "flamingostack_refusals_total",
            code=reason.code,
            request_class=self._get_class_label(request_class),
        )
        value = {
            "code": reason.code,
            "message": failure.message,
            "ran": reason.ran,
            "request_id": request_id,
        }
        if reason is not EntryReason.UNKNOWN_REQUEST:
            self.traces.add_refusal(request_id, value)
        return self._respond(value, status or reason.status)

    def _get_class_label(self, request_class: str) -> str:
        """Return the class if the preset has it, else "": callers must not create label values."""
        preset = self.feed.view.preset
        return request_class if preset and request_class in preset.classes else ""

    def _make_trace(
        self,
        parsed: QueryRequest | SubmitRequest,
        admission: Admission,
        request_id: str,
        started: float,
    ) -> Trace:
        trace = Trace(
            request_id=request_id,
            tenant=parsed.tenant,
            request_class=parsed.request_class,
            service=admission.pinned.service,
            preset=admission.preset.name,
            started=started,
        )
        trace.add_event(f"pinned snapshot {admission.pinned.snapshot}", started)
        self.traces.add(trace)
        return trace

    def _end_trace(self, trace: Trace, code: str, metric: str) -> float:
        now = self._loop.time()
        trace.end(code, now)
        self.metrics.record_us(
            metric,
            int(trace.elapsed * US_PER_S),
            tenant=trace.tenant,
            request_class=trace.request_class,
        )
        return trace.elapsed

    def _register_gauges(self) -> None:
        gauges = {
            "flamingostack_requests_in_flight": lambda: self.shutdown.running,
            "flamingostack_unsettled_submits": lambda: self.submits.unsettled_count,
            "flamingostack_dispatch_links": lambda: len(self.fanout.links.links_by_address),
            "flamingostack_ready": lambda: not self.find_unready_reasons(),
            "flamingostack_document_version": lambda: self.feed.view.document.version,
        }
        for name, read in gauges.items():
            self.metrics.set_gauge(name, read)

    def _export_counters(self) -> None:
        """Add the increase of the hot path's counters, which are plain integers, to the metrics."""
        counts = self.fanout.counts
        values = {name: getattr(counts, name) for name in counts.__slots__}
        links = self.fanout.links.links_by_address.values()
        values["late_replies"] = sum(link.late_replies for link in links)
        values["link_breaks"] = sum(link.breaks for link in links)
        for name, value in values.items():
            increase = max(value - self._exported_counts.get(name, 0), 0)
            self._exported_counts[name] = value
            self.metrics.count(f"flamingostack_sub_request_{name}_total", increase)


def find_min_coverage(parsed: QueryRequest, admission: Admission) -> float:
    """Return the minimum coverage of the request, or that of its class if it gives none."""
    if parsed.min_coverage is None:
        return admission.policy.min_coverage
    return parsed.min_coverage
