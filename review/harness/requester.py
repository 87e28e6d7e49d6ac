"""A requester with one kept connection, which sends one request at a time."""

from __future__ import annotations

import asyncio
import time

from .http import read_message


class Outcome:
    """One request and what the requester has seen of it; times are of `time.monotonic`."""

    __slots__ = ("request_id", "path", "sent_at", "ended_at", "status", "headers", "body", "error")

    def __init__(self, request_id: str, path: str, sent_at: float) -> None:
        self.request_id = request_id
        self.path = path
        self.sent_at = sent_at
        self.ended_at = 0.0
        # 0 without a whole answer.
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.error = ""

    def describe(self) -> str:
        """Return a line for the record."""
        elapsed_ms = (self.ended_at - self.sent_at) * 1000
        return f"{self.request_id} {self.path} -> {self.status or self.error} {elapsed_ms:.0f} ms"


class Requester:
    """Sends requests to one gateway."""

    def __init__(self, name: str, host: str, port: int, outcomes: list[Outcome]) -> None:
        self.name = name
        self.host = host
        self.port = port
        self.outcomes = outcomes
        self._sent = 0
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self, host_name: str, path: str, time_limit_s: float, body: bytes | None = None
    ) -> Outcome:
        """Send a GET, or a POST with a body, and wait for the answer until the time limit."""
        self._sent += 1
        outcome = Outcome(f"{self.name}-{self._sent}", path, time.monotonic())
        self.outcomes.append(outcome)
        try:
            async with asyncio.timeout(time_limit_s):
                await self._exchange(outcome, host_name, time_limit_s, body)
        except TimeoutError:
            outcome.error = "no answer in time"
        except asyncio.IncompleteReadError:
            outcome.error = "connection closed without an answer"
        except OSError as error:
            outcome.error = repr(error)
        outcome.ended_at = time.monotonic()
        if not outcome.status or outcome.headers.get("connection", "").lower() == "close":
            self.close()
        return outcome

    async def _exchange(
        self, outcome: Outcome, host_name: str, time_limit_s: float, body: bytes | None
    ) -> None:
        if self._streams is None:
            self._streams = await asyncio.open_connection(self.host, self.port)
        reader, writer = self._streams
        lines = [
            f"{'GET' if body is None else 'POST'} {outcome.path} HTTP/1.1",
            f"Host: {host_name}",
            f"X-Request-Id: {outcome.request_id}",
            f"X-Deadline-Milliseconds: {int(time_limit_s * 1000)}",
        ]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b""))
        await writer.drain()
        answer = await read_message(reader)
        outcome.status, outcome.headers, outcome.body = answer.status, answer.headers, answer.body

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
