"""Stand-in for the store of the users' platform: objects by kind and name, with faults."""

from __future__ import annotations

import asyncio
import random

from aiohttp import web

HOST = "127.0.0.1"


async def start_server(
    server: web.Server, host: str = HOST, port: int = 0
) -> tuple[asyncio.Server, int]:
    """Listen, on a free port if none is given, and return the port."""
    listener = await asyncio.get_running_loop().create_server(server, host, port)
    return listener, listener.sockets[0].getsockname()[1]


class FakeObjectStore:
    """The platform's store: lists, watches and writes of objects by kind and name."""

    def __init__(self) -> None:
        self.revision = 100
        self.objects_by_kind: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.oldest_revision = 0
        self.is_down = False
        # Calls get no answer, also not later.
        self.is_silent = False
        # Answers come so much later, in seconds.
        self.delay_s = 0.0
        # Share of the calls that are carried out and whose answer is lost with the connection.
        self.lost_share = 0.0
        self.random = random.Random(1)
        self.calls: list[str] = []
        # Lists that may be stale are answered from here, if they were kept.
        self.stale_lists_by_kind: dict[str, dict] = {}
        self._changed = asyncio.Event()

    async def start(self, host: str = HOST) -> None:
        """Listen."""
        self.host = host
        self.server = web.Server(self._serve, access_log=None, handler_cancellation=True)
        self._listener, self.port = await start_server(self.server, host)

    async def stop(self) -> None:
        """Stop."""
        self._listener.close()
        await self.server.shutdown(0.01)

    @property
    def url(self) -> str:
        """The address that settings name."""
        return f"http://{self.host}:{self.port}"

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as operators and targets do."""
        self.revision += 1
        stored = {"meta": {"name": name, "revision": self.revision}, "spec": spec, "status": None}
        self.objects_by_kind.setdefault(kind, {})[name] = stored
        self._add_event(kind, stored, False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        self._add_event(kind, self.objects_by_kind[kind].pop(name), True)

    def keep_stale_lists(self) -> None:
        """From now on, answer lists that may be stale with what is stored now."""
        for kind in self.objects_by_kind:
            self.stale_lists_by_kind[kind] = self._list(kind)

    def go_down(self) -> None:
        """Refuse all calls from now on, those that wait included."""
        self.is_down = True
        self._wake()

    def lapse(self, kind: str, names: list[str]) -> None:
        """Remove several objects in one step, as heartbeats that are missing together do."""
        self.revision += 1
        for name in names:
            stored = self.objects_by_kind[kind].pop(name)
            self.events.append((self.revision, kind, stored, True))
        self._wake()

    def forget_history(self) -> None:
        """Drop all events, so that watches from before are refused."""
        self.events.clear()
        self.oldest_revision = self.revision
        self._wake()

    def _add_event(self, kind: str, stored: dict, deleted: bool) -> None:
        self.events.append((self.revision, kind, stored, deleted))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        self.calls.append(f"{request.method} {request.path_qs}")
        if self.is_silent:
            await asyncio.sleep(3600)
        if self.is_down:
            return web.Response(status=503)
        await asyncio.sleep(self.delay_s)
        answer = await self._answer(request)
        if self.random.random() < self.lost_share and request.transport is not None:
            request.transport.abort()
        return answer

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        kind, _, name = request.path.removeprefix("/-/objects/").partition("/")
        match request.method:
            case "GET" if "watch" in request.query:
                return await self._watch(request, kind)
            case "GET" if "allowStale" in request.query and kind in self.stale_lists_by_kind:
                return web.json_response(self.stale_lists_by_kind[kind])
            case "GET":
                return web.json_response(self._list(kind))
            case "DELETE":
                if name not in self.objects_by_kind.get(kind, {}):
                    return web.Response(status=404)
                self.delete(kind, name)
                return web.json_response({})
            case _:
                body = await request.json()
                name = name or body["meta"]["name"]
                if request.method == "POST" and name in self.objects_by_kind.get(kind, {}):
                    return web.json_response(self.objects_by_kind[kind][name], status=409)
                self.put(kind, name, body["spec"])
                return web.json_response(self.objects_by_kind[kind][name])

    def _list(self, kind: str) -> dict:
        items = list(self.objects_by_kind.get(kind, {}).values())
        return {"items": items, "hasMore": False, "atRevision": self.revision}

    async def _watch(self, request: web.BaseRequest, kind: str) -> web.Response:
        since = int(request.query["watch"])
        end = asyncio.get_running_loop().time() + int(request.query["waitMs"]) / 1000
        while True:
            if self.is_down:
                return web.Response(status=503)
            if since < self.oldest_revision:
                return web.Response(status=410)
            events = [
                {"object": stored, "deleted": deleted}
                for revision, at, stored, deleted in self.events
                if revision > since and at == kind
            ]
            if events or asyncio.get_running_loop().time() >= end:
                return web.json_response({"events": events, "atRevision": self.revision})
            try:
                async with asyncio.timeout_at(end):
                    await self._changed.wait()
            except TimeoutError:
                continue
