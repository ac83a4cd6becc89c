"""Interface to the fabric's wire format of packets."""

import abc

import attrs
import msgpack

from kingcupport.wire import errors
from kingcupport.wire import packet as packet_module

_FIELD_COUNT = 10


# Not frozen: one is created per packet, and a frozen class adds 0.4 us each.
@attrs.define
class RoutingFields:
    """The fields of a packet that a balancer uses.

    Args:
        kind: A PacketKind value.
        connection_id: 64-bit number that the fabric chose.
        service_address: ``ip:port`` of the service.
        return_address: ``ip:port`` of the fabric to which answers are sent.
    """

    kind: int
    connection_id: int
    service_address: str
    return_address: str


class PacketFormat(abc.ABC):
    """Reads and writes packets, with one subclass for each fabric."""

    @abc.abstractmethod
    def routing_fields(self, data):
        """Return the RoutingFields of a packet, None for other datagrams.

        Args:
            data: Bytes of one datagram.

        Raises:
            WireError: The bytes are not a valid datagram.
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
                f'packet is not valid msgpack: {error}', step='read_packet'
            ) from None
        if not isinstance(array, list) or len(array) != _FIELD_COUNT:
            return None
        (
            version,
            kind,
            connection_id,
            _,
            _,
            _,
            _,
            _,
            service_address,
            return_address,
        ) = array
        if (
            version != packet_module.PACKET_VERSION
            or type(kind) is not int
            or type(connection_id) is not int
            or not 0 <= connection_id < 1 << 64
            or type(service_address) is not str
            or type(return_address) is not str
        ):
            raise errors.WireError(
                'packet has a field of the wrong type', step='read_packet'
            )
        return RoutingFields(
            kind, connection_id, service_address, return_address
        )

    def decode(self, data):
        return packet_module.decode_packet(data)

    def encode(self, packet):
        return packet_module.encode_packet(packet)


def make_packet_format():
    """Return the packet format of the fabric in use."""
    return _MsgpackPacketFormat()
