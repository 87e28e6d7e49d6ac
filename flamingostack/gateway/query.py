"""Execution of one request according to its fan-out plan."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
from collections.abc import Callable, Iterable

from ..errors import Failure, Reason
from .admission import MIN_QUEUE, compute_refused_share, find_shortest_queue
from .allotments import Token
from .connection import MAX_ANSWER_BYTES
from .costs import (
    TRIAL_SHARE,
    RequestCost,
    RequestKind,
    blend_slow_latency_s,
    expected_pace,
    is_surely_late,
    make_kind,
    took_long_itself,
)
from .fanout import (
    MIN_HEDGE_LATENCIES,
    Answer,
    Decision,
    FanOutPlan,
    GiveUp,
    Part,
    PartState,
    Send,
    Wait,
    compute_hedge_delay_s,
    compute_max_hedges_at_once,
    compute_soft_deadline_margin_s,
)
from .model import FanOut, Organisation, Route
from .pauses import read_clock_s
from .placement import can_accept, choose_target
from .pool import GRANT_VALID_S
from .refusals import Rank
from .sender import (
    MIN_SEND_TIME_S,
    NOT_RUN_OUTCOMES,
    OutgoingRequest,
    PendingSend,
    SendOutcome,
    SendResult,
)
from .state import Gateway
from .targets import Target
from .tenants import UNAUTHORIZED_STATUS, Denial

# Sends whose result is no longer needed may finish within this time, since cancelling a send closes
# its connection and a new one would have to be opened.
UNNEEDED_SEND_GRACE_S = 0.35
# Share of the extra-send budget for parts that the answer can do without. The remainder is reserved
# for required parts.
OPTIONAL_SEND_BUDGET_SHARE = 0.6
# Share of the parts of a request that must be answered for it to tell what such requests cost.
MIN_SAMPLE_SHARE = 0.3
# Part of the time limit that is reserved for returning the answer to the caller.
ANSWER_RESERVE_S = 0.015
# Turns of the event loop in which bytes that have arrived are found and read. Results are recorded
# as they are read.
READ_TURNS = 2
# A target that refuses a request, or has another's address, says nothing of its version.
UNJUDGED_OUTCOMES = frozenset((SendOutcome.SHED, SendOutcome.WRONG_TARGET))


class QueryReason(Reason):
    """Why a request was not answered."""

    # No part of the request has run at a target.
    NO_TARGET = "no_target"
    OVERLOADED = "overloaded"
    # The key was removed while the request waited, or now belongs to another organisation.
    UNKNOWN_KEY = "unknown_key"
    CONFIGURATION_CHANGED = "configuration_changed"
    CANNOT_FINISH = "cannot_finish"
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
    """Arrival time of a caller's request, the time limit from then on in seconds, and who it is.

    `priority` is that of the organisation, else that of the route; 0 is the most urgent.
    `is_above_rate` tells whether the organisation sends more than its rate at present.
    `find_change` returns why the request must not be sent any more, None if it may be.
    """

    __slots__ = (
        "arrived_at",
        "time_left_s",
        "priority",
        "organisation",
        "is_above_rate",
        "token",
        "find_change",
    )

    def __init__(
        self,
        arrived_at: float,
        time_left_s: float,
        priority: int = 0,
        organisation: Organisation | None = None,
        find_change: Callable[[], Denial | None] = lambda: None,
    ) -> None:
        self.arrived_at = arrived_at
        self.time_left_s = time_left_s
        self.priority = priority
        self.organisation = organisation
        self.is_above_rate = False
        # The token by which the request counts towards the limit of the organisation.
        self.token: Token | None = None
        self.find_change = find_change

    @property
    def rank(self) -> Rank:
        """Whether it is above its rate, and its priority: the order of refusals under load."""
        return self.is_above_rate, self.priority


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


class PartSend:
    """A send of a part in flight, and what was known of its target when it was sent.

    `pace` is the result of `expected_pace`.
    """

    __slots__ = ("part", "target", "sent_at", "latency_s", "was_cold", "pace", "pending")

    def __init__(self, part: Part, target: Target, sent_at: float, latency_s: float) -> None:
        self.part = part
        self.target = target
        self.sent_at = sent_at
        # The typical latency of the route.
        self.latency_s = latency_s
        self.was_cold = sent_at < target.cold_until
        self.pace = expected_pace(target, sent_at)
        # Set once the send has started.
        self.pending: PendingSend | None = None


class BatchLatencies:
    """Latencies that apply to all parts of a request that are sent in one step."""

    __slots__ = ("typical_s", "_slow_s", "_cost", "_soft_deadline_s", "_hedge_delays_by_share")

    def __init__(
        self, typical_s: float, slow_s: float, cost: RequestCost, soft_deadline_s: float
    ) -> None:
        self.typical_s = typical_s
        self._slow_s = slow_s
        self._cost = cost
        # From the step on.
        self._soft_deadline_s = soft_deadline_s
        # By the spent share of the budget, which is the same for most services.
        self._hedge_delays_by_share: dict[float, float] = {}

    def hedge_delay_s(self, spent_budget_share: float) -> float:
        """Return after how long a send may be hedged; the delay grows as the budget is spent."""
        delay_s = self._hedge_delays_by_share.get(spent_budget_share)
        if delay_s is None:
            delay_s = self._compute_hedge_delay_s(spent_budget_share)
            self._hedge_delays_by_share[spent_budget_share] = delay_s
        return delay_s

    def _compute_hedge_delay_s(self, spent_budget_share: float) -> float:
        cost = self._cost
        latency_s = min(cost.expected_s, cost.typical_s)
        slow_latency_s = blend_slow_latency_s(cost, self._slow_s, spent_budget_share)
        return compute_hedge_delay_s(
            slow_latency_s=max(slow_latency_s, latency_s * MIN_HEDGE_LATENCIES),
            latency_s=latency_s,
            soft_deadline_s=self._soft_deadline_s,
            spent_budget_share=spent_budget_share,
        )


class QueryRun:
    """One request in flight and its sends.

    The sends record their results by callbacks, which wake the plan only when it may decide
    otherwise. When `run` ends, the sends still in flight are cancelled after a grace period, and at
    once if it was cancelled itself. They also end at the deadline.
    """

    __slots__ = (
        "gateway",
        "request",
        "route",
        "caller",
        "stats",
        "plan",
        "results_by_service",
        "extra_sends",
        "finished_sends",
        "overloaded_sends",
        "has_sent",
        "_kind",
        "_cost",
        "_latencies_s",
        "_first_send",
        "_grants",
        "_chosen",
        "_sends",
        "_grant_tasks",
        "_waiter",
        "_open_parts",
        "_missing_parts",
        "_has_ended",
        "_end_timers",
        "_loop",
    )

    def __init__(
        self,
        gateway: Gateway,
        request: OutgoingRequest,
        route: Route,
        caller: Caller,
        plan: FanOutPlan,
    ) -> None:
        self.gateway = gateway
        self.request = request
        self.route = route
        self.caller = caller
        self.stats = gateway.stats(route)
        self.plan = plan
        self.results_by_service: dict[str, SendResult] = {}
        self.extra_sends = 0
        # Finished sends as "target:outcome:milliseconds", for the log.
        self.finished_sends: list[str] = []
        self.overloaded_sends = 0
        # Whether anything was sent, even if it has not run.
        self.has_sent = False
        self._kind, self._cost = expect_cost(gateway, request, route, caller)
        # Latencies of the answers, as they would have been at a usual, idle target.
        self._latencies_s: list[float] = []
        self._first_send: tuple[Target, float] | None = None
        self._loop = asyncio.get_running_loop()
        self._grants = Grants()
        # Sends that start in the next turn of the loop.
        self._chosen: list[tuple[Part, Target]] = []
        self._sends: set[PartSend] = set()
        self._grant_tasks: set[asyncio.Task[None]] = set()
        # Set while the plan waits.
        self._waiter: asyncio.Future[None] | None = None
        # Open parts, and required parts that are not answered; kept while the plan waits.
        self._open_parts = 0
        self._missing_parts = 0
        # Whether `run` has ended; sends in flight then still update their targets.
        self._has_ended = False
        # End the sends in flight after that.
        self._end_timers: list[asyncio.TimerHandle] = []

    async def run(self) -> None | QueryFailure:
        """Execute the plan; return None once the results can be returned to the caller."""
        now, budget = self.gateway.now(), self.gateway.budget
        budget.count_query(now)
        for part in self.plan.parts:
            budget.count_request(part.service, now)
        has_free_target = self._check_free_targets(now)
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
        if self._is_surely_late():
            message = f"no target can answer in time, it takes {self._cost.expected_s:.3f} s"
            return QueryFailure(QueryReason.CANNOT_FINISH, message, True)
        try:
            failure = await self._execute_plan()
            self._learn_cost(failure)
            return failure
        except asyncio.CancelledError:
            self._cancel_sends()
            raise
        finally:
            self._has_ended = True
            if self._sends or self._grant_tasks:
                self._limit_sends()

    async def _execute_plan(self) -> None | QueryFailure:
        has_read = False
        while True:
            now = self.gateway.now()
            decision = self.plan.decide(now)
            if not has_read and self._depends_on_answers(decision):
                has_results = await self._read_arrived()
                # More may have arrived meanwhile, but an answer must not be late for it.
                has_read = not has_results or isinstance(decision, Answer)
                continue
            has_read = False
            match decision:
                case Send(parts=parts):
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout_at(self.plan.deadline):
                            await self.gateway.wait_after_pause()
                    now = self.gateway.now()
                    # Some may have been answered or lost during the wait.
                    parts = [part for part in parts if part.state is PartState.OPEN]
                    denial = self.caller.find_change()
                    if denial is not None:
                        if not any(part.sends for part in self.plan.parts):
                            return make_denial(denial)
                        self._give_up(parts, now)
                        continue
                    if self._is_token_expired():
                        message = "the token was not used in time"
                        return QueryFailure(QueryReason.OVERLOADED, message, True)
                    latencies = BatchLatencies(
                        self.stats.typical_latency_s(self.route, now),
                        self.stats.slow_latency_s(self.route, now),
                        self._cost,
                        self.plan.soft_deadline - now,
                    )
                    for part in parts:
                        self._send(part, latencies, now)
                    if self._chosen:
                        self._loop.call_soon(self._start_sends, now)
                    self._request_grants()
                case Wait(until=until):
                    await self._wait(until)
                case Answer():
                    return None
                case GiveUp(is_past_deadline=is_past_deadline):
                    self._withdraw_chosen()
                    return self._make_failure(is_past_deadline)

    def _depends_on_answers(self, decision: Decision) -> bool:
        """Return whether answers that have arrived and are not read yet would change a decision.

        On a slow instance that is busy with the parts of a query, most late answers are of this
        kind. Hedges for them would keep it busy even longer.
        """
        match decision:
            case Send(parts=parts):
                return any(part.in_flight for part in parts)
            case Answer():
                return any(
                    part.in_flight and part.state is not PartState.ANSWERED
                    for part in self.plan.parts
                )
        return False

    async def _read_arrived(self) -> bool:
        """Let the loop read what has arrived; return whether any result came."""
        known_results = len(self.finished_sends)
        for _ in range(READ_TURNS):
            await asyncio.sleep(0)
        return len(self.finished_sends) > known_results

    async def _wait(self, until: float) -> None:
        """Wait until a time, or until the plan may decide otherwise because of a result."""
        plan = self.plan
        self._open_parts = sum(part.state is PartState.OPEN for part in plan.parts)
        self._missing_parts = plan.required_parts - plan.answered_parts
        if plan.required_parts < len(plan.parts) and self.gateway.now() < plan.soft_deadline:
            # From then on the required parts are enough.
            until = min(until, plan.soft_deadline)
        self._waiter = self._loop.create_future()
        timer = self._loop.call_at(until, self._wake)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None

    def _wake(self) -> None:
        """End the wait of the plan, if it waits."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _check_free_targets(self, now: float) -> list[bool]:
        return [self._has_free_target(part.service, now) for part in self.plan.parts]

    def _has_free_target(self, service: str, now: float) -> bool:
        cold_sends_per_s = self.gateway.cold_sends_per_s(service)
        for target in self.gateway.directory.usable_targets(service):
            if can_accept(target, now, cold_sends_per_s):
                return True
        return False

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
            find_shortest_queue(directory.usable_targets(part.service), now)
            for part in self.plan.parts
        ]
        spare_parts = self.gateway.spare_parts.record(self.route.destination, self.caller.priority)
        order = self.gateway.refusal_orders.get(self.plan.parts[0].service)
        load = self.stats.typical_latency_s(self.route, now) * len(self.plan.parts)
        order.record(self.caller.rank, load, now)
        return order.refused_share(self.caller.rank, compute_refused_share(queues, spare_parts))

    def _is_surely_late(self) -> bool:
        gateway, now = self.gateway, self.gateway.now()
        targets: list[Target] = []
        if not isinstance(self.route.destination, FanOut):
            targets = gateway.directory.usable_targets(self.plan.parts[0].service)
        time_left_s = self.plan.deadline - now
        if not is_surely_late(
            targets, self._cost, gateway.settings.failure_domain, time_left_s, now
        ):
            return False
        return random.random() >= TRIAL_SHARE

    def _learn_cost(self, failure: QueryFailure | None) -> None:
        """Learn what the request has cost."""
        costs = self.gateway.costs
        if self._kind is None or costs is None:
            return
        if failure is not None and failure.reason is QueryReason.DEADLINE:
            # Of a fan-out, a few parts that are late tell nothing of the request.
            if len(self.plan.parts) == 1 and self._first_send is not None:
                target, sent_at = self._first_send
                now = self.gateway.now()
                if took_long_itself(target, sent_at, now):
                    costs.record_timeout(self._kind, now - sent_at, now)
        elif self._latencies_s and len(self._latencies_s) >= MIN_SAMPLE_SHARE * len(
            self.plan.parts
        ):
            costs.record(self._kind, self._latencies_s, self.gateway.now())

    def _send(self, part: Part, latencies: BatchLatencies, now: float) -> None:
        gateway = self.gateway
        spent_budget_share = gateway.budget.spent_share(part.service, now)
        groups = gateway.rollouts.rank(
            part.service,
            gateway.directory.usable_targets(part.service),
            part.draw,
            part.is_next_send_extra,
        )
        target = self._choose_target(part, groups, latencies.typical_s, spent_budget_share, now)
        time_left_s = self.plan.deadline - now
        if target is None or time_left_s < MIN_SEND_TIME_S:
            has_untried_targets = any(
                t not in part.tried_targets and not t.is_closed_until(self.plan.deadline)
                for targets in groups
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
        if self._first_send is None:
            self._first_send = target, now
        gateway.rollouts.count_send(target, part.is_next_send_extra)
        target.record_choice(now)
        self.plan.on_sent(part, target, now, latencies.hedge_delay_s(spent_budget_share))
        self._chosen.append((part, target))

    def _is_token_expired(self) -> bool:
        """Return whether a request that was not sent yet must not be sent any more."""
        token = self.caller.token
        return token is not None and not self.has_sent and read_clock_s() >= token.valid_until

    def _give_up(self, parts: list[Part], now: float) -> None:
        """Send no more of these parts; answers to sends in flight still count."""
        for part in parts:
            if part.in_flight:
                self.plan.on_blocked(part, True, now)
            else:
                part.state = PartState.LOST

    def _choose_target(
        self,
        part: Part,
        groups: Iterable[list[Target]],
        typical_s: float,
        spent_budget_share: float,
        now: float,
    ) -> Target | None:
        """Return the best target of the first group that has one that can accept a send."""
        gateway = self.gateway
        for targets in groups:
            target = choose_target(
                targets,
                latency_s=typical_s,
                own_domain=gateway.settings.failure_domain,
                now=now,
                cost=self._cost,
                excluded=part.tried_targets,
                spent_budget_share=spent_budget_share,
                cold_sends_per_s=gateway.cold_sends_per_s(part.service),
            )
            if target is not None:
                return target
        return None

    def _request_grants(self) -> None:
        """Ask the pool of the failure domain for the extra sends that the budget did not allow."""
        services = self._grants.take_wanted()
        gateway = self.gateway
        if not services or gateway.request_grants is None or not gateway.budget.pooled_instances:
            return
        task = self._loop.create_task(self._fetch_grants(services))
        self._grant_tasks.add(task)
        task.add_done_callback(self._grant_tasks.discard)

    async def _fetch_grants(self, services: list[str]) -> None:
        valid_until = read_clock_s() + GRANT_VALID_S
        granted = set(await self.gateway.request_grants(services))
        for part in self.plan.parts:
            if part.service in granted and part.state is PartState.OPEN:
                self._grants.add(part.service, valid_until)
                part.next_try_at = 0.0
        self._wake()

    def _start_sends(self, now: float) -> None:
        """Start the sends that were chosen at a time, in a step of the loop of their own."""
        chosen, self._chosen = self._chosen, []
        if self._has_ended:
            return
        latency_s = self.stats.typical_latency_s(self.route, now)
        for part, target in chosen:
            self._start_send(PartSend(part, target, now, latency_s))

    def _withdraw_chosen(self) -> None:
        """Take back the sends that were chosen and have not started; nothing of them was sent."""
        chosen, self._chosen = self._chosen, []
        for part, _ in chosen:
            self.plan.on_failed(part, may_have_run=False)

    def _start_send(self, send: PartSend) -> None:
        self._sends.add(send)
        self.has_sent = True
        send.pending = self.gateway.sender.start(
            self.request,
            send.target,
            deadline=self.plan.deadline,
            latency_s=self._cost.expected_s,
            on_result=functools.partial(self._end_send, send),
            on_opened=functools.partial(self._record_opened, send.part),
            max_body_bytes=MAX_ANSWER_BYTES // len(self.plan.parts),
        )

    def _end_send(self, send: PartSend, result: SendResult) -> None:
        """Record the result of a send, also if the query was answered without it."""
        self._sends.discard(send)
        self._record_outcome(send, result)
        if not self._has_ended:
            self._handle_result(send.part, send.target, result)
        elif not self._sends and not self._grant_tasks:
            self._cancel_end_timers()

    def _record_outcome(self, send: PartSend, result: SendResult) -> None:
        """Update the statistics that the next requests rest on."""
        target = send.target
        is_answered = result.outcome is SendOutcome.ANSWERED
        if is_answered or result.outcome not in UNJUDGED_OUTCOMES:
            self._count_for_rollout(
                send,
                # Most connections to a version that has just started have to be opened.
                result.elapsed_s - result.connect_s,
                is_failure=not is_answered,
            )
        if is_answered:
            self.stats.latency.record(result.elapsed_s)
            if send.pace is not None:
                pace = send.pace * target.current_time_factor(self.gateway.now())
                self._latencies_s.append(result.elapsed_s / pace)
        notice = result.notice
        if notice is not None:
            self.gateway.record_notice(target, notice, self.request.id, send.sent_at)

    def _record_opened(self, part: Part) -> None:
        now = self.gateway.now()
        stats, route = self.stats, self.route
        self.plan.on_opened(
            part, now, stats.slow_latency_s(route, now), stats.typical_latency_s(route, now)
        )

    def _count_for_rollout(
        self, send: PartSend, elapsed_s: float, is_failure: bool = False
    ) -> None:
        rollouts = self.gateway.rollouts
        if not rollouts.restricted_by_service:
            return
        rollouts.count_answer(
            send.target,
            route=self.route.name,
            elapsed_s=elapsed_s,
            latency_s=send.latency_s,
            is_failure=is_failure,
            was_cold=send.was_cold,
        )

    def _handle_result(self, part: Part, target: Target, result: SendResult) -> None:
        self.finished_sends.append(
            f"{target.entry.id}:{result.outcome.value}:{round(result.elapsed_s * 1000)}"
        )
        if result.outcome is SendOutcome.ANSWERED or self._is_final_answer(result):
            self._handle_answer(part, result)
            return
        if result.outcome is SendOutcome.FAILED:
            # Fallback if no send succeeds: a single target's failure is returned to the caller.
            self.results_by_service.setdefault(part.service, result)
        self.overloaded_sends += result.is_overloaded
        if result.outcome is SendOutcome.SHED and not result.is_overloaded:
            # The target shed the request at random, so it may accept a retry.
            part.tried_targets.remove(target)
        self.plan.on_failed(part, may_have_run=result.outcome not in NOT_RUN_OUTCOMES)
        self._wake()
        self._report_failure(part, target, result)

    def _report_failure(self, part: Part, target: Target, result: SendResult) -> None:
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

    def _handle_answer(self, part: Part, result: SendResult) -> None:
        is_first = part.state is not PartState.ANSWERED
        self.plan.on_answered(part)
        if not is_first:
            return
        self.results_by_service[part.service] = result
        self._open_parts -= 1
        self._missing_parts -= 1
        if not self._open_parts or (
            self._missing_parts <= 0 and self.gateway.now() >= self.plan.soft_deadline
        ):
            self._wake()

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
        fields: dict[str, object] = {}
        if self._cost.slow_s is not None:
            # The request is taken for costlier or cheaper than is typical of its route.
            fields["expected_ms"] = round(self._cost.expected_s * 1000)
        return fields | {
            "extra_sends": self.extra_sends,
            "sends": ",".join(self.finished_sends),
            "missing_services": ",".join(part.service for part in missing),
            "waiting_for": ",".join(waiting),
        }

    def _limit_sends(self) -> None:
        """End the sends in flight at their deadline, or after the grace period if it is earlier."""
        grace_until = self._loop.time() + UNNEEDED_SEND_GRACE_S
        self._end_timers.append(self._loop.call_at(grace_until, self._cancel_sends))
        if self.plan.deadline < grace_until:
            self._end_timers.append(self._loop.call_at(self.plan.deadline, self._expire_sends))

    def _expire_sends(self) -> None:
        for send in list(self._sends):
            send.pending.expire()

    def _cancel_sends(self) -> None:
        self._cancel_end_timers()
        now = self.gateway.now()
        for send in self._sends:
            send.pending.cancel()
            if now - send.sent_at > send.latency_s:
                # It would have taken at least as long.
                self._count_for_rollout(send, now - send.sent_at)
        self._sends.clear()
        for task in self._grant_tasks:
            task.cancel()
        self._grant_tasks.clear()

    def _cancel_end_timers(self) -> None:
        for timer in self._end_timers:
            timer.cancel()
        self._end_timers.clear()


def make_denial(denial: Denial) -> QueryFailure:
    """Return the failure of a request whose key has changed before anything of it was sent."""
    is_unknown = denial.status == UNAUTHORIZED_STATUS
    reason = QueryReason.UNKNOWN_KEY if is_unknown else QueryReason.CONFIGURATION_CHANGED
    return QueryFailure(reason, denial.reason, True)


def expect_cost(
    gateway: Gateway, request: OutgoingRequest, route: Route, caller: Caller
) -> tuple[RequestKind | None, RequestCost]:
    """Return the kind of a request, None if costs are not learnt, and its expected cost."""
    now = gateway.now()
    typical_s = gateway.stats(route).typical_latency_s(route, now)
    if gateway.costs is None:
        return None, RequestCost(typical_s)
    organisation = caller.organisation.name if caller.organisation is not None else ""
    kind = make_kind(route.name, request.method, request.path, len(request.body), organisation)
    return kind, gateway.costs.expect(kind, typical_s, now)


def make_plan(
    gateway: Gateway, route: Route, services: list[str], min_coverage: float, caller: Caller
) -> FanOutPlan:
    """Return the fan-out plan of a request that has just arrived."""
    stats = gateway.stats(route)
    stats.time_limits.record(caller.time_left_s)
    # For a caller that retries, the latency objective counts from its first attempt.
    soft_deadline_s = route.latency_objective_s - stats.time_limits.spent_s(caller.time_left_s)
    soft_deadline_s -= compute_soft_deadline_margin_s(
        route.latency_objective_s, gateway.settings.processor_cores
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
        max_hedges_at_once=compute_max_hedges_at_once(
            len(services), gateway.settings.processor_cores
        ),
    )
