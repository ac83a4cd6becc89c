"""A caller's connection on the agent that owns it."""

import gevent
from gevent import event

from kingcupport.connections import connection_state
from kingcupport.connections import http_answers
from kingcupport.connections import http_requests
from kingcupport.connections import input_stream
from kingcupport.connections import output_stream
from kingcupport.connections import pending_request
from kingcupport.connections import request_factory
from kingcupport.requests import answer as answer_module
from kingcupport.wire import packet as packet_module

MAX_INBOX_PACKETS = 1024
# OPENED is resent until the connection is confirmed. The confirmation may be
# the only packet of an idle caller; if it was lost, the connection would end
# as half-open.
OPENED_RESEND_INTERVAL_MS = 1_000


class Connection:
    """Terminates one connection and answers its requests in order.

    A single task, started by ``start``, processes the connection. Other tasks
    only append to the inbox, set results and wake that task.

    Args:
        identity: The ConnectionIdentity.
        send_packet: Called with each Packet for the caller; never blocks.
        runner: RequestRunner for the requests.
        clock: Clock.
        limits: ConnectionLimits.
        make_request_id: Returns a unique request id.
        on_end: Called with the connection when it has ended.
        state: ConnectionState to continue from; None for a new connection.

    Attributes:
        identity: As given.
        frozen: Whether a handoff is in progress; nothing is read or sent.
        confirmed: Whether the caller has used the stream id.
    """

    def __init__(
        self,
        identity,
        send_packet,
        runner,
        clock,
        limits,
        make_request_id,
        on_end,
        state=None,
    ):
        self.identity = identity
        self.frozen = False
        self.confirmed = state is not None and state.confirmed
        self._send_packet = send_packet
        self._runner = runner
        self._clock = clock
        self._limits = limits
        self._make_request_id = make_request_id
        self._on_end = on_end
        # Lists, because most connections are idle, and an empty deque takes
        # 760 bytes but an empty list 56.
        self._inbox = []
        self._wake = event.Event()
        self._parser = http_requests.RequestParser()
        self._pending = []
        self._ended = False
        self._closing = False
        self._last_output = b''
        self._task = None
        self._request_deadline_ms = None
        self._opened_due_ms = None
        now_ms = clock.monotonic_ms()
        if state is None:
            self._input = input_stream.InputStream()
            self._output = output_stream.OutputStream(
                self._send_segment, clock
            )
            self._idle_deadline_ms = now_ms + limits.half_open_timeout_ms
        else:
            self._continue_from(state, now_ms)

    def _continue_from(self, state, now_ms):
        self._input = input_stream.InputStream(
            state.input_offset, state.input_ended
        )
        self._output = output_stream.OutputStream(
            self._send_segment, self._clock, state.output
        )
        self._closing = state.closing
        self._last_output = state.last_output
        self._pending.extend(state.pending)
        self._idle_deadline_ms = now_ms + (
            self._limits.idle_timeout_ms
            if state.confirmed
            else self._limits.half_open_timeout_ms
        )
        # ``start`` parses these bytes after starting the pending requests.
        self._parser.feed(state.unparsed)

    @property
    def idle(self):
        """Whether nothing is in progress in either direction."""
        return (
            self.confirmed
            and self._parser.idle
            and not self._pending
            and not self._inbox
            and self._output.buffered_bytes == 0
            and not self._closing
        )

    @property
    def buffered_bytes(self):
        """Number of output bytes that are kept for retransmission."""
        return self._output.buffered_bytes

    def start(self, pending_runner=None):
        """Start the connection's task.

        Args:
            pending_runner: RequestRunner for the pending requests of the state
                from which the connection continues; None for a new connection.
        """
        for pending in self._pending:
            pending.start(pending_runner, self._wake.set)
        self._accept_requests()
        if not self.confirmed:
            self.send_opened()
        # Resends the unacknowledged output of an adopted connection.
        self._output.write(b'')
        self._task = gevent.spawn(self._run)

    def deliver(self, packet):
        """Queue a packet from the caller; never blocks.

        Args:
            packet: A Packet that carries this connection's stream id, or a
                retransmitted OPEN.
        """
        if self.frozen or len(self._inbox) >= MAX_INBOX_PACKETS:
            # Dropped: the fabric retransmits it.
            return
        self._inbox.append(packet)
        self._wake.set()

    def freeze(self):
        """Stop reading and sending; return the ConnectionState."""
        self.frozen = True
        self._inbox.clear()
        return connection_state.ConnectionState(
            identity=self.identity,
            input_offset=self._input.next_offset,
            input_ended=self._input.ended,
            unparsed=self._parser.unparsed(),
            output=self._output.state(),
            pending=tuple(self._pending),
            closing=self._closing,
            last_output=self._last_output,
            confirmed=self.confirmed,
        )

    def resume(self):
        """Continue after a freeze whose handoff was aborted."""
        self.frozen = False
        self._wake.set()

    def terminate(self):
        """End the connection here without sending anything to the caller."""
        self._ended = True
        self._wake.set()

    def reset(self):
        """Send a reset to the caller and end the connection."""
        self._send(packet_module.PacketKind.RESET, 0, b'')
        self._cancel_pending()
        self.terminate()

    def _run(self):
        try:
            while not self._ended:
                self._wake.wait(self._seconds_to_next_deadline())
                self._wake.clear()
                if not self.frozen and not self._ended:
                    self._process_events()
        finally:
            self._ended = True
            self._on_end(self)

    def _seconds_to_next_deadline(self):
        if self.frozen:
            return None
        deadlines = (
            self._output.retransmission_deadline_ms,
            self._request_deadline_ms,
            self._idle_deadline_ms,
            self._opened_due_ms,
        )
        next_ms = min(d for d in deadlines if d is not None)
        return max(0, next_ms - self._clock.monotonic_ms()) / 1000

    def _process_events(self):
        while self._inbox and not self._ended:
            self._process_packet(self._inbox.pop(0))
        self._write_answers()
        if not self._output.retransmit_if_due():
            self.reset()
        self._check_timeouts()
        self._resend_opened()
        if self._output.finished:
            self._ended = True

    def _process_packet(self, packet):
        kind = packet.kind
        now_ms = self._clock.monotonic_ms()
        if kind == packet_module.PacketKind.OPEN:
            self.send_opened()
            return
        self.confirmed = True
        self._opened_due_ms = None
        self._idle_deadline_ms = now_ms + self._limits.idle_timeout_ms
        if kind == packet_module.PacketKind.RESET:
            self._cancel_pending()
            self._ended = True
            return
        is_ack_only = kind == packet_module.PacketKind.ACK
        self._output.on_ack(packet.ack, is_ack_only)
        if kind == packet_module.PacketKind.DATA:
            self._process_data(packet)
        elif kind == packet_module.PacketKind.CLOSE:
            self._process_close(packet)

    def _process_data(self, packet):
        if self._can_accept_data():
            data = self._input.on_segment(packet.offset, packet.payload)
            if data and not self._closing:
                self._parser.feed(data)
                self._accept_requests()
        self._send(packet_module.PacketKind.ACK, self._output.end, b'')

    def _can_accept_data(self):
        return (
            self._parser.unread_bytes < input_stream.RECEIVE_WINDOW_BYTES
            and self._output.buffered_bytes < output_stream.MAX_BUFFERED_BYTES
        )

    def _process_close(self, packet):
        self._input.on_end(packet.offset)
        self._send(packet_module.PacketKind.ACK, self._output.end, b'')
        self._accept_requests()

    def _stop_reading(self):
        self._closing = True
        self._request_deadline_ms = None
        self._parser.discard()

    def _accept_requests(self):
        try:
            while (
                not self._closing
                and len(self._pending) < self._limits.max_pipelined_count
                and (parsed := self._parser.next_request()) is not None
            ):
                self._accept_request(parsed)
        except http_requests.HttpRequestError as error:
            self._refuse_input(error)
            return
        if self._input.ended and not self._parser.unread_bytes:
            self._stop_reading()
        self._set_request_deadline()

    def _set_request_deadline(self):
        if not self._parser.is_incomplete:
            self._request_deadline_ms = None
        elif self._request_deadline_ms is None:
            now_ms = self._clock.monotonic_ms()
            self._request_deadline_ms = (
                now_ms + self._limits.request_timeout_ms
            )

    def _accept_request(self, parsed):
        pending = pending_request.PendingRequest(
            self._make_request(parsed), parsed.http_version, parsed.keep_alive
        )
        if not parsed.keep_alive:
            self._stop_reading()
        self._pending.append(pending)
        pending.start(self._runner, self._wake.set)

    def _make_request(self, parsed):
        return request_factory.make_request(
            parsed,
            self._make_request_id(),
            self._limits.default_timeout_ms,
            self._clock.monotonic_ms(),
        )

    def _refuse_input(self, error):
        self._stop_reading()
        refusal = answer_module.Answer(
            error.status,
            ((b'content-type', b'text/plain; charset=utf-8'),),
            error.reason.encode() + b'\n',
            answer_module.Outcome.NOT_RUN,
        )
        self._last_output = http_answers.format_answer(
            refusal, 'GET', '1.1', keep_alive=False
        )

    def _write_answers(self):
        while self._pending and self._pending[0].result.ready():
            self._write_answer(self._pending.pop(0))
            self._accept_requests()
        if not self._pending:
            self._output.write(self._parser.take_continue_response())
        if self._pending or not self._closing:
            return
        if self._last_output:
            self._output.write(self._last_output)
            self._last_output = b''
        self._output.close()

    def _write_answer(self, pending):
        self._output.write(
            http_answers.format_answer(
                pending.result.get(),
                pending.request.method,
                pending.http_version,
                pending.keep_alive,
            )
        )

    def _check_timeouts(self):
        now_ms = self._clock.monotonic_ms()
        request_deadline_ms = self._request_deadline_ms
        if request_deadline_ms is not None and now_ms >= request_deadline_ms:
            self._refuse_input(
                http_requests.HttpRequestError('request took too long', 408)
            )
            self._write_answers()
        if now_ms < self._idle_deadline_ms:
            return
        if self._pending:
            self._idle_deadline_ms = now_ms + self._limits.idle_timeout_ms
        elif self.confirmed:
            self.reset()
        else:
            # The fabric uses the connection of another agent that answered the
            # same OPEN.
            self._ended = True

    def _resend_opened(self):
        now_ms = self._clock.monotonic_ms()
        if self._opened_due_ms is not None and now_ms >= self._opened_due_ms:
            self.send_opened()

    def _cancel_pending(self):
        for pending in self._pending:
            pending.cancel()

    def send_opened(self):
        """Send OPENED to the caller; it is resent until confirmed."""
        self._send(packet_module.PacketKind.OPENED, 0, b'')
        if not self.confirmed:
            now_ms = self._clock.monotonic_ms()
            self._opened_due_ms = now_ms + OPENED_RESEND_INTERVAL_MS

    def _send_segment(self, offset, payload, is_end):
        if self.frozen or self._ended:
            return
        kinds = packet_module.PacketKind
        self._send(kinds.CLOSE if is_end else kinds.DATA, offset, payload)

    def _send(self, kind, offset, payload):
        identity = self.identity
        self._send_packet(
            packet_module.Packet(
                int(kind),
                identity.connection_id,
                identity.stream_id,
                offset,
                self._input.next_offset,
                payload,
                identity.caller_address,
                identity.service_address,
                identity.return_address,
            )
        )
