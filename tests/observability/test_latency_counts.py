"""Guards the counts of durations and the histograms made of them."""

from hypothesis import given
from hypothesis import strategies

from kingcupport.observability import latency_counts
from kingcupport.observability import metrics as metrics_module

BOUNDS_MS = latency_counts.BOUNDS_MS


def test_a_duration_counts_within_the_least_bound_that_holds_it():
    counts = latency_counts.LatencyCounts()
    for duration_ms in (0, 1, 1.5, 2, BOUNDS_MS[-1] + 1):
        counts.add(duration_ms)
    assert counts.counts[:2] == [2, 2]
    assert counts.counts[-1] == 1
    assert counts.total_ms == 4.5 + BOUNDS_MS[-1] + 1


@given(strategies.lists(strategies.floats(0, 10_000), max_size=50))
def test_the_histogram_holds_what_was_counted(durations_ms):
    latencies = latency_counts.make_latency_counts(('answer_ms',))
    metrics = metrics_module.make_metrics('agent')
    metrics.mirror_latencies(latencies)
    for duration_ms in durations_ms:
        latencies['answer_ms'].add(duration_ms)
    values = _read(metrics.render())
    name = 'kingcupport_agent_answer_ms'
    for bound_ms in BOUNDS_MS:
        within = sum(d <= bound_ms for d in durations_ms)
        assert values[f'{name}_bucket{{le="{float(bound_ms)}"}}'] == within
    assert values[f'{name}_bucket{{le="+Inf"}}'] == len(durations_ms)
    assert values[f'{name}_count'] == len(durations_ms)
    assert abs(values[f'{name}_sum'] - sum(durations_ms)) < 0.01


def _read(content):
    lines = content.decode().splitlines()
    pairs = (li.rsplit(' ', 1) for li in lines if not li.startswith('#'))
    return {name: float(value) for name, value in pairs}
