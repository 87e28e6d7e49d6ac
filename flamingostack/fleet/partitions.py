"""Ownership partitions: the order of claims, and the balance of partitions over members."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from ..generated import messages_pb2 as pb

Claim = tuple[int, int]


def claim_of(partition: pb.Partition | pb.PartitionClaim | pb.PartitionGrant) -> Claim:
    """Return (term, transfer), by which claims are ordered."""
    return (partition.term, partition.transfer)


def is_newer(candidate: pb.Partition, current: pb.Partition) -> bool:
    """Tell whether a claim supersedes another one."""
    return claim_of(candidate) > claim_of(current)


def merge_resolved_holders(current: pb.Partition, other: pb.Partition) -> bool:
    """Drop previous holders that `other`, of the same claim, knows to be resolved.

    Only resolution changes a claim after it is made, so the shorter list is the newer one.
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
    """Return the number of votes that no two disjoint sets of voters can both have."""
    return voter_count // 2 + 1


def home_domain(partition: int, failure_domains: Sequence[str]) -> str:
    """Return the failure domain where a partition is at home, or an empty string."""
    return failure_domains[partition % len(failure_domains)] if failure_domains else ""


def plan_balance(
    holders_by_number: Mapping[int, str],
    domains_by_incarnation: Mapping[str, str],
    failure_domains: Sequence[str],
) -> list[tuple[int, str]]:
    """Return (partition, receiver) moves that even out the partitions, home domain first.

    `domains_by_incarnation` are the members that may hold partitions. Every instance with the
    same knowledge computes the same plan and carries out the moves of its own partitions. A move
    either lowers the spread of the counts, or leaves it as it is and brings a partition home, so
    the plan ends.
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
    """Return the best move of a partition that has not moved in this plan."""
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
    """Assign partitions to the members with the fewest, a home member first among equals.

    `counts` holds the partitions that each member has already, and is raised.
    """
    assigned: dict[int, str] = {}
    for number in sorted(numbers):
        home = home_domain(number, failure_domains)
        receiver = min(counts, key=lambda name: (counts[name], domains[name] != home, name))
        assigned[number] = receiver
        counts[receiver] += 1
    return assigned
