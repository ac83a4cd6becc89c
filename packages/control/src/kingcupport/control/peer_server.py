"""TCP server for peer messages."""

import logging

import gevent
import gevent.server
import gevent.socket

from kingcupport.common import address as address_module
from kingcupport.common import errors
from kingcupport.wire import control_messages
from kingcupport.wire import errors as wire_errors
from kingcupport.wire import peer_stream

LOG = logging.getLogger(__name__)

# A service has about 11 agents and a pull takes milliseconds; 256 also covers
# the restart of a whole fleet at once.
MAX_CONNECTIONS = 256
# Longer than the idle timeout of PeerPool, so that the pool closes first and
# does not send a request on a connection that the server is closing.
IDLE_TIMEOUT_MS = 60_000
# A pool sends its first message right after connecting. Connections that send
# nothing must not occupy MAX_CONNECTIONS for long.
FIRST_MESSAGE_TIMEOUT_MS = 5_000
# A peer that does not read its reply must not block the task forever.
SEND_TIMEOUT_MS = 10_000
_BACKLOG = 256


class PeerServer:
    """Serves peer messages, with one task per connection.

    Args:
        address: Address to listen on; port 0 selects a free port.
        handlers: ``handler(message, peer) -> reply`` by message class; peer
            is the remote ``ip:port``. A KingcupportError is sent as an
            ErrorReply.
        name: Name of this process, for error replies.
        read_revision: Returns the revision in force, for error replies.
        counts: collections.Counter of the process.
        max_connections: Maximum number of connections; further ones are
            closed immediately.
        idle_timeout_ms: Maximum wait for the next message.
    """

    def __init__(
        self,
        address,
        handlers,
        *,
        name,
        read_revision,
        counts,
        max_connections=MAX_CONNECTIONS,
        idle_timeout_ms=IDLE_TIMEOUT_MS,
    ):
        self._address = address
        self._handlers = dict(handlers)
        self._name = name
        self._read_revision = read_revision
        self._counts = counts
        self._max_connections = max_connections
        self._idle_timeout_ms = idle_timeout_ms
        self._revision_callbacks = []
        self._tasks = set()
        self._server = None

    def add_handlers(self, handlers):
        """Register handlers for further message classes.

        Args:
            handlers: ``handler(message, peer) -> reply`` by message class.
        """
        self._handlers.update(handlers)

    @property
    def address(self):
        """Address that the server listens on."""
        if self._server is None:
            return self._address
        return address_module.Address(
            self._server.server_host, self._server.server_port
        )

    def add_revision_callback(self, callback):
        """Call ``callback(revision, sender_name)`` for each message."""
        self._revision_callbacks.append(callback)

    def start(self):
        """Listen and serve in the background.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server = gevent.server.StreamServer(
            self._address.as_tuple(), self._serve, backlog=_BACKLOG
        )
        self._server.start()

    def stop(self):
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.stop(timeout=0)
        gevent.killall(list(self._tasks))

    def _serve(self, sock, remote):
        if len(self._tasks) >= self._max_connections:
            self._counts['peer_connections_refused'] += 1
            sock.close()
            return
        task = gevent.getcurrent()
        self._tasks.add(task)
        peer = f'{remote[0]}:{remote[1]}'
        stream = peer_stream.PeerStream(sock, peer)
        try:
            sock.setsockopt(
                gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1
            )
            self._serve_messages(stream)
        except wire_errors.WireError as error:
            self._counts['peer_messages_malformed'] += 1
            LOG.info(
                'malformed peer message; connection closed',
                extra={'error': str(error)},
            )
        except OSError as error:
            LOG.debug(
                'peer connection closed after an error or timeout',
                extra={'peer': peer, 'error': str(error)},
            )
        finally:
            self._tasks.discard(task)
            stream.close()

    def _serve_messages(self, stream):
        timeout_ms = min(FIRST_MESSAGE_TIMEOUT_MS, self._idle_timeout_ms)
        while True:
            with _timeout(timeout_ms):
                message = stream.receive()
            timeout_ms = self._idle_timeout_ms
            if message is None:
                return
            self._counts['peer_messages'] += 1
            for callback in self._revision_callbacks:
                callback(message.revision, message.sender)
            reply = self._handle(message, stream.peer)
            self._send(stream, reply)

    def _handle(self, message, peer):
        handler = self._handlers.get(type(message))
        if handler is None:
            return self._error_reply(
                'unsupported_message',
                f'{type(message).__name__} is not served here',
            )
        try:
            return handler(message, peer)
        except errors.KingcupportError as error:
            return self._error_reply(error.code, error.reason)
        except Exception:
            # The peer gets an ErrorReply even when a handler raises an
            # unexpected exception.
            LOG.exception(
                'peer message handler failed; replying with an error',
                extra={'peer': peer},
            )
            return self._error_reply('internal', 'the handler failed')

    def _send(self, stream, reply):
        with _timeout(SEND_TIMEOUT_MS):
            try:
                stream.send(reply)
                return
            except OSError:
                raise
            except wire_errors.WireError as error:
                error_reply = self._error_reply(error.code, error.reason)
            except Exception:
                LOG.exception(
                    'reply is not a peer message; replying with an error'
                )
                error_reply = self._error_reply(
                    'internal', 'the handler failed'
                )
            # A reply that cannot be encoded has not been sent in part, so
            # the error reply can follow on the same stream.
            stream.send(error_reply)

    def _error_reply(self, code, reason):
        return control_messages.ErrorReply(
            self._name, self._read_revision(), code, reason
        )


def _timeout(timeout_ms):
    return gevent.Timeout(timeout_ms / 1000, TimeoutError('peer is idle'))
