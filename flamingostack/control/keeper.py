"""Watches of the platform's object store, and writes of the fleet document."""

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
MAX_POLL_MS = 1000
RETRY_DELAY_S = 0.1
INSTANCES_INTERVAL_S = 5.0
# How long a member must be silent, while the platform does not list it, to count as stopped.
VANISHED_AFTER_NS = 120_000_000_000


class FleetStore:
    """Reads the fleet document, index maps and presets from the store, and writes the document.

    `presets` are the stored presets by name, and `listed_addresses` the control addresses in the
    platform's list of instances. Hold `write_lock` from `read_document` to `write_document`.
    """

    __slots__ = (
        "controller",
        "store",
        "presets",
        "listed_addresses",
        "write_lock",
        "stored_document_version",
        "_logged_failures",
        "_seeded_addresses",
    )

    def __init__(self, controller: Controller, store: Store) -> None:
        self.controller = controller
        self.store = store
        self.presets: dict[str, pb.StoredPreset] = {}
        self.listed_addresses: set[str] = set()
        self.write_lock = asyncio.Lock()
        # Document version in the last read from the store; 0 if there is no usable document.
        self.stored_document_version = 0
        # Subjects of failures that have been logged and have not ended.
        self._logged_failures: set[str] = set()
        # Listed addresses that have been added to the node's seeds once.
        self._seeded_addresses: set[str] = set()

    async def watch_document(self) -> None:
        """Watch the fleet document until cancelled; create it if no process has one."""
        await self._watch(FLEET_PREFIX, self._on_fleet_objects)

    async def watch_indexes(self) -> None:
        """Watch the index maps of all services until cancelled."""
        await self._watch(INDEX_PREFIX, self._on_index_objects)

    async def watch_presets(self) -> None:
        """Watch the presets until cancelled."""
        await self._watch(PRESET_PREFIX, self._on_preset_objects)

    async def _watch(
        self, prefix: str, on_objects: Callable[[list[StoredObject], int], Awaitable[None]]
    ) -> None:
        """Long-poll the objects under `prefix`; pass each result on with the time of its request.

        `on_objects` is called with an empty list if nothing changed.
        """
        lease_ms = self.controller.environment.settings.fleet.lease_ms
        # Store contact counts from when the read was sent, so a short lease needs shorter polls.
        poll_ms = min(MAX_POLL_MS, lease_ms // 3)
        since = 0
        wait_ms = 0
        while True:
            sent_ns = self.controller.now_ns()
            changes = await self.store.fetch_changes(since, wait_ms=wait_ms, prefix=prefix)
            if isinstance(changes, StoreFailure):
                self._log_failure(prefix, changes)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._log_success(prefix)
            await on_objects(changes.objects, sent_ns)
            self.controller.publish_changes()
            if changes.revision < since:
                self.controller.environment.log.error(
                    "store_went_back", prefix=prefix, since=since, revision=changes.revision
                )
                await asyncio.sleep(RETRY_DELAY_S)
            since = changes.revision
            is_bootstrapped = self.stored_document_version or prefix != FLEET_PREFIX
            wait_ms = poll_ms if is_bootstrapped else int(RETRY_DELAY_S * 1000)

    def _log_failure(self, subject: str, failure: StoreFailure) -> None:
        """Log a failure, unless the previous call for `subject` failed too."""
        if subject not in self._logged_failures:
            self._logged_failures.add(subject)
            self.controller.environment.log.warning(
                "store_unreachable", subject=subject, reason=failure.message
            )

    def _log_success(self, subject: str) -> None:
        """Log a success, if the previous call for `subject` failed."""
        if subject in self._logged_failures:
            self._logged_failures.discard(subject)
            self.controller.environment.log.info("store_reachable", subject=subject)

    async def _on_fleet_objects(self, objects: list[StoredObject], sent_ns: int) -> None:
        """Adopt a changed document and record the store contact; without a document, create it."""
        for item in objects:
            if item.key == DOCUMENT_KEY:
                self.on_document(item)
        if self.stored_document_version:
            node = self.controller.node
            node.on_store_read(self.stored_document_version, sent_ns, self.controller.now_ns())
            self._log_store_behind()
        else:
            await self._bootstrap()

    def on_document(self, item: StoredObject) -> None:
        """Adopt the document read from the store if it is newer than the node's.

        An unusable document is logged and sets `stored_document_version` to 0.
        """
        log = self.controller.environment.log
        node = self.controller.node
        if item.version < node.store_version:
            # This long poll was answered before a read that has already been processed.
            return
        node.store_version = item.version
        document = decode_document(item.value)
        if not isinstance(document, str) and node.is_foreign(document.fleet):
            document = f"the document belongs to another fleet, {document.fleet}"
        if isinstance(document, str):
            self.stored_document_version = 0
            log.error("document_unusable", store_version=item.version, reason=document)
            return
        self.stored_document_version = document.version
        if node.adopt_document(document, self.controller.now_ns()):
            log.info("document_adopted", version=document.version, source="store")

    def _log_store_behind(self) -> None:
        """Log once if the store's document is older than the node's: the store lost writes."""
        own_version = self.controller.node.document.version
        if (
            self.stored_document_version < own_version
            and "lost_writes" not in self._logged_failures
        ):
            self._logged_failures.add("lost_writes")
            self.controller.environment.log.warning(
                "store_is_behind", store=self.stored_document_version, own=own_version
            )
        elif self.stored_document_version == own_version:
            self._logged_failures.discard("lost_writes")

    async def _bootstrap(self) -> None:
        """Create the first document, if neither the store nor a peer has one.

        While some seed address may still lead to a peer, this waits for the first `suspect_ns`.
        """
        node = self.controller.node
        now_ns = self.controller.now_ns()
        has_waited = now_ns - node.started_ns >= node.timing.suspect_ns
        if node.document.version or node.store_version or (node.seeds and not has_waited):
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
        """Read the document from the store, and adopt it if it is newer than the node's.

        Return a failure if the read failed, or if `stored_document_version` is not the node's
        document version afterwards, because the stored document is unusable or older.
        """
        sent_ns = self.controller.now_ns()
        item = await self.store.get(DOCUMENT_KEY)
        if isinstance(item, StoreFailure):
            return item
        self.on_document(item)
        node = self.controller.node
        node.on_store_read(self.stored_document_version, sent_ns, self.controller.now_ns())
        self.controller.publish_changes()
        if self.stored_document_version != node.document.version:
            message = (
                f"the document in the store has version {self.stored_document_version}, "
                f"expected {node.document.version}"
            )
            return StoreFailure(StoreReason.UNAVAILABLE, message)
        return None

    async def write_document(self, document: pb.FleetDocument) -> StoreFailure | None:
        """Replace the stored document and adopt the new one.

        The write fails if the object no longer has the version that this process read last,
        `node.store_version`.
        """
        node = self.controller.node
        sent_ns = self.controller.now_ns()
        result = await self.store.replace(
            DOCUMENT_KEY, document.SerializeToString(), node.store_version
        )
        if isinstance(result, StoreFailure):
            return result
        if result > node.store_version:
            node.store_version = result
            self.stored_document_version = document.version
        now_ns = self.controller.now_ns()
        node.adopt_document(document, now_ns)
        node.on_store_read(document.version, sent_ns, now_ns)
        self.controller.publish_changes()
        return None

    async def watch_instances(self) -> None:
        """Poll the platform's list of instances until cancelled."""
        while True:
            listed = await self.store.fetch_instances()
            if not isinstance(listed, StoreFailure):
                self.listed_addresses = {
                    item.control_address for item in listed if item.control_address
                }
                self._add_seeds()
                self._forget_vanished()
                self.controller.publish_changes()
            await asyncio.sleep(INSTANCES_INTERVAL_S)

    def _add_seeds(self) -> None:
        """Add each listed address that belongs to no known member to the node's seeds, once."""
        node = self.controller.node
        known = {node.own.control_address}
        known.update(peer.member.control_address for peer in node.membership.peers.values())
        new_addresses = self.listed_addresses - known - self._seeded_addresses
        self._seeded_addresses |= new_addresses
        node.seeds |= new_addresses

    def _forget_vanished(self) -> None:
        """Drop seeds and members that the platform no longer lists.

        Seeds are dropped once this process has run for `VANISHED_AFTER_NS`, members once they
        have been silent for as long.
        """
        now_ns = self.controller.now_ns()
        node = self.controller.node
        if node.own.control_address not in self.listed_addresses:
            # A list that lacks this running instance is no evidence about other instances.
            return
        if now_ns - node.started_ns > VANISHED_AFTER_NS:
            node.seeds &= self.listed_addresses
        node.forget_members(
            now_ns,
            vanished=[
                name
                for name, peer in node.membership.peers.items()
                if now_ns - peer.heard_ns > VANISHED_AFTER_NS
                and peer.member.control_address not in self.listed_addresses
            ],
        )


def decode_document(value: bytes | None) -> pb.FleetDocument | str:
    """Decode and check a fleet document; return an error message if it is unusable."""
    if value is None:
        return "the document was deleted"
    document = pb.FleetDocument()
    try:
        document.ParseFromString(value)
    except DecodeError as error:
        return str(error)
    return find_document_problem(document) or document


def decode_index(item: StoredObject) -> pb.ServiceIndex | str:
    """Decode and check an index map; return an error message if it is unusable.

    A deleted map becomes an empty one with the revision of the deletion, which is how peers
    receive the deletion.
    """
    service = item.key.removeprefix(INDEX_PREFIX)
    index = pb.ServiceIndex(service=service)
    if item.value is not None:
        try:
            index.ParseFromString(item.value)
        except DecodeError as error:
            return str(error)
    if index.service != service:
        return f"the index map is for another service, {index.service!r}"
    index.revision = item.version
    return index
