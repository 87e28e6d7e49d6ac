"""Client of the control processes; maps gRPC errors to the reasons of this layer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from google.protobuf.message import Message
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from ..errors import Failure, Reason, make_failure
from ..generated import messages_pb2 as pb
from ..generated.messages_grpc import ControlStub
from ..settings import split_address
from ..state import PROTOCOL

CONNECT_TIMEOUT_S = 1.0
REPLY_TIMEOUT_S = 2.0
# Added to the requested wait: control may need another 2 s to find out whether a write took effect
# when the store's response was lost.
RESOLVE_TIMEOUT_S = 2.5
# Longest wait that one call asks control for. The wait for a change is split into several calls, so
# that a control process that stops responding is noticed before the command's time limit.
WAIT_SLICE_S = 2.0
# Least time between the end of the requested wait and the time-out of the call.
WAIT_MARGIN_S = 0.5
RETRY_DELAY_S = 0.2
MS_PER_S = 1000

STORE_UNAVAILABLE = "store_unavailable"

# With these status codes the server has not executed the call; with any other it may have.
NOT_RUN_CODES = frozenset(
    {
        Status.FAILED_PRECONDITION,
        Status.INVALID_ARGUMENT,
        Status.NOT_FOUND,
        Status.PERMISSION_DENIED,
        Status.UNAUTHENTICATED,
        Status.UNIMPLEMENTED,
    }
)


class ClientReason(Reason):
    """Why no control process gave a usable reply."""

    UNREACHABLE = "control_unreachable"
    NO_ANSWER = "control_no_answer"
    REFUSED = "control_refused"
    OUTCOME_UNKNOWN = "outcome_unknown"


class ControlClient:
    """Calls control processes one after another, within one deadline for the whole command.

    An address that failed moves to the end of the list, so that the next call does not
    wait for it again.
    """

    __slots__ = ("addresses", "now_s", "deadline_s")

    def __init__(
        self,
        addresses: Sequence[str],
        now_s: Callable[[], float],
        timeout_s: float,
    ) -> None:
        self.addresses = list(addresses)
        self.now_s = now_s
        self.deadline_s = now_s() + timeout_s

    def remaining_s(self) -> float:
        """Return the seconds until the deadline, at least 0."""
        return max(0.0, self.deadline_s - self.now_s())

    async def status(self, include_presets: bool = False) -> pb.StatusReply | Failure[ClientReason]:
        """Return the status from the first control process that replies."""
        request = pb.StatusRequest(protocol=PROTOCOL, include_presets=include_presets)
        failures: list[Failure[ClientReason]] = []
        pending = list(self.addresses)
        while pending and self.remaining_s() > 0:
            timeout_s = min(REPLY_TIMEOUT_S, self.remaining_s() / len(pending))
            reply = await call_status(pending[0], request, timeout_s)
            if not isinstance(reply, Failure):
                return reply
            failures.append(reply)
            self._move_to_end(pending.pop(0))
        return _combine_failures(ClientReason.UNREACHABLE, failures)

    async def change(self, request: pb.OperateRequest) -> pb.OperateReply | Failure[ClientReason]:
        """Send a change and wait until it is accepted or the deadline passes.

        Each attempt sends the same change id, so that a retry after a lost reply does not apply
        the change twice. OUTCOME_UNKNOWN: some control process may have applied the change and
        none could confirm it. A control process that cannot tell replies with the code "unknown".
        """
        written: pb.OperateReply | None = None
        unavailable: pb.OperateReply | None = None
        failures: list[Failure[ClientReason]] = []
        pending = list(self.addresses)
        while pending and self.remaining_s() > 0:
            # Once the change is written, the other addresses are not needed to make it, and this
            # one may use all the time left.
            addresses_left = len(pending) if written is None else 1
            reply = await self._operate(pending[0], request, addresses_left)
            if isinstance(reply, pb.OperateReply) and reply.code == "unknown":
                reply = make_failure(ClientReason.NO_ANSWER, f"{pending[0]}: {reply.message}")
            match reply:
                case Failure():
                    failures.append(reply)
                    self._move_to_end(pending.pop(0))
                case pb.OperateReply(code="written"):
                    written = reply
                    await asyncio.sleep(min(RETRY_DELAY_S, self.remaining_s()))
                case pb.OperateReply(code="store_unavailable"):
                    unavailable = reply
                    pending.pop(0)
                case pb.OperateReply(code="accepted"):
                    return reply
                case _ if written is None:
                    return reply
                case _:
                    pending.pop(0)
        if written is not None:
            return written
        if any(failure.reason is ClientReason.NO_ANSWER for failure in failures):
            return _combine_failures(ClientReason.OUTCOME_UNKNOWN, failures)
        return unavailable or _combine_failures(ClientReason.UNREACHABLE, failures)

    async def _operate(
        self,
        address: str,
        request: pb.OperateRequest,
        addresses_left: int,
    ) -> pb.OperateReply | Failure[ClientReason]:
        time_limit_s = self.remaining_s() / addresses_left
        wait_s = min(WAIT_SLICE_S, max(0.0, time_limit_s - WAIT_MARGIN_S))
        request.wait_ms = int(wait_s * MS_PER_S)
        return await call_operate(address, request, min(time_limit_s, wait_s + RESOLVE_TIMEOUT_S))

    def _move_to_end(self, address: str) -> None:
        self.addresses.remove(address)
        self.addresses.append(address)


async def call_status(
    address: str,
    request: pb.StatusRequest,
    timeout_s: float,
) -> pb.StatusReply | Failure[ClientReason]:
    """Request the status of one control process."""
    return await _call(address, lambda stub: stub.Status.open(), request, timeout_s)


async def call_operate(
    address: str,
    request: pb.OperateRequest,
    timeout_s: float,
) -> pb.OperateReply | Failure[ClientReason]:
    """Send one change to one control process."""
    return await _call(address, lambda stub: stub.Operate.open(), request, timeout_s)


async def _call(
    address: str,
    open_stream: Callable[[ControlStub], Awaitable],
    request: Message,
    timeout_s: float,
) -> Message | Failure[ClientReason]:
    host, port = split_address(address)
    channel = Channel(host, port)
    reason = ClientReason.UNREACHABLE
    try:
        async with asyncio.timeout(timeout_s), open_stream(ControlStub(channel)) as stream:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.send_request()
            reason = ClientReason.NO_ANSWER
            await stream.send_message(request, end=True)
            reply = await stream.recv_message()
    except TimeoutError:
        return make_failure(reason, f"{address}: no reply before the timeout")
    except GRPCError as error:
        if error.status in NOT_RUN_CODES:
            reason = ClientReason.REFUSED
        return make_failure(reason, f"{address}: {error.status.name}: {error.message or ''}")
    except (OSError, StreamTerminatedError, ProtocolError) as error:
        return make_failure(reason, f"{address}: {error}")
    finally:
        channel.close()
    if reply is None:
        return make_failure(reason, f"{address}: the call ended without a reply")
    return reply


def _combine_failures(
    reason: ClientReason, failures: Sequence[Failure[ClientReason]]
) -> Failure[ClientReason]:
    """Combine the failures of several addresses; the reason is REFUSED if all were refused."""
    if failures and all(failure.reason is ClientReason.REFUSED for failure in failures):
        reason = ClientReason.REFUSED
    message = (
        "; ".join(failure.message for failure in failures)
        or "the time limit passed before any call"
    )
    return make_failure(reason, message)
