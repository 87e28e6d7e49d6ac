"""Mapping of targets to ownership partitions, identical on every instance."""

from __future__ import annotations

import zlib
from collections.abc import Sequence


def home_partitions(
    partition_count: int,
    failure_domains: Sequence[str],
    failure_domain: str,
) -> range:
    """Return the partitions whose home is `failure_domain`.

    The home of partition p is the domain at position p mod D of the D `failure_domains`. A domain
    that is not listed, or is home to no partition, falls back to all partitions. The list comes
    from the fleet document and never changes: if instances had different lists, one target could
    have two owners.
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
    """Return the partition of a target: a stable hash over the partitions of its domain."""
    homes = home_partitions(partition_count, failure_domains, failure_domain)
    return homes[zlib.crc32(target_id.encode()) % len(homes)]
