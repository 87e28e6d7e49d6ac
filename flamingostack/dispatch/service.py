"""The gRPC stream between an entry process and this process."""

from __future__ import annotations

import asyncio
import contextlib

from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Stream

from ..generated import messages_pb2 as pb
from ..generated.messages_grpc import DispatchBase
from ..state import PROTOCOL
from .ownership import Ownership
from .work import WorkItem


class ReplyWriter:
    """Collects the replies of one event loop iteration and sends them as one batch."""

    __slots__ = ("work_by_id", "_replies", "_wake", "_is_idle")

    def __init__(self) -> None:
        self.work_by_id: dict[int, WorkItem] = {}
        self._replies: list[pb.SubReply] = []
        self._wake = asyncio.Event()
        self._is_idle = asyncio.Event()
        self._is_idle.set()

    def post(self, reply: pb.SubReply) -> None:
        """Add a reply to the next batch."""
        self._replies.append(reply)
        if not self._wake.is_set():
            self._wake.set()
            self._is_idle.clear()

    async def wait_sent(self) -> None:
        """Wait until all replies posted so far have been written to the stream."""
        await self._is_idle.wait()

    async def run(self, stream: Stream[pb.EntryBatch, pb.DispatchBatch]) -> None:
        """Send batches of replies to the stream until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            replies, self._replies = self._replies, []
            await stream.send_message(pb.DispatchBatch(protocol=PROTOCOL, replies=replies))
            if not self._replies:
                self._is_idle.set()


class DispatchService(DispatchBase):
    """Serves one `Exchange` stream for each entry process."""

    def __init__(self, ownership: Ownership) -> None:
        self._ownership = ownership
        self._writers: set[ReplyWriter] = set()

    async def Exchange(  # noqa: N802
        self,
        stream: Stream[pb.EntryBatch, pb.DispatchBatch],
    ) -> None:
        """Receive batches of sub-requests and send batches of replies until the stream ends."""
        writer = ReplyWriter()
        self._writers.add(writer)
        sender = asyncio.create_task(writer.run(stream))
        try:
            async for batch in stream:
                self._handle_batch(batch, writer)
        except StreamTerminatedError:
            pass
        finally:
            sender.cancel()
            self._writers.discard(writer)
            # The entry process can no longer receive these replies.
            for work in list(writer.work_by_id.values()):
                self._ownership.cancel(work)

    def _handle_batch(self, batch: pb.EntryBatch, writer: ReplyWriter) -> None:
        ownership = self._ownership
        if batch.protocol != PROTOCOL:
            for request in batch.requests:
                ownership.refuse(request, writer, "unsupported_protocol")
            return
        for request in batch.requests:
            ownership.accept(request, writer)
        for sub_request_id in batch.cancels:
            work = writer.work_by_id.get(sub_request_id)
            if work is not None:
                ownership.cancel(work)

    async def wait_sent(self, timeout_s: float) -> None:
        """Wait until all replies have been written to their streams, or until the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                for writer in list(self._writers):
                    await writer.wait_sent()
