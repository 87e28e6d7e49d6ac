"""Organisations that send requests with API keys, and the look-up of a key.

It handles the load pattern of thousands of keys that are checked for each request: a key is found
by one look-up of its digest, so the time does not depend on how much of a key is right. Only
digests are held; the keys themselves stay with the callers and the operators.
"""

from __future__ import annotations

from collections.abc import Container

from .model import Organisation, Organisations, Route
from .routing import RouteTable

UNAUTHORIZED_STATUS = 401
NOT_FOUND_STATUS = 404
UNAVAILABLE_STATUS = 503
# Reason of a request that was refused because of its organisation's limit.
OVER_LIMIT = "over_limit"
# Organisations with a name of their own in metrics; the others share one, so that they don't use up
# the label sets of a process.
MAX_LABELLED = 80
OTHER_LABEL = "(others)"


class OrganisationCounts:
    """Requests of one organisation at this instance since it started."""

    __slots__ = ("served", "refused_by_reason")

    def __init__(self) -> None:
        self.served = 0
        self.refused_by_reason: dict[str, int] = {}

    @property
    def asked(self) -> int:
        """Number of requests, however they ended."""
        return self.served + sum(self.refused_by_reason.values())


class OrganisationStats:
    """Requests by organisation, and how organisations are named in metrics."""

    __slots__ = ("counts_by_name", "_labelled")

    def __init__(self) -> None:
        self.counts_by_name: dict[str, OrganisationCounts] = {}
        self._labelled: set[str] = set()

    def record(self, name: str, reason: str | None) -> str:
        """Count a request, served if `reason` is None; return the organisation's metrics label."""
        counts = self.counts_by_name.get(name)
        if counts is None:
            counts = self.counts_by_name[name] = OrganisationCounts()
        if reason is None:
            counts.served += 1
        else:
            by_reason = counts.refused_by_reason
            by_reason[reason] = by_reason.get(reason, 0) + 1
        if len(self._labelled) < MAX_LABELLED:
            self._labelled.add(name)
        return name if name in self._labelled else OTHER_LABEL

    def keep(self, names: Container[str]) -> None:
        """Forget organisations that are gone."""
        for name in [known for known in self.counts_by_name if known not in names]:
            del self.counts_by_name[name]


class Access:
    """Route and organisation of a request, by one version of the configuration.

    `is_keyed` tells whether that version demands keys, and `organisation` is None for a request
    without a known key.
    """

    __slots__ = ("routes", "route", "organisation", "is_keyed")

    def __init__(
        self,
        routes: RouteTable,
        route: Route,
        organisation: Organisation | None,
        is_keyed: bool,
    ) -> None:
        self.routes = routes
        self.route = route
        self.organisation = organisation
        self.is_keyed = is_keyed

    @property
    def priority(self) -> int:
        """Priority of the organisation, else that of the route; 0 is the most urgent."""
        organisation = self.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority


class Denial:
    """Why a request has no access: the status and the reason of its refusal."""

    __slots__ = ("status", "reason")

    def __init__(self, status: int, reason: str) -> None:
        self.status = status
        self.reason = reason


def find_access(
    routes: RouteTable, host: str, path: str, key_digest: str | None, demands_keys: bool
) -> Access | Denial:
    """Return the route and the organisation of a request, or why it is refused.

    `key_digest` is None for a request without exactly one well-formed key. With `demands_keys`, an
    empty list of organisations counts as one in which all were removed.
    """
    route = routes.find(host, path)
    if route is None:
        return Denial(NOT_FOUND_STATUS, "no_route")
    organisations = routes.configuration.organisations
    if not is_keyed(organisations, demands_keys):
        return Access(routes, route, None, False)
    organisation = organisations.by_digest.get(key_digest) if key_digest is not None else None
    if organisation is None and not route.is_public:
        reason = "no_key" if key_digest is None else "unknown_key"
        return Denial(UNAUTHORIZED_STATUS, reason)
    return Access(routes, route, organisation, True)


def is_keyed(organisations: Organisations | None, demands_keys: bool) -> bool:
    """Return whether requests need keys."""
    return organisations is not None and (bool(organisations.entries) or demands_keys)


def find_change(before: Access, now: Access | Denial) -> Denial | None:
    """Return why a request must not be sent as it was prepared by an earlier configuration.

    Its headers name the organisation of that time. A request that would get another one is
    refused as not run, and its caller may send it again. A route that has gone since then does not
    count: requests that have been accepted by it are still answered.
    """
    match now:
        case Denial(status=status):
            return now if status == UNAUTHORIZED_STATUS else None
        case Access():
            names = [a.organisation.name if a.organisation else None for a in (before, now)]
            if names[0] == names[1] and before.is_keyed == now.is_keyed:
                return None
            return Denial(UNAVAILABLE_STATUS, "configuration_changed")
