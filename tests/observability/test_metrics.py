"""Tests that metrics are rendered in a format that scrapers can read."""

import pytest

from kingcupport.observability import metrics as metrics_module


@pytest.fixture
def metrics():
    metrics = metrics_module.make_metrics('balancer')
    metrics.add_counter('packets_total', 'Packets received.')
    metrics.add_gauge('revision', 'Revision in force.')
    return metrics


def test_rendering(metrics):
    metrics.count('packets_total', service='gate')
    metrics.count('packets_total', 2, service='gate')
    metrics.set_gauge('revision', 7)
    assert metrics.render().decode() == (
        '# HELP kingcupport_balancer_packets_total Packets received.\n'
        '# TYPE kingcupport_balancer_packets_total counter\n'
        'kingcupport_balancer_packets_total{service="gate"} 3\n'
        '# HELP kingcupport_balancer_revision Revision in force.\n'
        '# TYPE kingcupport_balancer_revision gauge\n'
        'kingcupport_balancer_revision 7\n'
    )


def test_label_values_are_escaped(metrics):
    """An unescaped quote would end the label value early."""
    metrics.count('packets_total', service='a"b\\c\nd')
    assert b'{service="a\\"b\\\\c\\nd"} 1\n' in metrics.render()


def test_externally_maintained_totals_are_read_on_rendering(metrics):
    total = 0
    metrics.before_render(lambda: metrics.set_total('packets_total', total))
    total = 41
    assert b'packets_total 41\n' in metrics.render()


def test_value(metrics):
    assert metrics.value('packets_total') == 0
    metrics.count('packets_total')
    assert metrics.value('packets_total') == 1


def test_invalid_use_raises(metrics):
    with pytest.raises(KeyError):
        metrics.count('undeclared_total')
    with pytest.raises(KeyError):
        metrics.value('undeclared_total')
    with pytest.raises(ValueError):
        metrics.count('packets_total', -1)
    with pytest.raises(TypeError):
        metrics.set_gauge('packets_total', 1)
    with pytest.raises(TypeError):
        metrics.set_total('revision', 1)


def test_metrics_objects_are_independent(metrics):
    other = metrics_module.make_metrics('balancer')
    other.add_counter('packets_total', 'Packets received.')
    metrics.count('packets_total')
    assert other.value('packets_total') == 0
