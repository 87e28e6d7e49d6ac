"""Sending of a submit: to one replica at a time, and to another one only after NOT_RUN."""

from __future__ import annotations

import asyncio
import enum

from ..generated import messages_pb2 as pb
from . import explain
from .explain import Trace
from .fanout import MS_PER_S, NOT_RUN_BACKOFFS_S, QUEUE_FULL, Fanout, QueryPlan, is_json
from .link import Attempt
from .plan import PinnedMap, PinnedRange
from .refusals import EntryReason
from .replicas import AVOID_AFTER_FAILURE_S, AVOID_AFTER_REFUSAL_S, Route

# A reply is awaited for this long after the deadline, so that its outcome can be recorded.
LATE_REPLY_TIMEOUT_S = 5.0


class SendKind(enum.Enum):
    """Whether a request ran."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class SendOutcome:
    """Whether a request ran, with the target's answer or the reason why it did not run."""

    __slots__ = ("kind", "body", "reason", "message")

    def __init__(
        self,
        kind: SendKind,
        body: bytes = b"",
        reason: EntryReason = EntryReason.OVERLOADED,
        message: str = "",
    ) -> None:
        self.kind = kind
        self.body = body
        self.reason = reason
        self.message = message


class SubmitSender:
    """Sends one submit, and receives the replies to its attempts from the links."""

    __slots__ = (
        "fanout",
        "plan",
        "pinned",
        "low",
        "high",
        "targets",
        "record_key",
        "trace",
        "_reply_future",
    )

    def __init__(
        self,
        fanout: Fanout,
        plan: QueryPlan,
        pinned: PinnedMap,
        item: PinnedRange,
        record_key: str,
        trace: Trace,
    ) -> None:
        self.fanout = fanout
        self.plan = plan
        self.pinned = pinned
        self.low, self.high, self.targets = item
        self.record_key = record_key
        self.trace = trace
        self._reply_future: asyncio.Future[pb.SubReply] | None = None

    async def send(self) -> SendOutcome:
        """Send to one replica after another, with back-offs, until a reply is not NOT_RUN."""
        backoffs = iter(NOT_RUN_BACKOFFS_S)
        tried: list[str] = []
        message = "no replica of the key can be reached"
        while True:
            now = self.fanout.loop.time()
            if now >= self.plan.deadline:
                return make_not_run_outcome(
                    EntryReason.DEADLINE_EXPIRED, f"deadline passed: {message}"
                )
            if not self.fanout.feed.is_current():
                return make_not_run_outcome(EntryReason.NOT_CURRENT, "the state lease has expired")
            route = self._choose_route(tried, now)
            if route is None:
                backoff = next(backoffs, None)
                if backoff is None or self.fanout.is_baseline:
                    return make_not_run_outcome(EntryReason.OVERLOADED, message)
                await asyncio.sleep(backoff)
                tried.clear()
                continue
            tried.append(route.target_id)
            reply = await self._send_to(route, now)
            if reply.status != pb.SUB_STATUS_NOT_RUN:
                return classify_reply(reply)
            message = f"target {route.target_id}: {reply.reason}"
            route.state.avoid_until = now + AVOID_AFTER_REFUSAL_S
            if self.fanout.is_baseline or reply.reason == QUEUE_FULL:
                backoffs = iter(())

    def on_reply(self, attempt: Attempt, reply: pb.SubReply, now: float) -> None:
        """Handle the reply to the attempt in flight."""
        state = attempt.route.state
        state.outstanding -= 1
        if reply.status == pb.SUB_STATUS_OK:
            state.record_latency(now - attempt.sent_at, now)
        elif reply.status != pb.SUB_STATUS_NOT_RUN:
            state.avoid_until = now + AVOID_AFTER_FAILURE_S
        if reply.limit:
            state.record_report(reply, now)
        self.trace.end_attempt(attempt.trace_index, reply.status, reply.reason, now)
        if not self._reply_future.done():
            self._reply_future.set_result(reply)

    def _choose_route(self, tried: list[str], now: float) -> Route | None:
        replicas = self.fanout.replicas
        if self.fanout.is_baseline:
            return None if tried else replicas.choose_random(self.targets)
        return replicas.choose(self.targets, tried, now, self.plan.foreign_penalty_s)

    async def _send_to(self, route: Route, now: float) -> pb.SubReply:
        self._reply_future = self.fanout.loop.create_future()
        attempt = Attempt(self, route)
        route.state.outstanding += 1
        attempt.trace_index = self.trace.add_attempt(
            route.target_id, route.instance, self.low, self.high, explain.SUBMIT, now
        )
        link = self.fanout.links.get(route.address)
        request = pb.SubRequest(
            request_id=self.plan.request_id,
            service=self.pinned.service,
            target=route.target_id,
            snapshot=self.pinned.snapshot,
            low=self.low,
            high=self.high,
            deadline_ms=max(int((self.plan.deadline - now) * MS_PER_S), 1),
            request_class=self.plan.request_class,
            payload=self.plan.payload,
            once_key=self.record_key,
        )
        link.send(attempt, request, now)
        try:
            async with asyncio.timeout_at(self.plan.deadline + LATE_REPLY_TIMEOUT_S):
                return await self._reply_future
        except TimeoutError:
            link.cancel(attempt)
            route.state.outstanding -= 1
            return pb.SubReply(status=pb.SUB_STATUS_FAILED, reason="no_answer")


def make_not_run_outcome(reason: EntryReason, message: str) -> SendOutcome:
    """Return the outcome of a request that did not run."""
    return SendOutcome(SendKind.NOT_RUN, reason=reason, message=message)


def classify_reply(reply: pb.SubReply) -> SendOutcome:
    """Turn a reply into an outcome; it is unknown unless the reply proves whether it ran."""
    match reply.status:
        case pb.SUB_STATUS_OK if is_json(reply.body):
            return SendOutcome(SendKind.RAN, body=reply.body)
        case pb.SUB_STATUS_TARGET_SHED | pb.SUB_STATUS_SNAPSHOT_MISSING:
            # The target refused the request, so it did not run. It was sent, so no other replica is
            # tried.
            return make_not_run_outcome(
                EntryReason.OVERLOADED, f"the target refused the request: {reply.reason}"
            )
        case _:
            return SendOutcome(SendKind.UNKNOWN, message=reply.reason)
