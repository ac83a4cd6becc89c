"""Counts of durations that a process keeps until its metrics are read."""

import bisect

import attrs

# From the hop between two instances to the time budget of a request.
BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000)


@attrs.define(eq=False)
class LatencyCounts:
    """How many durations were within each bound.

    The library of the metrics takes 2 MB and is loaded when metrics are read
    only; ``Metrics.mirror_latencies`` makes its histograms of these counts.

    Args:
        counts: Number of durations by the least bound that holds them; the
            last is for those beyond all bounds.
        total_ms: Sum of all durations.
    """

    counts: list = attrs.field(factory=lambda: [0] * (len(BOUNDS_MS) + 1))
    total_ms: float = 0.0

    def add(self, duration_ms):
        """Count a duration."""
        self.counts[bisect.bisect_left(BOUNDS_MS, duration_ms)] += 1
        self.total_ms += duration_ms


def make_latency_counts(names):
    """Return empty LatencyCounts by name.

    Args:
        names: Names of the metrics.
    """
    return {name: LatencyCounts() for name in names}
