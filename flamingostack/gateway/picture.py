"""What the objects of each kind mean to the gateway: routes, targets, evacuations, instances."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from ..errors import Failure
from ..platform import decode
from .model import StoredRecord
from .relay import PeerClient
from .state import Gateway

# So many entries that vanish together without having announced it point to an outage of the store.
LAPSED_TOGETHER = 3


class ConfigurationFeed:
    """Puts each version of the configuration into force."""

    __slots__ = ("gateway",)

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    def apply(self, records: list[StoredRecord], was_away: bool) -> None:
        """Take over the newest version among changed objects."""
        for record in records:
            if record.name != decode.CONFIGURATION_NAME or record.value is None:
                continue
            configuration = decode.decode_configuration(record)
            if isinstance(configuration, Failure):
                self.gateway.log.error("configuration_refused", detail=configuration.message)
                continue
            is_newer = self.gateway.set_configuration(configuration)
            self.gateway.log.info(
                "configuration_applied" if is_newer else "configuration_not_newer",
                version=configuration.version,
                revision=record.revision,
                routes=len(configuration.routes),
            )


class TargetFeed:
    """Keeps the directory of targets."""

    __slots__ = ("gateway", "_removal")

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self._removal: asyncio.TimerHandle | None = None

    def apply_list(self, records: list[StoredRecord], was_away: bool) -> None:
        """Take over a whole list."""
        entries = []
        for record in records:
            entry = decode.decode_target(record)
            if isinstance(entry, Failure):
                self.note_malformed(entry.message)
            else:
                entries.append(entry)
        directory = self.gateway.directory
        missing = set(directory.targets_by_id) - {entry.id for entry in entries}
        may_return = was_away or self.lapsed_together(missing)
        directory.replace_all(entries, self.gateway.now(), may_return)
        self.gateway.log.info(
            "targets_listed", count=len(entries), missing=len(missing), may_return=may_return
        )
        self.finish()

    def lapsed_together(self, missing: Iterable[str]) -> bool:
        """Tell whether so many targets vanished unannounced that the store may have been away.

        A store that was silent for a while has failed no call, but its entries have lapsed.
        """
        return sum(map(self.gateway.directory.is_serving, missing)) >= LAPSED_TOGETHER

    def apply_changes(self, records: list[StoredRecord], was_away: bool) -> None:
        """Take over changed entries."""
        directory = self.gateway.directory
        now = self.gateway.now()
        removed = [record.name for record in records if record.value is None]
        may_return = was_away or self.lapsed_together(removed)
        for record in records:
            if record.value is None:
                directory.remove(record.name, now, may_return)
                self.gateway.log.info(
                    "target_removed", target=record.name, revision=record.revision, held=may_return
                )
                continue
            entry = decode.decode_target(record)
            if isinstance(entry, Failure):
                self.note_malformed(entry.message)
                directory.remove(record.name, now, may_return=False)
                continue
            directory.put(entry, now)
            self.gateway.log.info(
                "target_changed",
                target=entry.id,
                service=entry.service,
                draining=entry.is_draining,
                cold_s=entry.cold_s,
                revision=record.revision,
            )
        self.finish()

    def note_malformed(self, detail: str) -> None:
        """Log an entry that names no target to use."""
        self.gateway.metrics.count("gateway_malformed_entries_total")
        self.gateway.log.warning("target_malformed", detail=detail)

    def finish(self) -> None:
        """Recompute what depends on the targets, and plan the removals that wait."""
        self.gateway.update_shares()
        if self._removal is not None:
            self._removal.cancel()
            self._removal = None
        at = self.gateway.directory.next_removal_at
        if at is not None:
            self._removal = asyncio.get_running_loop().call_at(at, self.expire)

    def expire(self) -> None:
        """Remove the targets whose entries have not come back."""
        for target_id in self.gateway.directory.expire_removals(self.gateway.now()):
            self.gateway.log.info("target_removed", target=target_id, held=True)
        self.finish()


class EvacuationFeed:
    """Keeps the set of evacuated failure domains."""

    __slots__ = ("gateway",)

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    def apply_list(self, records: list[StoredRecord], was_away: bool) -> None:
        """Take over a whole list."""
        self.replace({record.name for record in records})

    def apply_changes(self, records: list[StoredRecord], was_away: bool) -> None:
        """Take over changed entries."""
        domains = set(self.gateway.directory.evacuated_domains)
        for record in records:
            if record.value is None:
                domains.discard(record.name)
            else:
                domains.add(record.name)
        self.replace(domains)

    def replace(self, domains: set[str]) -> None:
        """Put a set of evacuated failure domains into force."""
        directory = self.gateway.directory
        if domains != directory.evacuated_domains:
            self.gateway.log.info(
                "evacuations_changed",
                before=sorted(directory.evacuated_domains),
                after=sorted(domains),
            )
            directory.evacuated_domains = domains


class InstanceFeed:
    """Keeps the instances among which limits are divided, and their addresses."""

    __slots__ = ("gateway", "peers")

    def __init__(self, gateway: Gateway, peers: PeerClient) -> None:
        self.gateway = gateway
        self.peers = peers

    def apply_list(self, records: list[StoredRecord], was_away: bool) -> None:
        """Take over a whole list."""
        self.peers.addresses_by_instance.clear()
        self.peers.domains_by_instance.clear()
        self.replace(set(), records)
        self.gateway.log.info("instances_listed", count=len(records))

    def apply_changes(self, records: list[StoredRecord], was_away: bool) -> None:
        """Take over changed entries."""
        self.replace(set(self.gateway.instances), records)

    def replace(self, instances: set[str], records: list[StoredRecord]) -> None:
        """Divide limits among known instances and those of the records."""
        for record in records:
            if record.value is None:
                instances.discard(record.name)
                self.peers.addresses_by_instance.pop(record.name, None)
                self.peers.domains_by_instance.pop(record.name, None)
                continue
            instances.add(record.name)
            entry = record.value if isinstance(record.value, dict) else {}
            address = entry.get("address")
            if isinstance(address, str) and record.name != self.gateway.settings.instance:
                self.peers.addresses_by_instance[record.name] = address
                self.peers.domains_by_instance[record.name] = str(entry.get("failure_domain"))
        before = len(self.gateway.instances)
        self.gateway.set_instances(instances)
        after = len(self.gateway.instances)
        if after != before:
            self.gateway.log.info("instances_changed", before=before, after=after)
