"""Decisions of one request over its parts: when to send, send again, wait, answer or give up.

Load patterns answered: one of many targets pauses or is slow in nearly every query, so a part that
takes longer than usual is sent to a second target while that can still make the goal; a shard
that is down must not hold the others, so the answer leaves just before the goal with what is in;
and what cannot be answered any more fails at once. A request for a single target is one with
one part. Times are in seconds of the event loop's clock.
"""

from __future__ import annotations

import enum

from .placement import CROSS_DOMAIN_ROUND_TRIP_S
from .targets import Target

# An incomplete answer leaves so long before the goal, for delays within the instance: a share of
# the goal, and on short goals the time in which half a core handles a third of the 36 parts of a
# large query. The way to the caller and back is taken off besides.
SOFT_DEADLINE_MARGIN_SHARE = 0.06
MIN_SOFT_DEADLINE_MARGIN_S = 0.008
# How soon a part is tried again for which no target or no budget was free.
BLOCKED_RETRY_S = 0.015
# A part for which no target was free for so long is given up, unless an answer needs it and other
# parts are under way.
MAX_BLOCKED_S = 0.045
# A hedge must still have the usual latency left until the goal.
MIN_HEDGE_LATENCIES = 1.4
# Sends that did not run do not count towards the sends allowed, but end somewhere.
MAX_NOT_RUN_SENDS = 3


class PartState(enum.Enum):
    """What is known of one part."""

    OPEN = "open"
    ANSWERED = "answered"
    # Nothing is in flight, and nothing more may be sent.
    LOST = "lost"


class Part:
    """One service of a request: what was sent to it, and its state."""

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
        # Sends that may have run.
        self.sends = 0
        self.not_run_sends = 0
        self.in_flight = 0
        self.last_sent_at = 0.0
        # When it counts as late and may be sent again, though it is in flight.
        self.hedge_at = 0.0
        self.next_try_at = 0.0
        self.blocked_since: float | None = None
        self.tried_targets: list[Target] = []

    @property
    def is_next_send_extra(self) -> bool:
        """Whether the next send counts as an extra one."""
        return bool(self.sends or self.not_run_sends)


class Send:
    """Send these parts now, each to a target that it was not sent to before."""

    __slots__ = ("parts",)

    def __init__(self, parts: list[Part]) -> None:
        self.parts = parts


class Wait:
    """Nothing to do before a result comes or `until` is reached."""

    __slots__ = ("until",)

    def __init__(self, until: float) -> None:
        self.until = until


class Answer:
    """Answer with the parts that are in."""

    __slots__ = ()


class GiveUp:
    """The request cannot be answered any more; `is_late` if its time is over."""

    __slots__ = ("is_past_deadline",)

    def __init__(self, is_past_deadline: bool) -> None:
        self.is_past_deadline = is_past_deadline


Decision = Send | Wait | Answer | GiveUp


class FanOutPlan:
    """State of one request and the decisions on it; without input and output."""

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
        # Whether a part may be sent again while it is in flight.
        self.may_hedge = may_hedge

    @property
    def answered_parts(self) -> int:
        """How many parts are in."""
        return sum(part.state is PartState.ANSWERED for part in self.parts)

    def needs_another_send(self, part: Part, now: float) -> bool:
        """Tell whether there may be too few parts for an answer without another send of this one.

        Parts in flight count unless they are late.
        """
        expected = 0
        for other in self.parts:
            if other is not part:
                is_on_time = other.in_flight > 0 and now < other.hedge_at
                expected += other.state is PartState.ANSWERED or is_on_time
        return expected < self.required_parts

    def decide(self, now: float) -> Decision:
        """Return what to do now."""
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

    def can_start(self, free_by_part: list[bool]) -> bool:
        """Tell whether enough parts have a target that can take them now.

        Load pattern answered: all targets of several shards are full. Parts that are sent although
        the request must fail take the room of requests that need not.
        """
        return sum(free_by_part) >= self.required_parts

    def on_sent(self, part: Part, target: Target, now: float, hedge_delay_s: float) -> None:
        """Count a send, which is late after `hedge_after_s`."""
        part.sends += 1
        part.in_flight += 1
        part.last_sent_at = now
        part.hedge_at = now + hedge_delay_s
        part.next_try_at = 0.0
        part.blocked_since = None
        part.tried_targets.append(target)

    def on_blocked(self, part: Part, has_untried_targets: bool, now: float) -> None:
        """Note that no target or no budget was free for a part."""
        if part.blocked_since is None:
            part.blocked_since = now
        part.next_try_at = now + BLOCKED_RETRY_S
        if part.in_flight or (has_untried_targets and now - part.blocked_since < MAX_BLOCKED_S):
            return
        is_under_way = any(other.in_flight for other in self.parts)
        if (
            has_untried_targets
            and is_under_way
            and now < self.soft_deadline
            and self.needs_another_send(part, now)
        ):
            return
        part.state = PartState.LOST

    def on_answered(self, part: Part) -> None:
        """Count an answer; only the first one of a part matters."""
        part.in_flight -= 1
        part.state = PartState.ANSWERED

    def on_failed(self, part: Part, may_have_run: bool) -> None:
        """Count a send without an answer; `has_run` unless it is known not to have run."""
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
    """Return after how long a send counts as late and may be sent again.

    `slow_s` is what a slow part takes and `latency_s` a usual one, `goal_s` the time to the goal,
    and `budget_spent` the share of the budget that is used up. An answer is worth the same up to
    the goal, so a hedge waits until the time for two further sends is needed, and with a spent
    budget until the time for one is. Load pattern answered: 36 parts, of which a twentieth is
    paused and another one only slow.
    """
    one_send_s = latency_s * MIN_HEDGE_LATENCIES + CROSS_DOMAIN_ROUND_TRIP_S
    earliest = max(slow_latency_s, soft_deadline_s - 2 * one_send_s)
    latest = soft_deadline_s - one_send_s
    return earliest + max(latest - earliest, 0.0) * spent_budget_share


def count_required_parts(total: int, min_coverage: float) -> int:
    """Return how many of `total` parts make up at least `min_coverage` of them."""
    required_parts = int(total * min_coverage)
    # Compares the shares as the caller does, so that rounding never makes an answer too thin.
    while required_parts < total and required_parts / total < min_coverage:
        required_parts += 1
    return required_parts
