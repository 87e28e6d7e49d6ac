"""Stand-in for a searcher, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import hashlib
import time

from .http1 import Request, Response, Server
from .record import Record


class Searcher:
    """A searcher that answers each request after `work_s`, and records what reaches it."""

    def __init__(
        self, record: Record, name: str, service: str, zone: str, work_s: float = 0.01
    ) -> None:
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = 6
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.running = 0
        self.server = Server(self._handle)

    def make_entry(self) -> dict:
        """Return what it says of itself in the store."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    def make_stamp(self, request_id: str) -> str:
        """Return the signature of its answer to a request."""
        return hashlib.sha256(f"{self.name} {request_id}".encode()).hexdigest()[:24]

    async def _handle(self, request: Request) -> Response | None:
        if request.path == "/health":
            return Response(200, b"", {"X-Instance-Id": self.name})
        request_id = request.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id}
        expected = request.headers.get("x-expected-instance")
        if expected is not None and expected != self.name:
            return Response(421, b"", headers | {"X-Instance-Id": self.name})
        self.record.add("arrived", id=request_id, searcher=self.name, service=self.service)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        headers["X-Response-Stamp"] = self.make_stamp(request_id)
        headers["X-Server-Load"] = f"{self.running},0,{self.slots}"
        return Response(200, hashlib.sha256(request_id.encode()).digest(), headers)
