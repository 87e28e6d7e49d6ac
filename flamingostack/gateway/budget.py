"""Budget of one instance for extra sends, that is retries and hedges.

It prevents retry storms: when half of the targets turn slow or refuse requests, every request would
be sent again. In each window, the extra sends to a service, over all instances, may reach a share
of its requests plus a fixed slack. Each instance counts the requests that arrive there and spends
their share; the slack is divided by the number of instances. No coordination is needed.

In a large fleet most instances get no request in a window, and an equal share of the slack is too
little for the others just when many targets refuse requests. Where the requests of the failure
domain are known (`traffic.py`), a part of the slack therefore follows them. In a large failure
domain another part is not divided, and is handed out one by one (`pool.py`).
"""

from __future__ import annotations

from collections import deque

from .readers import READERS_PER_DOMAIN

# Usable share of the budget. The remainder allows for sends that are still on their way when a
# window begins.
USABLE_BUDGET_SHARE = 0.85
# Parts of the usable slack that are divided equally, and by requests, and that are handed out by
# the readers of large failure domains. All shares together stay below the slack while the requests
# of a failure domain grow by 1.8 between two reports, also if three instances hand out for two.
EQUAL_SLACK_SHARE = 0.25
TRAFFIC_SLACK_SHARE = 0.35
POOL_SLACK_SHARE = 0.2
# For how long the requests of the failure domain are used after a report.
MAX_TRAFFIC_AGE_S = 3.0


class ServiceBudget:
    """Times of the requests for one service, and of the extra sends to it, in the last window."""

    __slots__ = ("requests", "extra_sends")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.extra_sends: deque[float] = deque()

    def drop_before(self, start: float) -> None:
        """Drop requests and extra sends before the time `start`."""
        for times in (self.requests, self.extra_sends):
            while times and times[0] < start:
                times.popleft()


class ExtraSendBudget:
    """Budgets by service; times are in seconds of the event loop's clock.

    A process that has just started does not know what its predecessor has spent, so it uses no
    slack during its first window.
    """

    __slots__ = (
        "ratio",
        "slack",
        "window_s",
        "instance_count",
        "pooled_instances",
        "started_at",
        "_budgets_by_service",
        "_query_times",
        "_domain_requests",
        "_domain_instances",
        "_domain_known_until",
    )

    def __init__(self, ratio: float, slack: float, window_s: float, now: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        # 0 while the number of instances that share the slack is unknown.
        self.instance_count = 0
        # Instances of the failure domain, if they share a pool; otherwise 0.
        self.pooled_instances = 0
        self.started_at = now
        self._budgets_by_service: dict[str, ServiceBudget] = {}
        self._query_times: deque[float] = deque()
        self._domain_requests = 0
        self._domain_instances = 0
        self._domain_known_until = now

    def count_query(self, now: float) -> None:
        """Record a caller's request, whatever the number of its services."""
        self._query_times.append(now)

    def requests(self, now: float) -> int:
        """Return the number of callers' requests in the last window."""
        while self._query_times and self._query_times[0] < now - self.window_s:
            self._query_times.popleft()
        return len(self._query_times)

    def set_domain_traffic(self, requests: int, instances: int, now: float) -> None:
        """Set the requests of the failure domain in the last window, and its instances."""
        self._domain_requests = requests
        self._domain_instances = instances
        self._domain_known_until = now + MAX_TRAFFIC_AGE_S

    def count_request(self, service: str, now: float) -> None:
        """Record a caller's request for a service."""
        self._budget(service, now).requests.append(now)

    def try_spend(self, service: str, now: float, share: float = 1.0) -> bool:
        """Record an extra send, or return False if it would exceed `share` of the allowance."""
        budget = self._budget(service, now)
        if len(budget.extra_sends) + 1 > self._allowance(budget, now) * share:
            return False
        budget.extra_sends.append(now)
        return True

    def allowance(self, service: str, now: float) -> float:
        """Return how many extra sends the current window may hold."""
        return self._allowance(self._budget(service, now), now)

    def _allowance(self, budget: ServiceBudget, now: float) -> float:
        requests = len(budget.requests)
        return (self.ratio * requests + self._slack_share(now)) * USABLE_BUDGET_SHARE

    def _slack_share(self, now: float) -> float:
        if not self.instance_count or now - self.started_at < self.window_s:
            return 0.0
        equal = self.slack / self.instance_count
        if now >= self._domain_known_until:
            return equal * (1 - POOL_SLACK_SHARE) if self.pooled_instances else equal
        # The floor keeps the first requests after an idle window from taking the whole slack.
        domain_requests = max(self._domain_requests, self._domain_instances)
        own_share = min(self.requests(now) / domain_requests, 1.0)
        return equal * (
            EQUAL_SLACK_SHARE + TRAFFIC_SLACK_SHARE * self._domain_instances * own_share
        )

    def pool_limit(self) -> float:
        """Return how many extra sends to a service one reader may hand out in a window."""
        if not self.instance_count:
            return 0.0
        domain_slack = self.slack * self.pooled_instances / self.instance_count
        return domain_slack * POOL_SLACK_SHARE * USABLE_BUDGET_SHARE / READERS_PER_DOMAIN

    def spent(self, service: str, now: float) -> int:
        """Return the number of extra sends in the last window."""
        return len(self._budget(service, now).extra_sends)

    def spent_share(self, service: str, now: float) -> float:
        """Return the spent share of the allowance, from 0 to 1; 1 if it is less than one send."""
        budget = self._budget(service, now)
        allowance = self._allowance(budget, now)
        return min(len(budget.extra_sends) / allowance, 1.0) if allowance >= 1 else 1.0

    def _budget(self, service: str, now: float) -> ServiceBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = ServiceBudget()
        budget.drop_before(now - self.window_s)
        return budget
