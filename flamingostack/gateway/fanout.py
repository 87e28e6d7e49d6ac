"""Fan-out plan of one request: when to send its parts, hedge, retry, wait, answer or fail.

It handles these load patterns:

- In nearly every query, one of the many targets pauses or is slow. A part that takes longer than
  usual is hedged: it is sent to a second target if that can still answer before the soft deadline.
- An instance opens connections to all targets of its first query. The sends leave late because of
  the instance, and hedges for all of them would double its work.
- A shard is down. It must not delay the others, so the answer is sent at the soft deadline, just
  before the latency objective, with the parts that have arrived.
- A request can no longer be answered. It fails at once.

A request for a single target has one part. Times are in seconds of the event loop's clock.
"""

from __future__ import annotations

import enum
import math
import random

from .costs import CROSS_DOMAIN_ROUND_TRIP_S
from .targets import Target

# The soft deadline lies this long before the latency objective, to allow for delays within the
# instance: a share of the objective, and with a short one at least the time in which half a core
# processes a third of the 36 parts of a large query. An instance with less than half a core needs
# more in proportion. The round trip to the caller is subtracted in addition.
SOFT_DEADLINE_MARGIN_SHARE = 0.06
MIN_SOFT_DEADLINE_MARGIN_S = 0.008
MIN_MARGIN_CORES = 0.5
MAX_SOFT_DEADLINE_MARGIN_S = 0.016
# Hedges at once of an instance with less than half a core: three of 36 parts at 0.36 of a core,
# which it sends in 5 ms.
HEDGES_PER_PART_AND_CORE = 0.25
MIN_HEDGES_AT_ONCE = 2
# Retry interval of a part for which no target or no budget was free.
BLOCKED_RETRY_S = 0.015
# A part that still has untried targets is given up once it has been blocked for this long, unless
# the answer may need it and other parts are in flight before the soft deadline.
MAX_BLOCKED_S = 0.045
# A hedge needs this many typical latencies before the soft deadline.
MIN_HEDGE_LATENCIES = 1.4
# Sends known not to have run do not count towards `max_sends`. A part is lost once they exceed
# this limit.
MAX_NOT_RUN_SENDS = 3


class PartState(enum.Enum):
    """Progress of one part."""

    OPEN = "open"
    ANSWERED = "answered"
    # No send is in flight, and no further send is allowed.
    LOST = "lost"


class Part:
    """State of one service of a request, and of the sends to it."""

    __slots__ = (
        "service",
        "state",
        "sends",
        "not_run_sends",
        "in_flight",
        "last_sent_at",
        "hedge_at",
        "next_try_at",
        "blocked_since",
        "tried_targets",
        "draw",
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.state = PartState.OPEN
        # Sends that may have run, including those in flight.
        self.sends = 0
        self.not_run_sends = 0
        self.in_flight = 0
        self.last_sent_at = 0.0
        # When the part counts as late and may be hedged.
        self.hedge_at = 0.0
        self.next_try_at = 0.0
        self.blocked_since: float | None = None
        self.tried_targets: list[Target] = []
        # From 0 to 1: a part with a low one is sent to the version that is rolled out.
        self.draw = random.random()

    @property
    def is_next_send_extra(self) -> bool:
        """Whether the next send counts as an extra one."""
        return bool(self.sends or self.not_run_sends)


class Send:
    """Send these parts now, each to a target that it has not been sent to."""

    __slots__ = ("parts",)

    def __init__(self, parts: list[Part]) -> None:
        self.parts = parts


class Wait:
    """Wait until a result arrives or the time `until` is reached."""

    __slots__ = ("until",)

    def __init__(self, until: float) -> None:
        self.until = until


class Answer:
    """Answer with the parts that have arrived."""

    __slots__ = ()


class GiveUp:
    """Fail the request; `is_past_deadline` if it ran out of time."""

    __slots__ = ("is_past_deadline",)

    def __init__(self, is_past_deadline: bool) -> None:
        self.is_past_deadline = is_past_deadline


Decision = Send | Wait | Answer | GiveUp


class FanOutPlan:
    """State of one request, and the decisions on it; performs no I/O."""

    __slots__ = (
        "parts",
        "required_parts",
        "max_sends",
        "soft_deadline",
        "deadline",
        "may_hedge",
        "max_hedges_at_once",
        "_unanswered",
    )

    def __init__(
        self,
        services: list[str],
        *,
        min_coverage: float,
        max_sends: int,
        soft_deadline: float,
        deadline: float,
        may_hedge: bool,
        max_hedges_at_once: float = math.inf,
    ) -> None:
        self.parts = [Part(service) for service in services]
        self.required_parts = max(count_required_parts(len(services), min_coverage), 1)
        self.max_sends = max_sends
        self.soft_deadline = soft_deadline
        self.deadline = deadline
        # Whether a part may be sent to another target while a send is in flight.
        self.may_hedge = may_hedge
        # More parts that are late at the same time are hedged one interval later.
        self.max_hedges_at_once = max_hedges_at_once
        # In the order of `parts`. An answered part stays answered, and is not visited any more.
        self._unanswered = list(self.parts)

    @property
    def answered_parts(self) -> int:
        """Number of parts that have been answered."""
        return len(self.parts) - len(self._unanswered)

    def needs_another_send(self, part: Part, now: float) -> bool:
        """Return whether the answer may lack required parts unless this part is sent again.

        Other parts in flight are expected to be answered unless they are late.
        """
        expected = self.answered_parts - (part.state is PartState.ANSWERED)
        for other in self._unanswered:
            if other is not part and other.in_flight > 0 and now < other.hedge_at:
                expected += 1
        return expected < self.required_parts

    def decide(self, now: float) -> Decision:
        """Return the next action."""
        lost = 0
        due = []
        wake_at = self.deadline
        for part in self._unanswered:
            if part.state is PartState.LOST:
                lost += 1
                continue
            send_at = self._next_send_at(part)
            if send_at is None:
                continue
            if send_at <= now:
                due.append(part)
            elif send_at < wake_at:
                wake_at = send_at
        total = len(self.parts)
        answered = self.answered_parts
        if answered + lost == total:
            return Answer() if answered >= self.required_parts else GiveUp(is_past_deadline=False)
        if total - lost < self.required_parts:
            return GiveUp(is_past_deadline=False)
        if answered >= self.required_parts:
            if now >= self.soft_deadline:
                return Answer()
            wake_at = min(wake_at, self.soft_deadline)
        if now >= self.deadline:
            return GiveUp(is_past_deadline=True)
        return Send(self._put_off_hedges(due, now)) if due else Wait(wake_at)

    def _put_off_hedges(self, due: list[Part], now: float) -> list[Part]:
        """Return the parts to send now; put off hedges beyond as many as may be sent at once."""
        hedges = [part for part in due if part.in_flight]
        if len(hedges) <= self.max_hedges_at_once:
            return due
        kept = set(hedges[: int(self.max_hedges_at_once)])
        for part in hedges:
            if part not in kept:
                part.next_try_at = now + BLOCKED_RETRY_S
        return [part for part in due if not part.in_flight or part in kept]

    def can_start(self, has_free_target: list[bool]) -> bool:
        """Return whether enough parts have a target that can accept a send now.

        This handles the load pattern where all targets of several shards are full: sending parts of
        a request that must fail would take capacity from requests that can succeed.
        """
        return sum(has_free_target) >= self.required_parts

    def on_sent(self, part: Part, target: Target, now: float, hedge_delay_s: float) -> None:
        """Record a send, which counts as late after `hedge_delay_s`."""
        part.sends += 1
        part.in_flight += 1
        part.last_sent_at = now
        part.hedge_at = now + hedge_delay_s
        part.next_try_at = 0.0
        part.blocked_since = None
        part.tried_targets.append(target)

    def on_opened(self, part: Part, now: float, slow_latency_s: float, latency_s: float) -> None:
        """Record that a connection was opened for a send, which left only now.

        The send is late no earlier than another one that leaves now, as long as a hedge can still
        answer before the soft deadline.
        """
        latest = self.soft_deadline - compute_one_send_s(latency_s)
        part.hedge_at = max(part.hedge_at, min(now + slow_latency_s, latest))

    def on_blocked(self, part: Part, has_untried_targets: bool, now: float) -> None:
        """Record that a part could not be sent: no free target, no budget or no time."""
        if part.state is PartState.ANSWERED:
            return
        if part.blocked_since is None:
            part.blocked_since = now
        part.next_try_at = now + BLOCKED_RETRY_S
        if part.in_flight or (has_untried_targets and now - part.blocked_since < MAX_BLOCKED_S):
            return
        has_parts_in_flight = any(other.in_flight for other in self.parts)
        if (
            has_untried_targets
            and has_parts_in_flight
            and now < self.soft_deadline
            and self.needs_another_send(part, now)
        ):
            return
        part.state = PartState.LOST

    def on_answered(self, part: Part) -> None:
        """Record an answer; a second one does not change the state of the part."""
        part.in_flight -= 1
        if part.state is not PartState.ANSWERED:
            part.state = PartState.ANSWERED
            self._unanswered.remove(part)

    def on_failed(self, part: Part, may_have_run: bool) -> None:
        """Record a failed send; `may_have_run` is False only if it is known not to have run."""
        part.in_flight -= 1
        if not may_have_run:
            part.sends -= 1
            part.not_run_sends += 1
        if part.state is PartState.OPEN and not part.in_flight and not self._may_send(part):
            part.state = PartState.LOST

    def _may_send(self, part: Part) -> bool:
        return part.sends < self.max_sends and part.not_run_sends <= MAX_NOT_RUN_SENDS

    def _next_send_at(self, part: Part) -> float | None:
        if not self._may_send(part):
            return None
        if not part.in_flight:
            return part.next_try_at
        if not self.may_hedge:
            return None
        return part.hedge_at if part.hedge_at > part.next_try_at else part.next_try_at


def compute_hedge_delay_s(
    *, slow_latency_s: float, latency_s: float, soft_deadline_s: float, spent_budget_share: float
) -> float:
    """Return after how long a send counts as late and may be hedged, in seconds.

    `slow_latency_s` is the latency from which a part counts as slow, `latency_s` the typical
    latency, `soft_deadline_s` the time until the soft deadline, and `spent_budget_share` the spent
    share of the budget for extra sends, from 0 to 1.

    All answers before the soft deadline are worth the same. A hedge therefore waits until only
    two further sends fit before it, and with a spent budget until only one does, but at least for
    `slow_latency_s`. This saves budget in a load pattern of 36 parts where a twentieth is paused
    and another twentieth is only slow.
    """
    one_send_s = compute_one_send_s(latency_s)
    earliest = max(slow_latency_s, soft_deadline_s - 2 * one_send_s)
    latest = soft_deadline_s - one_send_s
    return earliest + max(latest - earliest, 0.0) * spent_budget_share


def compute_soft_deadline_margin_s(latency_objective_s: float, processor_cores: float) -> float:
    """Return how long before the latency objective an answer is begun, without the way to callers.

    `processor_cores` is the processor time of the instance in a second, 0 if it is not known.
    """
    margin_s = MIN_SOFT_DEADLINE_MARGIN_S
    if 0 < processor_cores < MIN_MARGIN_CORES:
        margin_s = min(margin_s * MIN_MARGIN_CORES / processor_cores, MAX_SOFT_DEADLINE_MARGIN_S)
    return max(latency_objective_s * SOFT_DEADLINE_MARGIN_SHARE, margin_s)


def compute_max_hedges_at_once(parts: int, processor_cores: float) -> float:
    """Return how many parts of a request an instance may hedge at the same time.

    `processor_cores` is as above. This handles the load pattern of a query whose parts are late
    because a small instance is busy with all of them: each hedge makes it busier.
    """
    if not 0 < processor_cores < MIN_MARGIN_CORES:
        return math.inf
    return max(int(parts * processor_cores * HEDGES_PER_PART_AND_CORE), MIN_HEDGES_AT_ONCE)


def compute_one_send_s(latency_s: float) -> float:
    """Return how long a hedge takes, also to another failure domain."""
    return latency_s * MIN_HEDGE_LATENCIES + CROSS_DOMAIN_ROUND_TRIP_S


def count_required_parts(total: int, min_coverage: float) -> int:
    """Return how many of `total` parts give a coverage of at least `min_coverage`, from 0 to 1."""
    required_parts = int(total * min_coverage)
    # Compare quotients as the caller does, so that rounding never leaves the coverage too low.
    while required_parts < total and required_parts / total < min_coverage:
        required_parts += 1
    return required_parts
