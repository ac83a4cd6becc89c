"""Guards against lines that are missing from a request's trace."""

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


def test_the_lines_of_a_request_and_of_its_flow_by_time():
    own, beliefs = request_trace.trace_request('r1', _LINES)
    assert own == [_PLACED, _DELIVERED, _ANSWERED]
    assert beliefs == []


def test_a_flow_that_no_request_came_by():
    refused = _line(30_000, 'flow reset', flow='c:2', reason='no route')
    own, _ = request_trace.trace_request('c:2', [*_LINES, refused])
    assert own == [refused]


def test_other_requests_and_earlier_flows_of_the_port_are_left_out():
    other = _line(20_020, 'request delivered', flow='c:1', request='r2')
    earlier = _line(
        20_010 - request_trace.FLOW_KEPT_MS - 1, 'flow placed', flow='c:1'
    )
    own, _ = request_trace.trace_request('r1', [*_LINES, other, earlier])
    assert own == [_PLACED, _DELIVERED, _ANSWERED]


def test_what_the_processes_learned_around_it():
    silent = _line(20_030, 'server silent', 'agent-1', reason='x')
    change = _line(18_000, 'audit', audit_kind='server_changed')
    late = _line(
        20_050 + request_trace.BELIEFS_KEPT_MS + 1, 'server silent', 'agent-1'
    )
    _, beliefs = request_trace.trace_request(
        'r1', [*_LINES, silent, change, late]
    )
    assert beliefs == [change, silent]


def test_an_unknown_request():
    assert request_trace.trace_request('r9', _LINES) == ([], [])
