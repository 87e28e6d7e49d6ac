"""Client of the platform's store. It never retries an HTTP request."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any
from urllib.parse import quote, urlencode

from ..gateway.model import StoredRecord, StoredRecords
from ..gateway.position import NO_ERA
from ..store import (
    Response,
    StoreFailure,
    StoreReason,
    make_probing_connector,
    make_session,
    send_request,
)
from .entries import (
    EVACUATIONS,
    ListResponse,
    Shape,
    StoredItem,
    WatchResponse,
    decode_meta,
    decode_object,
    measure_object,
    split_response,
)
from .era import read_era

if TYPE_CHECKING:
    import aiohttp

# The store usually answers within 4 ms, and takes 50 times as long when it is slow.
CALL_TIMEOUT_S = 1.5
# A silent connection is detected after three unanswered TCP keepalive probes, one per second.
KEEPALIVE_PROBE_S = 1
KEEPALIVE_PROBES = 3
# A list of 11,000 targets takes fewer pages even if each holds one of them. A list without these
# limits that pages without end keeps an instance at work, or fills the memory.
MAX_PAGES = 16_384
# How often a list is read whose pages turn out to be of several eras.
MAX_LISTS = 3
MAX_LIST_BYTES = 512 * 1024 * 1024
# What may be kept of a list, see `measure_object`. 11,000 targets with entries of 1,400 bytes take
# two thirds.
MAX_KEPT_BYTES = 32 * 1024 * 1024
DECODE_ERRORS = (ValueError, RecursionError, KeyError, TypeError, AttributeError)


class ObjectStore:
    """Client with connections to the platform's store.

    Owned by one event loop; `close` ends the connections. `era` is the highest that an answer has
    named; answers of an earlier one are outdated. `on_odd_era` gets the text of a malformed one.
    """

    __slots__ = ("url", "era", "on_odd_era", "_session")

    def __init__(self, url: str) -> None:
        self.url = f"{url}/-/objects"
        self.era = NO_ERA
        self.on_odd_era: Callable[[str], None] = lambda text: None
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def list_objects(
        self, kind: str, allow_stale: bool = False
    ) -> StoredRecords | StoreFailure:
        """Return all objects of a kind; they are read page by page.

        A list that may be seconds old costs a tenth, and does not count towards the store's rate
        limits.

        The revision is that of the oldest page, so that a watch from it returns what has changed
        while the other pages were read. If the store comes back from an older copy between two
        pages, all are read again; with OUTDATED if it does so again and again.
        """
        for _ in range(MAX_LISTS):
            result = await self._list_pages(kind, allow_stale)
            if result is not None:
                return result
        return StoreFailure(StoreReason.OUTDATED, f"{kind}: pages of several eras")

    async def _list_pages(
        self, kind: str, allow_stale: bool
    ) -> StoredRecords | StoreFailure | None:
        """Return all objects of a kind; None if the pages are of several eras."""
        records: list[StoredRecord] = []
        revision = era = None
        after = ""
        size = kept_size = 0
        for _ in range(MAX_PAGES):
            query = {"allowStale": "1"} if allow_stale else {}
            if after:
                query["after"] = after
            result = await self._get(kind, query, CALL_TIMEOUT_S, ListResponse)
            if isinstance(result, StoreFailure):
                return result
            response, page_size, page_era = result
            if era is not None and page_era != era:
                return None
            era = page_era
            size += page_size
            kept_size += sum(measure_object(item, kind) for item in response.items)
            if size > MAX_LIST_BYTES or kept_size > MAX_KEPT_BYTES:
                break
            page = decode_page(response.items, kind, era)
            if isinstance(page, StoreFailure):
                return page
            page_records, last_name = page
            records += page_records
            revision = (
                response.atRevision if revision is None else min(revision, response.atRevision)
            )
            if not response.hasMore or not response.items:
                return StoredRecords(records, revision, is_whole=True, era=era)
            after = last_name
        return StoreFailure(StoreReason.UNAVAILABLE, f"{kind}: the list is too long")

    async def watch(self, kind: str, revision: int, wait_s: float) -> StoredRecords | StoreFailure:
        """Return the changes since `revision`; wait up to `wait_s` for the first one.

        Fail with HISTORY_GONE if the store has discarded the changes since then, or if they are
        more than one response may hold: the pages of a list are smaller.
        """
        query = {"watch": str(revision), "waitMs": str(int(wait_s * 1000))}
        result = await self._get(kind, query, wait_s + CALL_TIMEOUT_S, WatchResponse)
        if isinstance(result, StoreFailure):
            if result.is_too_large:
                return StoreFailure(StoreReason.HISTORY_GONE, result.message)
            return result
        response, _, era = result
        records = []
        try:
            for event in response.events:
                record = decode_object(event.object, kind, era)
                if record is None:
                    continue
                if event.deleted:
                    record.value, record.last_value = None, record.value
                records.append(record)
        except DECODE_ERRORS as error:
            return StoreFailure(StoreReason.UNAVAILABLE, f"{kind}: malformed events: {error!r}")
        return StoredRecords(records, response.atRevision, is_whole=False, era=era)

    async def is_answering(self) -> bool:
        """Return whether the store answers a call at all, by a list that costs a tenth."""
        query = urlencode({"allowStale": "1"})
        response = await self._send("GET", f"{self.url}/{EVACUATIONS}?{query}", None)
        return not isinstance(response, StoreFailure)

    async def put(self, kind: str, name: str, value: object) -> None | StoreFailure:
        """Create an object, or replace it regardless of its revision; return None on success.

        A replacement takes two requests: the creation that conflicts, and the update.
        """
        body = {"meta": {"name": name}, "spec": value}
        created = await self._send("POST", f"{self.url}/{kind}", body)
        if isinstance(created, StoreFailure):
            return created
        if created.status != 409:
            return check_status(created, name)
        replaced = await self._send("PUT", f"{self.url}/{kind}/{quote(name, safe='')}", body)
        if isinstance(replaced, StoreFailure):
            return replaced
        return check_status(replaced, name)

    async def put_status(
        self, kind: str, record: StoredRecord, status: object
    ) -> StoredRecord | StoreFailure:
        """Write the status of an object on the condition that it is still at its revision.

        Return the object as it is then: if it has changed before, that is the changed one, and
        nothing is written. Fail with OUTDATED, without a call, if the revision is of an earlier
        era: the store may have given it out again. If the era rises during the call, the condition
        may have held by accident, and the outcome is unknown.
        """
        if record.era < self.era:
            message = f"{record.name}: revision of era {record.era}, the store is in {self.era}"
            return StoreFailure(StoreReason.OUTDATED, message)
        value: Any = record.value
        body = {
            "meta": {"name": record.name, "revision": record.revision},
            "spec": value["spec"],
            "status": status,
        }
        url = f"{self.url}/{kind}/{quote(record.name, safe='')}/status"
        response = await self._send("PUT", url, body)
        if isinstance(response, StoreFailure):
            return response
        if response.status not in (200, 201, 409):
            failure = check_status(response, record.name)
            message = f"{record.name}: status {response.status}"
            if failure is None:
                # It may be written, but there is no object to tell.
                return StoreFailure(StoreReason.OUTCOME_UNKNOWN, message)
            return failure
        try:
            written = decode_object(split_response(response.body, StoredItem), kind, self.era)
        except DECODE_ERRORS as error:
            message = f"{record.name}: malformed object: {error!r}"
            return StoreFailure(StoreReason.OUTCOME_UNKNOWN, message)
        if written is None or self.era != record.era:
            message = f"{record.name}: the answer is another object, or of another era"
            return StoreFailure(StoreReason.OUTCOME_UNKNOWN, message)
        return written

    async def delete(self, kind: str, name: str) -> None | StoreFailure:
        """Delete an object; return None on success, or if it did not exist."""
        response = await self._send("DELETE", f"{self.url}/{kind}/{quote(name, safe='')}", None)
        if isinstance(response, StoreFailure) or response.status == 404:
            return response if isinstance(response, StoreFailure) else None
        return check_status(response, name)

    async def _get(
        self, kind: str, query: dict[str, str], timeout_s: float, shape: type[Shape]
    ) -> tuple[Shape, int, int] | StoreFailure:
        """Return the answer, whose objects are not yet decoded, the bytes of its body and its era.

        Fail with OUTDATED if it is of an earlier era than one before.
        """
        url = f"{self.url}/{kind}"
        if query:
            url = f"{url}?{urlencode(query)}"
        response = await self._send("GET", url, None, timeout_s)
        if isinstance(response, StoreFailure):
            return response
        failure = check_status(response, kind)
        if failure is not None:
            return failure
        era = self._read_era(response)
        if era < self.era:
            message = f"{kind}: answer of era {era}, the store is in {self.era}"
            return StoreFailure(StoreReason.OUTDATED, message)
        try:
            content = split_response(response.body, shape)
        except (ValueError, RecursionError) as error:
            return StoreFailure(StoreReason.UNAVAILABLE, f"{kind}: malformed answer: {error}")
        return content, len(response.body), era

    def _read_era(self, response: Response) -> int:
        """Return the era of an answer; that known before if it names none, or not properly."""
        try:
            era = read_era(response.headers)
        except ValueError as error:
            self.on_odd_era(str(error))
            era = None
        return self.era if era is None else era

    async def _send(
        self, method: str, url: str, body: object, timeout_s: float = CALL_TIMEOUT_S
    ) -> Response | StoreFailure:
        if self._session is None:
            self._session = make_session(
                make_probing_connector(KEEPALIVE_PROBE_S, KEEPALIVE_PROBES)
            )
        headers = {"Content-Type": "application/json"} if body is not None else None
        data = json.dumps(body).encode() if body is not None else None
        response = await send_request(
            self._session,
            method,
            url,
            timeout_s,
            connect_s=CALL_TIMEOUT_S,
            body_s=CALL_TIMEOUT_S,
            headers=headers,
            data=data,
        )
        if not isinstance(response, StoreFailure):
            self.era = max(self.era, self._read_era(response))
        return response


def check_status(response: Response, subject: str) -> None | StoreFailure:
    """Return None for a success status, else the failure that the status means.

    `subject` is the kind or name to put in the message.
    """
    match response.status:
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
    message = f"{subject}: status {response.status}"
    return StoreFailure(reason, message, answered=response.status < 500)


def decode_page(
    items: list[StoredItem], kind: str, era: int
) -> tuple[list[StoredRecord], str] | StoreFailure:
    """Decode the objects of a page; return them, and the name to continue after."""
    try:
        decoded = [decode_object(item, kind, era) for item in items]
        last_name = decode_meta(items[-1].meta).name if items else ""
    except DECODE_ERRORS as error:
        return StoreFailure(StoreReason.UNAVAILABLE, f"{kind}: malformed list: {error!r}")
    return [record for record in decoded if record is not None], last_name
