"""Finds the server that holds a flow which is not in the table."""

import itertools

from kingcupport.flows import holder_search
from kingcupport.wire import flow_datagrams

# In fleets up to this size, all agents are queried for the holder of a flow;
# in larger ones, only the agents of the route's services.
MAX_QUERIED_AGENTS = 128


class HolderFinder:
    """Queries the agents for the holders of flows.

    If no agent reports the flow as held, the agents that could not tell are
    probed one by one: the packet is sent to their servers, and a server that
    does not hold the flow returns it.

    Args:
        clock: Clock.
        packet_format: FlowPacketFormat.
        index: ServerIndex.
        table: FlowTable to which found flows are added.
        refusals: FlowRefusals.
        counters: FlowCounters.
        decisions: DecisionLog.
        send_to: ``send_to(ip, datagram)`` sends a datagram to an agent.
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
        """Return the number of searches in progress."""
        return len(self._searches)

    def find(self, packet, data, route, answered=()):
        """Search for the holder of a packet's flow and keep the packet.

        Args:
            packet: FlowPacket.
            data: Its bytes.
            route: FlowRoute of the flow, or None.
            answered: Addresses of agents whose servers are known not to hold
                the flow.
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
            self._continue_search(search)

    def on_status(self, ip, status):
        """Handle the answer of an agent.

        Args:
            ip: Address of the agent.
            status: FlowStatus.
        """
        search = self._searches.on_status(ip, status)
        if search is None:
            return
        if status.holding == flow_datagrams.Holding.YES:
            self._finish_found(search, ip)
        else:
            self._continue_search(search)

    def on_not_held(self, ip, flow):
        """Record that a server returned a packet of a flow it does not hold.

        Args:
            ip: Address of the server's agent.
            flow: Bytes that identify the flow.

        Returns:
            Whether a search for the flow is in progress.
        """
        if self._searches.get(flow) is None:
            return False
        not_held = int(flow_datagrams.Holding.NO)
        self.on_status(ip, flow_datagrams.FlowStatus(flow, not_held))
        return True

    def end(self, flow):
        """End the search for a flow, if there is one."""
        self._searches.end(flow)

    def check_searches(self):
        """Continue the searches that have timed out without all answers."""
        for search in self._searches.expired():
            search.is_complete = search.is_complete and not (
                search.unanswered or search.probed
            )
            search.unanswered.clear()
            search.probed.clear()
            self._continue_search(search)

    def _possible_holders(self, route):
        ips = self._index.known_ips()
        if len(ips) <= MAX_QUERIED_AGENTS:
            return ips, bool(ips) and self._refusals.has_fresh_view()
        names = route.service_names if route is not None else ()
        chosen = itertools.chain.from_iterable(
            self._index.by_service.get(name, ()) for name in names
        )
        # Not complete: a flow stays with its server when its route changes to
        # another service.
        return {server.ip for server in chosen}, False

    def _continue_search(self, search):
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

    def _finish_found(self, search, ip):
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
