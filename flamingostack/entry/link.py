"""Links to dispatch processes: one long-lived stream for each, shared by all queries.

Everything runs on one event loop, and each link belongs to one task. `send` and `cancel` only add
to the next batch and never call back, so a query may call them while it handles a reply.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterable
from typing import Protocol

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ..environment import Environment
from ..generated import messages_pb2 as pb
from ..generated.messages_grpc import DispatchStub
from ..settings import split_address
from ..state import PROTOCOL, FleetView
from .replicas import Route

RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 1.0
MS_PER_S = 1000
# Interval between the progress checks, each of which covers all links.
PROGRESS_CHECK_INTERVAL_S = 0.05
# While sub-requests are in flight, a link that receives nothing for PROBE_AFTER_S gets a probe, and
# one without a reply to the probe for SUSPECT_AFTER_S is avoided. The connection is closed only
# after `silent_after_ms` without data.
PROBE_AFTER_S = 0.05
SUSPECT_AFTER_S = 0.15

NO_CONNECTION = "no_connection"
LINK_LOST = "link_lost"


class Receiver(Protocol):
    """Receives exactly one reply for each of its attempts, unless it cancels the attempt."""

    def on_reply(self, attempt: Attempt, reply: pb.SubReply, now: float) -> None:
        """Handle the reply; link failures arrive as replies with status NOT_RUN or FAILED."""


class Attempt:
    """One send of a sub-request to one target.

    `id` is unique in this process, and 0 until the attempt is sent. `is_budgeted` means that the
    attempt took a token of the budget for hedges and retries.
    """

    __slots__ = ("id", "receiver", "part", "route", "link", "sent_at", "is_budgeted", "trace_index")

    def __init__(
        self,
        receiver: Receiver,
        route: Route,
        part: object = None,
        is_budgeted: bool = False,
    ) -> None:
        self.id = 0
        self.receiver = receiver
        self.part = part
        self.route = route
        self.link: Link | None = None
        self.sent_at = 0.0
        self.is_budgeted = is_budgeted
        self.trace_index = 0


class ProbeReceiver:
    """Ignores the reply to a probe: the link has recorded that data arrived."""

    def on_reply(self, attempt: Attempt, reply: pb.SubReply, now: float) -> None:
        """Do nothing."""


class Link:
    """The stream to one dispatch process, reconnected after each failure.

    A reply whose id is unknown or finished is dropped, so a late reply reaches no query.
    """

    __slots__ = (
        "address",
        "environment",
        "attempts_by_id",
        "late_replies",
        "breaks",
        "_ids",
        "_loop",
        "_batch",
        "_batch_ready",
        "_can_send",
        "_is_connected",
        "_silence_detected",
        "_last_received_at",
        "_in_flight_since",
        "_probe",
    )

    def __init__(
        self,
        address: str,
        environment: Environment,
        ids: itertools.count,
    ) -> None:
        self.address = address
        self.environment = environment
        self.attempts_by_id: dict[int, Attempt] = {}
        self.late_replies = 0
        self.breaks = 0
        self._ids = ids
        self._loop = asyncio.get_running_loop()
        self._batch = self._make_batch()
        self._batch_ready = asyncio.Event()
        # True at first: sub-requests are queued unless the first connection attempt fails.
        self._can_send = True
        self._is_connected = False
        self._silence_detected = asyncio.Event()
        self._last_received_at = 0.0
        self._in_flight_since = 0.0
        self._probe: Attempt | None = None

    def send(self, attempt: Attempt, request: pb.SubRequest, now: float) -> None:
        """Add a copy of `request`, with an id of its own, to the next batch.

        While the link is down, the attempt gets the reply NOT_RUN instead.
        """
        attempt.link = self
        attempt.sent_at = now
        attempt.id = next(self._ids)
        if not self.attempts_by_id:
            self._in_flight_since = now
        self.attempts_by_id[attempt.id] = attempt
        if not self._can_send:
            self._loop.call_soon(self._reject_unsent, attempt)
            return
        request.id = attempt.id
        self._batch.requests.append(request)
        self._batch_ready.set()

    def cancel(self, attempt: Attempt) -> None:
        """Drop an attempt and cancel it at the dispatch process; no reply is delivered."""
        attempt.link = None
        if self.attempts_by_id.pop(attempt.id, None) is not None and self._can_send:
            self._batch.cancels.append(attempt.id)
            self._batch_ready.set()

    def check_progress(self, now: float, is_stalled: bool) -> bool:
        """Return whether the link is usable, and send a probe if needed; called periodically.

        A link is not usable while it is down, or if sub-requests are in flight and nothing
        arrives, not even the reply to a probe. Slow targets alone also leave a stream without
        data, but a probe is a sub-request without a target, which dispatch refuses at once.
        `is_stalled` means that this process did not run for a while, so that replies may not
        have been read yet.
        """
        if is_stalled:
            self._last_received_at = now
        if not self._is_connected or not self.attempts_by_id:
            return self._can_send
        silence_s = now - max(self._last_received_at, self._in_flight_since)
        if silence_s < PROBE_AFTER_S:
            return True
        silent_after_ms = self.environment.settings.dispatch.silent_after_ms
        if silence_s * MS_PER_S > silent_after_ms:
            self._silence_detected.set()
            return False
        if self._probe is None or self._probe.id not in self.attempts_by_id:
            self._probe = Attempt(ProbeReceiver(), route=None)
            self.send(self._probe, pb.SubRequest(deadline_ms=silent_after_ms), now)
        return now - self._probe.sent_at < SUSPECT_AFTER_S

    async def run(self) -> None:
        """Keep the stream connected until cancelled."""
        delay = RECONNECT_MIN_S
        try:
            while True:
                connected_at = self._loop.time()
                reason = await self._connect_and_exchange()
                self._handle_disconnect(reason)
                if self._loop.time() - connected_at > RECONNECT_MAX_S:
                    delay = RECONNECT_MIN_S
                await asyncio.sleep(delay)
                delay = min(delay * 2, RECONNECT_MAX_S)
        finally:
            self._handle_disconnect("closed")

    async def _connect_and_exchange(self) -> str:
        host, port = split_address(self.environment.resolve_address(self.address))
        channel = Channel(host, port)
        try:
            async with DispatchStub(channel).Exchange.open() as stream:
                timeout_ms = self.environment.settings.dispatch.connect_timeout_ms
                async with asyncio.timeout(timeout_ms / MS_PER_S):
                    await stream.send_request()
                self._can_send = True
                self._is_connected = True
                self._silence_detected.clear()
                self._probe = None
                self._last_received_at = self._loop.time()
                return await self._exchange(stream, channel)
        except (TimeoutError, OSError, GRPCError, StreamTerminatedError) as error:
            return repr(error)
        finally:
            channel.close()

    async def _exchange(self, stream, channel: Channel) -> str:
        tasks = [
            asyncio.create_task(self._read(stream)),
            asyncio.create_task(self._write(stream)),
            asyncio.create_task(self._silence_detected.wait()),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            error = next(iter(done)).exception()
            return repr(error) if error else "the stream ended or went silent"
        finally:
            # Queries use other replicas before the connection is closed, which may take long if
            # the peer does not respond.
            self._handle_disconnect(LINK_LOST)
            channel.close()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _read(self, stream) -> None:
        async for batch in stream:
            now = self._last_received_at = self._loop.time()
            for reply in batch.replies:
                attempt = self.attempts_by_id.pop(reply.id, None)
                if attempt is None:
                    self.late_replies += 1
                else:
                    self._deliver(attempt, reply, now)

    async def _write(self, stream) -> None:
        while True:
            await self._batch_ready.wait()
            self._batch_ready.clear()
            batch, self._batch = self._batch, self._make_batch()
            await stream.send_message(batch)

    def _handle_disconnect(self, reason: str) -> None:
        """Fail all attempts in flight; those that were not handed to the stream did not run."""
        if self._can_send:
            self.breaks += 1
            self.environment.log.warning(
                "dispatch_link_lost",
                address=self.address,
                reason=reason,
                in_flight=len(self.attempts_by_id),
            )
        was_down = not self._can_send
        self._can_send = False
        self._is_connected = False
        unsent = {request.id for request in self._batch.requests}
        self._batch = self._make_batch()
        self._batch_ready.clear()
        attempts, self.attempts_by_id = self.attempts_by_id, {}
        for attempt in attempts.values():
            if attempt.link is None:
                # Cancelled by a query that ended when another of its attempts failed.
                continue
            if was_down or attempt.id in unsent:
                self._fail(attempt, pb.SUB_STATUS_NOT_RUN, NO_CONNECTION)
            else:
                self._fail(attempt, pb.SUB_STATUS_FAILED, LINK_LOST)

    def _reject_unsent(self, attempt: Attempt) -> None:
        if self.attempts_by_id.pop(attempt.id, None) is not None:
            self._fail(attempt, pb.SUB_STATUS_NOT_RUN, NO_CONNECTION)

    def _fail(self, attempt: Attempt, status: int, reason: str) -> None:
        reply = pb.SubReply(id=attempt.id, status=status, reason=reason)
        self._deliver(attempt, reply, self._loop.time())

    def _deliver(self, attempt: Attempt, reply: pb.SubReply, now: float) -> None:
        try:
            attempt.receiver.on_reply(attempt, reply, now)
        except Exception:
            # An error in one query must not end the stream that all queries share.
            self.environment.log.exception("reply_not_handled", address=self.address)

    def _make_batch(self) -> pb.EntryBatch:
        return pb.EntryBatch(protocol=PROTOCOL, sender=self.environment.incarnation)


class Links:
    """All links of this process, by the advertised address of the dispatch process."""

    __slots__ = (
        "environment",
        "links_by_address",
        "unusable_addresses",
        "_tasks_by_address",
        "_ids",
        "_progress_task",
    )

    def __init__(self, environment: Environment) -> None:
        self.environment = environment
        self.links_by_address: dict[str, Link] = {}
        # Addresses whose link is not usable; replicas behind other links are preferred.
        self.unusable_addresses: set[str] = set()
        self._tasks_by_address: dict[str, asyncio.Task] = {}
        self._ids = itertools.count(1)
        self._progress_task = asyncio.create_task(self._check_all_progress())

    def get(self, address: str) -> Link:
        """Return the link to an address; the first call for an address starts to connect."""
        link = self.links_by_address.get(address)
        if link is None:
            link = Link(address, self.environment, self._ids)
            self.links_by_address[address] = link
            self._tasks_by_address[address] = asyncio.create_task(link.run())
        return link

    def apply(self, view: FleetView) -> None:
        """Connect to the owners in a view, and close idle links to processes that are not in it."""
        owners = set(self._owner_addresses(view))
        for address in owners:
            self.get(address)
        known = owners.union(
            *(member.dispatch_addresses for member in view.members_by_incarnation.values())
        )
        for address, link in list(self.links_by_address.items()):
            if address not in known and not link.attempts_by_id:
                self._tasks_by_address.pop(address).cancel()
                del self.links_by_address[address]
                self.unusable_addresses.discard(address)

    async def close(self) -> None:
        """Close all links."""
        tasks = [self._progress_task, *self._tasks_by_address.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.links_by_address.clear()
        self._tasks_by_address.clear()

    async def _check_all_progress(self) -> None:
        loop = asyncio.get_running_loop()
        checked_at = loop.time()
        while True:
            await asyncio.sleep(PROGRESS_CHECK_INTERVAL_S)
            now = loop.time()
            is_stalled = now - checked_at > 2 * PROGRESS_CHECK_INTERVAL_S
            checked_at = now
            for address, link in self.links_by_address.items():
                if link.check_progress(now, is_stalled):
                    self.unusable_addresses.discard(address)
                else:
                    self.unusable_addresses.add(address)

    @staticmethod
    def _owner_addresses(view: FleetView) -> Iterable[str]:
        for partition in view.partitions_by_number.values():
            yield from partition.holder.dispatch_addresses
