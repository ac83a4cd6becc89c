"""Carries packets between balancers, the backend server and clients."""

from kingcupport.common import errors
from kingcupport.flows import held_flows
from kingcupport.wire import flow_datagrams

# A subscription lasts for so many greetings.
GREETINGS_KEPT = 2.6
MAX_INTERVAL_MS = 600_000
# Up to so many balancers get every report, and each of them knows the load of
# a server exactly. In larger fleets that would be most of the traffic: a
# report for each change goes to a few only, and a server that is busy gives
# the opening packet back.
MAX_FULL_SUBSCRIBERS = 12
REPORT_FANOUT = 3
# A silent server is offered a flow again after this time.
SILENT_MS = 1_000


class FlowDataPath:
    """Decides for each packet at an agent where it goes.

    Args:
        settings: FlowAgentSettings.
        clock: Clock.
        rng: random.Random.
        packet_format: FlowPacketFormat.
        counters: FlowCounters.
        decisions: DecisionLog.
        send_to_server: ``send(data, address)`` on the server's socket.
        send_to_client: ``send(data, address)`` on any socket.
        send_to_balancer: ``send(data, address)`` on the agent's socket.
        on_opening: Called when an opening packet waits for the server.
    """

    def __init__(
        self,
        settings,
        clock,
        rng,
        packet_format,
        counters,
        decisions,
        *,
        send_to_server,
        send_to_client,
        send_to_balancer,
        on_opening,
    ):
        self._settings = settings
        self._clock = clock
        self._format = packet_format
        self._counters = counters
        self._decisions = decisions
        self._send_to_server = send_to_server
        self._send_to_client = send_to_client
        self._send_to_balancer = send_to_balancer
        self._on_opening = on_opening
        self.held = held_flows.make_held_flows(
            clock,
            settings.max_flow_ms,
            is_complete=settings.is_first_start,
        )
        self._rng = rng
        self._boot = rng.getrandbits(32)
        self._sequence = 0
        self._subscribers = {}
        # Running requests, and what all balancers are told of.
        self._reported = (0, (0, False, False))
        self._silent_until_ms = 0.0
        self._heard_ms = 0.0
        self.is_leaving = False

    def on_balancer_datagram(self, data, source):
        """Handle a datagram of a balancer."""
        try:
            datagram = flow_datagrams.decode(data)
        except errors.KingcupportError:
            self._counters.datagrams_malformed += 1
            return
        if isinstance(datagram, flow_datagrams.FlowEnvelope):
            self._on_envelope(datagram, source)
            self._report_change()
        elif isinstance(datagram, flow_datagrams.FlowQuery):
            status = flow_datagrams.FlowStatus(
                datagram.flow, int(self.held.holding(datagram))
            )
            self._send_to_balancer(flow_datagrams.encode(status), source)
        elif isinstance(datagram, flow_datagrams.AgentGreeting):
            interval_ms = min(datagram.interval_ms, MAX_INTERVAL_MS)
            self._subscribers[source] = (
                self._clock.monotonic_ms() + GREETINGS_KEPT * interval_ms
            )
            self._send_report((source,))

    def on_server_datagram(self, data, _source):
        """Handle a packet of the server."""
        packet = self._format.read_from_server(data)
        if packet is None:
            self._counters.packets_malformed += 1
            return
        self._heard_ms = self._clock.monotonic_ms()
        if packet.is_bounced:
            balancer = self._on_bounce(packet, data)
        else:
            balancer = self._on_answer(packet, data)
        self._report_change(balancer)

    def on_unreachable(self, destination):
        """Note that the server's port is closed."""
        if destination == self._settings.server_address.as_tuple():
            self._set_silent('port is closed')
            self._report_change()

    def check_server(self):
        """Give back the opening packets that the server did not answer."""
        now_ms = self._clock.monotonic_ms()
        for flow, held in self.held.unanswered_opens():
            if self._heard_ms < held.opened_ms:
                self._set_silent('no answer to an opening packet')
            self.held.forget(flow)
            if held.balancer is not None and held.opening_data:
                self._decline(
                    flow_datagrams.DeclineReason.UNAVAILABLE,
                    held.opening_data,
                    held.balancer,
                )
        if self.held.is_silent and now_ms >= self._silent_until_ms:
            self.held.is_silent = False
        self._report_change()

    def leave(self):
        """Tell the balancers that the agent is about to stop."""
        self.is_leaving = True
        self._report_change()

    def _on_envelope(self, envelope, source):
        packet = self._format.read_from_client(envelope.packet_data)
        if packet is None:
            self._counters.packets_malformed += 1
            return
        reason = self._reason_to_decline(envelope, packet)
        if reason is not None:
            self._decline(reason, envelope.packet_data, source)
            return
        held = self.held.on_client_packet(packet, envelope.packet_data, source)
        if packet.data_bytes:
            self._note_request(held, packet, envelope.packet_data)
        self._counters.packets_to_server += 1
        self._send_to_server(
            envelope.packet_data, self._settings.server_address.as_tuple()
        )
        if packet.is_open:
            self._on_opening()
            if held.is_held:
                # The balancer has not learned it yet, or it is another one.
                self._tell_held(packet.flow, source)

    def _reason_to_decline(self, envelope, packet):
        if envelope.service not in ('', self._settings.service):
            return flow_datagrams.DeclineReason.OTHER_SERVICE
        if not packet.is_open:
            if self.held.is_other_flow(packet):
                return flow_datagrams.DeclineReason.NOT_HELD
            return None
        if self.held.get(packet.flow) is not None:
            return None
        if self.is_leaving or self.held.is_silent:
            return flow_datagrams.DeclineReason.UNAVAILABLE
        if 0 < envelope.slot_limit <= self.held.running:
            return flow_datagrams.DeclineReason.BUSY
        return None

    def _note_request(self, held, packet, data):
        request_id = self._format.request_id(data)
        if request_id is None or request_id == held.request_id:
            return
        held.request_id = request_id
        self._decisions.write(
            'request delivered',
            {
                'request': request_id,
                'flow': self._format.describe(packet.flow),
                'running': self.held.running,
                'oldest_age_ms': self.held.oldest_age_ms(),
            },
        )

    def _on_answer(self, packet, data):
        status = (
            self._format.answer_status(data) if packet.data_bytes else None
        )
        held, is_first, took_ms = self.held.on_server_packet(packet, status)
        if is_first and held.balancer is not None:
            self._counters.flows_accepted += 1
            self._tell_held(packet.flow, held.balancer)
        if took_ms is not None:
            self._note_answer(held, packet, status, took_ms)
        self._counters.packets_to_clients += 1
        self._send_to_client(data, self._format.client_address(packet.flow))
        return held.balancer

    def _tell_held(self, flow, balancer):
        status = flow_datagrams.FlowStatus(
            flow, int(flow_datagrams.Holding.YES)
        )
        self._send_to_balancer(flow_datagrams.encode(status), balancer)

    def _note_answer(self, held, packet, status, took_ms):
        self._counters.answers += 1
        self._counters.latencies['answer_ms'].add(took_ms)
        self._decisions.write(
            'request answered',
            {
                'request': held.request_id,
                'flow': self._format.describe(packet.flow),
                'status': status,
                'reset': packet.is_reset,
                'took_ms': round(took_ms),
            },
        )

    def _on_bounce(self, packet, data):
        self._counters.bounces += 1
        held, reason = self.held.on_bounce(packet)
        if held is None or held.balancer is None:
            return None
        self._decline(reason, self._format.unbounce(data), held.balancer)
        return held.balancer

    def _decline(self, reason, packet_data, balancer):
        self._counters.declines += 1
        decline = flow_datagrams.FlowDecline(int(reason), packet_data)
        self._send_to_balancer(flow_datagrams.encode(decline), balancer)

    def _set_silent(self, reason):
        if not self.held.is_silent:
            self._decisions.write('server silent', {'reason': reason})
        self.held.is_silent = True
        self._silent_until_ms = self._clock.monotonic_ms() + SILENT_MS

    # Reports

    def _report_change(self, balancer=None):
        state = (
            self.held.failing_percent(),
            self.is_leaving,
            self.held.is_silent,
        )
        running = self.held.running
        if (running, state) == self._reported:
            return
        previous_running, previous_state = self._reported
        self._reported = (running, state)
        self._drop_subscribers()
        if (
            state != previous_state
            or len(self._subscribers) <= MAX_FULL_SUBSCRIBERS
        ):
            self._send_report(self._subscribers)
        elif running < previous_running:
            chosen = self._rng.sample(list(self._subscribers), REPORT_FANOUT)
            if balancer is not None and balancer not in chosen:
                chosen.append(balancer)
            self._send_report(chosen)

    def _drop_subscribers(self):
        now_ms = self._clock.monotonic_ms()
        late = [
            a for a, due_ms in self._subscribers.items() if due_ms < now_ms
        ]
        for address in late:
            del self._subscribers[address]

    def _send_report(self, addresses):
        self._sequence += 1
        report = flow_datagrams.encode(
            flow_datagrams.LoadReport(
                self._boot,
                self._sequence,
                self._settings.service,
                self.held.running,
                self.held.oldest_age_ms(),
                self.held.failing_percent(),
                self.is_leaving,
                self.held.is_silent,
                len(self._subscribers) <= MAX_FULL_SUBSCRIBERS,
            )
        )
        for address in addresses:
            self._counters.reports_sent += 1
            self._send_to_balancer(report, address)
