"""Reading the store by long polls, and writing the fleet document."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Awaitable, Callable

from google.protobuf.message import DecodeError

from ..fleet.document import find_document_problem, make_document
from ..generated import messages_pb2 as pb
from ..store import Store, StoredObject, StoreFailure, StoreReason
from .controller import Controller

FLEET_PREFIX = "fleet/"
DOCUMENT_KEY = "fleet/document"
INDEX_PREFIX = "index/"
PRESET_PREFIX = "presets/"
POLL_MS = 1000
RETRY_S = 0.1
INSTANCES_INTERVAL_S = 5.0
# How long a member must be silent, and missing in the platform's list, to count as gone.
VANISHED_NS = 120_000_000_000


class Keeper:
    """Everything that this process reads from the store and writes to it."""

    __slots__ = (
        "controller",
        "store",
        "presets",
        "addresses",
        "write_lock",
        "seen_version",
        "_failing",
        "_listed",
    )

    def __init__(self, controller: Controller, store: Store) -> None:
        self.controller = controller
        self.store = store
        self.presets: dict[str, pb.StoredPreset] = {}
        self.addresses: set[str] = set()
        self.write_lock = asyncio.Lock()
        # Document version that the store showed last; 0: none.
        self.seen_version = 0
        self._failing: set[str] = set()
        self._listed: set[str] = set()

    async def watch_document(self) -> None:
        """Follow the document until cancelled; create it if the store has none."""
        await self._watch(FLEET_PREFIX, self._on_fleet_objects)

    async def watch_indexes(self) -> None:
        """Follow the index maps until cancelled."""
        await self._watch(INDEX_PREFIX, self._on_index_objects)

    async def watch_presets(self) -> None:
        """Follow the presets until cancelled."""
        await self._watch(PRESET_PREFIX, self._on_preset_objects)

    async def _watch(
        self, prefix: str, on_objects: Callable[[list[StoredObject], int], Awaitable[None]]
    ) -> None:
        lease_ms = self.controller.environment.settings.fleet.lease_ms
        # A shorter lease needs a shorter poll, as a read counts from when it was sent.
        poll_ms = min(POLL_MS, lease_ms // 3)
        since = 0
        wait_ms = 0
        while True:
            sent_ns = self.controller.now_ns()
            changes = await self.store.fetch_changes(since, wait_ms=wait_ms, prefix=prefix)
            if isinstance(changes, StoreFailure):
                self._log_failure(prefix, changes)
                await asyncio.sleep(RETRY_S)
                continue
            self._log_success(prefix)
            await on_objects(changes.objects, sent_ns)
            self.controller.changed()
            if changes.revision < since:
                self.controller.environment.log.error(
                    "store_went_back", prefix=prefix, since=since, revision=changes.revision
                )
                await asyncio.sleep(RETRY_S)
            since = changes.revision
            created = self.seen_version or prefix != FLEET_PREFIX
            wait_ms = poll_ms if created else int(RETRY_S * 1000)

    def _log_failure(self, subject: str, failure: StoreFailure) -> None:
        if subject not in self._failing:
            self._failing.add(subject)
            self.controller.environment.log.warning(
                "store_unreachable", subject=subject, reason=failure.message
            )

    def _log_success(self, subject: str) -> None:
        if subject in self._failing:
            self._failing.discard(subject)
            self.controller.environment.log.info("store_reachable", subject=subject)

    async def _on_fleet_objects(self, objects: list[StoredObject], sent_ns: int) -> None:
        for item in objects:
            if item.key == DOCUMENT_KEY:
                self.on_document(item)
        if self.seen_version:
            node = self.controller.node
            node.on_store_read(self.seen_version, sent_ns, self.controller.now_ns())
            self._checkseen_version()
        else:
            await self._bootstrap()

    def on_document(self, item: StoredObject) -> None:
        """Adopt the store's document if it is newer; an unusable one counts as not seen."""
        log = self.controller.environment.log
        node = self.controller.node
        if item.version < node.store_version:
            # A long poll that was answered before a later read.
            return
        node.store_version = item.version
        document = decode_document(item.value)
        if not isinstance(document, str) and node.is_foreign(document.fleet):
            document = f"it belongs to fleet {document.fleet}"
        if isinstance(document, str):
            self.seen_version = 0
            log.error("document_unusable", store_version=item.version, reason=document)
            return
        self.seen_version = document.version
        if node.adopt_document(document, self.controller.now_ns()):
            log.info("document_adopted", version=document.version, source="store")

    def _checkseen_version(self) -> None:
        own_version = self.controller.node.document.version
        if self.seen_version < own_version and "lost_writes" not in self._failing:
            self._failing.add("lost_writes")
            self.controller.environment.log.warning(
                "store_is_behind", store=self.seen_version, own=own_version
            )
        elif self.seen_version == own_version:
            self._failing.discard("lost_writes")

    async def _bootstrap(self) -> None:
        """Create the document, if neither the store nor a peer has one."""
        node = self.controller.node
        now_ns = self.controller.now_ns()
        waited = now_ns - node.started_ns >= node.timing.suspect_ns
        if node.document.version or node.store_version or (node.seeds and not waited):
            return
        fleet = self.controller.environment.settings.fleet
        document = make_document(
            holder=node.own,
            partition_count=fleet.partition_count,
            voter_count=fleet.voter_count,
            failure_domains=fleet.failure_domains,
            fleet=uuid.uuid4().hex,
        )
        result = await self.store.create(DOCUMENT_KEY, document.SerializeToString())
        self.controller.environment.log.info(
            "document_created" if isinstance(result, int) else "document_not_created",
            reason=result.message if isinstance(result, StoreFailure) else "",
        )

    async def _on_index_objects(self, objects: list[StoredObject], sent_ns: int) -> None:
        indexes = []
        for item in objects:
            index = decode_index(item)
            if isinstance(index, str):
                self.controller.environment.log.error(
                    "index_unusable", key=item.key, store_version=item.version, reason=index
                )
            else:
                indexes.append(index)
        self.controller.node.adopt_indexes(indexes)

    async def _on_preset_objects(self, objects: list[StoredObject], sent_ns: int) -> None:
        for item in objects:
            name = item.key.removeprefix(PRESET_PREFIX)
            if item.value is None:
                self.presets.pop(name, None)
            else:
                self.presets[name] = pb.StoredPreset(
                    name=name, body=item.value, store_version=item.version
                )

    async def read_document(self) -> StoreFailure | None:
        """Read the store's document; afterwards the node's is at least as new."""
        sent_ns = self.controller.now_ns()
        item = await self.store.get(DOCUMENT_KEY)
        if isinstance(item, StoreFailure):
            return item
        self.on_document(item)
        node = self.controller.node
        node.on_store_read(self.seen_version, sent_ns, self.controller.now_ns())
        self.controller.changed()
        if self.seen_version != node.document.version:
            message = (
                f"the store's document has version {self.seen_version}, not {node.document.version}"
            )
            return StoreFailure(StoreReason.UNAVAILABLE, message)
        return None

    async def write_document(self, document: pb.FleetDocument) -> StoreFailure | None:
        """Replace the document that `read_document` has just read, and adopt the new one."""
        node = self.controller.node
        sent_ns = self.controller.now_ns()
        result = await self.store.replace(
            DOCUMENT_KEY, document.SerializeToString(), node.store_version
        )
        if isinstance(result, StoreFailure):
            return result
        if result > node.store_version:
            node.store_version = result
            self.seen_version = document.version
        now_ns = self.controller.now_ns()
        node.adopt_document(document, now_ns)
        node.on_store_read(document.version, sent_ns, now_ns)
        self.controller.changed()
        return None

    async def watch_instances(self) -> None:
        """Read the platform's list of instances now and then, until cancelled."""
        while True:
            listed = await self.store.fetch_instances()
            if not isinstance(listed, StoreFailure):
                self.addresses = {item.control_address for item in listed if item.control_address}
                self._add_seeds()
                self._forget_vanished()
                self.controller.changed()
            await asyncio.sleep(INSTANCES_INTERVAL_S)

    def _add_seeds(self) -> None:
        """Expect a process at each listed address of which nothing is known."""
        node = self.controller.node
        known = {node.own.control_address}
        known.update(peer.member.control_address for peer in node.membership.peers.values())
        new = self.addresses - known - self._listed
        self._listed |= new
        node.seeds |= new

    def _forget_vanished(self) -> None:
        now_ns = self.controller.now_ns()
        node = self.controller.node
        if node.own.control_address not in self.addresses:
            # A list without this live instance proves nothing about others.
            return
        if now_ns - node.started_ns > VANISHED_NS:
            node.seeds &= self.addresses
        node.forget_members(
            now_ns,
            vanished=[
                name
                for name, peer in node.membership.peers.items()
                if now_ns - peer.heard_ns > VANISHED_NS
                and peer.member.control_address not in self.addresses
            ],
        )


def decode_document(value: bytes | None) -> pb.FleetDocument | str:
    """Decode and check a document; a string says what is wrong with it."""
    if value is None:
        return "it was deleted"
    document = pb.FleetDocument()
    try:
        document.ParseFromString(value)
    except DecodeError as error:
        return str(error)
    return find_document_problem(document) or document


def decode_index(item: StoredObject) -> pb.ServiceIndex | str:
    """Decode and check an index map; a string says what is wrong with it.

    A deleted map becomes an empty one, so that peers hear of the deletion by its revision.
    """
    service = item.key.removeprefix(INDEX_PREFIX)
    index = pb.ServiceIndex(service=service)
    if item.value is not None:
        try:
            index.ParseFromString(item.value)
        except DecodeError as error:
            return str(error)
    if index.service != service:
        return f"it is for service {index.service!r}"
    index.revision = item.version
    return index
