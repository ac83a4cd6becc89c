"""Reads the lines that a process has logged."""

import datetime
import json
import re

import attrs

_PAIR = re.compile(r'([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)(?:\s+|$)')


@attrs.frozen
class LogLine:
    """One line of a log.

    Args:
        source: Name of the file that it comes from.
        utc_ms: When it was written, by the clock of its process.
        event: What happened.
        fields: The other fields, in order, as text.
    """

    source: str
    utc_ms: int
    event: str
    fields: dict


def parse_log_line(text, source):
    """Read one line in either format of the log.

    Args:
        text: The line.
        source: Name of the file that it comes from.

    Returns:
        A LogLine, or None for a line of another kind, such as one of a
        traceback.
    """
    fields = _read_json(text) if text.startswith('{') else _read_pairs(text)
    try:
        time = datetime.datetime.fromisoformat(fields.pop('time'))
        event = fields.pop('event')
    except (KeyError, ValueError):
        return None
    return LogLine(source, round(time.timestamp() * 1000), event, fields)


def _read_json(text):
    try:
        plain = json.loads(text)
    except (ValueError, RecursionError):
        return {}
    return {
        key: value if isinstance(value, str) else json.dumps(value)
        for key, value in plain.items()
    }


def _read_pairs(text):
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
