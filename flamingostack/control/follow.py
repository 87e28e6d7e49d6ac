"""The local processes that follow the fleet state, and what they have applied and drained.

A follower is a local dispatch or entry process with an open Follow call to this control process.
"""

from __future__ import annotations

import asyncio

from ..fleet.node import PROTOCOL, Node
from ..generated import messages_pb2 as pb

DISPATCH = "dispatch"

ClaimKey = tuple[int, int, int]


class Follower:
    """One connected local process.

    `process` is its name, such as "dispatch". `granted` are the claims that were sent to it as
    grants and that it has not reported as drained, `drained` those that it reports as drained.
    """

    __slots__ = (
        "process",
        "is_new",
        "has_sent_update",
        "has_applied",
        "applied_version",
        "granted",
        "drained",
        "shutting_down",
        "finished",
        "sent_lease_until_ns",
        "document_version",
        "index_revisions",
        "heard_ns",
        "wake",
    )

    def __init__(self, process: str, now_ns: int) -> None:
        self.process = process
        # Whether the process has just started: it had applied no state when it connected.
        self.is_new = False
        # Whether an update was sent to the process, and whether a report has arrived since.
        self.has_sent_update = False
        self.has_applied = False
        self.applied_version = 0
        self.granted: set[ClaimKey] = set()
        self.drained: set[ClaimKey] = set()
        self.shutting_down = False
        self.finished = False
        self.sent_lease_until_ns = 0
        self.document_version = 0
        self.index_revisions: dict[str, int] = {}
        self.heard_ns = now_ns
        self.wake = asyncio.Event()

    @property
    def is_dispatch(self) -> bool:
        """Return whether this is a dispatch process, which sends requests to targets."""
        return self.process.startswith(DISPATCH)

    def on_report(self, report: pb.FollowReport, now_ns: int) -> None:
        """Record a report; its list of drained claims is complete and replaces the last one."""
        self.heard_ns = now_ns
        self.has_applied = self.has_sent_update
        self.applied_version = max(self.applied_version, report.applied_version)
        self.drained = {claim_key(claim) for claim in report.drained}
        self.granted -= self.drained
        self.shutting_down = report.shutting_down
        self.finished = report.finished

    def make_update(self, node: Node, withheld: set[ClaimKey], now_ns: int) -> pb.StateUpdate:
        """Return the next update, and record its grants and lease as sent.

        The grants leave out the `withheld` claims. The document and index maps are included only
        if they are newer than those last sent.
        """
        update = pb.StateUpdate(
            protocol=PROTOCOL,
            members=[node.own, *(peer.member for peer in node.membership.live_peers(now_ns))],
            partitions=node.partitions.values(),
            lease_until_ns=node.lease_until_ns,
            grants=[grant for grant in node.grants() if claim_key(grant) not in withheld],
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
        # Entry processes receive the grants too, but send no requests to targets and report no
        # drained claims.
        if self.is_dispatch:
            self.granted.update(claim_key(grant) for grant in update.grants)
        self.has_sent_update = True
        self.sent_lease_until_ns = max(self.sent_lease_until_ns, node.lease_until_ns)
        return update


class LostFollower:
    """A follower whose connection ended: it may use its grants until the lease it was sent ends.

    `is_resolved` is set once the process is connected again, another one has taken its place, or
    its address refuses connections.
    """

    __slots__ = (
        "process",
        "applied_version",
        "granted",
        "lease_until_ns",
        "lost_ns",
        "is_resolved",
    )

    def __init__(self, follower: Follower, now_ns: int) -> None:
        self.process = follower.process
        self.applied_version = follower.applied_version
        self.granted = set(follower.granted) if follower.is_dispatch else set()
        self.lease_until_ns = follower.sent_lease_until_ns
        self.lost_ns = now_ns
        self.is_resolved = False


class Followers:
    """All local processes, connected or lost.

    `lease_ns` is the length of a lease, and `max_request_ns` the longest that a request to a
    target can be in flight.
    """

    __slots__ = ("connected", "lost", "lease_ns", "max_request_ns")

    def __init__(self, lease_ns: int, max_request_ns: int) -> None:
        self.connected: list[Follower] = []
        self.lost: list[LostFollower] = []
        self.lease_ns = lease_ns
        self.max_request_ns = max_request_ns

    def connect(self, report: pb.FollowReport, now_ns: int) -> Follower:
        """Add a process that has connected and sent its first report."""
        process = report.process
        follower = Follower(process, now_ns)
        follower.on_report(report, now_ns)
        follower.is_new = report.applied_version == 0
        self.connected.append(follower)
        for lost in self.lost:
            # Either the same process again, or another one that has taken over its address.
            lost.is_resolved |= lost.process == process
        return follower

    def disconnect(self, follower: Follower, now_ns: int) -> None:
        """Remove a process whose connection ended; track it as lost unless it has finished."""
        self.connected.remove(follower)
        if not follower.finished:
            self.lost.append(LostFollower(follower, now_ns))

    def withheld_from(self, follower: Follower, now_ns: int) -> set[ClaimKey]:
        """Return the claims for which the previous process may still have requests in flight.

        Only a new process has claims withheld. The previous one ended before the new one could
        listen at its address, so its requests end within `max_request_ns` of its disconnection.
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
        """Wake the sender of each connected process, so that it sends an update at once."""
        for follower in self.connected:
            follower.wake.set()

    def applied_version(self, own_version: int, now_ns: int) -> int:
        """Return the lowest document version that this process or a local one may still act on.

        A lost process counts until the lease that it was sent ends.
        """
        versions = [own_version]
        versions.extend(follower.applied_version for follower in self.connected)
        versions.extend(lost.applied_version for lost in self.lost if now_ns < lost.lease_until_ns)
        return min(versions)

    def is_dispatch_down(self, now_ns: int) -> bool:
        """Return whether no dispatch process is serving.

        A lost one counts as serving for `lease_ns`, in which it may reconnect.
        """
        dispatch_followers = [follower for follower in self.connected if follower.is_dispatch]
        # Until it reports after an update from this control process, a dispatch process may
        # still use the grants of an earlier one.
        if any(
            follower.has_applied and not follower.shutting_down for follower in dispatch_followers
        ):
            return False
        if any(follower.shutting_down for follower in dispatch_followers):
            return True
        return not any(
            lost.process.startswith(DISPATCH) and now_ns - lost.lost_ns < self.lease_ns
            for lost in self.lost
        )

    def find_drained(self, claim: pb.PartitionClaim, now_ns: int) -> bool | None:
        """Return True if a claim is drained, or None while requests for it may be in flight.

        Return False if a lost process was granted the claim and its lease and the time limit of
        its requests have passed, but the process is not resolved: it may be frozen.
        """
        key = claim_key(claim)
        if any(key in follower.granted for follower in self.connected):
            return None
        confirmed = True
        for lost in self.lost:
            if key not in lost.granted or self._has_reported_drained(lost, key):
                continue
            if now_ns < max(lost.lease_until_ns, lost.lost_ns) + self.max_request_ns:
                return None
            confirmed &= lost.is_resolved
        return confirmed

    def _has_reported_drained(self, lost: LostFollower, key: ClaimKey) -> bool:
        """Return whether a lost process is connected again and reports the claim as drained."""
        return any(
            follower.process == lost.process and key in follower.drained
            for follower in self.connected
        )

    def has_unresolved_dispatch(self) -> bool:
        """Return whether some lost dispatch process may still be running."""
        return any(lost.granted and not lost.is_resolved for lost in self.lost)

    def on_dispatch_refused(self) -> None:
        """Record that the local dispatch address refuses connections: no lost one is running."""
        for lost in self.lost:
            lost.is_resolved |= lost.process.startswith(DISPATCH)

    def forget(self, now_ns: int) -> None:
        """Drop lost processes whose leases and requests have ended.

        Those that were granted claims are kept until they are resolved.
        """
        self.lost = [
            lost
            for lost in self.lost
            if now_ns < max(lost.lease_until_ns, lost.lost_ns + self.lease_ns) + self.max_request_ns
            or (lost.granted and not lost.is_resolved)
        ]

    def is_dispatch_unused(self) -> bool:
        """Return whether all local processes but dispatch have finished, also the lost ones."""
        return all(item.finished or item.is_dispatch for item in self.connected) and all(
            lost.process.startswith(DISPATCH) for lost in self.lost
        )

    def all_finished(self) -> bool:
        """Return whether all connected processes have reported that they are finished."""
        return all(follower.finished for follower in self.connected)


def claim_key(claim: pb.PartitionClaim | pb.PartitionGrant) -> ClaimKey:
    """Return the key of a claim: (number, term, transfer)."""
    return (claim.number, claim.term, claim.transfer)
