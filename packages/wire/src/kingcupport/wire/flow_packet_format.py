"""The wire form of a fabric whose packets belong to the servers' own flows."""

import abc

import attrs


# Not frozen: one is made for each packet, and a frozen one costs 0.4 us more.
@attrs.define
class FlowPacket:
    """The fields of a packet that balancers and agents need.

    Args:
        flow: Identifies the flow, the same bytes in both directions.
        is_open: Whether the packet asks for a new flow.
        is_open_answer: Whether a server accepts a new flow with it.
        is_close: Whether its sender has sent everything.
        is_reset: Whether it ends the flow at once.
        is_bounced: Whether a server gave the packet back.
        sequence: Sequence number of its first byte of data.
        acknowledged: Sequence number that its sender expects next.
        data_bytes: Length of its data.
        opening_age_ms: How long ago, at least, its client sent the first copy
            of an opening packet; 0 for other packets.
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
    """Reads and writes packets of flows; nothing else knows their form."""

    @abc.abstractmethod
    def read_from_client(self, data):
        """Return the FlowPacket of a client's packet.

        Args:
            data: Bytes of one datagram.

        Returns:
            The FlowPacket, or None when the bytes are no packet.
        """

    @abc.abstractmethod
    def read_from_server(self, data):
        """Return the FlowPacket of a server's packet.

        A packet that the server bounced was written by the client, and its
        flow is the client's.

        Args:
            data: Bytes of one datagram.

        Returns:
            The FlowPacket, or None when the bytes are no packet.
        """

    @abc.abstractmethod
    def service_address(self, flow):
        """Return ``(ip, port)`` that the client opened the flow to."""

    @abc.abstractmethod
    def client_address(self, flow):
        """Return ``(ip, port)`` that packets for the flow's client go to."""

    @abc.abstractmethod
    def describe(self, flow):
        """Return the client's end of a flow as short text for logs."""

    @abc.abstractmethod
    def make_reset(self, packet):
        """Return a packet that ends the flow of a client's packet.

        Args:
            packet: FlowPacket of the client.
        """

    @abc.abstractmethod
    def unbounce(self, data):
        """Return a bounced packet as its client had sent it."""

    @abc.abstractmethod
    def request_id(self, data):
        """Return the request id in the data of a packet, or None."""

    @abc.abstractmethod
    def answer_status(self, data):
        """Return the HTTP status at the start of a packet's data, or None."""
