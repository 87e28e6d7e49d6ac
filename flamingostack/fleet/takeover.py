"""Takeover planning: which holders are lost, who writes the takeover, and who holds next."""

from __future__ import annotations

from ..generated import messages_pb2 as pb
from .node import Node
from .partitions import assign_partitions, majority_size


def find_lost_holders(node: Node, now_ns: int) -> set[str]:
    """Return the holders that are dead, or silent according to most of the reached members."""
    holders = {partition.holder.incarnation for partition in node.partitions.values()}
    membership = node.membership
    return {
        name
        for name in holders
        if name in membership.forgotten_incarnations
        or membership.is_silent_to_majority(name, now_ns)
    }


def is_majority_accounted_for(node: Node, now_ns: int) -> bool:
    """Return whether the votes of holders neither reached nor known to be dead are a minority."""
    membership = node.membership
    counted = {peer.member.incarnation for peer in membership.reached_peers(now_ns)}
    counted.update(name for name, peer in membership.peers.items() if peer.dead_ns)
    counted.update(membership.forgotten_incarnations)
    counted.add(node.own.incarnation)
    voter_count = node.document.voter_count
    missing = sum(
        number not in node.partitions or node.partitions[number].holder.incarnation not in counted
        for number in range(voter_count)
    )
    return missing < majority_size(voter_count)


def is_coordinator(node: Node, now_ns: int) -> bool:
    """Return whether this process has the lowest incarnation of those with store contact."""
    if not node.has_store_contact(now_ns) or not node.is_current(now_ns):
        return False
    return not any(
        name < node.own.incarnation
        and peer.answer is not None
        and peer.answer.store_contact_ns is not None
        and peer.answer.store_contact_ns > now_ns - node.timing.lease_ns
        for name, peer in node.membership.peers.items()
        if node.membership.is_reached(peer, now_ns)
    )


def plan_takeover(node: Node, now_ns: int) -> list[pb.Partition]:
    """Return the next claims on partitions of lost holders; empty if there is nothing to write.

    The coordinator plans them for the whole fleet, other processes only for their own orphaned
    claims. The previous holder stays unresolved until it is known to have stopped.
    """
    if not is_majority_accounted_for(node, now_ns):
        return []
    if not is_coordinator(node, now_ns):
        return plan_orphaned_claims(node, now_ns)
    lost = find_lost_holders(node, now_ns)
    numbers = [
        number
        for number, partition in node.partitions.items()
        if partition.holder.incarnation in lost
    ]
    receivers = _eligible_members(node, now_ns)
    counts = dict.fromkeys(receivers, 0)
    for partition in node.partitions.values():
        if partition.holder.incarnation in counts:
            counts[partition.holder.incarnation] += 1
    domains = {name: member.failure_domain for name, member in receivers.items()}
    assigned = assign_partitions(numbers, counts, domains, node.document.failure_domains)
    claims = [
        make_next_claim(node.partitions[number], receivers[receiver])
        for number, receiver in assigned.items()
    ]
    return claims + plan_orphaned_claims(node, now_ns)


def plan_orphaned_claims(node: Node, now_ns: int) -> list[pb.Partition]:
    """Return claims on partitions that were transferred to this process but never arrived.

    The giver dropped its claim, but its Transfer request did not arrive for the length of a
    suspicion and a lease, so nobody holds the partition. A claim of the next term makes this
    process ignore the request if it still arrives.
    """
    if node.own.leaving or not node.has_store_contact(now_ns) or not node.is_current(now_ns):
        return []
    wait_ns = node.timing.suspect_ns + node.timing.lease_ns
    return [
        make_next_claim(node.partitions[number], node.own)
        for (number, _), since_ns in node.awaiting_transfer_since_ns.items()
        if now_ns - since_ns >= wait_ns
    ]


def make_next_claim(partition: pb.Partition, holder: pb.Member) -> pb.Partition:
    """Return `holder`'s claim of the next term, with the previous holder listed as unresolved."""
    unresolved = list(partition.unresolved_holders)
    if partition.holder.incarnation not in unresolved:
        unresolved.append(partition.holder.incarnation)
    return pb.Partition(
        number=partition.number,
        term=partition.term + 1,
        holder=holder,
        unresolved_holders=[name for name in unresolved if name != holder.incarnation],
    )


def _eligible_members(node: Node, now_ns: int) -> dict[str, pb.Member]:
    """Return the members that may hold partitions by incarnation; this one if there are none."""
    names = node.eligible_holder_domains(now_ns) or {node.own.incarnation: ""}
    members = {
        peer.member.incarnation: peer.member for peer in node.membership.reached_peers(now_ns)
    }
    members[node.own.incarnation] = node.own
    return {name: members[name] for name in names}
