"""Execution of operators' requests: conditional writes to the store, then a wait for acceptance."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from ..errors import Failure, make_failure
from ..fleet.document import (
    DocumentReason,
    add_change,
    check_mark,
    find_change,
    find_conflicting_change,
    find_request_problem,
    set_mark,
    use_preset,
)
from ..fleet.node import PROTOCOL
from ..generated import messages_pb2 as pb
from ..presets import parse_preset
from ..store import StoreFailure, StoreReason
from .controller import Controller
from .keeper import PRESET_PREFIX, FleetStore

ACCEPTED = "accepted"
WRITTEN = "written"
CONFLICT = "conflict"
STORE_UNAVAILABLE = "store_unavailable"
INVALID = "invalid"
UNKNOWN = "unknown"
# Minimum time to find out the outcome of a write whose response was lost, whatever `wait_ms` is.
MIN_OUTCOME_WAIT_S = 2.0
MAX_WAIT_MS = 60_000
RETRY_DELAY_S = 0.05
MAX_PRESET_NAME_CHARS = 64

EditDocument = Callable[[pb.FleetDocument], Failure[DocumentReason] | None]


class Operations:
    """Executes operators' requests, one document write at a time."""

    __slots__ = ("controller", "fleet_store")

    def __init__(self, controller: Controller, fleet_store: FleetStore) -> None:
        self.controller = controller
        self.fleet_store = fleet_store

    async def operate(self, request: pb.OperateRequest) -> pb.OperateReply:
        """Execute a request, and wait until its change is accepted or `wait_ms` has passed.

        `wait_ms` is limited to MAX_WAIT_MS. An unknown outcome of the write may be reported only
        after MIN_OUTCOME_WAIT_S.
        """
        started_s = time.monotonic()
        wait_s = min(request.wait_ms, MAX_WAIT_MS) / 1000
        reply = await self._execute(request, started_s + max(wait_s, MIN_OUTCOME_WAIT_S))
        if reply.code == WRITTEN:
            await self._wait_for_acceptance(reply, started_s + wait_s)
        reply.elapsed_ms = int((time.monotonic() - started_s) * 1000)
        self.controller.environment.log.info(
            "operation",
            action=request.WhichOneof("action"),
            change_id=request.change_id,
            operator=request.operator,
            code=reply.code,
            version=reply.version,
            message=reply.message,
        )
        return reply

    async def _execute(self, request: pb.OperateRequest, deadline_s: float) -> pb.OperateReply:
        """Check a request and make its change, with retries until `deadline_s` (monotonic)."""
        problem = find_request_problem(request.change_id, request.operator)
        if request.protocol != PROTOCOL:
            problem = f"protocol {request.protocol} is not supported, only {PROTOCOL}"
        if problem:
            return pb.OperateReply(code=INVALID, message=problem)
        match request.WhichOneof("action"):
            case "use_preset":
                return await self._use_preset(request, deadline_s)
            case "set_mark":
                return await self._set_mark(request, deadline_s)
            case "put_preset":
                return await self._put_preset(request, deadline_s)
        return pb.OperateReply(code=INVALID, message="the request has no action")

    async def _use_preset(self, request: pb.OperateRequest, deadline_s: float) -> pb.OperateReply:
        name = request.use_preset.name
        if not is_preset_name(name):
            return pb.OperateReply(code=INVALID, message=f"{name!r} is not a valid preset name")
        stored_preset = await self.fleet_store.store.get(f"{PRESET_PREFIX}{name}")
        body: bytes | None = None
        if not isinstance(stored_preset, StoreFailure):
            body = stored_preset.value
        elif stored_preset.reason is not StoreReason.NOT_FOUND:
            return make_store_reply(stored_preset)

        def edit(document: pb.FleetDocument) -> Failure[DocumentReason] | None:
            if body is None:
                return make_failure(DocumentReason.INVALID, f"there is no preset {name!r}")
            problem = find_preset_problem(name, body)
            if problem:
                return make_failure(DocumentReason.INVALID, problem)
            use_preset(document, name, body)
            return None

        return await self._change_document(request, f"use preset {name}", edit, deadline_s)

    async def _set_mark(self, request: pb.OperateRequest, deadline_s: float) -> pb.OperateReply:
        mark = request.set_mark

        def edit(document: pb.FleetDocument) -> Failure[DocumentReason] | None:
            failure = check_mark(document, mark, *self._find_domains_and_targets())
            if failure is None:
                set_mark(document, mark)
            return failure

        return await self._change_document(request, describe_mark(mark), edit, deadline_s)

    def _find_domains_and_targets(self) -> tuple[set[str], set[str]]:
        """Return the known failure domains, and the ids of the known targets."""
        node = self.controller.node
        targets = [target for index in node.indexes.values() for target in index.targets]
        domains = {*node.document.failure_domains, node.own.failure_domain}
        domains.update(target.failure_domain for target in targets)
        domains.update(peer.member.failure_domain for peer in node.membership.peers.values())
        return domains, {target.id for target in targets}

    async def _change_document(
        self, request: pb.OperateRequest, summary: str, edit: EditDocument, deadline_s: float
    ) -> pb.OperateReply:
        """Write the edited document; retry on conflicts and unknown outcomes until `deadline_s`."""
        async with self.fleet_store.write_lock:
            reply = None
            # An earlier attempt may still take effect. Its change id shows whether it has.
            may_be_written = False
            while reply is None:
                reply, may_be_written = await self._try_change(
                    request, summary, edit, may_be_written
                )
                if reply is None and time.monotonic() >= deadline_s:
                    message = (
                        "the store did not confirm the write in time; "
                        "the change may have been written"
                    )
                    return pb.OperateReply(code=UNKNOWN, message=message)
                if reply is None:
                    await asyncio.sleep(RETRY_DELAY_S)
            return reply

    async def _try_change(
        self, request: pb.OperateRequest, summary: str, edit: EditDocument, may_be_written: bool
    ) -> tuple[pb.OperateReply | None, bool]:
        """Read, check, edit and write the document once.

        Return the reply, or None to try again, and whether a write may have taken effect.
        """
        node = self.controller.node
        failure = await self.fleet_store.read_document()
        if failure is not None:
            return (None if may_be_written else make_store_reply(failure)), may_be_written
        existing_change = find_change(node.document, request.change_id)
        if existing_change is not None:
            return pb.OperateReply(code=WRITTEN, version=existing_change.version), may_be_written
        # An earlier write of this change had not taken effect when the document was read. It
        # still can while the object has the version that the write expects. If it does, the next
        # write is a conflict, and the read after that finds the change.
        winner = find_conflicting_change(node.document, request.expected_version)
        if winner is not None:
            return make_conflict_reply(node.document, winner), may_be_written
        change = pb.Change(
            change_id=request.change_id,
            summary=summary,
            operator=request.operator,
            at_unix_ms=int(time.time() * 1000),
        )
        document = add_change(node.document, change, node.partitions.values())
        refusal = edit(document)
        if refusal is not None:
            return pb.OperateReply(code=INVALID, message=refusal.message), may_be_written
        failure = await self.fleet_store.write_document(document)
        if failure is None:
            return pb.OperateReply(code=WRITTEN, version=document.version), may_be_written
        match failure.reason:
            case StoreReason.CONFLICT:
                return None, may_be_written
            case StoreReason.OUTCOME_UNKNOWN:
                return None, True
        return (None if may_be_written else make_store_reply(failure)), may_be_written

    async def _put_preset(self, request: pb.OperateRequest, deadline_s: float) -> pb.OperateReply:
        """Create or replace a preset's object; retry until `deadline_s`."""
        name = request.put_preset.name
        body = request.put_preset.body
        problem = find_preset_problem(name, body)
        if problem:
            return pb.OperateReply(code=INVALID, message=problem)
        may_be_written = False
        while time.monotonic() < deadline_s:
            reply, may_be_written = await self._try_put_preset(
                name, body, request.expected_version, may_be_written
            )
            if reply is not None:
                return reply
            await asyncio.sleep(RETRY_DELAY_S)
        message = "the store did not confirm the write in time; the preset may have been written"
        return pb.OperateReply(code=UNKNOWN, message=message)

    async def _try_put_preset(
        self, name: str, body: bytes, expected_version: int, may_be_written: bool
    ) -> tuple[pb.OperateReply | None, bool]:
        """Write a preset's object once, if it has `expected_version`; 0 skips that check.

        Return the reply, or None to try again, and whether a write may have taken effect.
        """
        store = self.fleet_store.store
        key = f"{PRESET_PREFIX}{name}"
        current = await store.get(key)
        version = 0
        if not isinstance(current, StoreFailure):
            version = current.version
            if current.value == body:
                return pb.OperateReply(code=ACCEPTED, version=version), may_be_written
        elif current.reason is not StoreReason.NOT_FOUND:
            return (None if may_be_written else make_store_reply(current)), may_be_written
        if expected_version and expected_version != version:
            message = f"preset {name} has version {version}, expected {expected_version}"
            return pb.OperateReply(code=CONFLICT, message=message, version=version), may_be_written
        if version:
            result = await store.replace(key, body, version)
        else:
            result = await store.create(key, body)
        if not isinstance(result, StoreFailure):
            return pb.OperateReply(code=ACCEPTED, version=result), may_be_written
        match result.reason:
            case StoreReason.CONFLICT:
                return None, may_be_written
            case StoreReason.OUTCOME_UNKNOWN:
                return None, True
        return (None if may_be_written else make_store_reply(result)), may_be_written

    async def _wait_for_acceptance(self, reply: pb.OperateReply, deadline_s: float) -> None:
        """Set the reply's code to accepted, or list the instances that have not confirmed yet."""
        node = self.controller.node
        acceptance = node.track_acceptance(reply.version)
        self.controller.tick()
        accepted = await self.controller.wait_for(
            lambda: bool(acceptance.accepted_ns), deadline_s - time.monotonic()
        )
        if accepted:
            reply.code = ACCEPTED
        else:
            now_ns = self.controller.now_ns()
            reply.waiting_for.extend(node.unconfirmed_instances(acceptance, now_ns))


def is_preset_name(name: str) -> bool:
    """Return whether a preset may have this name: lower case letters, digits and hyphens.

    The first character must not be a hyphen.
    """
    allowed = "abcdefghijklmnopqrstuvwxyz0123456789-"
    return 0 < len(name) <= MAX_PRESET_NAME_CHARS and set(name) <= set(allowed) and name[0] != "-"


def find_preset_problem(name: str, body: bytes) -> str:
    """Return why a preset's name or text is invalid, or an empty string."""
    if not is_preset_name(name):
        return f"{name!r} is not a valid preset name"
    preset = parse_preset(body, source=f"preset {name}")
    if isinstance(preset, Failure):
        return preset.message
    if preset.name != name:
        return f"preset {name}: the name in its text is {preset.name!r} - at `$.name`"
    return ""


def describe_mark(mark: pb.SetMark) -> str:
    """Return the change summary of a mark request."""
    subject = (
        f"failure domain {mark.failure_domain}" if mark.failure_domain else f"target {mark.target}"
    )
    match mark.state:
        case pb.MARK_STATE_LEAVING:
            return f"mark {subject} as leaving"
        case pb.MARK_STATE_RETURNING:
            return f"mark {subject} as returning"
    return f"clear the mark of {subject}"


def make_store_reply(failure: StoreFailure) -> pb.OperateReply:
    """Return the reply for a store call that has certainly had no effect."""
    if failure.reason is StoreReason.TOO_LARGE:
        return pb.OperateReply(code=INVALID, message=failure.message)
    return pb.OperateReply(code=STORE_UNAVAILABLE, message=failure.message)


def make_conflict_reply(document: pb.FleetDocument, winner: pb.Change) -> pb.OperateReply:
    """Return the reply to a request that lost to the conflicting change `winner`."""
    message = (
        f"conflicts with a change by {winner.operator or 'another operator'}: {winner.summary}"
    )
    return pb.OperateReply(code=CONFLICT, message=message, version=document.version, winner=winner)
