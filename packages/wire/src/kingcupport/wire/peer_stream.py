"""Peer messages over one TCP connection."""

import struct

from kingcupport.wire import errors
from kingcupport.wire import message_codec

_LENGTH = struct.Struct('>I')


class PeerStream:
    """Sends and receives peer messages over a connected gevent socket.

    Each message is preceded by its length in bytes, four bytes big endian,
    so that an oversized message is refused before it is read.

    Args:
        sock: A connected stream socket; the stream owns and closes it.
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
        self._sock.sendall(_LENGTH.pack(len(data)) + data)

    def receive(self):
        """Return the next message, or None when the peer has closed.

        Raises:
            WireError: The bytes are not a valid message.
            OSError: The connection failed.
        """
        header = self._receive_exactly(_LENGTH.size)
        if header is None:
            return None
        (size_bytes,) = _LENGTH.unpack(header)
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
        missing = size_bytes
        while missing:
            chunk = self._sock.recv(min(missing, 65536))
            if not chunk:
                return None
            chunks.append(chunk)
            missing -= len(chunk)
        return b''.join(chunks)

    def close(self):
        """Close the connection."""
        self._sock.close()
