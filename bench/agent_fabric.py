"""The balancer and the fabric of one agent, in one UDP socket."""

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
RESEND_S = 1
GIVE_UP_S = 60
PORTS = (20_000, 31_000)

_KIND = packet_module.PacketKind


class Peer:
    """The caller's side of one connection."""

    def __init__(self, connection_id):
        self.connection_id = connection_id
        self.stream_id = 0
        self.sent_offset = 0
        self.received_offset = 0
        self.due_offset = 0


class Fabric:
    """Balancer and fabric in one UDP socket.

    Args:
        agent_address: Address of the agent.
    """

    def __init__(self, agent_address):
        self._address = address_module.Address('127.0.0.1', free_port())
        self._destination = agent_address.as_tuple()
        self._socket = datagram_socket.DatagramSocket(
            self._address, lambda destination: None
        )
        self._header = datagrams.encode_envelope(
            SERVICE_NAME, 1, str(self._address), [], b''
        )
        self.peers = {}
        self.waiting = collections.OrderedDict()
        self.resets = 0
        self.resent = 0
        gevent.spawn(self._socket.receive_forever, self._on_data)

    def send(self, kind, peer, payload=b''):
        """Send a packet of a connection to the agent."""
        packet = packet_module.Packet(
            int(kind),
            peer.connection_id,
            peer.stream_id,
            peer.sent_offset,
            peer.received_offset,
            payload,
            CALLER_ADDRESS,
            SERVICE_ADDRESS,
            str(self._address),
        )
        data = self._header + packet_module.encode_packet(packet)
        self._socket.send(data, self._destination)

    def _on_data(self, data, source):
        packet = packet_module.decode_packet(data)
        peer = self.peers.get(packet.connection_id)
        if peer is None:
            return
        if packet.kind == _KIND.OPENED:
            peer.stream_id = packet.stream_id
            self.send(_KIND.ACK, peer)
            self.waiting.pop(peer.connection_id, None)
        elif packet.kind == _KIND.RESET:
            self.resets += 1
        elif packet.kind == _KIND.ACK:
            if peer.due_offset and packet.ack >= peer.due_offset:
                self.waiting.pop(peer.connection_id, None)
        elif packet.kind == _KIND.DATA:
            self._on_answer(peer, packet)

    def _on_answer(self, peer, packet):
        if packet.offset == peer.received_offset:
            peer.received_offset += len(packet.payload)
            self.waiting.pop(peer.connection_id, None)
        self.send(_KIND.ACK, peer)

    def run(self, actions, max_outstanding):
        """Keep up to a number of exchanges going until all are answered.

        Args:
            actions: Pairs of a Peer and a function that sends for it.
            max_outstanding: Greatest number without an answer.
        """
        for peer, action in actions:
            self.waiting[peer.connection_id] = (time.monotonic(), action)
            action()
            self._wait_below(max_outstanding)
        self._wait_below(1)

    def _wait_below(self, limit):
        give_up = time.monotonic() + GIVE_UP_S
        while len(self.waiting) >= limit:
            gevent.sleep(0.0005)
            now = time.monotonic()
            if now > give_up:
                raise SystemExit(f'{len(self.waiting)} exchanges unanswered')
            oldest = next(iter(self.waiting.items()), None)
            if oldest and now - oldest[1][0] > RESEND_S:
                connection_id, (_, action) = oldest
                self.resent += 1
                del self.waiting[connection_id]
                self.waiting[connection_id] = (now, action)
                action()


def free_port():
    """Return a loopback port that is free for UDP and TCP."""
    while True:
        port = random.randint(*PORTS)
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
