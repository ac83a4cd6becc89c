"""Forwards packets between balancers, the backend server and clients."""

import heapq

import xxhash

from kingcupport.common import errors
from kingcupport.flows import cold_limit
from kingcupport.flows import held_flows
from kingcupport.flows import holder_survey
from kingcupport.flows import probe_batches
from kingcupport.flows import server_probes
from kingcupport.flows import service_time
from kingcupport.flows import slow_start
from kingcupport.wire import flow_datagrams

# Lifetime of a subscription, as a multiple of the greeting interval.
SUBSCRIPTION_GREETING_INTERVALS = 2.6
MAX_GREETING_INTERVAL_MS = 600_000
# Balancers that are told every change of the load. Each agent chooses its own,
# so that every balancer knows the exact load of a share of the servers and the
# cost of a change does not grow with the number of balancers.
EXACT_SUBSCRIBERS = 8
# Other balancers that are told when a request has ended.
REPORT_FANOUT = 3
# A server that did not answer is offered new flows again after this time.
SILENT_SERVER_RETRY_MS = 1_000
# The same with slow start, which bounds the flows that it is offered.
SLOW_START_RETRY_MS = 250
# A server that fails this share of its answers starts slowly.
SLOW_START_FAILING_PERCENT = 50
# A change of the pace is reported to all balancers from this share on, and at
# most once in this time.
MIN_PACE_CHANGE_SHARE = 0.25
PACE_REPORT_INTERVAL_MS = 250
# Answers in one datagram: 50 bytes each at most.
MAX_BATCHED_ANSWERS = 24


class FlowDataPath:
    """Decides where each packet that reaches an agent is sent.

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
        on_pending: Called when an opening packet waits for the server, or a
            survey for answers.
        call_later: ``call_later(delay_ms, function)`` calls a function later;
            None if probes are not sent in batches.

    Attributes:
        held_flows: HeldFlows of the server.
        surveys: HolderSurveys for balancers.
        cold_limit: ColdLimit of the server.
        is_leaving: Whether the agent is about to stop.
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
        on_pending,
        call_later=None,
    ):
        self._settings = settings
        self._clock = clock
        self._format = packet_format
        self._counters = counters
        self._decisions = decisions
        self._send_to_server = send_to_server
        self._send_to_client = send_to_client
        self._send_to_balancer = send_to_balancer
        self._on_pending = on_pending
        self.held_flows = held_flows.make_held_flows(
            clock,
            settings.max_flow_ms,
            is_complete=settings.is_first_start,
        )
        self.surveys = holder_survey.make_holder_surveys(clock)
        self._probes = server_probes.make_server_probes(clock)
        self.cold_limit = cold_limit.make_cold_limit(
            clock, settings.cold_excess, settings.cold_slack
        )
        self._call_later = call_later
        self._batches = probe_batches.make_probe_batches(clock)
        self._is_collecting = False
        # Answers to batches that wait to be sent, by the agent that asked.
        self._batched_answers = {}
        self._rng = rng
        self.slow_start = None
        if 'server_pace' in settings.features:
            self.held_flows.service_time = service_time.make_service_time(
                clock
            )
            self.slow_start = slow_start.make_slow_start(clock)
        # The pace that all balancers were told last, and when.
        self._last_pace = (0.0, slow_start.NO_LIMIT)
        self._pace_reported_ms = 0.0
        self._boot = rng.getrandbits(32)
        self._sequence = 0
        self._subscribers = {}
        # The subscribers that are told every change; None until chosen.
        self._exact_subscribers = None
        # The last reported number of running requests, and the state that is
        # reported to all balancers when it changes.
        self._last_reported = (0, (0, False, False))
        self._silent_until_ms = 0.0
        self._last_server_packet_ms = 0.0
        self.is_leaving = False

    def on_balancer_datagram(self, data, source):
        """Handle a datagram from a balancer; malformed ones are counted."""
        try:
            datagram = flow_datagrams.decode(data)
        except errors.KingcupportError:
            self._counters.datagrams_malformed += 1
            return
        if isinstance(datagram, flow_datagrams.FlowEnvelope):
            self._on_envelope(datagram, source)
            self._report_change()
        elif isinstance(datagram, flow_datagrams.PacedEnvelope):
            self._set_cold_limit(datagram)
            self._on_envelope(datagram, source)
            self._report_change()
        elif isinstance(datagram, flow_datagrams.FlowQuery):
            holding = self.held_flows.holding(
                datagram.flow, datagram.acknowledged
            )
            self._send_status(datagram.flow, holding, source)
        elif isinstance(datagram, flow_datagrams.FlowProbe):
            self._on_probe(datagram.packet_data, source)
        elif isinstance(datagram, flow_datagrams.FlowProbeBatch):
            self._on_probe_batch(datagram, source)
        elif isinstance(datagram, flow_datagrams.FlowStatusBatch):
            self._batches.on_answer(source[0])
            for status in datagram.statuses():
                self._on_status(source[0], status)
        elif isinstance(datagram, flow_datagrams.FlowSearch):
            self._on_search(datagram, source)
        elif isinstance(datagram, flow_datagrams.FlowStatus):
            self._on_status(source[0], datagram)
        elif isinstance(datagram, flow_datagrams.AgentGreeting):
            interval_ms = min(datagram.interval_ms, MAX_GREETING_INTERVAL_MS)
            if source not in self._subscribers:
                self._exact_subscribers = None
            self._subscribers[source] = (
                self._clock.monotonic_ms()
                + SUBSCRIPTION_GREETING_INTERVALS * interval_ms
            )
            self._send_report((source,))
            self._send_pace((source,))

    def on_server_datagram(self, data, _source):
        """Handle a packet from the server."""
        packet = self._format.read_from_server(data)
        if packet is None:
            self._counters.packets_malformed += 1
            return
        self._last_server_packet_ms = self._clock.monotonic_ms()
        if packet.is_bounced:
            balancer = self._on_bounce(packet, data)
        else:
            balancer = self._on_answer(packet, data)
        self._report_change(balancer)

    def on_unreachable(self, destination):
        """Mark the server as silent if its port is closed."""
        if destination == self._settings.server_address.as_tuple():
            self._set_silent('port is closed')
            self._report_change()

    @property
    def has_pending(self):
        """Whether an opening packet or a survey waits for an answer."""
        return self.held_flows.has_pending_opening() or bool(self.surveys)

    def check_pending(self):
        """End what has waited too long for an answer.

        Unanswered opening packets return to their balancers, and surveys are
        reported without the missing answers.
        """
        for balancer, result in self.surveys.pop_overdue():
            self._send_to_balancer(flow_datagrams.encode(result), balancer)
        self._check_server()

    def drop_expired(self):
        """Forget old flows, probes and surveys; called periodically."""
        self.held_flows.drop_expired(self._settings.max_flow_ms)
        self._probes.drop_expired()
        self.surveys.drop_expired()
        self._batches.drop_expired()

    def _check_server(self):
        now_ms = self._clock.monotonic_ms()
        for flow, held_flow in self.held_flows.timed_out_openings():
            if self._last_server_packet_ms < held_flow.opened_ms:
                self._set_silent('no answer to an opening packet')
            self.held_flows.forget(flow)
            if held_flow.balancer is not None and held_flow.opening_data:
                self._decline(
                    flow_datagrams.DeclineReason.UNAVAILABLE,
                    held_flow.opening_data,
                    held_flow.balancer,
                )
        if self.held_flows.is_silent and now_ms >= self._silent_until_ms:
            self.held_flows.is_silent = False
        self._report_change()

    def start_leaving(self):
        """Decline new flows and report to the balancers that it stops."""
        self.is_leaving = True
        self._report_change()

    def _on_envelope(self, envelope, source):
        packet = self._format.read_from_client(envelope.packet_data)
        if packet is None:
            self._counters.packets_malformed += 1
            return
        reason = self._decline_reason(envelope, packet)
        if reason is not None:
            self._decline(reason, envelope.packet_data, source)
            return
        if packet.is_open:
            if not self.cold_limit.has_room():
                self._counters.openings_paced += 1
                if self.held_flows.get(packet.flow) is None:
                    self._decline(
                        flow_datagrams.DeclineReason.PACED,
                        envelope.packet_data,
                        source,
                    )
                # A copy is dropped: the server may hold the flow already, and
                # the client sends the next copy.
                return
            self.cold_limit.on_opening()
        held_flow = self.held_flows.on_client_packet(
            packet, envelope.packet_data, source
        )
        if packet.data_bytes:
            self._record_request(held_flow, packet, envelope.packet_data)
        self._counters.packets_to_server += 1
        self._send_to_server(
            envelope.packet_data, self._settings.server_address.as_tuple()
        )
        if packet.is_open:
            self._on_pending()
            if held_flow.is_held:
                # This balancer does not know that the server holds the flow:
                # it missed the status, or another one sent the first copy.
                self._send_status(
                    packet.flow, flow_datagrams.Holding.YES, source
                )

    def _set_cold_limit(self, envelope):
        if envelope.service != self._settings.service:
            return
        previous = self.cold_limit.limit
        if (
            self.cold_limit.set(
                envelope.openings_per_s, envelope.remaining_cold_ms
            )
            and self.cold_limit.limit != previous
        ):
            self._decisions.write(
                'cold limit set',
                {
                    'limit': self.cold_limit.limit,
                    'previous_limit': previous,
                    'remaining_cold_ms': envelope.remaining_cold_ms,
                },
            )

    def _on_probe(self, data, source, *, is_batched=False):
        packet = self._format.read_from_client(data)
        if packet is None or packet.is_open:
            self._counters.packets_malformed += 1
            return
        holding = self.held_flows.holding(packet.flow, packet.acknowledged)
        if holding == flow_datagrams.Holding.UNKNOWN:
            self._counters.probes += 1
            self._probes.add(packet, data, source, is_batched=is_batched)
            self._send_to_server(
                data, self._settings.server_address.as_tuple()
            )
        else:
            self._answer_probe(
                packet.flow, holding, source, is_batched=is_batched
            )

    def _on_search(self, search, source):
        packet = self._format.read_from_client(search.packet_data)
        ips = [ip for ip in search.agent_ips if type(ip) is str]
        if packet is None or packet.is_open or not ips:
            self._counters.packets_malformed += 1
            return
        self._counters.surveys += 1
        self.surveys.start(packet.flow, source, search.number, ips)
        self._on_pending()
        if self._is_collecting:
            self._batches.add(ips, search.packet_data)
            return
        self._send_probes(ips, [search.packet_data])
        if self._call_later is not None:
            self._is_collecting = True
            self._call_later(probe_batches.COLLECT_MS, self._send_batches)

    def _send_batches(self):
        batches = self._batches.pop_batches()
        self._is_collecting = bool(batches)
        for ips, packets in batches:
            self._send_probes(ips, packets)
        if batches:
            self._call_later(probe_batches.COLLECT_MS, self._send_batches)
        if len(self._batches):
            self._call_later(
                probe_batches.ANSWER_TIMEOUT_MS, self._ask_one_by_one
            )

    def _send_probes(self, ips, packets):
        if len(packets) == 1:
            datagram = flow_datagrams.FlowProbe(packets[0])
        else:
            self._counters.probe_batches += len(ips)
            datagram = flow_datagrams.FlowProbeBatch(
                [len(data) for data in packets], b''.join(packets)
            )
        encoded = flow_datagrams.encode(datagram)
        port = self._settings.agent_address.port
        for ip in ips:
            self._send_to_balancer(encoded, (ip, port))

    def _ask_one_by_one(self):
        """Probe agents again that have not answered a batch."""
        for ip, packets in self._batches.pop_unanswered():
            self._counters.batches_unanswered += 1
            for data in packets:
                packet = self._format.read_from_client(data)
                if self.surveys.is_unanswered(packet.flow, ip):
                    self._send_probes([ip], [data])

    def _on_probe_batch(self, batch, source):
        try:
            packets = batch.packets()
        except errors.KingcupportError:
            self._counters.datagrams_malformed += 1
            return
        # Also without answers yet, a batch is answered soon: it shows that
        # this revision knows batches.
        self._start_batched_answers(source)
        for data in packets:
            self._on_probe(data, source, is_batched=True)

    def _start_batched_answers(self, destination):
        if destination not in self._batched_answers:
            self._batched_answers[destination] = []
            self._call_soon(lambda: self._send_batched_answers(destination))

    def _call_soon(self, function):
        if self._call_later is None:
            function()
        else:
            self._call_later(probe_batches.COLLECT_MS, function)

    def _send_batched_answers(self, destination):
        answers = self._batched_answers.pop(destination)
        for start in range(0, max(1, len(answers)), MAX_BATCHED_ANSWERS):
            self._send_to_balancer(
                flow_datagrams.encode(
                    flow_datagrams.FlowStatusBatch(
                        answers[start : start + MAX_BATCHED_ANSWERS]
                    )
                ),
                destination,
            )

    def _answer_probe(self, flow, holding, destination, *, is_batched):
        if not is_batched or holding == flow_datagrams.Holding.YES:
            self._send_status(flow, holding, destination)
            return
        self._start_batched_answers(destination)
        answers = self._batched_answers.get(destination)
        if answers is None:
            self._send_status(flow, holding, destination)
        else:
            answers.append([flow, int(holding)])

    def _on_status(self, ip, status):
        report = self.surveys.on_status(ip, status)
        if report is not None:
            balancer, result = report
            self._send_to_balancer(flow_datagrams.encode(result), balancer)

    def _decline_reason(self, envelope, packet):
        is_other_service = envelope.service not in (
            '',
            self._settings.service,
        )
        if not packet.is_open:
            # A flow stays at its server, whatever service the balancer's view
            # gives to the address.
            is_denied = self.held_flows.is_other_flow(packet) or (
                is_other_service
                and self.held_flows.holding(packet.flow, packet.acknowledged)
                == flow_datagrams.Holding.NO
            )
            return flow_datagrams.DeclineReason.NOT_HELD if is_denied else None
        if is_other_service:
            return flow_datagrams.DeclineReason.OTHER_SERVICE
        if self.held_flows.get(packet.flow) is not None:
            return None
        if self.is_leaving or self.held_flows.is_silent:
            return flow_datagrams.DeclineReason.UNAVAILABLE
        if 0 < envelope.slot_limit <= self.held_flows.running:
            return flow_datagrams.DeclineReason.BUSY
        if envelope.slot_limit > 0 and not self._admits(envelope.slot_limit):
            return flow_datagrams.DeclineReason.BUSY
        return None

    def _admits(self, slot_limit):
        if self.slow_start is None:
            return True
        self.held_flows.service_time.on_slot_limit(slot_limit)
        return self.slow_start.admits(
            self.held_flows.running, self.held_flows.service_time.slots
        )

    def _record_request(self, held_flow, packet, data):
        request_id = self._format.request_id(data)
        if request_id is None or request_id == held_flow.request_id:
            return
        held_flow.request_id = request_id
        self._decisions.write(
            'request delivered',
            {
                'request': request_id,
                'flow': self._format.describe(packet.flow),
                'running': self.held_flows.running,
                'oldest_age_ms': self.held_flows.oldest_age_ms(),
            },
        )

    def _on_answer(self, packet, data):
        probe = self._probes.take(packet.flow)
        if probe is not None:
            self._on_probe_accepted(probe)
        status = (
            self._format.answer_status(data) if packet.data_bytes else None
        )
        held_flow, is_first, took_ms = self.held_flows.on_server_packet(
            packet, status
        )
        if is_first and held_flow.balancer is not None:
            self._counters.flows_accepted += 1
            self._send_status(
                packet.flow, flow_datagrams.Holding.YES, held_flow.balancer
            )
        if took_ms is not None:
            self._record_answer(held_flow, packet, status, took_ms)
            self._update_pace(packet, status, took_ms)
        self._counters.packets_to_clients += 1
        self._send_to_client(data, self._format.client_address(packet.flow))
        return held_flow.balancer

    def _on_probe_accepted(self, probe):
        held_flow = self.held_flows.on_client_packet(
            probe.packet, probe.data, probe.sender
        )
        if probe.packet.data_bytes:
            self._record_request(held_flow, probe.packet, probe.data)

    def _send_status(self, flow, holding, destination):
        status = flow_datagrams.FlowStatus(flow, int(holding))
        self._send_to_balancer(flow_datagrams.encode(status), destination)

    def _record_answer(self, held_flow, packet, status, took_ms):
        self._counters.answers += 1
        self._counters.latencies['answer_ms'].add(took_ms)
        self._decisions.write(
            'request answered',
            {
                'request': held_flow.request_id,
                'flow': self._format.describe(packet.flow),
                'status': status,
                'reset': packet.is_reset,
                'took_ms': round(took_ms),
            },
        )

    def _on_bounce(self, packet, data):
        self._counters.bounces += 1
        probe = None
        if not packet.is_open:
            probe = self._probes.take(packet.flow)
        if probe is not None:
            self.held_flows.is_silent = False
            self._answer_probe(
                packet.flow,
                flow_datagrams.Holding.NO,
                probe.sender,
                is_batched=probe.is_batched,
            )
            return None
        held_flow, reason = self.held_flows.on_bounce(packet)
        if (
            reason == flow_datagrams.DeclineReason.ENDED
            and not held_flow.is_closed
        ):
            # The server has lost an open flow, so it has started again.
            self._start_slowly()
        if held_flow is None or held_flow.balancer is None:
            return None
        self._decline(
            reason, self._format.clear_bounced_flag(data), held_flow.balancer
        )
        return held_flow.balancer

    def _decline(self, reason, packet_data, balancer):
        self._counters.declines += 1
        decline = flow_datagrams.FlowDecline(int(reason), packet_data)
        self._send_to_balancer(flow_datagrams.encode(decline), balancer)

    def _set_silent(self, reason):
        if not self.held_flows.is_silent:
            self._decisions.write('server silent', {'reason': reason})
        self.held_flows.is_silent = True
        self._start_slowly()
        self._silent_until_ms = self._clock.monotonic_ms() + (
            SILENT_SERVER_RETRY_MS
            if self.slow_start is None
            else SLOW_START_RETRY_MS
        )

    # Pace of the server

    def _start_slowly(self):
        if self.slow_start is not None:
            self.held_flows.service_time.discard()
            self.slow_start.begin()

    def _update_pace(self, packet, status, took_ms):
        if self.slow_start is None:
            return
        measured = self.held_flows.service_time
        is_failure = packet.is_reset or status >= held_flows.FAILURE_STATUS
        if (
            is_failure
            and not self.slow_start.is_active
            and self.held_flows.failing_percent() >= SLOW_START_FAILING_PERCENT
        ):
            self.slow_start.begin()
        is_slow = (
            measured.reference_ms is not None
            and took_ms > slow_start.SLOW_FACTOR * measured.reference_ms
        )
        self.slow_start.on_answer(
            measured.slots, is_in_time=not is_failure and not is_slow
        )
        self._report_pace_change()

    def _report_pace_change(self):
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._pace_reported_ms < PACE_REPORT_INTERVAL_MS:
            return
        measured = self.held_flows.service_time
        if not measured.is_known and not self.slow_start.is_active:
            return
        last_ms, last_allowed = self._last_pace
        pace = (measured.median_ms(), self.openings_allowed)
        if (
            abs(pace[0] - last_ms) <= MIN_PACE_CHANGE_SHARE * last_ms
            and pace[1] == last_allowed
        ):
            return
        self._last_pace = pace
        self._pace_reported_ms = now_ms
        self._drop_expired_subscribers()
        self._send_pace(self._subscribers)

    @property
    def openings_allowed(self):
        """Number of requests that the server may have; -1 for no limit."""
        if self.slow_start is None:
            return slow_start.NO_LIMIT
        return self.slow_start.allowed(self.held_flows.service_time.slots)

    def _send_pace(self, addresses):
        if self.slow_start is None:
            return
        measured = self.held_flows.service_time
        self._sequence += 1
        report = flow_datagrams.encode(
            flow_datagrams.PaceReport(
                self._boot,
                self._sequence,
                round(measured.median_ms(), 1),
                measured.sample_count,
                self.openings_allowed,
            )
        )
        for address in addresses:
            self._counters.pace_reports_sent += 1
            self._send_to_balancer(report, address)

    # Load reports

    def _report_change(self, balancer=None):
        state = (
            self.held_flows.failing_percent(),
            self.is_leaving,
            self.held_flows.is_silent,
        )
        running = self.held_flows.running
        if (running, state) == self._last_reported:
            return
        previous_running, previous_state = self._last_reported
        self._last_reported = (running, state)
        self._drop_expired_subscribers()
        if state != previous_state:
            self._send_report(self._subscribers)
            return
        recipients = list(self._choose_exact_subscribers())
        if running < previous_running:
            others = [a for a in self._subscribers if a not in recipients]
            recipients += self._rng.sample(
                others, min(len(others), REPORT_FANOUT)
            )
            if balancer in others and balancer not in recipients:
                recipients.append(balancer)
        self._send_report(recipients)

    def _drop_expired_subscribers(self):
        now_ms = self._clock.monotonic_ms()
        expired = [
            a for a, due_ms in self._subscribers.items() if due_ms < now_ms
        ]
        for address in expired:
            del self._subscribers[address]
            self._exact_subscribers = None

    def _choose_exact_subscribers(self):
        if self._exact_subscribers is None:
            own = str(self._settings.agent_address).encode()
            self._exact_subscribers = heapq.nlargest(
                EXACT_SUBSCRIBERS,
                self._subscribers,
                key=lambda address: xxhash.xxh3_64_intdigest(
                    own + f'{address}'.encode()
                ),
            )
        return self._exact_subscribers

    def _send_report(self, addresses):
        self._sequence += 1
        exact = frozenset(self._choose_exact_subscribers())
        for is_exact in (False, True):
            group = [a for a in addresses if (a in exact) is is_exact]
            if group:
                self._send_to_all(self._encode_report(is_exact), group)

    def _send_to_all(self, report, addresses):
        for address in addresses:
            self._counters.reports_sent += 1
            self._send_to_balancer(report, address)

    def _encode_report(self, is_exact):
        return flow_datagrams.encode(
            flow_datagrams.LoadReport(
                self._boot,
                self._sequence,
                self._settings.service,
                self.held_flows.running,
                self.held_flows.oldest_age_ms(),
                self.held_flows.failing_percent(),
                self.is_leaving,
                self.held_flows.is_silent,
                is_exact,
            )
        )
