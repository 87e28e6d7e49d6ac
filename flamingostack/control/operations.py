"""Operators' changes: written by conditional update, then followed until they are accepted."""

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
# Time to find out about a write whose answer was lost, also for a client that does not wait.
MIN_RESOLVE_S = 2.0
MAX_WAIT_MS = 60_000
RETRY_S = 0.05
MAX_NAME_CHARS = 64

Build = Callable[[pb.FleetDocument], Failure[DocumentReason] | None]


class Operations:
    """Carries out operators' requests, one document write at a time."""

    __slots__ = ("controller", "fleet_store")

    def __init__(self, controller: Controller, fleet_store: FleetStore) -> None:
        self.controller = controller
        self.fleet_store = fleet_store

    async def operate(self, request: pb.OperateRequest) -> pb.OperateReply:
        """Carry out a request and wait for its acceptance for at most `wait_ms`."""
        started_s = time.monotonic()
        wait_s = min(request.wait_ms, MAX_WAIT_MS) / 1000
        reply = await self._carry_out(request, started_s + max(wait_s, MIN_RESOLVE_S))
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

    async def _carry_out(self, request: pb.OperateRequest, until_s: float) -> pb.OperateReply:
        problem = find_request_problem(request.change_id, request.operator)
        if request.protocol != PROTOCOL:
            problem = f"protocol {request.protocol} is not supported, only {PROTOCOL}"
        if problem:
            return pb.OperateReply(code=INVALID, message=problem)
        match request.WhichOneof("action"):
            case "use_preset":
                return await self._use_preset(request, until_s)
            case "set_mark":
                return await self._set_mark(request, until_s)
            case "put_preset":
                return await self._put_preset(request, until_s)
        return pb.OperateReply(code=INVALID, message="no action given")

    async def _use_preset(self, request: pb.OperateRequest, until_s: float) -> pb.OperateReply:
        name = request.use_preset.name
        if not is_preset_name(name):
            return pb.OperateReply(code=INVALID, message=f"{name!r} is no preset name")
        found = await self.fleet_store.store.get(f"{PRESET_PREFIX}{name}")
        body: bytes | None = None
        if not isinstance(found, StoreFailure):
            body = found.value
        elif found.reason is not StoreReason.NOT_FOUND:
            return make_store_reply(found)

        def build(document: pb.FleetDocument) -> Failure[DocumentReason] | None:
            if body is None:
                return make_failure(DocumentReason.INVALID, f"there is no preset {name!r}")
            problem = find_preset_problem(name, body)
            if problem:
                return make_failure(DocumentReason.INVALID, problem)
            use_preset(document, name, body)
            return None

        return await self._change_document(request, f"use preset {name}", build, until_s)

    async def _set_mark(self, request: pb.OperateRequest, until_s: float) -> pb.OperateReply:
        mark = request.set_mark

        def build(document: pb.FleetDocument) -> Failure[DocumentReason] | None:
            failure = check_mark(document, mark, *self._find_subjects())
            if failure is None:
                set_mark(document, mark)
            return failure

        return await self._change_document(request, describe_mark(mark), build, until_s)

    def _find_subjects(self) -> tuple[set[str], set[str]]:
        node = self.controller.node
        targets = [target for index in node.indexes.values() for target in index.targets]
        domains = {*node.document.failure_domains, node.own.failure_domain}
        domains.update(target.failure_domain for target in targets)
        domains.update(peer.member.failure_domain for peer in node.membership.peers.values())
        return domains, {target.id for target in targets}

    async def _change_document(
        self, request: pb.OperateRequest, summary: str, build: Build, until_s: float
    ) -> pb.OperateReply:
        async with self.fleet_store.write_lock:
            reply = None
            # A write that may still take effect; it is told from others by its change id.
            uncertain = False
            while reply is None:
                reply, uncertain = await self._try_change(request, summary, build, uncertain)
                if reply is None and time.monotonic() >= until_s:
                    message = "the store does not answer; the change may have been written"
                    return pb.OperateReply(code=UNKNOWN, message=message)
                if reply is None:
                    await asyncio.sleep(RETRY_S)
            return reply

    async def _try_change(
        self, request: pb.OperateRequest, summary: str, build: Build, uncertain: bool
    ) -> tuple[pb.OperateReply | None, bool]:
        """Read, check and write once; no reply means to try again."""
        node = self.controller.node
        failure = await self.fleet_store.read_document()
        if failure is not None:
            return (None if uncertain else make_store_reply(failure)), uncertain
        done = find_change(node.document, request.change_id)
        if done is not None:
            return pb.OperateReply(code=WRITTEN, version=done.version), uncertain
        # Reading has shown that an earlier write did not take effect. It still may, if the
        # store's version is the one it was sent for; then the next write is refused.
        winner = find_conflicting_change(node.document, request.expected_version)
        if winner is not None:
            return make_conflict_reply(node.document, winner), uncertain
        change = pb.Change(
            change_id=request.change_id,
            summary=summary,
            operator=request.operator,
            at_unix_ms=int(time.time() * 1000),
        )
        document = add_change(node.document, change, node.partitions.values())
        refusal = build(document)
        if refusal is not None:
            return pb.OperateReply(code=INVALID, message=refusal.message), uncertain
        failure = await self.fleet_store.write_document(document)
        if failure is None:
            return pb.OperateReply(code=WRITTEN, version=document.version), uncertain
        match failure.reason:
            case StoreReason.CONFLICT:
                return None, uncertain
            case StoreReason.OUTCOME_UNKNOWN:
                return None, True
        return (None if uncertain else make_store_reply(failure)), uncertain

    async def _put_preset(self, request: pb.OperateRequest, until_s: float) -> pb.OperateReply:
        name = request.put_preset.name
        body = request.put_preset.body
        problem = find_preset_problem(name, body)
        if problem:
            return pb.OperateReply(code=INVALID, message=problem)
        uncertain = False
        while time.monotonic() < until_s:
            reply, uncertain = await self._try_put(name, body, request.expected_version, uncertain)
            if reply is not None:
                return reply
            await asyncio.sleep(RETRY_S)
        message = "the store does not answer; the preset may have been written"
        return pb.OperateReply(code=UNKNOWN, message=message)

    async def _try_put(
        self, name: str, body: bytes, expected_version: int, uncertain: bool
    ) -> tuple[pb.OperateReply | None, bool]:
        """Write a preset's text once; `expected_version` is that of its object."""
        store = self.fleet_store.store
        key = f"{PRESET_PREFIX}{name}"
        current = await store.get(key)
        version = 0
        if not isinstance(current, StoreFailure):
            version = current.version
            if current.value == body:
                return pb.OperateReply(code=ACCEPTED, version=version), uncertain
        elif current.reason is not StoreReason.NOT_FOUND:
            return (None if uncertain else make_store_reply(current)), uncertain
        if expected_version and expected_version != version:
            message = f"preset {name} has version {version}, not {expected_version}"
            return pb.OperateReply(code=CONFLICT, message=message, version=version), uncertain
        if version:
            result = await store.replace(key, body, version)
        else:
            result = await store.create(key, body)
        if not isinstance(result, StoreFailure):
            return pb.OperateReply(code=ACCEPTED, version=result), uncertain
        match result.reason:
            case StoreReason.CONFLICT:
                return None, uncertain
            case StoreReason.OUTCOME_UNKNOWN:
                return None, True
        return (None if uncertain else make_store_reply(result)), uncertain

    async def _wait_for_acceptance(self, reply: pb.OperateReply, until_s: float) -> None:
        node = self.controller.node
        acceptance = node.track_acceptance(reply.version)
        self.controller.tick()
        accepted = await self.controller.wait_for(
            lambda: bool(acceptance.accepted_ns), until_s - time.monotonic()
        )
        if accepted:
            reply.code = ACCEPTED
        else:
            now_ns = self.controller.now_ns()
            reply.waiting_for.extend(node.unconfirmed_instances(acceptance, now_ns))


def is_preset_name(name: str) -> bool:
    """Tell whether a name can be a preset's: lower case letters, digits and hyphens."""
    allowed = "abcdefghijklmnopqrstuvwxyz0123456789-"
    return 0 < len(name) <= MAX_NAME_CHARS and set(name) <= set(allowed) and name[0] != "-"


def find_preset_problem(name: str, body: bytes) -> str:
    """Return what is wrong with a preset's text, or an empty string."""
    if not is_preset_name(name):
        return f"{name!r} is no preset name"
    preset = parse_preset(body, source=f"preset {name}")
    if isinstance(preset, Failure):
        return preset.message
    if preset.name != name:
        return f"preset {name}: its text is named {preset.name!r} - at `$.name`"
    return ""


def describe_mark(mark: pb.SetMark) -> str:
    """Return the summary of a mark's change."""
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
    """Return the reply for a store that did not do what was asked, for certain."""
    if failure.reason is StoreReason.TOO_LARGE:
        return pb.OperateReply(code=INVALID, message=failure.message)
    return pb.OperateReply(code=STORE_UNAVAILABLE, message=failure.message)


def make_conflict_reply(document: pb.FleetDocument, winner: pb.Change) -> pb.OperateReply:
    """Return the reply to the loser of a race."""
    message = f"{winner.operator or 'another operator'} was first: {winner.summary}"
    return pb.OperateReply(code=CONFLICT, message=message, version=document.version, winner=winner)
