"""Structured logging: one line per event, as key=value pairs or JSON."""

import datetime
import json
import logging
import re
import sys

import gevent

from kingcupport.common import errors

LOG = logging.getLogger(__name__)

# Used by processes that have no LogSettings.
DEFAULT_LEVEL = 'info'
DEFAULT_FORMAT = 'key_value'

# Attributes of every LogRecord; further ones come from a call's ``extra``.
RECORD_ATTRIBUTES = frozenset(
    (*vars(logging.makeLogRecord({})), 'message', 'asctime', 'taskName')
)
_NEEDS_QUOTES = re.compile(r'[\s"=\\]')


def configure_logging(settings=None, stream=None):
    """Send all log events to one stream, one line each.

    The items of a call's ``extra`` become fields. A KingcupportError passed as
    ``extra={'error': error}`` or as ``exc_info`` adds the fields ``code``,
    ``reason``, ``step`` and ``peer``. Uncaught errors of gevent tasks and
    Python warnings are logged the same way.

    Args:
        settings: LogSettings; level info and key=value pairs by default.
        stream: Text stream that is written to; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        _make_formatter(settings.format if settings else DEFAULT_FORMAT)
    )
    root = logging.getLogger()
    for previous in root.handlers[:]:
        root.removeHandler(previous)
    root.addHandler(handler)
    root.setLevel((settings.level if settings else DEFAULT_LEVEL).upper())
    logging.captureWarnings(True)
    gevent.get_hub().print_exception = _log_task_error


def _make_formatter(format_name):
    if format_name == 'json':
        # Imported here because its imports would delay the start of programs
        # that write key=value pairs.
        from kingcupport.observability import json_log_formatter

        return json_log_formatter.make_json_log_formatter()
    return _KeyValueFormatter()


def _log_task_error(context, error_type, error, traceback):
    LOG.error(
        'task failed',
        extra={'task': repr(context)},
        exc_info=(error_type, error, traceback),
    )


class _KeyValueFormatter(logging.Formatter):
    """Formats an event as space-separated key=value pairs.

    Writes the same fields in the same order as JsonLogFormatter. Lines are
    written several times per request, so it does without the library's
    general field handling, which takes four times as long.
    """

    def format(self, record):
        utc = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        fields = {
            # The time is the first field, so that lines sort as text.
            'time': utc.isoformat(timespec='milliseconds'),
            'level': record.levelname,
            'logger': record.name,
            'event': record.getMessage(),
        }
        if record.exc_info:
            fields['exc_info'] = self.formatException(record.exc_info)
        elif record.exc_text:
            fields['exc_info'] = record.exc_text
        if record.stack_info:
            fields['stack_info'] = self.formatStack(record.stack_info)
        for key, value in record.__dict__.items():
            if (
                key not in RECORD_ATTRIBUTES
                and key != 'time'
                and not key.startswith('_')
            ):
                fields[key] = value
        error = find_error(record)
        if isinstance(error, errors.KingcupportError):
            fields.pop('error', None)
            fields.update(describe_error(error))
        return ' '.join(
            [f'{key}={_format_value(value)}' for key, value in fields.items()]
        )


def find_error(record):
    """Return the error that a LogRecord is about, or None."""
    if 'error' in record.__dict__:
        return record.error
    return record.exc_info[1] if record.exc_info else None


def describe_error(error):
    """Return the log fields of a KingcupportError."""
    fields = {'code': error.code, 'reason': error.reason, 'step': error.step}
    if error.peer is not None:
        fields['peer'] = str(error.peer)
    return fields


def _format_value(value):
    if type(value) is int:
        return str(value)
    if isinstance(value, str):
        text = value
    elif isinstance(value, (dict, list, tuple, bool)) or value is None:
        text = json.dumps(value, default=str, separators=(',', ':'))
    else:
        text = str(value)
    if text and text.isprintable() and not _NEEDS_QUOTES.search(text):
        return text
    # Escape control and line separator characters, which would otherwise
    # split the line.
    return json.dumps(text, ensure_ascii=not text.isprintable())
