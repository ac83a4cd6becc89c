"""Sends the packets of clients to the agents of their flows."""

import collections

from kingcupport.balancer import flow_refusals
from kingcupport.balancer import holder_finder
from kingcupport.balancer import server_index
from kingcupport.flows import flow_placement
from kingcupport.flows import flow_table as flow_table_module
from kingcupport.flows import opening_queue
from kingcupport.flows import server_loads
from kingcupport.wire import flow_datagrams

# An agent tells within about 2 ms that its server has accepted a flow, and
# gives up on its server after 60 ms; the client sends its next copy after
# 200 ms.
OPENING_TIMEOUT_MS = 100
# Agents that are full give an opening packet back at most so often; then it
# waits in the queue of a server.
MAX_DECLINES = 4
# A server is tried no more once so many have not accepted the flow: the
# client's next attempt comes with a new flow.
MAX_TRIED = 8
# Packets that arrive before the first view is known wait for it: 70 flows a
# second open at a balancer of the planned size, and a view takes about 50 ms.
MAX_EARLY_PACKETS = 256

NO_ROOM = 'no server has room in time'
_DECLINE_REASONS = frozenset(flow_datagrams.DeclineReason)


class FlowDataPath:
    """Decides for each packet of a client where it goes.

    Args:
        settings: FlowBalancerSettings.
        clock: Clock.
        packet_format: FlowPacketFormat.
        view: FleetView.
        counters: FlowCounters.
        decisions: DecisionLog.
        send_to_client: ``send(data, address)`` on the clients' socket.
        send_to_agent: ``send(data, address)`` on the agents' socket.
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
    ):
        self._settings = settings
        self._clock = clock
        self._format = packet_format
        self._view = view
        self._counters = counters
        self._decisions = decisions
        self._send_to_agent = send_to_agent
        self.loads = server_loads.make_server_loads(clock)
        self.table = flow_table_module.make_flow_table(
            clock, settings.max_flow_ms
        )
        self.waiting = opening_queue.make_opening_queue(clock)
        self._placement = flow_placement.make_flow_placement(
            clock, self.loads, settings.data_centre
        )
        self._index = server_index.make_server_index(
            clock, view, settings.max_flow_ms
        )
        self._refusals = flow_refusals.FlowRefusals(
            packet_format, view, counters, decisions, send_to_client
        )
        self.finder = holder_finder.HolderFinder(
            clock,
            packet_format,
            self._index,
            self.table,
            self._refusals,
            counters,
            decisions,
            self._send_to,
        )
        self._early = collections.deque(maxlen=MAX_EARLY_PACKETS)
        # Deadlines of opening packets, in order, because all wait equally.
        self._openings = collections.deque()
        view.on_change(self._on_view_change)

    @property
    def agent_ips(self):
        """Addresses of the agents of all known servers."""
        return self._index.by_ip.keys()

    def on_client_datagram(self, data, _source):
        """Handle a datagram from the routers."""
        packet = self._format.read_from_client(data)
        if packet is None:
            self._counters.packets_malformed += 1
            return
        self._counters.packets += 1
        if not self._view.is_known:
            self._early.append(data)
            return
        entry = self.table.get(packet.flow)
        route = self._route_of(packet.flow)
        if packet.is_open:
            self._on_opening(packet, data, entry, route)
        elif route is None and packet.data_bytes:
            # Answers under way may end; no new request runs.
            self._refuse_without_route(packet)
        elif entry is None:
            self.finder.find(packet, data, route)
        elif self._index.is_replaced(entry):
            self.table.forget(packet.flow)
            self._refusals.reset(
                packet, 'server was replaced', entry.server_name
            )
        else:
            if packet.is_close:
                entry.is_closing = True
            self._forward(entry, data)

    def on_agent_datagram(self, datagram, ip):
        """Handle a decoded datagram of an agent.

        Args:
            datagram: LoadReport, FlowStatus or FlowDecline.
            ip: Address of the agent.
        """
        if isinstance(datagram, flow_datagrams.LoadReport):
            self._on_report(ip, datagram)
        elif isinstance(datagram, flow_datagrams.FlowStatus):
            self._on_status(ip, datagram)
        elif isinstance(datagram, flow_datagrams.FlowDecline):
            self._on_decline(ip, datagram)

    def on_unreachable(self, destination):
        """Avoid an agent whose port is closed and place its openings again."""
        ip, port = destination
        if port != self._settings.agent_port:
            return
        self.loads.avoid(ip)
        for _, flow, server_name in list(self._openings):
            entry = self._unaccepted(flow, server_name)
            if entry is not None and entry.ip == ip:
                self._place_again(entry, 'agent is gone')

    def check_openings(self):
        """Place the flows again that no server has accepted in time."""
        now_ms = self._clock.monotonic_ms()
        while self._openings and self._openings[0][0] <= now_ms:
            _, flow, server_name = self._openings.popleft()
            entry = self._unaccepted(flow, server_name)
            if entry is not None:
                self.loads.avoid(entry.ip)
                self._place_again(entry, 'no answer')

    def _unaccepted(self, flow, server_name):
        entry = self.table.get(flow)
        if (
            entry is None
            or entry.is_accepted
            or entry.server_name != server_name
        ):
            return None
        return entry

    def drop_expired(self):
        """Drop what is over; called every few seconds."""
        self.table.drop_expired()
        self._index.drop_expired()
        self.loads.keep(self._index.known_ips())

    def handle_early_packets(self):
        """Handle the packets that have waited for the first view."""
        early = list(self._early)
        self._early.clear()
        for data in early:
            self.on_client_datagram(data, None)

    # Opening packets

    def _on_opening(self, packet, data, entry, route):
        if route is None:
            self._refuse_without_route(packet)
        elif packet.flow in self.waiting:
            self._counters.copies_ignored += 1
        elif entry is None or self._index.is_replaced(entry):
            self._place(packet, data, route)
        elif entry.is_accepted or self._is_live(entry):
            self._forward(entry, data)
        else:
            self._place_again(entry, 'server left')

    def _place(self, packet, data, route):
        service = route.choose_service(packet.flow)
        server = self._choose(packet.flow, service, ())
        if server is None:
            self._refusals.refuse(packet, 'no server takes flows', service)
            return
        now_ms = self._clock.monotonic_ms()
        opened_ms = now_ms - packet.opening_age_ms
        limit = self._placement.slot_limit(
            server, opening_queue.start_by_ms(route, opened_ms) <= now_ms
        )
        if limit is not None:
            self._send_placed(packet.flow, server, data, limit, opened_ms)
        elif self.waiting.put(packet.flow, service, data, route, opened_ms):
            self._counters.flows_waiting += 1
        else:
            self._refuse_busy(packet, service, 0)

    def _refuse_busy(self, packet, service, waited_ms):
        self._refusals.refuse(
            packet,
            NO_ROOM,
            service,
            waited_ms=round(waited_ms),
            waiting=len(self.waiting),
        )

    def _place_waiting(self, service):
        while True:
            opening = self.waiting.pop(service)
            if opening is None:
                return
            if self._has_opened(opening):
                continue
            server = self._choose(opening.flow, service, ())
            limit = 0
            if server is not None:
                limit = self._placement.slot_limit(
                    server, self.waiting.is_late(opening)
                )
            if limit is None:
                self.waiting.put_back(opening)
                return
            self._place_opening(opening, server, limit)

    def _has_opened(self, opening):
        """Whether a waiting packet is a copy of one that was accepted.

        A balancer that was paused may read a copy just before later packets
        of the flow, by which it finds the server.
        """
        entry = self.table.get(opening.flow)
        if entry is None or not entry.is_accepted:
            return False
        self._counters.copies_ignored += 1
        return True

    def _place_opening(self, opening, server, limit):
        if server is None:
            packet = self._format.read_from_client(opening.data)
            self._refusals.refuse(
                packet, 'no server takes flows', opening.service
            )
            return
        waited_ms = self._clock.monotonic_ms() - opening.since_ms
        self._send_placed(
            opening.flow,
            server,
            opening.data,
            limit,
            opening.opened_ms,
            waited_ms,
        )

    def check_waiting(self):
        """Decide on the flows that have waited as long as they may."""
        for opening in self.waiting.pop_due():
            if self._has_opened(opening):
                continue
            server = self._choose(opening.flow, opening.service, ())
            limit = 0
            if server is not None:
                limit = self._placement.limit_after_wait(opening, server)
            if limit is None:
                packet = self._format.read_from_client(opening.data)
                waited_ms = self._clock.monotonic_ms() - opening.since_ms
                self._refuse_busy(packet, opening.service, waited_ms)
            else:
                self._place_opening(opening, server, limit)

    def _send_placed(self, flow, server, data, limit, opened_ms, waited_ms=0):
        entry = self.table.put(
            flow, server, opening_data=data, opened_ms=opened_ms
        )
        self._counters.flows_placed += 1
        self._send_opening(entry, server, 'flow placed', limit, waited_ms)

    def _place_again(self, entry, reason):
        entry.tried = (*entry.tried, entry.server_name)
        self.loads.on_settled(entry.ip, entry.flow)
        server = None
        if len(entry.tried) < MAX_TRIED:
            server = self._choose(entry.flow, entry.service, entry.tried)
        if server is None:
            packet = self._format.read_from_client(entry.opening_data)
            self.table.forget(entry.flow)
            if packet is not None:
                self._refusals.refuse(packet, reason, entry.service)
            return
        data = entry.opening_data
        entry = self.table.put(entry.flow, server, opening_data=data)
        self._counters.flows_placed_again += 1
        limit = 0
        if len(entry.tried) < MAX_DECLINES:
            limit = self._placement.slot_limit(server) or 0
        self._send_opening(
            entry, server, f'flow placed again: {reason}', limit
        )

    def _choose(self, flow, service, tried):
        return self._placement.choose(
            flow, self._index.by_service.get(service, ()), tried
        )

    def _send_opening(self, entry, server, event, limit, waited_ms=0):
        load = self.loads.get(server.ip)
        self._decisions.write(
            event,
            {
                'flow': self._format.describe(entry.flow),
                'service': entry.service,
                'server': server.name,
                'running': load.running,
                'report_age_ms': self._report_age_ms(load),
                'view_age_ms': self._refusals.view_age_ms(),
                'tried': len(entry.tried),
                'waited_ms': round(waited_ms),
            },
        )
        self.loads.on_placed(server.ip, entry.flow)
        self._openings.append(
            (
                self._clock.monotonic_ms() + OPENING_TIMEOUT_MS,
                entry.flow,
                server.name,
            )
        )
        self._forward(entry, entry.opening_data, limit)

    def _refuse_without_route(self, packet):
        if self._refusals.refuse_without_route(packet):
            self.table.forget(packet.flow)

    def _report_age_ms(self, load):
        if load.reported_ms is None:
            return None
        return round(self._clock.monotonic_ms() - load.reported_ms)

    # Packets of flows

    def _forward(self, entry, data, slot_limit=0):
        envelope = flow_datagrams.FlowEnvelope(entry.service, slot_limit, data)
        self._send_to(entry.ip, envelope)

    def _send_to(self, ip, datagram):
        self._send_to_agent(
            flow_datagrams.encode(datagram), (ip, self._settings.agent_port)
        )

    def _route_of(self, flow):
        return self._view.configuration.routes.get(
            self._format.service_address(flow)
        )

    def _is_live(self, entry):
        return entry.server_name in self._view.servers and (
            self.loads.is_usable(entry.ip)
        )

    # Answers of agents

    def _on_status(self, ip, status):
        entry = self.table.get(status.flow)
        is_held = status.holding == flow_datagrams.Holding.YES
        if is_held and entry is not None and entry.ip == ip:
            entry.is_accepted = True
            entry.opening_data = b''
            self.loads.on_settled(ip, status.flow)
        self.finder.on_status(ip, status)

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
                if reason == flow_datagrams.DeclineReason.BUSY:
                    self._on_busy(entry)
                else:
                    self._place_again(entry, reason.name.lower())
            return
        if reason == flow_datagrams.DeclineReason.ENDED:
            if entry is None or is_current:
                self.table.forget(packet.flow)
                self.finder.end(packet.flow)
                self._refusals.reset(packet, 'server has lost the flow', ip)
            return
        if self.finder.on_not_held(ip, packet.flow):
            return
        if entry is not None and not is_current:
            self._forward(entry, decline.packet_data)
            return
        self.table.forget(packet.flow)
        self.finder.find(
            packet,
            decline.packet_data,
            self._route_of(packet.flow),
            answered=(ip,),
        )

    def _on_busy(self, entry):
        server = self._index.by_ip.get(entry.ip)
        self.loads.on_settled(entry.ip, entry.flow)
        self.loads.on_busy(entry.ip, server.slots + 1 if server else 1)
        route = self._route_of(entry.flow)
        if (
            route is None
            or not self.loads.get(entry.ip).is_exact
            or not self.waiting.put(
                entry.flow,
                entry.service,
                entry.opening_data,
                route,
                entry.opened_ms,
            )
        ):
            self._place_again(entry, 'busy')
            return
        self.table.forget(entry.flow)
        self._place_waiting(entry.service)

    def _on_report(self, ip, report):
        load = self.loads.get(ip)
        before = (load.is_leaving, load.is_silent, load.boot)
        if not self.loads.on_report(ip, report):
            return
        if len(self.waiting):
            self._place_waiting(report.service)
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

    def _on_view_change(self, kind, _fields):
        if kind == 'configuration_accepted':
            self.table.idle_timeout_ms = (
                self._view.configuration.idle_timeout_ms
            )
