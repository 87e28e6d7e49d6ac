"""Requests that the instances of a failure domain get, as reported to the instances they follow.

It handles the load pattern of a large fleet with few callers: most instances get no request for
seconds, and those that get some need more than an equal share of what all instances share.
"""

from __future__ import annotations

import math

# A follower reports with each poll, once a second.
MAX_REPORT_AGE_S = 3.0
# With fewer instances reporting, the total would be too low and the shares would be too large.
MIN_REPORTING_SHARE = 0.8


class TrafficReport:
    """Requests of one instance in the last budget window, and when it reported them."""

    __slots__ = ("requests", "at")

    def __init__(self, requests: int, at: float) -> None:
        self.requests = requests
        self.at = at


class DomainTraffic:
    """Latest reports of the instances that follow this one; times in seconds of the loop's clock.

    `instance_count` is the number of known instances of the failure domain, with this one.
    """

    __slots__ = ("instance_count", "reports_by_instance")

    def __init__(self) -> None:
        self.instance_count = 1
        self.reports_by_instance: dict[str, TrafficReport] = {}

    def record(self, instance: str, requests: int, now: float) -> None:
        """Record the report of an instance."""
        self.reports_by_instance[instance] = TrafficReport(requests, now)

    def total(self, own_requests: int, now: float) -> int | None:
        """Return the requests of the failure domain; None if too few instances have reported.

        Instances that have not, such as another that is followed, count with the mean.
        """
        self.reports_by_instance = {
            name: report
            for name, report in self.reports_by_instance.items()
            if now - report.at < MAX_REPORT_AGE_S
        }
        reporting = len(self.reports_by_instance) + 1
        if reporting == 1 or reporting < self.instance_count * MIN_REPORTING_SHARE:
            return None
        known = own_requests + sum(report.requests for report in self.reports_by_instance.values())
        return math.ceil(known * max(self.instance_count / reporting, 1.0))
