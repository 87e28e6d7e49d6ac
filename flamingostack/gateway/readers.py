"""Which instances watch the store, and from whom the others learn.

Load pattern answered: the store's calls are priced and limited over all instances, while the fleet
grows; a watch of each instance for each kind made up most of the price of the platform. In each
failure domain two instances watch the store, and the others follow both of them. Each instance
decides by itself from the instances it knows and those it cannot reach, so nothing is agreed on:
two views that differ cost a few calls more, and an instance without a fresh source watches the
store itself.
"""

from __future__ import annotations

import zlib
from collections.abc import Collection

# With two readers a single one may be cut off from the store unnoticed, without any follower being
# behind for it.
READERS_PER_DOMAIN = 2
# Below this size of a failure domain following saves less than it costs.
MIN_DOMAIN_INSTANCES = 6


def choose_sources(
    own_instance: str, domain_instances: Collection[str], unreachable: Collection[str]
) -> list[str]:
    """Return the instances that `own` follows; none if it watches the store itself.

    `domain` are all known instances of the failure domain, `own` among them.
    """
    if len(domain_instances) < MIN_DOMAIN_INSTANCES:
        return []
    ranked_instances = sorted(domain_instances, key=rank_instance)
    reachable = [
        name for name in ranked_instances if name == own_instance or name not in unreachable
    ]
    readers = reachable[:READERS_PER_DOMAIN]
    return [] if own_instance in readers else readers


def rank_instance(instance: str) -> tuple[int, str]:
    """Return an order of instances that is the same everywhere, and not that of their names."""
    return zlib.crc32(instance.encode()), instance
