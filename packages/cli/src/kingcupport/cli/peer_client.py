"""Sends requests to running processes over the peer protocol."""

import gevent
from gevent import pool
from gevent import socket

from kingcupport.control import peer_caller
from kingcupport.wire import control_messages
from kingcupport.wire import errors as wire_errors
from kingcupport.wire import peer_stream

SENDER = 'kingcupport'
# The command line has no fleet. With the lowest revision in its messages,
# no peer tries to pull one from it.
REVISION = 0
# Limits open sockets; a fleet has thousands of processes.
MAX_CONCURRENT_CALLS = 64


class PeerClient:
    """Sends a request to a process and waits for its reply.

    Args:
        timeout_ms: Limit for the whole exchange with one process.
    """

    def __init__(self, timeout_ms):
        self._timeout_ms = timeout_ms

    def ask(self, address, message, reply_class):
        """Return the reply of one process.

        Args:
            address: Address of the process.
            message: A peer message.
            reply_class: Class of the reply that belongs to the message.

        Raises:
            PeerError: The connection failed, no reply arrived in time, or
                the reply is an ``ErrorReply``, malformed or of another class.
        """
        peer = str(address)
        try:
            with gevent.Timeout(self._timeout_ms / 1000, TimeoutError):
                reply = _exchange(address, message)
        except TimeoutError:
            raise _peer_error(
                f'no reply within {self._timeout_ms} ms', peer
            ) from None
        except OSError as error:
            raise _peer_error(error.strerror or str(error), peer) from None
        except wire_errors.WireError as error:
            raise _peer_error(f'invalid reply: {error.reason}', peer) from None
        if reply is None:
            raise _peer_error('closed the connection without a reply', peer)
        if isinstance(reply, control_messages.ErrorReply):
            raise _peer_error(f'{reply.code}: {reply.reason}', peer)
        if not isinstance(reply, reply_class):
            raise _peer_error(
                f'invalid reply: unexpected {type(reply).__name__}', peer
            )
        return reply

    def ask_all(self, addresses, message, reply_class):
        """Ask several processes, up to ``MAX_CONCURRENT_CALLS`` concurrently.

        Args:
            addresses: List of addresses.
            message: A peer message.
            reply_class: Class of the reply that belongs to the message.

        Returns:
            A reply or a PeerError for each address, in the same order.
        """

        def ask_one(address):
            try:
                return self.ask(address, message, reply_class)
            except peer_caller.PeerError as error:
                return error

        return pool.Pool(MAX_CONCURRENT_CALLS).map(ask_one, addresses)


def _exchange(address, message):
    sock = socket.create_connection(address.as_tuple())
    stream = peer_stream.PeerStream(sock, str(address))
    try:
        stream.send(message)
        return stream.receive()
    finally:
        stream.close()


def _peer_error(reason, peer):
    return peer_caller.PeerError(reason, step='ask_peer', peer=peer)
