"""A packet format for flows that stand-ins and tests speak."""

import msgpack

from kingcupport.wire import flow_packet_format

_BOUNCED = 0x80
_RESET = 1
_CLOSE = 2
_OPEN = 64
_ACKNOWLEDGE = 16
_FIELD_COUNT = 6
_REQUEST_MARK = b'request='


class PlainFlowFormat(flow_packet_format.FlowPacketFormat):
    """A flags byte followed by a msgpack array.

    The array holds the client's and the service's ``[ip, port]``, whether
    the client sent the packet, both sequence numbers and the data.
    """

    def make(self, flow, *, from_client=True, flags=0, **fields):
        """Return a packet.

        Args:
            flow: Bytes from ``make_flow``.
            from_client: Whether the client sends it.
            flags: 64 open, 16 acknowledge, 2 close, 1 reset.
            **fields: ``sequence``, ``acknowledged`` (the age in milliseconds
                of an opening packet) and ``data``.
        """
        array = [
            flow,
            from_client,
            fields.get('sequence', 0),
            fields.get('acknowledged', 0),
            fields.get('data', b''),
            0,
        ]
        return bytes((flags,)) + msgpack.packb(array)

    def make_flow(self, client, service):
        """Return the identity of a flow between two ``(ip, port)``."""
        return msgpack.packb([list(client), list(service)])

    def read_from_client(self, data):
        """Implement ``FlowPacketFormat.read_from_client``."""
        return self._read(data)

    def read_from_server(self, data):
        """Implement ``FlowPacketFormat.read_from_server``."""
        return self._read(data)

    def _read(self, data):
        try:
            array = msgpack.unpackb(data[1:])
        except (ValueError, msgpack.UnpackException, RecursionError):
            return None
        if not isinstance(array, list) or len(array) != _FIELD_COUNT:
            return None
        flow, _, sequence, acknowledged, payload, _ = array
        types = (type(flow), type(sequence), type(acknowledged), type(payload))
        if types != (bytes, int, int, bytes):
            return None
        flags = data[0]
        is_open = bool(flags & _OPEN and not flags & _ACKNOWLEDGE)
        return flow_packet_format.FlowPacket(
            flow,
            is_open=is_open,
            is_open_answer=bool(flags & _OPEN and flags & _ACKNOWLEDGE),
            is_close=bool(flags & _CLOSE),
            is_reset=bool(flags & _RESET),
            is_bounced=bool(flags & _BOUNCED),
            sequence=sequence,
            acknowledged=acknowledged,
            data_bytes=len(payload),
            opening_age_ms=acknowledged if is_open else 0,
        )

    def service_address(self, flow):
        """Implement ``FlowPacketFormat.service_address``."""
        return tuple(msgpack.unpackb(flow)[1])

    def client_address(self, flow):
        """Implement ``FlowPacketFormat.client_address``."""
        return tuple(msgpack.unpackb(flow)[0])

    def describe(self, flow):
        """Implement ``FlowPacketFormat.describe``."""
        ip, port = self.client_address(flow)
        return f'{ip}:{port}'

    def make_reset(self, packet):
        """Implement ``FlowPacketFormat.make_reset``."""
        return self.make(
            packet.flow,
            from_client=False,
            flags=_RESET,
            sequence=packet.acknowledged,
        )

    def bounce(self, data):
        """Return a packet as a server gives it back."""
        return bytes((data[0] | _BOUNCED,)) + data[1:]

    def unbounce(self, data):
        """Implement ``FlowPacketFormat.unbounce``."""
        return bytes((data[0] & ~_BOUNCED,)) + data[1:]

    def request_id(self, data):
        """Implement ``FlowPacketFormat.request_id``."""
        payload = msgpack.unpackb(data[1:])[4]
        if not payload.startswith(_REQUEST_MARK):
            return None
        return payload[len(_REQUEST_MARK) :].decode()

    def answer_status(self, data):
        """Implement ``FlowPacketFormat.answer_status``."""
        payload = msgpack.unpackb(data[1:])[4]
        return int(payload[:3]) if payload[:3].isdigit() else None
