"""Ownership partitions: ordering of claims, and balancing of partitions across members."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from ..generated import messages_pb2 as pb

Claim = tuple[int, int]


def claim_of(partition: pb.Partition | pb.PartitionClaim | pb.PartitionGrant) -> Claim:
    """Return the claim of a partition as (term, transfer), the key that orders claims."""
    return (partition.term, partition.transfer)


def is_newer(candidate: pb.Partition, current: pb.Partition) -> bool:
    """Return whether the claim of `candidate` supersedes that of `current`."""
    return claim_of(candidate) > claim_of(current)


def merge_resolved_holders(current: pb.Partition, other: pb.Partition) -> bool:
    """Remove previous holders that `other`, if it is the same claim, no longer lists.

    Return whether any was removed. A claim changes after its creation only by resolving previous
    holders, so the shorter list is the newer one.
    """
    if claim_of(current) != claim_of(other):
        return False
    kept = [name for name in current.unresolved_holders if name in other.unresolved_holders]
    if len(kept) == len(current.unresolved_holders):
        return False
    del current.unresolved_holders[:]
    current.unresolved_holders.extend(kept)
    return True


def majority_size(voter_count: int) -> int:
    """Return the smallest number of votes that two disjoint sets of voters cannot both have."""
    return voter_count // 2 + 1


def home_domain(partition: int, failure_domains: Sequence[str]) -> str:
    """Return the home failure domain of a partition, or an empty string if there are no domains."""
    return failure_domains[partition % len(failure_domains)] if failure_domains else ""


def plan_balance(
    holders_by_number: Mapping[int, str],
    domains_by_incarnation: Mapping[str, str],
    failure_domains: Sequence[str],
) -> list[tuple[int, str]]:
    """Return (partition, receiver) moves that balance the partitions, preferring home domains.

    `domains_by_incarnation` are the members that may hold partitions. Every instance with the same
    state computes the same plan and performs the moves of its own partitions. Each move either
    makes the partition counts more even, or keeps them as even and moves a partition to its home
    domain, so planning terminates.
    """
    holders = {
        number: holder
        for number, holder in holders_by_number.items()
        if holder in domains_by_incarnation
    }
    counts = dict.fromkeys(domains_by_incarnation, 0)
    for holder in holders.values():
        counts[holder] += 1
    moves: dict[int, str] = {}
    while move := _find_move(holders, counts, domains_by_incarnation, failure_domains, moves):
        number, receiver = move
        counts[holders[number]] -= 1
        counts[receiver] += 1
        holders[number] = receiver
        moves[number] = receiver
    return sorted(moves.items())


def _find_move(
    holders: Mapping[int, str],
    counts: Mapping[str, int],
    domains: Mapping[str, str],
    failure_domains: Sequence[str],
    moved: Mapping[int, str],
) -> tuple[int, str] | None:
    """Return the best (partition, receiver) move of a partition not yet moved, or None."""
    best: tuple[tuple[int, ...], int, str] | None = None
    for number, holder in sorted(holders.items()):
        if number in moved:
            continue
        home = home_domain(number, failure_domains)
        for receiver in sorted(domains):
            excess = counts[holder] - counts[receiver]
            gain = (domains[receiver] == home) - (domains[holder] == home)
            if receiver == holder or not (excess >= 2 or (excess == 1 and gain > 0)):
                continue
            rank = (gain, excess)
            if best is None or rank > best[0]:
                best = (rank, number, receiver)
    return best[1:] if best else None


def assign_partitions(
    numbers: Iterable[int],
    counts: dict[str, int],
    domains: Mapping[str, str],
    failure_domains: Sequence[str],
) -> dict[int, str]:
    """Assign each partition to the member with the fewest; on a tie, one in its home domain.

    `counts` is the number of partitions per member, and is updated in place.
    """
    assigned: dict[int, str] = {}
    for number in sorted(numbers):
        home = home_domain(number, failure_domains)
        receiver = min(counts, key=lambda name: (counts[name], domains[name] != home, name))
        assigned[number] = receiver
        counts[receiver] += 1
    return assigned
