"""Updaters that apply stored objects to the gateway's state, one class for each kind."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from ..errors import Failure
from ..platform import decode
from ..platform.entries import CONFIGURATION_NAME
from .directory import Exclusion
from .marks import Marks, collect_marks, is_mark
from .model import Organisations, StoredRecord, TargetEntry
from .position import StorePosition
from .relay import PeerClient
from .state import Gateway

# With this many unannounced removals in one update, an outage of the store is assumed.
MIN_OUTAGE_REMOVALS = 3
# The detail of an entry that cannot be decoded may quote any of its fields.
MAX_DETAIL_CHARACTERS = 300


class ConfigurationUpdater:
    """Applies new versions of the configuration."""

    __slots__ = ("gateway",)

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    def apply(self, records: list[StoredRecord], had_recent_outage: bool) -> None:
        """Apply the configuration among these records, unless it is malformed or not newer."""
        for record in records:
            if record.name != CONFIGURATION_NAME or record.value is None:
                continue
            configuration = decode.decode_configuration(record)
            if isinstance(configuration, Failure):
                self.gateway.log.error("configuration_refused", detail=configuration.message)
                continue
            is_newer = self.gateway.set_configuration(configuration)
            organisations = configuration.organisations
            self.gateway.log.info(
                "configuration_applied" if is_newer else "configuration_not_newer",
                version=configuration.version,
                revision=record.revision,
                routes=len(configuration.routes),
                **describe_organisations(organisations),
            )
            if is_newer and organisations is not None and organisations.problems:
                self.gateway.log.warning(
                    "tenants_odd",
                    version=configuration.version,
                    detail="; ".join(organisations.problems),
                )


def describe_organisations(organisations: Organisations | None) -> dict[str, int]:
    """Return the log fields of the organisations of a configuration; none if it names none."""
    if organisations is None:
        return {}
    return {"tenants": len(organisations.by_name), "keys": len(organisations.by_digest)}


class TargetUpdater:
    """Applies target entries to the directory."""

    __slots__ = ("gateway", "_removal_timer")

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self._removal_timer: asyncio.TimerHandle | None = None

    def apply_list(self, records: list[StoredRecord], had_recent_outage: bool) -> None:
        """Replace all targets by the listed ones."""
        entries = []
        for record in records:
            entry = decode.decode_target(record)
            if isinstance(entry, Failure):
                self.record_malformed(entry.message)
            else:
                entries.append(entry)
        directory = self.gateway.directory
        missing = set(directory.targets_by_id) - {entry.id for entry in entries}
        may_return = had_recent_outage or self.is_likely_outage(missing)
        self.note_versions(entries, is_list=True)
        directory.replace_all(entries, self.gateway.now(), may_return)
        self.gateway.log.info(
            "targets_listed", count=len(entries), missing=len(missing), may_return=may_return
        )
        self.refresh()

    def is_likely_outage(self, missing: Iterable[str]) -> bool:
        """Return whether enough targets vanished unannounced to suggest an outage of the store.

        A store that was silent for a while may not have failed a call, but entries that targets
        could not renew in that time have expired.
        """
        return sum(map(self.gateway.directory.is_serving, missing)) >= MIN_OUTAGE_REMOVALS

    def apply_changes(self, records: list[StoredRecord], had_recent_outage: bool) -> None:
        """Add, update and remove the changed targets."""
        directory = self.gateway.directory
        now = self.gateway.now()
        unannounced = [
            record.name for record in records if record.value is None and not was_draining(record)
        ]
        may_return = had_recent_outage or self.is_likely_outage(unannounced)
        for record in records:
            if record.value is None:
                is_held = may_return and not was_draining(record)
                directory.remove(record.name, now, is_held)
                self.gateway.log.info(
                    "target_removed", target=record.name, revision=record.revision, held=is_held
                )
                continue
            entry = decode.decode_target(record)
            if isinstance(entry, Failure):
                self.record_malformed(entry.message)
                directory.remove(record.name, now, may_return=False)
                continue
            self.note_versions([entry])
            directory.put(entry, now)
            self.gateway.log.info(
                "target_changed",
                target=entry.id,
                service=entry.service,
                draining=entry.is_draining,
                cold_s=entry.cold_s,
                revision=record.revision,
            )
        self.refresh()

    def note_versions(self, entries: list[TargetEntry], is_list: bool = False) -> None:
        """Tell which versions there are, where operators roll them out."""
        if self.gateway.settings.has_rollouts:
            versions = [(entry.service, entry.version) for entry in entries]
            self.gateway.rollouts.note_targets(versions, is_list)

    def record_malformed(self, detail: str) -> None:
        """Count and log an entry that can't be decoded."""
        self.gateway.metrics.count("gateway_malformed_entries_total")
        self.gateway.log.warning("target_malformed", detail=detail[:MAX_DETAIL_CHARACTERS])

    def refresh(self) -> None:
        """Recompute what depends on the targets, and set the timer of the next delayed removal."""
        self.gateway.update_shares()
        if self._removal_timer is not None:
            self._removal_timer.cancel()
            self._removal_timer = None
        at = self.gateway.directory.next_removal_at
        if at is not None:
            self._removal_timer = asyncio.get_running_loop().call_at(at, self.remove_expired)

    def remove_expired(self) -> None:
        """Remove the targets whose entries did not come back in time."""
        for target_id in self.gateway.directory.expire_removals(self.gateway.now()):
            self.gateway.log.info("target_removed", target=target_id, held=True)
        self.refresh()


def was_draining(record: StoredRecord) -> bool:
    """Return whether a deleted entry said before that its target leaves.

    An instance that was behind may get to know both at once.
    """
    entry = decode.decode_target(StoredRecord(record.name, record.revision, record.last_value))
    return not isinstance(entry, Failure) and entry.is_draining


class EvacuationUpdater:
    """Applies evacuations of failure domains to the directory."""

    __slots__ = ("gateway",)

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    def apply_list(self, records: list[StoredRecord], had_recent_outage: bool) -> None:
        """Replace the set of evacuated failure domains by the listed ones."""
        self.gateway.directory.unlisted_exclusions.discard(Exclusion.EVACUATIONS)
        self.set_evacuated_domains({record.name for record in records})

    def apply_changes(self, records: list[StoredRecord], had_recent_outage: bool) -> None:
        """Add and remove the changed failure domains."""
        domains = set(self.gateway.directory.evacuated_domains)
        for record in records:
            if record.value is None:
                domains.discard(record.name)
            else:
                domains.add(record.name)
        self.set_evacuated_domains(domains)

    def set_evacuated_domains(self, domains: set[str]) -> None:
        """Set the evacuated failure domains, and log a change."""
        directory = self.gateway.directory
        if domains != directory.evacuated_domains:
            self.gateway.log.info(
                "evacuations_changed",
                before=sorted(directory.evacuated_domains),
                after=sorted(domains),
            )
            directory.evacuated_domains = domains


class InstanceUpdater:
    """Tracks the instances that share the fleet-wide limits, the peers, and operators' marks."""

    __slots__ = ("gateway", "peers", "mark_names", "positions_by_instance")

    def __init__(self, gateway: Gateway, peers: PeerClient) -> None:
        self.gateway = gateway
        self.peers = peers
        self.mark_names: set[str] = set()
        self.positions_by_instance: dict[str, StorePosition] = {}

    def apply_list(self, records: list[StoredRecord], had_recent_outage: bool) -> None:
        """Replace all instances by the listed ones."""
        self.peers.addresses_by_instance.clear()
        self.peers.domains_by_instance.clear()
        self.mark_names.clear()
        self.positions_by_instance.clear()
        self.update_instances(set(), records)
        self.gateway.directory.unlisted_exclusions.discard(Exclusion.MARKS)
        self.gateway.log.info("instances_listed", count=len(records))

    def apply_changes(self, records: list[StoredRecord], had_recent_outage: bool) -> None:
        """Add, update and remove the changed instances."""
        self.update_instances(set(self.gateway.instances), records)

    def update_instances(self, instances: set[str], records: list[StoredRecord]) -> None:
        """Apply the records to `instances`, and divide the shared limits among the result."""
        for record in records:
            if is_mark(record.name):
                self.update_mark(record)
                continue
            if record.value is None:
                instances.discard(record.name)
                self.peers.addresses_by_instance.pop(record.name, None)
                self.peers.domains_by_instance.pop(record.name, None)
                self.positions_by_instance.pop(record.name, None)
                continue
            instances.add(record.name)
            self.positions_by_instance[record.name] = record.position
            entry = record.value if isinstance(record.value, dict) else {}
            address = entry.get("address")
            if isinstance(address, str) and record.name != self.gateway.settings.instance:
                self.peers.addresses_by_instance[record.name] = address
                self.peers.domains_by_instance[record.name] = str(entry.get("failure_domain"))
        before = len(self.gateway.instances)
        self.gateway.set_instances(instances)
        if self.gateway.allotments is not None:
            self.gateway.allotments.update_members(self.list_earlier_instances())
        after = len(self.gateway.instances)
        if after != before:
            self.gateway.log.info("instances_changed", before=before, after=after)
        self.set_marks(collect_marks(self.mark_names))

    def list_earlier_instances(self) -> set[str] | None:
        """Return the instances whose entries are older than that of this one; None without one."""
        positions = self.positions_by_instance
        own_position = positions.get(self.gateway.settings.instance)
        if own_position is None:
            return None
        return {name for name, position in positions.items() if position < own_position}

    def update_mark(self, record: StoredRecord) -> None:
        """Add or remove the name of a mark."""
        if record.value is None:
            self.mark_names.discard(record.name)
        else:
            self.mark_names.add(record.name)

    def set_marks(self, marks: Marks) -> None:
        """Set the marks in force, and log a change."""
        directory = self.gateway.directory
        if marks != directory.marks:
            self.gateway.log.info(
                "marks_changed",
                before=directory.marks.list_names(),
                after=marks.list_names(),
            )
            directory.marks = marks
