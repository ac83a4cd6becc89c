"""Wire format of a fabric whose packets belong to flows of the servers."""

import abc

import attrs


# Not frozen: one is created per packet, and a frozen class adds 0.4 us each.
@attrs.define
class FlowPacket:
    """The fields of a packet that balancers and agents use.

    Args:
        flow: Identifier of the flow, the same bytes in both directions.
        is_open: Whether the packet requests a new flow.
        is_open_answer: Whether the packet accepts a new flow.
        is_close: Whether the sender will send no more data.
        is_reset: Whether the packet ends the flow immediately.
        is_bounced: Whether a server returned the packet undelivered.
        sequence: Sequence number of the first byte of data.
        acknowledged: Sequence number that the sender expects next.
        data_bytes: Length of the data.
        opening_age_ms: Minimum time since the client sent the first copy of
            an opening packet; 0 for other packets.
    """

    flow: bytes
    is_open: bool
    is_open_answer: bool
    is_close: bool
    is_reset: bool
    is_bounced: bool
    sequence: int
    acknowledged: int
    data_bytes: int
    opening_age_ms: int = 0


class FlowPacketFormat(abc.ABC):
    """Reads and writes packets of flows; hides their wire format."""

    @abc.abstractmethod
    def read_from_client(self, data):
        """Return the FlowPacket of a client's packet.

        Args:
            data: Bytes of one datagram.

        Returns:
            The FlowPacket, or None when the bytes are not a packet.
        """

    @abc.abstractmethod
    def read_from_server(self, data):
        """Return the FlowPacket of a server's packet.

        A bounced packet keeps the header that the client wrote, so its flow
        is read as in ``read_from_client``.

        Args:
            data: Bytes of one datagram.

        Returns:
            The FlowPacket, or None when the bytes are not a packet.
        """

    @abc.abstractmethod
    def service_address(self, flow):
        """Return ``(ip, port)`` that the client opened the flow to."""

    @abc.abstractmethod
    def client_address(self, flow):
        """Return ``(ip, port)`` to which the client's packets are sent."""

    @abc.abstractmethod
    def describe(self, flow):
        """Return the client's endpoint of a flow as short text for logs."""

    @abc.abstractmethod
    def make_reset(self, packet):
        """Return a packet that ends the flow of a client's packet.

        Args:
            packet: FlowPacket that the client sent.
        """

    @abc.abstractmethod
    def clear_bounced_flag(self, data):
        """Return a bounced packet as the client sent it."""

    @abc.abstractmethod
    def request_id(self, data):
        """Return the request id in the data of a packet, or None."""

    @abc.abstractmethod
    def answer_status(self, data):
        """Return the HTTP status at the start of a packet's data, or None."""
