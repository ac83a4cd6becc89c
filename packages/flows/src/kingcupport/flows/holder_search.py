"""Finds the server that holds a flow which this balancer does not know."""

import attrs

from kingcupport.wire import flow_datagrams

# A question and its answer take at most 2 ms between data centres; an agent
# with a fraction of a core may be busy for some more.
SEARCH_MS = 60
# After a bounced probe; a packet is sent again after 200 ms.
PROBE_MS = 60
MAX_SEARCHES = 1_024
# Both ends have at most 16 packets in flight.
MAX_PACKETS = 16


@attrs.define
class Search:
    """One flow whose holder is being looked for.

    Args:
        flow: The flow.
        packets: ``(FlowPacket, bytes)`` that wait for the result.
        unanswered: Addresses of the agents that have not answered.
        unsure: Addresses of the agents that do not know.
        probed: Addresses of the agents whose servers were sent a packet.
        deadline_ms: When the search ends, on the monotonic clock.
        is_complete: Whether all agents were asked that may hold the flow.
    """

    flow: bytes
    packets: list
    unanswered: set
    deadline_ms: float
    is_complete: bool
    unsure: set = attrs.field(factory=set)
    probed: set = attrs.field(factory=set)


class HolderSearches:
    """The searches of one balancer.

    Args:
        clock: Clock.
    """

    def __init__(self, clock):
        self._clock = clock
        self._searches = {}
        self.refused_count = 0

    def __len__(self):
        """Return the number of searches."""
        return len(self._searches)

    def get(self, flow):
        """Return the Search for a flow, or None."""
        return self._searches.get(flow)

    def start(self, packet, data, ips, *, is_complete):
        """Start to look for the holder of a packet's flow.

        Args:
            packet: FlowPacket.
            data: Its bytes.
            ips: Addresses of the agents that are asked.
            is_complete: Whether no other agent may hold the flow.

        Returns:
            The Search, or None when too many are under way.
        """
        if len(self._searches) >= MAX_SEARCHES:
            self.refused_count += 1
            return None
        search = Search(
            packet.flow,
            [(packet, data)],
            set(ips),
            self._clock.monotonic_ms() + SEARCH_MS,
            is_complete,
        )
        self._searches[packet.flow] = search
        return search

    def add_packet(self, search, packet, data):
        """Let a further packet wait for the result of a search."""
        if len(search.packets) < MAX_PACKETS:
            search.packets.append((packet, data))

    def on_status(self, ip, status):
        """Note what an agent knows.

        Args:
            ip: Address of the agent.
            status: wire.flow_datagrams.FlowStatus.

        Returns:
            The Search when it has ended or may go on, else None.
        """
        search = self._searches.get(status.flow)
        if search is None:
            return None
        search.unanswered.discard(ip)
        if status.holding == flow_datagrams.Holding.YES:
            return self._searches.pop(status.flow)
        if status.holding == flow_datagrams.Holding.UNKNOWN:
            search.unsure.add(ip)
        else:
            search.probed.discard(ip)
        return None if search.unanswered else search

    def start_probe(self, search):
        """Return the next agent whose server is asked with a real packet.

        Returns:
            Its address, or None when none is left.
        """
        if not search.unsure:
            return None
        ip = search.unsure.pop()
        search.probed.add(ip)
        search.deadline_ms = self._clock.monotonic_ms() + PROBE_MS
        return ip

    def end(self, flow):
        """End a search."""
        self._searches.pop(flow, None)

    def due(self):
        """Return the searches whose deadline has passed."""
        now_ms = self._clock.monotonic_ms()
        return [s for s in self._searches.values() if now_ms >= s.deadline_ms]


def make_holder_searches(clock):
    """Return an empty set of searches.

    Args:
        clock: Clock.
    """
    return HolderSearches(clock)
