"""Execution of one request according to its fan-out plan."""

from __future__ import annotations

import asyncio
import contextlib
import random

from ..errors import Failure, Reason
from .admission import MIN_QUEUE, compute_refused_share
from .connection import MAX_ANSWER_BYTES
from .fanout import (
    MIN_SOFT_DEADLINE_MARGIN_S,
    SOFT_DEADLINE_MARGIN_SHARE,
    Answer,
    FanOutPlan,
    GiveUp,
    Part,
    PartState,
    Send,
    Wait,
    compute_hedge_delay_s,
)
from .model import FanOut, Route
from .pauses import read_clock_s
from .placement import can_accept, choose_target
from .pool import GRANT_VALID_S
from .sender import (
    MIN_SEND_TIME_S,
    NOT_RUN_OUTCOMES,
    OutgoingRequest,
    SendOutcome,
    SendResult,
)
from .state import Gateway
from .targets import Target

# Sends whose result is no longer needed may finish within this time, since cancelling a send closes
# its connection and a new one would have to be opened.
UNNEEDED_SEND_GRACE_S = 0.35
# Share of the extra-send budget for parts that the answer can do without. The remainder is reserved
# for required parts.
OPTIONAL_SEND_BUDGET_SHARE = 0.6
# Part of the time limit that is reserved for returning the answer to the caller.
ANSWER_RESERVE_S = 0.015


class QueryReason(Reason):
    """Why a request was not answered."""

    # No part of the request has run at a target.
    NO_TARGET = "no_target"
    OVERLOADED = "overloaded"
    # Parts of the request may have run.
    TOO_FEW_PARTS = "too_few_parts"
    DEADLINE = "deadline"


class QueryFailure(Failure[QueryReason]):
    """Failure of a request; `is_not_run` is True only if no part has run or will run.

    Before `closed_s` have passed, the same request would fail again.
    """

    __slots__ = ("is_not_run", "closed_s")

    def __init__(
        self, reason: QueryReason, message: str, is_not_run: bool, closed_s: float = 0.0
    ) -> None:
        super().__init__(reason, message)
        self.is_not_run = is_not_run
        self.closed_s = closed_s


class Caller:
    """Arrival time of a caller's request, and the time limit from then on, in seconds."""

    __slots__ = ("arrived_at", "time_left_s")

    def __init__(self, arrived_at: float, time_left_s: float) -> None:
        self.arrived_at = arrived_at
        self.time_left_s = time_left_s


class Grants:
    """Extra sends from the pool that one request wants, has asked for and has got, by service.

    A request asks once for each service, which bounds the load of the reader that is asked. Times
    are those of `read_clock_s`, so that no grant is used after the process stood still.
    """

    __slots__ = ("_wanted", "_asked", "_valid_until")

    def __init__(self) -> None:
        self._wanted: list[str] = []
        self._asked: set[str] = set()
        self._valid_until: dict[str, float] = {}

    def want(self, service: str) -> None:
        """Record that the budget did not allow an extra send to a service."""
        if service not in self._asked:
            self._asked.add(service)
            self._wanted.append(service)

    def take_wanted(self) -> list[str]:
        """Return the services to ask for, and forget them."""
        wanted, self._wanted = self._wanted, []
        return wanted

    def add(self, service: str, valid_until: float) -> None:
        """Record a grant that may be used until the given time."""
        self._valid_until[service] = valid_until

    def use(self, service: str, now: float) -> bool:
        """Return whether there is a valid grant for a service, and use it up."""
        return now < self._valid_until.pop(service, 0.0)


class QueryRun:
    """One request in flight and its sends.

    When `run` ends, it cancels the sends still in flight after a grace period, and at once if it
    was cancelled itself.
    """

    __slots__ = (
        "gateway",
        "request",
        "route",
        "stats",
        "plan",
        "results_by_service",
        "extra_sends",
        "finished_sends",
        "overloaded_sends",
        "_grants",
        "_results",
        "_tasks",
        "_loop",
    )

    def __init__(
        self, gateway: Gateway, request: OutgoingRequest, route: Route, plan: FanOutPlan
    ) -> None:
        self.gateway = gateway
        self.request = request
        self.route = route
        self.stats = gateway.stats(route)
        self.plan = plan
        self.results_by_service: dict[str, SendResult] = {}
        self.extra_sends = 0
        # Finished sends as "target:outcome:milliseconds", for the log.
        self.finished_sends: list[str] = []
        self.overloaded_sends = 0
        self._loop = asyncio.get_running_loop()
        self._grants = Grants()
        # An item without a result only wakes the plan.
        self._results: asyncio.Queue[tuple[Part, Target, SendResult] | None] = asyncio.Queue()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None | QueryFailure:
        """Execute the plan; return None once the results can be returned to the caller."""
        self.gateway.budget.count_query(self.gateway.now())
        for part in self.plan.parts:
            self.gateway.budget.count_request(part.service, self.gateway.now())
        has_free_target = self._check_free_targets()
        if not self.plan.can_start(has_free_target):
            parts = zip(self.plan.parts, has_free_target, strict=True)
            full_services = ",".join(part.service for part, is_free in parts if not is_free)
            message = f"no free target: {full_services}"
            return QueryFailure(
                QueryReason.NO_TARGET, message, True, self._closed_s(has_free_target)
            )
        refused_share = self._refused_share()
        if random.random() < refused_share:
            message = f"queues are long, {refused_share:.2f} of the queries are refused"
            return QueryFailure(QueryReason.OVERLOADED, message, True)
        try:
            return await self._execute_plan()
        except asyncio.CancelledError:
            self._cancel_sends()
            raise
        finally:
            if self._tasks:
                self._loop.call_later(UNNEEDED_SEND_GRACE_S, self._cancel_sends)

    async def _execute_plan(self) -> None | QueryFailure:
        while True:
            now = self.gateway.now()
            match self.plan.decide(now):
                case Send(parts=parts):
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout_at(self.plan.deadline):
                            await self.gateway.wait_after_pause()
                    now = self.gateway.now()
                    for part in parts:
                        self._send(part, now)
                    self._request_grants()
                case Wait(until=until):
                    await self._wait(until)
                case Answer():
                    return None
                case GiveUp(is_past_deadline=is_past_deadline):
                    return self._make_failure(is_past_deadline)

    async def _wait(self, until: float) -> None:
        try:
            async with asyncio.timeout_at(until):
                item = await self._results.get()
        except TimeoutError:
            return
        while True:
            if item is not None:
                self._handle_result(*item)
            if self._results.empty():
                return
            item = self._results.get_nowait()

    def _check_free_targets(self) -> list[bool]:
        gateway = self.gateway
        now = gateway.now()
        return [
            any(
                can_accept(target, now, gateway.cold_sends_per_s(part.service))
                for target in gateway.directory.usable_targets(part.service)
            )
            for part in self.plan.parts
        ]

    def _closed_s(self, has_free_target: list[bool]) -> float:
        """Return for how long targets are closed without which the request cannot be answered."""
        gateway, now = self.gateway, self.gateway.now()
        closed_s = sorted(
            min(
                (
                    max(target.notices.closed_until - now, 0.0)
                    for target in gateway.directory.usable_targets(part.service)
                    if not target.is_draining
                ),
                default=0.0,
            )
            for part, is_free in zip(self.plan.parts, has_free_target, strict=True)
            if not is_free
        )
        return closed_s[self.plan.required_parts - sum(has_free_target) - 1]

    def _refused_share(self) -> float:
        """Return which share of such queries should be refused because of long queues."""
        if not isinstance(self.route.destination, FanOut):
            return 0.0
        directory, now = self.gateway.directory, self.gateway.now()
        queues = [
            min((t.expected_queue(now) for t in directory.usable_targets(part.service)), default=0)
            for part in self.plan.parts
        ]
        spare_parts = self.gateway.spare_parts.record(self.route.destination, self.route.priority)
        return compute_refused_share(queues, spare_parts)

    def _send(self, part: Part, now: float) -> None:
        gateway = self.gateway
        spent_budget_share = gateway.budget.spent_share(part.service, now)
        targets = gateway.directory.usable_targets(part.service)
        target = choose_target(
            targets,
            latency_s=self.stats.typical_latency_s(self.route, now),
            own_domain=gateway.settings.failure_domain,
            now=now,
            excluded=part.tried_targets,
            spent_budget_share=spent_budget_share,
            cold_sends_per_s=gateway.cold_sends_per_s(part.service),
        )
        time_left_s = self.plan.deadline - now
        if target is None or time_left_s < MIN_SEND_TIME_S:
            has_untried_targets = any(
                t not in part.tried_targets and not t.is_closed_until(self.plan.deadline)
                for t in targets
            )
            self.plan.on_blocked(part, has_untried_targets, now)
            return
        if part.in_flight and target.expected_queue(now) >= MIN_QUEUE:
            # Behind a queue a hedge is no faster than the send in flight, and lengthens the queue.
            self.plan.on_blocked(part, True, now)
            return
        if part.is_next_send_extra:
            share = 1.0 if self.plan.needs_another_send(part, now) else OPTIONAL_SEND_BUDGET_SHARE
            if not (
                gateway.budget.try_spend(part.service, now, share)
                or self._grants.use(part.service, read_clock_s())
            ):
                self._grants.want(part.service)
                self.plan.on_blocked(part, True, now)
                return
            self._record_extra_send(part, target, now)
        target.notices.record_send(now)
        self.plan.on_sent(part, target, now, self._hedge_delay_s(spent_budget_share, now))
        task = self._loop.create_task(self._run_send(part, target, time_left_s, now))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _request_grants(self) -> None:
        """Ask the pool of the failure domain for the extra sends that the budget did not allow."""
        services = self._grants.take_wanted()
        gateway = self.gateway
        if not services or gateway.request_grants is None or not gateway.budget.pooled_instances:
            return
        task = self._loop.create_task(self._fetch_grants(services))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch_grants(self, services: list[str]) -> None:
        valid_until = read_clock_s() + GRANT_VALID_S
        granted = set(await self.gateway.request_grants(services))
        for part in self.plan.parts:
            if part.service in granted and part.state is PartState.OPEN:
                self._grants.add(part.service, valid_until)
                part.next_try_at = 0.0
        self._results.put_nowait(None)

    def _hedge_delay_s(self, spent_budget_share: float, now: float) -> float:
        """Return after how long a send may be hedged; the delay grows as the budget is spent."""
        return compute_hedge_delay_s(
            slow_latency_s=self.stats.slow_latency_s(self.route, now),
            latency_s=self.stats.typical_latency_s(self.route, now),
            soft_deadline_s=self.plan.soft_deadline - now,
            spent_budget_share=spent_budget_share,
        )

    async def _run_send(self, part: Part, target: Target, time_left_s: float, now: float) -> None:
        latency_s = self.stats.typical_latency_s(self.route, now)
        result = await self.gateway.sender.send(
            self.request, target, time_left_s, latency_s, MAX_ANSWER_BYTES // len(self.plan.parts)
        )
        if result.outcome is SendOutcome.ANSWERED:
            self.stats.latency.record(result.elapsed_s)
        if result.notice is not None:
            self.gateway.record_notice(target, result.notice, self.request.id)
        self._results.put_nowait((part, target, result))

    def _handle_result(self, part: Part, target: Target, result: SendResult) -> None:
        self.finished_sends.append(
            f"{target.entry.id}:{result.outcome.value}:{round(result.elapsed_s * 1000)}"
        )
        if result.outcome is SendOutcome.ANSWERED or self._is_final_answer(result):
            if part.state is not PartState.ANSWERED:
                self.results_by_service[part.service] = result
            self.plan.on_answered(part)
            return
        if result.outcome is SendOutcome.FAILED:
            # Fallback if no send succeeds: a single target's failure is returned to the caller.
            self.results_by_service.setdefault(part.service, result)
        self.gateway.metrics.count(
            "gateway_send_failures_total", outcome=result.outcome.value, service=part.service
        )
        self.gateway.log.warning(
            "send_failed",
            request_id=self.request.id,
            target=target.entry.id,
            service=part.service,
            outcome=result.outcome.value,
            status=result.status,
            elapsed_ms=round(result.elapsed_s * 1000),
            load=result.describe_load(),
            detail=result.detail,
        )
        self.overloaded_sends += result.is_overloaded
        if result.outcome is SendOutcome.SHED and not result.is_overloaded:
            # The target shed the request at random, so it may accept a retry.
            part.tried_targets.remove(target)
        self.plan.on_failed(part, may_have_run=result.outcome not in NOT_RUN_OUTCOMES)

    def _is_final_answer(self, result: SendResult) -> bool:
        """Return whether a failure is the final answer: a 3xx or 4xx status for a single target.

        A failure is never a part of a merged answer, even if the route names only one shard.
        """
        if isinstance(self.route.destination, FanOut):
            return False
        return result.outcome is SendOutcome.FAILED and 300 <= result.status < 500

    def _record_extra_send(self, part: Part, target: Target, now: float) -> None:
        self.extra_sends += 1
        cause = "hedge" if part.in_flight else "retry"
        self.gateway.metrics.count("gateway_extra_sends_total", cause=cause, service=part.service)
        self.gateway.log.info(
            "extra_send",
            request_id=self.request.id,
            cause=cause,
            service=part.service,
            target=target.entry.id,
            waited_ms=round((now - part.last_sent_at) * 1000),
            window_spent=self.gateway.budget.spent(part.service, now),
            window_allowance=round(self.gateway.budget.allowance(part.service, now), 1),
        )

    def _make_failure(self, is_past_deadline: bool) -> QueryFailure:
        may_have_run = any(part.sends for part in self.plan.parts)
        detail = f"{self.plan.answered_parts} of {self.plan.required_parts} required parts answered"
        if is_past_deadline:
            return QueryFailure(QueryReason.DEADLINE, detail, not may_have_run)
        reason = QueryReason.TOO_FEW_PARTS if may_have_run else QueryReason.NO_TARGET
        return QueryFailure(reason, detail, not may_have_run)

    def describe(self) -> dict[str, object]:
        """Return the log fields that show the sends of the request and its unanswered parts."""
        missing = [part for part in self.plan.parts if part.state is not PartState.ANSWERED]
        waiting = [
            f"{part.service}>{part.tried_targets[-1].entry.id}"
            for part in missing
            if part.in_flight and part.tried_targets
        ]
        return {
            "extra_sends": self.extra_sends,
            "sends": ",".join(self.finished_sends),
            "missing_services": ",".join(part.service for part in missing),
            "waiting_for": ",".join(waiting),
        }

    def _cancel_sends(self) -> None:
        for task in list(self._tasks):
            task.cancel()


def make_plan(
    gateway: Gateway, route: Route, services: list[str], min_coverage: float, caller: Caller
) -> FanOutPlan:
    """Return the fan-out plan of a request that has just arrived."""
    stats = gateway.stats(route)
    stats.time_limits.record(caller.time_left_s)
    # For a caller that retries, the latency objective counts from its first attempt.
    soft_deadline_s = route.latency_objective_s - stats.time_limits.spent_s(caller.time_left_s)
    soft_deadline_s -= max(
        route.latency_objective_s * SOFT_DEADLINE_MARGIN_SHARE, MIN_SOFT_DEADLINE_MARGIN_S
    )
    soft_deadline_s -= gateway.caller_round_trip_s(caller.arrived_at)
    if soft_deadline_s < stats.typical_latency_s(route, caller.arrived_at):
        # The latency objective cannot be met. Allow time for all parts and a second send of each.
        soft_deadline_s = 2 * stats.slow_latency_s(route, caller.arrived_at)
    deadline_s = min(caller.time_left_s, route.timeout_s)
    return FanOutPlan(
        services,
        min_coverage=min_coverage,
        max_sends=route.max_sends if route.is_idempotent else 1,
        soft_deadline=caller.arrived_at + soft_deadline_s,
        deadline=min(caller.arrived_at + deadline_s, gateway.answer_until) - ANSWER_RESERVE_S,
        may_hedge=route.is_idempotent,
    )
