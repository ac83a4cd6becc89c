"""Receiving half of a byte stream over packets that may be lost."""

RECEIVE_WINDOW_BYTES = 262_144
# Segments kept out of order. Overlapping or tiny ones would else take far
# more memory than the window; senders' segments fill it with 219.
MAX_KEPT_SEGMENTS = 512


class InputStream:
    """Puts segments in order and counts what has been received.

    Segments beyond the receive window are dropped; the sender resends them.

    Args:
        offset: Position of the next byte expected.
        ended: Whether the other side has ended its stream already.
    """

    def __init__(self, offset=0, ended=False):
        self.next_offset = offset
        self.ended = ended
        self._segments = {}
        self._kept_bytes = 0
        self._end_offset = None

    def on_segment(self, offset, payload):
        """Take one segment.

        Args:
            offset: Position of its first byte.
            payload: Its bytes.

        Returns:
            The bytes that are now in order, possibly empty.
        """
        if offset + len(payload) > self.next_offset + RECEIVE_WINDOW_BYTES:
            return b''
        if self.ended:
            return b''
        if offset > self.next_offset:
            self._keep(offset, payload)
            return b''
        ready = bytearray(payload[self.next_offset - offset :])
        self.next_offset += len(ready)
        while self._segments:
            segment_offset = min(self._segments)
            if segment_offset > self.next_offset:
                break
            segment = self._segments.pop(segment_offset)
            self._kept_bytes -= len(segment)
            fresh = segment[self.next_offset - segment_offset :]
            ready += fresh
            self.next_offset += len(fresh)
        self._check_end()
        return bytes(ready)

    def _keep(self, offset, payload):
        known = self._segments.get(offset, b'')
        if len(payload) <= len(known):
            return
        kept_bytes = self._kept_bytes - len(known) + len(payload)
        kept_segments = len(self._segments) + (not known)
        if (
            kept_bytes <= RECEIVE_WINDOW_BYTES
            and kept_segments <= MAX_KEPT_SEGMENTS
        ):
            self._segments[offset] = payload
            self._kept_bytes = kept_bytes

    def on_end(self, offset):
        """Take the end of the other side's stream.

        Args:
            offset: Length of the stream in bytes.
        """
        self._end_offset = offset
        self._check_end()

    def _check_end(self):
        if not self.ended and self._end_offset == self.next_offset:
            self.ended = True
            # The end takes one position, as in TCP.
            self.next_offset += 1
