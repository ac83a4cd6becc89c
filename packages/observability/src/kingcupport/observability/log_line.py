"""Parser of log lines."""

import datetime
import json
import re

import attrs

_PAIR = re.compile(r'([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)(?:\s+|$)')


@attrs.frozen
class LogLine:
    """One parsed line of a log.

    Args:
        source: Name of the log file.
        utc_ms: Time of the event on the clock of the logging process.
        event: Name of the event.
        fields: The other fields by name, in order, as text.
    """

    source: str
    utc_ms: int
    event: str
    fields: dict


def parse_log_line(text, source):
    """Parse one line in either log format.

    Args:
        text: The line.
        source: Name of the log file.

    Returns:
        A LogLine, or None for text that is not a log line, such as part of a
        traceback.
    """
    fields = _parse_json(text) if text.startswith('{') else _parse_pairs(text)
    try:
        time = datetime.datetime.fromisoformat(fields.pop('time'))
        event = fields.pop('event')
    except (KeyError, ValueError):
        return None
    return LogLine(source, round(time.timestamp() * 1000), event, fields)


def _parse_json(text):
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        return {}
    return {
        key: value if isinstance(value, str) else json.dumps(value)
        for key, value in document.items()
    }


def _parse_pairs(text):
    fields = {}
    position = 0
    while position < len(text):
        pair = _PAIR.match(text, position)
        if pair is None:
            return {}
        key, value = pair.groups()
        fields[key] = _unquote(value)
        position = pair.end()
    return fields


def _unquote(value):
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value
