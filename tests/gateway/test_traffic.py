"""Tests of flamingostack.gateway.traffic."""

import unittest

from flamingostack.gateway.traffic import MAX_REPORT_AGE_S, DomainTraffic


class DomainTrafficTest(unittest.TestCase):
    """Guards against a total that is too low, which would make all shares of the budget too large.

    An instance that has just become a reader, or most of whose followers were killed, does not know
    the requests of its failure domain.
    """

    def make_traffic(self, reporting: int) -> DomainTraffic:
        traffic = DomainTraffic()
        traffic.instance_count = 10
        for number in range(reporting):
            traffic.record(f"front-a-{number}", 5, 0.0)
        return traffic

    def test_total_needs_reports_of_most_instances(self):
        for reporting in (0, 1, 6):
            self.assertIsNone(self.make_traffic(reporting).total(7, 0.0), reporting)
        self.assertEqual(self.make_traffic(9).total(7, 0.0), 7 + 9 * 5)
        # Eight of ten have reported 42 requests.
        self.assertEqual(self.make_traffic(7).total(7, 0.0), 53)

    def test_old_reports_are_dropped(self):
        traffic = self.make_traffic(9)
        self.assertIsNone(traffic.total(7, MAX_REPORT_AGE_S))
        self.assertEqual(traffic.reports_by_instance, {})

    def test_instance_without_followers_knows_no_total(self):
        self.assertIsNone(DomainTraffic().total(7, 0.0))
