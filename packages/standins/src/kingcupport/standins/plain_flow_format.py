"""Simple packet format for flows, used by stand-ins and tests."""

import msgpack

from kingcupport.wire import flow_packet_format

_FLAG_BOUNCED = 0x80
_FLAG_RESET = 1
_FLAG_CLOSE = 2
_FLAG_OPEN = 64
_FLAG_ACKNOWLEDGE = 16
_FIELD_COUNT = 6
_REQUEST_ID_PREFIX = b'request='


class PlainFlowFormat(flow_packet_format.FlowPacketFormat):
    """Encodes packets as a flags byte followed by a msgpack array.

    The array contains the flow identity (client and service ``[ip, port]``),
    whether the client sent the packet, both sequence numbers, the data and a
    reserved 0.
    """

    def make(self, flow, *, from_client=True, flags=0, **fields):
        """Return a packet.

        Args:
            flow: Flow identity from ``make_flow``.
            from_client: Whether the client sends the packet.
            flags: 64 open, 16 acknowledge, 2 close, 1 reset.
            **fields: ``sequence``, ``acknowledged`` (in an opening packet, its
                age in milliseconds) and ``data``.
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
        """Return the identity of a flow between two ``(ip, port)`` tuples."""
        return msgpack.packb([list(client), list(service)])

    def read_from_client(self, data):
        """Implement ``FlowPacketFormat.read_from_client``."""
        return self._parse(data)

    def read_from_server(self, data):
        """Implement ``FlowPacketFormat.read_from_server``."""
        return self._parse(data)

    def _parse(self, data):
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
        is_open = bool(flags & _FLAG_OPEN and not flags & _FLAG_ACKNOWLEDGE)
        return flow_packet_format.FlowPacket(
            flow,
            is_open=is_open,
            is_open_answer=bool(
                flags & _FLAG_OPEN and flags & _FLAG_ACKNOWLEDGE
            ),
            is_close=bool(flags & _FLAG_CLOSE),
            is_reset=bool(flags & _FLAG_RESET),
            is_bounced=bool(flags & _FLAG_BOUNCED),
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
            flags=_FLAG_RESET,
            sequence=packet.acknowledged,
        )

    def bounce(self, data):
        """Return a packet as it is returned by a server that bounces it."""
        return bytes((data[0] | _FLAG_BOUNCED,)) + data[1:]

    def clear_bounced_flag(self, data):
        """Implement ``FlowPacketFormat.clear_bounced_flag``."""
        return bytes((data[0] & ~_FLAG_BOUNCED,)) + data[1:]

    def request_id(self, data):
        """Implement ``FlowPacketFormat.request_id``."""
        payload = msgpack.unpackb(data[1:])[4]
        if not payload.startswith(_REQUEST_ID_PREFIX):
            return None
        return payload[len(_REQUEST_ID_PREFIX) :].decode()

    def answer_status(self, data):
        """Implement ``FlowPacketFormat.answer_status``."""
        payload = msgpack.unpackb(data[1:])[4]
        return int(payload[:3]) if payload[:3].isdigit() else None
