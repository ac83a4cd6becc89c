"""Ids and addresses that identify a connection in every process."""

import attrs


@attrs.frozen
class ConnectionIdentity:
    """Ids and addresses of a connection.

    Args:
        connection_id: 64-bit number chosen by the fabric.
        stream_id: 64-bit number chosen by the agent that accepted the
            connection.
        caller_address: ``ip:port`` of the caller.
        service_address: ``ip:port`` of the service.
        return_address: ``ip:port`` of the fabric port for packets to the
            caller.
    """

    connection_id: int
    stream_id: int
    caller_address: str
    service_address: str
    return_address: str
