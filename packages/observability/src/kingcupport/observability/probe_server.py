"""Minimal HTTP server for readiness probes and metrics, based on h11.

gevent's WSGI server takes 6 MB more memory, which is significant on instances
that run nothing else.
"""

import logging

import gevent
import gevent.server
import h11

LOG = logging.getLogger(__name__)

# Closes connections of probes that send nothing, each of which holds a task.
IDLE_TIMEOUT_MS = 10_000
MAX_CONNECTIONS = 64
MAX_REQUEST_BYTES = 8 * 1024
_RECEIVE_SIZE_BYTES = 4096


class ProbeServer:
    """Answers GET requests, with one task per connection.

    Args:
        address: common.address.Address to listen on.
        routes: Handler by path, called as ``handler() -> (status, body)``;
            the body is text or bytes.
    """

    def __init__(self, address, routes):
        self._address = address
        self._routes = routes
        self._connection_count = 0
        self._server = None
        self.failed_count = 0

    def start(self):
        """Start to listen and serve in the background.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server = gevent.server.StreamServer(
            self._address.as_tuple(), self._serve
        )
        self._server.start()

    def stop(self):
        """Stop listening."""
        if self._server is not None:
            self._server.stop(timeout=0)

    def _serve(self, sock, _remote):
        if self._connection_count >= MAX_CONNECTIONS:
            self.failed_count += 1
            sock.close()
            return
        self._connection_count += 1
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES
        )
        try:
            while self._serve_request(sock, connection):
                connection.start_next_cycle()
        except (OSError, h11.ProtocolError) as error:
            self.failed_count += 1
            LOG.debug('probe connection failed', extra={'reason': str(error)})
        finally:
            self._connection_count -= 1
            sock.close()

    def _serve_request(self, sock, connection):
        request = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                with gevent.Timeout(IDLE_TIMEOUT_MS / 1000, TimeoutError):
                    connection.receive_data(sock.recv(_RECEIVE_SIZE_BYTES))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        status, text = self._respond(request)
        body = text.encode() if isinstance(text, str) else text
        sock.sendall(
            connection.send(
                h11.Response(
                    status_code=status,
                    headers=[
                        ('content-type', 'text/plain; charset=utf-8'),
                        ('content-length', str(len(body))),
                    ],
                )
            )
            + connection.send(h11.Data(data=body))
            + connection.send(h11.EndOfMessage())
        )
        return (
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
        )

    def _respond(self, request):
        path = request.target.decode('latin-1').partition('?')[0]
        handler = self._routes.get(path)
        if handler is None:
            return 404, 'not found\n'
        if request.method not in (b'GET', b'HEAD'):
            return 405, 'only GET is served\n'
        return handler()
