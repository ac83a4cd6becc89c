"""Chooses the backend server of a new flow.

A server processes only one or two requests at a time. At peak load, a short
request that is queued behind a long one misses its latency target while other
servers are idle, so placement minimizes the expected queueing delay.
"""

import xxhash

from kingcupport.flows import evacuations as evacuations_module
from kingcupport.flows import opening_queue
from kingcupport.flows import server_pace
from kingcupport.flows import slow_start

# Penalties are expressed as the equivalent number of requests queued ahead of
# the new one.
# A server that has just started takes 1.6 times as long for some seconds.
COLD_START_PENALTY_REQUESTS = 0.3
# Traffic between data centres is billed and adds 0.3 ms.
OTHER_DATA_CENTRE_PENALTY_REQUESTS = 0.05
# A server that fails every request ranks behind a queue of 10 requests.
FAILURE_PENALTY_REQUESTS_PER_PERCENT = 0.2
# Requests take 13 to 33 ms, so an older load report no longer describes the
# work in progress.
REPORT_VALID_MS = 60
# A server without a valid report ranks between an idle and a busy one. If it
# turns out to be busy, declining the packet costs 1 ms.
UNKNOWN_LOAD_COST_REQUESTS = 0.4
# A request that has been running for longer is a straggler. The standard
# deviation of the service time is half its mean, and 3 percent of the requests
# take 7 times as long.
STRAGGLER_AGE_MS = 45
STRAGGLER_PENALTY_REQUESTS = 1.5
MAX_QUEUED_FLOWS_PER_SERVER = opening_queue.MAX_QUEUED_FLOWS_PER_SERVER


class FlowPlacement:
    """Chooses a server of a service for each new flow.

    Args:
        clock: Clock.
        loads: ServerLoads.
        data_centre: Name of the data centre of the balancer.
        evacuations: Evacuations.
        pace: ServerPace, or None to ignore the service times.
    """

    def __init__(self, clock, loads, data_centre, evacuations, pace=None):
        self._pace = pace
        self._clock = clock
        self._loads = loads
        self._data_centre = data_centre
        self._evacuations = evacuations

    def choose(self, flow, servers, tried=(), *, is_late=False):
        """Return the server with the lowest expected wait for a new flow.

        Args:
            flow: Bytes that identify the flow. Ties are broken by a hash of
                them, so that balancers which see the same loads spread their
                flows over equally loaded servers.
            servers: FlowServer objects of the service.
            tried: Names of the servers that have declined the flow.
            is_late: Whether the flow can no longer meet its latency target.

        Returns:
            A FlowServer, or None if no server can accept the flow.
        """
        if self._pace is not None:
            self._pace.update(servers)
        candidates = [
            server
            for server in servers
            if not server.is_draining
            and server.name not in tried
            and not self.is_evacuated(server)
            and not self._loads.paced_ms(server.ip)
        ]
        usable = [s for s in candidates if self._loads.is_usable(s.ip)]
        # Without a usable server, fall back to all that are not leaving: an
        # agent that has not reported, or this balancer, may have just started.
        eligible = usable or [
            s for s in candidates if not self._loads.get(s.ip).is_leaving
        ]
        if not eligible:
            return None
        if self._pace is None:
            ranks = map(self.cost, eligible)
        else:
            ranks = (self._paced_rank(s, is_late) for s in eligible)
        return _choose_lowest(flow, eligible, list(ranks))

    def paced_ms(self, servers):
        """Return when a cold server that is at its limit has room again.

        Args:
            servers: FlowServer objects of the service.

        Returns:
            Time until then, or None if no server that takes new flows is at
            its limit.
        """
        pauses_ms = [
            self._loads.paced_ms(server.ip)
            for server in servers
            if not server.is_draining
            and not self.is_evacuated(server)
            and not self._loads.get(server.ip).is_leaving
        ]
        return min(filter(None, pauses_ms), default=None)

    def is_evacuated(self, server):
        """Whether the data centre of a server is evacuated.

        Args:
            server: FlowServer.
        """
        return server.data_centre in self._evacuations.active

    def slot_limit(self, server, is_late=False):
        """Return the load up to which a server may accept a new flow.

        The agent declines the flow as busy if its server already has that many
        requests.

        Args:
            server: FlowServer that was chosen.
            is_late: Whether the flow can no longer meet its latency target. A
                late flow is not queued beyond the slots, which leaves that
                place to flows of any balancer that can still be in time.

        Returns:
            A number of requests, 0 for no limit, or None if the flow should
            wait at the balancer until a server has room.
        """
        running = self._loads.running(server.ip)
        load = self._loads.get(server.ip)
        if (
            load.is_exact
            and self._is_limit_reached(load, running)
            and self._loads.is_usable(server.ip)
        ):
            return None
        if running < server.slots:
            return server.slots
        if not self._loads.is_usable(server.ip):
            # No report will announce that the server has room.
            return 0
        if not load.is_exact:
            # The server may have room again by now; if not, its agent declines
            # the flow within 2 ms.
            return server.slots
        if is_late:
            return None
        limit = server.slots + MAX_QUEUED_FLOWS_PER_SERVER
        if running < limit and not self._has_straggler(load):
            return limit
        return None

    def slot_limit_after_wait(self, opening, server):
        """Return the slot limit of a flow whose maximum wait has passed.

        A flow that is already late is refused rather than queued at a busy
        server, where it would delay the flows behind it; its client may retry
        at once.

        Args:
            opening: WaitingOpening.
            server: FlowServer that was chosen.

        Returns:
            The slot limit to send it with, 0 to queue it at the server in any
            case, or None to refuse it.
        """
        if opening.latest_start_ms > self._clock.monotonic_ms():
            return 0
        return self.slot_limit(server, is_late=True)

    def _has_straggler(self, load):
        age_ms = self._clock.monotonic_ms() - load.oldest_started_ms
        return (
            load.running > 0
            and age_ms > STRAGGLER_AGE_MS
            and age_ms > load.straggler_age_ms
        )

    def is_start_limited(self, server):
        """Whether a server has all that it may take after a start.

        Args:
            server: FlowServer.
        """
        load = self._loads.get(server.ip)
        return self._is_limit_reached(load, self._loads.running_of(load))

    def _is_limit_reached(self, load, running):
        if load.pace is None:
            return False
        allowed = server_pace.openings_allowed(load)
        if allowed > 0 or allowed == slow_start.NO_LIMIT:
            return 0 < allowed <= running
        age_ms = self._clock.monotonic_ms() - load.last_opening_ms
        return running > 0 or age_ms < slow_start.ATTEMPT_INTERVAL_MS

    def _paced_rank(self, server, is_late):
        """Return ``(stage, cost)`` of a server.

        A server with room comes before one that only gets single attempts, and
        that before a full one, so that none is idle while flows wait.
        """
        load = self._loads.get(server.ip)
        running = self._loads.running_of(load)
        cost = self._cost(server, load, running)
        is_starting = (
            load.pace is not None
            and load.pace.openings_allowed != slow_start.NO_LIMIT
        )
        if not (
            is_starting or load.is_service_uneven or load.has_starting_peer
        ):
            return (0, cost)
        if is_starting and self._is_limit_reached(load, running):
            return (2, cost)
        if running < server.slots:
            return (int(is_starting and not load.pace.openings_allowed), cost)
        if not load.is_exact:
            # It may have room again, but a late flow, which does not queue,
            # first tries the servers that are known to have room.
            return (int(is_late), cost)
        has_room = (
            not is_late
            and running < server.slots + MAX_QUEUED_FLOWS_PER_SERVER
            and not self._has_straggler(load)
        )
        return (0 if has_room else 2, cost)

    def cost(self, server):
        """Return the expected wait at a server, in queued requests."""
        load = self._loads.get(server.ip)
        return self._cost(server, load, self._loads.running_of(load))

    def _cost(self, server, load, running):
        cost = self._queue_cost(server, load, running)
        if load.pace_ratio != 1.0:
            cost += (cost + 1) * (load.pace_ratio - 1)
        elif server.is_cold:
            cost += COLD_START_PENALTY_REQUESTS
        if server.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_PENALTY_REQUESTS
        return (
            cost + load.failing_percent * FAILURE_PENALTY_REQUESTS_PER_PERCENT
        )

    def _queue_cost(self, server, load, running):
        if not load.is_exact and not load.unconfirmed:
            age_ms = self._clock.monotonic_ms() - (load.reported_ms or 0)
            if age_ms > max(REPORT_VALID_MS, load.report_valid_ms):
                return UNKNOWN_LOAD_COST_REQUESTS
        excess = running - server.slots + 1
        if excess <= 0:
            return 0
        if load.is_service_uneven:
            # Counting only the excess would fill the queues of all fast
            # servers before an idle server of half their speed gets a flow.
            excess = running
        penalty = (
            STRAGGLER_PENALTY_REQUESTS if self._has_straggler(load) else 0
        )
        return (excess + penalty) / server.slots


def _choose_lowest(flow, servers, ranks):
    """Return the server with the lowest rank; hashes break ties."""
    lowest = min(ranks)
    return min(
        (s for s, rank in zip(servers, ranks, strict=True) if rank == lowest),
        key=lambda s: xxhash.xxh3_64_intdigest(s.name.encode() + flow),
    )


def make_flow_placement(
    clock, loads, data_centre, evacuations=None, *, uses_pace=False
):
    """Return the placement of one balancer.

    Args:
        clock: Clock.
        loads: ServerLoads.
        data_centre: Name of the data centre of the balancer.
        evacuations: Evacuations; no data centre is evacuated without them.
        uses_pace: Whether service times are taken into account.
    """
    if evacuations is None:
        evacuations = evacuations_module.make_evacuations()
    pace = server_pace.make_server_pace(clock, loads) if uses_pace else None
    return FlowPlacement(clock, loads, data_centre, evacuations, pace)
