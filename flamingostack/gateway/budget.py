"""Budget of one instance for extra sends, that is retries and hedges.

It prevents retry storms: when half of the targets turn slow or refuse requests, every request would
be sent again. In each window, the extra sends to a service, over all instances, may reach a share
of its requests plus a fixed slack. Each instance counts the requests that arrive there and spends
their share; the slack is divided by the number of instances. No coordination is needed.
"""

from __future__ import annotations

from collections import deque

# Usable share of the budget. The remainder allows for sends that are still on their way when a
# window begins.
USABLE_BUDGET_SHARE = 0.85


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
        "started_at",
        "_budgets_by_service",
    )

    def __init__(self, ratio: float, slack: float, window_s: float, now: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        # 0 while the number of instances that share the slack is unknown.
        self.instance_count = 0
        self.started_at = now
        self._budgets_by_service: dict[str, ServiceBudget] = {}

    def count_request(self, service: str, now: float) -> None:
        """Record a caller's request for a service."""
        self._budget(service, now).requests.append(now)

    def try_spend(self, service: str, now: float, share: float = 1.0) -> bool:
        """Record an extra send, or return False if it would exceed `share` of the allowance."""
        budget = self._budget(service, now)
        if len(budget.extra_sends) + 1 > self.allowance(service, now) * share:
            return False
        budget.extra_sends.append(now)
        return True

    def allowance(self, service: str, now: float) -> float:
        """Return how many extra sends the current window may hold."""
        slack = 0.0
        if self.instance_count and now - self.started_at >= self.window_s:
            slack = self.slack / self.instance_count
        requests = len(self._budget(service, now).requests)
        return (self.ratio * requests + slack) * USABLE_BUDGET_SHARE

    def spent(self, service: str, now: float) -> int:
        """Return the number of extra sends in the last window."""
        return len(self._budget(service, now).extra_sends)

    def spent_share(self, service: str, now: float) -> float:
        """Return the spent share of the allowance, from 0 to 1; 1 if it is less than one send."""
        allowance = self.allowance(service, now)
        return min(self.spent(service, now) / allowance, 1.0) if allowance >= 1 else 1.0

    def _budget(self, service: str, now: float) -> ServiceBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = ServiceBudget()
        budget.drop_before(now - self.window_s)
        return budget
