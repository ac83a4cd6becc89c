"""Forwards the packets of clients to the agents of their flows."""

import collections

from kingcupport.balancer import flow_opener
from kingcupport.balancer import flow_refusals
from kingcupport.balancer import holder_finder
from kingcupport.balancer import opening_hold
from kingcupport.balancer import server_index
from kingcupport.flows import admission
from kingcupport.flows import cold_servers
from kingcupport.flows import flow_placement
from kingcupport.flows import flow_table as flow_table_module
from kingcupport.flows import server_loads
from kingcupport.wire import flow_datagrams

# Packets that arrive before the first view are kept until it is known. In the
# planned fleet, a balancer gets 70 new flows a second, and the first view
# takes about 50 ms.
MAX_EARLY_PACKETS = 256

_DECLINE_REASONS = frozenset(flow_datagrams.DeclineReason)


class FlowDataPath:
    """Decides which agent each packet of a client is forwarded to.

    Args:
        settings: FlowBalancerSettings.
        clock: Clock.
        packet_format: FlowPacketFormat.
        view: FleetView.
        counters: FlowCounters.
        decisions: DecisionLog.
        send_to_client: ``send(data, address)`` on the clients' socket.
        send_to_agent: ``send(data, address)`` on the agents' socket.
        call_later: ``call_later(delay_ms, function)`` calls a function later.
        request_read: ``request_read(time_ms)`` asks for a read of the store
            that starts after a time.

    Attributes:
        loads: ServerLoads.
        table: FlowTable.
        finder: HolderFinder.
        opener: FlowOpener.
    """

    def __init__(
        self,
        settings,
        clock,
        packet_format,
        view,
        counters,
        decisions,
        *,
        send_to_client,
        send_to_agent,
        call_later,
        request_read,
    ):
        self._settings = settings
        self._format = packet_format
        self._view = view
        self._counters = counters
        self._decisions = decisions
        self._send_to_agent = send_to_agent
        self.loads = server_loads.make_server_loads(clock)
        self.loads.recovers_by_reports = 'server_pace' in settings.features
        self.table = flow_table_module.make_flow_table(
            clock, settings.max_flow_ms
        )
        self._index = server_index.make_server_index(
            clock, view, settings.max_flow_ms
        )
        self._refusals = flow_refusals.FlowRefusals(
            clock,
            packet_format,
            view,
            counters,
            decisions,
            send_to_client,
            request_read,
        )
        self.finder = holder_finder.HolderFinder(
            clock,
            packet_format,
            self._index,
            self.table,
            self.loads,
            view,
            self._refusals,
            counters,
            decisions,
            self._send_to,
            request_read,
        )
        self._policy = admission.make_admission_policy(
            clock, settings.features, self._priorities
        )
        self._cold_servers = cold_servers.make_cold_servers(
            clock, view, self._index
        )
        self.opener = flow_opener.FlowOpener(
            clock,
            packet_format,
            self._index,
            self.table,
            self.loads,
            flow_placement.make_flow_placement(
                clock,
                self.loads,
                settings.data_centre,
                view.evacuations,
                uses_pace='server_pace' in settings.features,
            ),
            self._refusals,
            counters,
            decisions,
            opening_hold.make_opening_hold(
                clock, view, request_read, settings.evacuation_ms
            ),
            self._policy,
            self._cold_servers,
            find_route=self._find_route,
            forward=self._forward_opening,
            call_later=call_later,
        )
        self._early_packets = collections.deque(maxlen=MAX_EARLY_PACKETS)
        view.on_change(self._on_view_change)

    @property
    def agent_ips(self):
        """Addresses of the agents of all known servers."""
        return self._index.by_ip.keys()

    def on_client_datagram(self, data, _source):
        """Handle a client's datagram; a malformed one is counted."""
        packet = self._format.read_from_client(data)
        if packet is None:
            self._counters.packets_malformed += 1
            return
        self._counters.packets += 1
        if not self._view.is_populated:
            self._early_packets.append(data)
            return
        entry = self.table.get(packet.flow)
        route = self._find_route(packet.flow)
        if route is None and (packet.is_open or packet.data_bytes):
            # Packets without data pass, so that an answer in progress can
            # finish; new requests are refused.
            self._refuse_without_route(packet)
        elif packet.is_open:
            self.opener.on_opening(packet, data, route)
        elif entry is None:
            self.finder.find(packet, data)
        elif self._index.is_replaced(entry):
            # The address is listed for another server, which does not show
            # that the server of the flow has left.
            self.table.forget(packet.flow)
            self.finder.find(packet, data)
        else:
            if not entry.is_accepted:
                # The client has got a server's answer to its opening packet,
                # so the agent's status was lost.
                self._set_accepted(entry)
            if packet.is_close:
                entry.is_closing = True
            self._forward(entry, data)

    def on_agent_datagram(self, datagram, ip):
        """Handle a decoded datagram of an agent.

        Args:
            datagram: LoadReport, FlowStatus, FlowDecline, FlowSearchResult or
                PaceReport.
            ip: Address of the agent.
        """
        if isinstance(datagram, flow_datagrams.LoadReport):
            self._on_report(ip, datagram)
        elif isinstance(datagram, flow_datagrams.FlowStatus):
            self._on_status(ip, datagram)
        elif isinstance(datagram, flow_datagrams.FlowDecline):
            self._on_decline(ip, datagram)
        elif isinstance(datagram, flow_datagrams.FlowSearchResult):
            self.finder.on_result(ip, datagram)
        elif isinstance(datagram, flow_datagrams.PaceReport):
            self._on_pace_report(ip, datagram)

    def on_unreachable(self, destination):
        """Handle an unreachable destination, such as a closed port.

        Args:
            destination: ``(ip, port)`` that a datagram was sent to.
        """
        ip, port = destination
        if port == self._settings.agent_port:
            self.opener.on_unreachable(ip)

    def drop_expired(self):
        """Remove expired flows, servers and loads; called periodically."""
        self.table.drop_expired()
        self._index.drop_expired()
        self.finder.drop_expired()
        self._refusals.drop_expired()
        self.loads.retain(self._index.known_ips())

    def handle_early_packets(self):
        """Handle the packets that were kept until the first view."""
        early = list(self._early_packets)
        self._early_packets.clear()
        for data in early:
            self.on_client_datagram(data, None)

    def _refuse_without_route(self, packet):
        if self._refusals.refuse_without_route(packet):
            self.table.forget(packet.flow)

    # Packets of flows

    def _forward(self, entry, data, slot_limit=0):
        envelope = flow_datagrams.FlowEnvelope(entry.service, slot_limit, data)
        self._send_to(entry.ip, envelope)

    def _forward_opening(self, entry, data, slot_limit=0):
        pace = self._cold_servers.pace(entry.ip)
        if pace is None:
            self._forward(entry, data, slot_limit)
            return
        self._send_to(
            entry.ip,
            flow_datagrams.PacedEnvelope(
                entry.service, slot_limit, *pace, data
            ),
        )

    def _send_to(self, ip, datagram):
        self._send_to_agent(
            flow_datagrams.encode(datagram), (ip, self._settings.agent_port)
        )

    def _find_route(self, flow):
        return self._view.configuration.routes.get(
            self._format.service_address(flow)
        )

    def _priorities(self, service):
        return self._view.configuration.priorities_by_service.get(service, ())

    # Answers of agents

    def _on_status(self, ip, status):
        if status.holding != flow_datagrams.Holding.YES:
            return
        entry = self.table.get(status.flow)
        if entry is not None and entry.ip == ip:
            self._set_accepted(entry)
        self.finder.on_held(ip, status.flow)

    def _set_accepted(self, entry):
        entry.is_accepted = True
        entry.opening_data = b''
        self.loads.on_opening_resolved(entry.ip, entry.flow)

    def _on_decline(self, ip, decline):
        packet = self._format.read_from_client(decline.packet_data)
        if packet is None or decline.reason not in _DECLINE_REASONS:
            self._counters.packets_malformed += 1
            return
        self._counters.declines += 1
        reason = flow_datagrams.DeclineReason(decline.reason)
        entry = self.table.get(packet.flow)
        is_current = entry is not None and entry.ip == ip
        if packet.is_open:
            if is_current and not entry.is_accepted:
                self.opener.on_declined(entry, reason)
            return
        if reason == flow_datagrams.DeclineReason.ENDED:
            if entry is None or is_current:
                self.table.forget(packet.flow)
                self.finder.end(packet.flow)
                self._refusals.reset(packet, 'server has lost the flow', ip)
            return
        # Only NOT_HELD says that the server does not hold the flow.
        is_denied = reason == flow_datagrams.DeclineReason.NOT_HELD
        if is_denied and self.finder.on_not_held(ip, packet.flow):
            return
        if entry is not None and not is_current:
            self._forward(entry, decline.packet_data)
            return
        self.table.forget(packet.flow)
        self.finder.find(
            packet, decline.packet_data, answered=(ip,) if is_denied else ()
        )

    def _on_report(self, ip, report):
        load = self.loads.get(ip)
        before = (load.is_leaving, load.is_silent, load.boot)
        previous = (load.running, load.reported_ms)
        if not self.loads.on_report(ip, report):
            return
        server = self._index.by_ip.get(ip)
        if server is not None:
            self._policy.on_report(
                server.service, server.slots, previous, load
            )
        if len(self.opener.waiting):
            self.opener.place_waiting(report.service)
        after = (load.is_leaving, load.is_silent, load.boot)
        if before != after:
            self._decisions.write(
                'agent changed',
                {
                    'agent': ip,
                    'leaving': report.is_leaving,
                    'silent': report.is_silent,
                    'boot': report.boot,
                },
            )

    def _on_pace_report(self, ip, report):
        if 'server_pace' in self._settings.features:
            self._counters.pace_reports += self.loads.on_pace_report(
                ip, report
            )

    def _on_view_change(self, kind, _fields):
        if kind == 'configuration_accepted':
            self.table.idle_timeout_ms = (
                self._view.configuration.idle_timeout_ms
            )
