"""Compares the service times of the servers of a service."""

import statistics

from kingcupport.flows import service_time
from kingcupport.flows import slow_start

# Each agent reports 1 to 2 times a second, so the values are compared only
# this often; a comparison of 300 servers takes less than a millisecond.
COMPARISON_INTERVAL_MS = 250
# With fewer known service times, their median does not describe the service.
MIN_KNOWN_SERVERS = 3
MIN_KNOWN_SHARE = 0.5
# A server whose service time differs from the median by less than this share
# of it counts as equal. The medians of servers of equal speed differ by up to
# a third because each is taken from 32 answers.
MIN_DIFFERENCE_SHARE = 0.5
# A report counts fully for this long and loses its weight over the same time.
REPORT_VALID_MS = 10_000
# Where servers differ in speed, these multiples of the service time replace
# the placement's age of a valid load report and of a straggler if they are
# greater. They are the ratios of its constants to the service time of 15 ms
# that those were chosen for.
REPORT_VALID_SERVICE_TIMES = 4
STRAGGLER_AGE_SERVICE_TIMES = 3
# Bounds of the ratio to the median. A server beyond them is still used when
# no other has room.
MIN_RATIO = 0.1
MAX_RATIO = 10.0


class ServerPace:
    """Sets the pace of each ServerLoad from the reports of the agents.

    Args:
        clock: Clock.
        loads: ServerLoads.
    """

    def __init__(self, clock, loads):
        self._clock = clock
        self._loads = loads
        self._due_ms = {}

    def update(self, servers):
        """Compare the servers of a service if the last time is long ago.

        Args:
            servers: FlowServer objects of the service.
        """
        if not servers:
            return
        now_ms = self._clock.monotonic_ms()
        service = servers[0].service
        if now_ms < self._due_ms.get(service, 0.0):
            return
        self._due_ms[service] = now_ms + COMPARISON_INTERVAL_MS
        self._compare(servers, now_ms)

    def _compare(self, servers, now_ms):
        loads = [self._loads.get(server.ip) for server in servers]
        for server, load in zip(servers, loads, strict=True):
            if load.server_boot_utc_ms not in (None, server.boot_utc_ms):
                load.discard_pace()
            load.server_boot_utc_ms = server.boot_utc_ms
        known = [
            load
            for load in loads
            if load.pace is not None
            and load.pace.samples >= service_time.MIN_SAMPLES
        ]
        ratios = {}
        if len(known) >= max(
            MIN_KNOWN_SERVERS, MIN_KNOWN_SHARE * len(servers)
        ):
            median_ms = statistics.median_low(
                load.pace.service_time_ms for load in known
            )
            ratios = {
                id(load): _ratio(load, median_ms, now_ms) for load in known
            }
        is_uneven = any(ratio != 1.0 for ratio in ratios.values())
        has_starting = any(
            load.pace is not None
            and load.pace.openings_allowed != slow_start.NO_LIMIT
            for load in loads
        )
        for load in loads:
            load.is_service_uneven = is_uneven
            load.has_starting_peer = has_starting
            load.pace_ratio = ratios.get(id(load), 1.0)
            time_ms = (
                load.pace.service_time_ms
                if is_uneven and id(load) in ratios
                else 0.0
            )
            load.report_valid_ms = REPORT_VALID_SERVICE_TIMES * time_ms
            load.straggler_age_ms = STRAGGLER_AGE_SERVICE_TIMES * time_ms


def _ratio(load, median_ms, now_ms):
    ratio = load.pace.service_time_ms / max(median_ms, 0.1)
    age_ms = now_ms - load.pace_reported_ms
    weight = min(1.0, max(0.0, 2.0 - age_ms / REPORT_VALID_MS))
    ratio = 1.0 + (min(MAX_RATIO, max(MIN_RATIO, ratio)) - 1.0) * weight
    return 1.0 if abs(ratio - 1.0) < MIN_DIFFERENCE_SHARE else ratio


def openings_allowed(load):
    """Return how many requests a ServerLoad may have, or NO_LIMIT.

    The agent does not know the other servers. While it raises the limit of a
    server that has just started, the balancer halves it for a slow server.
    """
    if load.pace is None:
        return slow_start.NO_LIMIT
    allowed = load.pace.openings_allowed
    if allowed > 1 and load.pace_ratio > slow_start.SLOW_FACTOR:
        return allowed // 2
    return allowed


def make_server_pace(clock, loads):
    """Return the comparison of one balancer.

    Args:
        clock: Clock.
        loads: ServerLoads.
    """
    return ServerPace(clock, loads)
