"""A frozen connection on its way to another agent."""

import attrs

from kingcupport.connections import connection_identity
from kingcupport.connections import output_stream


@attrs.frozen
class ConnectionState:
    """What another agent needs to go on with a connection.

    Args:
        identity: The ConnectionIdentity.
        input_offset: Position of the next byte expected from the caller.
        input_ended: Whether the caller has ended its stream.
        unparsed: Bytes of an incomplete request.
        output: OutputState of the answers.
        pending: PendingRequest in order; the requests run elsewhere.
        closing: Whether no further request is taken.
        last_output: Bytes to send after the last pending answer, before the
            stream ends.
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
