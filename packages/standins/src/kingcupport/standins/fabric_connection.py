"""TCP connection of one caller at the fabric."""

import enum
import struct

import gevent
from gevent import event
from gevent import socket

from kingcupport.connections import input_stream
from kingcupport.connections import output_stream
from kingcupport.wire import packet as packet_module

READ_BYTES = 65_536
# Reading from the caller pauses above this amount of unacknowledged data.
MAX_UNACKNOWLEDGED_BYTES = 262_144
# Data from the agent is dropped, and retransmitted by the agent, while more
# than this waits to be sent to the caller.
MAX_CALLER_BUFFER_BYTES = 1024 * 1024
INITIAL_OPEN_RETRY_MS = 200
MAX_OPEN_RETRY_MS = 2000
OPEN_TIMEOUT_MS = 15_000
# An agent discards a half-open connection unless a packet repeats the stream
# identifier. These confirmations are not acknowledged, so several are sent.
CONFIRMATION_DELAYS_MS = (200, 600, 1500)
# Time for the caller to close after the end of the agent's stream.
CALLER_CLOSE_TIMEOUT_MS = 2000
_LINGER_RESET = struct.pack('ii', 1, 0)
_KIND = packet_module.PacketKind


class EndReason(enum.StrEnum):
    """Reason for the end of a connection."""

    CLOSED = 'closed'
    RESET_BY_CALLER = 'reset_by_caller'
    RESET_BY_AGENT = 'reset_by_agent'
    NOT_OPENED = 'not_opened'
    NOT_ACKNOWLEDGED = 'not_acknowledged'
    FABRIC_STOPPED = 'fabric_stopped'


class FabricConnection:
    """Splits a TCP stream into packets and reassembles the answers.

    Args:
        sock: The accepted socket.
        connection_id: Random 64-bit identifier.
        addresses: Tuple of the caller's, service's and return ``ip:port``.
        send_packet: Function that sends a Packet; must not block for long.
        clock: Clock.
        on_deadline: Called with the connection when it may have a deadline
            that ``tick`` has to check.
    """

    def __init__(
        self,
        sock,
        connection_id,
        addresses,
        send_packet,
        clock,
        on_deadline,
    ):
        self.connection_id = connection_id
        self.addresses = addresses
        self.stream_id = 0
        self.end_reason = None
        self._sock = sock
        self._send_packet = send_packet
        self._clock = clock
        self._on_deadline = on_deadline
        self._input = input_stream.InputStream()
        self._output = output_stream.OutputStream(self._send_segment, clock)
        self._opened = event.Event()
        self._output_acknowledged = event.Event()
        self._caller_buffer = bytearray()
        self._caller_data_ready = event.Event()
        self._reader = None
        self._writer = None
        now_ms = clock.monotonic_ms()
        self._open_retry_ms = INITIAL_OPEN_RETRY_MS
        self._open_due_ms = now_ms
        self._open_deadline_ms = now_ms + OPEN_TIMEOUT_MS
        self._confirmation_due_times_ms = []

    @property
    def opened(self):
        """Whether an agent has accepted the connection."""
        return self._opened.is_set()

    @property
    def next_offset(self):
        """Next offset expected from the agent."""
        return self._input.next_offset

    def to_plain(self):
        """Return the state of the connection as a JSON object."""
        return {
            'connection_id': self.connection_id,
            'caller_address': self.addresses[0],
            'service_address': self.addresses[1],
            'opened': self.opened,
            'unacknowledged_bytes': self._output.buffered_bytes,
            'received_bytes': self._input.next_offset,
        }

    @property
    def has_deadline(self):
        """Whether ``tick`` has a deadline to check."""
        return self.end_reason is None and (
            not self.opened
            or bool(self._confirmation_due_times_ms)
            or self._output.retransmission_deadline_ms is not None
        )

    def run(self):
        """Serve the connection until it has ended; blocks."""
        self._reader = gevent.getcurrent()
        self._writer = gevent.spawn(self._write_to_caller)
        self._on_deadline(self)
        self.tick()
        try:
            self._read_from_caller()
            self._writer.join()
        finally:
            self._writer.kill()
            self.end(EndReason.CLOSED)

    def _read_from_caller(self):
        self._opened.wait()
        while self.end_reason is None:
            try:
                data = self._sock.recv(READ_BYTES)
            except OSError:
                self._reset_agent(EndReason.RESET_BY_CALLER)
                return
            if self._input.ended:
                # The agent's stream has ended; further input is discarded.
                if not data:
                    return
                continue
            if not data:
                self._output.close()
                self._on_deadline(self)
                return
            self._output.write(data)
            self._on_deadline(self)
            self._wait_for_acknowledgement()

    def _wait_for_acknowledgement(self):
        while (
            self._output.buffered_bytes > MAX_UNACKNOWLEDGED_BYTES
            and self.end_reason is None
        ):
            self._output_acknowledged.clear()
            self._output_acknowledged.wait()

    def _write_to_caller(self):
        while self.end_reason is None:
            self._caller_data_ready.wait()
            self._caller_data_ready.clear()
            while self._caller_buffer:
                data = bytes(self._caller_buffer)
                try:
                    self._sock.sendall(data)
                except OSError:
                    self._reset_agent(EndReason.RESET_BY_CALLER)
                    return
                del self._caller_buffer[: len(data)]
            if self._input.ended:
                self._shut_down_caller()
                return

    def _shut_down_caller(self):
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            return
        # The reader stops when the caller closes, or after this timeout.
        gevent.spawn_later(
            CALLER_CLOSE_TIMEOUT_MS / 1000, self._close_after_timeout
        )

    def _close_after_timeout(self):
        if self.end_reason is None:
            self._end_and_kill_tasks(EndReason.CLOSED)

    def _reset_agent(self, reason):
        if self.end_reason is None:
            self._send(_KIND.RESET, self._output.end, b'')
            self.end(reason)

    def on_packet(self, packet):
        """Process a packet from the agent; never blocks."""
        if packet.kind == _KIND.OPENED:
            self._process_opened(packet)
            return
        if packet.kind == _KIND.RESET:
            if packet.stream_id == self.stream_id or not self.opened:
                self._process_reset()
            return
        if not self.opened or packet.stream_id != self.stream_id:
            return
        self._process_ack(packet)
        if packet.kind == _KIND.DATA:
            self._process_data(packet)
        elif packet.kind == _KIND.CLOSE:
            self._input.on_end(packet.offset)
            self._caller_data_ready.set()
            self._send_ack()

    def _process_opened(self, packet):
        if not self.opened:
            now_ms = self._clock.monotonic_ms()
            self.stream_id = packet.stream_id
            self._confirmation_due_times_ms = [
                now_ms + delay_ms for delay_ms in CONFIRMATION_DELAYS_MS
            ]
            self._opened.set()
        if packet.stream_id == self.stream_id:
            self._send_ack()

    def _process_reset(self):
        # An agent discards the connection after the end of its stream, so that
        # a reset after it is not an error.
        ended = self._input.ended and not self._caller_buffer
        reason = EndReason.CLOSED if ended else EndReason.RESET_BY_AGENT
        self._end_and_kill_tasks(reason)

    def _process_ack(self, packet):
        # A data packet repeats the last acknowledgement without indicating a
        # lost segment; only an ACK packet counts as a duplicate.
        acknowledged = self._output.end - self._output.buffered_bytes
        if packet.kind == _KIND.ACK or packet.ack > acknowledged:
            self._output.on_ack(packet.ack)
            self._output_acknowledged.set()

    def _process_data(self, packet):
        if len(self._caller_buffer) > MAX_CALLER_BUFFER_BYTES:
            return
        data = self._input.on_segment(packet.offset, packet.payload)
        if data or self._input.ended:
            self._caller_buffer += data
            self._caller_data_ready.set()
        self._send_ack()

    def tick(self):
        """Send the retransmissions and confirmations that are due."""
        now_ms = self._clock.monotonic_ms()
        if not self.opened:
            self._tick_open(now_ms)
            return
        due = [d for d in self._confirmation_due_times_ms if d <= now_ms]
        if due:
            del self._confirmation_due_times_ms[: len(due)]
            self._send_ack()
        if not self._output.retransmit_if_due():
            self._send(_KIND.RESET, self._output.end, b'')
            self._end_and_kill_tasks(EndReason.NOT_ACKNOWLEDGED)

    def _tick_open(self, now_ms):
        if now_ms >= self._open_deadline_ms:
            self._end_and_kill_tasks(EndReason.NOT_OPENED)
            return
        if now_ms >= self._open_due_ms:
            self._open_due_ms = now_ms + self._open_retry_ms
            self._open_retry_ms = min(
                self._open_retry_ms * 2, MAX_OPEN_RETRY_MS
            )
            self._send(_KIND.OPEN, 0, b'')

    def _end_and_kill_tasks(self, reason):
        self.end(reason)
        self._writer.kill(block=False)
        self._reader.kill(block=False)

    def end(self, reason):
        """End the connection and close the socket; idempotent."""
        if self.end_reason is not None:
            return
        self.end_reason = reason
        if reason != EndReason.CLOSED:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )
        self._sock.close()
        self._output_acknowledged.set()
        self._caller_data_ready.set()

    def _send_segment(self, offset, payload, is_end):
        self._send(_KIND.CLOSE if is_end else _KIND.DATA, offset, payload)

    def _send_ack(self):
        self._send(_KIND.ACK, self._output.end, b'')

    def _send(self, kind, offset, payload):
        caller_address, service_address, return_address = self.addresses
        self._send_packet(
            packet_module.Packet(
                int(kind),
                self.connection_id,
                self.stream_id,
                offset,
                self._input.next_offset,
                payload,
                caller_address,
                service_address,
                return_address,
            )
        )
