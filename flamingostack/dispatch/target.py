"""One target: its queue, concurrency limit, connections and in-flight requests.

A target is an actor: one task handles the messages of its inbox in order, and each request in
flight has a further task.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

import msgspec
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
    SocketTimeoutError,
)
from yarl import URL

from ..clock import NS_PER_MS
from ..environment import Environment
from ..generated import messages_pb2 as pb
from ..generated.preset import LimitPolicy
from ..state import FleetView, StateFeed, TargetInfo
from .connections import Connections, WatchedConnector
from .fence import CONNECTION_CLOSED, OVER_LIMIT, FencedBody, FencedRequest, FlushGate
from .limit import FixedLimit, Limit, LimitConfig
from .queue import WorkQueue
from .recorder import Recorder, Trace
from .work import Claim, WorkItem, WorkState

NS_PER_US = 1_000
NS_PER_S = 1_000_000_000
COLD_HEADER = "Searcher-Cold"
CONNECTION_LOST = "connection_lost"
# A connection that closes before the body is written causes no work at the target, so the request
# may be sent again on another one. If this many attempts in a row fail this way, the target
# counts as unhealthy.
MAX_SEND_ATTEMPTS = 3
# Read timeouts are rounded up to a multiple of this, so that few timeout objects are needed.
TIMEOUT_STEP_MS = 100
# Weight of a new sample in the moving average of the service time. The first samples weigh more,
# since the very first one includes the time to open a connection.
SERVICE_TIME_WEIGHT = 0.1
# Service time assumed before the first response, so that the queue of a new target is bounded too.
INITIAL_SERVICE_NS = 20 * NS_PER_MS
# The estimate of the shortest service time rises by MIN_SERVICE_RISE of the difference to each
# longer sample. It is multiplied by MIN_SERVICE_DECAY at each refusal that is based on it, so that
# a slow phase of the target does not lead to refusals for ever.
MIN_SERVICE_RISE = 0.02
MIN_SERVICE_DECAY = 0.9

NOT_RUN = pb.SUB_STATUS_NOT_RUN
STATUS_BY_HTTP_STATUS = {
    200: (pb.SUB_STATUS_OK, ""),
    409: (pb.SUB_STATUS_SNAPSHOT_MISSING, "snapshot_missing"),
    499: (pb.SUB_STATUS_CANCELLED, "cancelled"),
    503: (pb.SUB_STATUS_TARGET_SHED, "shed"),
    504: (pb.SUB_STATUS_DEADLINE, "target_deadline"),
}
# The statuses that a submit may have; any other is reported as FAILED, that is, outcome unknown.
# SNAPSHOT_MISSING is among them, since a target without the snapshot refuses a submit before it
# runs.
SUBMIT_STATUSES = (
    pb.SUB_STATUS_OK,
    pb.SUB_STATUS_NOT_RUN,
    pb.SUB_STATUS_TARGET_SHED,
    pb.SUB_STATUS_SNAPSHOT_MISSING,
)


class SearchResponse(msgspec.Struct):
    """The part of a target's JSON response that is copied into the reply."""

    snapshot: str = ""


SEARCH_RESPONSE_DECODER = msgspec.json.Decoder(SearchResponse)


class Outcome:
    """Result of one request to the target, and what it indicates about the target.

    `is_cold` is the response's cold flag, or None without a response. `is_unhealthy` is set if the
    target shed the request or a connection to it failed; it resets the limit to cold.
    `is_stalled` is set if the connection made no progress until its timeout.
    """

    __slots__ = ("status", "reason", "body", "snapshot", "is_cold", "is_unhealthy", "is_stalled")

    def __init__(
        self,
        status: int,
        reason: str = "",
        body: bytes = b"",
        snapshot: str = "",
        is_cold: bool | None = None,
        is_unhealthy: bool = False,
        is_stalled: bool = False,
    ) -> None:
        self.status = status
        self.reason = reason
        self.body = body
        self.snapshot = snapshot
        self.is_cold = is_cold
        self.is_unhealthy = is_unhealthy
        self.is_stalled = is_stalled


class Cancel:
    """Message: the entry process no longer needs the reply."""

    __slots__ = ("work",)

    def __init__(self, work: WorkItem) -> None:
        self.work = work


class StateChange:
    """Message: the fleet state has changed; a preceding `Retire` no longer holds."""

    __slots__ = ("view",)

    def __init__(self, view: FleetView) -> None:
        self.view = view


class Retire:
    """Message: refuse new and queued work, and end the task once nothing is in flight.

    `reason` is the code with which queued work is refused.
    """

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


Message = WorkItem | Cancel | StateChange | Retire


class TargetContext:
    """Objects and callbacks shared by all targets of the process.

    `on_start` and `on_finish` get the partition of a request that starts or finishes. `is_direct`
    is the baseline mode, in which targets are used without grants.
    """

    __slots__ = ("environment", "feed", "recorder", "is_direct", "on_start", "on_finish")

    def __init__(
        self,
        environment: Environment,
        feed: StateFeed,
        recorder: Recorder,
        on_start: Callable[[int], None],
        on_finish: Callable[[int], None],
    ) -> None:
        self.environment = environment
        self.feed = feed
        self.recorder = recorder
        self.is_direct = environment.settings.dispatch.direct_share_percent > 0
        self.on_start = on_start
        self.on_finish = on_finish


class Target:
    """State and behaviour of one target; `run` is its task, `post` adds to its inbox."""

    __slots__ = (
        "info",
        "context",
        "limit",
        "queue",
        "gate",
        "connections",
        "silent_after_s",
        "in_flight",
        "sent",
        "claim",
        "is_retired",
        "is_closed",
        "_inbox",
        "_wakeup",
        "_session",
        "_base_url",
        "_search_url",
        "_submit_url",
        "_tasks",
        "_pending_cancels",
        "_timeouts_by_ms",
        "_was_leaving",
        "_was_returning",
        "_mean_service_ns",
        "_sample_count",
        "_min_service_ns",
        "_loop",
        "_now_ns",
    )

    def __init__(self, info: TargetInfo, context: TargetContext) -> None:
        policy = get_limit_policy(context.feed.view)
        self.info = info
        self.context = context
        self.limit = make_limit(info.target, policy, context.environment)
        self.queue = WorkQueue()
        self.gate = FlushGate()
        self.connections = Connections(count_connections(info.target, policy))
        self.silent_after_s = context.environment.settings.dispatch.silent_after_ms / 1000
        # `sent` counts the requests in flight whose body is being or has been written.
        self.in_flight = 0
        self.sent = 0
        self.claim: Claim | None = None
        self.is_retired = False
        self.is_closed = False
        self._inbox: deque[Message] = deque()
        self._wakeup: asyncio.Future[None] | None = None
        self._session: ClientSession | None = None
        address = context.environment.resolve_address(info.target.address)
        self._base_url = URL(f"http://{address}")
        self._search_url = self._base_url / "search"
        self._submit_url = self._base_url / "submit"
        self._tasks: set[asyncio.Task] = set()
        self._pending_cancels: deque[WorkItem] = deque()
        self._timeouts_by_ms: dict[int, ClientTimeout] = {}
        self._was_leaving = False
        self._was_returning = False
        self._mean_service_ns = 0.0
        self._sample_count = 0
        self._min_service_ns = 0.0
        self._loop = asyncio.get_running_loop()
        self._now_ns = context.environment.now_ns
        self._apply(context.feed.view)

    def post(self, message: Message) -> None:
        """Add a message to the inbox; the task handles all that are there when it wakes up."""
        self._inbox.append(message)
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    async def run(self) -> None:
        """Handle messages until the target is retired and nothing is in flight."""
        try:
            while not (self.is_retired and not self.in_flight and not self._inbox):
                if not self._inbox:
                    self._wakeup = self._loop.create_future()
                    await self._wakeup
                while self._inbox:
                    self._handle(self._inbox.popleft())
                self._start_queued()
        finally:
            # The inbox is no longer read, so the next sub-request needs a new Target.
            self.is_closed = True
            await self._close()

    def _handle(self, message: Message) -> None:
        match message:
            case WorkItem():
                self._accept(message)
            case Cancel():
                self._cancel(message.work)
            case StateChange():
                self.is_retired = False
                self._apply(message.view)
            case Retire():
                self.is_retired = True
                self._refuse_queued(message.reason)

    async def _close(self) -> None:
        self._refuse_queued("not_owner")
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    def _apply(self, view: FleetView) -> None:
        info = view.targets_by_id.get(self.info.target.id)
        if info is not None:
            self.info = info
        self._apply_policy(view)
        self._apply_grant(view)
        self._apply_marks(view)
        self._trim_queue()

    def _apply_policy(self, view: FleetView) -> None:
        policy = get_limit_policy(view)
        target = self.info.target
        self.limit.set_config(make_limit_config(target, policy, self.context.environment))
        self.connections.set_cap(count_connections(target, policy))

    def _apply_grant(self, view: FleetView) -> None:
        if self.context.is_direct:
            self.claim = (0, 0)
            return
        grant = view.grants_by_partition.get(self.info.partition)
        claim = None if grant is None else (grant.term, grant.transfer)
        if claim != self.claim:
            self.claim = claim
            # Another holder may have sent to the target in between, so the limit may not be valid.
            self.limit.reset_to_cold()
            self._refuse_queued("not_owner")
        if grant is not None:
            self.limit.set_reserve(grant.reserve)

    def _apply_marks(self, view: FleetView) -> None:
        is_leaving = view.is_leaving(self.info.target)
        is_returning = view.is_returning(self.info.target)
        if is_leaving and not self._was_leaving:
            self._refuse_queued("leaving")
        if (is_leaving and not self._was_leaving) or (is_returning and not self._was_returning):
            self.limit.reset_to_cold()
        self._was_leaving = is_leaving
        self._was_returning = is_returning

    def find_refusal(self, work: WorkItem) -> str:
        """Return the reason code why the work must not be sent now, or an empty string.

        The check reads the feed's newest view, which the task may not have applied yet.
        """
        if work.is_replied:
            return "cancelled"
        view = self.context.feed.view
        now_ns = self._now_ns()
        if not self.context.is_direct:
            grant = view.grants_by_partition.get(self.info.partition)
            if grant is None or (grant.term, grant.transfer) != work.claim:
                return "not_owner"
        if now_ns >= view.lease_until_ns:
            return "not_current"
        if view.is_leaving(self.info.target):
            return "leaving"
        if now_ns + self._min_service_ns >= work.deadline_ns:
            self._min_service_ns *= MIN_SERVICE_DECAY
            return "deadline"
        return ""

    def has_room_to_send(self) -> bool:
        """Return whether the current limit permits one more request at the target."""
        return self.sent < self.limit.current

    def count_sent(self) -> None:
        """Count a request whose body is about to be written."""
        self.sent += 1

    def remaining_ms(self, work: WorkItem) -> int:
        """Return the whole milliseconds until the work's deadline, at least 1."""
        return max((work.deadline_ns - self._now_ns()) // NS_PER_MS, 1)

    def _accept(self, work: WorkItem) -> None:
        if work.is_replied:
            return
        refusal = "not_owner" if self.is_retired else self.find_refusal(work)
        refusal = refusal or self._find_queue_refusal(work)
        if refusal:
            self._reply(work, NOT_RUN, refusal)
            return
        if self._has_room() and not self.queue.length:
            self._set_timer(work, work.deadline_ns)
            self._start(work)
        else:
            # More urgent work that arrives later can prolong the wait beyond the estimate, so that
            # max_queue_ms is also enforced by a timer.
            max_queue_ns = work.policy.max_queue_ms * NS_PER_MS
            self._set_timer(work, min(work.deadline_ns, work.accepted_ns + max_queue_ns))
            self.queue.push(work)

    def _set_timer(self, work: WorkItem, at_ns: int) -> None:
        if work.timer is not None:
            work.timer.cancel()
        delay_s = (at_ns - self._now_ns()) / NS_PER_S
        work.timer = self._loop.call_later(delay_s, self._expire, work)

    def _has_room(self) -> bool:
        return self.in_flight < self.limit.current and self.connections.available > 0

    def _find_queue_refusal(self, work: WorkItem) -> str:
        """Return "queue_full" if the work would wait too long in the queue, or an empty string.

        The estimated wait must not exceed the class's `max_queue_ms`, and must leave the shortest
        service time before the deadline.
        """
        limit = self.limit.current
        if not limit:
            return "queue_full"
        if self.in_flight < limit and not self.queue.length:
            return ""
        ahead_count = self.queue.count_ahead(work.policy.priority)
        wait_ns = (self._mean_service_ns or INITIAL_SERVICE_NS) * (ahead_count + 1) / limit
        remaining_ns = work.deadline_ns - self._now_ns() - self._min_service_ns
        if wait_ns > min(work.policy.max_queue_ms * NS_PER_MS, remaining_ns):
            return "queue_full"
        return ""

    def _trim_queue(self) -> None:
        """Refuse queued work whose expected wait is too long under the current limit."""
        for work in self.queue.take_all():
            refusal = self._find_queue_refusal(work)
            if refusal:
                self._reply(work, NOT_RUN, refusal)
            else:
                self.queue.push(work)

    def _refuse_queued(self, reason: str) -> None:
        for work in self.queue.take_all():
            self._reply(work, NOT_RUN, reason)

    def _start_queued(self) -> None:
        while self._pending_cancels and self.connections.available > 0:
            self._spawn(self._send_cancel(self._pending_cancels.popleft()))
        while self.queue.length and self._has_room():
            work = self.queue.pop()
            if work is None:
                return
            refusal = self.find_refusal(work)
            if refusal:
                self._reply(work, NOT_RUN, refusal)
            else:
                self._set_timer(work, work.deadline_ns)
                self._start(work)

    def _expire(self, work: WorkItem) -> None:
        if work.state is WorkState.QUEUED:
            self.queue.mark_removed(work)
            is_past_deadline = self._now_ns() >= work.deadline_ns
            self._reply(work, NOT_RUN, "deadline" if is_past_deadline else "queue_full")
        elif work.fenced_body is None or not work.fenced_body.has_started_writing:
            # Not sent later either: `find_refusal` refuses work that has been replied to.
            self._reply(work, NOT_RUN, "deadline")
        else:
            self._record_service_time(self._now_ns() - work.started_ns)
            self._reply(work, pb.SUB_STATUS_DEADLINE, "deadline")

    def _cancel(self, work: WorkItem) -> None:
        if work.is_replied:
            return
        if work.state is WorkState.QUEUED:
            self.queue.mark_removed(work)
            self._reply(work, NOT_RUN, "cancelled")
        elif work.fenced_body is None or not work.fenced_body.has_started_writing:
            self._reply(work, NOT_RUN, "cancelled")
        elif not work.is_submit:
            # A submit that has been sent is not cancelled: its outcome is needed in any case.
            self._pending_cancels.append(work)
            self._reply(work, pb.SUB_STATUS_CANCELLED, "cancelled")

    def _spawn(self, coroutine) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start(self, work: WorkItem) -> None:
        work.state = WorkState.RUNNING
        work.started_ns = self._now_ns()
        self.in_flight += 1
        self.connections.acquire()
        self.context.on_start(self.info.partition)
        self._spawn(self._send_and_reply(work, self.info.partition, self.limit.epoch))

    async def _send_and_reply(self, work: WorkItem, partition: int, epoch: int) -> None:
        outcome = Outcome(pb.SUB_STATUS_FAILED, "interrupted")
        try:
            outcome = await self._send(work)
        finally:
            self.connections.release()
            self._record_outcome(work, outcome, epoch)
            if (
                not (work.fenced_body and work.fenced_body.has_started_writing)
                and outcome.status != NOT_RUN
            ):
                outcome = Outcome(NOT_RUN, outcome.reason)
            if outcome.reason == CONNECTION_LOST:
                # The target may keep running the request until its deadline.
                remaining_s = (work.deadline_ns - self._now_ns()) / NS_PER_S
                self._loop.call_later(remaining_s, self._finish, work, partition)
            else:
                self._finish(work, partition)
            self._reply_or_requeue(work, outcome)

    def _reply_or_requeue(self, work: WorkItem, outcome: Outcome) -> None:
        """Requeue work if the limit dropped before its body was written; else reply to it."""
        if outcome.reason == OVER_LIMIT and not (work.is_replied or self.is_retired):
            self.queue.push(work)
            self._start_queued()
        else:
            self._reply(work, outcome.status, outcome.reason, outcome.body, outcome.snapshot)

    def _finish(self, work: WorkItem, partition: int) -> None:
        work.state = WorkState.DONE
        self.in_flight -= 1
        if work.fenced_body and work.fenced_body.has_started_writing:
            self.sent -= 1
        self.context.on_finish(partition)
        self._start_queued()
        if self.is_retired and not self.in_flight and self._wakeup and not self._wakeup.done():
            self._wakeup.set_result(None)

    def _record_outcome(self, work: WorkItem, outcome: Outcome, epoch: int) -> None:
        previous_limit = self.limit.current
        if outcome.is_stalled:
            self.connections.abandon()
            half_open_s = self.context.environment.settings.dispatch.half_open_ms / 1000
            self._loop.call_later(half_open_s, self._expire_half_open)
        if outcome.is_unhealthy:
            self.limit.reset_to_cold()
        elif outcome.is_cold is not None:
            self.limit.on_response(outcome.is_cold, epoch)
        if outcome.status == pb.SUB_STATUS_OK:
            self._record_service_time(self._now_ns() - work.started_ns)
        if self.limit.current < previous_limit:
            self._trim_queue()

    def _on_connection_lost(self, by_target: bool, remaining: int) -> None:
        """Reset the limit to cold if the target closed a connection, or if the last one is closed.

        A target closes its connections when it restarts. With no connection open and nothing in
        flight, a restart would go unnoticed, so the target counts as cold. A connection that was
        closed because it stalled (half-open) is not counted against the target here.
        """
        if by_target or not (remaining or self.in_flight or self.connections.half_open):
            self.limit.reset_to_cold()

    def _expire_half_open(self) -> None:
        self.connections.expire()
        self._start_queued()

    def _record_service_time(self, elapsed_ns: int) -> None:
        if not self._mean_service_ns:
            self._mean_service_ns = self._min_service_ns = elapsed_ns
            self._sample_count = 1
            return
        self._sample_count += 1
        weight = max(SERVICE_TIME_WEIGHT, 1 / self._sample_count)
        self._mean_service_ns += (elapsed_ns - self._mean_service_ns) * weight
        if elapsed_ns < self._min_service_ns:
            self._min_service_ns = elapsed_ns
        else:
            self._min_service_ns += (elapsed_ns - self._min_service_ns) * MIN_SERVICE_RISE

    async def _send(self, work: WorkItem) -> Outcome:
        body = make_body(work.request)
        headers = {
            "Request-Id": work.target_request_id,
            "Snapshot": work.request.snapshot,
            "Accept-Encoding": "identity",
        }
        url = self._search_url
        if work.is_submit:
            url = self._submit_url
            headers["Request-Key"] = work.request.once_key
        for _ in range(MAX_SEND_ATTEMPTS):
            outcome = await self._send_once(work, url, headers, body)
            if work.fenced_body.has_started_writing or outcome.reason != CONNECTION_CLOSED:
                return outcome
        return Outcome(NOT_RUN, CONNECTION_CLOSED, is_unhealthy=True)

    async def _send_once(self, work: WorkItem, url: URL, headers: dict, body: bytes) -> Outcome:
        fenced_body = work.fenced_body = FencedBody(body, self, work)
        try:
            response = await self._get_session().post(
                url,
                data=fenced_body,
                headers=headers,
                timeout=self._get_timeout(work),
                allow_redirects=False,
            )
            response_body = await response.read()
        except ConnectionTimeoutError:
            return Outcome(NOT_RUN, "connect_timeout", is_unhealthy=True)
        except SocketTimeoutError:
            return Outcome(pb.SUB_STATUS_DEADLINE, "silent", is_stalled=True)
        except ClientConnectorError:
            return Outcome(NOT_RUN, "connect_failed", is_unhealthy=True)
        except (ClientError, OSError, ValueError) as error:
            return self._classify_connection_error(fenced_body, error)
        return make_outcome(work, response, response_body)

    def _classify_connection_error(self, fenced_body: FencedBody, error: Exception) -> Outcome:
        if fenced_body.has_started_writing:
            return Outcome(pb.SUB_STATUS_FAILED, CONNECTION_LOST, is_unhealthy=True)
        if isinstance(error, ValueError):
            # aiohttp raises ValueError for a header value with a line break.
            return Outcome(NOT_RUN, "invalid")
        return Outcome(NOT_RUN, fenced_body.refusal or CONNECTION_CLOSED)

    async def _send_cancel(self, work: WorkItem) -> None:
        if work.state is WorkState.DONE:
            return
        self.connections.acquire()
        url = self._base_url / "requests" / work.target_request_id
        try:
            response = await self._get_session().delete(url, timeout=self._get_timeout(work))
            await response.read()
        except SocketTimeoutError:
            self._record_outcome(work, Outcome(NOT_RUN, is_stalled=True), self.limit.epoch)
        except (ClientError, OSError):
            # If the cancellation does not reach the target, its own deadline ends the request.
            pass
        finally:
            self.connections.release()
            self._start_queued()

    def _get_session(self) -> ClientSession:
        if self._session is None or self._session.closed:
            self._session = ClientSession(
                connector=WatchedConnector(self._on_connection_lost),
                cookie_jar=DummyCookieJar(),
                request_class=FencedRequest,
            )
        return self._session

    def _get_timeout(self, work: WorkItem) -> ClientTimeout:
        """Return timeouts that close a connection only without progress and past the deadline.

        The read timeout is the remaining time of the work, at least `silent_after_ms`.
        """
        settings = self.context.environment.settings.dispatch
        read_ms = max(self.remaining_ms(work) + 1, settings.silent_after_ms)
        read_ms += -read_ms % TIMEOUT_STEP_MS
        timeout = self._timeouts_by_ms.get(read_ms)
        if timeout is None:
            timeout = ClientTimeout(
                total=None,
                sock_connect=settings.connect_timeout_ms / 1000,
                sock_read=read_ms / 1000,
            )
            self._timeouts_by_ms[read_ms] = timeout
        return timeout

    def _reply(
        self,
        work: WorkItem,
        status: int,
        reason: str,
        body: bytes = b"",
        snapshot: str = "",
    ) -> None:
        if work.is_replied:
            return
        work.is_replied = True
        if work.timer is not None:
            work.timer.cancel()
        if work.is_submit and status not in SUBMIT_STATUSES:
            status = pb.SUB_STATUS_FAILED
        now_ns = self._now_ns()
        started_ns = work.started_ns or now_ns
        queue_us = (started_ns - work.accepted_ns) // NS_PER_US
        target_us = (now_ns - started_ns) // NS_PER_US
        work.sink.work_by_id.pop(work.request.id, None)
        work.sink.post(
            pb.SubReply(
                id=work.request.id,
                status=status,
                reason=reason,
                body=body,
                snapshot=snapshot,
                queue_length=self.queue.length,
                in_flight=self.in_flight,
                limit=self.limit.current,
                queue_us=queue_us,
                target_us=target_us,
            )
        )
        self.context.recorder.record(Trace(work.request, status, reason, queue_us, target_us))


def make_body(request: pb.SubRequest) -> bytes:
    """Return the JSON request body; the payload is the caller's query as JSON text."""
    return b'{"low":%d,"high":%d,"query":%b}' % (
        request.low,
        request.high,
        request.payload or b"null",
    )


def make_outcome(work: WorkItem, response: ClientResponse, response_body: bytes) -> Outcome:
    """Translate a target's complete HTTP response."""
    status, reason = STATUS_BY_HTTP_STATUS.get(
        response.status,
        (pb.SUB_STATUS_FAILED, f"http_{response.status}"),
    )
    # A response without the cold flag does not show that the target is warm, so it counts as cold.
    is_cold = response.headers.get(COLD_HEADER) != "0"
    is_shed = status == pb.SUB_STATUS_TARGET_SHED
    snapshot = ""
    if status == pb.SUB_STATUS_OK:
        try:
            snapshot = SEARCH_RESPONSE_DECODER.decode(response_body).snapshot
        except msgspec.DecodeError:
            if not work.is_submit:
                status, reason = pb.SUB_STATUS_FAILED, "malformed_answer"
    return Outcome(status, reason, response_body, snapshot, is_cold=is_cold, is_unhealthy=is_shed)


def get_limit_policy(view: FleetView) -> LimitPolicy:
    """Return the limits of the preset in force, or the defaults if there is none."""
    return LimitPolicy() if view.preset is None else view.preset.limits


def make_limit_config(
    target: pb.Target, policy: LimitPolicy, environment: Environment
) -> LimitConfig:
    """Return the configuration of a target's limit.

    The warm limit is the preset's share of the target's slots, or the baseline mode's fixed share.
    """
    share = environment.settings.dispatch.direct_share_percent or policy.slot_percent
    return LimitConfig(
        cold_limit=target.cold_limit,
        warm_limit=target.slots * share // 100,
        cold_successes=policy.cold_successes,
    )


def make_limit(target: pb.Target, policy: LimitPolicy, environment: Environment) -> Limit:
    """Return the initial limit of a target; fixed in the baseline mode."""
    config = make_limit_config(target, policy, environment)
    is_direct = environment.settings.dispatch.direct_share_percent > 0
    return FixedLimit(config) if is_direct else Limit(config)


def count_connections(target: pb.Target, policy: LimitPolicy) -> int:
    """Return the number of a target's connections that may be used under the preset."""
    return target.connections * policy.connection_percent // 100
