"""Passing the picture of the store between instances.

Load patterns answered: the store turns some instances away and serves the others, so an instance
whose feed fails asks a random other one; and the store's calls cost more the larger the fleet is,
so most instances follow two others of their failure domain (`readers.py`, `follower.py`) and not
the store. The store's revision orders all pictures, so that none replaces a newer one. An answer
holds what has changed since the asking instance's revision, and all objects only if that is too
long ago.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from ..store import StoreFailure, make_session, send_request
from .model import StoredRecord, StoredRecords

if TYPE_CHECKING:
    from .feeds import Feed, StoreStatus

PATH = "/v1/feeds"
# A round trip between failure domains takes 8 ms; a peer that does not answer is passed over.
PEER_TIMEOUT_S = 0.5
# A poll waits at most so long for news, whatever is asked.
MAX_POLL_WAIT_S = 5.0
MS_PER_S = 1000
# A configuration of some hundred routes has 100 KB, and a reader with a link of 20 Mbit/s passes it
# to twenty followers; it compresses to a tenth. The fastest level is enough for that.
COMPRESSION_LEVEL = 1


class RelayRecord(msgspec.Struct):
    """An object of the store as instances pass it on; `value` is None for a deleted one."""

    name: str
    revision: int
    value: object


class RelayChanges(msgspec.Struct):
    """Changes of one kind up to a revision; all objects if `is_whole`."""

    revision: int
    records: list[RelayRecord]
    is_whole: bool


class RelayFrame(msgspec.Struct):
    """How well the answering instance knows the store; times in seconds.

    `age_s` is the time since the store last confirmed the picture, and `failed_age_s` the time
    since it last failed; None: never.
    """

    age_s: float | None
    failed_age_s: float | None
    is_lost: bool


class RelayAnswer:
    """News by kind, and how well the answering instance knows the store."""

    __slots__ = ("frame", "changes_by_kind")

    def __init__(self, frame: RelayFrame, changes_by_kind: dict[str, RelayChanges]) -> None:
        self.frame = frame
        self.changes_by_kind = changes_by_kind


class AnswerEncoder:
    """Encodes answers; followers mostly ask for the same, so that the last changes are kept."""

    __slots__ = ("_key", "_encoded")

    def __init__(self) -> None:
        self._key: object = None
        self._encoded = b""

    def encode(self, revisions_by_kind: Mapping[str, int], answer: RelayAnswer) -> bytes:
        """Return the answer's frame, a line break, and its changes as compressed JSON."""
        known = {kind: changes.revision for kind, changes in answer.changes_by_kind.items()}
        key = ({kind: revisions_by_kind[kind] for kind in known}, known)
        if key != self._key:
            changes = msgspec.json.encode(answer.changes_by_kind)
            self._key, self._encoded = key, zlib.compress(changes, COMPRESSION_LEVEL)
        return msgspec.json.encode(answer.frame) + b"\n" + self._encoded


class PeerClient:
    """Asks other instances. Owned by one event loop; `close` ends its connections."""

    __slots__ = ("addresses_by_instance", "domains_by_instance", "_session")

    def __init__(self) -> None:
        self.addresses_by_instance: dict[str, str] = {}
        self.domains_by_instance: dict[str, str] = {}
        self._session = make_session()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def poll(
        self, address: str, revisions_by_kind: Mapping[str, int], wait_s: float
    ) -> RelayAnswer | None:
        """Return an instance's news since the revisions, waiting for some; None if it fails.

        A revision of -1 asks for all objects of the kind.
        """
        query = "&".join(f"{kind}={revision}" for kind, revision in revisions_by_kind.items())
        answer = await send_request(
            self._session,
            "GET",
            f"http://{address}{PATH}?wait_ms={int(wait_s * MS_PER_S)}&{query}",
            timeout_s=wait_s + PEER_TIMEOUT_S,
            connect_s=PEER_TIMEOUT_S,
        )
        # An instance that is down is no event here: who asks decides what follows.
        if isinstance(answer, StoreFailure) or answer.status != 200:
            return None
        return decode_answer(answer.body)

    async def fetch(self, kind: str, since: int) -> StoredRecords | None:
        """Return news of one kind from a random instance; None if it has none."""
        if not self.addresses_by_instance:
            return None
        address = random.choice(list(self.addresses_by_instance.values()))
        answer = await self.poll(address, {kind: since}, 0.0)
        if answer is None or kind not in answer.changes_by_kind:
            return None
        return decode_changes(answer.changes_by_kind[kind])


def decode_answer(body: bytes) -> RelayAnswer | None:
    """Decode another instance's answer; None if it cannot be read."""
    head, _, packed = body.partition(b"\n")
    try:
        frame = msgspec.json.decode(head, type=RelayFrame)
        changes = msgspec.json.decode(zlib.decompress(packed), type=dict[str, RelayChanges])
    except (msgspec.DecodeError, zlib.error):
        return None
    return RelayAnswer(frame, changes)


def decode_changes(changes: RelayChanges) -> StoredRecords:
    """Return the changes as the store would have told them."""
    records = [StoredRecord(item.name, item.revision, item.value) for item in changes.records]
    return StoredRecords(records, changes.revision, changes.is_whole)


def make_relay_server(feeds_by_kind: Mapping[str, Feed], store_status: StoreStatus) -> web.Server:
    """Return the server that other instances ask."""
    encoder = AnswerEncoder()

    async def handle(request: web.BaseRequest) -> web.Response:
        wait_ms = request.query.get("wait_ms", "")
        revisions_by_kind = {
            kind: int(text)
            for kind, text in request.query.items()
            if kind in feeds_by_kind and text.lstrip("-").isdigit()
        }
        if request.path != PATH or not wait_ms.isdigit() or not revisions_by_kind:
            return web.Response(status=404)
        store_status.record_poll()
        wait_s = min(int(wait_ms) / MS_PER_S, MAX_POLL_WAIT_S)
        answer = await make_answer(feeds_by_kind, store_status, revisions_by_kind, wait_s)
        body = encoder.encode(revisions_by_kind, answer)
        return web.Response(body=body, content_type="application/octet-stream")

    return web.Server(handle, access_log=None)


async def make_answer(
    feeds_by_kind: Mapping[str, Feed],
    store_status: StoreStatus,
    revisions_by_kind: Mapping[str, int],
    wait_s: float,
) -> RelayAnswer:
    """Return news since the revisions, as soon as there is some or the time is over."""
    changes_by_kind = collect_changes(feeds_by_kind, revisions_by_kind)
    if not changes_by_kind and wait_s:
        await store_status.wait_for_update(wait_s)
        changes_by_kind = collect_changes(feeds_by_kind, revisions_by_kind)
    frame = RelayFrame(
        age_s=store_status.age_s(),
        failed_age_s=store_status.failed_age_s(),
        is_lost=any(feed.is_lost for feed in feeds_by_kind.values()),
    )
    return RelayAnswer(frame, changes_by_kind)


def collect_changes(
    feeds_by_kind: Mapping[str, Feed], revisions_by_kind: Mapping[str, int]
) -> dict[str, RelayChanges]:
    """Return what the feeds know beyond the revisions; a feed that is lost passes nothing on."""
    changes_by_kind = {}
    for kind, since in revisions_by_kind.items():
        feed = feeds_by_kind[kind]
        known = None if feed.is_lost else feed.changes_since(since)
        if known is None:
            continue
        records = [RelayRecord(item.name, item.revision, item.value) for item in known.records]
        changes_by_kind[kind] = RelayChanges(known.revision, records, known.is_whole)
    return changes_by_kind
