"""Fan-out plan of one request: when to send its parts, hedge, retry, wait, answer or fail.

It handles these load patterns:

- In nearly every query, one of the many targets pauses or is slow. A part that takes longer than
  usual is hedged: it is sent to a second target if that can still answer before the soft deadline.
- A shard is down. It must not delay the others, so the answer is sent at the soft deadline, just
  before the latency objective, with the parts that have arrived.
- A request can no longer be answered. It fails at once.

A request for a single target has one part. Times are in seconds of the event loop's clock.
"""

from __future__ import annotations

import enum

from .placement import CROSS_DOMAIN_ROUND_TRIP_S
from .targets import Target

# The soft deadline lies this long before the latency objective, to allow for delays within the
# instance: a share of the objective, and with a short one at least the time in which half a core
# processes a third of the 36 parts of a large query. The round trip to the caller is subtracted
# in addition.
SOFT_DEADLINE_MARGIN_SHARE = 0.06
MIN_SOFT_DEADLINE_MARGIN_S = 0.008
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

    __slots__ = ("parts", "required_parts", "max_sends", "soft_deadline", "deadline", "may_hedge")

    def __init__(
        self,
        services: list[str],
        *,
        min_coverage: float,
        max_sends: int,
        soft_deadline: float,
        deadline: float,
        may_hedge: bool,
    ) -> None:
        self.parts = [Part(service) for service in services]
        self.required_parts = max(count_required_parts(len(services), min_coverage), 1)
        self.max_sends = max_sends
        self.soft_deadline = soft_deadline
        self.deadline = deadline
        # Whether a part may be sent to another target while a send is in flight.
        self.may_hedge = may_hedge

    @property
    def answered_parts(self) -> int:
        """Number of parts that have been answered."""
        return sum(part.state is PartState.ANSWERED for part in self.parts)

    def needs_another_send(self, part: Part, now: float) -> bool:
        """Return whether the answer may lack required parts unless this part is sent again.

        Other parts in flight are expected to be answered unless they are late.
        """
        expected = 0
        for other in self.parts:
            if other is not part:
                is_on_time = other.in_flight > 0 and now < other.hedge_at
                expected += other.state is PartState.ANSWERED or is_on_time
        return expected < self.required_parts

    def decide(self, now: float) -> Decision:
        """Return the next action."""
        answered = lost = 0
        due = []
        wake_at = self.deadline
        for part in self.parts:
            if part.state is PartState.ANSWERED:
                answered += 1
            elif part.state is PartState.LOST:
                lost += 1
            else:
                send_at = self._next_send_at(part)
                if send_at is not None and send_at <= now:
                    due.append(part)
                elif send_at is not None:
                    wake_at = min(wake_at, send_at)
        total = len(self.parts)
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
        return Send(due) if due else Wait(wake_at)

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

    def on_blocked(self, part: Part, has_untried_targets: bool, now: float) -> None:
        """Record that a part could not be sent: no free target, no budget or no time."""
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
        part.state = PartState.ANSWERED

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
        return max(part.hedge_at, part.next_try_at) if self.may_hedge else None


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
    one_send_s = latency_s * MIN_HEDGE_LATENCIES + CROSS_DOMAIN_ROUND_TRIP_S
    earliest = max(slow_latency_s, soft_deadline_s - 2 * one_send_s)
    latest = soft_deadline_s - one_send_s
    return earliest + max(latest - earliest, 0.0) * spent_budget_share


def count_required_parts(total: int, min_coverage: float) -> int:
    """Return how many of `total` parts give a coverage of at least `min_coverage`, from 0 to 1."""
    required_parts = int(total * min_coverage)
    # Compare quotients as the caller does, so that rounding never leaves the coverage too low.
    while required_parts < total and required_parts / total < min_coverage:
        required_parts += 1
    return required_parts
