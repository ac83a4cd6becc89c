"""Structured logging: one line per event, as key=value pairs or JSON."""

import json
import logging
import re
import sys

import gevent
import pythonjsonlogger.core
import pythonjsonlogger.json

from kingcupport.common import errors

LOG = logging.getLogger(__name__)

# Used by processes that have no LogSettings.
DEFAULT_LEVEL = 'info'
DEFAULT_FORMAT = 'key_value'

_STANDARD_FIELDS = ('levelname', 'name', 'message')
_RENAMED_FIELDS = {'levelname': 'level', 'name': 'logger', 'message': 'event'}
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
    formatter_class = (
        _JsonFormatter if format_name == 'json' else _KeyValueFormatter
    )
    return formatter_class(
        _STANDARD_FIELDS, rename_fields=_RENAMED_FIELDS, timestamp='time'
    )


def _log_task_error(context, error_type, error, traceback):
    LOG.error(
        'task failed',
        extra={'task': repr(context)},
        exc_info=(error_type, error, traceback),
    )


class _ErrorFieldsMixin:
    """Adds the code, reason, step and peer of a KingcupportError."""

    def add_fields(self, log_data, record, message_dict):
        super().add_fields(log_data, record, message_dict)
        time = log_data.pop('time')
        # The time is the first field, so that lines sort as text.
        fields = {'time': time.isoformat(timespec='milliseconds'), **log_data}
        log_data.clear()
        log_data.update(fields)
        error = _find_error(record)
        if isinstance(error, errors.KingcupportError):
            log_data.pop('error', None)
            log_data.update(_describe_error(error))


def _find_error(record):
    if 'error' in record.__dict__:
        return record.error
    return record.exc_info[1] if record.exc_info else None


def _describe_error(error):
    fields = {'code': error.code, 'reason': error.reason, 'step': error.step}
    if error.peer is not None:
        fields['peer'] = str(error.peer)
    return fields


class _JsonFormatter(_ErrorFieldsMixin, pythonjsonlogger.json.JsonFormatter):
    """Formats an event as one JSON object."""


class _KeyValueFormatter(
    _ErrorFieldsMixin, pythonjsonlogger.core.BaseJsonFormatter
):
    """Formats an event as space-separated key=value pairs."""

    def jsonify_log_record(self, log_data):
        return ' '.join(
            f'{key}={_format_value(value)}' for key, value in log_data.items()
        )


def _format_value(value):
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
