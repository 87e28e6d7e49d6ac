"""Tests of flamingostack.metrics."""

import unittest

from flamingostack.metrics import MAX_LABEL_SETS, Metrics


class MetricsTest(unittest.TestCase):
    """Guards against output that Prometheus rejects, and against unbounded memory for labels."""

    def test_render_has_quantiles_in_seconds(self):
        metrics = Metrics()
        for _ in range(100):
            metrics.record_us("query_seconds", 2000, tenant="a", request_class="b")
        text = metrics.render()
        self.assertIn('query_seconds_count{request_class="b",tenant="a"} 100', text)
        self.assertRegex(text, r'query_seconds\{.*quantile="0.99"\} 0\.002')

    def test_label_values_are_escaped(self):
        metrics = Metrics()
        metrics.count("queries_total", tenant='a"\n')
        self.assertIn('tenant="a\\"\\n"', metrics.render())

    def test_number_of_label_sets_is_bounded(self):
        metrics = Metrics()
        for number in range(MAX_LABEL_SETS * 2):
            metrics.record_us("query_seconds", 10, tenant=str(number))
        self.assertLessEqual(len(metrics.histograms_by_key), MAX_LABEL_SETS + 1)
        self.assertIn('query_seconds_count{overflow="true"}', metrics.render())
