"""Relay of the store's state between instances: the HTTP server and its client.

The server also tells operators the status of its instance (`status.py`).

The relay serves two purposes. When the store rejects calls of some instances but serves others, an
instance whose feed fails polls a random peer. And because the cost of store calls grows with the
fleet, most instances follow two peers of their failure domain (`readers.py`, `follower.py`) instead
of the store. State is ordered by the store's revision, so older state never replaces newer state. A
response holds the changes since the polling instance's revision, or all objects if the changes
since then are no longer known.
"""

from __future__ import annotations

import random
import re
import zlib
from collections.abc import Collection, Iterable, Mapping
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec
from aiohttp import web
from multidict import MultiMapping

from ..platform.entries import MAX_NAME_CHARACTERS, MISSING, decode_relayed
from ..platform.tenants import hide_relayed_keys
from ..store import MAX_RESPONSE_BYTES, StoreFailure, make_session, send_request
from .internal import InternalPort, InternalServer
from .limit_ends import LimitEnd, decode_limit_ends
from .model import StoredRecord, StoredRecords
from .observations import Observation, decode_observations
from .pool import GRANT_VALID_S, MAX_SERVICES_PER_REQUEST
from .position import NO_ERA
from .status import STATUS_PATH, make_status

if TYPE_CHECKING:
    from .feeds import Feed, StoreStatus
    from .state import Gateway

FEEDS_PATH = "/v1/feeds"
# Path at which followers ask for extra sends from the pool; the answer is a list of services.
GRANTS_PATH = "/v1/grants"
# After the name of a kind, the era in which its revision counts.
ERA_SUFFIX = ".era"
SERVICE_PARAMETER = "service"
# A later grant could not be used.
GRANT_TIMEOUT_S = GRANT_VALID_S / 2
# Parameters with which a follower reports its requests in the last window of the budget, and what
# it has observed of targets in trouble.
INSTANCE_PARAMETER = "instance"
REQUESTS_PARAMETER = "requests"
OBSERVATIONS_PARAMETER = "observations"
# The clock that the polled instance has told last, empty before that, and the ends of limits that
# refer to it.
LIMIT_CLOCK_PARAMETER = "limit_clock"
LIMIT_ENDS_PARAMETER = "limit_ends"
# A round trip between failure domains takes 8 ms. A poll that times out fails.
PEER_TIMEOUT_S = 0.5
# Upper limit of the time for which a poll waits for an update, whatever the peer requests.
MAX_POLL_WAIT_S = 5.0
MS_PER_S = 1000
# A larger number of requests in a report is ignored.
MAX_REPORTED_REQUESTS = 999_999_999
INTEGER = re.compile(r"-?[0-9]{1,20}")
# A configuration of some hundred routes takes 100 KB, and a reader sends it to twenty followers
# over a link of 20 Mbit/s. The fastest level already compresses it to a tenth.
COMPRESSION_LEVEL = 1


class RelayRecord(msgspec.Struct):
    """An object of the store in a relay response, see `StoredRecord`."""

    name: str
    revision: int
    value: object
    last_value: object = None


class RelayChanges(msgspec.Struct):
    """Changed objects of one kind up to a revision, or all objects if `is_whole`.

    Instances of an earlier version name no era, nor do those whose store names none.
    """

    revision: int
    records: list[RelayRecord]
    is_whole: bool
    era: int = NO_ERA


class ReceivedRecord(msgspec.Struct):
    """A `RelayRecord` whose values are not yet decoded."""

    name: str
    revision: int
    value: msgspec.Raw = MISSING
    last_value: msgspec.Raw = MISSING


class ReceivedChanges(msgspec.Struct):
    """`RelayChanges` whose values are not yet decoded."""

    revision: int
    records: list[ReceivedRecord]
    is_whole: bool
    era: int = NO_ERA


class RelayFreshness(msgspec.Struct):
    """Freshness of the state of the responding instance; times are in seconds.

    `age_s` is the time since the store last confirmed the state, and `failed_age_s` the time since
    a call to the store last failed; None means never. `is_lost` tells whether any feed of the
    instance has lost the store. `domain_requests` are the requests that the instances of its
    failure domain got in the last window of the budget; None if not known. `observations` are the
    targets that several of these instances have seen in trouble. `limit_ends` are limits that have
    ended; `limit_clock` is told to instances that have known a limit. Both are left out otherwise.
    """

    age_s: float | None
    failed_age_s: float | None
    is_lost: bool
    domain_requests: int | None = None
    observations: list[Observation] = []
    limit_ends: list[LimitEnd] | msgspec.UnsetType = msgspec.UNSET
    limit_clock: str | msgspec.UnsetType = msgspec.UNSET
    # The lowest era of the store in which the instance knows any kind; left out without one.
    era: int | msgspec.UnsetType = msgspec.UNSET


class RelayResponse:
    """Changes by kind, and the freshness of the responding instance's state."""

    __slots__ = ("freshness", "changes_by_kind")

    def __init__(self, freshness: RelayFreshness, changes_by_kind: dict[str, RelayChanges]) -> None:
        self.freshness = freshness
        self.changes_by_kind = changes_by_kind


class ResponseEncoder:
    """Encodes responses, and caches the last encoded changes: most followers poll for the same."""

    __slots__ = ("_key", "_encoded")

    def __init__(self) -> None:
        self._key: object = None
        self._encoded = b""

    def encode(
        self,
        revisions_by_kind: Mapping[str, int],
        response: RelayResponse,
        eras_by_kind: Mapping[str, int] | None = None,
    ) -> bytes:
        """Return the freshness as JSON, a line break, and the changes as compressed JSON.

        `revisions_by_kind` are the revisions that the polling instance knows, in these eras.
        """
        eras_by_kind = eras_by_kind or {}
        new_positions_by_kind = {
            kind: (changes.era, changes.revision)
            for kind, changes in response.changes_by_kind.items()
        }
        key = (
            {
                kind: (eras_by_kind.get(kind), revisions_by_kind[kind])
                for kind in new_positions_by_kind
            },
            new_positions_by_kind,
        )
        if key != self._key:
            changes = msgspec.json.encode(response.changes_by_kind)
            self._key, self._encoded = key, zlib.compress(changes, COMPRESSION_LEVEL)
        return msgspec.json.encode(response.freshness) + b"\n" + self._encoded


class PeerClient:
    """Client for the relays of other instances.

    Owned by one event loop; `close` ends its connections.
    """

    __slots__ = ("addresses_by_instance", "domains_by_instance", "_session")

    def __init__(self) -> None:
        self.addresses_by_instance: dict[str, str] = {}
        self.domains_by_instance: dict[str, str] = {}
        self._session = make_session()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def poll(
        self,
        address: str,
        revisions_by_kind: Mapping[str, int],
        wait_s: float,
        report: Mapping[str, str | int] | None = None,
        eras_by_kind: Mapping[str, int] | None = None,
    ) -> RelayResponse | None:
        """Return the changes since the revisions from the instance at `address`; None on failure.

        Wait for up to `wait_s` for the first change. A revision of -1 requests all objects of the
        kind. A revision without an era is taken for one of the era of the polled instance. `report`
        holds further parameters.
        """
        eras = {kind + ERA_SUFFIX: era for kind, era in (eras_by_kind or {}).items()}
        query = urlencode({**revisions_by_kind, **eras, **(report or {})})
        response = await send_request(
            self._session,
            "GET",
            f"http://{address}{FEEDS_PATH}?wait_ms={int(wait_s * MS_PER_S)}&{query}",
            timeout_s=wait_s + PEER_TIMEOUT_S,
            connect_s=PEER_TIMEOUT_S,
            body_s=PEER_TIMEOUT_S,
        )
        # A failure is not logged here; the caller decides how to handle it.
        if isinstance(response, StoreFailure) or response.status != 200:
            return None
        return decode_response(response.body)

    async def request_grants(
        self, address: str, instance: str, services: Collection[str]
    ) -> list[str]:
        """Ask the reader at `address` for an extra send to each service; none on failure."""
        parameters = [(INSTANCE_PARAMETER, instance)]
        parameters += [(SERVICE_PARAMETER, service) for service in services]
        response = await send_request(
            self._session,
            "GET",
            f"http://{address}{GRANTS_PATH}?{urlencode(parameters)}",
            timeout_s=GRANT_TIMEOUT_S,
            connect_s=GRANT_TIMEOUT_S,
        )
        if isinstance(response, StoreFailure) or response.status != 200:
            return []
        try:
            return msgspec.json.decode(response.body, type=list[str])
        except msgspec.DecodeError:
            return []

    async def fetch(self, kind: str, since: int, era: int | None = None) -> StoredRecords | None:
        """Return the changes of one kind from a random peer; None if it has none or fails."""
        if not self.addresses_by_instance:
            return None
        address = random.choice(list(self.addresses_by_instance.values()))
        eras_by_kind = {} if era is None else {kind: era}
        response = await self.poll(address, {kind: since}, 0.0, eras_by_kind=eras_by_kind)
        if response is None or kind not in response.changes_by_kind:
            return None
        return decode_changes(response.changes_by_kind[kind])


def decode_response(body: bytes) -> RelayResponse | None:
    """Decode a relay response; return None if it is malformed or too large."""
    header, _, compressed = body.partition(b"\n")
    decompressor = zlib.decompressobj()
    try:
        freshness = msgspec.json.decode(header, type=RelayFreshness)
        encoded = decompressor.decompress(compressed, MAX_RESPONSE_BYTES)
        if not decompressor.eof:
            return None
        received = msgspec.json.decode(encoded, type=dict[str, ReceivedChanges])
        changes = {kind: decode_received(kind, item) for kind, item in received.items()}
    except (ValueError, zlib.error, RecursionError):
        return None
    return RelayResponse(freshness, changes)


def decode_received(kind: str, received: ReceivedChanges) -> RelayChanges:
    """Decode what is kept of the values of one kind; raise ValueError if one is malformed."""
    records = [
        RelayRecord(
            item.name,
            item.revision,
            decode_relayed(item.value, kind, item.name),
            decode_relayed(item.last_value, kind, item.name),
        )
        for item in received.records
        if len(item.name) <= MAX_NAME_CHARACTERS
    ]
    return RelayChanges(received.revision, records, received.is_whole, received.era)


def decode_changes(changes: RelayChanges) -> StoredRecords:
    """Convert relayed changes to the type that the store client returns."""
    records = [
        StoredRecord(
            item.name,
            item.revision,
            hide_relayed_keys(item.value),
            hide_relayed_keys(item.last_value),
            changes.era,
        )
        for item in changes.records
    ]
    return StoredRecords(records, changes.revision, changes.is_whole, changes.era)


def make_relay_server(
    gateway: Gateway, feeds_by_kind: Mapping[str, Feed], store_status: StoreStatus
) -> InternalServer:
    """Return the server that answers the polls of other instances, and operators."""
    encoder = ResponseEncoder()

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path == STATUS_PATH:
            status = make_status(gateway, feeds_by_kind, store_status)
            return web.Response(body=msgspec.json.encode(status), content_type="application/json")
        if request.path == GRANTS_PATH:
            return make_grants_response(gateway, store_status, request.query)
        wait_ms = parse_integer(request.query.get("wait_ms", ""))
        revisions_by_kind = {
            kind: revision
            for kind, text in request.query.items()
            if kind in feeds_by_kind and (revision := parse_integer(text)) is not None
        }
        if request.path != FEEDS_PATH or wait_ms is None or not revisions_by_kind:
            return web.Response(status=404)
        eras_by_kind = {
            kind: era
            for kind in revisions_by_kind
            if (era := parse_integer(request.query.get(kind + ERA_SUFFIX, ""))) is not None
        }
        store_status.record_poll()
        record_report(gateway, request.query)
        wait_s = min(max(wait_ms, 0) / MS_PER_S, MAX_POLL_WAIT_S)
        response = await make_response(
            feeds_by_kind, store_status, revisions_by_kind, wait_s, eras_by_kind
        )
        response.freshness.domain_requests = gateway.domain_requests()
        response.freshness.observations = gateway.merge_observations()
        add_limit_ends(gateway, request.query, response.freshness)
        body = encoder.encode(revisions_by_kind, response, eras_by_kind)
        return web.Response(body=body, content_type="application/octet-stream")

    return InternalServer(gateway, handle, InternalPort.PEERS)


def add_limit_ends(
    gateway: Gateway, parameters: Mapping[str, str], freshness: RelayFreshness
) -> None:
    """Add the limits that have ended, and the clock if the follower asks for it."""
    now = gateway.now()
    freshness.limit_ends = gateway.limit_ends.collect(now) or msgspec.UNSET
    if LIMIT_CLOCK_PARAMETER in parameters:
        freshness.limit_clock = gateway.limit_ends.make_clock(now)


def make_grants_response(
    gateway: Gateway, store_status: StoreStatus, parameters: MultiMapping[str]
) -> web.Response:
    """Return the services for which a follower gets an extra send; only a reader grants any."""
    services = parameters.getall(SERVICE_PARAMETER, [])
    is_known = parameters.get(INSTANCE_PARAMETER, "") in gateway.instances
    if not is_known or not 0 < len(services) <= MAX_SERVICES_PER_REQUEST:
        return web.Response(status=404)
    granted = [] if store_status.is_following_peers else gateway.grant_extra_sends(services)
    return web.Response(body=msgspec.json.encode(granted), content_type="application/json")


def parse_integer(text: str) -> int | None:
    """Return an integer of at most 20 digits; None if the text is none."""
    return int(text) if INTEGER.fullmatch(text) else None


def record_report(gateway: Gateway, parameters: Mapping[str, str]) -> None:
    """Record what a follower reports, if it does: its requests, and targets in trouble."""
    instance = parameters.get(INSTANCE_PARAMETER, "")
    if instance not in gateway.instances:
        return
    requests = parse_integer(parameters.get(REQUESTS_PARAMETER, ""))
    if requests is not None and 0 <= requests <= MAX_REPORTED_REQUESTS:
        gateway.traffic.record(instance, requests, gateway.now())
    observations = decode_observations(parameters.get(OBSERVATIONS_PARAMETER, "[]"))
    gateway.observations.record(instance, observations, gateway.now())
    limit_ends = parameters.get(LIMIT_ENDS_PARAMETER)
    if limit_ends is not None:
        clock = parameters.get(LIMIT_CLOCK_PARAMETER, "")
        gateway.receive_limit_ends(decode_limit_ends(limit_ends), clock)


async def make_response(
    feeds_by_kind: Mapping[str, Feed],
    store_status: StoreStatus,
    revisions_by_kind: Mapping[str, int],
    wait_s: float,
    eras_by_kind: Mapping[str, int],
) -> RelayResponse:
    """Return the changes since the revisions; wait for up to `wait_s` if there are none."""
    changes_by_kind = collect_changes(feeds_by_kind, revisions_by_kind, eras_by_kind)
    if not changes_by_kind and wait_s:
        await store_status.wait_for_update(wait_s)
        changes_by_kind = collect_changes(feeds_by_kind, revisions_by_kind, eras_by_kind)
    freshness = RelayFreshness(
        age_s=store_status.age_s(),
        failed_age_s=store_status.failed_age_s(),
        is_lost=any(feed.has_lost_store for feed in feeds_by_kind.values()),
        era=find_lowest_era(feeds_by_kind.values()) or msgspec.UNSET,
    )
    return RelayResponse(freshness, changes_by_kind)


def find_lowest_era(feeds: Iterable[Feed]) -> int:
    """Return the lowest era in which any kind is known."""
    return min((feed.era for feed in feeds if feed.listed.is_set()), default=NO_ERA)


def collect_changes(
    feeds_by_kind: Mapping[str, Feed],
    revisions_by_kind: Mapping[str, int],
    eras_by_kind: Mapping[str, int],
) -> dict[str, RelayChanges]:
    """Return the changes since the revisions, except of feeds that have lost the store."""
    changes_by_kind = {}
    for kind, since in revisions_by_kind.items():
        feed = feeds_by_kind[kind]
        new_records = None
        if not feed.has_lost_store:
            new_records = feed.changes_since(since, eras_by_kind.get(kind))
        if new_records is None:
            continue
        records = [
            RelayRecord(item.name, item.revision, item.value, item.last_value)
            for item in new_records.records
        ]
        changes_by_kind[kind] = RelayChanges(
            new_records.revision, records, new_records.is_whole, new_records.era
        )
    return changes_by_kind
