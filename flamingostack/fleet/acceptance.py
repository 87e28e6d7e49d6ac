"""Rules that decide when a document version is accepted.

A version is accepted when no instance can still be acting on an older state. All times are
nanoseconds of the local boottime clock.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..generated import messages_pb2 as pb
from .membership import Membership, Peer
from .partitions import majority_size


def has_settled(
    membership: Membership, incarnation: str, version: int, unknown_members: bool
) -> bool:
    """Return whether an incarnation can no longer vote for a state older than `version`.

    A dead process is settled only if it cannot have made transfers that are unknown to this
    instance. Every member with an older version must have answered, and so listed its claims,
    after the death, and no address may remain whose process is unknown (`unknown_members`).
    """
    peer = membership.peers.get(incarnation)
    if peer is None:
        return False
    if peer.version >= version:
        return True
    if not peer.dead_ns or unknown_members:
        return False
    return all(
        other is peer
        or other.dead_ns
        or other.version >= version
        or (other.answer is not None and other.answer.sent_ns > peer.dead_ns)
        for other in membership.peers.values()
    )


def count_missing_votes(
    partitions: Mapping[int, pb.Partition],
    voter_count: int,
    membership: Membership,
    own_version: int,
    version: int,
    unknown_members: bool,
) -> int:
    """Count the voting partitions that may still vote for a state older than `version`."""
    settled_by_incarnation = {membership.own.incarnation: own_version >= version}
    missing = 0
    for number in range(voter_count):
        partition = partitions.get(number)
        if partition is None:
            missing += 1
            continue
        for name in (partition.holder.incarnation, *partition.unresolved_holders):
            if name not in settled_by_incarnation:
                settled_by_incarnation[name] = has_settled(
                    membership, name, version, unknown_members
                )
            if not settled_by_incarnation[name]:
                missing += 1
                break
    return missing


def has_quorum(missing: int, voter_count: int) -> bool:
    """Return whether the missing votes are too few to grant a lease on an older state."""
    return missing < majority_size(voter_count)


def is_confirmed(peer: Peer, version: int) -> bool:
    """Return whether a peer is known to act on no state older than `version`."""
    return peer.applied_version >= version or peer.is_stopped()


class Acceptance:
    """Progress of one version: when it had a quorum and when it was accepted (0: not yet)."""

    __slots__ = ("version", "quorum_ns", "accepted_ns")

    def __init__(self, version: int) -> None:
        self.version = version
        self.quorum_ns = 0
        self.accepted_ns = 0
