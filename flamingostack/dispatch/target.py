"""One target: its queue, limit, connections and the requests it runs."""

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
# A connection that closes before the body is written costs nothing at the target, so the request
# may be sent on another one; more than this many in a row are the target's fault.
MAX_SENDS = 3
# Read timeouts are rounded up to this, so that few distinct timeout objects are needed.
TIMEOUT_STEP_MS = 100
# Weight of a new sample in the mean time that the target takes; the first ones weigh more, since
# the very first includes the new connection.
SERVICE_TIME_WEIGHT = 0.1
# Assumed before the first answer, so that a new target's queue is bounded as well.
FIRST_SERVICE_NS = 20 * NS_PER_MS
# The shortest service time rises by this share of the difference to each longer sample, and falls
# by a tenth with each refusal that is based on it, so that a slow phase cannot refuse for ever.
SHORTEST_RISE = 0.02
SHORTEST_FALL = 0.9

NOT_RUN = pb.SUB_STATUS_NOT_RUN
STATUS_BY_HTTP_STATUS = {
    200: (pb.SUB_STATUS_OK, ""),
    409: (pb.SUB_STATUS_SNAPSHOT_MISSING, "snapshot_missing"),
    499: (pb.SUB_STATUS_CANCELLED, "cancelled"),
    503: (pb.SUB_STATUS_TARGET_SHED, "shed"),
    504: (pb.SUB_STATUS_DEADLINE, "target_deadline"),
}
# A target that lacks the snapshot refuses a submit before it runs.
SUBMIT_STATUSES = (
    pb.SUB_STATUS_OK,
    pb.SUB_STATUS_NOT_RUN,
    pb.SUB_STATUS_TARGET_SHED,
    pb.SUB_STATUS_SNAPSHOT_MISSING,
)


class SearchAnswer(msgspec.Struct):
    """The part of a target's answer that a reply repeats."""

    snapshot: str = ""


SEARCH_ANSWER_DECODER = msgspec.json.Decoder(SearchAnswer)


class Outcome:
    """What became of one send, and what it says about the target."""

    __slots__ = ("status", "reason", "body", "snapshot", "is_cold", "is_trouble", "is_silent")

    def __init__(
        self,
        status: int,
        reason: str = "",
        body: bytes = b"",
        snapshot: str = "",
        is_cold: bool | None = None,
        is_trouble: bool = False,
        is_silent: bool = False,
    ) -> None:
        self.status = status
        self.reason = reason
        self.body = body
        self.snapshot = snapshot
        self.is_cold = is_cold
        self.is_trouble = is_trouble
        self.is_silent = is_silent


class Cancel:
    """Message: the entry process no longer wants the answer."""

    __slots__ = ("work",)

    def __init__(self, work: WorkItem) -> None:
        self.work = work


class StateChange:
    """Message: the fleet state has changed."""

    __slots__ = ("view",)

    def __init__(self, view: FleetView) -> None:
        self.view = view


class Retire:
    """Message: the target gets nothing new and ends once nothing is in flight."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


Message = WorkItem | Cancel | StateChange | Retire


class TargetContext:
    """What all targets of the process share."""

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
    """Owner of everything about one target; `run` is its task and `post` its inbox."""

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
        "_wake",
        "_session",
        "_base_url",
        "_search_url",
        "_submit_url",
        "_tasks",
        "_cancels",
        "_timeouts_by_ms",
        "_was_leaving",
        "_was_returning",
        "_mean_ns",
        "_samples",
        "_shortest_ns",
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
        # `sent` counts those of the requests in flight whose body was written.
        self.in_flight = 0
        self.sent = 0
        self.claim: Claim | None = None
        self.is_retired = False
        self.is_closed = False
        self._inbox: deque[Message] = deque()
        self._wake: asyncio.Future[None] | None = None
        self._session: ClientSession | None = None
        address = context.environment.connect_address(info.target.address)
        self._base_url = URL(f"http://{address}")
        self._search_url = self._base_url / "search"
        self._submit_url = self._base_url / "submit"
        self._tasks: set[asyncio.Task] = set()
        self._cancels: deque[WorkItem] = deque()
        self._timeouts_by_ms: dict[int, ClientTimeout] = {}
        self._was_leaving = False
        self._was_returning = False
        self._mean_ns = 0.0
        self._samples = 0
        self._shortest_ns = 0.0
        self._loop = asyncio.get_running_loop()
        self._now_ns = context.environment.now_ns
        self._apply(context.feed.view)

    # ---- Messages -------------------------------------------------------------------------

    def post(self, message: Message) -> None:
        """Put a message into the inbox; all that arrive in one iteration are handled together."""
        self._inbox.append(message)
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    async def run(self) -> None:
        """Handle messages until the target is retired and nothing is in flight."""
        try:
            while not (self.is_retired and not self.in_flight and not self._inbox):
                if not self._inbox:
                    self._wake = self._loop.create_future()
                    await self._wake
                while self._inbox:
                    self._handle(self._inbox.popleft())
                self._start_waiting()
        finally:
            # From here on the inbox is not read: the next sub-request needs a new task.
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
                self._refuse_queue(message.reason)

    async def _close(self) -> None:
        self._refuse_queue("not_owner")
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    # ---- Fleet state ----------------------------------------------------------------------

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
            # Somebody else may have sent in between, so what was learnt no longer holds.
            self.limit.reset_to_cold()
            self._refuse_queue("not_owner")
        if grant is not None:
            self.limit.set_reserve(grant.reserve)

    def _apply_marks(self, view: FleetView) -> None:
        is_leaving = view.is_leaving(self.info.target)
        is_returning = view.is_returning(self.info.target)
        if is_leaving and not self._was_leaving:
            self._refuse_queue("leaving")
        if (is_leaving and not self._was_leaving) or (is_returning and not self._was_returning):
            self.limit.reset_to_cold()
        self._was_leaving = is_leaving
        self._was_returning = is_returning

    def find_refusal(self, work: WorkItem) -> str:
        """Return why the work must not be sent now, or an empty string; reads the newest view."""
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
        if now_ns + self._shortest_ns >= work.deadline_ns:
            self._shortest_ns *= SHORTEST_FALL
            return "deadline"
        return ""

    def has_room_to_send(self) -> bool:
        """Tell whether one more request may be at the target under the present limit."""
        return self.sent < self.limit.current

    def count_sent(self) -> None:
        """Count a request whose body is written."""
        self.sent += 1

    def remaining_ms(self, work: WorkItem) -> int:
        """Return the whole milliseconds to the work's deadline, at least 1."""
        return max((work.deadline_ns - self._now_ns()) // NS_PER_MS, 1)

    # ---- Queue ----------------------------------------------------------------------------

    def _accept(self, work: WorkItem) -> None:
        if work.is_replied:
            return
        refusal = "not_owner" if self.is_retired else self.find_refusal(work)
        refusal = refusal or self._find_wait_refusal(work)
        if refusal:
            self._reply(work, NOT_RUN, refusal)
            return
        if self._has_room() and not self.queue.length:
            self._set_timer(work, work.deadline_ns)
            self._start(work)
        else:
            # Work of earlier priorities that arrives later can make the wait longer than expected.
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

    def _find_wait_refusal(self, work: WorkItem) -> str:
        limit = self.limit.current
        if not limit:
            return "queue_full"
        if self.in_flight < limit and not self.queue.length:
            return ""
        ahead = self.queue.count_ahead(work.policy.priority)
        wait_ns = (self._mean_ns or FIRST_SERVICE_NS) * (ahead + 1) / limit
        remaining_ns = work.deadline_ns - self._now_ns() - self._shortest_ns
        if wait_ns > min(work.policy.max_queue_ms * NS_PER_MS, remaining_ns):
            return "queue_full"
        return ""

    def _trim_queue(self) -> None:
        """Refuse at once what would wait too long now that the limit is lower."""
        for work in self.queue.take_all():
            refusal = self._find_wait_refusal(work)
            if refusal:
                self._reply(work, NOT_RUN, refusal)
            else:
                self.queue.push(work)

    def _refuse_queue(self, reason: str) -> None:
        for work in self.queue.take_all():
            self._reply(work, NOT_RUN, reason)

    def _start_waiting(self) -> None:
        while self._cancels and self.connections.available > 0:
            self._spawn(self._send_cancel(self._cancels.popleft()))
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
            is_over = self._now_ns() >= work.deadline_ns
            self._reply(work, NOT_RUN, "deadline" if is_over else "queue_full")
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
            # A submit that has been sent goes on: its outcome is wanted in any case.
            self._cancels.append(work)
            self._reply(work, pb.SUB_STATUS_CANCELLED, "cancelled")

    # ---- Sending --------------------------------------------------------------------------

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
        self._spawn(self._run_work(work, self.info.partition, self.limit.epoch))

    async def _run_work(self, work: WorkItem, partition: int, epoch: int) -> None:
        outcome = Outcome(pb.SUB_STATUS_FAILED, "interrupted")
        try:
            outcome = await self._send(work)
        finally:
            self.connections.release()
            self._learn(work, outcome, epoch)
            if (
                not (work.fenced_body and work.fenced_body.has_started_writing)
                and outcome.status != NOT_RUN
            ):
                outcome = Outcome(NOT_RUN, outcome.reason)
            if outcome.reason == CONNECTION_LOST:
                # The target may go on with the request until its deadline.
                remaining_s = (work.deadline_ns - self._now_ns()) / NS_PER_S
                self._loop.call_later(remaining_s, self._finish, work, partition)
            else:
                self._finish(work, partition)
            self._conclude(work, outcome)

    def _conclude(self, work: WorkItem, outcome: Outcome) -> None:
        if outcome.reason == OVER_LIMIT and not (work.is_replied or self.is_retired):
            self.queue.push(work)
            self._start_waiting()
        else:
            self._reply(work, outcome.status, outcome.reason, outcome.body, outcome.snapshot)

    def _finish(self, work: WorkItem, partition: int) -> None:
        work.state = WorkState.DONE
        self.in_flight -= 1
        if work.fenced_body and work.fenced_body.has_started_writing:
            self.sent -= 1
        self.context.on_finish(partition)
        self._start_waiting()
        if self.is_retired and not self.in_flight and self._wake and not self._wake.done():
            self._wake.set_result(None)

    def _learn(self, work: WorkItem, outcome: Outcome, epoch: int) -> None:
        known_limit = self.limit.current
        if outcome.is_silent:
            self.connections.abandon()
            half_open_s = self.context.environment.settings.dispatch.half_open_ms / 1000
            self._loop.call_later(half_open_s, self._expire_half_open)
        if outcome.is_trouble:
            self.limit.reset_to_cold()
        elif outcome.is_cold is not None:
            self.limit.on_response(outcome.is_cold, epoch)
        if outcome.status == pb.SUB_STATUS_OK:
            self._record_service_time(self._now_ns() - work.started_ns)
        if self.limit.current < known_limit:
            self._trim_queue()

    def _on_connection_lost(self, by_target: bool, remaining: int) -> None:
        """Count the target as cold if it closed a connection, as at a restart, or none is left.

        While nothing is in flight and no connection is open, a restart would go unnoticed. A
        connection that was closed since it went silent is not the target's fault.
        """
        if by_target or not (remaining or self.in_flight or self.connections.half_open):
            self.limit.reset_to_cold()

    def _expire_half_open(self) -> None:
        self.connections.expire()
        self._start_waiting()

    def _record_service_time(self, elapsed_ns: int) -> None:
        if not self._mean_ns:
            self._mean_ns = self._shortest_ns = elapsed_ns
            self._samples = 1
            return
        self._samples += 1
        weight = max(SERVICE_TIME_WEIGHT, 1 / self._samples)
        self._mean_ns += (elapsed_ns - self._mean_ns) * weight
        if elapsed_ns < self._shortest_ns:
            self._shortest_ns = elapsed_ns
        else:
            self._shortest_ns += (elapsed_ns - self._shortest_ns) * SHORTEST_RISE

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
        for _ in range(MAX_SENDS):
            outcome = await self._send_once(work, url, headers, body)
            if work.fenced_body.has_started_writing or outcome.reason != CONNECTION_CLOSED:
                return outcome
        return Outcome(NOT_RUN, CONNECTION_CLOSED, is_trouble=True)

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
            answer = await response.read()
        except ConnectionTimeoutError:
            return Outcome(NOT_RUN, "connect_timeout", is_trouble=True)
        except SocketTimeoutError:
            return Outcome(pb.SUB_STATUS_DEADLINE, "silent", is_silent=True)
        except ClientConnectorError:
            return Outcome(NOT_RUN, "connect_failed", is_trouble=True)
        except (ClientError, OSError, ValueError) as error:
            return self._explain_break(fenced_body, error)
        return make_outcome(work, response, answer)

    def _explain_break(self, fenced_body: FencedBody, error: Exception) -> Outcome:
        if fenced_body.has_started_writing:
            return Outcome(pb.SUB_STATUS_FAILED, CONNECTION_LOST, is_trouble=True)
        if isinstance(error, ValueError):
            # A header with a line break; the check is aiohttp's.
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
            self._learn(work, Outcome(NOT_RUN, is_silent=True), self.limit.epoch)
        except (ClientError, OSError):
            # The target's own deadline ends the work if the cancellation does not reach it.
            pass
        finally:
            self.connections.release()
            self._start_waiting()

    def _get_session(self) -> ClientSession:
        if self._session is None or self._session.closed:
            self._session = ClientSession(
                connector=WatchedConnector(self._on_connection_lost),
                cookie_jar=DummyCookieJar(),
                request_class=FencedRequest,
            )
        return self._session

    def _get_timeout(self, work: WorkItem) -> ClientTimeout:
        """Return timeouts under which only an overdue connection without progress is closed."""
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

    # ---- Replies --------------------------------------------------------------------------

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
    """Return the JSON body; the payload is the caller's query as JSON text."""
    return b'{"low":%d,"high":%d,"query":%b}' % (
        request.low,
        request.high,
        request.payload or b"null",
    )


def make_outcome(work: WorkItem, response: ClientResponse, answer: bytes) -> Outcome:
    """Translate a target's complete answer."""
    status, reason = STATUS_BY_HTTP_STATUS.get(
        response.status,
        (pb.SUB_STATUS_FAILED, f"http_{response.status}"),
    )
    # An answer without the flag says nothing about the target, which then counts as cold.
    is_cold = response.headers.get(COLD_HEADER) != "0"
    is_shed = status == pb.SUB_STATUS_TARGET_SHED
    snapshot = ""
    if status == pb.SUB_STATUS_OK:
        try:
            snapshot = SEARCH_ANSWER_DECODER.decode(answer).snapshot
        except msgspec.DecodeError:
            if not work.is_submit:
                status, reason = pb.SUB_STATUS_FAILED, "malformed_answer"
    return Outcome(status, reason, answer, snapshot, is_cold=is_cold, is_trouble=is_shed)


def get_limit_policy(view: FleetView) -> LimitPolicy:
    """Return the limits of the preset in force, or their defaults while there is none."""
    return LimitPolicy() if view.preset is None else view.preset.limits


def make_limit_config(
    target: pb.Target, policy: LimitPolicy, environment: Environment
) -> LimitConfig:
    """Return the bounds of a target's limit under a preset, or under the baseline's share."""
    share = environment.settings.dispatch.direct_share_percent or policy.slot_percent
    return LimitConfig(
        cold_limit=target.cold_limit,
        warm_limit=target.slots * share // 100,
        cold_successes=policy.cold_successes,
    )


def make_limit(target: pb.Target, policy: LimitPolicy, environment: Environment) -> Limit:
    """Return the limit of a target that nothing is known about."""
    config = make_limit_config(target, policy, environment)
    is_direct = environment.settings.dispatch.direct_share_percent > 0
    return FixedLimit(config) if is_direct else Limit(config)


def count_connections(target: pb.Target, policy: LimitPolicy) -> int:
    """Return how many of a target's connections may be used."""
    return target.connections * policy.connection_percent // 100
