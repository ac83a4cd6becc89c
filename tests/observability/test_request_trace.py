"""Tests that the trace of a request contains all relevant lines."""

from kingcupport.observability import log_line
from kingcupport.observability import request_trace


def _line(utc_ms, event, source='balancer-1', **fields):
    return log_line.LogLine(source, utc_ms, event, fields)


_PLACED = _line(20_000, 'flow placed', flow='c:1', server='s-1')
_DELIVERED = _line(
    20_010, 'request delivered', 'agent-1', flow='c:1', request='r1'
)
_ANSWERED = _line(
    20_050, 'request answered', 'agent-1', flow='c:1', request='r1'
)
_LINES = [_ANSWERED, _DELIVERED, _PLACED]


def test_lines_of_a_request_and_its_flow_are_sorted_by_time():
    request_lines, state_changes = request_trace.trace_request('r1', _LINES)
    assert request_lines == [_PLACED, _DELIVERED, _ANSWERED]
    assert state_changes == []


def test_flow_without_a_request():
    refused = _line(30_000, 'flow reset', flow='c:2', reason='no route')
    request_lines, _ = request_trace.trace_request('c:2', [*_LINES, refused])
    assert request_lines == [refused]


def test_other_requests_and_earlier_flows_are_excluded():
    other = _line(20_020, 'request delivered', flow='c:1', request='r2')
    earlier = _line(
        20_010 - request_trace.FLOW_WINDOW_MS - 1, 'flow placed', flow='c:1'
    )
    request_lines, _ = request_trace.trace_request(
        'r1', [*_LINES, other, earlier]
    )
    assert request_lines == [_PLACED, _DELIVERED, _ANSWERED]


def test_state_changes_near_the_request_are_included():
    silent = _line(20_030, 'server silent', 'agent-1', reason='x')
    change = _line(18_000, 'audit', audit_kind='server_changed')
    late = _line(
        20_050 + request_trace.STATE_CHANGE_WINDOW_MS + 1,
        'server silent',
        'agent-1',
    )
    _, state_changes = request_trace.trace_request(
        'r1', [*_LINES, silent, change, late]
    )
    assert state_changes == [change, silent]


def test_unknown_request():
    assert request_trace.trace_request('r9', _LINES) == ([], [])
