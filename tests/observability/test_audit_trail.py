"""Tests that the audit trail keeps events and bounds its memory."""

import logging

from kingcupport.common import clock
from kingcupport.observability import audit_trail


def _make_trail(capacity):
    return audit_trail.AuditTrail(clock.make_system_clock(), capacity)


def test_oldest_events_are_dropped():
    trail = _make_trail(2)
    for revision in (1, 2, 3):
        trail.record('note_accepted', revision=revision)
    assert [e['revision'] for e in trail.events()] == [2, 3]
    assert [e['sequence'] for e in trail.events(2)] == [3]


def test_field_with_a_name_reserved_by_logging(caplog):
    """Regression: a field "name" made the log call raise KeyError."""
    caplog.set_level(logging.INFO)
    trail = _make_trail(2)
    trail.record('withdrawal', name='gate-3')
    assert trail.events()[0]['name'] == 'gate-3'
    assert caplog.records[0].audit_name == 'gate-3'
