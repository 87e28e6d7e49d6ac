"""Status of one instance for operators, as served at its peer address."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from .feeds import Feed, StoreStatus
    from .model import Organisation
    from .state import Gateway

STATUS_PATH = "/v1/status"
# Of more tenants, those with the most refused requests are told.
MAX_TENANTS = 100


class TenantStatus(msgspec.Struct, kw_only=True):
    """Requests of one tenant at one instance since its start, and what is left of its limit.

    `used` of the `allotment` of this instance was handed out in the last window. `limit` is the
    number of tokens of all `owners` together; 0 means no limit.
    """

    name: str
    asked: int = 0
    served: int = 0
    refused_by_reason: dict[str, int] = {}
    used: int = 0
    allotment: int = 0
    limit: int = 0
    owners: list[str] = []


class RolloutStatus(msgspec.Struct, kw_only=True):
    """What one instance knows of the order for a service.

    `state` is that in the store, "ordered" before the first one. `share` is the part of this
    instance's requests that may go to the new version now, of which `exposed` out of `requests`
    went there. `phase`, `evidence` and `reason` are those of the coordinator, empty elsewhere, and
    `fleet_requests` and `fleet_exposed` are what it knows of all instances.
    """

    service: str
    version: str
    state: str
    share: float = 0.0
    is_final: bool = False
    is_stopped: bool = False
    coordinator: str = ""
    requests: int = 0
    exposed: int = 0
    phase: str = ""
    evidence: str = ""
    reason: str = ""
    fleet_requests: int = 0
    fleet_exposed: int = 0


class InstanceStatus(msgspec.Struct, kw_only=True):
    """What one instance serves with, and how fresh it is; times are in seconds.

    `version` is that of the configuration in force, None before the first one. `phase` is one of
    "serving", "notice" and "finishing". `requests` counts the last window of the budget for extra
    sends. `confirmed_age_s` is the time since the store last confirmed the state, None if it never
    did; `sources` are the instances that are followed, empty if this one watches the store.
    `paused_targets` get nothing at present, after failures. `marks` are those in force, such as
    "target i-1". `store_era` is the highest era of the store that the instance has heard of.
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
    store_era: int = 0
    tenants: list[TenantStatus] = []
    rollouts: list[RolloutStatus] = []


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
        store_era=store_status.era,
        tenants=list_tenants(gateway),
        rollouts=gateway.describe_rollouts(),
    )


def list_tenants(gateway: Gateway) -> list[TenantStatus]:
    """Return the tenants that this instance has served, refused or holds an allotment of."""
    organisations = None if gateway.routes is None else gateway.routes.configuration.organisations
    if organisations is None:
        return []
    counts_by_name = gateway.organisation_stats.counts_by_name
    names = set(counts_by_name)
    if gateway.allotments is not None:
        names |= gateway.allotments.ownership.accounts_by_name.keys()
    tenants = [
        describe_tenant(gateway, organisations.by_name[name])
        for name in names
        if name in organisations.by_name
    ]
    tenants.sort(key=lambda item: (item.served - item.asked, -item.asked, item.name))
    return tenants[:MAX_TENANTS]


def describe_tenant(gateway: Gateway, organisation: Organisation) -> TenantStatus:
    """Return the status of one tenant."""
    status = TenantStatus(name=organisation.name)
    counts = gateway.organisation_stats.counts_by_name.get(organisation.name)
    if counts is not None:
        status.asked, status.served = counts.asked, counts.served
        status.refused_by_reason = dict(counts.refused_by_reason)
    if gateway.allotments is not None and organisation.is_limited:
        status.used, status.allotment, status.limit, status.owners = gateway.allotments.describe(
            organisation
        )
    return status
