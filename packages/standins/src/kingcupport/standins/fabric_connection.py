"""One caller's TCP connection at the fabric."""

import enum
import struct

import gevent
from gevent import event
from gevent import socket

from kingcupport.connections import input_stream
from kingcupport.connections import output_stream
from kingcupport.wire import packet as packet_module

READ_BYTES = 65_536
# The caller is read no further while this much is unacknowledged.
OUTPUT_LIMIT_BYTES = 262_144
# Answers are dropped, and sent again later, while the caller has this much
# to read.
CALLER_LIMIT_BYTES = 1024 * 1024
FIRST_OPEN_RETRY_MS = 200
MAX_OPEN_RETRY_MS = 2000
OPEN_GIVE_UP_MS = 15_000
# An agent forgets a half-open connection unless a packet repeats the stream
# identifier; nothing answers that packet, so it is sent more than once.
CONFIRMATION_DELAYS_MS = (200, 600, 1500)
# Time for the caller to close after the agent has ended its stream.
CALLER_CLOSE_TIMEOUT_MS = 2000
_LINGER_RESET = struct.pack('ii', 1, 0)
_KIND = packet_module.PacketKind


class EndReason(enum.StrEnum):
    """Why a connection has ended."""

    CLOSED = 'closed'
    RESET_BY_CALLER = 'reset_by_caller'
    RESET_BY_AGENT = 'reset_by_agent'
    NOT_OPENED = 'not_opened'
    NOT_ACKNOWLEDGED = 'not_acknowledged'
    FABRIC_STOPPED = 'fabric_stopped'


class FabricConnection:
    """Cuts a TCP stream into packets and puts the answers together.

    Args:
        sock: The accepted socket.
        connection_id: Random 64-bit number.
        addresses: ``ip:port`` of caller, service and return port.
        send_packet: Called with each Packet; never blocks for long.
        clock: Clock.
        on_outstanding: Called with the connection when it has a deadline
            that ``tick`` has to check.
    """

    def __init__(
        self,
        sock,
        connection_id,
        addresses,
        send_packet,
        clock,
        on_outstanding,
    ):
        self.connection_id = connection_id
        self.addresses = addresses
        self.stream_id = 0
        self.end_reason = None
        self._sock = sock
        self._send_packet = send_packet
        self._clock = clock
        self._on_outstanding = on_outstanding
        self._input = input_stream.InputStream()
        self._output = output_stream.OutputStream(self._send_segment, clock)
        self._opened = event.Event()
        self._room = event.Event()
        self._for_caller = bytearray()
        self._caller_wake = event.Event()
        self._reader = None
        self._writer = None
        now_ms = clock.monotonic_ms()
        self._open_retry_ms = FIRST_OPEN_RETRY_MS
        self._open_due_ms = now_ms
        self._open_give_up_ms = now_ms + OPEN_GIVE_UP_MS
        self._confirmations_due_ms = []

    @property
    def opened(self):
        """Whether an agent has accepted the connection."""
        return self._opened.is_set()

    @property
    def next_offset(self):
        """Number of positions received from the agent."""
        return self._input.next_offset

    def to_plain(self):
        """Return what is pending, as a JSON object."""
        return {
            'connection_id': self.connection_id,
            'caller_address': self.addresses[0],
            'service_address': self.addresses[1],
            'opened': self.opened,
            'unacknowledged_bytes': self._output.buffered_bytes,
            'received_bytes': self._input.next_offset,
        }

    @property
    def outstanding(self):
        """Whether ``tick`` has a deadline to check."""
        return self.end_reason is None and (
            not self.opened
            or bool(self._confirmations_due_ms)
            or self._output.retransmission_deadline_ms is not None
        )

    def run(self):
        """Carry the connection until it has ended; blocks."""
        self._reader = gevent.getcurrent()
        self._writer = gevent.spawn(self._write_to_caller)
        self._on_outstanding(self)
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
                # The agent takes no more; the rest is read and dropped.
                if not data:
                    return
                continue
            if not data:
                self._output.close()
                self._on_outstanding(self)
                return
            self._output.write(data)
            self._on_outstanding(self)
            self._wait_for_room()

    def _wait_for_room(self):
        while (
            self._output.buffered_bytes > OUTPUT_LIMIT_BYTES
            and self.end_reason is None
        ):
            self._room.clear()
            self._room.wait()

    def _write_to_caller(self):
        while self.end_reason is None:
            self._caller_wake.wait()
            self._caller_wake.clear()
            while self._for_caller:
                data = bytes(self._for_caller)
                try:
                    self._sock.sendall(data)
                except OSError:
                    self._reset_agent(EndReason.RESET_BY_CALLER)
                    return
                del self._for_caller[: len(data)]
            if self._input.ended:
                self._finish_caller()
                return

    def _finish_caller(self):
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            return
        # The reader ends when the caller closes, at the latest then.
        gevent.spawn_later(CALLER_CLOSE_TIMEOUT_MS / 1000, self._wake_reader)

    def _wake_reader(self):
        if self.end_reason is None:
            self._end_tasks(EndReason.CLOSED)

    def _reset_agent(self, reason):
        if self.end_reason is None:
            self._send(_KIND.RESET, self._output.end, b'')
            self.end(reason)

    def on_packet(self, packet):
        """Take a packet of the agent; never blocks."""
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
            self._caller_wake.set()
            self._send_ack()

    def _process_opened(self, packet):
        if not self.opened:
            now_ms = self._clock.monotonic_ms()
            self.stream_id = packet.stream_id
            self._confirmations_due_ms = [
                now_ms + delay_ms for delay_ms in CONFIRMATION_DELAYS_MS
            ]
            self._opened.set()
        if packet.stream_id == self.stream_id:
            self._send_ack()

    def _process_reset(self):
        # An agent that has ended its stream knows the connection no more.
        ended = self._input.ended and not self._for_caller
        reason = EndReason.CLOSED if ended else EndReason.RESET_BY_AGENT
        self._end_tasks(reason)

    def _process_ack(self, packet):
        # A data packet repeats the acknowledgement without meaning that a
        # segment was lost; only a bare ACK counts as a duplicate.
        acknowledged = self._output.end - self._output.buffered_bytes
        if packet.kind == _KIND.ACK or packet.ack > acknowledged:
            self._output.on_ack(packet.ack)
            self._room.set()

    def _process_data(self, packet):
        if len(self._for_caller) > CALLER_LIMIT_BYTES:
            return
        data = self._input.on_segment(packet.offset, packet.payload)
        if data or self._input.ended:
            self._for_caller += data
            self._caller_wake.set()
        self._send_ack()

    def tick(self):
        """Send again what is due."""
        now_ms = self._clock.monotonic_ms()
        if not self.opened:
            self._tick_open(now_ms)
            return
        due = [d for d in self._confirmations_due_ms if d <= now_ms]
        if due:
            del self._confirmations_due_ms[: len(due)]
            self._send_ack()
        if not self._output.resend_due():
            self._send(_KIND.RESET, self._output.end, b'')
            self._end_tasks(EndReason.NOT_ACKNOWLEDGED)

    def _tick_open(self, now_ms):
        if now_ms >= self._open_give_up_ms:
            self._end_tasks(EndReason.NOT_OPENED)
            return
        if now_ms >= self._open_due_ms:
            self._open_due_ms = now_ms + self._open_retry_ms
            self._open_retry_ms = min(
                self._open_retry_ms * 2, MAX_OPEN_RETRY_MS
            )
            self._send(_KIND.OPEN, 0, b'')

    def _end_tasks(self, reason):
        self.end(reason)
        self._writer.kill(block=False)
        self._reader.kill(block=False)

    def end(self, reason):
        """End the connection and close the socket, unless it has ended."""
        if self.end_reason is not None:
            return
        self.end_reason = reason
        if reason != EndReason.CLOSED:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )
        self._sock.close()
        self._room.set()
        self._caller_wake.set()

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
