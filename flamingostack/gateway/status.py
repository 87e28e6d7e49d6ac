"""Status of one instance for operators, as served at its peer address."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from .feeds import Feed, StoreStatus
    from .state import Gateway

STATUS_PATH = "/v1/status"


class InstanceStatus(msgspec.Struct, kw_only=True):
    """What one instance serves with, and how fresh it is; times are in seconds.

    `version` is that of the configuration in force, None before the first one. `phase` is one of
    "serving", "notice" and "finishing". `requests` counts the last window of the budget for extra
    sends. `confirmed_age_s` is the time since the store last confirmed the state, None if it never
    did; `sources` are the instances that are followed, empty if this one watches the store.
    `paused_targets` get nothing at present, after failures. `marks` are those in force, such as
    "target i-1".
    """

    instance: str
    failure_domain: str
    version: int | None
    is_ready: bool
    phase: str
    running_requests: int
    requests: int
    confirmed_age_s: float | None
    is_store_lost: bool
    sources: list[str]
    instances: int
    targets: int
    draining_targets: int
    paused_targets: int
    evacuated_domains: list[str]
    marks: list[str]
    revisions_by_kind: dict[str, int | None]


def make_status(
    gateway: Gateway, feeds_by_kind: Mapping[str, Feed], store_status: StoreStatus
) -> InstanceStatus:
    """Return the present status."""
    now = gateway.now()
    targets = gateway.directory.targets_by_id.values()
    routes = gateway.routes
    return InstanceStatus(
        instance=gateway.settings.instance,
        failure_domain=gateway.settings.failure_domain,
        version=None if routes is None else routes.configuration.version,
        is_ready=gateway.is_ready,
        phase=gateway.shutdown.phase.value,
        running_requests=gateway.shutdown.running,
        requests=gateway.budget.requests(now),
        confirmed_age_s=store_status.age_s(),
        is_store_lost=any(feed.has_lost_store for feed in feeds_by_kind.values()),
        sources=list(store_status.sources),
        instances=len(gateway.instances),
        targets=len(targets),
        draining_targets=sum(target.is_draining for target in targets),
        paused_targets=sum(now < target.paused_until for target in targets),
        evacuated_domains=sorted(gateway.directory.evacuated_domains),
        marks=gateway.directory.marks.list_names(),
        revisions_by_kind={kind: feed.revision for kind, feed in feeds_by_kind.items()},
    )
