"""HTTP calls to entry and dispatch processes."""

from __future__ import annotations

import json

import aiohttp
from yarl import URL

from ..errors import Failure, Reason, make_failure

# At the scale of design section 1.5 a request id is looked up at 2,600 entry processes; the usual
# limit of open files is 1,024.
MAX_CONNECTIONS = 100
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class HttpReason(Reason):
    """Why there is no usable HTTP answer."""

    UNREACHABLE = "entry_unreachable"
    NO_ANSWER = "entry_no_answer"
    BAD_ANSWER = "entry_bad_answer"


class HttpAnswer:
    """Status and decoded JSON object of an answer."""

    __slots__ = ("status", "body")

    def __init__(self, status: int, body: dict) -> None:
        self.status = status
        self.body = body


async def post_json(
    address: str,
    path: str,
    body: dict,
    timeout_s: float,
) -> HttpAnswer | Failure[HttpReason]:
    """Send one POST; it is never repeated."""
    async with open_session() as session:
        return await _request(session, "POST", address, path, timeout_s, body)


async def get_json(
    session: aiohttp.ClientSession,
    address: str,
    path: str,
    timeout_s: float,
) -> HttpAnswer | Failure[HttpReason]:
    """Send one GET."""
    return await _request(session, "GET", address, path, timeout_s, None)


def open_session() -> aiohttp.ClientSession:
    """Return a session that keeps a bounded number of connections open."""
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS))


async def _request(
    session: aiohttp.ClientSession,
    method: str,
    address: str,
    path: str,
    timeout_s: float,
    body: dict | None,
) -> HttpAnswer | Failure[HttpReason]:
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.request(
            method,
            URL(f"http://{address}{path}", encoded=True),
            json=body,
            timeout=timeout,
        ) as response:
            content = await response.content.read(MAX_ANSWER_BYTES)
            while chunk := await response.content.read(MAX_ANSWER_BYTES - len(content)):
                content += chunk
    except aiohttp.ClientConnectorError as error:
        return make_failure(HttpReason.UNREACHABLE, f"{address}: {error.strerror or error}")
    except TimeoutError:
        return make_failure(HttpReason.NO_ANSWER, f"{address}: no answer in time")
    except (aiohttp.ClientError, OSError) as error:
        return make_failure(HttpReason.NO_ANSWER, f"{address}: {error}")
    return _decode(address, response.status, content)


def _decode(address: str, status: int, content: bytes) -> HttpAnswer | Failure[HttpReason]:
    try:
        decoded = json.loads(content)
    except ValueError:
        decoded = None
    if not isinstance(decoded, dict):
        return make_failure(
            HttpReason.BAD_ANSWER,
            f"{address}: HTTP status {status} without a JSON object",
        )
    return HttpAnswer(status, decoded)
