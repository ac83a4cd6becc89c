"""Formatter of log lines that are JSON objects."""

import pythonjsonlogger.json

from kingcupport.common import errors
from kingcupport.observability import log

_STANDARD_FIELDS = ('levelname', 'name', 'message')
_RENAMED_FIELDS = {'levelname': 'level', 'name': 'logger', 'message': 'event'}


class JsonLogFormatter(pythonjsonlogger.json.JsonFormatter):
    """Formats an event as one JSON object."""

    def add_fields(self, log_data, record, message_dict):
        """Add the code, reason, step and peer of a KingcupportError."""
        super().add_fields(log_data, record, message_dict)
        time = log_data.pop('time')
        fields = {'time': time.isoformat(timespec='milliseconds'), **log_data}
        log_data.clear()
        log_data.update(fields)
        error = log.find_error(record)
        if isinstance(error, errors.KingcupportError):
            log_data.pop('error', None)
            log_data.update(log.describe_error(error))


def make_json_log_formatter():
    """Return a JsonLogFormatter with the fields of the key=value format."""
    return JsonLogFormatter(
        _STANDARD_FIELDS, rename_fields=_RENAMED_FIELDS, timestamp='time'
    )
