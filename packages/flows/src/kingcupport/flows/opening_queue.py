"""Queues opening packets at the balancer until a server has room.

At peak load, a flow that is sent to a busy server stays behind the requests
there, even behind one that takes seven times as long, while other servers
become idle. A flow that waits at the balancer goes to the first server that
has room. Each server may hold one flow more than it has slots: the handshake
of that flow takes a round trip to the client, during which the server would
otherwise be idle.
"""

import collections
import heapq
import itertools

import attrs

from kingcupport.flows import admission

# Flows that a server may hold in addition to its slots. With 0, the servers
# are idle for a quarter of the time; with more than 1, flows queue behind long
# requests.
MAX_QUEUED_FLOWS_PER_SERVER = 1
# Share of the latency target that may pass before a flow is sent to a server;
# the handshake and the request take the rest. A flow that has waited longer
# misses its target and is placed after those that can still meet theirs.
LATEST_START_TARGET_SHARE = 0.5
# A late flow waits behind the others, because the new flow that its client
# opens after a refusal would look as if it could be in time. It waits until
# its client has been opening the flow for this share of the request's timeout,
# and for MAX_AGE_MS at the latest: clients give up after 1,400 ms. Both 0.5
# and 0.9 serve fewer callers of short flows beyond capacity.
MAX_AGE_TIMEOUT_SHARE = 0.7
MAX_AGE_MS = admission.MAX_WAIT_MS
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
        timeout_ms: Time after which its client gives up the request.
    """

    flow: bytes
    service: str
    data: bytes
    priority: int
    queued_ms: float
    opened_ms: float
    latest_start_ms: float
    deadline_ms: float
    timeout_ms: float = DEFAULT_TIMEOUT_MS


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
        policy: AdmissionPolicy.
    """

    def __init__(self, clock, policy):
        self._clock = clock
        self._policy = policy
        # Heaps by service and priority: flows that can still meet their
        # latency target, and those that cannot. A heap may hold openings that
        # have left the queue; pop() skips them.
        self._timely = {}
        self._late = {}
        self._waiting = {}
        self._counts = collections.defaultdict(collections.Counter)
        self._refused = []
        self._order = itertools.count()

    def __len__(self):
        """Return the number of waiting packets."""
        return len(self._waiting)

    def __contains__(self, flow):
        """Whether the opening packet of a flow is waiting."""
        return flow in self._waiting

    def make_opening(
        self, flow, service, data, route, opened_ms=None, deadline_ms=None
    ):
        """Return an opening packet that may be put into the queue.

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
            A WaitingOpening.
        """
        now_ms = self._clock.monotonic_ms()
        if opened_ms is None:
            opened_ms = now_ms
        if deadline_ms is None:
            deadline_ms = max(
                now_ms + MIN_WAIT_MS, opened_ms + _max_age_ms(route)
            )
        return WaitingOpening(
            flow,
            service,
            data,
            route.priority,
            now_ms,
            opened_ms,
            latest_start_ms(route, opened_ms),
            deadline_ms,
            route.timeout_ms or DEFAULT_TIMEOUT_MS,
        )

    def put(self, opening, *, is_admitted=False):
        """Add an opening packet to the queue unless the policy refuses it.

        Args:
            opening: WaitingOpening.
            is_admitted: Whether it has waited before and returns because a
                server declined it.

        Returns:
            Whether it waits now. Otherwise, or if another opening had to leave
            for it, ``pop_refused`` returns the opening that is refused.
        """
        refused = self._policy.choose_refused(self, opening, is_admitted)
        if refused is not None:
            self._refused.append(refused)
            if refused[0] is opening:
                return False
            self._remove(refused[0])
        self._policy.on_queued(opening.service, self.counts(opening.service))
        self.requeue(opening)
        return True

    def pop_refused(self):
        """Return and forget the refused ``(WaitingOpening, Refusal)``."""
        refused, self._refused = self._refused, []
        return refused

    def openings(self, service):
        """Return the waiting openings of a service."""
        return [o for o in self._waiting.values() if o.service == service]

    def counts(self, service):
        """Return the numbers of waiting openings of a service by priority."""
        return +self._counts[service]

    def placing_order(self, opening):
        """Return a key that sorts openings of a service as pop() does."""
        if self.is_late(opening):
            return (True, opening.priority, -opening.latest_start_ms)
        return (False, opening.priority, opening.latest_start_ms)

    def place_of(self, opening):
        """Return how many waiting openings are placed before another one."""
        key = self.placing_order(opening)
        return sum(
            self.placing_order(other) <= key
            for other in self.openings(opening.service)
        )

    def requeue(self, opening):
        """Return a popped opening packet to its former place in the queue.

        Args:
            opening: WaitingOpening.
        """
        self._waiting[opening.flow] = opening
        self._counts[opening.service][opening.priority] += 1
        self._push(self._timely, opening)

    def is_late(self, opening):
        """Whether a WaitingOpening can no longer meet its latency target."""
        return opening.latest_start_ms <= self._clock.monotonic_ms()

    def pop(self, service):
        """Remove and return the next opening packet of a service, or None.

        Flows that can still meet their latency target come first, ordered by
        priority and then by their latest start. The late ones follow, the
        newest first within a priority, because the clients of the oldest are
        the first to give up. The policy may give a turn to one priority.
        """
        counts = self._counts.get(service, {})
        priorities = sorted(p for p, count in counts.items() if count)
        turn = self._policy.turn(service)
        if turn in priorities:
            opening = self._pop_timely(service, turn) or self._pop_late(
                service, turn
            )
        else:
            opening = next(
                filter(
                    None,
                    itertools.chain(
                        (self._pop_timely(service, p) for p in priorities),
                        (self._pop_late(service, p) for p in priorities),
                    ),
                ),
                None,
            )
        if opening is not None:
            self._remove(opening)
        return opening

    def _pop_timely(self, service, priority):
        now_ms = self._clock.monotonic_ms()
        timely = self._timely.get((service, priority), ())
        while timely:
            opening = heapq.heappop(timely)[-1]
            if self._waiting.get(opening.flow) is not opening:
                continue
            if opening.latest_start_ms > now_ms:
                return opening
            self._push(self._late, opening)
        return None

    def _pop_late(self, service, priority):
        late = self._late.get((service, priority), ())
        while late:
            opening = heapq.heappop(late)[-1]
            if self._waiting.get(opening.flow) is opening:
                return opening
        return None

    def pop_expired(self):
        """Remove and return the openings past their deadline, oldest first."""
        now_ms = self._clock.monotonic_ms()
        due = [o for o in self._waiting.values() if o.deadline_ms <= now_ms]
        for opening in due:
            self._remove(opening)
        return sorted(due, key=lambda opening: opening.queued_ms)

    def _remove(self, opening):
        del self._waiting[opening.flow]
        self._counts[opening.service][opening.priority] -= 1

    def _push(self, heaps, opening):
        is_late = heaps is self._late
        order_ms = (
            -opening.latest_start_ms if is_late else opening.latest_start_ms
        )
        heap = heaps.setdefault((opening.service, opening.priority), [])
        heapq.heappush(heap, (order_ms, next(self._order), opening))


def _max_age_ms(route):
    timeout_ms = route.timeout_ms or DEFAULT_TIMEOUT_MS
    return min(MAX_AGE_TIMEOUT_SHARE * timeout_ms, MAX_AGE_MS)


def make_opening_queue(clock, policy=None):
    """Return an empty queue.

    Args:
        clock: Clock.
        policy: AdmissionPolicy; FixedAdmission by default.
    """
    return OpeningQueue(clock, policy or admission.FixedAdmission())
