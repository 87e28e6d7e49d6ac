"""What stays in force for a while after the store came back from an older copy.

The copy lacks what was written in its last seconds: nobody has taken back an evacuation that is not
in it, and a target that it shows again may be gone. Operators and targets write their objects
again, and what they write counts at once. What is still missing after a while is given up.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..errors import Failure
from ..platform import decode
from ..platform.entries import EVACUATIONS, INSTANCES, ROLLOUTS, TARGETS
from .model import StoredRecord, TargetEntry

# Objects of these kinds that the copy lacks stay in force. Missing targets are held by the
# directory, and a configuration never goes back.
HELD_KINDS = frozenset((EVACUATIONS, INSTANCES, ROLLOUTS))


class Beliefs:
    """The objects of a kind that are in force after a return of the store.

    `held_by_name` are those that the copy lacks, or shows as they were before a later change;
    `refused_by_name` are the deletions of those that it shows although they are gone.
    """

    __slots__ = ("records", "held_by_name", "refused_by_name")

    def __init__(
        self,
        records: list[StoredRecord],
        held_by_name: dict[str, StoredRecord],
        refused_by_name: dict[str, StoredRecord],
    ) -> None:
        self.records = records
        self.held_by_name = held_by_name
        self.refused_by_name = refused_by_name


def reconcile(
    kind: str,
    known_by_name: Mapping[str, StoredRecord],
    deletions_by_name: Mapping[str, StoredRecord],
    listed: list[StoredRecord],
) -> Beliefs:
    """Return what is in force of a kind, of what was known before and what the copy holds."""
    if kind == TARGETS:
        return reconcile_targets(known_by_name, deletions_by_name, listed)
    if kind not in HELD_KINDS:
        return Beliefs(listed, {}, {})
    names = {record.name for record in listed}
    held_by_name = {name: item for name, item in known_by_name.items() if name not in names}
    return Beliefs([*listed, *held_by_name.values()], held_by_name, {})


def reconcile_targets(
    known_by_name: Mapping[str, StoredRecord],
    deletions_by_name: Mapping[str, StoredRecord],
    listed: list[StoredRecord],
) -> Beliefs:
    """Leave out targets that are gone, and keep it in mind of others that they leave."""
    records: list[StoredRecord] = []
    held_by_name: dict[str, StoredRecord] = {}
    refused_by_name: dict[str, StoredRecord] = {}
    for record in listed:
        known, deletion = known_by_name.get(record.name), deletions_by_name.get(record.name)
        if known is None and deletion is not None:
            last = StoredRecord(record.name, deletion.revision, deletion.last_value)
            if is_same_start(last, record):
                refused_by_name[record.name] = deletion
                continue
        elif known is not None and is_revived(known, record):
            held_by_name[record.name] = known
        records.append(held_by_name.get(record.name, record))
    return Beliefs(records, held_by_name, refused_by_name)


def is_revived(known: StoredRecord, listed: StoredRecord) -> bool:
    """Return whether the copy shows a target in service that has said that it leaves."""
    return is_leaving(known) and not is_leaving(listed) and is_same_start(known, listed)


def is_leaving(record: StoredRecord) -> bool:
    """Return whether a target's entry says that it leaves."""
    entry = decode.decode_target(record)
    return not isinstance(entry, Failure) and entry.is_draining


def is_same_start(first: StoredRecord, second: StoredRecord) -> bool:
    """Return whether two entries are of the same start of a target."""
    entries = (decode.decode_target(first), decode.decode_target(second))
    if any(isinstance(entry, Failure) for entry in entries):
        return False
    return identify_start(entries[0]) == identify_start(entries[1])


def identify_start(entry: TargetEntry) -> tuple[str, str, int, int]:
    """Return what stays the same in the entries of one start of a target."""
    return entry.service, entry.host, entry.port, entry.started_ms
