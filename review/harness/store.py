"""The platform's store: objects by kind and name, with lists, watches and revisions."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from .http import MAX_HEAD_BYTES, Message, encode_json, read_message

# An answer of the store takes 4 ms.
ANSWER_S = 0.004
PAGE_ITEMS = 500
PREFIX = "/-/objects/"


class Store:
    """Serves the calls that the pages name; `put` and `delete` are those of other writers."""

    def __init__(self) -> None:
        self.revision = 100
        self.objects_by_kind: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> int:
        """Listen on a free port and return it."""
        self._server = await asyncio.start_server(self._serve, host, 0, limit=MAX_HEAD_BYTES)
        return self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object."""
        objects = self.objects_by_kind.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["spec"] == spec:
            return
        self.revision += 1
        created = known["meta"]["createdRevision"] if known else self.revision
        meta = {
            "name": name,
            "revision": self.revision,
            "createdRevision": created,
            "finalizers": [],
            "deletionRequested": False,
        }
        objects[name] = {"meta": meta, "spec": spec, "status": None}
        self._add_event(kind, objects[name], False)

    def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.revision += 1
        self._add_event(kind, self.objects_by_kind[kind].pop(name), True)

    def _add_event(self, kind: str, stored: dict, is_deleted: bool) -> None:
        self.events.append((self.revision, kind, stored, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                await asyncio.sleep(ANSWER_S)
                writer.write(await self._answer(request))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> bytes:
        method, target, _ = request.start
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        kind, _, name = unquote(parts.path.removeprefix(PREFIX)).partition("/")
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]) / 1000)
        if method == "GET" and not name:
            return self._list(kind, query.get("after", ""))
        body = json.loads(request.body) if request.body else {}
        name = name or body["meta"]["name"]
        known = self.objects_by_kind.get(kind, {}).get(name)
        if method == "GET":
            return encode_json(200, known) if known else encode_json(404, {})
        if method == "POST" and known:
            return encode_json(409, known)
        if method != "POST" and not known:
            return encode_json(404, {})
        revision = body.get("meta", {}).get("revision") or query.get("revision")
        if known and revision and int(revision) != known["meta"]["revision"]:
            return encode_json(409, known)
        if method == "DELETE":
            self.delete(kind, name)
            return encode_json(200, known)
        self.put(kind, name, body["spec"])
        return encode_json(200, self.objects_by_kind[kind][name])

    def _list(self, kind: str, after: str) -> bytes:
        objects = self.objects_by_kind.get(kind, {})
        names = sorted(name for name in objects if name > after)
        page = [objects[name] for name in names[:PAGE_ITEMS]]
        has_more = len(names) > PAGE_ITEMS
        return encode_json(200, {"items": page, "hasMore": has_more, "atRevision": self.revision})

    async def _watch(self, kind: str, since: int, wait_s: float) -> bytes:
        until = asyncio.get_running_loop().time() + wait_s
        while True:
            changed = self._changed
            events = [
                {"object": stored, "deleted": is_deleted}
                for revision, event_kind, stored, is_deleted in self.events
                if revision > since and event_kind == kind
            ]
            left_s = until - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return encode_json(200, {"events": events, "atRevision": self.revision})
            await wait_quietly(changed.wait, left_s)


async def wait_quietly(wait: Callable[[], Awaitable[Any]], timeout_s: float) -> None:
    """Wait for something for a time at most."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await wait()
