"""Selects the log lines that explain the outcome of a request."""

# Lines of a flow that are further from the request belong to another flow of
# the same client port: clients give up after 5 s at most.
FLOW_WINDOW_MS = 10_000
# State changes within this time of the request may have affected it: a change
# takes effect within 3 s.
STATE_CHANGE_WINDOW_MS = 3_000
_STATE_CHANGE_EVENTS = frozenset(
    {
        'agent changed',
        'balancer lost',
        'balancer met',
        'process started',
        'server silent',
        'settings reloaded',
        'stopped',
        'stopping',
        'store lost',
        'store lost its history',
        'store regained',
    }
)


def trace_request(identity, lines):
    """Return the log lines of a request and the state changes around it.

    Args:
        identity: Id of the request, or ``ip:port`` of its client if the
            request was never sent.
        lines: LogLine objects of all processes, in any order.

    Returns:
        Two lists of LogLine, each sorted by time: the lines of the request
        and its flows, and the state changes that the processes logged at
        about that time.
    """
    flows = {
        line.fields['flow']
        for line in lines
        if line.fields.get('request') == identity and 'flow' in line.fields
    }
    direct_lines = [line for line in lines if _mentions(line, identity)]
    if not direct_lines:
        return [], []
    from_ms = min(line.utc_ms for line in direct_lines)
    until_ms = max(line.utc_ms for line in direct_lines)
    request_lines = [
        line
        for line in lines
        if _mentions(line, identity)
        or (
            line.fields.get('flow') in flows
            and line.fields.get('request', identity) == identity
            and _is_within(line, from_ms, until_ms, FLOW_WINDOW_MS)
        )
    ]
    state_changes = [
        line
        for line in lines
        if _is_state_change(line)
        and _is_within(line, from_ms, until_ms, STATE_CHANGE_WINDOW_MS)
    ]
    return _sort_by_time(request_lines), _sort_by_time(state_changes)


def _mentions(line, identity):
    return identity in (line.fields.get('request'), line.fields.get('flow'))


def _is_within(line, from_ms, until_ms, window_ms):
    return from_ms - window_ms <= line.utc_ms <= until_ms + window_ms


def _is_state_change(line):
    return line.event in _STATE_CHANGE_EVENTS or 'audit_kind' in line.fields


def _sort_by_time(lines):
    return sorted(lines, key=lambda line: line.utc_ms)
