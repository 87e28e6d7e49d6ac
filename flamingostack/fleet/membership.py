"""Fleet membership from the view of one control process: live, silent or known to be dead.

A member is known to be dead when its address refuses connections or is used by another
incarnation. All times are nanoseconds of the local boottime clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..generated import messages_pb2 as pb
from .lease import PeerAnswer

# Incarnations that were dropped as dead are remembered, so that a peer that still lists one does
# not add it again.
MAX_FORGOTTEN_INCARNATIONS = 10_000


class Peer:
    """State of another control process, which is one incarnation of an instance.

    `heard_directly` is whether the process itself has ever sent a message, and `heard_ns` when the
    last one arrived (before that: when the peer was added). `dead_ns` is when it was found to be
    dead (0: not dead), and `dispatch_stopped_ns` when all its dispatch processes were known to have
    stopped (0: not known).
    `confirmed_revisions` are this process's revisions of members and claims up to which the peer
    has received them; `received_revisions` are the peer's revisions up to which this process has
    received them. `refused_addresses` are its addresses that have refused a connection.
    """

    __slots__ = (
        "member",
        "heard_directly",
        "heard_ns",
        "answer",
        "version",
        "applied_version",
        "silent_members",
        "confirmed_revisions",
        "received_revisions",
        "dead_ns",
        "refused_addresses",
        "dispatch_stopped_ns",
    )

    def __init__(self, member: pb.Member, now_ns: int) -> None:
        self.member = member
        self.heard_directly = False
        self.heard_ns = now_ns
        self.answer: PeerAnswer | None = None
        self.version = 0
        self.applied_version = 0
        self.silent_members: frozenset[str] = frozenset()
        self.confirmed_revisions = pb.Revisions()
        self.received_revisions = pb.Revisions()
        self.dead_ns = 0
        self.refused_addresses: set[str] = set()
        self.dispatch_stopped_ns = 0

    def is_stopped(self) -> bool:
        """Return whether it is dead and its dispatch and entry addresses refused connections."""
        addresses = {*self.member.dispatch_addresses, self.member.entry_address} - {""}
        return bool(self.dead_ns) and addresses <= self.refused_addresses


class Membership:
    """All known peers by incarnation, without this process itself.

    `revision` counts the changes that have to be sent to the peers.
    """

    __slots__ = (
        "own",
        "suspect_ns",
        "peers",
        "forgotten_incarnations",
        "revision",
        "revisions_by_incarnation",
        "incarnations_by_address",
    )

    def __init__(self, own: pb.Member, suspect_ns: int) -> None:
        self.own = own
        self.suspect_ns = suspect_ns
        self.peers: dict[str, Peer] = {}
        self.forgotten_incarnations: dict[str, None] = {}
        self.revision = 0
        # The revision of the last change to each peer, oldest change first.
        self.revisions_by_incarnation: dict[str, int] = {}
        # Incarnations that have, or had, a control address.
        self.incarnations_by_address: dict[str, dict[str, None]] = {}

    def merge_member(
        self, member: pb.Member, now_ns: int, heard_directly: bool = False
    ) -> Peer | None:
        """Add or update a member and return its peer; None for this process and forgotten ones.

        `heard_directly` is true for a message from the member itself, which also proves that it is
        not dead.
        """
        name = member.incarnation
        if (
            not name
            or name == self.own.incarnation
            or (name in self.forgotten_incarnations and not heard_directly)
        ):
            return None
        peer = self.peers.get(name)
        if peer is None:
            peer = self.peers[name] = Peer(pb.Member(), now_ns)
            peer.member.CopyFrom(member)
            self._index_address(member)
            self._record_change(name)
            self._mark_replaced_at_own_address(now_ns)
        self._update_member(peer, member, heard_directly)
        if heard_directly:
            peer.heard_directly = True
            peer.heard_ns = now_ns
            self._mark_alive(peer)
        return peer

    def _update_member(self, peer: Peer, member: pb.Member, heard_directly: bool) -> None:
        """Store what a member reports of itself, or what others report until it is heard directly.

        Reports from others may differ in age, so only `leaving`, which is never reset, counts as a
        change to be sent on.
        """
        is_first = heard_directly and not peer.heard_directly
        if (peer.heard_directly and not heard_directly) or (member == peer.member and not is_first):
            return
        leaving = peer.member.leaving or member.leaving
        has_changed = heard_directly or leaving != peer.member.leaving
        peer.member.CopyFrom(member)
        peer.member.leaving = leaving
        self._index_address(member)
        if has_changed:
            self._record_change(member.incarnation)

    def _index_address(self, member: pb.Member) -> None:
        self.incarnations_by_address.setdefault(member.control_address, {})[member.incarnation] = (
            None
        )

    def _record_change(self, name: str) -> None:
        self.revision += 1
        self.revisions_by_incarnation.pop(name, None)
        self.revisions_by_incarnation[name] = self.revision

    def peers_changed_since(self, revision: int) -> list[Peer]:
        """Return the peers that changed after `revision`, newest first, without the dead ones."""
        peers = []
        for name, changed in reversed(self.revisions_by_incarnation.items()):
            if changed <= revision:
                break
            if not self.peers[name].dead_ns:
                peers.append(self.peers[name])
        return peers

    def _mark_alive(self, peer: Peer) -> None:
        """Clear the dead state of a peer that has sent a message."""
        if peer.dead_ns:
            self._record_change(peer.member.incarnation)
        self.forgotten_incarnations.pop(peer.member.incarnation, None)
        peer.dead_ns = 0
        peer.dispatch_stopped_ns = 0
        peer.refused_addresses.clear()

    def mark_dead(self, incarnation: str, now_ns: int) -> None:
        """Record that a control process is dead."""
        peer = self.peers.get(incarnation)
        if peer is not None and not peer.dead_ns:
            peer.dead_ns = now_ns
            peer.answer = None
            if not peer.member.dispatch_addresses:
                peer.dispatch_stopped_ns = now_ns

    def on_connection_refused(self, address: str, now_ns: int) -> bool:
        """Record that an address refuses connections.

        Return whether a control process, or all dispatch processes of a member, newly count as
        stopped.
        """
        changed = False
        for name, peer in self.peers.items():
            member = peer.member
            if member.control_address == address and not peer.dead_ns:
                self.mark_dead(name, now_ns)
                changed = True
            if address in member.dispatch_addresses or address == member.entry_address:
                peer.refused_addresses.add(address)
                changed |= self._check_dispatch_stopped(peer, now_ns)
        return changed

    def mark_replaced_by(self, member: pb.Member, now_ns: int) -> None:
        """Mark other incarnations at the control address of `member`, which answers, as dead."""
        for name in self.incarnations_by_address.get(member.control_address, ()):
            peer = self.peers[name]
            if name == member.incarnation or peer.member.control_address != member.control_address:
                continue
            self.mark_dead(name, now_ns)
            # The dispatch process at the same address is either a new one, or has connected to the
            # new control process and dropped the claims of the old one.
            is_same = list(peer.member.dispatch_addresses) == list(member.dispatch_addresses)
            if is_same and not member.dispatch_down and not peer.dispatch_stopped_ns:
                peer.dispatch_stopped_ns = now_ns

    def _mark_replaced_at_own_address(self, now_ns: int) -> None:
        """Mark earlier incarnations at this process's own address as dead."""
        self.mark_replaced_by(self.own, now_ns)

    def _check_dispatch_stopped(self, peer: Peer, now_ns: int) -> bool:
        """Record that all dispatch processes of a dead peer have stopped; return whether new."""
        has_stopped = set(peer.member.dispatch_addresses) <= peer.refused_addresses
        if not has_stopped or not peer.dead_ns or peer.dispatch_stopped_ns:
            return False
        peer.dispatch_stopped_ns = now_ns
        return True

    def addresses_to_probe(self) -> set[str]:
        """Return the dispatch and entry addresses of dead members that have not refused yet."""
        return {
            address
            for peer in self.peers.values()
            if peer.dead_ns
            for address in (*peer.member.dispatch_addresses, peer.member.entry_address)
            if address and address not in peer.refused_addresses
        }

    def is_silent(self, peer: Peer, now_ns: int) -> bool:
        """Return whether a peer is dead, or has sent no message for `suspect_ms`."""
        return bool(peer.dead_ns) or now_ns - peer.heard_ns >= self.suspect_ns

    def is_reached(self, peer: Peer, now_ns: int) -> bool:
        """Return whether a peer has answered a request that was sent within `suspect_ms`."""
        answer = peer.answer
        return not peer.dead_ns and answer is not None and now_ns - answer.sent_ns < self.suspect_ns

    def live_peers(self, now_ns: int) -> list[Peer]:
        """Return the peers that are not silent."""
        return [peer for peer in self.peers.values() if not self.is_silent(peer, now_ns)]

    def reached_peers(self, now_ns: int) -> list[Peer]:
        """Return the peers that have answered a recent request; see `is_reached`."""
        return [peer for peer in self.peers.values() if self.is_reached(peer, now_ns)]

    def silent_names(self, now_ns: int) -> list[str]:
        """Return the incarnations of silent peers."""
        return [name for name, peer in self.peers.items() if self.is_silent(peer, now_ns)]

    def is_silent_to_majority(self, incarnation: str, now_ns: int) -> bool:
        """Return whether a member is silent to this process and to most processes in its reach.

        The count includes this process itself.
        """
        peer = self.peers.get(incarnation)
        if peer is None or not self.is_silent(peer, now_ns):
            return False
        reached = [other for other in self.reached_peers(now_ns) if other is not peer]
        agreeing = 1 + sum(incarnation in other.silent_members for other in reached)
        return agreeing * 2 > len(reached) + 1

    def forget(self, incarnations: Iterable[str]) -> None:
        """Drop members permanently and remember them as forgotten."""
        for name in incarnations:
            if self.peers.pop(name, None) is not None:
                self._drop_from_index(name)
            self.revisions_by_incarnation.pop(name, None)
            self.forgotten_incarnations[name] = None
        while len(self.forgotten_incarnations) > MAX_FORGOTTEN_INCARNATIONS:
            self.forgotten_incarnations.pop(next(iter(self.forgotten_incarnations)))

    def _drop_from_index(self, name: str) -> None:
        for address in list(self.incarnations_by_address):
            names = self.incarnations_by_address[address]
            names.pop(name, None)
            if not names:
                del self.incarnations_by_address[address]
