"""Latency quantiles of a service over a sliding window."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

from ..metrics import HIGHEST_US, LOWEST_US, make_histogram

WINDOW_S = 5.0
REFRESH_S = 0.25
# With fewer samples a high quantile is not meaningful.
MIN_SAMPLES = 100
# Recording a value takes 2.3 us in pure Python, a fifth of the cost of a sub-request. Beyond this
# many values in a window only one in SAMPLE_EVERY is recorded, which is enough for a quantile.
FULL_RATE_SAMPLES = 1000
SAMPLE_EVERY = 8


class LatencyWindow:
    """Latencies of the current and the previous window; times in seconds of the loop's clock."""

    __slots__ = ("_current", "_previous", "_rotate_at", "_seen_count", "_quantiles", "_refresh_at")

    def __init__(self, now: float) -> None:
        self._current = make_histogram()
        self._previous = make_histogram()
        self._rotate_at = now + WINDOW_S
        self._seen_count = 0
        self._quantiles: dict[float, float | None] = {}
        self._refresh_at = now

    def record(self, seconds: float) -> None:
        """Add one latency in seconds."""
        self._seen_count += 1
        if self._seen_count > FULL_RATE_SAMPLES and self._seen_count % SAMPLE_EVERY:
            return
        value = int(seconds * 1e6)
        self._current.record_value(min(max(value, LOWEST_US), HIGHEST_US))

    def quantile(self, percent: float, now: float) -> float | None:
        """Return a percentile of the latency in seconds, or None if there are too few samples.

        Results are cached for `REFRESH_S`.
        """
        if now >= self._refresh_at:
            self._refresh(now)
        if percent not in self._quantiles:
            self._quantiles[percent] = self._compute_quantile(percent)
        return self._quantiles[percent]

    def _refresh(self, now: float) -> None:
        self._quantiles.clear()
        self._refresh_at = now + REFRESH_S
        if now < self._rotate_at:
            return
        is_stale = now >= self._rotate_at + WINDOW_S
        self._previous = make_histogram() if is_stale else self._current
        self._current = make_histogram()
        self._rotate_at = now + WINDOW_S
        self._seen_count = 0

    def _compute_quantile(self, percent: float) -> float | None:
        merged: HdrHistogram = make_histogram()
        merged.add(self._previous)
        merged.add(self._current)
        if merged.get_total_count() < MIN_SAMPLES:
            return None
        return merged.get_value_at_percentile(percent) / 1e6
