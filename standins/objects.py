"""Stand-in for the object store of the users' platform: objects by kind and name, with faults."""

from __future__ import annotations

import asyncio
import copy
import json
import random
from collections.abc import Awaitable, Callable

from aiohttp import web

HOST = "127.0.0.1"


async def start_server(
    server: web.Server, host: str = HOST, port: int = 0
) -> tuple[asyncio.Server, int]:
    """Serve on a port, or on a free one for 0; return the listener and the port."""
    listener = await asyncio.get_running_loop().create_server(server, host, port)
    return listener, listener.sockets[0].getsockname()[1]


class FakeObjectStore:
    """The platform's store: serves lists, watches and writes of objects by kind and name.

    The faults are attributes that a test sets at any time.
    """

    def __init__(self) -> None:
        self.revision = 100
        # Named in all answers; None names none.
        self.era: int | str | None = None
        self._saved: tuple[int, dict[str, dict[str, dict]], list] | None = None
        self.objects_by_kind: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.oldest_revision = 0
        self.is_down = False
        # Calls never get a response.
        self.is_silent = False
        # Kinds whose calls are refused.
        self.refused_kinds: set[str] = set()
        # Kinds that the store does not know.
        self.unknown_kinds: set[str] = set()
        # Answers a call on its connection with the bytes of a response, in a wrong way; None if all
        # responses are sound.
        self.disturb: Callable[[asyncio.Transport, bytes], Awaitable[None]] | None = None
        # Delay of each call in seconds.
        self.delay_s = 0.0
        # Share of the calls that are applied but whose connection is reset before the response.
        self.lost_share = 0.0
        self.random = random.Random(1)
        # The next write of a status is executed so much later, and has no response.
        self.late_write_s = 0.0
        # Executed writes of statuses, with kind and name.
        self.statuses: list[tuple[str, str, dict]] = []
        self.calls: list[str] = []
        # Values of objects that are served as they are.
        self._texts: list[str] = []
        # Responses to list calls that allow stale data, for the kinds in here.
        self.stale_lists_by_kind: dict[str, dict] = {}
        self._changed_event = asyncio.Event()

    async def start(self, host: str = HOST) -> None:
        """Listen on a free port."""
        self.host = host
        self.server = web.Server(self._serve, access_log=None, handler_cancellation=True)
        self._listener, self.port = await start_server(self.server, host)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._listener.close()
        await self.server.shutdown(0.01)

    @property
    def url(self) -> str:
        """Base URL of the store, as settings name it."""
        return f"http://{self.host}:{self.port}"

    def put(self, kind: str, name: str, spec: object) -> None:
        """Create or replace an object, as operators and targets do."""
        self.revision += 1
        stored = {"meta": {"name": name, "revision": self.revision}, "spec": spec, "status": None}
        self.objects_by_kind.setdefault(kind, {})[name] = stored
        self._add_event(kind, stored, False)

    def put_text(self, kind: str, name: str, text: str) -> None:
        """Create or replace an object whose `spec` is this text, which need not be valid JSON."""
        self.put(kind, name, f"@{len(self._texts)}@")
        self._texts.append(text)

    def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.revision += 1
        self._add_event(kind, self.objects_by_kind[kind].pop(name), True)

    def freeze_stale_lists(self) -> None:
        """From now on, answer list calls that allow stale data with the current content."""
        for kind in self.objects_by_kind:
            self.stale_lists_by_kind[kind] = self._list(kind)

    def go_down(self) -> None:
        """Refuse all calls from now on, including open watches."""
        self.is_down = True
        self._wake_watches()

    def expire_objects(self, kind: str, names: list[str]) -> None:
        """Delete several objects in one revision, as when several heartbeats expire together."""
        self.revision += 1
        for name in names:
            stored = self.objects_by_kind[kind].pop(name)
            self.events.append((self.revision, kind, stored, True))
        self._wake_watches()

    def discard_history(self) -> None:
        """Discard all events, so that watches from an earlier revision are refused with 410."""
        self.events.clear()
        self.oldest_revision = self.revision
        self._wake_watches()

    def save(self) -> None:
        """Keep a copy of all objects, to which `come_back` returns."""
        self._saved = (self.revision, copy.deepcopy(self.objects_by_kind), list(self.events))

    def come_back(self) -> None:
        """Return to the copy: what was written since is gone, and the era rises by one."""
        self.revision, objects_by_kind, events = self._saved
        self.objects_by_kind, self.events = copy.deepcopy(objects_by_kind), list(events)
        self.era = int(self.era or 0) + 1
        self.is_down = False
        self._wake_watches()

    def _add_event(self, kind: str, stored: dict, deleted: bool) -> None:
        self.events.append((self.revision, kind, stored, deleted))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed_event.set()
        self._changed_event = asyncio.Event()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        self.calls.append(f"{request.method} {request.path_qs}")
        if self.is_silent:
            await asyncio.sleep(3600)
        if self.is_down:
            return web.Response(status=503)
        await asyncio.sleep(self.delay_s)
        answer = await self._answer(request)
        if self.era is not None:
            answer.headers["Store-Era"] = str(self.era)
        if self.random.random() < self.lost_share and request.transport is not None:
            request.transport.abort()
        if self.disturb is not None and request.transport is not None and answer.body:
            await self.disturb(request.transport, answer.body)
        return answer

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        kind, _, name = request.path.removeprefix("/-/objects/").partition("/")
        if kind in self.refused_kinds:
            return web.Response(status=503)
        if kind in self.unknown_kinds:
            return web.Response(status=404)
        match request.method:
            case "GET" if "watch" in request.query:
                return await self._watch(request, kind)
            case "GET" if "allowStale" in request.query and kind in self.stale_lists_by_kind:
                return web.json_response(self.stale_lists_by_kind[kind])
            case "GET":
                return self._make_response(self._list(kind))
            case "DELETE":
                if name not in self.objects_by_kind.get(kind, {}):
                    return web.Response(status=404)
                self.delete(kind, name)
                return web.json_response({})
            case "PUT" if name.endswith("/status"):
                return await self._put_status(request, kind, name.removesuffix("/status"))
            case _:
                body = await request.json()
                name = name or body["meta"]["name"]
                if request.method == "POST" and name in self.objects_by_kind.get(kind, {}):
                    return web.json_response(self.objects_by_kind[kind][name], status=409)
                self.put(kind, name, body["spec"])
                return web.json_response(self.objects_by_kind[kind][name])

    async def _put_status(self, request: web.BaseRequest, kind: str, name: str) -> web.Response:
        """Write the status of an object at its revision, now or `late_write_s` later."""
        body = await request.json()
        delay_s, self.late_write_s = self.late_write_s, 0.0
        if delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self.write_status, kind, name, body)
            await asyncio.sleep(3600)
        return self.write_status(kind, name, body)

    def write_status(self, kind: str, name: str, body: dict) -> web.Response:
        """Write a status unless the object is gone or has another revision."""
        stored = self.objects_by_kind.get(kind, {}).get(name)
        if stored is None:
            return web.Response(status=404)
        if stored["meta"]["revision"] != body["meta"]["revision"]:
            return web.json_response(stored, status=409)
        self.revision += 1
        meta = {"name": name, "revision": self.revision}
        stored = {"meta": meta, "spec": stored["spec"], "status": body["status"]}
        self.objects_by_kind[kind][name] = stored
        self._add_event(kind, stored, False)
        self.statuses.append((kind, name, body["status"]))
        return web.json_response(stored)

    def _make_response(self, content: dict) -> web.Response:
        body = json.dumps(content)
        for number, text in enumerate(self._texts):
            body = body.replace(f'"@{number}@"', text)
        return web.Response(text=body, content_type="application/json")

    def _list(self, kind: str) -> dict:
        items = list(self.objects_by_kind.get(kind, {}).values())
        return {"items": items, "hasMore": False, "atRevision": self.revision}

    async def _watch(self, request: web.BaseRequest, kind: str) -> web.Response:
        since = int(request.query["watch"])
        end = asyncio.get_running_loop().time() + int(request.query["waitMs"]) / 1000
        while True:
            if self.is_down:
                return web.Response(status=503)
            if since < self.oldest_revision or since > self.revision:
                return web.Response(status=410)
            events = [
                {"object": stored, "deleted": deleted}
                for revision, event_kind, stored, deleted in self.events
                if revision > since and event_kind == kind
            ]
            if events or asyncio.get_running_loop().time() >= end:
                return self._make_response({"events": events, "atRevision": self.revision})
            try:
                async with asyncio.timeout_at(end):
                    await self._changed_event.wait()
            except TimeoutError:
                continue
