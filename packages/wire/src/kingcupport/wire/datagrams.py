"""Datagrams between balancers, agents and peers.

Every datagram is a msgpack array that starts with the protocol version and a
code. The array of an envelope is followed by the unchanged bytes of the
packet that it carries, so that a balancer forwards a packet without encoding
it again.
"""

import enum

import attrs
import msgpack

from kingcupport.wire import errors

DATAGRAM_VERSION = 1


class DatagramCode(enum.IntEnum):
    """Datagram type, the second element of a datagram's array."""

    ENVELOPE = 1
    LOCATION_HINT = 2
    REVISION_NOTICE = 3


@attrs.define
class Envelope:
    """Carries a packet to the agent that owns its connection.

    Args:
        service: Name of the service that the packet is addressed to.
        revision: Revision of the fleet that the balancer routed with.
        balancer_address: ``ip:port`` of the balancer, for location hints.
        tried: Names of the agents that have already forwarded the packet.
        packet_data: Bytes of the packet as the fabric sent it.
    """

    service: str
    revision: int
    balancer_address: str
    tried: list
    packet_data: bytes


@attrs.define
class LocationHint:
    """Tells a balancer which agent owns a connection.

    Args:
        connection_id: The connection.
        agent_name: Name of the owning agent's backend server.
        revision: Revision in force at the agent.
    """

    connection_id: int
    agent_name: str
    revision: int


@attrs.define
class RevisionNotice:
    """Tells a peer which revision the sender has in force.

    Args:
        revision: The sender's revision.
        digest: Digest of the sender's fleet.
        sender_address: ``ip:port`` that serves the difference.
    """

    revision: int
    digest: str
    sender_address: str


_FIELD_TYPES = {
    DatagramCode.ENVELOPE: (str, int, str, list),
    DatagramCode.LOCATION_HINT: (int, str, int),
    DatagramCode.REVISION_NOTICE: (int, str, str),
}


def encode_envelope(service, revision, balancer_address, tried, packet_data):
    """Return the bytes of an envelope around an encoded packet.

    Args:
        service: Name of the service.
        revision: Revision of the fleet that the balancer routed with.
        balancer_address: ``ip:port`` of the balancer.
        tried: Names of the agents that have already forwarded the packet.
        packet_data: Bytes of the packet.
    """
    header = msgpack.packb(
        (
            DATAGRAM_VERSION,
            int(DatagramCode.ENVELOPE),
            service,
            revision,
            balancer_address,
            tried,
        )
    )
    return header + packet_data


def encode_location_hint(hint):
    """Return the bytes of a LocationHint."""
    return _encode(DatagramCode.LOCATION_HINT, attrs.astuple(hint))


def encode_revision_notice(notice):
    """Return the bytes of a RevisionNotice."""
    return _encode(DatagramCode.REVISION_NOTICE, attrs.astuple(notice))


def _encode(code, values):
    return msgpack.packb((DATAGRAM_VERSION, int(code), *values))


def decode_datagram(data):
    """Decode an Envelope, LocationHint or RevisionNotice.

    Raises:
        WireError: The bytes are not a valid datagram of these types.
    """
    unpacker = msgpack.Unpacker(max_buffer_size=len(data) + 1)
    unpacker.feed(data)
    try:
        array = unpacker.unpack()
        code, values = _check_header(array)
        if code == DatagramCode.ENVELOPE:
            return Envelope(*values, data[unpacker.tell() :])
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise _datagram_error(
            f'datagram is not valid msgpack: {error}'
        ) from None
    if code == DatagramCode.LOCATION_HINT:
        return LocationHint(*values)
    return RevisionNotice(*values)


def _check_header(array):
    if not isinstance(array, list) or len(array) < 2:
        raise _datagram_error(
            'datagram is not an array that starts with version and code'
        )
    version, code, *values = array
    if version != DATAGRAM_VERSION:
        raise _datagram_error(f'unknown datagram version {version!r}')
    types = _FIELD_TYPES.get(code) if type(code) is int else None
    if types is None:
        raise _datagram_error(f'unknown datagram code {code!r}')
    if tuple(map(type, values)) != types:
        raise _datagram_error(
            f'datagram with code {code} has fields of the wrong type'
        )
    return code, values


def _datagram_error(reason):
    return errors.WireError(reason, step='decode_datagram')
