"""The local processes that follow the fleet state, and what they have applied and drained."""

from __future__ import annotations

import asyncio

from ..fleet.node import PROTOCOL, Node
from ..generated import messages_pb2 as pb

DISPATCH = "dispatch"

ClaimKey = tuple[int, int, int]


class Follower:
    """One connected local process. `granted` are the claims that were ever sent to it."""

    __slots__ = (
        "process",
        "is_new",
        "is_updated",
        "has_applied",
        "applied_version",
        "granted",
        "drained",
        "shutting_down",
        "finished",
        "lease_sent_ns",
        "document_version",
        "index_revisions",
        "heard_ns",
        "wake",
    )

    def __init__(self, process: str, now_ns: int) -> None:
        self.process = process
        # A process that has applied no state yet has just started.
        self.is_new = False
        # An update was sent; a report came after it.
        self.is_updated = False
        self.has_applied = False
        self.applied_version = 0
        self.granted: set[ClaimKey] = set()
        self.drained: set[ClaimKey] = set()
        self.shutting_down = False
        self.finished = False
        self.lease_sent_ns = 0
        self.document_version = 0
        self.index_revisions: dict[str, int] = {}
        self.heard_ns = now_ns
        self.wake = asyncio.Event()

    @property
    def is_dispatch(self) -> bool:
        """Tell whether the process sends to targets."""
        return self.process.startswith(DISPATCH)

    def on_report(self, report: pb.FollowReport, now_ns: int) -> None:
        """Record a report; `drained` is the process's whole list."""
        self.heard_ns = now_ns
        self.has_applied = self.is_updated
        self.applied_version = max(self.applied_version, report.applied_version)
        self.drained = {claim_key(claim) for claim in report.drained}
        self.granted -= self.drained
        self.shutting_down = report.shutting_down
        self.finished = report.finished

    def make_update(self, node: Node, withheld: set[ClaimKey], now_ns: int) -> pb.StateUpdate:
        """Return the next update and record what it grants; `withheld` claims are left out."""
        update = pb.StateUpdate(
            protocol=PROTOCOL,
            members=[node.own, *(peer.member for peer in node.membership.live_peers(now_ns))],
            partitions=node.partitions.values(),
            lease_until_ns=node.lease_until_ns,
            grants=[item for item in node.grants() if claim_key(item) not in withheld],
            own_member=node.own,
            store_reachable=node.has_store_contact(now_ns),
            leaving=node.own.leaving,
        )
        if node.document.version > self.document_version:
            update.document.CopyFrom(node.document)
            self.document_version = node.document.version
        for service, index in node.indexes.items():
            if index.revision > self.index_revisions.get(service, -1):
                update.indexes.append(index)
                self.index_revisions[service] = index.revision
        # An entry process sees the grants too, but sends nothing and reports no drained claims.
        if self.is_dispatch:
            self.granted.update(claim_key(grant) for grant in update.grants)
        self.is_updated = True
        self.lease_sent_ns = max(self.lease_sent_ns, node.lease_until_ns)
        return update


class Lost:
    """A follower whose connection ended: it may act until the lease that it was sent ends."""

    __slots__ = ("process", "applied_version", "granted", "lease_ns", "lost_ns", "is_gone")

    def __init__(self, follower: Follower, now_ns: int) -> None:
        self.process = follower.process
        self.applied_version = follower.applied_version
        self.granted = set(follower.granted) if follower.is_dispatch else set()
        self.lease_ns = follower.lease_sent_ns
        self.lost_ns = now_ns
        self.is_gone = False


class Followers:
    """All local processes, connected or lost."""

    __slots__ = ("connected", "lost", "lease_ns", "max_request_ns")

    def __init__(self, lease_ns: int, max_request_ns: int) -> None:
        self.connected: list[Follower] = []
        self.lost: list[Lost] = []
        self.lease_ns = lease_ns
        self.max_request_ns = max_request_ns

    def connect(self, report: pb.FollowReport, now_ns: int) -> Follower:
        """Add a process that has just connected, with its first report."""
        process = report.process
        follower = Follower(process, now_ns)
        follower.on_report(report, now_ns)
        follower.is_new = report.applied_version == 0
        self.connected.append(follower)
        for lost in self.lost:
            # The same process, or one that took its place at the same address.
            lost.is_gone |= lost.process == process
        return follower

    def disconnect(self, follower: Follower, now_ns: int) -> None:
        """Record that a process's connection ended."""
        self.connected.remove(follower)
        if not follower.finished:
            self.lost.append(Lost(follower, now_ns))

    def withheld_from(self, follower: Follower, now_ns: int) -> set[ClaimKey]:
        """Return the claims for which a process's predecessor may have requests in flight.

        The predecessor ended before a new process could listen at its address.
        """
        if not follower.is_new:
            return set()
        return {
            key
            for lost in self.lost
            if lost.process == follower.process and now_ns < lost.lost_ns + self.max_request_ns
            for key in lost.granted
        }

    def wake_all(self) -> None:
        """Send an update to each process now."""
        for follower in self.connected:
            follower.wake.set()

    def applied_version(self, own_version: int, now_ns: int) -> int:
        """Return the lowest document version that a local process may still act on."""
        versions = [own_version]
        versions.extend(follower.applied_version for follower in self.connected)
        versions.extend(lost.applied_version for lost in self.lost if now_ns < lost.lease_ns)
        return min(versions)

    def is_dispatch_down(self, now_ns: int) -> bool:
        """Tell whether no dispatch process serves; one may reconnect for the time of a lease."""
        dispatches = [follower for follower in self.connected if follower.is_dispatch]
        # Before its first update a process may still act on what an earlier control process
        # granted.
        if any(item.has_applied and not item.shutting_down for item in dispatches):
            return False
        if any(item.shutting_down for item in dispatches):
            return True
        return not any(
            lost.process.startswith(DISPATCH) and now_ns - lost.lost_ns < self.lease_ns
            for lost in self.lost
        )

    def find_drained(self, claim: pb.PartitionClaim, now_ns: int) -> bool | None:
        """Return whether a claim is drained for sure, or None while requests may be in flight.

        False: a lost process had it, and its lease and its requests have ended.
        """
        key = claim_key(claim)
        if any(key in follower.granted for follower in self.connected):
            return None
        confirmed = True
        for lost in self.lost:
            if key not in lost.granted or self._has_reported(lost, key):
                continue
            if now_ns < max(lost.lease_ns, lost.lost_ns) + self.max_request_ns:
                return None
            confirmed &= lost.is_gone
        return confirmed

    def _has_reported(self, lost: Lost, key: ClaimKey) -> bool:
        return any(
            follower.process == lost.process and key in follower.drained
            for follower in self.connected
        )

    def has_unproven(self) -> bool:
        """Tell whether a lost dispatch process may still be alive."""
        return any(lost.granted and not lost.is_gone for lost in self.lost)

    def on_dispatch_refused(self) -> None:
        """Record that the address of the local dispatch process refuses connections."""
        for lost in self.lost:
            lost.is_gone |= lost.process.startswith(DISPATCH)

    def forget(self, now_ns: int) -> None:
        """Drop lost processes that can have no effect any more."""
        self.lost = [
            lost
            for lost in self.lost
            if now_ns < max(lost.lease_ns, lost.lost_ns + self.lease_ns) + self.max_request_ns
            or (lost.granted and not lost.is_gone)
        ]

    def all_finished(self) -> bool:
        """Tell whether no connected process has work left."""
        return all(follower.finished for follower in self.connected)


def claim_key(claim: pb.PartitionClaim | pb.PartitionGrant) -> ClaimKey:
    """Return (number, term, transfer)."""
    return (claim.number, claim.term, claim.transfer)
