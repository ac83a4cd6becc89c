"""Chooses the backend server of a new flow.

Answers the load of crests and stragglers: servers work on one or two requests
at a time, and a short request behind a long one misses its target while other
servers are idle.
"""

import xxhash

from kingcupport.flows import opening_queue

# The penalties order servers whose queues differ; each is in requests that
# wait in front of the new one.
# A cold server takes 1.6 times as long for some seconds.
COLD_PENALTY = 0.3
# Traffic between data centres costs money and 0.3 ms.
OTHER_DATA_CENTRE_PENALTY = 0.05
# A server that fails every request is worse than a full queue of 10.
FAILING_PENALTY_PER_PERCENT = 0.2
# What a report says of a server's work is out of date after this time: a
# request takes 13 to 33 ms.
REPORT_HOLDS_MS = 60
# Stands between a free and a busy server where no report holds. A server that
# turns out to be busy costs 1 ms.
UNKNOWN_COST = 0.4
# A request that has been running for longer is a straggler: the work of a
# request is spread around its mean by half, and 3 percent take 7 times as
# long.
STRAGGLER_AGE_MS = 45
STRAGGLER_PENALTY = 1.5


class FlowPlacement:
    """Chooses among the servers of a service.

    Args:
        clock: Clock.
        loads: ServerLoads.
        data_centre: Data centre of the balancer.
    """

    def __init__(self, clock, loads, data_centre):
        self._clock = clock
        self._loads = loads
        self._data_centre = data_centre

    def choose(self, flow, servers, tried=()):
        """Return the server that is expected to answer a new flow first.

        Args:
            flow: The flow; it breaks ties, so that balancers which see the
                same loads do not all choose the same server.
            servers: FlowServer objects of the service.
            tried: Names of the servers that have declined the flow.

        Returns:
            A FlowServer, or None when none can take the flow.
        """
        candidates = [
            server
            for server in servers
            if not server.is_draining and server.name not in tried
        ]
        usable = [s for s in candidates if self._loads.is_usable(s.ip)]
        # Agents that have not reported yet may have just started, or this
        # balancer has.
        pool = usable or [
            s for s in candidates if not self._loads.get(s.ip).is_leaving
        ]
        if not pool:
            return None
        return min(pool, key=lambda server: self._rank(flow, server))

    def slot_limit(self, server, is_late=False):
        """Return how many requests a server may have when a flow arrives.

        Args:
            server: FlowServer that was chosen.
            is_late: Whether the flow cannot be in time any more. It then
                leaves the place ahead of the slots to flows that can,
                whichever balancer they come from.

        Returns:
            A number of requests, or None when the flow is better off waiting
            until some server has room.
        """
        running = self._loads.running(server.ip)
        if running < server.slots:
            return server.slots
        load = self._loads.get(server.ip)
        if not load.is_exact or not self._loads.is_usable(server.ip):
            # No report tells when the server has room.
            return 0
        if is_late:
            return None
        limit = server.slots + opening_queue.FLOWS_AHEAD
        if running < limit and not self._has_straggler(load):
            return limit
        return None

    def limit_after_wait(self, opening, server):
        """Return how a flow goes on that has waited as long as it may.

        Args:
            opening: WaitingOpening.
            server: FlowServer that was chosen.

        Returns:
            The slot limit to send it with, 0 for the queue of the server, or
            None to refuse it. In the queue of a busy server a flow that is
            late already would only make those behind it late as well; its
            client may try again at once.
        """
        if opening.start_by_ms > self._clock.monotonic_ms():
            return 0
        return self.slot_limit(server, is_late=True)

    def _has_straggler(self, load):
        age_ms = self._clock.monotonic_ms() - load.oldest_since_ms
        return load.running > 0 and age_ms > STRAGGLER_AGE_MS

    def _rank(self, flow, server):
        draw = xxhash.xxh3_64_intdigest(server.name.encode() + flow)
        return (self.cost(server), draw)

    def cost(self, server):
        """Return the expected wait at a server, in requests."""
        load = self._loads.get(server.ip)
        cost = self._queue_cost(server, load)
        if server.is_cold:
            cost += COLD_PENALTY
        if server.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_PENALTY
        return cost + load.failing_percent * FAILING_PENALTY_PER_PERCENT

    def _queue_cost(self, server, load):
        now_ms = self._clock.monotonic_ms()
        if not load.is_exact and not load.unconfirmed:
            age_ms = now_ms - (load.reported_ms or 0)
            if age_ms > REPORT_HOLDS_MS:
                return UNKNOWN_COST
        excess = self._loads.running(server.ip) - server.slots + 1
        if excess <= 0:
            return 0
        penalty = STRAGGLER_PENALTY if self._has_straggler(load) else 0
        return (excess + penalty) / server.slots


def make_flow_placement(clock, loads, data_centre):
    """Return the placement of one balancer.

    Args:
        clock: Clock.
        loads: ServerLoads.
        data_centre: Data centre of the balancer.
    """
    return FlowPlacement(clock, loads, data_centre)
