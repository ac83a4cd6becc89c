"""Peer messages over one TCP connection."""

import struct

from kingcupport.wire import errors
from kingcupport.wire import message_codec

_LENGTH_PREFIX = struct.Struct('>I')


class PeerStream:
    """Sends and receives peer messages over a connected gevent socket.

    Each message is preceded by its length in bytes as a 4-byte big-endian
    integer, so that an oversized message is rejected before it is read.

    Args:
        sock: A connected stream socket, owned and closed by this object.
        peer: Name or address of the other side, for errors.
    """

    def __init__(self, sock, peer):
        self._sock = sock
        self.peer = peer

    def send(self, message):
        """Send one message; blocks while the socket's buffer is full.

        Raises:
            WireError: The message is too large.
            OSError: The connection failed.
        """
        data = message_codec.encode_message(message)
        self._sock.sendall(_LENGTH_PREFIX.pack(len(data)) + data)

    def receive(self):
        """Return the next message, or None after the peer has closed.

        Raises:
            WireError: The bytes are not a valid message.
            OSError: The connection failed.
        """
        header = self._receive_exactly(_LENGTH_PREFIX.size)
        if header is None:
            return None
        (size_bytes,) = _LENGTH_PREFIX.unpack(header)
        if size_bytes > message_codec.MAX_MESSAGE_BYTES:
            raise errors.WireError(
                f'message of {size_bytes} bytes is too large',
                step='receive_message',
                peer=self.peer,
            )
        data = self._receive_exactly(size_bytes)
        if data is None:
            raise errors.WireError(
                'connection closed inside a message',
                step='receive_message',
                peer=self.peer,
            )
        return message_codec.decode_message(data, self.peer)

    def _receive_exactly(self, size_bytes):
        chunks = []
        remaining_bytes = size_bytes
        while remaining_bytes:
            chunk = self._sock.recv(min(remaining_bytes, 65536))
            if not chunk:
                return None
            chunks.append(chunk)
            remaining_bytes -= len(chunk)
        return b''.join(chunks)

    def close(self):
        """Close the connection."""
        self._sock.close()
