"""Tracks the flows of one backend server from the packets at its agent."""

import collections

import attrs

from kingcupport.wire import flow_datagrams

# A server holds at most 2,000 connections; the remainder is for flows that
# have ended, which are evicted first.
MAX_HELD_FLOWS = 4_096
# The failure rate covers the latest answers, up to this number and age. The
# age limit lets a server that gets few requests be tried again.
MAX_RECENT_ANSWERS = 16
MAX_RECENT_ANSWER_AGE_MS = 3_000
# Below this number of answers, the failure rate is reported as 0.
MIN_RECENT_ANSWERS = 3
# A server answers an opening packet in about 1 ms; the rest allows for a slow
# or starting instance.
OPEN_ANSWER_TIMEOUT_MS = 60
# A client sends its request one round trip of 4 to 10 ms after the opening
# packet. A flow without a request is no longer counted as running after this
# time: its client has given up or has connected to another server. With
# 300 ms, such flows made the servers look busy after an outage, and all other
# flows missed their targets too.
MAX_REQUEST_WAIT_MS = 40
# The longest request takes 260 ms, and a slow server takes 8 times as long. A
# request that is still unanswered is no longer counted as running.
MAX_REQUEST_MS = 3_000
# Sequence numbers wrap at 32 bits.
_SEQUENCE_MODULUS = 1 << 32
_HALF_SEQUENCE_MODULUS = 1 << 31
# Lowest HTTP status whose answers do not count for the service time: they may
# come much sooner than others.
LOWEST_ERROR_STATUS = 400
# Lowest HTTP status that counts as a failure.
FAILURE_STATUS = 500
# Statuses that guarantee that the request was not run. They do not count as
# failures, because a server that is full is not faulty.
NOT_RUN_STATUSES = frozenset((421, 503))


@attrs.define
class HeldFlow:
    """A flow of the server; times are on the monotonic clock.

    Args:
        balancer: ``(ip, port)`` of the balancer that sent the client's latest
            packet; None before the first.
        opened_ms: Time of the first packet that the agent saw.
        last_packet_ms: Time of the latest packet.
        server_sequence: Initial sequence number of the server; None until the
            server has accepted the flow.
        server_end_sequence: Sequence number after the last byte sent by the
            server.
        running_since_ms: Start time of the request in progress, or None.
        unanswered_since_ms: Start time of the request whose answer head was
            not seen yet, or None. The packet that closes the flow may arrive
            before the head.
        is_held: Whether the server has sent a packet for the flow.
        is_closed: Whether the server has closed its side or reset the flow.
        is_client_closed: Whether the client has closed its side.
        request_id: Id of the latest request, or None.
        opening_data: Bytes of the opening packet until it is accepted.
        client_end_sequence: Sequence number after the client's last byte; None
            before the first. It identifies retransmitted data, which starts no
            new request.
    """

    balancer: tuple
    opened_ms: float
    last_packet_ms: float
    server_sequence: int | None = None
    server_end_sequence: int = 0
    running_since_ms: float | None = None
    unanswered_since_ms: float | None = None
    is_held: bool = False
    is_closed: bool = False
    is_client_closed: bool = False
    request_id: str | None = None
    opening_data: bytes = b''
    client_end_sequence: int | None = None


class HeldFlows:
    """The flows of the server, its running requests and its failure rate.

    A full table evicts the flows that have ended or that the server has not
    accepted. If it has to evict an open one, the table no longer shows which
    flows the server does not hold, until that flow has reached its maximum
    age.

    Args:
        clock: Clock.
        max_age_ms: Age at which a flow may be dropped.
        is_complete: Whether the server had no flow before the agent started.
            Otherwise the table counts as complete after ``max_age_ms``.
        capacity: Maximum number of flows.

    Attributes:
        evicted_open_count: Number of open flows that were evicted.
        is_silent: Whether the server has stopped answering; set by the owner
            and cleared by any packet of the server.
        service_time: ServiceTime that is told of each request, or None.
    """

    def __init__(
        self, clock, max_age_ms, *, is_complete, capacity=MAX_HELD_FLOWS
    ):
        self._clock = clock
        self._max_age_ms = max_age_ms
        self._capacity = capacity
        self._complete_from_ms = (
            0.0 if is_complete else clock.monotonic_ms() + max_age_ms
        )
        self._flows = collections.OrderedDict()
        # Flows that the server need not be asked about, oldest first.
        self._evictable = collections.OrderedDict()
        self.evicted_open_count = 0
        # Start times by flow, oldest first: flows that wait for a request, and
        # requests that wait for an answer.
        self._awaiting_request = {}
        self._running = {}
        self._opening = {}
        self._answers = collections.deque(maxlen=MAX_RECENT_ANSWERS)
        self.is_silent = False
        self.service_time = None

    def __len__(self):
        """Return the number of flows."""
        return len(self._flows)

    @property
    def running(self):
        """Number of requests that the server has not answered.

        Includes flows whose request is expected after the opening packet.
        """
        now_ms = self._clock.monotonic_ms()
        self._prune(self._awaiting_request, now_ms - MAX_REQUEST_WAIT_MS)
        self._prune(self._running, now_ms - MAX_REQUEST_MS)
        return len(self._awaiting_request) + len(self._running)

    def _prune(self, since_by_flow, oldest_ms):
        while since_by_flow:
            flow, since_ms = next(iter(since_by_flow.items()))
            if since_ms >= oldest_ms:
                return
            del since_by_flow[flow]
            self._stop_measuring(flow)
            held = self._flows.get(flow)
            if held is not None:
                held.running_since_ms = None

    @property
    def open_count(self):
        """Number of flows that the server holds and has not closed."""
        return sum(
            held.is_held and not held.is_closed
            for held in self._flows.values()
        )

    def oldest_age_ms(self):
        """Return the age of the oldest running request in ms, or 0."""
        if not self.running or not self._running:
            return 0
        oldest_ms = next(iter(self._running.values()))
        return max(0, int(self._clock.monotonic_ms() - oldest_ms))

    def failing_percent(self):
        """Return the failure rate of the recent answers in percent."""
        oldest_ms = self._clock.monotonic_ms() - MAX_RECENT_ANSWER_AGE_MS
        while self._answers and self._answers[0][0] < oldest_ms:
            self._answers.popleft()
        if len(self._answers) < MIN_RECENT_ANSWERS:
            return 0
        failures = sum(is_failure for _, is_failure in self._answers)
        return 100 * failures // len(self._answers)

    def get(self, flow):
        """Return the HeldFlow, or None."""
        return self._flows.get(flow)

    def on_client_packet(self, packet, data, balancer):
        """Record a packet that is forwarded to the server.

        Args:
            packet: FlowPacket.
            data: Its bytes.
            balancer: ``(ip, port)`` of the balancer that sent it.

        Returns:
            The HeldFlow.
        """
        now_ms = self._clock.monotonic_ms()
        held = self._flows.get(packet.flow)
        if held is None or (
            packet.is_open and held.is_closed and held.is_client_closed
        ):
            held = HeldFlow(balancer, now_ms, now_ms)
            self._add(packet.flow, held)
        held.balancer = balancer
        held.last_packet_ms = now_ms
        if packet.is_close or packet.is_reset:
            held.is_client_closed = True
            self._update_evictable(packet.flow, held)
        if packet.is_open and held.server_sequence is None:
            held.opening_data = data
            self._opening.setdefault(
                packet.flow, now_ms + OPEN_ANSWER_TIMEOUT_MS
            )
            if held.running_since_ms is None:
                held.running_since_ms = now_ms
                self._awaiting_request[packet.flow] = now_ms
        elif packet.data_bytes and self._carries_new_data(held, packet):
            self._start_request(packet.flow, held, now_ms)
        elif packet.is_reset:
            self._finish_request(packet.flow, held)
        return held

    def on_server_packet(self, packet, status):
        """Record a packet sent by the server.

        Args:
            packet: FlowPacket.
            status: HTTP status at the start of its data, or None.

        Returns:
            ``(HeldFlow, is_first, took_ms)``: whether this is the first packet
            of the server for the flow, and the duration of the request if the
            packet carries the head of its answer or resets the flow without
            one, else None.
        """
        now_ms = self._clock.monotonic_ms()
        self.is_silent = False
        held = self._flows.get(packet.flow)
        if held is None:
            # The flow was opened before the agent started.
            held = HeldFlow(None, now_ms, now_ms)
            self._add(packet.flow, held)
        elif (
            packet.is_open_answer
            and held.server_sequence is not None
            and packet.sequence != held.server_sequence
        ):
            # The client uses the port of an earlier flow again.
            held = HeldFlow(held.balancer, now_ms, now_ms)
            self._add(packet.flow, held)
        held.last_packet_ms = now_ms
        was_held = held.is_held
        held.is_held = True
        self._opening.pop(packet.flow, None)
        held.opening_data = b''
        self._update_server_sequence(held, packet)
        took_ms = self._record_answer(held, packet, status, now_ms)
        if took_ms is not None:
            self._stop_measuring(
                packet.flow,
                is_success=not packet.is_reset
                and status < LOWEST_ERROR_STATUS,
            )
        if packet.is_close or packet.is_reset:
            held.is_closed = True
        if packet.is_reset:
            held.is_client_closed = True
        self._update_evictable(packet.flow, held)
        if packet.data_bytes or held.is_closed:
            self._finish_request(packet.flow, held)
        return held, not was_held, took_ms

    def _record_answer(self, held, packet, status, now_ms):
        since_ms = held.unanswered_since_ms
        is_end = status is not None or packet.is_reset
        if since_ms is None or not is_end:
            return None
        held.unanswered_since_ms = None
        is_failure = packet.is_reset or (
            status >= FAILURE_STATUS and status not in NOT_RUN_STATUSES
        )
        self._answers.append((now_ms, is_failure))
        return now_ms - since_ms

    def on_bounce(self, packet):
        """Record a client packet that the server returned as undeliverable.

        Returns:
            ``(HeldFlow, DeclineReason)`` for the answer to the balancer; the
            HeldFlow is None if the flow is unknown.
        """
        held = self._flows.get(packet.flow)
        self.is_silent = False
        if held is None:
            return None, flow_datagrams.DeclineReason.NOT_HELD
        self._opening.pop(packet.flow, None)
        if packet.is_open:
            # A late copy of the opening packet does not end an open flow.
            if not held.is_held:
                self.forget(packet.flow)
            return held, flow_datagrams.DeclineReason.UNAVAILABLE
        reason = (
            flow_datagrams.DeclineReason.ENDED
            if held.server_sequence is not None
            and self._matches_server_sequence(held, packet.acknowledged)
            else flow_datagrams.DeclineReason.NOT_HELD
        )
        self.forget(packet.flow)
        return held, reason

    def holding(self, flow, acknowledged):
        """Return whether the server holds a flow, as a Holding value.

        Args:
            flow: Bytes that identify the flow.
            acknowledged: Sequence number that the client's packet
                acknowledges.
        """
        held = self._flows.get(flow)
        if held is not None and held.is_held:
            if self._matches_server_sequence(held, acknowledged):
                return flow_datagrams.Holding.YES
            if held.server_sequence is not None:
                return flow_datagrams.Holding.NO
        if self._clock.monotonic_ms() < self._complete_from_ms:
            return flow_datagrams.Holding.UNKNOWN
        return flow_datagrams.Holding.NO

    def is_other_flow(self, packet):
        """Whether a client's packet belongs to a flow of another server.

        If copies of an opening packet reach two servers, both answer, and the
        client continues with one of them. The acknowledged sequence number
        tells which.
        """
        held = self._flows.get(packet.flow)
        return (
            held is not None
            and held.server_sequence is not None
            and not packet.is_open
            and not self._matches_server_sequence(held, packet.acknowledged)
        )

    def timed_out_openings(self):
        """Return ``(flow, HeldFlow)`` pairs whose opening packet timed out."""
        now_ms = self._clock.monotonic_ms()
        due = []
        for flow, deadline_ms in self._opening.items():
            if deadline_ms > now_ms:
                break
            due.append(flow)
        return [
            (flow, self._flows[flow]) for flow in due if flow in self._flows
        ]

    def has_pending_opening(self):
        """Whether any opening packet waits for the server's answer."""
        return bool(self._opening)

    def forget(self, flow):
        """Remove a flow, if it is known."""
        held = self._flows.pop(flow, None)
        self._opening.pop(flow, None)
        self._evictable.pop(flow, None)
        if held is not None:
            self._finish_request(flow, held)

    def drop_expired(self, idle_timeout_ms):
        """Remove the flows that are idle or older than the maximum age.

        Args:
            idle_timeout_ms: Time without a packet after which a flow is
                removed.
        """
        now_ms = self._clock.monotonic_ms()
        expired = [
            flow
            for flow, held in self._flows.items()
            if now_ms - held.last_packet_ms > idle_timeout_ms
            or now_ms - held.opened_ms > self._max_age_ms
        ]
        for flow in expired:
            self.forget(flow)

    def _add(self, flow, held):
        self.forget(flow)
        if len(self._flows) >= self._capacity:
            self._evict()
        self._flows[flow] = held
        self._update_evictable(flow, held)

    def _update_evictable(self, flow, held):
        if not held.is_held or (held.is_closed and held.is_client_closed):
            self._evictable[flow] = None
        else:
            self._evictable.pop(flow, None)

    def _evict(self):
        if self._evictable:
            self.forget(next(iter(self._evictable)))
            return
        flow, held = next(iter(self._flows.items()))
        self.forget(flow)
        self.evicted_open_count += 1
        self._complete_from_ms = max(
            self._complete_from_ms, held.opened_ms + self._max_age_ms
        )

    def _carries_new_data(self, held, packet):
        end = (packet.sequence + packet.data_bytes) % _SEQUENCE_MODULUS
        is_new = held.client_end_sequence is None or (
            0
            < (end - held.client_end_sequence) % _SEQUENCE_MODULUS
            < _HALF_SEQUENCE_MODULUS
        )
        if is_new:
            held.client_end_sequence = end
        return is_new

    def _start_request(self, flow, held, now_ms):
        if held.is_closed or flow in self._running:
            return
        self._awaiting_request.pop(flow, None)
        if held.running_since_ms is None:
            held.running_since_ms = now_ms
        self._running[flow] = now_ms
        if self.service_time is not None:
            self.service_time.start(flow)
        if held.server_sequence is not None:
            held.unanswered_since_ms = now_ms

    def _stop_measuring(self, flow, *, is_success=False):
        if self.service_time is not None:
            self.service_time.stop(flow, is_success=is_success)

    def _finish_request(self, flow, held):
        held.running_since_ms = None
        self._stop_measuring(flow)
        self._awaiting_request.pop(flow, None)
        self._running.pop(flow, None)

    def _matches_server_sequence(self, held, acknowledged):
        if held.server_sequence is None:
            # The opening was not seen, so the initial sequence number is
            # unknown; a packet of the server shows that it holds the flow.
            return held.is_held
        return (
            0
            < (acknowledged - held.server_sequence) % _SEQUENCE_MODULUS
            <= max(
                1,
                (held.server_end_sequence - held.server_sequence)
                % _SEQUENCE_MODULUS,
            )
        )

    def _update_server_sequence(self, held, packet):
        end = (packet.sequence + packet.data_bytes) % _SEQUENCE_MODULUS
        if packet.is_open_answer:
            held.server_sequence = packet.sequence
            end = (packet.sequence + 1) % _SEQUENCE_MODULUS
            if held.server_end_sequence == 0:
                held.server_end_sequence = end
        if packet.is_close:
            end = (end + 1) % _SEQUENCE_MODULUS
        if (
            0
            < (end - held.server_end_sequence) % _SEQUENCE_MODULUS
            < _HALF_SEQUENCE_MODULUS
        ):
            held.server_end_sequence = end


def make_held_flows(clock, max_age_ms, *, is_complete):
    """Return an empty table.

    Args:
        clock: Clock.
        max_age_ms: Age at which a flow may be dropped.
        is_complete: Whether the server had no flow before the agent started.
    """
    return HeldFlows(clock, max_age_ms, is_complete=is_complete)
