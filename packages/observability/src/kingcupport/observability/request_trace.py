"""Finds the lines that tell what became of a request."""

# Lines of a flow this far from those of the request belong to an earlier or
# later flow of the same client port: clients give up after 5 s at most.
FLOW_KEPT_MS = 10_000
# What a process learned this long before or after may have decided: a change
# is in force within 3 s.
BELIEFS_KEPT_MS = 3_000
_BELIEF_EVENTS = frozenset(
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
    """Return the lines about a request, and about what may have decided it.

    Args:
        identity: Id of the request, or ``ip:port`` of its client when the
            request was never sent.
        lines: LogLine objects of all processes, in any order.

    Returns:
        Two lists of LogLine, each by time: those of the request and its
        flows, and the changes of what the processes believed around them.
    """
    flows = {
        line.fields['flow']
        for line in lines
        if line.fields.get('request') == identity and 'flow' in line.fields
    }
    anchors = [line for line in lines if _is_about(line, identity)]
    if not anchors:
        return [], []
    from_ms = min(line.utc_ms for line in anchors)
    until_ms = max(line.utc_ms for line in anchors)
    own = [
        line
        for line in lines
        if _is_about(line, identity)
        or (
            line.fields.get('flow') in flows
            and line.fields.get('request', identity) == identity
            and _is_near(line, from_ms, until_ms, FLOW_KEPT_MS)
        )
    ]
    beliefs = [
        line
        for line in lines
        if _is_belief(line)
        and _is_near(line, from_ms, until_ms, BELIEFS_KEPT_MS)
    ]
    return _by_time(own), _by_time(beliefs)


def _is_about(line, identity):
    return identity in (line.fields.get('request'), line.fields.get('flow'))


def _is_near(line, from_ms, until_ms, kept_ms):
    return from_ms - kept_ms <= line.utc_ms <= until_ms + kept_ms


def _is_belief(line):
    return line.event in _BELIEF_EVENTS or 'audit_kind' in line.fields


def _by_time(lines):
    return sorted(lines, key=lambda line: line.utc_ms)
