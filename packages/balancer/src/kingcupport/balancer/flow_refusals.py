"""Resets flows that are refused or that no server holds."""

# A flow to an address without a route is refused only if the view is at most
# this old; otherwise a newer configuration may contain the route.
MAX_FRESH_VIEW_AGE_MS = 2_500
# A packet without a route is retransmitted at intervals of up to 1,600 ms.
ROUTELESS_RETENTION_MS = 5_000
MAX_ROUTELESS_FLOWS = 4_096


class FlowRefusals:
    """Sends resets to clients and writes each to the decision log.

    Args:
        clock: Clock.
        packet_format: FlowPacketFormat.
        view: FleetView.
        counters: FlowCounters.
        decisions: DecisionLog.
        send_to_client: ``send(data, address)`` on the clients' socket.
        request_read: ``request_read(time_ms)`` asks for a read of the store
            that starts after a time.
    """

    def __init__(
        self,
        clock,
        packet_format,
        view,
        counters,
        decisions,
        send_to_client,
        request_read,
    ):
        self._clock = clock
        self._format = packet_format
        self._view = view
        self._counters = counters
        self._decisions = decisions
        self._send_to_client = send_to_client
        self._request_read = request_read
        # When the first packet of each open flow without a route arrived.
        self._routeless = {}

    def has_fresh_view(self):
        """Whether the view is fresh enough to refuse unknown routes."""
        age_ms = self._view.confirmation.age_ms()
        return age_ms is not None and age_ms <= MAX_FRESH_VIEW_AGE_MS

    def refuse(self, packet, reason, service, **inputs):
        """Refuse a flow with a reset and count it as refused.

        Args:
            packet: FlowPacket of the client.
            reason: One line for the log.
            service: Name of its service, or None.
            inputs: Further log fields with the inputs of the decision.
        """
        self._counters.flows_refused += 1
        self.reset(packet, reason, service, **inputs)

    def refuse_without_route(self, packet):
        """Refuse a flow to an address without a route.

        A new flow is refused if the view is fresh. An open one may use a route
        that was added a moment ago: it is refused only if the view has been
        confirmed since its first packet arrived.

        Args:
            packet: FlowPacket of the client.

        Returns:
            Whether the flow was refused.
        """
        if packet.is_open:
            has_proof = self.has_fresh_view()
        else:
            now_ms = self._clock.monotonic_ms()
            if len(self._routeless) >= MAX_ROUTELESS_FLOWS:
                self._routeless.pop(next(iter(self._routeless)))
            first_packet_ms = self._routeless.setdefault(packet.flow, now_ms)
            has_proof = self._view.confirmation.is_confirmed_since(
                first_packet_ms
            )
            if not has_proof:
                self._request_read(first_packet_ms)
        if not has_proof:
            self.drop(packet.flow, 'no route, and the view is old')
            return False
        self.refuse(packet, 'no route', None)
        return True

    def drop_expired(self):
        """Forget old packets without a route; called periodically."""
        oldest_ms = self._clock.monotonic_ms() - ROUTELESS_RETENTION_MS
        self._routeless = {
            flow: first_packet_ms
            for flow, first_packet_ms in self._routeless.items()
            if first_packet_ms > oldest_ms
        }

    def reset(self, packet, reason, subject, **inputs):
        """End a flow with a reset to its client.

        Args:
            packet: FlowPacket of the client.
            reason: One line for the log, also the key of the counter.
            subject: Name of the service or server concerned, the address of
                the server's agent, or None.
            inputs: Further log fields with the inputs of the decision.
        """
        self._counters.resets_sent += 1
        self._counters.resets_by_reason[reason] += 1
        self._decisions.write(
            'flow reset',
            {
                'flow': self._format.describe(packet.flow),
                'opening': packet.is_open,
                'reason': reason,
                'subject': subject,
                'version': self._view.configuration.version,
                'view_age_ms': self.view_age_ms(),
                **inputs,
            },
        )
        self._send_to_client(
            self._format.make_reset(packet),
            self._format.client_address(packet.flow),
        )

    def drop(self, flow, reason):
        """Drop a packet without an answer; its sender will retransmit it.

        Args:
            flow: Bytes that identify the flow.
            reason: One line for the log.
        """
        self._counters.flows_lost += 1
        self._decisions.write(
            'packet dropped',
            {
                'flow': self._format.describe(flow),
                'reason': reason,
                'view_age_ms': self.view_age_ms(),
            },
        )

    def view_age_ms(self):
        """Return the rounded age of the view for the log, or None."""
        age_ms = self._view.confirmation.age_ms()
        return None if age_ms is None else round(age_ms)
