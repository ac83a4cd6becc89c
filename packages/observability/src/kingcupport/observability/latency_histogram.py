"""Histogram buckets of durations, counted without the metrics library."""

import bisect

import attrs

# Covers one hop between two instances up to the time budget of a request.
BUCKET_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000)


@attrs.define(eq=False)
class LatencyHistogram:
    """Number of durations in each histogram bucket.

    The metrics library takes 2 MB and is loaded only when metrics are read;
    ``Metrics.register_latencies`` builds its histograms from these counts.

    Args:
        counts: Number of durations for each upper bound, not cumulative; the
            last entry counts those above all bounds.
        total_ms: Sum of all durations.
    """

    counts: list = attrs.field(
        factory=lambda: [0] * (len(BUCKET_BOUNDS_MS) + 1)
    )
    total_ms: float = 0.0

    def add(self, duration_ms):
        """Add a duration to its bucket."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_MS, duration_ms)] += 1
        self.total_ms += duration_ms


def make_latency_histograms(names):
    """Return empty LatencyHistogram by name.

    Args:
        names: Names of the metrics.
    """
    return {name: LatencyHistogram() for name in names}
