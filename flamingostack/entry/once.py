"""Requests that must not be repeated: at most one run for each Idempotency-Key.

A record is created in the store before the request is sent. Of all attempts with one key, through
any instance, only the one that created the record sends the request.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import itertools
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from ..environment import Environment
from ..store import StoredObject, StoreFailure, StoreReason
from .budget import TokenBucket
from .refusals import EntryReason
from .single import SendKind, SendOutcome

RECORD_KEY_PREFIX = "once/"
WRITES_PER_SUBMIT = 2
MAX_CLAIM_TRIES = 5
# Failed deletes after which the caller is told that the outcome is unknown.
DELETE_TRIES_BEFORE_ANSWER = 2
BACKOFF_MIN_S = 0.02
BACKOFF_MAX_S = 2.0
# Longest wait at shutdown for records that the store does not accept; longer than its timeout.
SETTLE_TIMEOUT_S = 10.0


class StoreClient(Protocol):
    """The store operations that idempotency records need; see `flamingostack.store`."""

    async def get(self, key: str) -> StoredObject | StoreFailure:
        """Read an object."""

    async def create(self, key: str, value: bytes) -> int | StoreFailure:
        """Create an object that does not exist; return its version."""

    async def replace(self, key: str, value: bytes, version: int) -> int | StoreFailure:
        """Replace an object if it is at `version`; return its new version."""

    async def delete(self, key: str, version: int) -> int | StoreFailure:
        """Delete an object if it is at `version`."""


class IdempotencyRecord(msgspec.Struct):
    """The stored record of one key; unless it is finished, the request may have run or yet run."""

    attempt: str
    body_hash: str
    is_finished: bool = False
    outcome: msgspec.Raw = msgspec.Raw(b"null")


class SubmitAnswer:
    """The answer to the caller: the target's answer, or the reason why there is none."""

    __slots__ = ("reason", "message", "body", "is_recorded_earlier")

    def __init__(
        self,
        reason: EntryReason | None,
        message: str = "",
        body: bytes = b"null",
        is_recorded_earlier: bool = False,
    ) -> None:
        self.reason = reason
        self.message = message
        self.body = body
        self.is_recorded_earlier = is_recorded_earlier


class Submission:
    """One attempt to run the request of one key.

    All waiting happens in the store, in `send` and in `back_off`, which are passed in, so that a
    test can run every interleaving. `back_off` returns False if there must be no further try, as
    when the process ends. `answer` is called once; the record may be written or deleted after it.
    """

    __slots__ = (
        "store",
        "key",
        "attempt",
        "body_hash",
        "send",
        "back_off",
        "answer",
        "is_expired",
        "outcome",
        "_version",
        "_is_answered",
    )

    def __init__(
        self,
        store: StoreClient,
        key: str,
        attempt: str,
        body_hash: str,
        send: Callable[[], Awaitable[SendOutcome]],
        back_off: Callable[[int], Awaitable[bool]],
        answer: Callable[[SubmitAnswer], None],
    ) -> None:
        self.store = store
        self.key = key
        self.attempt = attempt
        self.body_hash = body_hash
        self.send = send
        self.back_off = back_off
        self.answer = answer
        # Set at the deadline; a request that has not been sent by then is never sent.
        self.is_expired = False
        self.outcome: SendOutcome | None = None
        self._version = 0
        self._is_answered = False

    async def run(self) -> None:
        """Create the record, send the request, answer the caller, and settle the record."""
        if not await self._claim():
            return
        if self.is_expired:
            self.outcome = SendOutcome(
                SendKind.NOT_RUN,
                reason=EntryReason.DEADLINE_EXPIRED,
                message="the deadline passed before the request was sent",
            )
        else:
            self.outcome = await self.send()
        match self.outcome.kind:
            case SendKind.RAN:
                await self._finish_ran(self.outcome.body)
            case SendKind.NOT_RUN:
                await self._finish_not_run(self.outcome)
            case SendKind.UNKNOWN:
                self._send_answer(SubmitAnswer(EntryReason.OUTCOME_UNKNOWN, self.outcome.message))

    def answer_at_deadline(self) -> SubmitAnswer:
        """Return the answer known at the deadline; a request not sent yet is never sent."""
        self.is_expired = True
        if self.outcome is not None and self.outcome.kind is SendKind.RAN:
            return SubmitAnswer(None, body=self.outcome.body)
        if not self._version:
            # Without a record, nothing was sent, and nothing will be.
            return SubmitAnswer(
                EntryReason.STORE_UNAVAILABLE,
                "the store did not answer before the deadline; this attempt was not sent",
            )
        return SubmitAnswer(
            EntryReason.OUTCOME_UNKNOWN,
            "the outcome is unknown at the deadline; repeat the request with the same key later",
        )

    async def _claim(self) -> bool:
        """Create the record; return False if the caller was answered instead."""
        value = self._encode(IdempotencyRecord(self.attempt, self.body_hash))
        may_exist = False
        for tries in range(MAX_CLAIM_TRIES):
            if self.is_expired:
                break
            created = await self.store.create(self.key, value)
            if isinstance(created, int):
                self._version = created
                return True
            match created.reason:
                case StoreReason.CONFLICT:
                    pass
                case StoreReason.OUTCOME_UNKNOWN:
                    may_exist = True
                case _:
                    break
            found = await self._read_back(is_conflict=created.reason is StoreReason.CONFLICT)
            if found is None:
                await self.back_off(tries)
                continue
            if found.attempt == self.attempt:
                return True
            self._send_answer(make_answer_from_record(found, self.body_hash))
            if may_exist and not found.attempt:
                await self._delete_own_record()
            return False
        self._send_answer(
            SubmitAnswer(
                EntryReason.STORE_UNAVAILABLE,
                "the store accepted no record of the request; this attempt was not sent",
            )
        )
        if may_exist:
            await self._delete_own_record()
        return False

    async def _read_back(self, is_conflict: bool) -> IdempotencyRecord | None:
        """Return the stored record, or None if there is none or it cannot be read.

        A conflict proves that there was a record, and the answer depends on whose it is. If it
        cannot be read then, it counts as another attempt's record without an outcome.
        """
        found = await self.store.get(self.key)
        if isinstance(found, StoredObject):
            record = decode_record(found.value)
            if record.attempt == self.attempt:
                self._version = found.version
            return record
        if is_conflict and found.reason is not StoreReason.NOT_FOUND:
            return IdempotencyRecord(attempt="", body_hash="")
        return None

    async def _delete_own_record(self) -> None:
        """Delete the record that a create with an unknown outcome may have left."""
        for tries in itertools.count():
            found = await self.store.get(self.key)
            if isinstance(found, StoredObject):
                if decode_record(found.value).attempt != self.attempt:
                    return
                self._version = found.version
                if await self._delete():
                    return
            elif found.reason is StoreReason.NOT_FOUND:
                return
            if not await self.back_off(tries):
                return

    async def _finish_ran(self, body: bytes) -> None:
        """Record the outcome, then answer, so that a later attempt gets the same answer.

        If the first write fails, the caller gets the answer and the tries go on.
        """
        for tries in itertools.count():
            is_recorded = await self._record(body)
            self._send_answer(SubmitAnswer(None, body=body))
            if is_recorded or not await self.back_off(tries):
                return

    async def _finish_not_run(self, outcome: SendOutcome) -> None:
        """Delete the record, and answer "not run" only if it is certainly gone."""
        for tries in itertools.count():
            if await self._delete():
                self._send_answer(SubmitAnswer(outcome.reason, outcome.message))
                return
            if tries + 1 >= DELETE_TRIES_BEFORE_ANSWER:
                self._send_answer(
                    SubmitAnswer(
                        EntryReason.OUTCOME_UNKNOWN,
                        f"{outcome.message}; the record of the request is not deleted yet",
                    )
                )
            if not await self.back_off(tries):
                return

    async def _record(self, body: bytes) -> bool:
        """Try once to write the outcome; return True if there is nothing left to write."""
        value = self._encode(
            IdempotencyRecord(self.attempt, self.body_hash, True, msgspec.Raw(body))
        )
        written = await self.store.replace(self.key, value, self._version)
        if isinstance(written, int):
            return True
        if written.reason is StoreReason.TOO_LARGE:
            # The answer does not fit; that the request ran matters more than its answer.
            value = self._encode(IdempotencyRecord(self.attempt, self.body_hash, True))
            return isinstance(await self.store.replace(self.key, value, self._version), int)
        if written.reason in (StoreReason.UNAVAILABLE, StoreReason.REFUSED):
            return False
        found = await self.store.get(self.key)
        if not isinstance(found, StoredObject):
            return found.reason is StoreReason.NOT_FOUND
        record = decode_record(found.value)
        self._version = found.version
        return record.is_finished or record.attempt != self.attempt

    async def _delete(self) -> bool:
        """Try once to delete the record; return True if it is certainly gone."""
        deleted = await self.store.delete(self.key, self._version)
        if isinstance(deleted, int) or deleted.reason is StoreReason.NOT_FOUND:
            return True
        if deleted.reason in (StoreReason.UNAVAILABLE, StoreReason.REFUSED):
            return False
        found = await self.store.get(self.key)
        if not isinstance(found, StoredObject):
            return found.reason is StoreReason.NOT_FOUND
        if decode_record(found.value).attempt != self.attempt:
            return True
        self._version = found.version
        return False

    def _send_answer(self, answer: SubmitAnswer) -> None:
        if not self._is_answered:
            self._is_answered = True
            self.answer(answer)

    @staticmethod
    def _encode(record: IdempotencyRecord) -> bytes:
        return msgspec.json.encode(record)


class SubmitCoordinator:
    """Runs the submits of this process, with a task for each that also settles its record."""

    __slots__ = ("environment", "store", "write_limit", "_ids", "_tasks", "_stopping")

    def __init__(self, environment: Environment, store: StoreClient) -> None:
        self.environment = environment
        self.store = store
        loop = asyncio.get_running_loop()
        self.write_limit = TokenBucket(environment.settings.store.once_writes_per_s, loop.time)
        self._ids = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self._stopping = asyncio.Event()

    @property
    def unsettled_count(self) -> int:
        """The number of submits that run or have a record to settle."""
        return len(self._tasks)

    async def submit(
        self,
        key: str,
        body_hash: str,
        answer_at: float,
        send: Callable[[], Awaitable[SendOutcome]],
    ) -> SubmitAnswer:
        """Run one attempt and return its answer by `answer_at`.

        The attempt goes on in the background until its record is settled.
        """
        if not self.write_limit.try_acquire(WRITES_PER_SUBMIT):
            return await self._answer_without_write(key, body_hash, answer_at)
        answered: asyncio.Future[SubmitAnswer] = asyncio.get_running_loop().create_future()
        submission = Submission(
            store=self.store,
            key=key,
            attempt=f"{self.environment.incarnation}-{next(self._ids)}",
            body_hash=body_hash,
            send=send,
            back_off=self._back_off,
            answer=lambda answer: answered.done() or answered.set_result(answer),
        )
        task = asyncio.create_task(self._run(submission))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.wait(
            {task, answered},
            timeout=max(answer_at - asyncio.get_running_loop().time(), 0),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if answered.done():
            return answered.result()
        answer = submission.answer_at_deadline()
        answered.cancel()
        return answer

    async def _answer_without_write(
        self, key: str, body_hash: str, answer_at: float
    ) -> SubmitAnswer:
        """Answer from the record of an earlier attempt, or refuse the request if none is found.

        The refusal says "not run", which would be wrong for a request that an earlier attempt ran.
        """
        remaining_s = max(answer_at - asyncio.get_running_loop().time(), 0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(remaining_s):
                found = await self.store.get(key)
                if isinstance(found, StoredObject):
                    return make_answer_from_record(decode_record(found.value), body_hash)
        return SubmitAnswer(
            EntryReason.OVERLOADED,
            "the limit on writes of idempotency records per second is reached",
        )

    async def settle(self) -> int:
        """Wait at shutdown until the records are settled; return how many were not in time."""
        self._stopping.set()
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=SETTLE_TIMEOUT_S)
        unsettled = len(self._tasks)
        for task in list(self._tasks):
            task.cancel()
        return unsettled

    async def _run(self, submission: Submission) -> None:
        try:
            await submission.run()
        except asyncio.CancelledError:
            self.environment.log.error("once_record_not_settled", key=submission.key)
            raise
        except Exception:
            self.environment.log.exception("submit_failed", key=submission.key)

    async def _back_off(self, tries: int) -> bool:
        """Wait longer after each try, but only briefly at shutdown, as `settle` has a timeout."""
        max_backoff_s = BACKOFF_MIN_S if self._stopping.is_set() else BACKOFF_MAX_S
        await asyncio.sleep(min(BACKOFF_MIN_S * 2 ** min(tries, 10), max_backoff_s))
        return True


def make_answer_from_record(record: IdempotencyRecord, body_hash: str) -> SubmitAnswer:
    """Return the answer to an attempt that found the record of another attempt."""
    if record.attempt and record.body_hash != body_hash:
        return SubmitAnswer(
            EntryReason.KEY_CONFLICT,
            "the Idempotency-Key was used with another body",
        )
    if record.is_finished:
        return SubmitAnswer(None, body=bytes(record.outcome), is_recorded_earlier=True)
    return SubmitAnswer(
        EntryReason.OUTCOME_UNKNOWN,
        "an earlier attempt with this Idempotency-Key has no recorded outcome",
    )


def decode_record(value: bytes | None) -> IdempotencyRecord:
    """Decode a record; one that is not valid counts as another attempt's without an outcome."""
    try:
        return msgspec.json.decode(value or b"", type=IdempotencyRecord)
    except msgspec.DecodeError:
        return IdempotencyRecord(attempt="", body_hash="")


def make_record_key(tenant: str, request_class: str, idempotency_key: str) -> str:
    """Return the store key of the record for a tenant's Idempotency-Key in a class."""
    parts = msgspec.json.encode((tenant, request_class, idempotency_key))
    return RECORD_KEY_PREFIX + hashlib.sha256(parts).hexdigest()


def make_body_hash(key: int, body: bytes) -> str:
    """Return a hash of a submit's position and body, whatever the whitespace and order of keys."""
    value = msgspec.json.decode(body)
    return hashlib.sha256(msgspec.json.encode((key, value), order="sorted")).hexdigest()
