"""Passing the picture of the store between instances.

Load pattern answered: the store turns some instances away and serves the others. An instance
whose feed fails asks a random other one for a newer picture. The store's revision orders all
pictures, so that none replaces a newer one. Answers without news are empty, since bytes between
failure domains are paid for.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from ..store import StoreFailure, make_session, send_request
from .model import StoredRecord, StoredRecords

if TYPE_CHECKING:
    from .feeds import Feed

PATH = "/v1/feeds/"
# A round trip between failure domains takes 8 ms; a peer that does not answer is passed over.
PEER_TIMEOUT_S = 0.5


class RelayRecord(msgspec.Struct):
    """An object of the store as instances pass it on."""

    name: str
    revision: int
    value: object


class RelayAnswer(msgspec.Struct):
    """All objects of one kind at a revision."""

    revision: int
    records: list[RelayRecord]


class PeerClient:
    """Asks other instances. Owned by one event loop; `close` ends its connections."""

    __slots__ = ("addresses_by_instance", "_session")

    def __init__(self) -> None:
        self.addresses_by_instance: dict[str, str] = {}
        self._session = make_session()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def fetch(self, kind: str, since: int) -> StoredRecords | None:
        """Return a picture newer than `since` from a random instance; None if it has none."""
        if not self.addresses_by_instance:
            return None
        address = random.choice(list(self.addresses_by_instance.values()))
        answer = await send_request(
            self._session,
            "GET",
            f"http://{address}{PATH}{kind}?since={since}",
            timeout_s=PEER_TIMEOUT_S,
            connect_s=PEER_TIMEOUT_S,
        )
        # An instance that is down, or has no news, is no event: the next one is asked soon.
        if isinstance(answer, StoreFailure) or answer.status != 200:
            return None
        return decode_picture(answer.body)


def decode_picture(body: bytes) -> StoredRecords | None:
    """Decode another instance's picture; None if it cannot be read."""
    try:
        answer = msgspec.json.decode(body, type=RelayAnswer)
    except msgspec.DecodeError:
        return None
    records = [StoredRecord(item.name, item.revision, item.value) for item in answer.records]
    return StoredRecords(records, answer.revision)


def make_relay_server(feeds_by_kind: Mapping[str, Feed]) -> web.Server:
    """Return the server that other instances ask."""

    async def handle(request: web.BaseRequest) -> web.Response:
        feed = feeds_by_kind.get(request.path.removeprefix(PATH))
        since = request.query.get("since", "")
        if feed is None or not since.lstrip("-").isdigit():
            return web.Response(status=404)
        if feed.revision is None or feed.is_lost or feed.revision <= int(since):
            return web.Response(status=204)
        records = [
            RelayRecord(record.name, record.revision, record.value)
            for record in feed.records_by_name.values()
        ]
        body = msgspec.json.encode(RelayAnswer(feed.revision, records))
        return web.Response(body=body, content_type="application/json")

    return web.Server(handle, access_log=None)
