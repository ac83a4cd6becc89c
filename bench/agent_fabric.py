"""Stand-in for the balancer and the fabric of one agent."""

import collections
import random
import time

import gevent

from kingcupport.common import address as address_module
from kingcupport.wire import datagram_socket
from kingcupport.wire import datagrams
from kingcupport.wire import packet as packet_module

SERVICE_NAME = 'service-000'
SERVICE_ADDRESS = '127.3.0.1:80'
CALLER_ADDRESS = '127.0.0.1:1024'
RESEND_AFTER_S = 1
EXCHANGE_TIMEOUT_S = 60
PORT_RANGE = (20_000, 31_000)

_KIND = packet_module.PacketKind


class CallerConnection:
    """The caller's side of one connection."""

    def __init__(self, connection_id):
        self.connection_id = connection_id
        self.stream_id = 0
        self.sent_offset = 0
        self.received_offset = 0
        self.awaited_offset = 0


class Fabric:
    """Acts as balancer and fabric of one agent over one UDP socket.

    Args:
        agent_address: Address of the agent.
    """

    def __init__(self, agent_address):
        self._address = address_module.Address('127.0.0.1', find_free_port())
        self._destination = agent_address.as_tuple()
        self._socket = datagram_socket.DatagramSocket(
            self._address, lambda destination: None
        )
        self._header = datagrams.encode_envelope(
            SERVICE_NAME, 1, str(self._address), [], b''
        )
        self.connections = {}
        self.unanswered = collections.OrderedDict()
        self.resets = 0
        self.resent = 0
        gevent.spawn(self._socket.receive_forever, self._on_data)

    def send(self, kind, connection, payload=b''):
        """Send a packet of a connection to the agent."""
        packet = packet_module.Packet(
            int(kind),
            connection.connection_id,
            connection.stream_id,
            connection.sent_offset,
            connection.received_offset,
            payload,
            CALLER_ADDRESS,
            SERVICE_ADDRESS,
            str(self._address),
        )
        data = self._header + packet_module.encode_packet(packet)
        self._socket.send(data, self._destination)

    def _on_data(self, data, source):
        packet = packet_module.decode_packet(data)
        connection = self.connections.get(packet.connection_id)
        if connection is None:
            return
        if packet.kind == _KIND.OPENED:
            connection.stream_id = packet.stream_id
            self.send(_KIND.ACK, connection)
            self.unanswered.pop(connection.connection_id, None)
        elif packet.kind == _KIND.RESET:
            self.resets += 1
        elif packet.kind == _KIND.ACK:
            if (
                connection.awaited_offset
                and packet.ack >= connection.awaited_offset
            ):
                self.unanswered.pop(connection.connection_id, None)
        elif packet.kind == _KIND.DATA:
            self._on_answer(connection, packet)

    def _on_answer(self, connection, packet):
        if packet.offset == connection.received_offset:
            connection.received_offset += len(packet.payload)
            self.unanswered.pop(connection.connection_id, None)
        self.send(_KIND.ACK, connection)

    def run_exchanges(self, actions, max_outstanding):
        """Run exchanges concurrently until all of them are answered.

        Args:
            actions: Pairs of a CallerConnection and a function that sends the
                packet of its exchange.
            max_outstanding: Maximum number of unanswered exchanges.
        """
        for connection, action in actions:
            self.unanswered[connection.connection_id] = (
                time.monotonic(),
                action,
            )
            action()
            self._wait_below(max_outstanding)
        self._wait_below(1)

    def _wait_below(self, limit):
        deadline = time.monotonic() + EXCHANGE_TIMEOUT_S
        while len(self.unanswered) >= limit:
            gevent.sleep(0.0005)
            now = time.monotonic()
            if now > deadline:
                raise SystemExit(
                    f'{len(self.unanswered)} exchanges had no answer within '
                    f'{EXCHANGE_TIMEOUT_S} s'
                )
            oldest = next(iter(self.unanswered.items()), None)
            if oldest and now - oldest[1][0] > RESEND_AFTER_S:
                connection_id, (_, action) = oldest
                self.resent += 1
                del self.unanswered[connection_id]
                self.unanswered[connection_id] = (now, action)
                action()


def find_free_port():
    """Return a loopback port that is free for UDP and TCP."""
    while True:
        port = random.randint(*PORT_RANGE)
        try:
            with (
                gevent.socket.socket(type=gevent.socket.SOCK_DGRAM) as udp,
                gevent.socket.socket() as tcp,
            ):
                udp.bind(('127.0.0.1', port))
                tcp.bind(('127.0.0.1', port))
            return port
        except OSError:
            continue
