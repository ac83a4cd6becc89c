"""UDP socket of a balancer or an agent."""

import contextlib
import errno
import socket
import struct

import gevent
from gevent import event

RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
MAX_DATAGRAM_BYTES = 65_536
# The receiving task yields to other tasks after this many datagrams.
MAX_DATAGRAMS_PER_BATCH = 64

# From <linux/in.h>; the socket module does not define it.
_IP_RECVERR = 11
_UNREACHABLE_ERRNOS = frozenset(
    (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH)
)


class DatagramSocket:
    """Sends and receives datagrams and reports unreachable destinations.

    With IP_RECVERR the kernel queues an error, together with the destination
    address, for each datagram that is answered with an ICMP error. This
    detects a dead process on a live instance within one round trip.

    Args:
        address: Address to bind to.
        on_unreachable: Called with ``(ip, port)`` of an unreachable
            destination.
    """

    def __init__(self, address, on_unreachable):
        self._on_unreachable = on_unreachable
        family = socket.AF_INET6 if ':' in address.ip else socket.AF_INET
        # Not gevent's socket: its methods wait for readability even when
        # given MSG_DONTWAIT, so reading the error queue would wait for a
        # datagram instead of an error, and would spin while one is queued.
        self._sock = socket.socket(family, socket.SOCK_DGRAM)
        _set_receive_buffer(self._sock)
        if family == socket.AF_INET:
            self._sock.setsockopt(socket.IPPROTO_IP, _IP_RECVERR, 1)
        self._sock.bind(address.as_tuple())
        self._sock.setblocking(False)
        self._readable = gevent.get_hub().loop.io(self._sock.fileno(), 1)
        self.dropped_count = 0

    def receive_forever(self, on_datagram):
        """Call ``on_datagram(data, source)`` for each received datagram.

        Args:
            on_datagram: Called with the bytes and the source's ``(ip,
                port)``; must not block.
        """
        receive = self._sock.recvfrom
        while True:
            for _ in range(MAX_DATAGRAMS_PER_BATCH):
                try:
                    data, source = receive(MAX_DATAGRAM_BYTES)
                except BlockingIOError:
                    gevent.get_hub().wait(self._readable)
                    continue
                except OSError as error:
                    if error.errno not in _UNREACHABLE_ERRNOS:
                        raise
                    self._read_error_queue()
                    continue
                on_datagram(data, source)
            gevent.sleep(0)

    def receive_in_event_loop(self, on_datagram):
        """Like ``receive_forever``, but calls from the event loop itself.

        This saves two switches between tasks for each wake-up, which take
        half of the time of receiving one datagram. ``on_datagram`` must not
        wait for anything: gevent raises an error if it does.

        Args:
            on_datagram: Called with the bytes and the source's ``(ip,
                port)``.

        Raises:
            Exception: Whatever ``on_datagram`` raised; nothing is received
                afterwards.
        """
        failure = event.AsyncResult()

        def receive_batch():
            try:
                self._receive_batch(on_datagram)
            except Exception as error:
                self._readable.stop()
                failure.set_exception(error)

        self._readable.start(receive_batch)
        try:
            failure.get()
        finally:
            self._readable.stop()

    def _receive_batch(self, on_datagram):
        receive = self._sock.recvfrom
        for _ in range(MAX_DATAGRAMS_PER_BATCH):
            try:
                data, source = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno not in _UNREACHABLE_ERRNOS:
                    raise
                self._read_error_queue()
                continue
            on_datagram(data, source)

    def send(self, data, destination):
        """Send one datagram; drop and count it when the send buffer is full.

        Args:
            data: The bytes.
            destination: ``(ip, port)``.
        """
        try:
            self._sock.sendto(data, destination)
        except BlockingIOError:
            self.dropped_count += 1
        except OSError as error:
            # A pending error of an earlier datagram is reported here, and
            # this datagram was not sent.
            self._read_error_queue()
            if error.errno not in _UNREACHABLE_ERRNOS:
                self.dropped_count += 1
                return
            with contextlib.suppress(OSError):
                self._sock.sendto(data, destination)

    def _read_error_queue(self):
        with contextlib.suppress(OSError):
            while True:
                # In the error queue the address is the failed destination.
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
    option = getattr(socket, 'SO_RCVBUFFORCE', 33)
    try:
        sock.setsockopt(socket.SOL_SOCKET, option, size)
    except PermissionError:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
