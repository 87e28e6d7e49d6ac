"""Peers that misbehave at the byte level: targets' answers, and callers' requests.

All of it is drawn from the seed. What a target inserts never changes the bytes of an otherwise
valid answer, since nobody can tell a wrong body from a true one.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from standins.hostile import (
    Close,
    HalfClose,
    Stall,
    Step,
    Write,
    WriteEndlessly,
    make_answer,
    play_steps,
)

from .callers import HOST_NAME
from .instances import CALLER_PORT, Instance
from .ledger import Outcome
from .tenants import PROBE_TENANT

if TYPE_CHECKING:
    from .world import Environment

# Other processes stop an endless sender; this only keeps a run from hanging.
MAX_ENDLESS_S = 8.0
# How long a hostile caller waits for the response to one script.
RESPONSE_TIMEOUT_S = 1.0
PAUSE_BETWEEN_REQUESTS_S = 0.05
# Statuses that promise that the request has not run; only these are recorded.
NOT_RUN_STATUSES = (408, 421, 429, 503)
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
FOREIGN_ANSWER = make_answer("other", b"foreign")
# Prefix of the ids in requests that are hidden in others. None of them may reach a target.
SMUGGLED = "smuggled"


def make_disturbed_answer(headers: dict[str, str], body: bytes, rng: random.Random) -> list[Step]:
    """Return the steps of an answer that misbehaves in one random way, and then closes.

    `headers` are those of the whole answer without its framing.
    """
    framing = rng.choice(("length", "chunked"))
    head, payload = encode_parts(headers, body, framing)
    whole = head + payload
    at = rng.randrange(len(whole))
    # Bytes behind the head would be a body.
    at_line = rng.choice([n + 1 for n, byte in enumerate(head[:-2]) if byte == ord("\n")])
    junk = bytes(rng.randrange(256) for _ in range(rng.randrange(1, 40)))
    foreign = rng.choice((INTERIM, FOREIGN_ANSWER, junk, b"X-Filler: a\r\n", b"\x00", b"\n"))
    close = Close(is_reset=rng.random() < 0.5)
    kinds: tuple[list[Step], ...] = (
        [Write(whole[:at]), close],
        [Write(head[:at_line]), WriteEndlessly(foreign)],
        [Write(whole), WriteEndlessly(foreign)],
        [Write(whole + foreign), Stall(), close],
        [Write(whole), Stall(), Write(whole), Stall(), close],
        [WriteEndlessly(foreign)],
        [Write(INTERIM * rng.randrange(1, 20) + whole), Stall(), close],
        [Write(FOREIGN_ANSWER * rng.randrange(1, 10) + whole), Stall(), close],
        [*itertools.chain.from_iterable((Write(bytes([b])), Stall(0.002)) for b in whole), close],
        [Write(head.replace(b"\r\n", b"\n") + payload), Stall(), close],
        [Write(b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n"), WriteEndlessly(foreign)],
        [Write(make_endless_body_head(headers)), WriteEndlessly(b"5\r\nabcde\r\n")],
        [Write(make_endless_body_head(headers) + b"5;"), WriteEndlessly(b"extension")],
        [Write(make_endless_body_head(headers) + b"0\r\n"), WriteEndlessly(b"X-Filler: a\r\n")],
        [Write(head[:-2] + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"), close],
    )
    return rng.choice(kinds)


def encode_parts(headers: dict[str, str], body: bytes, framing: str) -> tuple[bytes, bytes]:
    """Return the head of a whole answer, and its framed body."""
    if framing == "length":
        field, payload = f"Content-Length: {len(body)}", body
    else:
        field = "Transfer-Encoding: chunked"
        payload = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items()), field]
    return ("\r\n".join(lines) + "\r\n\r\n").encode(), payload


def make_endless_body_head(headers: dict[str, str]) -> bytes:
    """Return the head of an answer with a chunked body."""
    return encode_parts(headers, b"", "chunked")[0]


async def play_answer(
    transport: asyncio.Transport, headers: dict[str, str], body: bytes, rng: random.Random
) -> None:
    """Answer on a connection in a random wrong way, and close it."""
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(MAX_ENDLESS_S):
            await play_steps(make_disturbed_answer(headers, body, rng), transport)
    transport.close()


class HostileCaller:
    """Sends requests to one instance that are malformed, ambiguous, endless, slow or cut."""

    numbers = itertools.count(1)

    def __init__(self, environment: Environment, instance: Instance, rng: random.Random) -> None:
        self.environment = environment
        self.instance = instance
        self.rng = rng

    async def run(self) -> None:
        """Send requests, each on a connection of its own, until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.0, 2 * PAUSE_BETWEEN_REQUESTS_S))
            with contextlib.suppress(OSError):
                await self.send()

    async def send(self) -> None:
        """Play one script, and record the status of the first response if it promises anything."""
        outcome, steps = self.make_script()
        self.environment.ledger.outcomes_by_id[outcome.request_id] = outcome
        reader, writer = await asyncio.open_connection(self.instance.host, CALLER_PORT)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                playing = asyncio.create_task(play_quietly(steps, writer.transport))
                try:
                    status_line = await reader.readline()
                finally:
                    playing.cancel()
                fields = status_line.split()
                if len(fields) > 1 and fields[1].isdigit() and int(fields[1]) in NOT_RUN_STATUSES:
                    outcome.status = int(fields[1])
        except (TimeoutError, ValueError):
            pass
        finally:
            outcome.ended_at = self.environment.now()
            writer.transport.abort()

    def make_script(self) -> tuple[Outcome, list[Step]]:
        """Return the one request that a target may get, and the steps that send it."""
        rng = self.rng
        number = next(self.numbers)
        method = rng.choice(("GET", "POST"))
        route = "one" if method == "GET" else "book"
        request_id = f"hostile{number}"
        outcome = Outcome(
            request_id=request_id,
            route=route,
            instance=self.instance.name,
            process_number=self.instance.process_number,
            method=method,
            path=f"/{route}/{request_id}",
            body=b"",
            sent_at=self.environment.now(),
            error="gave up",
        )
        fields = ()
        if self.environment.tenants is not None:
            # The key of another tenant than that of the other callers.
            outcome.key = self.environment.tenants.keys_by_tenant[PROBE_TENANT][0].text
            fields = (f"Authorization: Bearer {outcome.key}",)
        hidden = make_request("GET", f"/one/{SMUGGLED}", f"{SMUGGLED}{number}", *fields)
        return outcome, rng.choice(REQUEST_KINDS)(outcome, hidden, rng)


def make_request(method: str, path: str, request_id: str, *fields: str) -> bytes:
    """Return the head of a request with these additional fields."""
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Milliseconds: 1500",
        *fields,
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def make_head(outcome: Outcome, *fields: str) -> bytes:
    """Return the head of a caller's own request."""
    if outcome.key:
        fields = (f"Authorization: Bearer {outcome.key}", *fields)
    return make_request(outcome.method, outcome.path, outcome.request_id, *fields)


def send_ambiguous(outcome: Outcome, hidden: bytes, rng: random.Random) -> list[Step]:
    """Frame a body in two ways, so that one reading of it holds a second request."""
    fields = rng.choice(
        (
            ("Content-Length: 5", "Transfer-Encoding: chunked"),
            ("Transfer-Encoding: chunked", f"Content-Length: {len(hidden) + 5}"),
            ("Content-Length: 0", f"Content-Length: {len(hidden)}"),
            (f"Content-Length: 0, {len(hidden)}",),
            ("Transfer-Encoding: chunked, identity",),
            ("Transfer-Encoding: xchunked",),
            ("Transfer-Encoding : chunked",),
            ("Content-Length: +0",),
            ("Content-Length: 0\rX-Filler: a",),
            ("X-Filler: a\n" + hidden.decode(),),
        )
    )
    return [Write(make_head(outcome, *fields) + b"0\r\n\r\n" + hidden), Stall(0.3)]


def send_behind_close(outcome: Outcome, hidden: bytes, rng: random.Random) -> list[Step]:
    """Send a second request behind one that ends the connection."""
    return [Write(make_head(outcome, "Connection: close") + hidden), Stall(0.3)]


def send_endlessly(outcome: Outcome, hidden: bytes, rng: random.Random) -> list[Step]:
    """Send a request line, a head or a body without end."""
    head = make_head(outcome)
    start, block = rng.choice(
        (
            (b"GET /", b"a"),
            (head[:-2], b"X-Filler: a\r\n"),
            (head[:-2] + b"X-Filler: ", b"a"),
            (make_head(outcome, "Content-Length: 999999999999"), b"a"),
            (make_head(outcome, "Transfer-Encoding: chunked"), b"5\r\nabcde\r\n"),
            (make_head(outcome, "Transfer-Encoding: chunked") + b"5;", b"extension"),
            (b"", b"\r\n"),
        )
    )
    return [Write(start), WriteEndlessly(block)]


def send_slowly(outcome: Outcome, hidden: bytes, rng: random.Random) -> list[Step]:
    """Send the bytes one by one."""
    gap_s = rng.choice((0.0005, 0.02))
    return [step for byte in make_head(outcome) for step in (Write(bytes([byte])), Stall(gap_s))]


def send_cut(outcome: Outcome, hidden: bytes, rng: random.Random) -> list[Step]:
    """End the connection within the request, or close one direction behind it."""
    head = make_head(outcome)
    if rng.random() < 0.3:
        return [Write(head), HalfClose(), Stall(0.3)]
    return [Write(head[: rng.randrange(len(head))]), Close(is_reset=rng.random() < 0.5)]


def send_odd_fields(outcome: Outcome, hidden: bytes, rng: random.Random) -> list[Step]:
    """Send a head with odd fields, or one that is damaged behind its request line and id."""
    field = rng.choice(
        (
            "X-Deadline-Milliseconds: nan",
            "X-Deadline-Milliseconds: -1e400",
            "Connection: X-Request-Id, Host",
            "X-Filler: a\r\n b",
            "X-Filler: \x00",
            "X-Request-Id: other",
            "Expect: 100-continue",
            "Upgrade: websocket\r\nConnection: upgrade",
            "X-Filler: " + "a" * 20_000,
            "\r\n".join(f"X-Filler-{number}: a" for number in range(400)),
            "".join(chr(rng.randrange(1, 256)) for _ in range(30)),
        )
    )
    return [Write(make_head(outcome, field)), Stall(0.3)]


def send_odd_target(outcome: Outcome, hidden: bytes, rng: random.Random) -> list[Step]:
    """Send an odd method, version or request target."""
    line = rng.choice(
        (
            f"{outcome.method} http://{HOST_NAME}{outcome.path} HTTP/1.1",
            "CONNECT example:80 HTTP/1.1",
            "OPTIONS * HTTP/1.1",
            "PRI * HTTP/2.0",
            f"{outcome.method} {outcome.path} HTTP/1.1 HTTP/1.1",
            f"{outcome.method} {outcome.path} HTTP/9.9",
            "\x16\x03\x01\x02\x00\x01",
        )
    )
    fields = make_head(outcome).split(b"\r\n", 1)[1]
    return [Write(line.encode() + b"\r\n" + fields), Stall(0.2)]


def send_mixture(outcome: Outcome, hidden: bytes, rng: random.Random) -> list[Step]:
    """Combine odd lines before, in and behind a request, in parts, with an odd end."""
    before = rng.choice((b"", b"\r\n" * 50))
    fields = rng.choice(((), ("a:",) * 240, ("X-Filler: a" + "\r\n b" * 100,)))
    is_whole = rng.random() < 0.7
    framing, payload, outcome.body = rng.choice(WHOLE_BODIES if is_whole else CUT_BODIES)
    nowhere = make_request("GET", "/nowhere", "nowhere")
    behind = b""
    if is_whole:
        behind = rng.choice((b"", nowhere * 8, nowhere[:-2] + b"a:\r\n" * 240))
    data = before + make_head(outcome, *framing, *fields) + payload + behind
    cuts = [0, *sorted(rng.sample(range(1, len(data)), 3)), len(data)]
    gap_s = rng.choice((0.0, 0.02))
    steps: list[Step] = []
    for start, end in itertools.pairwise(cuts):
        steps += (Write(data[start:end]), Stall(gap_s))
    ends: tuple[list[Step], ...] = (
        [Stall(0.3)],
        [HalfClose(), Stall(0.3)],
        [Close(is_reset=True)],
        [WriteEndlessly(rng.choice((nowhere, b"\r\n", b"a: b\r\n")))],
    )
    # Endless bytes behind a body that stops would complete it.
    return steps + rng.choice(ends if is_whole else ends[:3])


# Fields and bytes of bodies, and what a target gets of them.
MixedBody = tuple[tuple[str, ...], bytes, bytes]
WHOLE_BODIES: tuple[MixedBody, ...] = (
    ((), b"", b""),
    (("Content-Length: 1000",), b"a" * 1000, b"a" * 1000),
    (
        ("Transfer-Encoding: chunked",),
        b"1;" + b"e" * 500 + b"\r\na\r\n0\r\n" + b"b: c\r\n" * 50 + b"\r\n",
        b"a",
    ),
)
CUT_BODIES: tuple[MixedBody, ...] = (
    (("Content-Length: 1000",), b"", b""),
    (("Transfer-Encoding: chunked",), b"1\r\na\r\n0\r\n" + b"b:\r\n" * 200, b"a"),
)

RequestKind = Callable[[Outcome, bytes, random.Random], list[Step]]

REQUEST_KINDS: tuple[RequestKind, ...] = (
    send_ambiguous,
    send_behind_close,
    send_endlessly,
    send_slowly,
    send_cut,
    send_odd_fields,
    send_odd_target,
    # Twice, since it combines several forms.
    send_mixture,
    send_mixture,
)


async def play_quietly(steps: list[Step], transport: asyncio.Transport) -> None:
    """Play steps until the other side closes the connection."""
    with contextlib.suppress(ConnectionError):
        await play_steps(steps, transport)
