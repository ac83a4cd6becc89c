"""UDP socket of a balancer or an agent."""

import contextlib
import errno
import socket
import struct

import gevent
from gevent import socket as gevent_socket

RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
MAX_DATAGRAM_BYTES = 65_536
# Other tasks get a turn after this many datagrams without a pause.
BATCH_SIZE = 64

# <linux/in.h>; the socket module has no name for it.
_IP_RECVERR = 11
_ERRORS_OF_A_PEER = frozenset(
    (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH)
)


class DatagramSocket:
    """Receives datagrams and reports destinations that are unreachable.

    The kernel queues an error for each datagram whose destination answers
    with an ICMP error, with the destination's address (IP_RECVERR). That
    shows a dead process on a live instance within one round trip.

    Args:
        address: Address to bind to.
        on_unreachable: Called with ``(ip, port)`` of an unreachable
            destination.
    """

    def __init__(self, address, on_unreachable):
        self._on_unreachable = on_unreachable
        family = socket.AF_INET6 if ':' in address.ip else socket.AF_INET
        self._sock = gevent_socket.socket(family, socket.SOCK_DGRAM)
        _set_receive_buffer(self._sock)
        if family == socket.AF_INET:
            self._sock.setsockopt(socket.IPPROTO_IP, _IP_RECVERR, 1)
        self._sock.bind(address.as_tuple())
        # gevent's methods wait by themselves even with MSG_DONTWAIT. Reading
        # the error queue that way waits for a datagram instead of an error,
        # and spins while one is there.
        self._sock.setblocking(False)
        self._readable = gevent.get_hub().loop.io(self._sock.fileno(), 1)
        self.dropped_count = 0

    def receive_forever(self, on_datagram):
        """Call ``on_datagram(data, source)`` for each datagram.

        Args:
            on_datagram: Takes the bytes and the source's ``(ip, port)``; it
                must not block.
        """
        receive = self._sock.recvfrom
        while True:
            for _ in range(BATCH_SIZE):
                try:
                    data, source = receive(MAX_DATAGRAM_BYTES)
                except BlockingIOError:
                    gevent.get_hub().wait(self._readable)
                    continue
                except OSError as error:
                    if error.errno not in _ERRORS_OF_A_PEER:
                        raise
                    self._read_error_queue()
                    continue
                on_datagram(data, source)
            gevent.sleep(0)

    def send(self, data, destination):
        """Send one datagram; one that does not fit the buffer is dropped.

        Args:
            data: The bytes.
            destination: ``(ip, port)``.
        """
        try:
            self._sock.sendto(data, destination)
        except BlockingIOError:
            self.dropped_count += 1
        except OSError as error:
            # The error belongs to an earlier datagram; this one was not
            # sent.
            self._read_error_queue()
            if error.errno not in _ERRORS_OF_A_PEER:
                self.dropped_count += 1
                return
            with contextlib.suppress(OSError):
                self._sock.sendto(data, destination)

    def _read_error_queue(self):
        with contextlib.suppress(OSError):
            while True:
                # The address is the destination of the failed datagram.
                _, _, _, destination = self._sock.recvmsg(
                    0, 512, socket.MSG_ERRQUEUE
                )
                if destination:
                    self._on_unreachable(destination[:2])

    def close(self):
        """Close the socket."""
        self._readable.close()
        self._sock.close()


def _set_receive_buffer(sock):
    size = struct.pack('i', RECEIVE_BUFFER_BYTES)
    force = getattr(socket, 'SO_RCVBUFFORCE', 33)
    try:
        sock.setsockopt(socket.SOL_SOCKET, force, size)
    except PermissionError:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
