"""Converts between ConnectionState and Handoff messages."""

from kingcupport.connections import connection_identity
from kingcupport.connections import connection_state
from kingcupport.connections import output_stream
from kingcupport.connections import pending_request
from kingcupport.requests import request as request_module
from kingcupport.wire import errors
from kingcupport.wire import handoff_messages

_PENDING_TYPES = (str, str, str, list, bytes, str, int, str, bool)
_HEADERS_INDEX = 3
_HEADER_TYPES = (bytes, bytes)
_IDENTITY_TYPES = (int, int, str, str, str)


def message_from_state(state, sender, revision, handoff_id, now_ms):
    """Return the Handoff for a frozen connection.

    Args:
        state: ConnectionState.
        sender: Name of this agent.
        revision: Revision in force on this agent.
        handoff_id: Unique id of the handoff.
        now_ms: Monotonic time in ms; deadlines are sent as remaining times.
    """
    identity = state.identity
    return handoff_messages.Handoff(
        sender=sender,
        revision=revision,
        handoff_id=handoff_id,
        identity=[
            identity.connection_id,
            identity.stream_id,
            identity.caller_address,
            identity.service_address,
            identity.return_address,
        ],
        input_offset=state.input_offset,
        input_ended=state.input_ended,
        closing=state.closing,
        unparsed=state.unparsed,
        output_offset=state.output.offset,
        output=state.output.data,
        output_closed=state.output.closed,
        pending=[_pending_to_list(p, now_ms) for p in state.pending],
        last_output=state.last_output,
        confirmed=state.confirmed,
    )


def _pending_to_list(pending, now_ms):
    request = pending.request
    return [
        request.request_id,
        request.method,
        request.target,
        [list(pair) for pair in request.headers],
        request.body,
        request.idempotency_key,
        max(0, int(request.deadline_ms - now_ms)),
        pending.http_version,
        pending.keep_alive,
    ]


def state_from_message(message, now_ms):
    """Return the ConnectionState that a Handoff carries.

    Args:
        message: Handoff.
        now_ms: Monotonic time in ms; remaining times become deadlines.

    Raises:
        WireError: A field has the wrong type or length.
    """
    _check_types(message.identity, _IDENTITY_TYPES, message.sender)
    for row in message.pending:
        _check_types(row, _PENDING_TYPES, message.sender)
        for header in row[_HEADERS_INDEX]:
            _check_types(header, _HEADER_TYPES, message.sender)
    return connection_state.ConnectionState(
        identity=connection_identity.ConnectionIdentity(*message.identity),
        input_offset=message.input_offset,
        input_ended=message.input_ended,
        unparsed=message.unparsed,
        output=output_stream.OutputState(
            message.output_offset, message.output, message.output_closed
        ),
        pending=tuple(
            _pending_from_list(row, now_ms) for row in message.pending
        ),
        closing=message.closing,
        last_output=message.last_output,
        confirmed=message.confirmed,
    )


def _check_types(row, types, peer):
    if not isinstance(row, list) or tuple(map(type, row)) != types:
        raise errors.WireError(
            'handoff has a field of the wrong type',
            step='read_handoff',
            peer=peer,
        )


def _pending_from_list(row, now_ms):
    request_id, method, target, headers, body, key, remaining_ms, *rest = row
    http_version, keep_alive = rest
    request = request_module.Request(
        request_id=request_id,
        method=method,
        target=target,
        headers=tuple((name, value) for name, value in headers),
        body=body,
        idempotency_key=key,
        deadline_ms=now_ms + remaining_ms,
    )
    return pending_request.PendingRequest(request, http_version, keep_alive)
