"""Sends the packets of clients to the agents of their flows."""

import collections
import itertools

from kingcupport.flows import flow_placement
from kingcupport.flows import flow_table as flow_table_module
from kingcupport.flows import holder_search
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
# All agents are asked for the holder of a flow in fleets up to this size;
# in larger ones those of the route's services.
MAX_ASKED = 128
# Packets that arrive before the first view is known wait for it: 70 flows a
# second open at a balancer of the planned size, and a view takes about 50 ms.
MAX_EARLY_PACKETS = 256
# An unknown route is refused only with a view this fresh; otherwise a newer
# configuration may have added it.
FRESH_VIEW_MS = 2_500


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
        self._send_to_client = send_to_client
        self._send_to_agent = send_to_agent
        self.loads = server_loads.make_server_loads(clock)
        self.table = flow_table_module.make_flow_table(
            clock, settings.max_flow_ms
        )
        self.waiting = opening_queue.make_opening_queue(clock)
        self.searches = holder_search.make_holder_searches(clock)
        self._placement = flow_placement.make_flow_placement(
            clock, self.loads, settings.data_centre
        )
        self._by_service = {}
        self._by_ip = {}
        self._departed = {}
        self._early = collections.deque(maxlen=MAX_EARLY_PACKETS)
        # Deadlines of opening packets, in order, because all wait equally.
        self._openings = collections.deque()
        view.on_change(self._on_view_change)

    @property
    def agent_ips(self):
        """Addresses of the agents of all known servers."""
        return self._by_ip.keys()

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
            self._find_holder(packet, data, route)
        elif self._is_replaced(entry):
            self.table.forget(packet.flow)
            self._reset(packet, 'server was replaced', entry.server_name)
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
        """Avoid an agent whose port is closed."""
        if destination[1] == self._settings.agent_port:
            self.loads.avoid(destination[0])

    def check_openings(self):
        """Place the flows again that no server has accepted in time."""
        now_ms = self._clock.monotonic_ms()
        while self._openings and self._openings[0][0] <= now_ms:
            _, flow, server_name = self._openings.popleft()
            entry = self.table.get(flow)
            if (
                entry is None
                or entry.is_accepted
                or entry.server_name != server_name
            ):
                continue
            self.loads.avoid(entry.ip)
            self._place_again(entry, 'no answer')

    def check_searches(self):
        """Go on with the searches that were not answered in time."""
        for search in self.searches.due():
            search.is_complete = search.is_complete and not (
                search.unanswered or search.probed
            )
            search.unanswered.clear()
            search.probed.clear()
            self._continue_search(search)

    def drop_expired(self):
        """Drop what is over; called every few seconds."""
        self.table.drop_expired()
        now_ms = self._clock.monotonic_ms()
        self._departed = {
            ip: deadline_ms
            for ip, deadline_ms in self._departed.items()
            if deadline_ms > now_ms
        }
        self.loads.keep(set(self._by_ip) | set(self._departed))

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
        elif entry is None or self._is_replaced(entry):
            self._place(packet, data, route)
        elif entry.is_accepted or self._is_live(entry):
            self._forward(entry, data)
        else:
            self._place_again(entry, 'server left')

    def _place(self, packet, data, route):
        service = route.choose_service(packet.flow)
        server = self._choose(packet.flow, service, ())
        if server is None:
            self._refuse(packet, 'no server takes flows', service)
            return
        limit = self._placement.slot_limit(server)
        if limit is None and self.waiting.put(
            packet.flow, service, data, route
        ):
            self._counters.flows_waiting += 1
            return
        self._send_placed(packet.flow, server, data, limit or 0)

    def _place_waiting(self, service):
        while True:
            opening = self.waiting.pop(service)
            if opening is None:
                return
            server = self._choose(opening.flow, service, ())
            limit = 0
            if server is not None:
                limit = self._placement.slot_limit(server)
            if limit is None:
                self.waiting.put_back(opening)
                return
            self._place_opening(opening, server, limit)

    def _place_opening(self, opening, server, limit):
        if server is None:
            packet = self._format.read_from_client(opening.data)
            self._refuse(packet, 'no server takes flows', opening.service)
            return
        waited_ms = self._clock.monotonic_ms() - opening.since_ms
        self._send_placed(opening.flow, server, opening.data, limit, waited_ms)

    def check_waiting(self):
        """Send flows that have waited long to a server's own queue."""
        for opening in self.waiting.pop_due():
            server = self._choose(opening.flow, opening.service, ())
            self._place_opening(opening, server, 0)

    def _send_placed(self, flow, server, data, limit, waited_ms=0):
        entry = self.table.put(flow, server, opening_data=data)
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
                self._refuse(packet, reason, entry.service)
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
            flow, self._by_service.get(service, ()), tried
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
                'view_age_ms': _rounded(self._view.age_ms()),
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

    def _report_age_ms(self, load):
        if load.reported_ms is None:
            return None
        return _rounded(self._clock.monotonic_ms() - load.reported_ms)

    def _refuse_without_route(self, packet):
        age_ms = self._view.age_ms()
        if age_ms is None or age_ms > FRESH_VIEW_MS:
            self._counters.flows_lost += 1
            self._decisions.write(
                'packet dropped',
                {
                    'flow': self._format.describe(packet.flow),
                    'reason': 'no route, and the view is old',
                    'view_age_ms': _rounded(age_ms),
                },
            )
            return
        self.table.forget(packet.flow)
        self._refuse(packet, 'no route', None)

    def _refuse(self, packet, reason, service):
        self._counters.flows_refused += 1
        self._reset(packet, reason, service)

    def _reset(self, packet, reason, subject):
        self._counters.resets_sent += 1
        self._decisions.write(
            'flow reset',
            {
                'flow': self._format.describe(packet.flow),
                'opening': packet.is_open,
                'reason': reason,
                'subject': subject,
                'version': self._view.configuration.version,
                'view_age_ms': _rounded(self._view.age_ms()),
            },
        )
        self._send_to_client(
            self._format.make_reset(packet),
            self._format.client_address(packet.flow),
        )

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

    def _is_replaced(self, entry):
        current = self._by_ip.get(entry.ip)
        return current is not None and (
            (current.name, current.boot_utc_ms)
            != (entry.server_name, entry.boot_utc_ms)
            and entry.server_name not in self._view.servers
        )

    def _is_live(self, entry):
        return entry.server_name in self._view.servers and (
            self.loads.is_usable(entry.ip)
        )

    # Flows of other balancers

    def _find_holder(self, packet, data, route, answered=()):
        search = self.searches.get(packet.flow)
        if search is not None:
            self.searches.add_packet(search, packet, data)
            return
        ips, is_complete = self._possible_holders(route)
        search = self.searches.start(
            packet, data, ips - set(answered), is_complete=is_complete
        )
        if search is None:
            return
        self._counters.searches += 1
        query = flow_datagrams.encode(
            flow_datagrams.FlowQuery(packet.flow, packet.acknowledged)
        )
        for ip in search.unanswered:
            self._send_to_agent(query, (ip, self._settings.agent_port))
        if not search.unanswered:
            self._continue_search(search)

    def _possible_holders(self, route):
        age_ms = self._view.age_ms()
        is_fresh = age_ms is not None and age_ms < FRESH_VIEW_MS
        ips = set(self._by_ip) | set(self._departed)
        if len(ips) <= MAX_ASKED:
            return ips, is_fresh and bool(ips)
        names = route.service_names if route is not None else ()
        chosen = itertools.chain.from_iterable(
            self._by_service.get(name, ()) for name in names
        )
        return {server.ip for server in chosen}, False

    def _continue_search(self, search):
        ip = self.searches.start_probe(search)
        packet, data = search.packets[0]
        if ip is not None:
            server = self._by_ip.get(ip)
            service = server.service if server is not None else ''
            self._send_to(ip, flow_datagrams.FlowEnvelope(service, 0, data))
            return
        if search.probed:
            return
        self.searches.end(search.flow)
        if search.is_complete:
            self._reset(packet, 'no server holds the flow', None)
            return
        self._counters.flows_lost += 1
        self._decisions.write(
            'packet dropped',
            {
                'flow': self._format.describe(search.flow),
                'reason': 'holder not found',
                'view_age_ms': _rounded(self._view.age_ms()),
            },
        )

    def _on_status(self, ip, status):
        is_held = status.holding == flow_datagrams.Holding.YES
        entry = self.table.get(status.flow)
        if is_held and entry is not None and entry.ip == ip:
            entry.is_accepted = True
            entry.opening_data = b''
            self.loads.on_settled(ip, status.flow)
        search = self.searches.on_status(ip, status)
        if search is None:
            return
        if not is_held:
            self._continue_search(search)
            return
        self._adopt(search, ip)

    def _adopt(self, search, ip):
        self._counters.flows_found += 1
        server = self._by_ip.get(ip)
        self._decisions.write(
            'flow found',
            {
                'flow': self._format.describe(search.flow),
                'agent': ip,
                'server': server.name if server is not None else None,
            },
        )
        if server is None:
            for _, data in search.packets:
                self._send_to(ip, flow_datagrams.FlowEnvelope('', 0, data))
            return
        entry = self.table.put(search.flow, server, is_accepted=True)
        for _, data in search.packets:
            self._forward(entry, data)

    def _on_decline(self, ip, decline):
        packet = self._format.read_from_client(decline.packet_data)
        if packet is None:
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
                self.searches.end(packet.flow)
                self._reset(packet, 'server has lost the flow', ip)
            return
        if self.searches.get(packet.flow) is not None:
            self._on_status(
                ip,
                flow_datagrams.FlowStatus(
                    packet.flow, flow_datagrams.Holding.NO
                ),
            )
            return
        if entry is not None and not is_current:
            self._forward(entry, decline.packet_data)
            return
        self.table.forget(packet.flow)
        self._find_holder(
            packet,
            decline.packet_data,
            self._route_of(packet.flow),
            answered=(ip,),
        )

    def _on_busy(self, entry):
        server = self._by_ip.get(entry.ip)
        self.loads.on_settled(entry.ip, entry.flow)
        self.loads.on_busy(entry.ip, server.slots + 1 if server else 1)
        route = self._route_of(entry.flow)
        if (
            route is None
            or not self.loads.get(entry.ip).is_exact
            or not self.waiting.put(
                entry.flow, entry.service, entry.opening_data, route
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

    def _on_view_change(self, kind, fields):
        if kind == 'configuration_accepted':
            self.table.idle_timeout_ms = (
                self._view.configuration.idle_timeout_ms
            )
            return
        servers = sorted(self._view.servers.values(), key=_age_order)
        previous_ips = set(self._by_ip)
        self._by_ip = {server.ip: server for server in servers}
        self._by_service = {}
        for server in servers:
            if self._by_ip[server.ip] is server:
                self._by_service.setdefault(server.service, []).append(server)
        deadline_ms = self._clock.monotonic_ms() + self._settings.max_flow_ms
        for ip in previous_ips - set(self._by_ip):
            self._departed[ip] = deadline_ms


def _age_order(server):
    # An address belongs to the server that started there last.
    return (server.boot_utc_ms, server.revision)


def _rounded(value_ms):
    return None if value_ms is None else round(value_ms)
