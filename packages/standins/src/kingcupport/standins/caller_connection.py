"""Persistent HTTP connection of a caller."""

import attrs
import gevent
from gevent import socket
import h11

from kingcupport.common import errors

READ_BYTES = 65_536
CONNECT_TIMEOUT_MS = 20_000


class ConnectionBrokenError(errors.KingcupportError):
    """A connection could not be opened or ended unexpectedly."""

    code = 'connection_broken'


class AnswerTimeoutError(errors.KingcupportError):
    """No complete answer arrived in time."""

    code = 'answer_timeout'


@attrs.frozen
class CallerAnswer:
    """One complete HTTP answer.

    Args:
        status: HTTP status code.
        headers: Header values by lower-case name, both ``str``.
        body: The complete body.
    """

    status: int
    headers: dict
    body: bytes


class CallerConnection:
    """Sends requests sequentially over one TCP connection.

    Args:
        address: Address of the service.

    Raises:
        ConnectionBrokenError: The connection cannot be opened.
    """

    def __init__(self, address):
        self._address = address
        self._http = h11.Connection(h11.CLIENT)
        try:
            self._sock = socket.create_connection(
                address.as_tuple(), timeout=CONNECT_TIMEOUT_MS / 1000
            )
        except OSError as error:
            raise self._make_broken_error('connect', error) from None
        self._sock.settimeout(None)
        self._local_port = self._sock.getsockname()[1]
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def local_port(self):
        """Local port; identifies the caller in logs and packets."""
        return self._local_port

    @property
    def reusable(self):
        """Whether another request may be sent on this connection."""
        return self._http.our_state is h11.IDLE

    def closed_by_peer(self):
        """Return whether the peer has closed an idle connection."""
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            self._sock._sock.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True
        # End of stream, or data that belongs to no request.
        return True

    def exchange(self, method, target, headers, body, timeout_ms):
        """Send a request and return its CallerAnswer.

        Raises:
            ConnectionBrokenError: The connection ended before the answer
                was complete, or the answer is not valid HTTP.
            AnswerTimeoutError: The answer took longer than the timeout.
        """
        timeout_error = AnswerTimeoutError(
            f'no answer within {timeout_ms} ms',
            step='exchange',
            peer=str(self._address),
        )
        try:
            with gevent.Timeout(timeout_ms / 1000, timeout_error):
                self._send(method, target, headers, body)
                return self._receive()
        except (OSError, h11.RemoteProtocolError) as error:
            raise self._make_broken_error('exchange', error) from None

    def _send(self, method, target, headers, body):
        head = h11.Request(
            method=method,
            target=target,
            headers=[
                ('Host', str(self._address)),
                ('Content-Length', str(len(body))),
                *headers,
            ],
        )
        data = self._http.send(head)
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self._sock.sendall(data)

    def _receive(self):
        head = self._next_event()
        chunks = []
        while isinstance(event := self._next_event(), h11.Data):
            chunks.append(bytes(event.data))
        if not isinstance(event, h11.EndOfMessage):
            raise self._make_broken_error('exchange', 'incomplete answer')
        if self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in head.headers
        }
        return CallerAnswer(head.status_code, headers, b''.join(chunks))

    def _next_event(self):
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.ConnectionClosed):
                raise self._make_broken_error(
                    'exchange', 'connection closed by peer'
                )
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(self._sock.recv(READ_BYTES))

    def _make_broken_error(self, step, reason):
        return ConnectionBrokenError(
            str(reason), step=step, peer=str(self._address)
        )

    def close(self):
        """Close the connection."""
        self._sock.close()
