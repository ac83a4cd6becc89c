"""Combined balancer and agent that echoes the bytes of connections."""

import random

import gevent
from gevent import socket

from kingcupport.common import address
from kingcupport.common import clock as clock_module
from kingcupport.connections import input_stream
from kingcupport.connections import output_stream
from kingcupport.wire import packet as packet_module

_KIND = packet_module.PacketKind


class _EchoConnection:
    def __init__(self, agent, opening, stream_id):
        self._agent = agent
        self._opening = opening
        self.stream_id = stream_id
        self._input = input_stream.InputStream()
        self._output = output_stream.OutputStream(
            self._send_segment, clock_module.make_system_clock()
        )

    def _send_segment(self, offset, payload, is_end):
        self.send(_KIND.CLOSE if is_end else _KIND.DATA, offset, payload)

    def send(self, kind, offset=0, payload=b''):
        opening = self._opening
        self._agent.send(
            packet_module.Packet(
                int(kind),
                opening.connection_id,
                self.stream_id,
                offset,
                self._input.next_offset,
                payload,
                opening.caller_address,
                opening.service_address,
                opening.return_address,
            )
        )

    def on_packet(self, packet):
        if packet.kind == _KIND.OPEN:
            self.send(_KIND.OPENED)
            return
        self._output.on_ack(packet.ack)
        if packet.kind == _KIND.DATA:
            data = self._input.on_segment(packet.offset, packet.payload)
            self._output.write(data)
            self.send(_KIND.ACK, self._output.end)
        elif packet.kind == _KIND.CLOSE:
            self._input.on_end(packet.offset)
            self.send(_KIND.ACK, self._output.end)
        if self._input.ended:
            self._output.close()

    def retransmit_if_due(self):
        self._output.retransmit_if_due()


class EchoAgent:
    """Listens on a UDP port and echoes the bytes of every connection.

    Args:
        open_delay_s: Delay of OPENED in seconds.
    """

    def __init__(self, open_delay_s=0):
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(('127.0.0.1', 0))
        self.address = address.Address(
            '127.0.0.1', self._sock.getsockname()[1]
        )
        self._open_delay_s = open_delay_s
        self.connections = {}
        self.packets = []
        self._tasks = [
            gevent.spawn(self._receive),
            gevent.spawn(self._resend_periodically),
        ]

    def send(self, packet):
        return_address = address.parse_address(packet.return_address)
        self._sock.sendto(
            packet_module.encode_packet(packet), return_address.as_tuple()
        )

    def _receive(self):
        while True:
            packet = packet_module.decode_packet(self._sock.recv(65536))
            self.packets.append(packet)
            if packet.kind == _KIND.OPEN:
                self._open(packet)
                continue
            connection = self.connections.get(packet.connection_id)
            if connection and connection.stream_id == packet.stream_id:
                connection.on_packet(packet)

    def _open(self, packet):
        connection = self.connections.get(packet.connection_id)
        if connection is None:
            connection = _EchoConnection(self, packet, random.getrandbits(64))
            self.connections[packet.connection_id] = connection
        gevent.spawn_later(self._open_delay_s, connection.on_packet, packet)

    def _resend_periodically(self):
        while True:
            gevent.sleep(0.02)
            for connection in list(self.connections.values()):
                connection.retransmit_if_due()

    def stop(self):
        gevent.killall(self._tasks)
        self._sock.close()
