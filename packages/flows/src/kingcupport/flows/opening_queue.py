"""Opening packets that wait until a server has room.

Answers the load of crests: a flow that is sent to a busy server stays behind
whatever runs there, also behind a request that takes seven times as long,
while other servers become free. A flow that waits here goes to the first
server that has room. One flow more than a server works on may be on its way
to it: the handshake of that flow takes a round trip to the client, in which
the server would be idle otherwise.
"""

import heapq
import itertools

import attrs

# Flows that a server may hold beyond those that it works on. Without one the
# servers are idle for a quarter of the time; with more, flows wait behind
# long requests.
FLOWS_AHEAD = 1
# Crests bring 120 new flows a second to a balancer of the sites; the bound
# holds those of a second at the planned size.
MAX_WAITING = 128
# A flow waits for its target time at most, and not longer than this: a client
# sends its second copy after 200 ms.
MAX_WAIT_MS = 400
MIN_WAIT_MS = 50


@attrs.define
class WaitingOpening:
    """One opening packet.

    Args:
        flow: The flow.
        service: Name of the service that it goes to.
        data: Bytes of the packet.
        since_ms: Since when it waits, on the monotonic clock.
        deadline_ms: When it waits no longer, on the monotonic clock.
        priority: 0 goes first.
    """

    flow: bytes
    service: str
    data: bytes
    since_ms: float
    deadline_ms: float
    priority: int


class OpeningQueue:
    """Waiting opening packets, by service.

    Args:
        clock: Clock.
    """

    def __init__(self, clock):
        self._clock = clock
        self._heaps = {}
        self._waiting = {}
        self._order = itertools.count()

    def __len__(self):
        """Return the number of waiting packets."""
        return len(self._waiting)

    def __contains__(self, flow):
        """Whether the opening packet of a flow is waiting."""
        return flow in self._waiting

    def put(self, flow, service, data, route):
        """Let an opening packet wait.

        Args:
            flow: The flow.
            service: Name of the service that it goes to.
            data: Bytes of the packet.
            route: FlowRoute that it came by.

        Returns:
            Whether there was room.
        """
        if len(self._waiting) >= MAX_WAITING:
            return False
        now_ms = self._clock.monotonic_ms()
        wait_ms = min(max(route.target_ms, MIN_WAIT_MS), MAX_WAIT_MS)
        self.put_back(
            WaitingOpening(
                flow, service, data, now_ms, now_ms + wait_ms, route.priority
            )
        )
        return True

    def put_back(self, opening):
        """Let an opening packet wait again at its former place.

        Args:
            opening: WaitingOpening.
        """
        self._waiting[opening.flow] = opening
        heapq.heappush(
            self._heaps.setdefault(opening.service, []),
            (
                opening.priority,
                opening.deadline_ms,
                next(self._order),
                opening,
            ),
        )

    def pop(self, service):
        """Return the packet of a service that goes first, or None."""
        heap = self._heaps.get(service, ())
        while heap:
            opening = heapq.heappop(heap)[-1]
            if self._waiting.get(opening.flow) is opening:
                del self._waiting[opening.flow]
                return opening
        return None

    def pop_due(self):
        """Return the packets that wait no longer, the oldest first."""
        now_ms = self._clock.monotonic_ms()
        due = [o for o in self._waiting.values() if o.deadline_ms <= now_ms]
        for opening in due:
            del self._waiting[opening.flow]
        return sorted(due, key=lambda opening: opening.since_ms)

    def services(self):
        """Return the names of the services with waiting packets."""
        return {opening.service for opening in self._waiting.values()}


def make_opening_queue(clock):
    """Return an empty queue.

    Args:
        clock: Clock.
    """
    return OpeningQueue(clock)
