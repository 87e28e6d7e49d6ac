"""HTTP calls to entry and dispatch processes."""

from __future__ import annotations

import json

import aiohttp
from yarl import URL

from ..errors import Failure, Reason, make_failure

# At the scale of section 1.5 of the design `explain` asks 2,600 entry processes; the usual limit of
# open files is 1,024.
MAX_CONNECTIONS = 100
MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class HttpReason(Reason):
    """Why there is no usable HTTP response."""

    UNREACHABLE = "entry_unreachable"
    NO_ANSWER = "entry_no_answer"
    BAD_ANSWER = "entry_bad_answer"


class HttpResponse:
    """HTTP status and decoded JSON object of a response."""

    __slots__ = ("status", "body")

    def __init__(self, status: int, body: dict) -> None:
        self.status = status
        self.body = body


async def post_json(
    address: str,
    path: str,
    body: dict,
    timeout_s: float,
) -> HttpResponse | Failure[HttpReason]:
    """Send one POST request, without retries."""
    async with open_session() as session:
        return await _request(session, "POST", address, path, timeout_s, body)


async def get_json(
    session: aiohttp.ClientSession,
    address: str,
    path: str,
    timeout_s: float,
) -> HttpResponse | Failure[HttpReason]:
    """Send one GET request."""
    return await _request(session, "GET", address, path, timeout_s, None)


def open_session() -> aiohttp.ClientSession:
    """Return a session that opens at most `MAX_CONNECTIONS` connections at a time."""
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS))


async def _request(
    session: aiohttp.ClientSession,
    method: str,
    address: str,
    path: str,
    timeout_s: float,
    body: dict | None,
) -> HttpResponse | Failure[HttpReason]:
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.request(
            method,
            URL(f"http://{address}{path}", encoded=True),
            json=body,
            timeout=timeout,
        ) as response:
            content = await response.content.read(MAX_RESPONSE_BYTES)
            while chunk := await response.content.read(MAX_RESPONSE_BYTES - len(content)):
                content += chunk
    except aiohttp.ClientConnectorError as error:
        return make_failure(HttpReason.UNREACHABLE, f"{address}: {error.strerror or error}")
    except TimeoutError:
        return make_failure(
            HttpReason.NO_ANSWER, f"{address}: no response within {timeout_s:.1f} s"
        )
    except (aiohttp.ClientError, OSError) as error:
        return make_failure(HttpReason.NO_ANSWER, f"{address}: {error}")
    return _decode(address, response.status, content)


def _decode(address: str, status: int, content: bytes) -> HttpResponse | Failure[HttpReason]:
    try:
        decoded = json.loads(content)
    except ValueError:
        decoded = None
    if not isinstance(decoded, dict):
        return make_failure(
            HttpReason.BAD_ANSWER,
            f"{address}: HTTP status {status}, but the body is not a JSON object",
        )
    return HttpResponse(status, decoded)
