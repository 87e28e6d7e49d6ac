"""A sub-request on its way through dispatch."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, Protocol

from ..generated import messages_pb2 as pb
from ..generated.preset import ClassPolicy

if TYPE_CHECKING:
    from .fenced_body import FencedBody
    from .target import Target

Claim = tuple[int, int]


class WorkState(enum.Enum):
    """Where a sub-request is; DONE also covers work that has left the queue."""

    NEW = 0
    QUEUED = 1
    RUNNING = 2
    DONE = 3


class ReplySink(Protocol):
    """Where replies go: the stream that the sub-request arrived on."""

    works_by_id: dict[int, Work]

    def post(self, reply: pb.SubReply) -> None:
        """Send a reply with the next batch."""


class Work:
    """A sub-request with its class policy, the grant it was accepted under, and its times.

    Times are nanoseconds of `Environment.now_ns`.
    """

    __slots__ = (
        "request",
        "sink",
        "target",
        "policy",
        "claim",
        "accepted_ns",
        "deadline_ns",
        "started_ns",
        "state",
        "is_replied",
        "timer",
        "fenced_body",
    )

    def __init__(
        self,
        request: pb.SubRequest,
        sink: ReplySink,
        target: Target,
        policy: ClassPolicy,
        claim: Claim,
        accepted_ns: int,
        deadline_ns: int,
    ) -> None:
        self.request = request
        self.sink = sink
        self.target = target
        self.policy = policy
        self.claim = claim
        self.accepted_ns = accepted_ns
        self.deadline_ns = deadline_ns
        self.started_ns = 0
        self.state = WorkState.NEW
        self.is_replied = False
        self.timer: asyncio.TimerHandle | None = None
        self.fenced_body: FencedBody | None = None

    @property
    def is_submit(self) -> bool:
        """Tell whether the request must not be repeated."""
        return bool(self.request.once_key)

    @property
    def target_request_id(self) -> str:
        """The id that the target knows it by: one caller's request may ask a target twice."""
        return f"{self.request.request_id}.{self.request.id}"
