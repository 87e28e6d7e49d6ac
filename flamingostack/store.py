"""Client of the platform's object API. Each call sends one HTTP request and never retries it.

Retries are left to the caller: only the caller can find out whether a write took effect when its
response was lost.
"""

from __future__ import annotations

import asyncio
import base64
import binascii
import json
import socket
import weakref
from collections.abc import Mapping
from typing import TYPE_CHECKING
from urllib.parse import quote

from .errors import Failure, Reason

if TYPE_CHECKING:
    import aiohttp

VERSION_HEADER = "Object-Version"
MAX_VALUE_BYTES = 1024 * 1024
# Limit of a response, which bounds the memory that a broken store or peer can take. A page of a
# list holds many objects, and most of them are far below the limit of a value.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Bytes that are read from a connection at a time, in place of the loop's 256 KiB. All other work
# waits while the parser handles them, which takes longest for interim responses and short chunks.
READ_BYTES = 4 * 1024
# What a response may have beside its body: heads, interim responses, chunk sizes and trailers, and
# with a body a share of its length more. Up to 128 KiB of a body wait in aiohttp's buffer before
# they are known as body.
MAX_OVERHEAD_BYTES = 256 * 1024
MAX_OVERHEAD_SHARE = 1 / 8
# Each piece costs a step of the event loop, however short it is. A store that writes its objects
# one by one sends some hundred bytes at a time.
MAX_PIECES = 512
MIN_PIECE_BYTES = 64
MS_PER_S = 1000
# Any other status is invalid (RFC 9110, section 15), and promises nothing.
MIN_STATUS = 100
MAX_STATUS = 599


class StoreReason(Reason):
    """Why a store call failed."""

    NOT_FOUND = "store_not_found"
    CONFLICT = "store_conflict"
    # The store no longer keeps the requested changes; the caller has to read all objects again.
    HISTORY_GONE = "store_history_gone"
    TOO_LARGE = "store_too_large"
    REFUSED = "store_refused"
    # Not executed: no connection, or rejected by the store's rate limit. For a read also: no usable
    # response.
    UNAVAILABLE = "store_unavailable"
    # The response is of an earlier era than the store is known to be in. A write was not sent.
    OUTDATED = "store_outdated"
    # A write was sent and no response arrived. It may have taken effect, or may still do so.
    OUTCOME_UNKNOWN = "store_outcome_unknown"


class StoreFailure(Failure[StoreReason]):
    """A failed store call.

    `current_version` is the object's version after a conflict, 0 if the object is gone. `answered`
    is set if the store itself responded, which shows that it is reachable, and `is_too_large` if
    its response exceeded the limit.
    """

    __slots__ = ("current_version", "answered", "is_too_large")

    def __init__(
        self,
        reason: StoreReason,
        message: str = "",
        current_version: int = 0,
        answered: bool = False,
        is_too_large: bool = False,
    ) -> None:
        super().__init__(reason, message)
        self.current_version = current_version
        self.answered = answered
        self.is_too_large = is_too_large


class StoredObject:
    """An object's key, version and value; `value` is None if a change deleted the object."""

    __slots__ = ("key", "version", "value")

    def __init__(self, key: str, version: int, value: bytes | None) -> None:
        self.key = key
        self.version = version
        self.value = value


class StoreChanges:
    """Objects changed since a revision, and the revision to pass to the next call."""

    __slots__ = ("revision", "objects")

    def __init__(self, revision: int, objects: list[StoredObject]) -> None:
        self.revision = revision
        self.objects = objects


class PlatformInstance:
    """An entry of the platform's list of instances, which may be out of date."""

    __slots__ = ("id", "failure_domain", "control_address", "state")

    def __init__(self, id: str, failure_domain: str, control_address: str, state: str) -> None:
        self.id = id
        self.failure_domain = failure_domain
        self.control_address = control_address
        self.state = state


class Response:
    """HTTP status, object version, body and header of a response."""

    __slots__ = ("status", "version", "body", "headers")

    def __init__(
        self, status: int, version: int, body: bytes, headers: Mapping[str, str] | None = None
    ) -> None:
        self.status = status
        self.version = version
        self.body = body
        self.headers = headers if headers is not None else {}


class Store:
    """Client of the object API. Owned by one event loop; `close` closes its connections."""

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
        """Read an object; NOT_FOUND if it does not exist, UNAVAILABLE without a usable response."""
        response = await self._read(self._object_url(key))
        if isinstance(response, StoreFailure):
            return response
        return StoredObject(key, response.version, response.body)

    async def create(self, key: str, value: bytes) -> int | StoreFailure:
        """Create an object and return its version; CONFLICT if it already exists."""
        return await self._write("PUT", key, {"If-None-Match": "*"}, value)

    async def replace(self, key: str, value: bytes, version: int) -> int | StoreFailure:
        """Replace an object and return its new version; CONFLICT if it is not at `version`."""
        return await self._write("PUT", key, {"If-Match": str(version)}, value)

    async def delete(self, key: str, version: int) -> int | StoreFailure:
        """Delete an object and return the store's revision; CONFLICT if it is not at `version`."""
        return await self._write("DELETE", key, {"If-Match": str(version)}, None)

    async def fetch_changes(
        self, since: int, wait_ms: int = 0, prefix: str = ""
    ) -> StoreChanges | StoreFailure:
        """Return the changes to keys with `prefix` after revision `since`.

        Long poll: without a change the store responds after `wait_ms`.
        """
        response = await self._read(
            f"{self.url}/v1/changes",
            params={"since": str(since), "wait_ms": str(wait_ms), "prefix": prefix},
            wait_s=wait_ms / MS_PER_S,
        )
        if isinstance(response, StoreFailure):
            return response
        return decode_changes(response.body)

    async def fetch_instances(self) -> list[PlatformInstance] | StoreFailure:
        """Return the platform's list of instances, which may be out of date."""
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
            return StoreFailure(
                StoreReason.TOO_LARGE,
                f"{key}: value of {len(value)} bytes, limit {MAX_VALUE_BYTES}",
            )
        response = await self._send(method, self._object_url(key), headers=condition, data=value)
        if isinstance(response, StoreFailure):
            return response
        if response.status == 200:
            return response.version
        if response.status >= 500:
            # A gateway in front of the store may return this although the store executed the write.
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
            # Shorter than the total: a store that drops packets then fails while connecting, which
            # means that nothing was sent, and is not taken for a lost response.
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
    body_s: float | None = None,
    params: dict[str, str] | None = None,
    headers: dict[str, str] | None = None,
    data: bytes | None = None,
) -> Response | StoreFailure:
    """Send one request and return the response, whatever its status.

    `timeout_s` limits the whole call, `connect_s` opening the connection, and `body_s` the response
    once its head has arrived: a watch may wait long for a response, but one that does not end would
    leave later changes unnoticed for all of that time.
    UNAVAILABLE: nothing was sent. OUTCOME_UNKNOWN: the request may have been executed.
    """
    import aiohttp

    # Not aiohttp's timeout of a whole call: if it ends in the same step of the event loop as the
    # task is cancelled, aiohttp (3.14) raises TimeoutError, and the task goes on.
    timeout = aiohttp.ClientTimeout(total=None, connect=connect_s)
    try:
        async with (
            asyncio.timeout(timeout_s),
            session.request(
                method,
                url,
                params=params,
                headers=headers,
                data=data,
                timeout=timeout,
                allow_redirects=False,
            ) as response,
        ):
            if not MIN_STATUS <= response.status <= MAX_STATUS:
                message = f"{url}: malformed response: status {response.status:03}"
                return StoreFailure(StoreReason.OUTCOME_UNKNOWN, message)
            async with asyncio.timeout(body_s):
                body = await read_body(response, session.connector.sockets.find(response))
            if body is None:
                message = f"{url}: response exceeds {MAX_RESPONSE_BYTES} bytes"
                return StoreFailure(StoreReason.OUTCOME_UNKNOWN, message, is_too_large=True)
            version = response.headers.get(VERSION_HEADER, "0")
            return Response(response.status, int(version), body, response.headers)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        return StoreFailure(StoreReason.UNAVAILABLE, f"{url}: {error}")
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        return StoreFailure(StoreReason.OUTCOME_UNKNOWN, f"{url}: {error!r}")


async def read_body(
    response: aiohttp.ClientResponse, slice_socket: SliceSocket | None
) -> bytes | None:
    """Return the body of a response; None, with the connection closed, if it is too large."""
    body = bytearray()
    async for block in response.content.iter_any():
        body += block
        if slice_socket is not None:
            slice_socket.body_bytes = len(body)
        if len(body) > MAX_RESPONSE_BYTES:
            response.close()
            return None
    return bytes(body)


def make_session(connector: aiohttp.BaseConnector | None = None) -> aiohttp.ClientSession:
    """Return a session that sends each request once.

    aiohttp retries PUT and DELETE when the connection breaks before the response. If the first
    request took effect, the precondition of the second one fails, and the write looks like a
    conflict. aiohttp retries after ClientOSError and ServerDisconnectedError only, so the session
    raises an error of another class in their place.
    """
    import aiohttp

    if connector is None:
        connector = make_slice_connector(SliceSockets())

    class ConnectionLost(aiohttp.ClientError):
        """The connection broke when the request may already have been sent."""

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
        auto_decompress=False,
        # aiohttp announces codings that nothing here could read.
        headers={"Accept-Encoding": "identity"},
        cookie_jar=aiohttp.DummyCookieJar(),
    )


class SliceSocket(socket.socket):
    """A socket that is read in slices, so that the event loop runs in between.

    A response that takes too many bytes beside its body, or too many pieces, ends the connection.
    `body_bytes` is what has been read of the body.
    """

    __slots__ = ("body_bytes", "_received_bytes", "_received_pieces")

    def __init__(self, family: int, kind: int, protocol: int) -> None:
        super().__init__(family, kind, protocol)
        self._begin_exchange()

    def send(self, data: bytes, flags: int = 0) -> int:
        """Send a part of a request, whose response is still to come."""
        self._begin_exchange()
        return super().send(data, flags)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return up to `size` received bytes, and up to READ_BYTES; raise OSError at a limit."""
        data = super().recv(min(size, READ_BYTES), flags)
        self._received_bytes += len(data)
        self._received_pieces += 1
        max_bytes = MAX_OVERHEAD_BYTES + self.body_bytes * (1 + MAX_OVERHEAD_SHARE)
        if self._received_bytes > max_bytes:
            raise ConnectionAbortedError(f"response has {self._received_bytes} bytes")
        if self._received_pieces > MAX_PIECES + self._received_bytes / MIN_PIECE_BYTES:
            raise ConnectionAbortedError(f"response came in {self._received_pieces} pieces")
        return data

    def _begin_exchange(self) -> None:
        self.body_bytes = 0
        self._received_bytes = self._received_pieces = 0


class SliceSockets:
    """Makes the sockets of a session's connections, and finds that of a response."""

    __slots__ = ("_options", "_socket_by_descriptor")

    def __init__(self, options: dict[tuple[int, int], int] | None = None) -> None:
        # Values by level and name, as for `setsockopt`.
        self._options = options or {}
        self._socket_by_descriptor: weakref.WeakValueDictionary[int, SliceSocket] = (
            weakref.WeakValueDictionary()
        )

    def make(self, address: aiohttp.AddrInfoType) -> SliceSocket:
        """Return a socket for a connection to an address."""
        family, kind, protocol, _, _ = address
        slice_socket = SliceSocket(family, kind, protocol)
        for (level, name), value in self._options.items():
            slice_socket.setsockopt(level, name, value)
        self._socket_by_descriptor[slice_socket.fileno()] = slice_socket
        return slice_socket

    def find(self, response: aiohttp.ClientResponse) -> SliceSocket | None:
        """Return the socket of a response; None once all of it has been received."""
        connection = response.connection
        if connection is None or connection.transport is None:
            return None
        descriptor = connection.transport.get_extra_info("socket").fileno()
        return self._socket_by_descriptor.get(descriptor)


def make_slice_connector(sockets: SliceSockets, **options: int) -> aiohttp.TCPConnector:
    """Return a connector with these sockets, by which `send_request` finds that of a response."""
    import aiohttp

    class SliceConnector(aiohttp.TCPConnector):
        """Connector that keeps the sockets of its connections."""

        def __init__(self) -> None:
            super().__init__(socket_factory=sockets.make, **options)
            self.sockets = sockets

    return SliceConnector()


def make_probing_connector(probe_s: int, probes: int) -> aiohttp.TCPConnector:
    """Return a connector that uses TCP keepalive.

    The kernel probes each idle connection every `probe_s` seconds and fails it after `probes`
    probes without a reply, so that a broken network path is noticed.
    """
    tcp_options = {
        socket.TCP_KEEPIDLE: probe_s,
        socket.TCP_KEEPINTVL: probe_s,
        socket.TCP_KEEPCNT: probes,
        socket.TCP_USER_TIMEOUT: probe_s * (probes + 1) * MS_PER_S,
    }
    options = {(socket.IPPROTO_TCP, name): value for name, value in tcp_options.items()}
    options[socket.SOL_SOCKET, socket.SO_KEEPALIVE] = 1
    return make_slice_connector(SliceSockets(options), limit=0)


def classify_refusal(response: Response, subject: str) -> StoreFailure:
    """Map a status from 300 to 499 to a failure; the store did not execute the request."""
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
    """Decode the response body of /v1/changes."""
    try:
        decoded = json.loads(body)
        objects = [
            StoredObject(
                item["key"],
                int(item["version"]),
                None if item["value"] is None else base64.b64decode(item["value"]),
            )
            for item in decoded["objects"]
        ]
        return StoreChanges(int(decoded["revision"]), objects)
    except (ValueError, KeyError, TypeError, binascii.Error) as error:
        return StoreFailure(StoreReason.UNAVAILABLE, f"changes: malformed response: {error!r}")


def decode_instances(body: bytes) -> list[PlatformInstance] | StoreFailure:
    """Decode the response body of /v1/instances."""
    try:
        return [
            PlatformInstance(
                item["id"], item["failure_domain"], item["control_address"], item["state"]
            )
            for item in json.loads(body)["instances"]
        ]
    except (ValueError, KeyError, TypeError) as error:
        return StoreFailure(StoreReason.UNAVAILABLE, f"instances: malformed response: {error!r}")


def make_store(url: str, timeout_ms: int) -> Store:
    """Return a client. The first call opens the connection and imports aiohttp."""
    return Store(url, timeout_ms)
