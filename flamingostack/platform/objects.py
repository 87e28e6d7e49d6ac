"""Client of the platform's store: one HTTP request for each call, never repeated."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any
from urllib.parse import quote, urlencode

from ..gateway.model import StoredRecord, StoredRecords
from ..store import (
    Response,
    StoreFailure,
    StoreReason,
    make_probing_connector,
    make_session,
    send_request,
)

if TYPE_CHECKING:
    import aiohttp

# Kinds of objects; the platform and its operators write the first three.
CONFIGURATIONS = "config"
TARGETS = "servers"
EVACUATIONS = "evacuations"
# Our own: one object for each instance of the gateway.
INSTANCES = "flamingostack-instances"

# Answers take 4 ms in the calm, and 50 times as long on slow days.
CALL_TIMEOUT_S = 1.5
# A path that has gone silent is noticed after three unanswered probes, one a second.
KEEPALIVE_PROBE_S = 1
KEEPALIVE_PROBES = 3


class ObjectStore:
    """Connections to the platform's store. Owned by one event loop; `close` ends them."""

    __slots__ = ("url", "_session")

    def __init__(self, url: str) -> None:
        self.url = f"{url}/-/objects"
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def list_objects(
        self, kind: str, may_be_stale: bool = False
    ) -> StoredRecords | StoreFailure:
        """Return all objects of a kind, page by page.

        A list that may be seconds old costs a tenth, and does not count towards the store's rates.

        The revision is that of the oldest page, so that a watch from it repeats what has changed
        while the others were read.
        """
        records: list[StoredRecord] = []
        revision = None
        after = ""
        while True:
            query = {"allowStale": "1"} if may_be_stale else {}
            if after:
                query["after"] = after
            answer = await self._read(kind, query, CALL_TIMEOUT_S)
            if isinstance(answer, StoreFailure):
                return answer
            try:
                page = [decode_object(item) for item in answer["items"]]
                read_at = answer["atRevision"]
                revision = read_at if revision is None else min(revision, read_at)
                has_more = bool(answer.get("hasMore")) and bool(page)
            except (KeyError, TypeError, AttributeError) as error:
                return StoreFailure(StoreReason.UNAVAILABLE, f"{kind}: malformed list: {error!r}")
            records += page
            if not has_more:
                return StoredRecords(records, revision, is_whole=True)
            after = page[-1].name

    async def watch(self, kind: str, revision: int, wait_s: float) -> StoredRecords | StoreFailure:
        """Return what changed after `revision`; wait up to `wait_s` for the first change.

        HISTORY_GONE tells that the store no longer knows what has changed since then.
        """
        query = {"watch": str(revision), "waitMs": str(int(wait_s * 1000))}
        answer = await self._read(kind, query, wait_s + CALL_TIMEOUT_S)
        if isinstance(answer, StoreFailure):
            return answer
        try:
            records = []
            for event in answer["events"]:
                record = decode_object(event["object"])
                if event.get("deleted"):
                    record.value = None
                records.append(record)
            return StoredRecords(records, answer["atRevision"], is_whole=False)
        except (KeyError, TypeError, AttributeError) as error:
            return StoreFailure(StoreReason.UNAVAILABLE, f"{kind}: malformed events: {error!r}")

    async def put(self, kind: str, name: str, value: object) -> None | StoreFailure:
        """Create an object, or replace it whatever its revision; None when it is stored."""
        body = {"meta": {"name": name}, "spec": value}
        created = await self._call("POST", f"{self.url}/{kind}", body)
        if isinstance(created, StoreFailure):
            return created
        if created.status != 409:
            return check_status(created, name)
        replaced = await self._call("PUT", f"{self.url}/{kind}/{quote(name, safe='')}", body)
        if isinstance(replaced, StoreFailure):
            return replaced
        return check_status(replaced, name)

    async def delete(self, kind: str, name: str) -> None | StoreFailure:
        """Delete an object; None when it is gone."""
        answer = await self._call("DELETE", f"{self.url}/{kind}/{quote(name, safe='')}", None)
        if isinstance(answer, StoreFailure) or answer.status == 404:
            return answer if isinstance(answer, StoreFailure) else None
        return check_status(answer, name)

    async def _read(
        self, kind: str, query: dict[str, str], timeout_s: float
    ) -> dict[str, Any] | StoreFailure:
        url = f"{self.url}/{kind}"
        if query:
            url = f"{url}?{urlencode(query)}"
        answer = await self._call("GET", url, None, timeout_s)
        if isinstance(answer, StoreFailure):
            return answer
        failure = check_status(answer, kind)
        if failure is not None:
            return failure
        try:
            decoded = json.loads(answer.body)
        except ValueError as error:
            return StoreFailure(StoreReason.UNAVAILABLE, f"{kind}: malformed answer: {error}")
        if not isinstance(decoded, dict):
            return StoreFailure(StoreReason.UNAVAILABLE, f"{kind}: the answer is no object")
        return decoded

    async def _call(
        self, method: str, url: str, body: object, timeout_s: float = CALL_TIMEOUT_S
    ) -> Response | StoreFailure:
        if self._session is None:
            self._session = make_session(
                make_probing_connector(KEEPALIVE_PROBE_S, KEEPALIVE_PROBES)
            )
        headers = {"Content-Type": "application/json"} if body is not None else None
        data = json.dumps(body).encode() if body is not None else None
        return await send_request(
            self._session, method, url, timeout_s, CALL_TIMEOUT_S, headers=headers, data=data
        )


def check_status(answer: Response, subject: str) -> None | StoreFailure:
    """Return None for a success, else the failure that the status stands for."""
    match answer.status:
        case 200 | 201 | 204:
            return None
        case 404:
            reason = StoreReason.NOT_FOUND
        case 409:
            reason = StoreReason.CONFLICT
        case 410:
            reason = StoreReason.HISTORY_GONE
        case 413:
            reason = StoreReason.TOO_LARGE
        case 429 | 503:
            reason = StoreReason.UNAVAILABLE
        case status if status >= 500:
            reason = StoreReason.OUTCOME_UNKNOWN
        case _:
            reason = StoreReason.REFUSED
    message = f"{subject}: status {answer.status}"
    return StoreFailure(reason, message, answered=answer.status < 500)


def decode_object(item: dict[str, Any]) -> StoredRecord:
    """Decode the frame of an object; KeyError or TypeError if it has none."""
    meta = item["meta"]
    return StoredRecord(str(meta["name"]), int(meta.get("revision") or 0), item.get("spec"))
