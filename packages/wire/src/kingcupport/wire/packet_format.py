"""The fabric's wire form of packets, kept behind one interface."""

import abc

import attrs
import msgpack

from kingcupport.wire import errors
from kingcupport.wire import packet as packet_module

_FIELD_COUNT = 10


# Not frozen: one is made for each packet, and a frozen one costs 0.4 us more.
@attrs.define
class RoutingFields:
    """The fields of a packet that a balancer needs.

    Args:
        kind: A PacketKind value.
        connection_id: 64-bit number that the fabric chose.
        service_address: ``ip:port`` of the service.
        return_address: ``ip:port`` of the fabric port that takes answers.
    """

    kind: int
    connection_id: int
    service_address: str
    return_address: str


class PacketFormat(abc.ABC):
    """Reads and writes packets; another fabric gets another subclass."""

    @abc.abstractmethod
    def routing_fields(self, data):
        """Return the RoutingFields of a packet, None for other datagrams.

        Args:
            data: Bytes of one datagram.

        Raises:
            WireError: The bytes are neither.
        """

    @abc.abstractmethod
    def decode(self, data):
        """Return the Packet in the bytes of one datagram.

        Raises:
            WireError: The bytes are not a valid packet.
        """

    @abc.abstractmethod
    def encode(self, packet):
        """Return the bytes of a Packet."""


class _MsgpackPacketFormat(PacketFormat):
    """Packets as msgpack arrays, as the fabric stand-in sends them."""

    def routing_fields(self, data):
        try:
            array = msgpack.unpackb(data)
        except msgpack.ExtraData:
            return None
        except (ValueError, msgpack.UnpackException, RecursionError) as error:
            raise errors.WireError(
                f'is not msgpack: {error}', step='read_packet'
            ) from None
        if not isinstance(array, list) or len(array) != _FIELD_COUNT:
            return None
        version, kind, connection_id, _, _, _, _, _, service, answers = array
        if (
            version != packet_module.PACKET_VERSION
            or type(kind) is not int
            or type(connection_id) is not int
            or not 0 <= connection_id < 1 << 64
            or type(service) is not str
            or type(answers) is not str
        ):
            raise errors.WireError(
                'has a field of the wrong type', step='read_packet'
            )
        return RoutingFields(kind, connection_id, service, answers)

    def decode(self, data):
        return packet_module.decode_packet(data)

    def encode(self, packet):
        return packet_module.encode_packet(packet)


def make_packet_format():
    """Return the packet format of the fabric in use."""
    return _MsgpackPacketFormat()
