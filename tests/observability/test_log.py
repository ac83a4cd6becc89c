"""Tests that log lines can be parsed and include the cause of errors."""

import io
import json
import logging

import gevent
import pytest
import pythonjsonlogger.core

from kingcupport.common import errors
from kingcupport.observability import log
from kingcupport.observability import log_line
from kingcupport.observability import log_settings

LOG = logging.getLogger('kingcupport.test')


class _SampleError(errors.KingcupportError):
    code = 'sample'


@pytest.fixture
def stream():
    root = logging.getLogger()
    hub = gevent.get_hub()
    previous = (root.handlers[:], root.level, hub.print_exception)
    yield io.StringIO()
    root.handlers[:], level, hub.print_exception = previous
    root.setLevel(level)
    logging.captureWarnings(False)


def _lines(stream):
    return stream.getvalue().splitlines()


def test_extra_fields_become_keys(stream):
    log.configure_logging(stream=stream)
    LOG.info('note accepted', extra={'revision': 7, 'origin': 'service'})
    (line,) = _lines(stream)
    assert line.startswith('time=20')
    assert line.endswith(
        ' level=INFO logger=kingcupport.test event="note accepted" '
        'revision=7 origin=service'
    )


@pytest.mark.parametrize(
    ('value', 'written'),
    [
        ('plain', 'plain'),
        ('', '""'),
        ('a b', '"a b"'),
        ('a=b', '"a=b"'),
        ('say "x"', r'"say \"x\""'),
        ('two\nlines', r'"two\nlines"'),
        ('line\u2028separator', r'"line\u2028separator"'),
        ('Thiès', 'Thiès'),
        (None, 'null'),
        (True, 'true'),
        (1.5, '1.5'),
        (['a', 1], r'"[\"a\",1]"'),
    ],
)
def test_values_are_quoted_when_needed(stream, value, written):
    log.configure_logging(stream=stream)
    LOG.info('event', extra={'key': value})
    assert stream.getvalue().endswith(f' key={written}\n')
    assert len(_lines(stream)) == 1


def test_errors_add_code_step_and_peer(stream):
    log.configure_logging(stream=stream)
    error = _SampleError('no reply', step='ask_peer', peer='agent-3')
    LOG.warning('peer failed', extra={'error': error})
    assert stream.getvalue().endswith(
        ' code=sample reason="no reply" step=ask_peer peer=agent-3\n'
    )


def test_traceback_stays_on_one_line(stream):
    log.configure_logging(stream=stream)
    try:
        raise _SampleError('no reply', step='ask_peer')
    except _SampleError:
        LOG.exception('failed')
    (line,) = _lines(stream)
    assert 'Traceback' in line
    assert ' code=sample' in line


def test_error_of_a_task_is_one_line(stream):
    log.configure_logging(stream=stream)

    def fail():
        raise ValueError('bad\nvalue')

    gevent.spawn(fail).join()
    (line,) = _lines(stream)
    assert 'level=ERROR' in line
    assert 'event="task failed"' in line
    assert 'ValueError' in line


def test_json(stream):
    settings = log_settings.LogSettings(format='json')
    log.configure_logging(settings, stream)
    error = _SampleError('no reply', step='ask_peer', peer='agent-3')
    LOG.info('event', extra={'revision': 7, 'error': error})
    fields = json.loads(stream.getvalue())
    fields.pop('time')
    assert fields == {
        'level': 'INFO',
        'logger': 'kingcupport.test',
        'event': 'event',
        'revision': 7,
        'code': 'sample',
        'reason': 'no reply',
        'step': 'ask_peer',
        'peer': 'agent-3',
    }


def test_level(stream):
    log.configure_logging(log_settings.LogSettings(level='warning'), stream)
    LOG.info('too detailed')
    LOG.warning('written')
    (line,) = _lines(stream)
    assert 'event=written' in line


def test_both_formats_write_the_same_fields_in_the_same_order(stream):
    """Guards against fields that only one of the formatters writes."""
    text = io.StringIO()
    handlers = {
        'key_value': stream,
        'json': text,
    }
    for name, target in handlers.items():
        log.configure_logging(log_settings.LogSettings(format=name), target)
        error = _SampleError('no reply', step='ask_peer')
        LOG.error(
            'request of %s failed',
            'c',
            extra={'error': error, 'time': 1, 'running': 2, 'reset': True},
            exc_info=error,
            stack_info=True,
        )
        LOG.info('event', extra={'error': 'text', 'status': None})
    for written, reference in zip(_lines(stream), _lines(text), strict=True):
        expected = json.loads(reference)
        parsed = log_line.parse_log_line(written, 'test.log')
        assert parsed.event == expected.pop('event')
        assert written.startswith('time=20')
        expected.pop('time')
        assert list(parsed.fields) == list(expected)
        for key in set(expected) - {'exc_info', 'stack_info'}:
            assert parsed.fields[key] in (
                expected[key],
                json.dumps(expected[key]),
            )


def test_all_attributes_of_a_record_are_excluded():
    """Guards against attributes of a LogRecord that become log fields."""
    reserved = set(pythonjsonlogger.core.RESERVED_ATTRS)
    assert reserved <= log.RECORD_ATTRIBUTES
