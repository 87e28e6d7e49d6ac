"""Fan-out of one query: sub-requests, hedges, retries and the merged answer.

A query is a state machine driven by callbacks: `on_reply` handles replies, and one timer handles
hedges, back-offs and the deadline. It runs no tasks of its own: with 55 sub-requests, a task for
each would cost more than all other work of the query.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from ..environment import Environment
from ..generated import messages_pb2 as pb
from ..generated.preset import ClassPolicy
from ..state import FleetView, StateFeed
from . import explain
from .budget import ExtraSendBudget
from .coverage import Interval, compute_coverage, find_missing_intervals
from .explain import Trace
from .latency import LatencyWindow
from .link import Attempt, Links
from .overload import OverloadLimit
from .plan import MapCache, PinnedMap, resolve_range
from .refusals import EntryReason
from .replicas import AVOID_AFTER_FAILURE_S, AVOID_AFTER_REFUSAL_S, Replicas, Route

MS_PER_S = 1000
# Hedge delay as a share of the time to the deadline, while the service has too few samples.
DEFAULT_HEDGE_DELAY_SHARE = 1 / 3
# Shortest wait before an overdue part without a hedge is checked again.
HEDGE_RECHECK_MIN_S = 0.005
# Back-offs between rounds in which every replica of a part answered NOT_RUN. Their sum is long
# enough for a partition to change its owner; after the last one the part is lost.
NOT_RUN_BACKOFFS_S = (0.005, 0.01, 0.02, 0.04, 0.08, 0.16)
MAX_RESTARTS = 2
# The answer is due before the deadline by this share of the request's time, within the bounds.
ANSWER_MARGIN_SHARE = 0.05
ANSWER_MARGIN_MIN_S = 0.002
ANSWER_MARGIN_MAX_S = 0.015

QUEUE_FULL = "queue_full"
# NOT_RUN reasons that mean that the targets receive more work than they can take.
OVERLOAD_REASONS = (QUEUE_FULL, "deadline")
SNAPSHOT_DIFFERS = "snapshot_differs"
MALFORMED_ANSWER = "malformed_answer"


class Part:
    """One key range of a query, with its attempts and its answer; open until answered or lost."""

    __slots__ = (
        "low",
        "high",
        "replicas",
        "tried_targets",
        "targets_without_snapshot",
        "in_flight_attempts",
        "answer",
        "is_open",
        "is_hedged",
        "backoff_count",
        "is_queue_full",
        "is_overloaded",
        "sent_at",
    )

    def __init__(self, low: int, high: int, replicas: tuple[str, ...]) -> None:
        self.low = low
        self.high = high
        self.replicas = replicas
        self.tried_targets: list[str] = []
        self.targets_without_snapshot: list[str] = []
        self.in_flight_attempts: list[Attempt] = []
        self.answer = b""
        self.is_open = True
        self.is_hedged = False
        self.backoff_count = 0
        self.is_queue_full = False
        self.is_overloaded = False
        self.sent_at = 0.0


class QueryPlan:
    """A query that passed all checks.

    `deadline` is in seconds of the event loop's clock; `low` and `high` are None where the caller
    gave no bound.
    """

    __slots__ = (
        "request_id",
        "request_class",
        "policy",
        "foreign_penalty_s",
        "payload",
        "low",
        "high",
        "deadline",
        "min_coverage",
    )

    def __init__(
        self,
        request_id: str,
        request_class: str,
        policy: ClassPolicy,
        foreign_penalty_s: float,
        payload: bytes,
        low: int | None,
        high: int | None,
        deadline: float,
        min_coverage: float,
    ) -> None:
        self.request_id = request_id
        self.request_class = request_class
        self.policy = policy
        self.foreign_penalty_s = foreign_penalty_s
        self.payload = payload
        self.low = low
        self.high = high
        self.deadline = deadline
        self.min_coverage = min_coverage


class QueryResult:
    """The merged answer, or the `reason` for which the query is refused.

    `has_overloaded_part` is set if a part stayed unanswered because its targets were overloaded.
    """

    __slots__ = (
        "reason",
        "message",
        "snapshot",
        "coverage",
        "missing",
        "bodies",
        "has_overloaded_part",
    )

    def __init__(
        self,
        reason: EntryReason | None,
        message: str,
        snapshot: str,
        coverage: float,
        missing: list[Interval],
        bodies: list[bytes],
        has_overloaded_part: bool = False,
    ) -> None:
        self.reason = reason
        self.message = message
        self.snapshot = snapshot
        self.coverage = coverage
        self.missing = missing
        self.bodies = bodies
        self.has_overloaded_part = has_overloaded_part


class FanoutCounts:
    """Counters of sub-requests; plain integers, because they change on the hot path.

    The slot names are part of the metric names.
    """

    __slots__ = ("primaries", "hedges", "retries", "elsewhere", "restarts", "cancels", "lost_parts")

    def __init__(self) -> None:
        self.primaries = 0
        self.hedges = 0
        self.retries = 0
        self.elsewhere = 0
        self.restarts = 0
        self.cancels = 0
        self.lost_parts = 0


class Fanout:
    """State that all queries of this process share: links, routes, budgets and limits.

    In baseline mode, sub-requests go to random replicas through the own instance only, without
    hedges, retries and overload limits.
    """

    __slots__ = (
        "environment",
        "feed",
        "links",
        "replicas",
        "map_cache",
        "is_baseline",
        "counts",
        "loop",
        "_budgets_by_class",
        "_latency_windows_by_service",
        "_overload_limits_by_service",
    )

    def __init__(self, environment: Environment, feed: StateFeed) -> None:
        self.environment = environment
        self.feed = feed
        self.is_baseline = environment.settings.entry.baseline
        own_address = environment.settings.dispatch.listen if self.is_baseline else ""
        self.links = Links(environment)
        self.replicas = Replicas(self.links.unusable_addresses, own_address)
        self.map_cache = MapCache()
        self.counts = FanoutCounts()
        self.loop = asyncio.get_running_loop()
        self._budgets_by_class: dict[str, ExtraSendBudget] = {}
        self._latency_windows_by_service: dict[str, LatencyWindow] = {}
        self._overload_limits_by_service: dict[str, OverloadLimit] = {}

    def apply(self, view: FleetView) -> None:
        """Route later sub-requests by a new view; running queries keep their snapshot."""
        self.replicas.apply(view)
        if not self.is_baseline:
            self.links.apply(view)

    def newest_map(self, service: str) -> PinnedMap | None:
        """Return the newest snapshot of a service's map, or None if none is known."""
        return self.map_cache.newest(self.feed.view.indexes_by_service, service)

    def get_budget(self, request_class: str) -> ExtraSendBudget:
        """Return the budget that all hedges and retries of a class draw on."""
        budget = self._budgets_by_class.get(request_class)
        if budget is None:
            budget = self._budgets_by_class[request_class] = ExtraSendBudget()
        return budget

    def get_latency_window(self, service: str) -> LatencyWindow:
        """Return the latency window of a service's sub-requests."""
        latency_window = self._latency_windows_by_service.get(service)
        if latency_window is None:
            latency_window = self._latency_windows_by_service[service] = LatencyWindow(
                self.loop.time()
            )
        return latency_window

    def get_overload_limit(self, service: str) -> OverloadLimit:
        """Return the limit on the queries in flight to a service."""
        limit = self._overload_limits_by_service.get(service)
        if limit is None:
            limit = self._overload_limits_by_service[service] = OverloadLimit(self.loop.time())
        return limit

    def start_query(
        self,
        plan: QueryPlan,
        pinned: PinnedMap,
        interval: Interval,
        trace: Trace,
    ) -> asyncio.Future[QueryResult]:
        """Send a query's sub-requests; the result is due just before the deadline."""
        query = Query(self, plan, pinned, interval, trace)
        query.start()
        return query.result


class Query:
    """A running query, pinned to one snapshot of its service's map."""

    __slots__ = (
        "fanout",
        "plan",
        "pinned",
        "low",
        "high",
        "trace",
        "result",
        "parts",
        "open_parts",
        "lost_keys",
        "may_have_run",
        "restarts",
        "budget",
        "latency_window",
        "_request",
        "_answer_at",
        "_hedge_delay",
        "_hedge_at",
        "_backoffs",
        "_timer",
        "_timer_at",
    )

    def __init__(
        self,
        fanout: Fanout,
        plan: QueryPlan,
        pinned: PinnedMap,
        interval: Interval,
        trace: Trace,
    ) -> None:
        self.fanout = fanout
        self.plan = plan
        self.pinned = pinned
        self.low, self.high = interval
        self.trace = trace
        self.result: asyncio.Future[QueryResult] = fanout.loop.create_future()
        self.parts: list[Part] = []
        self.open_parts = 0
        self.lost_keys = 0
        self.may_have_run = False
        self.restarts = 0
        self.budget = fanout.get_budget(plan.request_class)
        self.latency_window = fanout.get_latency_window(pinned.service)
        self._request: pb.SubRequest | None = None
        self._answer_at = plan.deadline - compute_answer_margin(plan.deadline - trace.started)
        self._hedge_delay = 0.0
        self._hedge_at = float("inf")
        self._backoffs: list[tuple[float, Part, bool]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")

    def start(self) -> None:
        """Send one sub-request for each part of the pinned snapshot."""
        now = self.fanout.loop.time()
        pinned = self.pinned
        # Links copy this message for each sub-request, which is cheaper than building a new one.
        self._request = pb.SubRequest(
            request_id=self.plan.request_id,
            service=pinned.service,
            snapshot=pinned.snapshot,
            request_class=self.plan.request_class,
            payload=self.plan.payload,
        )
        self.parts = [Part(*item) for item in pinned.split(self.low, self.high)]
        self.open_parts = len(self.parts)
        self.lost_keys = self.high - self.low
        for part in self.parts:
            self.lost_keys -= part.high - part.low
        self._hedge_delay = self._get_hedge_delay(now)
        self._hedge_at = now + self._hedge_delay
        if not self.restarts:
            self.budget.deposit(self.open_parts, self.plan.policy.extra_load_percent)
            self.fanout.counts.primaries += self.open_parts
        for part in self.parts:
            self._send(part, now, explain.PRIMARY, False)
            if self.result.done():
                return
        self._finish_if_decided(now)
        self._schedule_timer()

    def _send(self, part: Part, now: float, why: str, is_budgeted: bool) -> None:
        """Send a part to a replica that was not tried yet, or back off if there is none."""
        route = self._choose_route(part, now)
        if route is None:
            self._back_off(part, now, is_budgeted)
        else:
            self._send_to(route, part, now, why, is_budgeted)

    def _choose_route(self, part: Part, now: float) -> Route | None:
        replicas = self.fanout.replicas
        if self.fanout.is_baseline:
            return replicas.choose_random(part.replicas)
        return replicas.choose(part.replicas, part.tried_targets, now, self.plan.foreign_penalty_s)

    def _send_to(self, route: Route, part: Part, now: float, why: str, is_budgeted: bool) -> None:
        plan = self.plan
        attempt = Attempt(self, route, part, is_budgeted)
        part.tried_targets.append(route.target_id)
        part.in_flight_attempts.append(attempt)
        part.sent_at = now
        if self._hedge_at > now + self._hedge_delay and not part.is_hedged:
            self._hedge_at = now + self._hedge_delay
        route.state.outstanding += 1
        attempt.trace_index = self.trace.add_attempt(
            route.target_id, route.instance, part.low, part.high, why, now
        )
        request = self._request
        request.target = route.target_id
        request.low = part.low
        request.high = part.high
        request.deadline_ms = max(int((plan.deadline - now) * MS_PER_S), 1)
        request.hedge = why is explain.HEDGE
        self.fanout.links.get(route.address).send(attempt, request, now)

    def on_reply(self, attempt: Attempt, reply: pb.SubReply, now: float) -> None:
        """Handle the reply to one attempt."""
        state = attempt.route.state
        state.outstanding -= 1
        part: Part = attempt.part
        part.in_flight_attempts.remove(attempt)
        status = reply.status
        reason = reply.reason
        if status == pb.SUB_STATUS_OK:
            self.may_have_run = True
            latency = now - attempt.sent_at
            state.record_latency(latency, now)
            state.record_report(reply, now)
            self.latency_window.record(latency)
            if reply.snapshot != self.pinned.snapshot:
                status, reason = pb.SUB_STATUS_SNAPSHOT_MISSING, SNAPSHOT_DIFFERS
            elif is_json(body := reply.body):
                self.trace.end_attempt(attempt.trace_index, status, reason, now)
                self._record_answer(part, body, now)
                return
            else:
                status, reason = pb.SUB_STATUS_FAILED, MALFORMED_ANSWER
        elif reply.limit:
            state.record_report(reply, now)
        self.trace.end_attempt(attempt.trace_index, status, reason, now)
        self._handle_failure(attempt, part, status, reason, now)
        self._schedule_timer()

    def _record_answer(self, part: Part, body: bytes, now: float) -> None:
        part.answer = body
        part.is_open = False
        if part.in_flight_attempts:
            self._cancel_attempts(part, now)
        self.open_parts -= 1
        if not self.open_parts:
            self._finish(now)

    def _handle_failure(
        self,
        attempt: Attempt,
        part: Part,
        status: int,
        reason: str,
        now: float,
    ) -> None:
        state = attempt.route.state
        if status == pb.SUB_STATUS_NOT_RUN:
            state.avoid_until = now + AVOID_AFTER_REFUSAL_S
        elif status == pb.SUB_STATUS_SNAPSHOT_MISSING:
            part.targets_without_snapshot.append(attempt.route.target_id)
        else:
            state.avoid_until = now + AVOID_AFTER_FAILURE_S
            self.may_have_run |= status != pb.SUB_STATUS_TARGET_SHED
        if not part.is_open:
            return
        if self.fanout.is_baseline:
            self._mark_lost(part, now)
        elif status == pb.SUB_STATUS_NOT_RUN:
            self._handle_not_run(attempt, part, reason, now)
        elif status == pb.SUB_STATUS_SNAPSHOT_MISSING:
            self._try_other_snapshot_replica(part, reason, now)
        elif not part.in_flight_attempts:
            self._retry(part, now)

    def _handle_not_run(self, attempt: Attempt, part: Part, reason: str, now: float) -> None:
        """Resend a part that reached no target; the new attempt keeps its budget token."""
        part.is_queue_full = reason == QUEUE_FULL
        part.is_overloaded = reason in OVERLOAD_REASONS
        if part.in_flight_attempts:
            # The other attempt goes on. This one did not run, so its budget token is refunded.
            if attempt.is_budgeted:
                self.budget.tokens += 1
            return
        if not self.fanout.feed.is_current():
            self._mark_lost(part, now)
            return
        self.fanout.counts.elsewhere += 1
        self._send(part, now, explain.ELSEWHERE, attempt.is_budgeted)

    def _back_off(self, part: Part, now: float, is_budgeted: bool) -> None:
        """Schedule another round over the replicas; end the part if a round cannot succeed."""
        if not self._can_retry_not_run(part):
            if part.targets_without_snapshot:
                self._restart_or_mark_lost(part, now)
            else:
                self._mark_lost(part, now)
            return
        backoff = NOT_RUN_BACKOFFS_S[part.backoff_count]
        part.backoff_count += 1
        part.tried_targets[:] = part.targets_without_snapshot
        self._backoffs.append((now + backoff, part, is_budgeted))

    def _can_retry_not_run(self, part: Part) -> bool:
        if self.fanout.is_baseline or part.backoff_count >= len(NOT_RUN_BACKOFFS_S):
            return False
        # Full queues do not drain within the back-offs, and an early refusal is more useful.
        if part.is_queue_full:
            return False
        return len(part.targets_without_snapshot) < len(part.replicas)

    def _try_other_snapshot_replica(self, part: Part, reason: str, now: float) -> None:
        """Send a part to a replica that may have the pinned snapshot, else restart the query.

        A target without the snapshot did no work, and each replica is asked once, so this takes
        nothing from the budget. A target that answered from another snapshot did run, so a part
        of a class that is not repeatable is lost.
        """
        if part.in_flight_attempts:
            return
        if reason == SNAPSHOT_DIFFERS and not self.plan.policy.repeatable:
            self._mark_lost(part, now)
            return
        route = self._choose_route(part, now)
        if route is not None:
            self._send_to(route, part, now, explain.SNAPSHOT, False)
        else:
            self._restart_or_mark_lost(part, now)

    def _retry(self, part: Part, now: float) -> None:
        if not self._can_send_extra() or not self.budget.try_withdraw():
            self._mark_lost(part, now)
            return
        route = self._choose_route(part, now)
        if route is None:
            self.budget.tokens += 1
            self._mark_lost(part, now)
            return
        self.fanout.counts.retries += 1
        self._send_to(route, part, now, explain.RETRY, True)

    def _can_send_extra(self) -> bool:
        return (
            not self.fanout.is_baseline
            and self.plan.policy.repeatable
            and self.fanout.feed.is_current()
        )

    def _mark_lost(self, part: Part, now: float) -> None:
        part.is_open = False
        self.open_parts -= 1
        self.lost_keys += part.high - part.low
        self.fanout.counts.lost_parts += 1
        self._finish_if_decided(now)

    def _finish_if_decided(self, now: float) -> None:
        if self.result.done():
            return
        keys = self.high - self.low
        is_coverage_unreachable = (keys - self.lost_keys) / keys < self.plan.min_coverage
        if not self.open_parts or is_coverage_unreachable:
            self._finish(now)

    def _restart_or_mark_lost(self, part: Part, now: float) -> None:
        """Restart the query on the newest snapshot, or mark the part lost if it cannot restart."""
        newest = self.fanout.newest_map(self.pinned.service)
        if (
            newest is None
            or newest.snapshot == self.pinned.snapshot
            or self.restarts >= MAX_RESTARTS
            or not self._can_send_extra()
        ):
            self._mark_lost(part, now)
            return
        interval = resolve_range(newest, self.plan.low, self.plan.high)
        if not isinstance(interval, tuple):
            self._mark_lost(part, now)
            return
        self._cancel_all(now)
        self._backoffs.clear()
        self.restarts += 1
        self.fanout.counts.restarts += 1
        self.trace.add_event(f"restarted on snapshot {newest.snapshot}", now)
        self.pinned = newest
        self.low, self.high = interval
        self.start()

    def _schedule_timer(self) -> None:
        """Set the timer to the next hedge, end of a back-off or answer, whichever comes first."""
        if self.result.done():
            return
        timer_at = min(self._answer_at, self._hedge_at)
        for backoff_end, _, _ in self._backoffs:
            timer_at = min(timer_at, backoff_end)
        if timer_at == self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = timer_at
        self._timer = self.fanout.loop.call_at(timer_at, self._on_timer)

    def _on_timer(self) -> None:
        now = self.fanout.loop.time()
        self._timer_at = float("inf")
        if now >= self._answer_at:
            self._finish(now)
            return
        if now >= self._hedge_at:
            self._hedge(now)
        due_backoffs = [backoff for backoff in self._backoffs if backoff[0] <= now]
        self._backoffs = [backoff for backoff in self._backoffs if backoff[0] > now]
        for _, part, is_budgeted in due_backoffs:
            # A part may have been closed since, by a restart or the end of the query.
            if part.is_open and not self.result.done():
                self._send(part, now, explain.ELSEWHERE, is_budgeted)
        self._schedule_timer()

    def _get_hedge_delay(self, now: float) -> float:
        policy = self.plan.policy
        if self.fanout.is_baseline or not policy.repeatable or policy.extra_load_percent <= 0:
            return float("inf")
        delay = self.latency_window.quantile(policy.hedge_quantile, now)
        if delay is None:
            return (self.plan.deadline - now) * DEFAULT_HEDGE_DELAY_SHARE
        return delay

    def _hedge(self, now: float) -> None:
        """Send hedges for the parts that exceed the hedge delay, as far as the budget allows."""
        next_at = float("inf")
        can_send = self._can_send_extra()
        for part in self.parts:
            if not part.is_open or part.is_hedged or len(part.in_flight_attempts) != 1:
                continue
            due_at = part.sent_at + self._hedge_delay
            if due_at > now:
                next_at = min(next_at, due_at)
            elif not can_send or not self._send_hedge(part, now):
                next_at = min(next_at, now + max(self._hedge_delay / 2, HEDGE_RECHECK_MIN_S))
        self._hedge_at = next_at

    def _send_hedge(self, part: Part, now: float) -> bool:
        if not self.budget.try_withdraw():
            return False
        route = self._choose_route(part, now)
        if route is None:
            self.budget.tokens += 1
            return False
        part.is_hedged = True
        self.fanout.counts.hedges += 1
        self._send_to(route, part, now, explain.HEDGE, True)
        return True

    def _cancel_attempts(self, part: Part, now: float) -> None:
        for attempt in part.in_flight_attempts:
            elapsed = now - attempt.sent_at
            state = attempt.route.state
            state.outstanding -= 1
            state.record_lower_bound(elapsed, now)
            # The cancelled attempt would have taken longer than this. Without the sample, the
            # quantile and with it the hedge delay would shrink with each hedge that wins.
            self.latency_window.record(elapsed)
            self.trace.end_attempt(attempt.trace_index, pb.SUB_STATUS_CANCELLED, "lost", now)
            attempt.link.cancel(attempt)
            self.fanout.counts.cancels += 1
        part.in_flight_attempts.clear()

    def _cancel_all(self, now: float) -> None:
        for part in self.parts:
            if part.in_flight_attempts:
                self.may_have_run = True
                self._cancel_attempts(part, now)
            part.is_open = False

    def _finish(self, now: float) -> None:
        """Cancel the attempts in flight and resolve the query with the coverage it reached."""
        if self.result.done():
            return
        if self._timer is not None:
            self._timer.cancel()
        if self.open_parts:
            self._cancel_all(now)
        answered = [part for part in self.parts if part.answer]
        missing = find_missing_intervals(
            self.low,
            self.high,
            [(part.low, part.high) for part in answered],
        )
        coverage = compute_coverage(self.low, self.high, missing)
        reason, message = self._check_coverage(coverage)
        self.result.set_result(
            QueryResult(
                reason=reason,
                message=message,
                snapshot=self.pinned.snapshot,
                coverage=coverage,
                missing=missing,
                bodies=[part.answer for part in answered],
                has_overloaded_part=any(
                    part.is_overloaded and not part.answer for part in self.parts
                ),
            )
        )

    def _check_coverage(self, coverage: float) -> tuple[EntryReason | None, str]:
        if not coverage and not self.may_have_run:
            return EntryReason.OVERLOADED, "no target accepted any part of the query"
        if coverage < self.plan.min_coverage:
            return (
                EntryReason.COVERAGE_TOO_LOW,
                f"coverage {coverage:.6g} is below the required {self.plan.min_coverage:g}",
            )
        return None, ""


def compute_answer_margin(duration: float) -> float:
    """Return by how many seconds the answer is due before the deadline.

    `duration` is the time from the request's arrival to its deadline, in seconds.
    """
    margin = duration * ANSWER_MARGIN_SHARE
    return min(max(margin, ANSWER_MARGIN_MIN_S), ANSWER_MARGIN_MAX_S)


def make_json_check() -> Callable[[bytes], bool]:
    """Return a predicate for bytes that hold one JSON value in UTF-8; it reuses one decoder."""
    decoder = msgspec.json.Decoder(msgspec.Raw)

    def is_json(body: bytes) -> bool:
        try:
            if not body.isascii():
                body.decode()
            decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return False
        return True

    return is_json


is_json = make_json_check()
