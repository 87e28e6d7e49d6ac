"""Which queries are passed to an instance next to the targets.

Load pattern answered: the instances of a failure domain without targets of the shards send every
part of every query to another one. Bytes between failure domains are paid for, and 36 parts need
ten times as many as one query and its merged answer. The way is the same: one round trip between
failure domains in place of one for each part.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from .placement import rank_among

# Queries over fewer shards save too little.
MIN_PARTS = 6
# An instance whose own failure domain has targets of this share of the shards keeps its queries.
OWN_SHARE = 0.5
# The other failure domain has to have targets of this share of the shards.
NEAR_SHARE = 0.9
# Pause after an instance did not take a query, doubled at each in a row.
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 16.0


def choose_domain(
    own_domain: str, instance: str, domains_by_service: Mapping[str, Collection[str]]
) -> str | None:
    """Return the failure domain that the parts of a query are sent from best; None for the own one.

    `domains_by_service` names the failure domains in which each shard has a usable target.
    """
    total = len(domains_by_service)
    if total < MIN_PARTS:
        return None
    counts_by_domain: dict[str, int] = {}
    for domains in domains_by_service.values():
        for domain in domains:
            counts_by_domain[domain] = counts_by_domain.get(domain, 0) + 1
    if counts_by_domain.get(own_domain, 0) >= total * OWN_SHARE:
        return None
    near = [domain for domain, count in counts_by_domain.items() if count >= total * NEAR_SHARE]
    # Equal ones are spread over the instances; each keeps to one, so that connections stay open.
    return min(near, key=lambda domain: rank_among(instance, domain), default=None)


class DelegatePauses:
    """Instances that did not take a query, and until when they get no other one."""

    __slots__ = ("failures_by_instance", "paused_until")

    def __init__(self) -> None:
        self.failures_by_instance: dict[str, int] = {}
        self.paused_until: dict[str, float] = {}

    def choose(self, instance: str, others: Iterable[str], now: float) -> str | None:
        """Return the first of the others in the instance's order that is not paused."""
        ready = [name for name in others if self.paused_until.get(name, 0.0) <= now]
        return min(ready, key=lambda name: rank_among(instance, name), default=None)

    def note_failure(self, name: str, now: float) -> None:
        """Pause an instance."""
        failures = self.failures_by_instance[name] = self.failures_by_instance.get(name, 0) + 1
        pause_s = min(FIRST_PAUSE_S * 2 ** min(failures - 1, 10), MAX_PAUSE_S)
        self.paused_until[name] = now + pause_s

    def note_success(self, name: str) -> None:
        """Forget the failures of an instance."""
        self.failures_by_instance.pop(name, None)
        self.paused_until.pop(name, None)
