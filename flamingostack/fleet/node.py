"""State machine of one control process: reacts to messages and to the passing of time, without I/O.

Callers pass in the time, in nanoseconds of the local boottime clock. The control process and the
interleaving tests use the same class.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..generated import messages_pb2 as pb
from .acceptance import Acceptance, count_missing_votes, has_quorum, is_confirmed
from .lease import NO_LEASE, PeerAnswer, compute_relay_lease, compute_vote_lease, is_contact_recent
from .membership import Membership, Peer
from .partitions import (
    Claim,
    assign_partitions,
    claim_of,
    is_newer,
    merge_resolved_holders,
    plan_balance,
)

PROTOCOL = 1
NS_PER_MS = 1_000_000
# A dead member is dropped only after its peers have had time to detect the death as well. Accepted
# versions are kept for as long.
RETENTION_NS = 60_000_000_000
# Placeholder for a peer that has confirmed nothing and from which nothing was received.
UNKNOWN_PEER = Peer(pb.Member(), 0)


class Timing:
    """Durations that the rules depend on, in nanoseconds.

    A lease lasts `lease_ns`; once `lease_ns` + `margin_ns` have passed since some moment, all
    leases that were valid at that moment count as expired. A peer is suspected after `suspect_ns`
    without a message. `max_request_ns` is the longest that a request to a target can be in flight.
    """

    __slots__ = ("lease_ns", "margin_ns", "suspect_ns", "max_request_ns")

    def __init__(self, lease_ns: int, margin_ns: int, suspect_ns: int, max_request_ns: int) -> None:
        self.lease_ns = lease_ns
        self.margin_ns = margin_ns
        self.suspect_ns = suspect_ns
        self.max_request_ns = max_request_ns


class DrainingTransfer:
    """A transfer whose partition is still draining: the claim to drain, and the receiver."""

    __slots__ = ("claim", "receiver")

    def __init__(self, claim: Claim, receiver: str) -> None:
        self.claim = claim
        self.receiver = receiver


class Node:
    """State of one control process: fleet document, claims, peers and leases.

    `own` is the member record of this process. A claim is one holding of a partition, and claims
    on a partition are ordered by (term, transfer). These attributes are keyed by partition number:

    `partitions` are the newest known claims of all members.
    `accepted_claims` are the claims that this process holds. A claim in a peer's message that
    names this process as holder has no effect until its Transfer request has arrived.
    `ready_claims` are the accepted claims that dispatch may use, as previous holders have stopped.
    `claim_versions` are the document versions at which the accepted claims were accepted.
    `released_by` are the incarnations that have released the accepted claims.
    `draining_transfers` are outgoing transfers that wait for requests in flight, and
    `unanswered_transfers` those that are drained and that the receiver has not answered yet.
    `undrained_claims` are claims that this process no longer holds, or has replaced by a newer one
    of its own, and for which requests may still be in flight.
    `released_claims` are the newest claims to which this process has replied as released; it never
    accepts an older claim.
    `withholds_grants` is set when a leaving process has nobody to give its partitions to, and no
    local process uses them any more.
    """

    __slots__ = (
        "own",
        "timing",
        "started_ns",
        "document",
        "store_version",
        "indexes",
        "index_revision",
        "partitions",
        "document_partitions",
        "claims_revision",
        "revisions_by_claim",
        "assigned_numbers",
        "accepted_claims",
        "ready_claims",
        "claim_versions",
        "released_by",
        "draining_transfers",
        "unanswered_transfers",
        "undrained_claims",
        "released_claims",
        "withholds_grants",
        "membership",
        "seeds",
        "awaiting_transfer_since_ns",
        "applied_version",
        "store_contact_ns",
        "lease_until_ns",
        "lease_source",
        "is_announced",
        "acceptances",
    )

    def __init__(
        self, own: pb.Member, timing: Timing, now_ns: int, seeds: Iterable[str] = ()
    ) -> None:
        self.own = own
        self.timing = timing
        self.started_ns = now_ns
        self.document = pb.FleetDocument()
        self.store_version = 0
        self.indexes: dict[str, pb.ServiceIndex] = {}
        self.index_revision = 0
        self.partitions: dict[int, pb.Partition] = {}
        # The partitions as listed in the document, by number.
        self.document_partitions: dict[int, pb.Partition] = {}
        self.claims_revision = 0
        # The revision of the last change to each claim, oldest change first.
        self.revisions_by_claim: dict[int, int] = {}
        # The partitions whose newest claim names this process as holder.
        self.assigned_numbers: set[int] = set()
        self.accepted_claims: dict[int, Claim] = {}
        self.ready_claims: dict[int, Claim] = {}
        self.claim_versions: dict[int, int] = {}
        self.released_by: dict[int, set[str]] = {}
        self.draining_transfers: dict[int, DrainingTransfer] = {}
        self.unanswered_transfers: dict[int, pb.Partition] = {}
        self.undrained_claims: dict[int, set[Claim]] = {}
        self.released_claims: dict[int, Claim] = {}
        self.withholds_grants = False
        self.membership = Membership(own, timing.suspect_ns)
        # Addresses that have neither answered nor refused a connection yet. A process may run
        # there that no known peer has listed.
        self.seeds = set(seeds)
        # When a claim was first seen that names this process as holder and whose Transfer request
        # has not arrived.
        self.awaiting_transfer_since_ns: dict[tuple[int, Claim], int] = {}
        self.applied_version = 0
        self.store_contact_ns: int | None = None
        self.lease_until_ns = NO_LEASE
        self.lease_source = "none"
        self.is_announced = False
        self.acceptances: dict[int, Acceptance] = {}

    def adopt_document(self, document: pb.FleetDocument, now_ns: int) -> bool:
        """Replace the document by a newer one of the same fleet; return whether it was replaced."""
        if document.version <= self.document.version or self.is_foreign(document.fleet):
            return False
        self.document = pb.FleetDocument()
        self.document.CopyFrom(document)
        self.document_partitions = {
            partition.number: partition for partition in self.document.partitions
        }
        for partition in document.partitions:
            self._merge_partition(partition, from_document=True)
            self.membership.merge_member(partition.holder, now_ns)
        return True

    def is_foreign(self, fleet: str) -> bool:
        """Return whether a message comes from another fleet, which has reused an address."""
        return bool(fleet and self.document.fleet) and fleet != self.document.fleet

    def bootstrap(self, document: pb.FleetDocument, now_ns: int) -> None:
        """Adopt the first document, which this process has created."""
        self.adopt_document(document, now_ns)
        self.update(now_ns)

    def merge_partitions(self, partitions: Iterable[pb.Partition]) -> bool:
        """Merge claims from a peer; return whether anything changed."""
        revision = self.claims_revision
        for partition in partitions:
            self._merge_partition(partition, from_document=False)
        return self.claims_revision != revision

    def _merge_partition(self, partition: pb.Partition, from_document: bool) -> None:
        """Store a claim if it is newer, or merge what it says about previous holders."""
        number = partition.number
        current = self.partitions.get(number)
        if current is None or is_newer(partition, current):
            self._drop_claim(number)
            self.partitions[number] = pb.Partition()
            self.partitions[number].CopyFrom(partition)
            self._record_claim_change(number)
        elif merge_resolved_holders(current, partition):
            self._record_claim_change(number)
        # Only a takeover or the first document makes a process the holder through the document
        # alone. A transferred claim is accepted when its Transfer request arrives.
        if (
            from_document
            and partition.holder.incarnation == self.own.incarnation
            and partition.transfer == 0
            and claim_of(partition) == claim_of(self.partitions[number])
            and number not in self.accepted_claims
        ):
            self._accept_claim(number, claim_of(partition))

    def _record_claim_change(self, number: int) -> None:
        self.claims_revision += 1
        self.revisions_by_claim.pop(number, None)
        self.revisions_by_claim[number] = self.claims_revision
        if self.partitions[number].holder.incarnation == self.own.incarnation:
            self.assigned_numbers.add(number)
        else:
            self.assigned_numbers.discard(number)

    def _accept_claim(self, number: int, claim: Claim) -> None:
        """Become the holder of a partition; the claim is not ready yet."""
        self.accepted_claims[number] = claim
        self.claim_versions[number] = self.document.version
        self.released_by[number] = set()
        self.track_acceptance(self.document.version)

    def _drop_claim(self, number: int) -> None:
        """Drop this process's claim on a partition, if any; it stays undrained if it was ready."""
        self.draining_transfers.pop(number, None)
        self.unanswered_transfers.pop(number, None)
        self.claim_versions.pop(number, None)
        self.released_by.pop(number, None)
        claim = self.accepted_claims.pop(number, None)
        if claim is not None and self.ready_claims.pop(number, None) is not None:
            self.undrained_claims.setdefault(number, set()).add(claim)

    def is_holder_of(self, number: int) -> bool:
        """Return whether this process has accepted a claim on a partition, ready or not."""
        return number in self.accepted_claims

    def adopt_indexes(self, indexes: Iterable[pb.ServiceIndex]) -> bool:
        """Store service indexes that are new or newer; return whether there were any."""
        changed = False
        for index in indexes:
            current = self.indexes.get(index.service)
            if current is None or index.revision > current.revision:
                self.indexes[index.service] = index
                self.index_revision = max(self.index_revision, index.revision)
                changed = True
        return changed

    def make_sync_request(self, incarnation: str) -> pb.SyncRequest:
        """Return the Sync request to a peer; an empty `incarnation` means an unknown peer.

        It lists the members and claims that changed after the revisions that the peer has
        confirmed. An unknown peer has confirmed none and gets the full lists.
        """
        peer = self.membership.peers.get(incarnation) or UNKNOWN_PEER
        request = pb.SyncRequest(
            protocol=PROTOCOL,
            sender=self.own,
            document_version=self.document.version,
            index_revision=self.index_revision,
            applied_version=self.applied_version,
            known_members=self._members_since(peer.confirmed_revisions.members),
            partitions=self._claims_since(peer.confirmed_revisions.claims),
            fleet=self.document.fleet,
            receiver="" if peer is UNKNOWN_PEER else incarnation,
            revisions=self._revisions(),
            known_revisions=peer.received_revisions,
        )
        if peer.heard_directly and peer.version < self.document.version:
            request.document.CopyFrom(self.document)
        return request

    def on_sync_request(self, request: pb.SyncRequest, now_ns: int) -> pb.SyncReply:
        """Merge the state in a peer's Sync request and return the reply."""
        self.membership.merge_member(request.sender, now_ns, heard_directly=True)
        self._merge_message(request, now_ns)
        peer = self.membership.peers.get(request.sender.incarnation)
        if peer is not None:
            peer.version = max(peer.version, request.document_version)
            peer.applied_version = max(peer.applied_version, request.applied_version)
        self.update(now_ns)
        return self._make_sync_reply(request, now_ns)

    def on_sync_reply(self, reply: pb.SyncReply, sent_ns: int, now_ns: int) -> None:
        """Merge the state in the reply to a Sync request that was sent at `sent_ns`."""
        # Only a reply proves which incarnation runs at an address. A request may be a delayed one
        # from an earlier incarnation.
        self.membership.merge_member(reply.responder, now_ns, heard_directly=True)
        if reply.responder.incarnation != self.own.incarnation:
            self.membership.mark_replaced_by(reply.responder, now_ns)
        self._merge_message(reply, now_ns)
        self.adopt_indexes(reply.indexes)
        peer = self.membership.peers.get(reply.responder.incarnation)
        if peer is not None and (peer.answer is None or peer.answer.sent_ns <= sent_ns):
            peer.answer = make_answer(reply, sent_ns)
            peer.version = max(peer.version, reply.document_version)
            peer.applied_version = max(peer.applied_version, reply.applied_version)
            peer.silent_members = frozenset(reply.silent_members)
        if peer is not None:
            raise_revisions(peer.confirmed_revisions, reply.confirmed_revisions)
            raise_revisions(peer.received_revisions, reply.revisions)
        self.seeds.discard(reply.responder.control_address)
        self.update(now_ns)

    def on_connection_refused(self, address: str, now_ns: int) -> None:
        """Record that an address refuses connections, so no process listens there."""
        self.seeds.discard(address)
        self.membership.on_connection_refused(address, now_ns)
        self.update(now_ns)

    def _merge_message(self, message: pb.SyncRequest | pb.SyncReply, now_ns: int) -> None:
        """Merge document, members and claims; the document first, as claims may depend on it."""
        if message.HasField("document"):
            self.adopt_document(message.document, now_ns)
        for member in message.known_members:
            self.membership.merge_member(member, now_ns)
        self.merge_partitions(message.partitions)
        for partition in message.partitions:
            self.membership.merge_member(self.partitions[partition.number].holder, now_ns)

    def _make_sync_reply(self, request: pb.SyncRequest, now_ns: int) -> pb.SyncReply:
        contact_ns = self.store_contact_ns
        # Revisions are valid for one incarnation only. A restarted process has no record of what
        # the sender exchanged with the previous incarnation.
        is_receiver = request.receiver == self.own.incarnation
        known = request.known_revisions if is_receiver else pb.Revisions()
        reply = pb.SyncReply(
            protocol=PROTOCOL,
            responder=self.own,
            document_version=self.document.version,
            applied_version=self.applied_version,
            # Rounded up, so that rounding can only shorten the requester's lease.
            store_age_ms=-1 if contact_ns is None else -((contact_ns - now_ns) // NS_PER_MS),
            votes=sorted(self.votes()),
            fleet=self.document.fleet,
            known_members=self._members_since(known.members),
            partitions=self._claims_since(known.claims),
            revisions=self._revisions(),
            silent_members=self.membership.silent_names(now_ns),
            indexes=[
                index for index in self.indexes.values() if index.revision > request.index_revision
            ],
        )
        if is_receiver or not request.receiver:
            reply.confirmed_revisions.CopyFrom(request.revisions)
        if request.document_version < self.document.version:
            reply.document.CopyFrom(self.document)
        return reply

    def _revisions(self) -> pb.Revisions:
        return pb.Revisions(members=self.membership.revision, claims=self.claims_revision)

    def _members_since(self, revision: int) -> list[pb.Member]:
        return [peer.member for peer in self.membership.peers_changed_since(revision)]

    def _claims_since(self, revision: int) -> list[pb.Partition]:
        """Return the claims changed after `revision` that differ from the document's."""
        partitions = []
        for number, changed in reversed(self.revisions_by_claim.items()):
            if changed <= revision:
                break
            partition = self.partitions[number]
            if partition != self.document_partitions.get(number):
                partitions.append(partition)
        return partitions

    def votes(self) -> frozenset[int]:
        """Return the numbers of the voting partitions that this process holds."""
        return frozenset(
            number for number in self.accepted_claims if number < self.document.voter_count
        )

    def on_store_read(self, version: int, sent_ns: int, now_ns: int) -> None:
        """Record that the store answered a read sent at `sent_ns` with document `version`.

        The caller adopts a newer document before this call. An older version means that the store
        lost writes, so the read does not count as store contact.
        """
        if version != self.document.version:
            return
        self.store_contact_ns = max(sent_ns, self.store_contact_ns or 0)
        self.update(now_ns)

    def update(self, now_ns: int) -> None:
        """Recompute all derived state: lease, accepted versions, ready and awaited claims."""
        self._update_announced(now_ns)
        self._update_lease(now_ns)
        self._update_acceptances(now_ns)
        self._update_claims(now_ns)
        self._update_awaited_transfers(now_ns)

    def _update_announced(self, now_ns: int) -> None:
        """Check whether the peers know this process; it takes no lease before that.

        Otherwise a change could be accepted by all members that its author knows, while this
        process still acts on the state before the change. Every peer that is not dead must have
        answered and every seed address must be resolved; after `suspect_ns` one answer is enough.
        """
        if self.is_announced or not self.document.version:
            return
        not_dead = [peer for peer in self.membership.peers.values() if not peer.dead_ns]
        answered = [peer for peer in not_dead if peer.answer is not None]
        waited = now_ns - self.started_ns >= self.timing.suspect_ns
        if len(answered) == len(not_dead) and not self.seeds:
            self.is_announced = True
        elif self.document.version == 1 and len(self.accepted_claims) == len(self.partitions):
            # This process created the first document, so no earlier state exists.
            self.is_announced = True
        elif waited:
            self.is_announced = bool(answered)

    def _update_lease(self, now_ns: int) -> None:
        if not self.document.version or not self.is_announced:
            return
        timing = self.timing
        answers = [
            peer.answer
            for peer in self.membership.peers.values()
            if peer.answer is not None and not peer.dead_ns
        ]
        store_ns = NO_LEASE
        if self.store_contact_ns is not None:
            store_ns = self.store_contact_ns + timing.lease_ns
        candidates = [
            ("store", store_ns),
            ("relay", compute_relay_lease(answers, self.document.version, timing.lease_ns)),
            ("vote", self._compute_vote_lease(answers, now_ns)),
        ]
        self.lease_until_ns = max(self.lease_until_ns, *(until_ns for _, until_ns in candidates))
        valid = [source for source, until_ns in candidates if until_ns > now_ns]
        self.lease_source = valid[0] if valid else "none"

    def _compute_vote_lease(self, answers: list[PeerAnswer], now_ns: int) -> int:
        if is_contact_recent(self.store_contact_ns, self.timing.lease_ns, now_ns):
            return NO_LEASE
        return compute_vote_lease(
            answers=answers,
            own_votes=self.votes(),
            voter_count=self.document.voter_count,
            version=self.document.version,
            lease_ns=self.timing.lease_ns,
            now_ns=now_ns,
        )

    def is_current(self, now_ns: int) -> bool:
        """Return whether the state lease is valid."""
        return now_ns < self.lease_until_ns

    def has_store_contact(self, now_ns: int) -> bool:
        """Return whether the store answered a read that was sent less than `lease_ns` ago."""
        contact_ns = self.store_contact_ns
        return contact_ns is not None and contact_ns > now_ns - self.timing.lease_ns

    def track_acceptance(self, version: int) -> Acceptance:
        """Start tracking the acceptance of a version, unless it is tracked already."""
        return self.acceptances.setdefault(version, Acceptance(version))

    def _update_acceptances(self, now_ns: int) -> None:
        for acceptance in self.acceptances.values():
            if acceptance.accepted_ns:
                continue
            if not acceptance.quorum_ns and self._has_quorum(acceptance.version):
                acceptance.quorum_ns = now_ns
            if acceptance.quorum_ns and not self.unconfirmed_instances(acceptance, now_ns):
                acceptance.accepted_ns = now_ns
        needed = set(self.claim_versions.values())
        for version in [
            version
            for version, acceptance in self.acceptances.items()
            if acceptance.accepted_ns
            and version not in needed
            and now_ns - acceptance.accepted_ns > RETENTION_NS
        ]:
            del self.acceptances[version]

    def _has_quorum(self, version: int) -> bool:
        missing = count_missing_votes(
            partitions=self.partitions,
            voter_count=self.document.voter_count,
            membership=self.membership,
            own_version=self.document.version,
            version=version,
            unknown_members=bool(self.seeds),
        )
        return has_quorum(missing, self.document.voter_count)

    def unconfirmed_instances(self, acceptance: Acceptance, now_ns: int) -> list[str]:
        """Return the instances that may still act on a state older than the version."""
        if acceptance.quorum_ns and self._has_lease_expired(acceptance.quorum_ns, now_ns):
            return []
        names = [
            peer.member.instance
            for peer in self.membership.peers.values()
            if not is_confirmed(peer, acceptance.version)
            # A dead control process renews no lease.
            and not (peer.dead_ns and self._has_lease_expired(peer.dead_ns, now_ns))
        ]
        if self.applied_version < acceptance.version:
            names.append(self.own.instance)
        return sorted(set(names))

    def _has_lease_expired(self, since_ns: int, now_ns: int) -> bool:
        """Return whether every lease that was valid at `since_ns` has expired."""
        return now_ns - since_ns >= self.timing.lease_ns + self.timing.margin_ns

    def grants(self) -> list[pb.PartitionGrant]:
        """Return the partitions for which the dispatch process may send requests.

        The reserve is one request for each unresolved previous holder.
        """
        if self.withholds_grants:
            return []
        return [
            pb.PartitionGrant(
                number=number,
                term=claim[0],
                transfer=claim[1],
                reserve=len(self.partitions[number].unresolved_holders),
            )
            for number, claim in sorted(self.ready_claims.items())
            if number not in self.draining_transfers
        ]

    def waiting_claims(self) -> list[pb.PartitionClaim]:
        """Return the accepted claims whose previous holders are not all known to have stopped."""
        return [
            make_claim(number, claim, self.own.incarnation)
            for number, claim in sorted(self.accepted_claims.items())
            if number not in self.ready_claims or self.partitions[number].unresolved_holders
        ]

    def peers_to_ask_for_release(self) -> list[str]:
        """Return the incarnations that have not released all waiting claims."""
        waiting = self.waiting_claims()
        return [
            name
            for name, peer in self.membership.peers.items()
            if not peer.dead_ns
            and any(name not in self.released_by[claim.number] for claim in waiting)
        ]

    def on_release_reply(
        self,
        incarnation: str,
        asked: Iterable[pb.PartitionClaim],
        released: Iterable[int],
        now_ns: int,
    ) -> None:
        """Record which of the `asked` claims a member has released."""
        released = set(released)
        for claim in asked:
            if claim.number in released and self.accepted_claims.get(claim.number) == claim_of(
                claim
            ):
                self.released_by[claim.number].add(incarnation)
        self.update(now_ns)

    def _update_claims(self, now_ns: int) -> None:
        """Mark accepted claims as ready once no previous holder can have requests in flight.

        This is so when every member has released the claim or has stopped; previous holders that
        can send nothing any more are then resolved as well. It is also so when the document version
        at which the claim was accepted has itself been accepted for `max_request_ns`.
        """
        for number, claim in self.accepted_claims.items():
            partition = self.partitions[number]
            if number in self.ready_claims and not partition.unresolved_holders:
                continue
            if self.undrained_claims.get(number):
                # Requests may still be in flight for an earlier claim of this process.
                continue
            all_released = not self.seeds and all(
                name in self.released_by[number] or self._has_stopped(peer, now_ns)
                for name, peer in self.membership.peers.items()
            )
            if all_released:
                self._resolve_holders(partition, now_ns)
            if all_released or self._is_accepted_and_drained(self.claim_versions[number], now_ns):
                self.ready_claims[number] = claim

    def _update_awaited_transfers(self, now_ns: int) -> None:
        claims = [
            (number, claim_of(self.partitions[number]))
            for number in sorted(self.assigned_numbers)
            if number not in self.accepted_claims
        ]
        self.awaiting_transfer_since_ns = {
            claim: self.awaiting_transfer_since_ns.get(claim, now_ns) for claim in claims
        }

    def _resolve_holders(self, partition: pb.Partition, now_ns: int) -> None:
        """Remove the previous holders that can no longer send any request."""
        kept = [
            name
            for name in partition.unresolved_holders
            if not self._is_resolved(partition.number, name, now_ns)
        ]
        if len(kept) < len(partition.unresolved_holders):
            del partition.unresolved_holders[:]
            partition.unresolved_holders.extend(kept)
            self._record_claim_change(partition.number)

    def _is_resolved(self, number: int, incarnation: str, now_ns: int) -> bool:
        if (
            incarnation in self.released_by[number]
            or incarnation in self.membership.forgotten_incarnations
        ):
            return True
        if incarnation == self.own.incarnation:
            return True
        peer = self.membership.peers.get(incarnation)
        return peer is not None and self._is_dispatch_drained(peer, now_ns)

    def _is_dispatch_drained(self, peer: Peer, now_ns: int) -> bool:
        """Return whether a member's dispatch processes have stopped and their requests ended."""
        stopped_ns = peer.dispatch_stopped_ns
        return bool(stopped_ns) and now_ns - stopped_ns >= self.timing.max_request_ns

    def _has_stopped(self, peer: Peer, now_ns: int) -> bool:
        """Return whether a dead member has no request in flight and can start none.

        The exception is a frozen dispatch process, which may still send one request when it
        resumes; the reserve covers that.
        """
        if not peer.dead_ns:
            return False
        ended_ns = peer.dead_ns + self.timing.max_request_ns
        return self._is_dispatch_drained(peer, now_ns) or self._has_lease_expired(ended_ns, now_ns)

    def _is_accepted_and_drained(self, version: int, now_ns: int) -> bool:
        """Return whether requests sent on a state older than an accepted version have ended."""
        accepted_ns = self.track_acceptance(version).accepted_ns
        return bool(accepted_ns) and now_ns - accepted_ns >= self.timing.max_request_ns

    def on_release_request(self, claims: Iterable[pb.PartitionClaim]) -> pb.ReleaseReply:
        """Tell a new holder which partitions this process neither holds nor uses."""
        released = []
        for claim in claims:
            if self._has_released(claim):
                self.released_claims[claim.number] = max(
                    claim_of(claim), self.released_claims.get(claim.number, (0, 0))
                )
                released.append(claim.number)
        return pb.ReleaseReply(incarnation=self.own.incarnation, released=released)

    def _has_released(self, claim: pb.PartitionClaim) -> bool:
        if claim.number in self.accepted_claims or self.undrained_claims.get(claim.number):
            return False
        current = self.partitions.get(claim.number)
        return current is None or claim_of(current) <= claim_of(claim)

    def claims_to_drain(self) -> list[pb.PartitionClaim]:
        """Return the claims that the local dispatch processes must stop using."""
        claims = [
            make_claim(number, draining.claim, self.own.incarnation)
            for number, draining in self.draining_transfers.items()
        ]
        claims.extend(
            make_claim(number, claim, self.own.incarnation)
            for number, undrained in self.undrained_claims.items()
            for claim in undrained
        )
        return claims

    def on_drained(self, claim: pb.PartitionClaim, confirmed: bool, now_ns: int) -> None:
        """Record that a claim has no request in flight.

        If not `confirmed`, the dispatch process is lost, its lease has expired and its requests
        have ended. It may be frozen and still send one request, so this process stays unresolved.
        """
        number = claim.number
        if confirmed and number in self.undrained_claims:
            self.undrained_claims[number].discard(claim_of(claim))
            if not self.undrained_claims[number]:
                del self.undrained_claims[number]
        draining = self.draining_transfers.get(number)
        if draining is not None and draining.claim == claim_of(claim):
            self._finish_draining(number, draining, confirmed, now_ns)
        self.update(now_ns)

    def start_transfer(self, number: int, receiver: str) -> bool:
        """Stop sending for a partition, so that it can be transferred once it is drained.

        Return whether the transfer was started.
        """
        if (
            not self.is_holder_of(number)
            or number in self.draining_transfers
            or receiver not in self.membership.peers
        ):
            return False
        self.draining_transfers[number] = DrainingTransfer(self.accepted_claims[number], receiver)
        return True

    def _cancel_transfer(self, number: int, confirmed: bool) -> None:
        """Keep a partition under a new claim, because its receiver cannot accept it.

        The old claim has been reported as drained and is never granted again. If a lost process
        may still use it, the new claim is not granted until that is ruled out.
        """
        claim = self.draining_transfers.pop(number).claim
        if not confirmed:
            self.undrained_claims.setdefault(number, set()).add(claim)
        self._increment_own_claim(number, ready=confirmed and number in self.ready_claims)

    def _increment_own_claim(self, number: int, ready: bool) -> None:
        partition = self.partitions[number]
        partition.transfer += 1
        self._record_claim_change(number)
        claim = claim_of(partition)
        self.accepted_claims[number] = claim
        self.released_by.setdefault(number, set())
        self.claim_versions.setdefault(number, self.document.version)
        self.ready_claims.pop(number, None)
        if ready:
            self.ready_claims[number] = claim

    def _finish_draining(
        self, number: int, draining: DrainingTransfer, confirmed: bool, now_ns: int
    ) -> None:
        """Assign a drained partition to its receiver, or keep it if the receiver cannot take it."""
        peer = self.membership.peers.get(draining.receiver)
        is_reached = peer is not None and self.membership.is_reached(peer, now_ns)
        if not is_reached or peer.member.leaving or peer.member.dispatch_down:
            self._cancel_transfer(number, confirmed)
            return
        ready = number in self.ready_claims
        partition = pb.Partition()
        partition.CopyFrom(self.partitions[number])
        partition.transfer += 1
        partition.holder.CopyFrom(peer.member)
        if self._needs_resolution(number, confirmed, ready) and (
            self.own.incarnation not in partition.unresolved_holders
        ):
            partition.unresolved_holders.append(self.own.incarnation)
        if confirmed:
            self.ready_claims.pop(number, None)
        self._merge_partition(partition, from_document=False)
        self.unanswered_transfers[number] = partition

    def _needs_resolution(self, number: int, confirmed: bool, ready: bool) -> bool:
        """Return whether the receiver has to resolve this process before it may send."""
        return not confirmed or not ready or bool(self.undrained_claims.get(number))

    def on_transfer_request(self, request: pb.TransferRequest, now_ns: int) -> pb.TransferReply:
        """Accept partitions from a peer, or refuse all of them permanently."""
        refusal = self._find_transfer_refusal(request)
        if refusal:
            return pb.TransferReply(refusal=refusal)
        if request.HasField("document"):
            self.adopt_document(request.document, now_ns)
        accepted = []
        for partition in request.partitions:
            self._accept_partition(partition)
            accepted.append(partition.number)
        self.membership.merge_member(request.giver, now_ns, heard_directly=True)
        self.update(now_ns)
        return pb.TransferReply(accepted=accepted)

    def _find_transfer_refusal(self, request: pb.TransferRequest) -> str:
        """Return why a transfer is refused, or an empty string; every reason is permanent.

        A repeated request that was accepted before is never refused, because the giver takes
        refused partitions back.
        """
        if request.protocol != PROTOCOL:
            return "protocol"
        if self.is_foreign(request.document.fleet):
            return "other_fleet"
        if any(item.holder.incarnation != self.own.incarnation for item in request.partitions):
            return "other_incarnation"
        known = all(not self._is_new_claim(partition) for partition in request.partitions)
        if self.own.leaving and not known:
            return "leaving"
        return ""

    def _is_new_claim(self, partition: pb.Partition) -> bool:
        """Return whether a claim is neither accepted already nor superseded by a newer one."""
        claim = claim_of(partition)
        current = self.partitions.get(partition.number)
        if current is not None and claim_of(current) > claim:
            return False
        return self.accepted_claims.get(partition.number) != claim

    def _accept_partition(self, partition: pb.Partition) -> None:
        """Accept a claim, unless it is already accepted, superseded or below a released one."""
        number = partition.number
        claim = claim_of(partition)
        if not self._is_new_claim(partition) or claim < self.released_claims.get(number, (0, 0)):
            return
        self._merge_partition(partition, from_document=False)
        self._accept_claim(number, claim)
        if not partition.unresolved_holders and not self.undrained_claims.get(number):
            self.ready_claims[number] = claim

    def on_transfer_reply(
        self, reply: pb.TransferReply, sent: Iterable[pb.Partition], now_ns: int
    ) -> None:
        """Finish accepted transfers, and take back the partitions that a leaving member refused."""
        for partition in sent:
            number = partition.number
            current = self.unanswered_transfers.get(number)
            if current is None or claim_of(current) != claim_of(partition):
                continue
            if number in reply.accepted:
                del self.unanswered_transfers[number]
            elif reply.refusal == "leaving":
                self._reclaim_partition(number)
        self.update(now_ns)

    def _reclaim_partition(self, number: int) -> None:
        """Hold a partition again after a leaving receiver has permanently refused it."""
        del self.unanswered_transfers[number]
        partition = self.partitions[number]
        partition.holder.CopyFrom(self.own)
        self._increment_own_claim(number, ready=not partition.unresolved_holders)

    def transfers_to_send(self) -> dict[str, list[pb.Partition]]:
        """Return the partitions of unanswered transfers, by the receiver's incarnation."""
        by_receiver: dict[str, list[pb.Partition]] = {}
        for partition in self.unanswered_transfers.values():
            peer = self.membership.peers.get(partition.holder.incarnation)
            if peer is not None and not peer.dead_ns:
                by_receiver.setdefault(partition.holder.incarnation, []).append(partition)
        return by_receiver

    def eligible_holder_domains(self, now_ns: int) -> dict[str, str]:
        """Return the failure domains of the members that may hold partitions, by incarnation."""
        members = [peer.member for peer in self.membership.reached_peers(now_ns)]
        members.append(self.own)
        return {
            member.incarnation: member.failure_domain
            for member in members
            if not member.leaving and not member.dispatch_down
        }

    def plan_transfers(self, now_ns: int) -> list[tuple[int, str]]:
        """Return (partition, receiver) for the partitions that this process should transfer.

        A process that may not hold partitions itself, such as a leaving one, transfers all of
        them. Others transfer what balances the partitions.
        """
        domains = self.eligible_holder_domains(now_ns)
        holders = {
            number: partition.holder.incarnation for number, partition in self.partitions.items()
        }
        own = self.own.incarnation
        others = {name: domain for name, domain in domains.items() if name != own}
        if own not in domains and others:
            counts = dict.fromkeys(others, 0)
            for holder in holders.values():
                if holder in counts:
                    counts[holder] += 1
            return self._assign_own_partitions(counts, others)
        return [
            (number, receiver)
            for number, receiver in plan_balance(holders, domains, self.document.failure_domains)
            if self.is_holder_of(number)
            and number in self.ready_claims
            and number not in self.draining_transfers
        ]

    def _assign_own_partitions(
        self, counts: dict[str, int], domains: dict[str, str]
    ) -> list[tuple[int, str]]:
        """Assign all partitions of this process, counting for receivers what already drains."""
        for draining in self.draining_transfers.values():
            if draining.receiver in counts:
                counts[draining.receiver] += 1
        numbers = [
            number for number in self.accepted_claims if number not in self.draining_transfers
        ]
        return sorted(
            assign_partitions(numbers, counts, domains, self.document.failure_domains).items()
        )

    def is_alone(self) -> bool:
        """Return whether no other control process may be running."""
        return not self.seeds and all(peer.dead_ns for peer in self.membership.peers.values())

    def has_confirmed_claims(self, now_ns: int) -> bool:
        """Return whether all reached peers have confirmed the newest claims of this process."""
        return all(
            peer.confirmed_revisions.claims >= self.claims_revision
            for peer in self.membership.reached_peers(now_ns)
        )

    def forget_members(self, now_ns: int, vanished: Iterable[str] = ()) -> None:
        """Drop members that have been dead for `RETENTION_NS` and that no claim refers to.

        `vanished` are incarnations that have been silent for long and that the platform no longer
        lists. Those that are silent are marked as dead and stopped first.
        """
        for name in vanished:
            peer = self.membership.peers.get(name)
            if peer is not None and self.membership.is_silent(peer, now_ns):
                self.membership.mark_dead(name, now_ns)
                peer.dispatch_stopped_ns = peer.dispatch_stopped_ns or now_ns
                peer.refused_addresses |= {
                    *peer.member.dispatch_addresses,
                    peer.member.entry_address,
                }
        needed = {partition.holder.incarnation for partition in self.partitions.values()}
        for partition in self.partitions.values():
            needed.update(partition.unresolved_holders)
        self.membership.forget(
            [
                name
                for name, peer in self.membership.peers.items()
                if peer.dead_ns and now_ns - peer.dead_ns > RETENTION_NS and name not in needed
            ]
        )


def raise_revisions(revisions: pb.Revisions, other: pb.Revisions) -> None:
    """Set each revision in `revisions` to the one in `other` if that is higher."""
    revisions.members = max(revisions.members, other.members)
    revisions.claims = max(revisions.claims, other.claims)


def make_answer(reply: pb.SyncReply, sent_ns: int) -> PeerAnswer:
    """Extract from a Sync reply what lease calculation needs.

    The store contact counts back from when the request was sent, not from when the reply arrived.
    """
    contact_ns = None
    if reply.store_age_ms >= 0:
        contact_ns = sent_ns - reply.store_age_ms * NS_PER_MS
    return PeerAnswer(
        sent_ns=sent_ns,
        version=reply.document_version,
        store_contact_ns=contact_ns,
        votes=frozenset(reply.votes),
    )


def make_claim(number: int, claim: Claim, incarnation: str) -> pb.PartitionClaim:
    """Convert a claim to its message type."""
    return pb.PartitionClaim(
        number=number, term=claim[0], transfer=claim[1], incarnation=incarnation
    )
