"""Finds the server that holds a flow which is not in the table."""

import xxhash

from kingcupport.flows import holder_search
from kingcupport.wire import flow_datagrams

# A server that the view has not listed for this long has left if its agent
# does not answer either. Until then the entry may have lapsed by an outage.
UNLISTED_MS = 3_000
# The agent of an unlisted server has had no answer for this long: more than
# one lost datagram explains.
UNANSWERED_MS = 400


class HolderFinder:
    """Asks the agents for the holders of flows.

    One agent, chosen by a hash of the flow, probes all agents and reports the
    result. An agent that has started after its server cannot tell which flows
    it holds; it sends the packet to the server, which returns the packets of
    unknown flows. An agent that has ruled out a flow is not asked again, so
    that the retransmissions of a lost flow cost little.

    Args:
        clock: Clock.
        packet_format: FlowPacketFormat.
        index: ServerIndex.
        table: FlowTable to which found flows are added.
        loads: ServerLoads, by which a live agent is chosen.
        view: FleetView.
        refusals: FlowRefusals.
        counters: FlowCounters.
        decisions: DecisionLog.
        send_to: ``send_to(ip, datagram)`` sends a datagram to an agent.
        request_read: ``request_read(time_ms)`` asks for a read of the store
            that starts after a time.
    """

    def __init__(
        self,
        clock,
        packet_format,
        index,
        table,
        loads,
        view,
        refusals,
        counters,
        decisions,
        send_to,
        request_read,
    ):
        self._clock = clock
        self._format = packet_format
        self._index = index
        self._table = table
        self._loads = loads
        self._view = view
        self._refusals = refusals
        self._counters = counters
        self._decisions = decisions
        self._send_to = send_to
        self._request_read = request_read
        self._searches = holder_search.make_holder_searches(clock)
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
        if not search.is_running:
            self._ask_others(search)

    def _ask_others(self, search):
        self._searches.stop_waiting(search)
        ips = self._index.known_ips() - search.ruled_out
        if not ips:
            self._finish_without_holder(search)
            return
        _, data = search.packets[-1]
        surveyor_ip = self._choose_surveyor(search)
        if not self._searches.start(search, ips, surveyor_ip):
            return
        self._counters.searches += 1
        self._send_to(
            surveyor_ip,
            flow_datagrams.FlowSearch(search.number, sorted(ips), data),
        )

    def on_result(self, ip, result):
        """Handle the result of a search.

        Args:
            ip: Address of the agent that has asked the others.
            result: FlowSearchResult.
        """
        self._unanswered_since_ms.pop(ip, None)
        if result.holder_ip:
            self.on_held(result.holder_ip, result.flow)
            return
        search = self._searches.get(result.flow)
        if search is None or not search.is_running:
            return
        if result.number != search.number:
            # The result of an earlier round says nothing about agents that
            # are asked for the first time.
            return
        unanswered = search.unanswered.intersection(
            ip for ip in result.unanswered_ips if type(ip) is str
        )
        for answered_ip in search.unanswered - unanswered:
            self._unanswered_since_ms.pop(answered_ip, None)
        search.ruled_out |= search.unanswered - unanswered
        self._stop(search, unanswered)

    def on_held(self, ip, flow):
        """Record that the server of an agent holds a flow.

        Args:
            ip: Address of the agent.
            flow: Bytes that identify the flow.
        """
        search = self._searches.get(flow)
        if search is not None:
            self._finish_found(search, ip)

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
        search.ruled_out |= {ip}
        return True

    def end(self, flow):
        """End the search for a flow, if there is one."""
        self._searches.end(flow)

    def check_searches(self):
        """End the searches that got no result in time.

        Searches that wait for the view ask the servers that it has learned of,
        or end if it is confirmed.
        """
        for search in self._searches.overdue():
            search.silent_surveyors |= {search.surveyor_ip}
            self._stop(search, ())
        for search in self._searches.waiting():
            self._ask_others(search)

    def drop_expired(self):
        """Forget old answers; called periodically."""
        self._searches.drop_expired()
        known_ips = self._index.known_ips()
        self._unanswered_since_ms = {
            ip: since_ms
            for ip, since_ms in self._unanswered_since_ms.items()
            if ip in known_ips
        }

    def _choose_surveyor(self, search):
        ips = self._index.by_ip.keys() - search.silent_surveyors
        usable = [ip for ip in ips if self._loads.is_reachable(ip)]
        return max(
            usable or ips or self._index.known_ips(),
            key=lambda ip: xxhash.xxh3_64_intdigest(ip.encode() + search.flow),
        )

    def _stop(self, search, unanswered):
        now_ms = self._clock.monotonic_ms()
        for ip in unanswered:
            self._unanswered_since_ms.setdefault(ip, now_ms)
        self._searches.stop(search)
        self._finish_without_holder(search)

    def _finish_without_holder(self, search):
        packet, _ = search.packets[0]
        known_ips = self._index.known_ips()
        possible_ips = known_ips - search.ruled_out - self._left_ips()
        if possible_ips:
            search.packets.clear()
            self._refusals.drop(search.flow, 'holder not found')
        elif not self._view.confirmation.is_complete_since(
            search.first_packet_ms
        ):
            self._searches.wait_for_view(search)
            self._request_read(search.first_packet_ms)
        else:
            search.packets.clear()
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
