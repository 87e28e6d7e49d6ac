"""Client of the platform's object API: one HTTP request for each call, never repeated.

The caller decides what to do about a failure, since only it can tell whether a write whose answer
was lost took effect.
"""

from __future__ import annotations

import base64
import binascii
import json
import socket
from collections.abc import Sequence
from typing import TYPE_CHECKING
from urllib.parse import quote

from .errors import Failure, Reason

if TYPE_CHECKING:
    import aiohttp

VERSION_HEADER = "Object-Version"
MAX_VALUE_BYTES = 1024 * 1024
MS_PER_S = 1000


class StoreReason(Reason):
    """Why a call on the store gave no result."""

    NOT_FOUND = "store_not_found"
    CONFLICT = "store_conflict"
    # The store has discarded the changes that were asked for; read everything again.
    HISTORY_GONE = "store_history_gone"
    TOO_LARGE = "store_too_large"
    REFUSED = "store_refused"
    # Not done: no connection, or refused over the rate.
    UNAVAILABLE = "store_unavailable"
    # A write that was sent and not answered; it may take effect later, too.
    OUTCOME_UNKNOWN = "store_outcome_unknown"


class StoreFailure(Failure[StoreReason]):
    """A failed call; `current_version` is the object's version after a conflict, 0 if it is gone.

    `answered` tells that the store itself answered, so that it is reachable.
    """

    __slots__ = ("current_version", "answered")

    def __init__(
        self,
        reason: StoreReason,
        message: str = "",
        current_version: int = 0,
        answered: bool = False,
    ) -> None:
        super().__init__(reason, message)
        self.current_version = current_version
        self.answered = answered


class StoredObject:
    """A value with its key and version; `value` is None if a change deleted the object."""

    __slots__ = ("key", "version", "value")

    def __init__(self, key: str, version: int, value: bytes | None) -> None:
        self.key = key
        self.version = version
        self.value = value


class StoreChanges:
    """Objects changed since a revision, and the revision to ask from next."""

    __slots__ = ("revision", "objects")

    def __init__(self, revision: int, objects: list[StoredObject]) -> None:
        self.revision = revision
        self.objects = objects


class PlatformInstance:
    """An entry of the platform's lagging list of instances."""

    __slots__ = ("id", "failure_domain", "control_address", "state")

    def __init__(self, id: str, failure_domain: str, control_address: str, state: str) -> None:
        self.id = id
        self.failure_domain = failure_domain
        self.control_address = control_address
        self.state = state


class Response:
    """Status, version header and body of an answered request."""

    __slots__ = ("status", "version", "body")

    def __init__(self, status: int, version: int, body: bytes) -> None:
        self.status = status
        self.version = version
        self.body = body


class Store:
    """Connections to the object API. Owned by one event loop; `close` ends them."""

    __slots__ = ("url", "timeout_s", "_session")

    def __init__(self, url: str, timeout_ms: int) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_ms / MS_PER_S
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, key: str) -> StoredObject | StoreFailure:
        """Read an object: the object, or NOT_FOUND or UNAVAILABLE."""
        response = await self._read(self._object_url(key))
        if isinstance(response, StoreFailure):
            return response
        return StoredObject(key, response.version, response.body)

    async def create(self, key: str, value: bytes) -> int | StoreFailure:
        """Create an object and return its version; CONFLICT if it exists."""
        return await self._write("PUT", key, {"If-None-Match": "*"}, value)

    async def replace(self, key: str, value: bytes, version: int) -> int | StoreFailure:
        """Replace an object at `version` and return its new version; else CONFLICT."""
        return await self._write("PUT", key, {"If-Match": str(version)}, value)

    async def delete(self, key: str, version: int) -> int | StoreFailure:
        """Delete an object at `version` and return the store's revision; else CONFLICT."""
        return await self._write("DELETE", key, {"If-Match": str(version)}, None)

    async def changes(
        self, since: int, wait_ms: int = 0, prefix: str = ""
    ) -> StoreChanges | StoreFailure:
        """Return the changes after revision `since`; wait up to `wait_ms` for the first one."""
        response = await self._read(
            f"{self.url}/v1/changes",
            params={"since": str(since), "wait_ms": str(wait_ms), "prefix": prefix},
            wait_s=wait_ms / MS_PER_S,
        )
        if isinstance(response, StoreFailure):
            return response
        return decode_changes(response.body)

    async def instances(self) -> list[PlatformInstance] | StoreFailure:
        """Return the platform's list of instances, which lags behind."""
        response = await self._read(f"{self.url}/v1/instances")
        if isinstance(response, StoreFailure):
            return response
        return decode_instances(response.body)

    def _object_url(self, key: str) -> str:
        return f"{self.url}/v1/objects/{quote(key, safe='/')}"

    async def _read(
        self, url: str, params: dict[str, str] | None = None, wait_s: float = 0
    ) -> Response | StoreFailure:
        response = await self._send("GET", url, params=params, wait_s=wait_s)
        if isinstance(response, StoreFailure):
            return StoreFailure(StoreReason.UNAVAILABLE, response.message)
        if response.status == 200:
            return response
        if response.status >= 500:
            return StoreFailure(StoreReason.UNAVAILABLE, f"{url}: status {response.status}")
        return classify_refusal(response, url)

    async def _write(
        self, method: str, key: str, condition: dict[str, str], value: bytes | None
    ) -> int | StoreFailure:
        if value is not None and len(value) > MAX_VALUE_BYTES:
            return StoreFailure(StoreReason.TOO_LARGE, f"{key}: {len(value)} bytes")
        response = await self._send(method, self._object_url(key), headers=condition, data=value)
        if isinstance(response, StoreFailure):
            return response
        if response.status == 200:
            return response.version
        if response.status >= 500:
            # A gateway may answer for a store that carried the write out.
            message = f"{key}: status {response.status}"
            return StoreFailure(StoreReason.OUTCOME_UNKNOWN, message)
        return classify_refusal(response, key)

    async def _send(
        self,
        method: str,
        url: str,
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        data: bytes | None = None,
        wait_s: float = 0,
    ) -> Response | StoreFailure:
        return await send_request(
            self._get_session(),
            method,
            url,
            timeout_s=self.timeout_s + wait_s,
            # Shorter than the total, so that a store that drops packets is told apart from a
            # lost answer.
            connect_s=self.timeout_s / 2,
            params=params,
            headers=headers,
            data=data,
        )

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = make_session()
        return self._session


async def send_request(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    connect_s: float,
    *,
    params: dict[str, str] | None = None,
    headers: dict[str, str] | None = None,
    data: bytes | None = None,
) -> Response | StoreFailure:
    """Send one request and read its answer, whatever its status.

    UNAVAILABLE means that nothing was sent, OUTCOME_UNKNOWN that it may have been done.
    """
    import aiohttp

    timeout = aiohttp.ClientTimeout(total=timeout_s, connect=connect_s)
    try:
        async with session.request(
            method,
            url,
            params=params,
            headers=headers,
            data=data,
            timeout=timeout,
            allow_redirects=False,
        ) as answer:
            body = await answer.read()
            version = answer.headers.get(VERSION_HEADER, "0")
            return Response(answer.status, int(version), body)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        return StoreFailure(StoreReason.UNAVAILABLE, f"{url}: {error}")
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        return StoreFailure(StoreReason.OUTCOME_UNKNOWN, f"{url}: {error!r}")


def make_session(
    connector: aiohttp.BaseConnector | None = None, skip_headers: Sequence[str] = ()
) -> aiohttp.ClientSession:
    """Return a session that sends each request once, without the headers in `skip_headers`.

    aiohttp sends PUT and DELETE again when the connection breaks before the answer. The second
    request would be refused by its own condition, and a write that took effect would look like a
    conflict. Errors of any class but ClientOSError and ServerDisconnectedError are not retried.
    """
    import aiohttp

    class ConnectionLost(aiohttp.ClientError):
        """The connection broke after the request may have been sent."""

    async def send_once(
        request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        try:
            return await handler(request)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            raise
        except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
            raise ConnectionLost(repr(error)) from error

    return aiohttp.ClientSession(
        connector=connector,
        middlewares=(send_once,),
        skip_auto_headers=skip_headers,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def make_probing_connector(probe_s: int, probes: int) -> aiohttp.TCPConnector:
    """Return a connector whose connections the kernel probes every `probe_s` seconds.

    A path that has gone silent is an error after `probes` probes without an answer.
    """
    import aiohttp

    tcp_options = {
        socket.TCP_KEEPIDLE: probe_s,
        socket.TCP_KEEPINTVL: probe_s,
        socket.TCP_KEEPCNT: probes,
        socket.TCP_USER_TIMEOUT: probe_s * (probes + 1) * MS_PER_S,
    }

    def make_socket(address: aiohttp.AddrInfoType) -> socket.socket:
        family, kind, protocol, _, _ = address
        made = socket.socket(family, kind, protocol)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in tcp_options.items():
            made.setsockopt(socket.IPPROTO_TCP, option, value)
        return made

    return aiohttp.TCPConnector(limit=0, socket_factory=make_socket)


def classify_refusal(response: Response, subject: str) -> StoreFailure:
    """Turn a status between 300 and 499 into a failure; the store did nothing."""
    message = f"{subject}: status {response.status}"
    match response.status:
        case 404:
            reason = StoreReason.NOT_FOUND
        case 412:
            reason = StoreReason.CONFLICT
        case 413:
            reason = StoreReason.TOO_LARGE
        case 429:
            reason = StoreReason.UNAVAILABLE
        case _:
            reason = StoreReason.REFUSED
    return StoreFailure(reason, message, response.version, answered=True)


def decode_changes(body: bytes) -> StoreChanges | StoreFailure:
    """Decode the answer of /v1/changes."""
    try:
        answer = json.loads(body)
        objects = [
            StoredObject(
                item["key"],
                int(item["version"]),
                None if item["value"] is None else base64.b64decode(item["value"]),
            )
            for item in answer["objects"]
        ]
        return StoreChanges(int(answer["revision"]), objects)
    except (ValueError, KeyError, TypeError, binascii.Error) as error:
        return StoreFailure(StoreReason.UNAVAILABLE, f"changes: malformed answer: {error!r}")


def decode_instances(body: bytes) -> list[PlatformInstance] | StoreFailure:
    """Decode the answer of /v1/instances."""
    try:
        return [
            PlatformInstance(
                item["id"], item["failure_domain"], item["control_address"], item["state"]
            )
            for item in json.loads(body)["instances"]
        ]
    except (ValueError, KeyError, TypeError) as error:
        return StoreFailure(StoreReason.UNAVAILABLE, f"instances: malformed answer: {error!r}")


def make_store(url: str, timeout_ms: int) -> Store:
    """Return a client; nothing is connected, and aiohttp is not loaded, before the first call."""
    return Store(url, timeout_ms)
