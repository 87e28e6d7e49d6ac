"""Placement of targets in ownership partitions, the same on every instance."""

from __future__ import annotations

import zlib
from collections.abc import Sequence


def home_partitions(
    partition_count: int,
    failure_domains: Sequence[str],
    failure_domain: str,
) -> range:
    """Return the partitions at home in `failure_domain`.

    Partition p is at home in the domain at position p mod D of `failure_domains`. A domain that
    is not listed, or has no partition of its own, falls back to all partitions. The list comes
    from the fleet document and never changes: with lists that differ between instances, one
    target would have two owners.
    """
    domains = list(failure_domains)
    if failure_domain not in domains:
        return range(partition_count)
    homes = range(domains.index(failure_domain), partition_count, len(domains))
    return homes if len(homes) else range(partition_count)


def partition_of_target(
    target_id: str,
    failure_domain: str,
    partition_count: int,
    failure_domains: Sequence[str],
) -> int:
    """Return the partition of a target: a stable hash among its domain's partitions."""
    homes = home_partitions(partition_count, failure_domains, failure_domain)
    return homes[zlib.crc32(target_id.encode()) % len(homes)]
