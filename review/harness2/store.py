"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from .http1 import Connection, Request, Response, Server

PAGE_ITEMS = 500
PAGE_BYTES = 1024 * 1024


class Store:
    """Objects by kind and name, with one counter of revisions; lists, watches and writes."""

    def __init__(self) -> None:
        self.revision = 100
        self.objects_by_kind: dict[str, dict[str, dict]] = {}
        # Revision, kind, object and whether it was deleted.
        self.events: list[tuple[int, str, dict, bool]] = []
        self.server = Server(self._handle)
        self.calls = 0
        # The watches that wait for a change: their connections and kinds.
        self.waiting: list[tuple[Connection, str]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: object) -> None:
        """Create or replace an object."""
        objects = self.objects_by_kind.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["spec"] == spec:
            return
        self.revision += 1
        created = known["meta"]["createdRevision"] if known else self.revision
        stored = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "createdRevision": created,
                "finalizers": [],
                "deletionRequested": False,
            },
            "spec": spec,
            "status": None,
        }
        objects[name] = stored
        self._add_event(kind, stored, False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects_by_kind[kind].pop(name)
        self.revision += 1
        self._add_event(kind, stored, True)

    def _add_event(self, kind: str, stored: dict, is_deleted: bool) -> None:
        self.events.append((self.revision, kind, stored, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    def lose_next_answers(self, kind: str) -> int:
        """Lose the next answers to the watches of a kind that wait; return how many wait.

        Their connections stay open and return nothing further.
        """
        connections = [connection for connection, other in self.waiting if other == kind]
        for connection in connections:
            connection.is_silent = True
        return len(connections)

    def find_watching_hosts(self, kind: str) -> set[str]:
        """Return the addresses from which a watch of a kind waits."""
        return {
            connection.writer.get_extra_info("peername")[0]
            for connection, other in self.waiting
            if other == kind
        }

    async def _handle(self, request: Request) -> Response | None:
        self.calls += 1
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/-/objects/").partition("/")
        name = unquote(name)
        await asyncio.sleep(0.004)
        status = 200
        match request.method:
            case "GET" if "watch" in query:
                item = (request.connection, kind)
                self.waiting.append(item)
                try:
                    content = await self._watch(
                        kind, int(query["watch"]), int(query["waitMs"]) / 1000
                    )
                finally:
                    self.waiting.remove(item)
            case "GET" if name:
                content = self.objects_by_kind.get(kind, {}).get(name)
            case "GET":
                content = self._list(kind, query.get("after", ""))
            case "POST" | "PUT":
                body = json.loads(request.body)
                name = name or body["meta"]["name"]
                if request.method == "POST" and name in self.objects_by_kind.get(kind, {}):
                    status = 409
                else:
                    self.put(kind, name, body["spec"])
                content = self.objects_by_kind[kind][name]
            case _:
                return Response(404, b"{}")
        if content is None:
            return Response(404, b"{}")
        headers = {"Content-Type": "application/json"}
        return Response(status, json.dumps(content, separators=(",", ":")).encode(), headers)

    def _list(self, kind: str, after: str) -> dict:
        items, size = [], 0
        names = sorted(name for name in self.objects_by_kind.get(kind, {}) if name > after)
        for name in names:
            item = self.objects_by_kind[kind][name]
            size += len(json.dumps(item, separators=(",", ":")))
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            items.append(item)
        has_more = len(items) < len(names)
        return {"items": items, "hasMore": has_more, "atRevision": self.revision}

    async def _watch(self, kind: str, since: int, wait_s: float) -> dict:
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            events = [
                {"object": stored, "deleted": is_deleted}
                for revision, event_kind, stored, is_deleted in self.events
                if revision > since and event_kind == kind
            ]
            if events or loop.time() >= until:
                return {"events": events, "atRevision": self.revision}
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                pass
