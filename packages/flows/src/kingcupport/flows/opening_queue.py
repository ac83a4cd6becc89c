"""Queues opening packets at the balancer until a server has room.

At peak load, a flow that is sent to a busy server stays behind the requests
there, even behind one that takes seven times as long, while other servers
become idle. A flow that waits at the balancer goes to the first server that
has room. Each server may hold one flow more than it has slots: the handshake
of that flow takes a round trip to the client, during which the server would
otherwise be idle.
"""

import heapq
import itertools

import attrs

# Flows that a server may hold in addition to its slots. With 0, the servers
# are idle for a quarter of the time; with more than 1, flows queue behind long
# requests.
MAX_QUEUED_FLOWS_PER_SERVER = 1
# A balancer gets up to 120 new flows a second at peak load; the limit holds
# those of one second at the planned fleet size.
MAX_WAITING_OPENINGS = 128
# Share of the latency target that may pass before a flow is sent to a server;
# the handshake and the request take the rest. A flow that has waited longer
# misses its target and is placed after those that can still meet theirs.
LATEST_START_TARGET_SHARE = 0.5
# A late flow waits behind the others, because the new flow that its client
# opens after a refusal would look as if it could be in time. It waits until
# its client has been opening the flow for this share of the request's timeout,
# and for MAX_AGE_MS at the latest: clients give up after 1,400 ms.
MAX_AGE_TIMEOUT_SHARE = 0.7
MAX_AGE_MS = 1_200
# A flow of any age waits for at least this long, once. Clients retransmit the
# opening packet within that time; one that has not done so may have given up.
MIN_WAIT_MS = 200
# Defaults for routes that configure no latency target or timeout.
DEFAULT_TARGET_MS = 200
DEFAULT_TIMEOUT_MS = 1_000


@attrs.define
class WaitingOpening:
    """A waiting opening packet; times are on the monotonic clock.

    Args:
        flow: Bytes that identify the flow.
        service: Name of the service that it goes to.
        data: Bytes of the packet.
        priority: Priority of its route; 0 is placed first.
        queued_ms: Time at which it was queued.
        opened_ms: Latest time at which its client sent the first copy.
        latest_start_ms: Latest time at which it can be sent to a server and
            still meet its latency target.
        deadline_ms: Time at which it is refused.
    """

    flow: bytes
    service: str
    data: bytes
    priority: int
    queued_ms: float
    opened_ms: float
    latest_start_ms: float
    deadline_ms: float


def latest_start_ms(route, opened_ms):
    """Return the latest start with which a flow meets its latency target.

    Args:
        route: FlowRoute of the flow.
        opened_ms: When its client sent the first copy, on the monotonic clock.

    Returns:
        A time on the monotonic clock, in ms.
    """
    return opened_ms + LATEST_START_TARGET_SHARE * (
        route.target_ms or DEFAULT_TARGET_MS
    )


class OpeningQueue:
    """Waiting opening packets, by service.

    Args:
        clock: Clock.
    """

    def __init__(self, clock):
        self._clock = clock
        # Heaps by service: flows that can still meet their latency target,
        # and those that cannot. A heap may hold openings that have left the
        # queue; pop() skips them.
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

    def put(
        self, flow, service, data, route, opened_ms=None, deadline_ms=None
    ):
        """Add an opening packet to the queue.

        Args:
            flow: Bytes that identify the flow.
            service: Name of the service that it goes to.
            data: Bytes of the packet.
            route: FlowRoute of the flow.
            opened_ms: Latest time at which its client sent the first copy, on
                the monotonic clock; now by default.
            deadline_ms: When it stops waiting, on the monotonic clock, if it
                was in the queue before.

        Returns:
            Whether the queue had room for it.
        """
        if len(self._waiting) >= MAX_WAITING_OPENINGS:
            return False
        now_ms = self._clock.monotonic_ms()
        if opened_ms is None:
            opened_ms = now_ms
        if deadline_ms is None:
            deadline_ms = max(
                now_ms + MIN_WAIT_MS, opened_ms + _max_age_ms(route)
            )
        self.requeue(
            WaitingOpening(
                flow,
                service,
                data,
                route.priority,
                now_ms,
                opened_ms,
                latest_start_ms(route, opened_ms),
                deadline_ms,
            )
        )
        return True

    def requeue(self, opening):
        """Return a popped opening packet to its former place in the queue.

        Args:
            opening: WaitingOpening.
        """
        self._waiting[opening.flow] = opening
        self._push(self._timely, opening)

    def is_late(self, opening):
        """Whether a WaitingOpening can no longer meet its latency target."""
        return opening.latest_start_ms <= self._clock.monotonic_ms()

    def pop(self, service):
        """Remove and return the next opening packet of a service, or None.

        Flows that can still meet their latency target come first, ordered by
        priority and then by their latest start. The late ones follow, the
        newest first within a priority, because the clients of the oldest are
        the first to give up.
        """
        now_ms = self._clock.monotonic_ms()
        timely = self._timely.get(service, ())
        while timely:
            opening = heapq.heappop(timely)[-1]
            if self._waiting.get(opening.flow) is not opening:
                continue
            if opening.latest_start_ms > now_ms:
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

    def pop_expired(self):
        """Remove and return the openings past their deadline, oldest first."""
        now_ms = self._clock.monotonic_ms()
        due = [o for o in self._waiting.values() if o.deadline_ms <= now_ms]
        for opening in due:
            del self._waiting[opening.flow]
        return sorted(due, key=lambda opening: opening.queued_ms)

    def _push(self, heaps, opening):
        is_late = heaps is self._late
        order_ms = (
            -opening.latest_start_ms if is_late else opening.latest_start_ms
        )
        heap = heaps.setdefault(opening.service, [])
        heapq.heappush(
            heap, (opening.priority, order_ms, next(self._order), opening)
        )


def _max_age_ms(route):
    timeout_ms = route.timeout_ms or DEFAULT_TIMEOUT_MS
    return min(MAX_AGE_TIMEOUT_SHARE * timeout_ms, MAX_AGE_MS)


def make_opening_queue(clock):
    """Return an empty queue.

    Args:
        clock: Clock.
    """
    return OpeningQueue(clock)
