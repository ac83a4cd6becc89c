"""Formats load reports as text."""

from kingcupport.standins import load_report

_COUNT_LABELS = (
    ('requests', 'requests'),
    ('answered', 'answered'),
    ('answered_per_s', 'answered a second'),
    ('lost', 'requests lost'),
    ('wrong', 'wrong answers'),
    ('run_twice', 'requests run twice'),
    ('ran_after_not_run', 'ran after "not run"'),
    ('runs_not_read', 'servers without run counts'),
    ('retries', 'retries under the same key'),
    ('connections_opened', 'connections opened'),
    ('connections_broken', 'connections broken'),
    ('connections_ended', 'connections ended in order'),
    ('connect_failures', 'connections refused'),
)


def format_report(report):
    """Return the text lines of a report.

    Args:
        report: Dict from ``LoadReport.to_plain``.
    """
    lines = [f'{label:<28}{report[name]:>10}' for name, label in _COUNT_LABELS]
    lines += [
        f'{"refusals " + outcome:<28}{count:>10}'
        for outcome, count in sorted(report['refusals'].items())
    ]
    lines += [
        f'{"gave up after " + outcome:<28}{count:>10}'
        for outcome, count in sorted(report['final_outcomes'].items())
    ]
    lines += _latency_lines(report['latency_ms'])
    lines += _imbalance_lines(report['imbalance'])
    return lines + [f'error: {text}' for text in report['first_errors']]


def _latency_lines(latency_ms):
    columns = [f'p{p}' for p in load_report.PERCENTILES] + ['max']
    yield f'{"latency in ms":<18}{"count":>9}' + ''.join(
        f'{column:>10}' for column in columns
    )
    for kind, values in latency_ms.items():
        yield f'{kind:<18}{values["count"]:>9}' + ''.join(
            f'{values[column]:>10.1f}' for column in columns
        )


def _imbalance_lines(imbalance):
    yield f'{"max over mean":<18}{"requests":>10}{"busy time":>10}'
    for service, values in imbalance.items():
        yield (
            f'{service:<18}{values["requests"]:>10.3f}'
            f'{values["busy_time"]:>10.3f}'
        )
