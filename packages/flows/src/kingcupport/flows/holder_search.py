"""State of the searches for the server that holds an unknown flow."""

import attrs

from kingcupport.wire import flow_datagrams

# A query and its answer take at most 2 ms between data centres; an agent that
# has only a fraction of a core may answer later.
SEARCH_TIMEOUT_MS = 60
# Time for an agent to accept or return a probe; clients retransmit a packet
# after 200 ms.
PROBE_TIMEOUT_MS = 60
MAX_SEARCHES = 1_024
# Client and server each have at most 16 packets in flight.
MAX_PACKETS_PER_SEARCH = 16


@attrs.define
class HolderSearch:
    """A search for the server that holds one flow.

    Args:
        flow: Bytes that identify the flow.
        packets: ``(FlowPacket, bytes)`` pairs that wait for the result.
        unanswered: Addresses of the agents that have not answered.
        undetermined: Addresses of the agents that could not tell and whose
            servers were not probed yet.
        probed: Addresses of the agents whose servers were sent a packet.
        deadline_ms: When the search times out, on the monotonic clock.
        is_complete: Whether every agent whose server may hold the flow was
            queried.
    """

    flow: bytes
    packets: list
    unanswered: set
    deadline_ms: float
    is_complete: bool
    undetermined: set = attrs.field(factory=set)
    probed: set = attrs.field(factory=set)


class HolderSearches:
    """The searches of one balancer that are in progress.

    Args:
        clock: Clock.

    Attributes:
        refused_count: Number of searches not started because of the limit.
    """

    def __init__(self, clock):
        self._clock = clock
        self._searches = {}
        self.refused_count = 0

    def __len__(self):
        """Return the number of searches in progress."""
        return len(self._searches)

    def get(self, flow):
        """Return the HolderSearch for a flow, or None."""
        return self._searches.get(flow)

    def start(self, packet, data, ips, *, is_complete):
        """Start a search for the server that holds a packet's flow.

        Args:
            packet: FlowPacket.
            data: Its bytes.
            ips: Addresses of the agents that are queried.
            is_complete: Whether no other agent's server may hold the flow.

        Returns:
            The HolderSearch, or None if too many are in progress.
        """
        if len(self._searches) >= MAX_SEARCHES:
            self.refused_count += 1
            return None
        search = HolderSearch(
            packet.flow,
            [(packet, data)],
            set(ips),
            self._clock.monotonic_ms() + SEARCH_TIMEOUT_MS,
            is_complete,
        )
        self._searches[packet.flow] = search
        return search

    def add_packet(self, search, packet, data):
        """Keep a further packet until the search ends, up to the limit."""
        if len(search.packets) < MAX_PACKETS_PER_SEARCH:
            search.packets.append((packet, data))

    def on_status(self, ip, status):
        """Record the answer of an agent.

        Args:
            ip: Address of the agent.
            status: wire.flow_datagrams.FlowStatus.

        Returns:
            The HolderSearch if the holder was found or no answer is
            outstanding, else None.
        """
        search = self._searches.get(status.flow)
        if search is None:
            return None
        search.unanswered.discard(ip)
        if status.holding == flow_datagrams.Holding.YES:
            return self._searches.pop(status.flow)
        if status.holding == flow_datagrams.Holding.UNKNOWN:
            search.undetermined.add(ip)
        else:
            search.probed.discard(ip)
        return None if search.unanswered else search

    def start_probe(self, search):
        """Select the next agent whose server is probed with a packet.

        Returns:
            Its address, or None if none is left.
        """
        if not search.undetermined:
            return None
        ip = search.undetermined.pop()
        search.probed.add(ip)
        search.deadline_ms = self._clock.monotonic_ms() + PROBE_TIMEOUT_MS
        return ip

    def end(self, flow):
        """Discard the search for a flow, if there is one."""
        self._searches.pop(flow, None)

    def expired(self):
        """Return the searches that have timed out."""
        now_ms = self._clock.monotonic_ms()
        return [s for s in self._searches.values() if now_ms >= s.deadline_ms]


def make_holder_searches(clock):
    """Return an empty set of searches.

    Args:
        clock: Clock.
    """
    return HolderSearches(clock)
