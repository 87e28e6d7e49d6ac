"""Short questions between instances, as datagrams.

It handles the load pattern of a decision that needs another instance once for each request: a
datagram costs a fraction of an HTTP exchange, and no connection can fall silent. A question or an
answer that is lost is sent once more. Answers are remembered for a moment, so that a repeated
question is not counted twice by its handler.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import OrderedDict
from collections.abc import Callable, Mapping

import msgspec

from .model import Address

MAX_DATAGRAM_BYTES = 1200
# A round trip between failure domains takes 8 ms.
REPEAT_AFTER_S = 0.02
# A question is repeated within this time, so its answer is not needed for longer.
REMEMBER_ANSWERS_S = 1.0
MAX_REMEMBERED_ANSWERS = 4096

# Takes the name of the asking instance and the question; returns the answer, None for none.
Handler = Callable[[str, msgspec.Raw], object | None]


class Question(msgspec.Struct, array_like=True, tag=0):
    """A question of an instance; `number` tells its questions apart."""

    number: int
    sender: str
    kind: str
    value: msgspec.Raw


class Answer(msgspec.Struct, array_like=True, tag=1):
    """The answer to the question with the same number."""

    number: int
    value: msgspec.Raw


DECODER = msgspec.msgpack.Decoder(Question | Answer)
ENCODER = msgspec.msgpack.Encoder()


class DatagramPeer(asyncio.DatagramProtocol):
    """Asks other instances, and answers theirs; `open` binds it to an address.

    `addresses_by_instance` holds "host:port" of the known instances; others are not answered.
    Owned by one event loop.
    """

    __slots__ = (
        "instance",
        "addresses_by_instance",
        "handlers_by_kind",
        "_transport",
        "_loop",
        "_numbers",
        "_replies_by_number",
        "_answers_by_question",
    )

    def __init__(self, instance: str, addresses_by_instance: Mapping[str, str]) -> None:
        self.instance = instance
        self.addresses_by_instance = addresses_by_instance
        self.handlers_by_kind: dict[str, Handler] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._loop = asyncio.get_running_loop()
        # An instance that has restarted must not repeat the numbers of its predecessor.
        self._numbers = itertools.count(int(self._loop.time() * 1e6))
        self._replies_by_number: dict[int, asyncio.Future[msgspec.Raw]] = {}
        self._answers_by_question: OrderedDict[tuple[str, int], tuple[float, bytes]] = OrderedDict()

    async def open(self, address: Address) -> None:
        """Start to receive at an address; raise OSError if it is not free."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def close(self) -> None:
        """Stop to receive; questions in flight get no answer."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    async def ask(
        self, instance: str, kind: str, value: object, timeout_s: float
    ) -> msgspec.Raw | None:
        """Return the encoded answer of an instance to a question; None if there is none in time.

        Raise ValueError if the question does not fit into a datagram.
        """
        address = parse_peer_address(self.addresses_by_instance.get(instance))
        if address is None or self._transport is None:
            return None
        number = next(self._numbers)
        raw = msgspec.Raw(ENCODER.encode(value))
        data = ENCODER.encode(Question(number, self.instance, kind, raw))
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"a question of {len(data)} bytes does not fit into a datagram")
        reply = self._replies_by_number[number] = self._loop.create_future()
        repeat = self._loop.call_later(REPEAT_AFTER_S, self._send, data, address)
        self._send(data, address)
        try:
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError:
            return None
        finally:
            repeat.cancel()
            del self._replies_by_number[number]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Answer a question, or pass an answer on to who waits for it; ignore all else."""
        try:
            message = DECODER.decode(data)
        except (msgspec.DecodeError, RecursionError):
            return
        match message:
            case Question():
                self._answer(message, addr)
            case Answer(number=number, value=value):
                reply = self._replies_by_number.get(number)
                if reply is not None and not reply.done():
                    reply.set_result(value)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of the network; the question gets no answer."""

    def _answer(self, question: Question, address: tuple) -> None:
        handler = self.handlers_by_kind.get(question.kind)
        if handler is None or question.sender not in self.addresses_by_instance:
            return
        now = self._loop.time()
        key = (question.sender, question.number)
        self._forget_answers(now)
        known = self._answers_by_question.get(key)
        if known is None:
            value = handler(question.sender, question.value)
            if value is None:
                return
            raw = msgspec.Raw(ENCODER.encode(value))
            known = (now, ENCODER.encode(Answer(question.number, raw)))
            self._answers_by_question[key] = known
        self._send(known[1], address)

    def _forget_answers(self, now: float) -> None:
        answers = self._answers_by_question
        while answers:
            at, _ = next(iter(answers.values()))
            if now - at < REMEMBER_ANSWERS_S and len(answers) < MAX_REMEMBERED_ANSWERS:
                return
            answers.popitem(last=False)

    def _send(self, data: bytes, address: tuple) -> None:
        if self._transport is not None:
            self._transport.sendto(data, address)


def parse_peer_address(text: str | None) -> Address | None:
    """Return host and port of "host:port"; None if the text is missing or malformed."""
    host, _, port = (text or "").rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        return None
    return host, int(port)
