"""Counts the network traffic of idle processes."""

import gevent
import gevent.server
import gevent.socket
import planned_fleet

from kingcupport.common import address as address_module
from kingcupport.wire import datagrams

NOTICES_PER_S = 2
UDP_HEADER_BYTES = 28
TCP_HEADER_BYTES = 80


class CountingRelay:
    """Relays TCP connections and counts the bytes in both directions.

    Args:
        destination: Address of the configuration service.
    """

    def __init__(self, destination):
        self._destination = destination.as_tuple()
        self.transferred_bytes = 0
        self._server = gevent.server.StreamServer(
            ('127.0.0.1', 0), self._serve
        )
        self._server.start()

    @property
    def address(self):
        """Address that the relay listens on."""
        return address_module.Address('127.0.0.1', self._server.server_port)

    def _serve(self, sock, source):
        with gevent.socket.create_connection(self._destination) as upstream:
            reply_task = gevent.spawn(self._copy, upstream, sock)
            self._copy(sock, upstream)
            reply_task.kill()

    def _copy(self, source, destination):
        try:
            while data := source.recv(65_536):
                self.transferred_bytes += len(data) + TCP_HEADER_BYTES
                destination.sendall(data)
        except OSError:
            return

    def stop(self):
        """Stop listening."""
        self._server.stop(timeout=0)


class NoticePeers:
    """Receives the notices to all other processes and sends notices.

    Args:
        port: UDP port of all other processes of the fleet.
    """

    def __init__(self, port):
        self._sock = gevent.socket.socket(type=gevent.socket.SOCK_DGRAM)
        self._sock.setsockopt(
            gevent.socket.SOL_SOCKET, gevent.socket.SO_BINDTODEVICE, b'lo'
        )
        self._sock.bind(('0.0.0.0', port))
        self.received_bytes = {}
        gevent.spawn(self._receive)

    def _receive(self):
        while True:
            data, source = self._sock.recvfrom(2048)
            total_bytes = self.received_bytes.get(source, 0)
            self.received_bytes[source] = (
                total_bytes + len(data) + UDP_HEADER_BYTES
            )

    def send_forever(self, destination, state):
        """Send as many notices as the other processes of the fleet would."""
        port = self._sock.getsockname()[1]
        sender = str(planned_fleet.fleet_address(1, 5, port))
        while True:
            fleet = state.fleet
            notice = datagrams.RevisionNotice(
                fleet.revision, fleet.digest, sender
            )
            self._sock.sendto(
                datagrams.encode_revision_notice(notice),
                destination.as_tuple(),
            )
            gevent.sleep(1 / NOTICES_PER_S)
