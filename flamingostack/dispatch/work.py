"""The state of a sub-request in the dispatch process."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, Protocol

from ..generated import messages_pb2 as pb
from ..generated.preset import ClassPolicy

if TYPE_CHECKING:
    from .fence import FencedBody
    from .target import Target

# The (term, transfer) pair of a partition grant, compared to detect that a partition was granted
# anew; (0, 0) in the baseline mode, which has no grants.
Claim = tuple[int, int]


class WorkState(enum.Enum):
    """Progress of a sub-request.

    DONE is also the state of work that has been taken out of the queue, until it starts running.
    """

    NEW = 0
    QUEUED = 1
    RUNNING = 2
    DONE = 3


class ReplySink(Protocol):
    """Destination of replies: the stream on which the sub-requests arrived."""

    work_by_id: dict[int, WorkItem]

    def post(self, reply: pb.SubReply) -> None:
        """Add a reply to the next batch."""


class WorkItem:
    """A sub-request with its class policy, timestamps, and the grant under which it was accepted.

    Timestamps are nanoseconds of `Environment.now_ns`; `started_ns` is 0 until the work starts.
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
        """Whether the request is a submit, which must not be sent more than once."""
        return bool(self.request.once_key)

    @property
    def target_request_id(self) -> str:
        """Request id sent to the target.

        It includes the sub-request's id, since one caller's request may have several sub-requests
        to the same target.
        """
        return f"{self.request.request_id}.{self.request.id}"
