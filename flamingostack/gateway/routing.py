"""Selection of the route for a request, and of a service by weight."""

from __future__ import annotations

import random

from .model import Configuration, Route, WeightedServices


class RouteTable:
    """Routes of one configuration version by host, longest path prefix first."""

    __slots__ = ("configuration", "routes_by_host")

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.routes_by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self.routes_by_host.setdefault(route.host, []).append(route)
        for routes in self.routes_by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix, None without one.

        A host that is not found is looked up again without its port.
        """
        routes = self.routes_by_host.get(host.lower())
        if routes is None:
            routes = self.routes_by_host.get(host.lower().partition(":")[0], [])
        for route in routes:
            if path.startswith(route.path_prefix):
                return route
        return None


def draw_service(destination: WeightedServices) -> str:
    """Return a service drawn at random by weight; evenly if all weights are 0."""
    services = list(destination.weights_by_service)
    weights = list(destination.weights_by_service.values())
    if sum(weights) <= 0:
        return random.choice(services)
    return random.choices(services, weights)[0]
