"""Asks the agents which server holds a flow."""

import itertools

from kingcupport.flows import holder_search
from kingcupport.wire import flow_datagrams

# All agents are asked for the holder of a flow in fleets up to this size;
# in larger ones those of the route's services.
MAX_ASKED = 128


class HolderFinder:
    """Runs the searches of one balancer.

    Args:
        clock: Clock.
        packet_format: FlowPacketFormat.
        index: ServerIndex.
        table: FlowTable, which takes the flows that are found.
        refusals: FlowRefusals.
        counters: FlowCounters.
        decisions: DecisionLog.
        send_to: ``send_to(ip, datagram)`` to an agent.
    """

    def __init__(
        self,
        clock,
        packet_format,
        index,
        table,
        refusals,
        counters,
        decisions,
        send_to,
    ):
        self._format = packet_format
        self._index = index
        self._table = table
        self._refusals = refusals
        self._counters = counters
        self._decisions = decisions
        self._send_to = send_to
        self._searches = holder_search.make_holder_searches(clock)

    def __len__(self):
        """Return the number of searches that are under way."""
        return len(self._searches)

    def find(self, packet, data, route, answered=()):
        """Look for the holder of a packet's flow; the packet waits.

        Args:
            packet: FlowPacket.
            data: Its bytes.
            route: FlowRoute of the flow, or None.
            answered: Addresses of agents that are known not to hold it.
        """
        search = self._searches.get(packet.flow)
        if search is not None:
            self._searches.add_packet(search, packet, data)
            return
        ips, is_complete = self._possible_holders(route)
        search = self._searches.start(
            packet, data, ips - set(answered), is_complete=is_complete
        )
        if search is None:
            return
        self._counters.searches += 1
        query = flow_datagrams.FlowQuery(packet.flow, packet.acknowledged)
        for ip in search.unanswered:
            self._send_to(ip, query)
        if not search.unanswered:
            self._go_on(search)

    def on_status(self, ip, status):
        """Note what an agent knows of a flow.

        Args:
            ip: Address of the agent.
            status: FlowStatus.
        """
        search = self._searches.on_status(ip, status)
        if search is None:
            return
        if status.holding == flow_datagrams.Holding.YES:
            self._adopt(search, ip)
        else:
            self._go_on(search)

    def on_not_held(self, ip, flow):
        """Note that a server gave a packet back.

        Returns:
            Whether a search for the flow is under way.
        """
        if self._searches.get(flow) is None:
            return False
        no = int(flow_datagrams.Holding.NO)
        self.on_status(ip, flow_datagrams.FlowStatus(flow, no))
        return True

    def end(self, flow):
        """End the search for a flow, if there is one."""
        self._searches.end(flow)

    def check(self):
        """Go on with the searches that were not answered in time."""
        for search in self._searches.due():
            search.is_complete = search.is_complete and not (
                search.unanswered or search.probed
            )
            search.unanswered.clear()
            search.probed.clear()
            self._go_on(search)

    def _possible_holders(self, route):
        ips = self._index.known_ips()
        if len(ips) <= MAX_ASKED:
            return ips, bool(ips) and self._refusals.has_fresh_view()
        names = route.service_names if route is not None else ()
        chosen = itertools.chain.from_iterable(
            self._index.by_service.get(name, ()) for name in names
        )
        # A flow stays with its server when its route gets another service.
        return {server.ip for server in chosen}, False

    def _go_on(self, search):
        ip = self._searches.start_probe(search)
        packet, data = search.packets[0]
        if ip is not None:
            server = self._index.by_ip.get(ip)
            service = server.service if server is not None else ''
            self._send_to(ip, flow_datagrams.FlowEnvelope(service, 0, data))
            return
        if search.probed:
            return
        self._searches.end(search.flow)
        if search.is_complete:
            self._refusals.reset(packet, 'no server holds the flow', None)
        else:
            self._refusals.drop(search.flow, 'holder not found')

    def _adopt(self, search, ip):
        self._counters.flows_found += 1
        server = self._index.by_ip.get(ip)
        self._decisions.write(
            'flow found',
            {
                'flow': self._format.describe(search.flow),
                'agent': ip,
                'server': server.name if server is not None else None,
            },
        )
        service = ''
        if server is not None:
            self._table.put(search.flow, server, is_accepted=True)
            service = server.service
        for _, data in search.packets:
            self._send_to(ip, flow_datagrams.FlowEnvelope(service, 0, data))
