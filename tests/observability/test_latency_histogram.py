"""Tests the counts of durations and their export as histograms."""

from hypothesis import given
from hypothesis import strategies

from kingcupport.observability import latency_histogram
from kingcupport.observability import metrics as metrics_module

BUCKET_BOUNDS_MS = latency_histogram.BUCKET_BOUNDS_MS


def test_duration_is_counted_in_the_lowest_matching_bucket():
    counts = latency_histogram.LatencyHistogram()
    for duration_ms in (0, 1, 1.5, 2, BUCKET_BOUNDS_MS[-1] + 1):
        counts.add(duration_ms)
    assert counts.counts[:2] == [2, 2]
    assert counts.counts[-1] == 1
    assert counts.total_ms == 4.5 + BUCKET_BOUNDS_MS[-1] + 1


@given(strategies.lists(strategies.floats(0, 10_000), max_size=50))
def test_exported_histogram_matches_the_counts(durations_ms):
    latencies = latency_histogram.make_latency_histograms(('answer_ms',))
    metrics = metrics_module.make_metrics('agent')
    metrics.register_latencies(latencies)
    for duration_ms in durations_ms:
        latencies['answer_ms'].add(duration_ms)
    values = _parse_metrics(metrics.render())
    name = 'kingcupport_agent_answer_ms'
    for bound_ms in BUCKET_BOUNDS_MS:
        expected = sum(d <= bound_ms for d in durations_ms)
        assert values[f'{name}_bucket{{le="{float(bound_ms)}"}}'] == expected
    assert values[f'{name}_bucket{{le="+Inf"}}'] == len(durations_ms)
    assert values[f'{name}_count'] == len(durations_ms)
    assert abs(values[f'{name}_sum'] - sum(durations_ms)) < 0.01


def _parse_metrics(content):
    lines = content.decode().splitlines()
    pairs = (li.rsplit(' ', 1) for li in lines if not li.startswith('#'))
    return {name: float(value) for name, value in pairs}
