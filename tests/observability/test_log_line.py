"""Guards against log lines that the reader loses or misreads."""

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


def _write(form, fields, event='flow placed'):
    stream = io.StringIO()
    root = logging.getLogger()
    before = root.handlers[:], root.level
    log.configure_logging(log_settings.LogSettings('info', form), stream)
    try:
        logging.getLogger('test').info(event, extra=fields)
    finally:
        root.handlers[:], _ = before
        root.setLevel(before[1])
    return stream.getvalue()


@pytest.mark.parametrize('form', ['key_value', 'json'])
def test_a_line_is_read_as_it_was_written(form):
    text = _write(form, {'flow': '100.64.0.1:7', 'reason': 'say "no"', 'n': 3})
    line = log_line.parse_log_line(text.strip(), 'balancer')
    assert line.source == 'balancer'
    assert line.event == 'flow placed'
    assert line.fields['flow'] == '100.64.0.1:7'
    assert line.fields['reason'] == 'say "no"'
    assert line.fields['n'] == '3'


@given(reason=_VALUES)
def test_any_text_comes_back(reason):
    text = _write('key_value', {'reason': reason})
    assert text.count('\n') == 1
    line = log_line.parse_log_line(text.rstrip('\n'), 'balancer')
    assert line.fields['reason'] == reason


@given(text=strategies.text(max_size=60))
def test_other_lines_are_left_out(text):
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
def test_lines_that_are_none(text):
    assert log_line.parse_log_line(text, 'balancer') is None
