"""An in-process fake of the platform's object API, with fault injection."""

from __future__ import annotations

import asyncio
import base64
import contextlib

from aiohttp import web


class FakeStore:
    """Object store with conditional updates, served over HTTP on the loopback interface.

    While `is_down` is set, each request's connection is closed without a response. The next
    `responses_to_drop` writes take effect, and then their connections are closed. `writes` counts
    the write requests, including refused ones.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, tuple[int, bytes | None]] = {}
        self.is_down = False
        self.responses_to_drop = 0
        self.writes = 0
        self.instances: list[dict[str, str]] = []
        self.changed = asyncio.Condition()
        self.runner: web.AppRunner | None = None
        self.url = ""

    async def start(self) -> None:
        app = web.Application(client_max_size=4 << 20)
        app.router.add_route("GET", "/v1/objects/{key:.+}", self.get)
        app.router.add_route("PUT", "/v1/objects/{key:.+}", self.write)
        app.router.add_route("DELETE", "/v1/objects/{key:.+}", self.write)
        app.router.add_route("GET", "/v1/changes", self.get_changes)
        app.router.add_route("GET", "/v1/instances", self.get_instances)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.url = f"http://127.0.0.1:{site._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        self.is_down = True
        async with self.changed:
            self.changed.notify_all()
        await self.runner.cleanup()

    async def put(self, key: str, value: bytes | None) -> int:
        """Set an object without conditions, None deletes it; return its new version."""
        self.revision += 1
        self.objects[key] = (self.revision, value)
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    def fail_if_down(self, request: web.Request) -> None:
        if self.is_down:
            if request.transport is not None:
                request.transport.close()
            raise web.HTTPServiceUnavailable

    async def get(self, request: web.Request) -> web.Response:
        self.fail_if_down(request)
        version, value = self.objects.get(request.match_info["key"], (0, None))
        if value is None:
            raise web.HTTPNotFound
        return web.Response(body=value, headers={"Object-Version": str(version)})

    async def write(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.fail_if_down(request)
        self.writes += 1
        key = request.match_info["key"]
        version, value = self.objects.get(key, (0, None))
        wanted = request.headers.get("If-Match")
        refused = value is not None if wanted is None else value is None or wanted != str(version)
        if refused:
            current = str(version if value is not None else 0)
            raise web.HTTPPreconditionFailed(headers={"Object-Version": current})
        written = await self.put(key, body if request.method == "PUT" else None)
        if self.responses_to_drop:
            self.responses_to_drop -= 1
            request.transport.close()
        return web.Response(headers={"Object-Version": str(written)})

    async def get_changes(self, request: web.Request) -> web.Response:
        self.fail_if_down(request)
        since = int(request.query["since"])
        prefix = request.query.get("prefix", "")

        def find() -> list:
            return [
                {
                    "key": key,
                    "version": version,
                    "value": None if value is None else base64.b64encode(value).decode(),
                }
                for key, (version, value) in self.objects.items()
                if version > since and key.startswith(prefix)
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(request.query["wait_ms"]) / 1000), self.changed:
                await self.changed.wait_for(lambda: self.is_down or find())
        self.fail_if_down(request)
        return web.json_response({"revision": self.revision, "objects": find()})

    async def get_instances(self, request: web.Request) -> web.Response:
        self.fail_if_down(request)
        return web.json_response({"instances": self.instances})
