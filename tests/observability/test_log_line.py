"""Tests that written log lines are parsed without loss."""

import io
import logging

from hypothesis import given
from hypothesis import strategies
import pytest

from kingcupport.observability import log
from kingcupport.observability import log_line
from kingcupport.observability import log_settings

_VALUES = strategies.one_of(
    strategies.text(max_size=20),
    strategies.integers(-(10**6), 10**6).map(str),
)


def _write(format_name, fields, event='flow placed'):
    stream = io.StringIO()
    root = logging.getLogger()
    previous = root.handlers[:], root.level
    log.configure_logging(
        log_settings.LogSettings('info', format_name), stream
    )
    try:
        logging.getLogger('test').info(event, extra=fields)
    finally:
        root.handlers[:], _ = previous
        root.setLevel(previous[1])
    return stream.getvalue()


@pytest.mark.parametrize('format_name', ['key_value', 'json'])
def test_written_line_is_parsed(format_name):
    text = _write(
        format_name, {'flow': '100.64.0.1:7', 'reason': 'say "no"', 'n': 3}
    )
    line = log_line.parse_log_line(text.strip(), 'balancer')
    assert line.source == 'balancer'
    assert line.event == 'flow placed'
    assert line.fields['flow'] == '100.64.0.1:7'
    assert line.fields['reason'] == 'say "no"'
    assert line.fields['n'] == '3'


@given(reason=_VALUES)
def test_field_values_round_trip(reason):
    text = _write('key_value', {'reason': reason})
    assert text.count('\n') == 1
    line = log_line.parse_log_line(text.rstrip('\n'), 'balancer')
    assert line.fields['reason'] == reason


@given(text=strategies.text(max_size=60))
def test_arbitrary_text_is_parsed_or_ignored(text):
    line = log_line.parse_log_line(text, 'balancer')
    assert line is None or line.event


@pytest.mark.parametrize(
    'text',
    [
        '',
        'Traceback (most recent call last):',
        'time=yesterday event=x',
        'time=2026-12-04T11:12:58.345+00:00 flow=x',
        '{"time": 3}',
        '{"time"',
        '[]',
    ],
)
def test_text_that_is_not_a_log_line_is_ignored(text):
    assert log_line.parse_log_line(text, 'balancer') is None
