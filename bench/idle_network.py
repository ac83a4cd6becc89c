"""What idle processes send, counted on its way."""

import gevent
import gevent.server
import gevent.socket
import planned_fleet

from kingcupport.common import address as address_module
from kingcupport.wire import datagrams

NOTICES_PER_S = 2
UDP_HEADER_BYTES = 28
TCP_HEADER_BYTES = 80


class Relay:
    """TCP relay that counts the bytes in both directions.

    Args:
        destination: Address of the configuration service.
    """

    def __init__(self, destination):
        self._destination = destination.as_tuple()
        self.bytes = 0
        self._server = gevent.server.StreamServer(
            ('127.0.0.1', 0), self._serve
        )
        self._server.start()

    @property
    def address(self):
        """Address to connect to."""
        return address_module.Address('127.0.0.1', self._server.server_port)

    def _serve(self, sock, source):
        with gevent.socket.create_connection(self._destination) as other:
            back = gevent.spawn(self._copy, other, sock)
            self._copy(sock, other)
            back.kill()

    def _copy(self, source, destination):
        try:
            while data := source.recv(65_536):
                self.bytes += len(data) + TCP_HEADER_BYTES
                destination.sendall(data)
        except OSError:
            return

    def stop(self):
        """Stop the server."""
        self._server.stop(timeout=0)


class Notices:
    """Takes the notices to all processes of the fleet and sends some.

    Args:
        port: UDP port of all of them.
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
            total = self.received_bytes.get(source, 0)
            self.received_bytes[source] = total + len(data) + UDP_HEADER_BYTES

    def send_forever(self, destination, state):
        """Send what the other processes of the fleet would send."""
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
