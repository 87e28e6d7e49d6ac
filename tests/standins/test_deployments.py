"""Tests of standins.deployments and the examples of both users."""

import unittest

from flamingostack.errors import Failure
from flamingostack.presets import parse_preset
from flamingostack.settings import load_settings
from standins.deployments import (
    DEPLOYMENTS_BY_NAME,
    DUMALAGAN,
    EXAMPLES,
    PRESETS,
    make_index,
    make_snapshot,
)


class ExamplesTest(unittest.TestCase):
    """Guards against example files that the product rejects or that do not fit the deployments."""

    def test_presets_are_valid_and_fit_their_deployment(self):
        for deployment in DEPLOYMENTS_BY_NAME.values():
            expected = {**deployment.query_classes, **deployment.submit_classes}
            for name in PRESETS:
                preset = parse_preset(deployment.preset_text(name), source=name)
                self.assertNotIsInstance(preset, Failure, preset)
                self.assertEqual(preset.name, name)
                services = {key: policy.service for key, policy in preset.classes.items()}
                self.assertEqual(services, expected)
                for key, policy in preset.classes.items():
                    self.assertEqual(policy.repeatable, key not in deployment.submit_classes)
                    self.assertLessEqual(policy.deadline_ms, 2000)

    def test_settings_are_valid(self):
        for name, deployment in DEPLOYMENTS_BY_NAME.items():
            settings = load_settings(EXAMPLES / name / "instance.toml")
            self.assertNotIsInstance(settings, Failure, settings)
            self.assertEqual(
                tuple(settings.fleet.failure_domains),
                deployment.failure_domains,
            )


class IndexTest(unittest.TestCase):
    """Guards against index maps with gaps, and replicas that share a failure domain."""

    def test_ranges_cover_the_keyspace_once(self):
        for deployment in DEPLOYMENTS_BY_NAME.values():
            for service in deployment.services:
                for shift in (0, 100, -100):
                    snapshot = make_snapshot(service, "s2", shift)
                    position = 0
                    for key_range in snapshot.ranges:
                        self.assertEqual(key_range.low, position)
                        self.assertGreater(key_range.high, key_range.low)
                        position = key_range.high
                    self.assertEqual(position, service.keyspace)

    def test_replicas_lie_in_different_failure_domains(self):
        for deployment in DEPLOYMENTS_BY_NAME.values():
            for service in deployment.services:
                ids = [
                    service.target_id(group, replica)
                    for group in range(service.groups)
                    for replica in range(service.replicas)
                ]
                addresses = dict.fromkeys(ids, "127.0.0.1:1")
                snapshot = make_snapshot(service, "s1")
                index = make_index(deployment, service, addresses, [snapshot])
                domains = {target.id: target.failure_domain for target in index.targets}
                self.assertEqual(set(domains), set(ids))
                for key_range in snapshot.ranges:
                    used = {domains[target] for target in key_range.targets}
                    self.assertEqual(len(used), min(service.replicas, 3))

    def test_full_size_is_the_users_size(self):
        sizes = {item.name: item.groups * item.replicas for item in DUMALAGAN.services}
        self.assertEqual(sizes, {"enquiry": 30, "booking": 45, "portal": 10, "meter": 5})
