"""The `query` command for a gateway: one request through the front address of an instance."""

from __future__ import annotations

import asyncio
import base64
import re
import time

import aiohttp
from multidict import CIMultiDictProxy
from yarl import URL

from ..platform import messages
from ..status import ExitStatus
from .definition import SendQuery
from .environment import CommandEnvironment
from .gateways import read_settings
from .http import open_session
from .output import Outcome, make_error

DEFAULT_DEADLINE_MS = 1000
MS_PER_S = 1000
MAX_BODY_BYTES = 16 * 1024 * 1024
# Printable ASCII characters, since both parts become lines of the request's head.
URL_FORM = re.compile(r"(?:http://)?([!-.0-~]+)(/[!-~]*)")


class GatewayAnswer:
    """A complete answer of a gateway; `elapsed_s` is the time from the request to its last byte."""

    __slots__ = ("status", "headers", "body", "elapsed_s")

    def __init__(
        self, status: int, headers: CIMultiDictProxy[str], body: bytes, elapsed_s: float
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.elapsed_s = elapsed_s


async def send_gateway_query(command: SendQuery, environment: CommandEnvironment) -> Outcome:
    """Send one request to the gateway whose settings file is given, and describe the answer."""
    settings = read_settings(command.gateway, environment)
    if isinstance(settings, Outcome):
        return settings
    match = URL_FORM.fullmatch(command.url)
    if match is None:
        return make_error(ExitStatus.USAGE, "usage", f"{command.url!r} is not HOST/PATH")
    host, path = match.groups()
    deadline_ms = command.option_values.get("deadline_ms", DEFAULT_DEADLINE_MS)
    if deadline_ms < 1:
        return make_error(ExitStatus.USAGE, "usage", f"--deadline-ms {deadline_ms} is not positive")
    request_id = environment.make_id()
    headers = messages.make_request_headers(host, request_id, deadline_ms / MS_PER_S)
    address = "{}:{}".format(*settings.caller_address)
    try:
        async with asyncio.timeout(command.options.timeout), open_session() as session:
            answer = await fetch_answer(session, f"http://{address}{path}", headers)
    except aiohttp.ClientConnectorError as error:
        message = f"{address}: {error.strerror or error}"
        return make_error(
            ExitStatus.UNAVAILABLE, "gateway_unreachable", message, ran="not_run", gateway=address
        )
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        message = f"{address}: no whole answer: {error!r}"
        return make_error(
            ExitStatus.OUTCOME_UNKNOWN,
            "gateway_no_answer",
            message,
            ran="unknown",
            gateway=address,
            request_id=request_id,
        )
    return describe_answer(answer, request_id, address)


async def fetch_answer(
    session: aiohttp.ClientSession, url: str, headers: dict[str, str]
) -> GatewayAnswer:
    """Return the answer to one request, which is sent once; raise aiohttp's errors."""
    started_s = time.monotonic()
    async with session.get(
        URL(url, encoded=True), headers=headers, allow_redirects=False
    ) as response:
        body = await response.content.read(MAX_BODY_BYTES)
        while chunk := await response.content.read(MAX_BODY_BYTES - len(body)):
            body += chunk
    return GatewayAnswer(response.status, response.headers, body, time.monotonic() - started_s)


def describe_answer(answer: GatewayAnswer, request_id: str, address: str) -> Outcome:
    """Return the outcome of a request that was answered."""
    data: dict[str, object] = {
        "request_id": request_id,
        "gateway": address,
        "http_status": answer.status,
        "elapsed_ms": round(answer.elapsed_s * MS_PER_S, 1),
    }
    if 200 <= answer.status < 300:
        return describe_success(answer, data)
    has_run = "not_run" if answer.status in messages.NOT_RUN_STATUSES else "unknown"
    reason = answer.body[:200].decode("utf-8", "replace")
    data["ran"] = has_run
    data["retry_after_s"] = messages.read_retry_after_s(answer.headers)
    match answer.status:
        case 404:
            status = ExitStatus.NOT_FOUND
        case _ if has_run == "not_run":
            status = ExitStatus.UNAVAILABLE
        case number if 400 <= number < 500:
            status = ExitStatus.INVALID_INPUT
        case _:
            status = ExitStatus.OUTCOME_UNKNOWN
    text = f"{reason}: HTTP {answer.status} (ran: {has_run}, request {request_id})"
    if data["retry_after_s"] is not None:
        text += f", come back in {data['retry_after_s']:g} s"
    return make_error(status, f"http_{answer.status}", text, **data)


def describe_success(answer: GatewayAnswer, data: dict[str, object]) -> Outcome:
    """Return the outcome of a success, with the share of the shards that the answer covers."""
    lines = [f"request: {data['request_id']}", f"status: {answer.status}"]
    counts = messages.count_parts(answer.headers)
    if counts is not None:
        present, missing = counts
        data |= {"parts": present, "missing": missing, "coverage": present / (present + missing)}
        lines.append(f"coverage: {data['coverage']:.3f} ({present} of {present + missing} parts)")
    data["body_base64"] = base64.b64encode(answer.body).decode()
    lines += [f"elapsed: {data['elapsed_ms']} ms", f"body: {len(answer.body)} bytes"]
    return Outcome(ExitStatus.SUCCESS, "\n".join(lines), data)
