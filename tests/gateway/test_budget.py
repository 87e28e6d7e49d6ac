"""Tests of flamingostack.gateway.budget."""

import random
import unittest

from flamingostack.gateway.budget import ExtraSendBudget

RATIO = 0.2
SLACK = 56
WINDOW_S = 10.0


class BudgetTest(unittest.TestCase):
    """Guards against extra sends beyond the fleet's bound when many targets are slow."""

    def test_fleet_stays_within_the_bound_while_every_request_is_sent_again(self):
        random.seed(3)
        instances = [ExtraSendBudget(RATIO, SLACK, WINDOW_S, -20.0) for _ in range(8)]
        for budget in instances:
            budget.instance_count = 8
        requests, extra_sends = [], []
        now = 0.0
        while now < 60:
            # The request rate falls to a tenth halfway. Budget from before must not be spent then.
            now += random.expovariate(120 if now < 30 else 12)
            budget = random.choice(instances)
            budget.count_request("s", now)
            requests.append(now)
            for _ in range(2):
                if budget.try_spend("s", now):
                    extra_sends.append(now)
        for start in (step / 4 for step in range(0, 200)):
            spent = sum(start <= at < start + WINDOW_S for at in extra_sends)
            seen = sum(start <= at < start + WINDOW_S for at in requests)
            self.assertLessEqual(spent, RATIO * seen + SLACK)
        self.assertGreater(len(extra_sends), 100)

    def test_services_have_budgets_of_their_own(self):
        budget = ExtraSendBudget(RATIO, 0, WINDOW_S, -20.0)
        for _ in range(10):
            budget.count_request("a", 0.0)
        self.assertTrue(budget.try_spend("a", 0.0))
        self.assertFalse(budget.try_spend("b", 0.0))

    def test_new_process_takes_no_slack_for_one_window(self):
        budget = ExtraSendBudget(RATIO, SLACK, WINDOW_S, 0.0)
        budget.instance_count = 1
        self.assertFalse(budget.try_spend("a", 9.9))
        self.assertTrue(budget.try_spend("a", 10.0))

    def test_slack_is_not_taken_while_the_number_of_instances_is_unknown(self):
        budget = ExtraSendBudget(RATIO, SLACK, WINDOW_S, -20.0)
        self.assertFalse(budget.try_spend("a", 0.0))
