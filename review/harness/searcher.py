"""A searcher: slots, a queue, and an answer with the signature of its service."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import time
from collections.abc import Callable

from .http import MAX_HEAD_BYTES, Message, encode_response, read_message

RECORD_BYTES = 16
RECORDS = 8


def make_stamp(service: str, request_id: str) -> str:
    """Return the signature of a service's answer to a request."""
    return f"{request_id}.{service}"


def make_body(service: str, request_id: str) -> bytes:
    """Return the records of a service for a request."""
    texts = (f"{service}/{request_id}/{number}" for number in range(RECORDS))
    return b"".join(hashlib.sha256(text.encode()).digest()[:RECORD_BYTES] for text in texts)


class Run:
    """A request that a searcher has begun to work on."""

    __slots__ = ("at", "request_id", "service", "target", "status", "ended_at")

    def __init__(self, at: float, request_id: str, service: str, target: str) -> None:
        self.at = at
        self.request_id = request_id
        self.service = service
        self.target = target
        # 0 while it runs, and if its connection was closed before its end.
        self.status = 0
        self.ended_at = 0.0


class Searcher:
    """Runs requests; `choose_status` is the status of each answer, `work_s` the time for it."""

    def __init__(
        self,
        id: str,
        service: str,
        zone: str,
        runs: list[Run],
        *,
        work_s: float,
        slots: int = 6,
        queue: int = 24,
        choose_status: Callable[[], int] = lambda: 200,
    ) -> None:
        self.id = id
        self.service = service
        self.zone = zone
        self.runs = runs
        self.work_s = work_s
        # How many times as long as usual the work takes.
        self.slowness = 1.0
        self.slots = slots
        self.queue = queue
        self.choose_status = choose_status
        # Whether it leaves, and says so in its answers.
        self.is_leaving = False
        self.running = 0
        self.waiting = 0
        self.address = ""
        self.born = int(time.time() * 1000)
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0, limit=MAX_HEAD_BYTES)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()

    def make_entry(self) -> dict:
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                answer = asyncio.create_task(self._answer(request))
                # A searcher drops a request whose connection closes.
                closed = asyncio.create_task(wait_for_close(reader))
                await asyncio.wait({answer, closed}, return_when=asyncio.FIRST_COMPLETED)
                if not answer.done():
                    answer.cancel()
                    break
                closed.cancel()
                await asyncio.wait({closed})
                writer.write(answer.result())
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> bytes:
        request_id = request.headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id}
        if self.is_leaving:
            echo["Server-Leaving"] = "1"
        if request.headers.get("x-expected-instance") not in (None, self.id):
            return encode_response(421, echo | {"X-Instance-Id": self.id})
        if self.waiting >= self.queue:
            load = f"{self.running},{self.waiting},{self.slots}"
            return encode_response(503, echo | {"X-Not-Executed": "1", "X-Server-Load": load})
        until = time.monotonic() + int(request.headers["x-deadline-milliseconds"]) / 1000
        self.waiting += 1
        try:
            async with asyncio.timeout(until - time.monotonic()):
                await self._free.acquire()
        except TimeoutError:
            return encode_response(503, echo | {"X-Not-Executed": "1"})
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self._run(request_id, until, echo)
        finally:
            self.running -= 1
            self._free.release()

    async def _run(self, request_id: str, until: float, echo: dict[str, str]) -> bytes:
        run = Run(time.monotonic(), request_id, self.service, self.id)
        self.runs.append(run)
        left_s = until - time.monotonic()
        work_s = self.work_s * self.slowness
        await asyncio.sleep(min(work_s, left_s))
        run.status = self.choose_status() if work_s <= left_s else 504
        run.ended_at = time.monotonic()
        headers = echo | {
            "X-Response-Stamp": make_stamp(self.service, request_id),
            "X-Server-Load": f"{self.running},{self.waiting},{self.slots}",
        }
        body = make_body(self.service, request_id) if run.status == 200 else b"failed"
        return encode_response(run.status, headers, body)


async def wait_for_close(reader: asyncio.StreamReader) -> None:
    """Wait until the connection is closed; the caller sends nothing before it has its answer."""
    while not reader.at_eof():  # noqa: ASYNC110
        await asyncio.sleep(0.02)
