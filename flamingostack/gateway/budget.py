"""The budget of extra sends of one instance.

Load pattern answered: half of the targets turn slow or refuse, and every request would be sent
again. Over all instances a service may get, in each window, a share of its requests and a fixed
slack on top. Requests are counted where they arrive, so each instance spends the share of its
own requests; the slack is divided by the number of instances. Nothing has to be agreed on.
"""

from __future__ import annotations

from collections import deque

# Kept free for sends that are still on their way when a window begins.
USABLE_BUDGET_SHARE = 0.85


class ServiceBudget:
    """Requests for one service and extra sends to it, in the last window."""

    __slots__ = ("requests", "extra_sends")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.extra_sends: deque[float] = deque()

    def drop_before(self, start: float) -> None:
        """Forget what came before `start`."""
        for times in (self.requests, self.extra_sends):
            while times and times[0] < start:
                times.popleft()


class ExtraSendBudget:
    """Budgets by service; times in seconds of the event loop's clock.

    A process that has just started does not know what the one before it has spent, and takes no
    slack for one window.
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
        # 0 while it is not known how many instances share the slack.
        self.instance_count = 0
        self.started_at = now
        self._budgets_by_service: dict[str, ServiceBudget] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._budget(service, now).requests.append(now)

    def try_spend(self, service: str, now: float, share: float = 1.0) -> bool:
        """Count an extra send, or return False if `share` of the budget does not allow it."""
        budget = self._budget(service, now)
        if len(budget.extra_sends) + 1 > self.allowance(service, now) * share:
            return False
        budget.extra_sends.append(now)
        return True

    def allowance(self, service: str, now: float) -> float:
        """Return how many extra sends one window may hold now."""
        slack = 0.0
        if self.instance_count and now - self.started_at >= self.window_s:
            slack = self.slack / self.instance_count
        requests = len(self._budget(service, now).requests)
        return (self.ratio * requests + slack) * USABLE_BUDGET_SHARE

    def spent(self, service: str, now: float) -> int:
        """Return the extra sends in the last window."""
        return len(self._budget(service, now).extra_sends)

    def spent_share(self, service: str, now: float) -> float:
        """Return which share of the allowance is spent, from 0 to 1."""
        allowance = self.allowance(service, now)
        return min(self.spent(service, now) / allowance, 1.0) if allowance >= 1 else 1.0

    def _budget(self, service: str, now: float) -> ServiceBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = ServiceBudget()
        budget.drop_before(now - self.window_s)
        return budget
