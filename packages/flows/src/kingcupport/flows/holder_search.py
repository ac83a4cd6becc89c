"""State of the searches for the server that holds an unknown flow."""

import collections
import itertools
import os

import attrs

# The agent that asks the others waits for them for 60 ms.
SEARCH_TIMEOUT_MS = 120
# Searches that wait for a result. A client sends the packet of a search that
# was not started again after 200 ms.
MAX_RUNNING_SEARCHES = 256
# Answers are remembered for this long after the last packet of the flow,
# because its client retransmits at intervals of up to 1,600 ms.
RETENTION_MS = 5_000
MAX_SEARCHES = 2_048
# Client and server each have at most 16 packets in flight.
MAX_PACKETS_PER_SEARCH = 16
# A client's acknowledgements on one flow differ by less than this; a larger
# difference is a later flow with the same addresses and ports.
MAX_ACKNOWLEDGED_BYTES = 1 << 24
_SEQUENCE_MODULUS = 1 << 32


@attrs.define
class HolderSearch:
    """A search for the server that holds one flow.

    Args:
        flow: Bytes that identify the flow.
        acknowledged: Sequence number that its client's first packet
            acknowledged.
        first_packet_ms: When that packet arrived, on the monotonic clock.
        expires_ms: When it is forgotten, on the monotonic clock.
        packets: ``(FlowPacket, bytes)`` pairs that wait for the result.
        unanswered: Addresses of the agents that have not answered.
        ruled_out: Addresses of the agents whose servers do not hold the flow.
        number: Number of the latest round of questions.
        surveyor_ip: Address of the agent that asks the others.
        silent_surveyors: Addresses of the agents that were told to ask the
            others and have reported no result.
        deadline_ms: When it stops waiting for the result, on the monotonic
            clock.
    """

    flow: bytes
    acknowledged: int
    first_packet_ms: float
    expires_ms: float
    packets: list = attrs.field(factory=list)
    unanswered: set = attrs.field(factory=set)
    ruled_out: frozenset = frozenset()
    number: int = 0
    surveyor_ip: str = ''
    silent_surveyors: frozenset = frozenset()
    deadline_ms: float = 0.0

    @property
    def is_running(self):
        """Whether it waits for answers."""
        return bool(self.unanswered)


class HolderSearches:
    """The searches of one balancer and what they have found out.

    An agent that has ruled out a flow is not asked again: a flow never moves
    to another server.

    Args:
        clock: Clock.

    Attributes:
        refused_count: Number of searches not started because of the limit.
    """

    def __init__(self, clock):
        self._clock = clock
        self._searches = collections.OrderedDict()
        self._running = {}
        # Those that wait for a view which shows that no server is missing.
        self._waiting = {}
        # A late result for a former process of this balancer names no search
        # of this one. os.urandom, because importing secrets loads OpenSSL.
        self._numbers = itertools.count(int.from_bytes(os.urandom(6)))
        self.refused_count = 0

    def __len__(self):
        """Return the number of searches that wait for answers."""
        return len(self._running)

    def get(self, flow):
        """Return the HolderSearch for a flow, or None."""
        return self._searches.get(flow)

    def add_packet(self, packet, data):
        """Add a packet to the search for its flow.

        Args:
            packet: FlowPacket.
            data: Its bytes.

        Returns:
            The HolderSearch, which is created if the flow has none.
        """
        now_ms = self._clock.monotonic_ms()
        search = self._searches.get(packet.flow)
        if search is None or _is_later_flow(search, packet):
            self.end(packet.flow)
            search = HolderSearch(
                packet.flow, packet.acknowledged, now_ms, now_ms
            )
            self._searches[packet.flow] = search
        self._searches.move_to_end(packet.flow)
        search.expires_ms = now_ms + RETENTION_MS
        if len(search.packets) < MAX_PACKETS_PER_SEARCH:
            search.packets.append((packet, data))
        if len(self._searches) > MAX_SEARCHES:
            self.end(next(iter(self._searches)))
        return search

    def start(self, search, ips, surveyor_ip):
        """Wait for the answers of agents.

        Args:
            search: HolderSearch that is not running.
            ips: Addresses of the agents that are asked; at least one.
            surveyor_ip: Address of the agent that asks them.

        Returns:
            Whether it was started; else too many are running.
        """
        if len(self._running) >= MAX_RUNNING_SEARCHES:
            self.refused_count += 1
            search.packets.clear()
            return False
        search.unanswered = set(ips)
        search.number = next(self._numbers)
        search.surveyor_ip = surveyor_ip
        search.deadline_ms = self._clock.monotonic_ms() + SEARCH_TIMEOUT_MS
        self._running[search.flow] = search
        return True

    def end(self, flow):
        """Forget the search for a flow, if there is one."""
        self._searches.pop(flow, None)
        self._running.pop(flow, None)
        self._waiting.pop(flow, None)

    def wait_for_view(self, search):
        """Keep a search and its packets until the view is confirmed.

        Args:
            search: HolderSearch that is not running.
        """
        self._waiting[search.flow] = search

    def stop_waiting(self, search):
        """Stop waiting for the view.

        Args:
            search: HolderSearch.
        """
        self._waiting.pop(search.flow, None)

    def waiting(self):
        """Return the searches that wait for the view."""
        return list(self._waiting.values())

    def overdue(self):
        """Return the searches past the deadline for their answers."""
        now_ms = self._clock.monotonic_ms()
        return [
            search
            for search in self._running.values()
            if now_ms >= search.deadline_ms
        ]

    def stop(self, search):
        """Stop waiting for answers.

        Args:
            search: HolderSearch that is running.
        """
        search.unanswered = set()
        self._running.pop(search.flow, None)

    def drop_expired(self):
        """Forget the searches whose flows have had no packet for a while."""
        now_ms = self._clock.monotonic_ms()
        expired = [
            flow
            for flow, search in self._searches.items()
            if now_ms >= search.expires_ms and not search.is_running
        ]
        for flow in expired:
            self.end(flow)


def _is_later_flow(search, packet):
    difference = (
        packet.acknowledged - search.acknowledged
    ) % _SEQUENCE_MODULUS
    return (
        min(difference, _SEQUENCE_MODULUS - difference)
        > MAX_ACKNOWLEDGED_BYTES
    )


def make_holder_searches(clock):
    """Return an empty set of searches.

    Args:
        clock: Clock.
    """
    return HolderSearches(clock)
