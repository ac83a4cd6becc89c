"""Sending half of a byte stream over packets that may be lost."""

import attrs

MAX_SEGMENT_BYTES = 1200
SEND_WINDOW_BYTES = 65_536
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
FIRST_RETRANSMISSION_MS = 200
MAX_RETRANSMISSION_MS = 2000
ACK_TIMEOUT_MS = 30_000
DUPLICATE_ACKS_FOR_RETRANSMISSION = 3


@attrs.frozen
class OutputState:
    """State from which another process continues to send a stream.

    Args:
        offset: Position of the first unacknowledged byte.
        data: All bytes from that position on, sent or not.
        closed: Whether the stream ends after ``data``.
    """

    offset: int
    data: bytes
    closed: bool


class OutputStream:
    """Buffers bytes until they are acknowledged and retransmits them.

    The end of the stream occupies one position, like a FIN in TCP, and is
    acknowledged like a byte.

    Args:
        send_segment: Called as ``send_segment(offset, payload, is_end)``.
        clock: Clock for the retransmission deadline.
        state: OutputState to continue from; None for a new stream.

    Attributes:
        retransmission_deadline_ms: Monotonic time of the next retransmission;
            None while nothing is unacknowledged.
        give_up_deadline_ms: Monotonic time at which the connection is lost;
            None while nothing is unacknowledged.
    """

    def __init__(self, send_segment, clock, state=None):
        self._send_segment = send_segment
        self._clock = clock
        self._base = state.offset if state else 0
        self._buffer = bytearray(state.data if state else b'')
        self._closed = state.closed if state else False
        # A continued stream is resent from its first unacknowledged byte.
        self._next = self._base
        self._timeout_ms = FIRST_RETRANSMISSION_MS
        self._duplicate_acks = 0
        self._end_acknowledged = False
        self.retransmission_deadline_ms = None
        self.give_up_deadline_ms = None

    @property
    def end(self):
        """Position after the last byte written."""
        return self._base + len(self._buffer)

    @property
    def buffered_bytes(self):
        """Number of bytes not yet acknowledged."""
        return len(self._buffer)

    @property
    def finished(self):
        """Whether the stream is closed and completely acknowledged."""
        return self._end_acknowledged

    def write(self, data):
        """Append bytes and send as many as the window allows."""
        self._buffer += data
        self._send_window()

    def close(self):
        """End the stream after the bytes written so far."""
        if not self._closed:
            self._closed = True
            self._send_window()

    def on_ack(self, ack, is_ack_only=True):
        """Process an acknowledgement of the peer.

        Args:
            ack: Number of positions received in order, including the end.
            is_ack_only: Whether the packet carried nothing else. Packets with
                data repeat the number without indicating a loss.
        """
        if ack <= self._base:
            if is_ack_only:
                self._count_duplicate_ack(ack)
            return
        acked = ack - self._base
        if acked > len(self._buffer) + (1 if self._closed else 0):
            return
        self._end_acknowledged = acked > len(self._buffer)
        del self._buffer[:acked]
        self._base = ack
        self._next = max(self._next, ack)
        self._duplicate_acks = 0
        self._timeout_ms = FIRST_RETRANSMISSION_MS
        self._set_deadlines()
        self._send_window()

    def _count_duplicate_ack(self, ack):
        if ack < self._base or not self._has_unacknowledged():
            return
        self._duplicate_acks += 1
        if self._duplicate_acks == DUPLICATE_ACKS_FOR_RETRANSMISSION:
            self._send_at(self._base)

    def _has_unacknowledged(self):
        return self._next > self._base

    def retransmit_if_due(self):
        """Resend unacknowledged bytes if the retransmission is due.

        Returns:
            False if the peer has acknowledged nothing for ``ACK_TIMEOUT_MS``
            and the connection is lost, else True.
        """
        if self.retransmission_deadline_ms is None:
            return True
        now_ms = self._clock.monotonic_ms()
        if now_ms < self.retransmission_deadline_ms:
            return True
        if now_ms >= self.give_up_deadline_ms:
            return False
        self._timeout_ms = min(self._timeout_ms * 2, MAX_RETRANSMISSION_MS)
        self.retransmission_deadline_ms = now_ms + self._timeout_ms
        # Everything in flight is resent. If only one segment was lost, the
        # receiver has buffered the others and acknowledges all of them once it
        # arrives, which moves ``_next`` past them.
        self._next = self._base
        self._send_window()
        return True

    def state(self):
        """Return the OutputState from which another process continues."""
        return OutputState(self._base, bytes(self._buffer), self._closed)

    def _send_window(self):
        while self._next - self._base < SEND_WINDOW_BYTES:
            sent = self._send_at(self._next)
            if not sent:
                break
            self._next += sent
        if (
            self._has_unacknowledged()
            and self.retransmission_deadline_ms is None
        ):
            self._set_deadlines()

    def _send_at(self, position):
        start = position - self._base
        payload = bytes(self._buffer[start : start + MAX_SEGMENT_BYTES])
        if payload:
            self._send_segment(position, payload, False)
            return len(payload)
        at_end = start == len(self._buffer)
        if self._closed and at_end and not self._end_acknowledged:
            self._send_segment(position, b'', True)
            return 1
        return 0

    def _set_deadlines(self):
        if not self._has_unacknowledged():
            self.retransmission_deadline_ms = None
            self.give_up_deadline_ms = None
            return
        now_ms = self._clock.monotonic_ms()
        self.retransmission_deadline_ms = now_ms + self._timeout_ms
        self.give_up_deadline_ms = now_ms + ACK_TIMEOUT_MS
