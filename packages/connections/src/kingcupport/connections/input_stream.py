"""Receiving half of a byte stream over packets that may be lost."""

RECEIVE_WINDOW_BYTES = 262_144
# Bounds the memory of overlapping or tiny segments, which could take far more
# than the window. Segments of full size fill the window with 219.
MAX_OUT_OF_ORDER_SEGMENTS = 512


class InputStream:
    """Reassembles segments in order and counts the bytes received.

    Segments beyond the receive window are dropped; the sender resends them.

    Args:
        offset: Position of the next byte expected.
        ended: Whether the peer has already ended its stream.

    Attributes:
        next_offset: Position of the next byte expected.
        ended: Whether the stream has been received up to its end.
    """

    def __init__(self, offset=0, ended=False):
        self.next_offset = offset
        self.ended = ended
        self._segments = {}
        self._buffered_bytes = 0
        self._end_offset = None

    def on_segment(self, offset, payload):
        """Process one segment.

        Args:
            offset: Position of its first byte in the stream.
            payload: Bytes of the segment.

        Returns:
            The bytes that are now in order, possibly empty.
        """
        if offset + len(payload) > self.next_offset + RECEIVE_WINDOW_BYTES:
            return b''
        if self.ended:
            return b''
        if offset > self.next_offset:
            self._buffer_segment(offset, payload)
            return b''
        ready = bytearray(payload[self.next_offset - offset :])
        self.next_offset += len(ready)
        while self._segments:
            segment_offset = min(self._segments)
            if segment_offset > self.next_offset:
                break
            segment = self._segments.pop(segment_offset)
            self._buffered_bytes -= len(segment)
            new_bytes = segment[self.next_offset - segment_offset :]
            ready += new_bytes
            self.next_offset += len(new_bytes)
        self._check_end()
        return bytes(ready)

    def _buffer_segment(self, offset, payload):
        buffered = self._segments.get(offset, b'')
        if len(payload) <= len(buffered):
            return
        buffered_bytes = self._buffered_bytes - len(buffered) + len(payload)
        segments_count = len(self._segments) + (not buffered)
        if (
            buffered_bytes <= RECEIVE_WINDOW_BYTES
            and segments_count <= MAX_OUT_OF_ORDER_SEGMENTS
        ):
            self._segments[offset] = payload
            self._buffered_bytes = buffered_bytes

    def on_end(self, offset):
        """Process the end of the peer's stream.

        Args:
            offset: Length of the stream in bytes.
        """
        self._end_offset = offset
        self._check_end()

    def _check_end(self):
        if not self.ended and self._end_offset == self.next_offset:
            self.ended = True
            # The end of the stream occupies one position, like a FIN in TCP.
            self.next_offset += 1
