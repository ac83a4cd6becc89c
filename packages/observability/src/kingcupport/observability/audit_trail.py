"""Bounded record of the changes that a process applied or rejected."""

import collections
import logging

import pythonjsonlogger.core

LOG = logging.getLogger(__name__)

DEFAULT_CAPACITY = 1024

_RESERVED_KEYS = frozenset(pythonjsonlogger.core.RESERVED_ATTRS)


class AuditTrail:
    """Keeps the most recent audit events in memory and logs each one.

    Args:
        clock: Clock that timestamps the events.
        capacity: Maximum number of events; the oldest are dropped first.
    """

    def __init__(self, clock, capacity=DEFAULT_CAPACITY):
        self._clock = clock
        self._events = collections.deque(maxlen=capacity)
        self._next_sequence = 1

    def record(self, kind, **fields):
        """Append one event.

        Args:
            kind: Kind of the event, for example ``note_accepted``.
            fields: Text and numeric fields of the event.
        """
        event = {
            'sequence': self._next_sequence,
            'utc_ms': self._clock.utc_ms(),
            'kind': kind,
            **fields,
        }
        self._next_sequence += 1
        self._events.append(event)
        LOG.info('audit', extra={'audit_kind': kind, **_log_fields(fields)})

    def events(self, after_sequence=0):
        """Return the events after a sequence number, oldest first."""
        return [e for e in self._events if e['sequence'] > after_sequence]


def _log_fields(fields):
    # logging raises KeyError for extra keys that are attributes of LogRecord,
    # such as "name" or "module".
    return {
        f'audit_{key}' if key in _RESERVED_KEYS else key: value
        for key, value in fields.items()
    }
