"""Finds the server that holds a flow which is not in the table."""

from kingcupport.flows import holder_search
from kingcupport.wire import flow_datagrams

# An agent that could not tell about one flow has usually started after its
# server; for this long it is sent the packets of further flows at once.
UNDETERMINED_MS = 2_000
# A server that the view has not listed for this long has left if its agent
# does not answer either. Until then the entry may have lapsed by an outage.
UNLISTED_MS = 3_000
# The agent of an unlisted server has had no answer for this long: more than
# one lost datagram explains.
UNANSWERED_MS = 400


class HolderFinder:
    """Asks the agents for the holders of flows.

    An agent that has started after its server cannot tell. It is sent the
    packet as a probe: a server that does not hold the flow returns it. All
    agents are asked at the same time and at most once for a flow, so that the
    retransmissions of a lost flow cost nothing more.

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
        self._clock = clock
        self._format = packet_format
        self._index = index
        self._table = table
        self._refusals = refusals
        self._counters = counters
        self._decisions = decisions
        self._send_to = send_to
        self._searches = holder_search.make_holder_searches(clock)
        self._undetermined_until_ms = {}
        # Since when the agents have not answered.
        self._unanswered_since_ms = {}

    def __len__(self):
        """Return the number of searches in progress."""
        return len(self._searches)

    def find(self, packet, data, answered=()):
        """Search for the holder of a packet's flow and keep the packet.

        Args:
            packet: FlowPacket.
            data: Its bytes.
            answered: Addresses of agents whose servers are known not to hold
                the flow.
        """
        search = self._searches.add_packet(packet, data)
        search.ruled_out |= set(answered)
        if search.is_running:
            return
        ips = self._index.known_ips() - search.ruled_out
        if not ips:
            self._finish_without_holder(search)
            return
        if not self._searches.start(search, ips):
            return
        self._counters.searches += 1
        query = flow_datagrams.FlowQuery(packet.flow, packet.acknowledged)
        probe = flow_datagrams.FlowProbe(data)
        now_ms = self._clock.monotonic_ms()
        for ip in ips:
            is_undetermined = self._undetermined_until_ms.get(ip, 0) > now_ms
            self._send_to(ip, probe if is_undetermined else query)

    def on_status(self, ip, status):
        """Handle the answer of an agent.

        Args:
            ip: Address of the agent.
            status: FlowStatus.
        """
        self._unanswered_since_ms.pop(ip, None)
        if status.holding == flow_datagrams.Holding.UNKNOWN:
            self._probe(ip, status.flow)
            return
        search = self._searches.on_answer(ip, status)
        if search is None:
            return
        if status.holding == flow_datagrams.Holding.YES:
            self._finish_found(search, ip)
        else:
            self._finish_without_holder(search)

    def on_not_held(self, ip, flow):
        """Record that a server returned a packet of a flow it does not hold.

        Args:
            ip: Address of the server's agent.
            flow: Bytes that identify the flow.

        Returns:
            Whether a search for the flow is in progress.
        """
        search = self._searches.get(flow)
        if search is None or not search.is_running:
            return False
        not_held = int(flow_datagrams.Holding.NO)
        self.on_status(ip, flow_datagrams.FlowStatus(flow, not_held))
        return True

    def end(self, flow):
        """End the search for a flow, if there is one."""
        self._searches.end(flow)

    def check_searches(self):
        """End the searches that have timed out without all answers."""
        now_ms = self._clock.monotonic_ms()
        for search in self._searches.overdue():
            for ip in self._searches.stop(search):
                self._unanswered_since_ms.setdefault(ip, now_ms)
            self._finish_without_holder(search)

    def drop_expired(self):
        """Forget old answers; called periodically."""
        self._searches.drop_expired()
        now_ms = self._clock.monotonic_ms()
        self._undetermined_until_ms = {
            ip: until_ms
            for ip, until_ms in self._undetermined_until_ms.items()
            if until_ms > now_ms
        }
        known_ips = self._index.known_ips()
        self._unanswered_since_ms = {
            ip: since_ms
            for ip, since_ms in self._unanswered_since_ms.items()
            if ip in known_ips
        }

    def _probe(self, ip, flow):
        self._undetermined_until_ms[ip] = (
            self._clock.monotonic_ms() + UNDETERMINED_MS
        )
        search = self._searches.get(flow)
        if search is None or ip not in search.unanswered:
            return
        _, data = search.packets[0]
        self._send_to(ip, flow_datagrams.FlowProbe(data))

    def _finish_without_holder(self, search):
        packet, _ = search.packets[0]
        search.packets.clear()
        known_ips = self._index.known_ips()
        possible_ips = known_ips - search.ruled_out - self._left_ips()
        if possible_ips:
            self._refusals.drop(search.flow, 'holder not found')
        elif not self._refusals.has_fresh_view():
            self._refusals.drop(search.flow, 'no holder, and the view is old')
        else:
            # Shared by all searches that have ended like this.
            search.ruled_out = known_ips
            self._refusals.reset(packet, 'no server holds the flow', None)

    def _left_ips(self):
        now_ms = self._clock.monotonic_ms()
        return {
            ip
            for ip in self._index.removed_before(now_ms - UNLISTED_MS)
            if now_ms - self._unanswered_since_ms.get(ip, now_ms)
            >= UNANSWERED_MS
        }

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
        self._searches.end(search.flow)
