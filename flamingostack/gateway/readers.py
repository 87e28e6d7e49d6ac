"""Choice of the instances that watch the store (readers), and of those that the others follow.

Calls to the store are charged for and limited over all instances, while the fleet grows. With a
watch per instance and kind of object, these calls were most of the platform's cost. Therefore two
instances in each failure domain watch the store, and the others follow both of them. Each instance
decides on its own from the instances that it knows and those that it cannot reach, without
coordination: views that differ cost a few more calls, and an instance without a fresh source
watches the store itself.
"""

from __future__ import annotations

import zlib
from collections.abc import Collection

# With two readers, one may lose the store unnoticed without making any follower stale.
READERS_PER_DOMAIN = 2
# In a failure domain with fewer instances, following saves less than it costs.
MIN_DOMAIN_INSTANCES = 6


def choose_sources(
    own_instance: str, domain_instances: Collection[str], unreachable: Collection[str]
) -> list[str]:
    """Return the instances that `own_instance` follows; none if it watches the store itself.

    `domain_instances` are all known instances of its failure domain, including itself.
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
    """Return a sort key that is the same on all instances and independent of the order of names."""
    return zlib.crc32(instance.encode()), instance
