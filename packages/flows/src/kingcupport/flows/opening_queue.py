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
# A flow that has waited for this share of its target time will miss it: the
# rest is taken by the handshake and the work. It then goes after the flows
# that can still be in time.
TARGET_SHARE = 0.7
# A flow goes to the queue of a server after this share of its time budget. A
# client sends its first copy after 200 ms; without it, it may have given up.
TIMEOUT_SHARE = 0.25
MAX_WAIT_MS = 200
# Of routes that name no times.
DEFAULT_TARGET_MS = 200
DEFAULT_TIMEOUT_MS = 1_000


@attrs.define
class WaitingOpening:
    """One opening packet.

    Args:
        flow: The flow.
        service: Name of the service that it goes to.
        data: Bytes of the packet.
        priority: 0 goes first.
        since_ms: Since when it waits, on the monotonic clock.
        opened_ms: When its client sent the first copy, at the latest.
        start_by_ms: Until when its request can be in time.
        deadline_ms: When it waits no longer, on the monotonic clock.
    """

    flow: bytes
    service: str
    data: bytes
    priority: int
    since_ms: float
    opened_ms: float
    start_by_ms: float
    deadline_ms: float


def start_by_ms(route, opened_ms):
    """Return until when a flow can start so that its request is in time.

    Args:
        route: FlowRoute that it came by.
        opened_ms: When its client sent the first copy, on the monotonic clock.
    """
    return opened_ms + TARGET_SHARE * (route.target_ms or DEFAULT_TARGET_MS)


class OpeningQueue:
    """Waiting opening packets, by service.

    Args:
        clock: Clock.
    """

    def __init__(self, clock):
        self._clock = clock
        # By service: packets that can be in time, and those that cannot.
        self._timely = {}
        self._late = {}
        self._waiting = {}
        self._order = itertools.count()

    def __len__(self):
        """Return the number of waiting packets."""
        return len(self._waiting)

    def __contains__(self, flow):
        """Whether the opening packet of a flow is waiting."""
        return flow in self._waiting

    def put(self, flow, service, data, route, opened_ms=None):
        """Let an opening packet wait.

        Args:
            flow: The flow.
            service: Name of the service that it goes to.
            data: Bytes of the packet.
            route: FlowRoute that it came by.
            opened_ms: When its client sent the first copy, at the latest, on
                the monotonic clock; now by default.

        Returns:
            Whether there was room.
        """
        if len(self._waiting) >= MAX_WAITING:
            return False
        now_ms = self._clock.monotonic_ms()
        if opened_ms is None:
            opened_ms = now_ms
        timeout_ms = route.timeout_ms or DEFAULT_TIMEOUT_MS
        self.put_back(
            WaitingOpening(
                flow,
                service,
                data,
                route.priority,
                now_ms,
                opened_ms,
                start_by_ms(route, opened_ms),
                now_ms + min(TIMEOUT_SHARE * timeout_ms, MAX_WAIT_MS),
            )
        )
        return True

    def put_back(self, opening):
        """Let an opening packet wait again at its former place.

        Args:
            opening: WaitingOpening.
        """
        self._waiting[opening.flow] = opening
        self._push(self._timely, opening)

    def is_late(self, opening):
        """Whether the request of a WaitingOpening cannot be in time."""
        return opening.start_by_ms <= self._clock.monotonic_ms()

    def pop(self, service):
        """Return the packet of a service that goes first, or None.

        Packets that can be in time go first, by priority and then by the
        time until which they can; of the others the newest follow, because
        the clients of the oldest give up first.
        """
        now_ms = self._clock.monotonic_ms()
        timely = self._timely.get(service, ())
        while timely:
            opening = heapq.heappop(timely)[-1]
            if self._waiting.get(opening.flow) is not opening:
                continue
            if opening.start_by_ms > now_ms:
                del self._waiting[opening.flow]
                return opening
            self._push(self._late, opening)
        late = self._late.get(service, ())
        while late:
            opening = heapq.heappop(late)[-1]
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

    def _push(self, heaps, opening):
        is_late = heaps is self._late
        by_ms = -opening.start_by_ms if is_late else opening.start_by_ms
        heap = heaps.setdefault(opening.service, [])
        heapq.heappush(
            heap, (opening.priority, by_ms, next(self._order), opening)
        )


def make_opening_queue(clock):
    """Return an empty queue.

    Args:
        clock: Clock.
    """
    return OpeningQueue(clock)
