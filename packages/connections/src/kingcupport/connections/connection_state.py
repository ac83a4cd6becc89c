"""State of a frozen connection that is handed over."""

import attrs

from kingcupport.connections import connection_identity
from kingcupport.connections import output_stream


@attrs.frozen
class ConnectionState:
    """State from which another agent continues a connection.

    Args:
        identity: The ConnectionIdentity.
        input_offset: Position of the next byte expected from the caller.
        input_ended: Whether the caller has ended its stream.
        unparsed: Bytes received that belong to no pending request yet.
        output: OutputState of the answers.
        pending: Tuple of PendingRequest in order; the former owner runs them.
        closing: Whether no further request is accepted.
        last_output: Bytes to send after the last pending answer and before the
            end of the stream.
        confirmed: Whether the caller has used the stream id.
    """

    identity: connection_identity.ConnectionIdentity
    input_offset: int
    input_ended: bool
    unparsed: bytes
    output: output_stream.OutputState
    pending: tuple
    closing: bool
    last_output: bytes
    confirmed: bool
