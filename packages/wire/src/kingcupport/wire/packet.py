"""Packets between the fabric and Kingcupport."""

import enum

import attrs
import msgpack

from kingcupport.wire import errors

PACKET_VERSION = 1
MAX_PAYLOAD_BYTES = 16_384


class PacketKind(enum.IntEnum):
    """Type of a packet."""

    OPEN = 1
    OPENED = 2
    DATA = 3
    ACK = 4
    CLOSE = 5
    RESET = 6


_KINDS = frozenset(int(kind) for kind in PacketKind)


@attrs.define
class Packet:
    """One packet of a caller's connection, in either direction.

    Args:
        kind: A PacketKind value.
        connection_id: 64-bit number that the fabric chose.
        stream_id: 64-bit number that the owning agent chose; 0 in OPEN.
        offset: Position of the payload in the sender's byte stream; for
            CLOSE the length of the sender's stream, in bytes.
        ack: Number of bytes received so far of the other side's stream.
        payload: Bytes of the stream.
        caller_address: ``ip:port`` of the caller.
        service_address: ``ip:port`` of the service.
        return_address: ``ip:port`` of the fabric to which answers are sent.
    """

    kind: int
    connection_id: int
    stream_id: int
    offset: int
    ack: int
    payload: bytes
    caller_address: str
    service_address: str
    return_address: str


_FIELD_TYPES = (int, int, int, int, int, bytes, str, str, str)


def encode_packet(packet):
    """Encode a Packet as the bytes of one datagram."""
    return msgpack.packb(
        (
            PACKET_VERSION,
            packet.kind,
            packet.connection_id,
            packet.stream_id,
            packet.offset,
            packet.ack,
            packet.payload,
            packet.caller_address,
            packet.service_address,
            packet.return_address,
        )
    )


def packet_from_array(array):
    """Build a Packet from an unpacked msgpack array.

    Raises:
        WireError: A wrong shape, version or kind, or a field of the wrong
            type or out of range.
    """
    if not isinstance(array, list) or len(array) != len(_FIELD_TYPES) + 1:
        raise _packet_error('packet is not an array of 10 elements')
    version, *values = array
    if version != PACKET_VERSION:
        raise _packet_error(f'unknown packet version {version!r}')
    if tuple(map(type, values)) != _FIELD_TYPES:
        raise _packet_error('packet has a field of the wrong type')
    if values[0] not in _KINDS:
        raise _packet_error(f'unknown packet kind {values[0]}')
    if min(values[1:5]) < 0 or len(values[5]) > MAX_PAYLOAD_BYTES:
        raise _packet_error('packet has a field out of range')
    return Packet(*values)


def decode_packet(data):
    """Decode one datagram into a Packet.

    Raises:
        WireError: The bytes are not a valid packet.
    """
    try:
        array = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise _packet_error(f'packet is not valid msgpack: {error}') from None
    return packet_from_array(array)


def _packet_error(reason):
    return errors.WireError(reason, step='decode_packet')
