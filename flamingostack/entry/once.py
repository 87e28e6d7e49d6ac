"""Requests that must not be repeated: at most one run for each Idempotency-Key.

A record in the store is created before anything is sent, so that of all attempts with one key,
through any instance, only the one whose record it is sends anything.
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
# Tries of a delete before the caller is told that the outcome is unknown.
DELETE_TRIES_BEFORE_ANSWER = 2
BACKOFF_MIN_S = 0.02
BACKOFF_MAX_S = 2.0
# Shutdown waits this long for outcomes that the store does not take; longer than its timeout.
SETTLE_TIMEOUT_S = 10.0


class StoreClient(Protocol):
    """The operations of the store that records need; see `flamingostack.store`."""

    async def get(self, key: str) -> StoredObject | StoreFailure:
        """Read an object."""

    async def create(self, key: str, value: bytes) -> int | StoreFailure:
        """Create an object that does not exist; its version."""

    async def replace(self, key: str, value: bytes, version: int) -> int | StoreFailure:
        """Replace an object at a version; its new version."""

    async def delete(self, key: str, version: int) -> int | StoreFailure:
        """Delete an object at a version."""


class IdempotencyRecord(msgspec.Struct):
    """The record of one key; without an outcome the request may have run, or may run yet."""

    attempt: str
    body_hash: str
    is_finished: bool = False
    outcome: msgspec.Raw = msgspec.Raw(b"null")


class SubmitAnswer:
    """What the caller gets: the target's answer, or a reason."""

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
    """One attempt at one key.

    All waiting happens in the store, in `send` and in `pause`, which are passed in, so that a
    test can run every interleaving. `pause` returns False when the process ends. `answer` is
    called once; recording and deleting may go on after it.
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
        # Set at the deadline: what has not been sent by then is not sent at all.
        self.is_expired = False
        self.outcome: SendOutcome | None = None
        self._version = 0
        self._is_answered = False

    async def run(self) -> None:
        """Claim the key, send, answer, and settle the record."""
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
        """Stop what has not been sent, and return what is known."""
        self.is_expired = True
        if self.outcome is not None and self.outcome.kind is SendKind.RAN:
            return SubmitAnswer(None, body=self.outcome.body)
        if not self._version:
            # Nothing was sent, and nothing will be.
            return SubmitAnswer(
                EntryReason.STORE_UNAVAILABLE,
                "the store did not answer in time; this attempt was not sent",
            )
        return SubmitAnswer(EntryReason.OUTCOME_UNKNOWN, "the deadline passed; ask again later")

    # ---- Claim -----------------------------------------------------------

    async def _claim(self) -> bool:
        """Create the record; False if the caller was answered instead."""
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
            self._send_answer(answer_from_record(found, self.body_hash))
            if may_exist and not found.attempt:
                await self._delete_own_record()
            return False
        self._send_answer(
            SubmitAnswer(
                EntryReason.STORE_UNAVAILABLE,
                "the store took no record of the request; this attempt was not sent",
            )
        )
        if may_exist:
            await self._delete_own_record()
        return False

    async def _read_back(self, is_conflict: bool) -> IdempotencyRecord | None:
        """Return the record that is there, or None if there is none or it cannot be read.

        After a conflict there was one, and whose it is decides the answer: one that cannot be
        read is as good as one without an outcome.
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
        """Delete a record of ours that a lost create may have left."""
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

    # ---- Settle ----------------------------------------------------------

    async def _finish_ran(self, body: bytes) -> None:
        """Record the outcome, then answer, so that a later attempt sees the same answer."""
        for tries in itertools.count():
            is_recorded = await self._record(body)
            self._send_answer(SubmitAnswer(None, body=body))
            if is_recorded or not await self.back_off(tries):
                return

    async def _finish_not_run(self, outcome: SendOutcome) -> None:
        """Delete the record, and say "not run" only if it is certainly gone."""
        for tries in itertools.count():
            if await self._delete():
                self._send_answer(SubmitAnswer(outcome.reason, outcome.message))
                return
            if tries + 1 >= DELETE_TRIES_BEFORE_ANSWER:
                self._send_answer(
                    SubmitAnswer(
                        EntryReason.OUTCOME_UNKNOWN,
                        f"{outcome.message}; its record is not deleted yet",
                    )
                )
            if not await self.back_off(tries):
                return

    async def _record(self, body: bytes) -> bool:
        """Write the outcome once; True if it is in the store."""
        value = self._encode(
            IdempotencyRecord(self.attempt, self.body_hash, True, msgspec.Raw(body))
        )
        written = await self.store.replace(self.key, value, self._version)
        if isinstance(written, int):
            return True
        if written.reason is StoreReason.TOO_LARGE:
            # That it ran matters more than the answer's text.
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
        """Delete the record once; True if it is certainly gone."""
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
    """All submits of this process, with the tasks that settle their records."""

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
        """How many submits run or have a record to settle."""
        return len(self._tasks)

    async def submit(
        self,
        key: str,
        body_hash: str,
        answer_at: float,
        send: Callable[[], Awaitable[SendOutcome]],
    ) -> SubmitAnswer:
        """Run one attempt; its record is settled in the background if that takes longer."""
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
        """Answer from an earlier attempt's record; "not run" would be wrong if there is one."""
        remaining_s = max(answer_at - asyncio.get_running_loop().time(), 0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(remaining_s):
                found = await self.store.get(key)
                if isinstance(found, StoredObject):
                    return answer_from_record(decode_record(found.value), body_hash)
        return SubmitAnswer(EntryReason.OVERLOADED, "over the rate of the records' writes")

    async def settle(self) -> int:
        """Wait, at shutdown, for all records; return how many could not be settled."""
        self._stopping.set()
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=SETTLE_TIMEOUT_S)
        left = len(self._tasks)
        for task in list(self._tasks):
            task.cancel()
        return left

    async def _run(self, submission: Submission) -> None:
        try:
            await submission.run()
        except asyncio.CancelledError:
            self.environment.log.error("once_record_not_settled", key=submission.key)
            raise
        except Exception:
            self.environment.log.exception("submit_failed", key=submission.key)

    async def _back_off(self, tries: int) -> bool:
        """Wait longer after each try, but not long during a shutdown, which `settle` bounds."""
        max_backoff_s = BACKOFF_MIN_S if self._stopping.is_set() else BACKOFF_MAX_S
        await asyncio.sleep(min(BACKOFF_MIN_S * 2 ** min(tries, 10), max_backoff_s))
        return True


def answer_from_record(record: IdempotencyRecord, body_hash: str) -> SubmitAnswer:
    """Return the answer for an attempt that found another attempt's record."""
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
    """Decode a record; one that cannot be decoded counts as another attempt's, unfinished."""
    try:
        return msgspec.json.decode(value or b"", type=IdempotencyRecord)
    except msgspec.DecodeError:
        return IdempotencyRecord(attempt="", body_hash="")


def make_record_key(tenant: str, request_class: str, idempotency_key: str) -> str:
    """Return the name of a record."""
    parts = msgspec.json.encode((tenant, request_class, idempotency_key))
    return RECORD_KEY_PREFIX + hashlib.sha256(parts).hexdigest()


def make_body_hash(key: int, body: bytes) -> str:
    """Return a hash of a submit that does not depend on spaces or the order of keys."""
    value = msgspec.json.decode(body)
    return hashlib.sha256(msgspec.json.encode((key, value), order="sorted")).hexdigest()
