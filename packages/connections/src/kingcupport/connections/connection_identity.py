"""What names a caller's connection in every process."""

import attrs


@attrs.frozen
class ConnectionIdentity:
    """Names and addresses of a connection.

    Args:
        connection_id: 64-bit number that the fabric chose.
        stream_id: 64-bit number that the agent chose which accepted it.
        caller_address: ``ip:port`` of the caller.
        service_address: ``ip:port`` of the service.
        return_address: ``ip:port`` of the fabric port that takes answers.
    """

    connection_id: int
    stream_id: int
    caller_address: str
    service_address: str
    return_address: str
