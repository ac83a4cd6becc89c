"""Load of the backend servers as reported to a balancer."""

import attrs

from kingcupport.wire import flow_datagrams

# A balancer greets each agent twice a second. An agent that has left more than
# two greetings unanswered counts as unreachable.
REPORT_EXPIRES_MS = 1_300
# An opening packet adds to the load of its server until a report includes it,
# which takes about 1 ms, but no longer than this.
UNCONFIRMED_TIMEOUT_MS = 60
# How long a server that left an opening packet unanswered is avoided.
AVOID_MS = 1_000
# With ``recovers_by_reports``: a server whose agent has reported since it left
# an opening packet unanswered is avoided no longer than this.
REPORTING_AVOID_MS = 250
# A pace report with a greater service time is impossible: requests end after
# 3 s.
MAX_SERVICE_TIME_MS = 100_000
# Former agent processes whose late reports are ignored.
MAX_FORMER_BOOTS = 4


@attrs.define
class ServerLoad:
    """The load of one server; times are on the monotonic clock.

    Args:
        boot: Random id of the agent process that reported it.
        sequence: Sequence number of the report within that process.
        running: Number of requests that the server has not answered yet.
        oldest_started_ms: Start time of the oldest of these requests.
        failing_percent: Share of the latest answers that were failures.
        is_leaving: Whether its agent is about to stop.
        is_silent: Whether the server has stopped answering its agent.
        is_exact: Whether the agent reports every change to this balancer.
        reported_ms: Time of the latest report; None before the first.
        avoid_until_ms: Time until which the server is a last resort.
        unconfirmed: Expiry times by flow of the opening packets that were
            sent to the server and are not included in a report yet.
        former_boots: Ids of the agent processes before ``boot``, latest last.
        paced_until_ms: Time until which the server gets no new flows, because
            it is cold and at its limit.
        avoided_ms: Start of the latest time of avoidance.
        last_opening_ms: Time of the latest opening packet.
        pace: Latest PaceReport of the agent process, or None.
        pace_reported_ms: Its time.
        pace_ratio: Service time relative to the median of the service; 1 if
            it is not known or nearly equal.
        is_service_uneven: Whether some server of the service has another
            pace ratio than 1.
        has_starting_peer: Whether some server of the service has a limit
            because it has just started or recovered.
        server_boot_utc_ms: Start time of the server that the pace is of.
        report_valid_ms: Least age at which a report of the load is too old to
            describe the work in progress.
        straggler_age_ms: Least age of a request that counts as a straggler.
    """

    boot: int = 0
    sequence: int = 0
    running: int = 0
    oldest_started_ms: float = 0.0
    failing_percent: int = 0
    is_leaving: bool = False
    is_silent: bool = False
    is_exact: bool = True
    reported_ms: float | None = None
    avoid_until_ms: float = 0.0
    unconfirmed: dict = attrs.field(factory=dict)
    former_boots: tuple = ()
    paced_until_ms: float = 0.0
    avoided_ms: float = 0.0
    last_opening_ms: float = 0.0
    pace: flow_datagrams.PaceReport | None = None
    pace_reported_ms: float = 0.0
    pace_ratio: float = 1.0
    is_service_uneven: bool = False
    has_starting_peer: bool = False
    server_boot_utc_ms: int | None = None
    report_valid_ms: float = 0.0
    straggler_age_ms: float = 0.0

    def discard_pace(self):
        """Discard the pace, because the server or its agent is a new one."""
        self.pace = None
        self.pace_ratio = 1.0
        self.report_valid_ms = 0.0
        self.straggler_age_ms = 0.0


class ServerLoads:
    """ServerLoad by the IP address of the server's instance.

    Args:
        clock: Clock.

    Attributes:
        report_expires_ms: Age at which a load report expires.
        recovers_by_reports: Whether reports shorten the time for which a
            server is avoided.
    """

    def __init__(self, clock):
        self._clock = clock
        self._loads = {}
        self.report_expires_ms = REPORT_EXPIRES_MS
        self.recovers_by_reports = False

    def get(self, ip):
        """Return the ServerLoad of an instance, which is created if new."""
        load = self._loads.get(ip)
        if load is None:
            load = self._loads[ip] = ServerLoad()
        return load

    def on_report(self, ip, report):
        """Store a load report unless it is outdated.

        Args:
            ip: Address that it came from.
            report: wire.flow_datagrams.LoadReport.

        Returns:
            Whether the report was newer than the stored one.
        """
        load = self.get(ip)
        # Boot ids are random and have no order: a boot time could jump back
        # with the system clock.
        if report.boot == load.boot and report.sequence <= load.sequence:
            return False
        if report.boot in load.former_boots:
            return False
        now_ms = self._clock.monotonic_ms()
        if report.boot != load.boot or (
            load.is_silent and not report.is_silent
        ):
            load.avoid_until_ms = 0.0
        elif self.recovers_by_reports:
            load.avoid_until_ms = min(
                load.avoid_until_ms, load.avoided_ms + REPORTING_AVOID_MS
            )
        if report.boot != load.boot:
            load.discard_pace()
            load.former_boots = (*load.former_boots, load.boot)[
                -MAX_FORMER_BOOTS:
            ]
        load.boot = report.boot
        load.sequence = report.sequence
        load.running = report.running
        load.oldest_started_ms = now_ms - report.oldest_age_ms
        load.failing_percent = report.failing_percent
        load.is_leaving = report.is_leaving
        load.is_silent = report.is_silent
        load.is_exact = report.is_exact
        load.reported_ms = now_ms
        return True

    def on_pace_report(self, ip, report):
        """Store a pace report unless it is outdated or impossible.

        Args:
            ip: Address that it came from.
            report: wire.flow_datagrams.PaceReport.

        Returns:
            Whether the report was stored.
        """
        load = self.get(ip)
        if (
            report.boot != load.boot
            or load.reported_ms is None
            or (load.pace and report.sequence <= load.pace.sequence)
            or not 0 <= report.service_time_ms < MAX_SERVICE_TIME_MS
        ):
            return False
        load.pace = report
        load.pace_reported_ms = self._clock.monotonic_ms()
        return True

    def on_opening_sent(self, ip, flow):
        """Count a sent opening packet towards the load of its server."""
        load = self.get(ip)
        load.last_opening_ms = self._clock.monotonic_ms()
        load.unconfirmed[flow] = load.last_opening_ms + UNCONFIRMED_TIMEOUT_MS

    def on_opening_resolved(self, ip, flow):
        """Stop counting an opening packet that was accepted or declined.

        The load reports of the agent include it once it was accepted.
        """
        self.get(ip).unconfirmed.pop(flow, None)

    def on_busy(self, ip, slots):
        """Record that a server declined an opening packet as busy.

        Args:
            ip: Address of its instance.
            slots: Least number of requests that it must have.
        """
        load = self.get(ip)
        if load.pace is not None and load.pace.openings_allowed == 0:
            # The server gets single attempts and may have no request.
            return
        load.running = max(load.running, slots)
        load.reported_ms = self._clock.monotonic_ms()

    def on_paced(self, ip, pause_ms):
        """Record that a cold server is at its limit.

        Args:
            ip: Address of its instance.
            pause_ms: Time for which it gets no new flows.
        """
        self.get(ip).paced_until_ms = self._clock.monotonic_ms() + pause_ms

    def paced_ms(self, ip):
        """Return for how long a server still gets no new flows, or 0."""
        load = self._loads.get(ip)
        if load is None or not load.paced_until_ms:
            return 0.0
        return max(0.0, load.paced_until_ms - self._clock.monotonic_ms())

    def avoid(self, ip, avoid_ms=AVOID_MS):
        """Use a server only as a last resort for ``avoid_ms``."""
        load = self.get(ip)
        load.avoided_ms = self._clock.monotonic_ms()
        load.avoid_until_ms = load.avoided_ms + avoid_ms

    def running(self, ip):
        """Return the number of requests at a server or on their way to it."""
        return self.running_of(self.get(ip))

    def running_of(self, load):
        """Return ``running`` of a ServerLoad."""
        if not load.unconfirmed:
            return load.running
        now_ms = self._clock.monotonic_ms()
        expired = [
            f for f, due_ms in load.unconfirmed.items() if due_ms < now_ms
        ]
        for flow in expired:
            del load.unconfirmed[flow]
        return load.running + len(load.unconfirmed)

    def is_reachable(self, ip):
        """Whether the latest load report of the server has not expired."""
        reported_ms = self.get(ip).reported_ms
        if reported_ms is None:
            return False
        return (
            self._clock.monotonic_ms() - reported_ms < self.report_expires_ms
        )

    def is_usable(self, ip):
        """Whether new flows may be placed on the server."""
        load = self.get(ip)
        if load.reported_ms is None or load.is_leaving or load.is_silent:
            return False
        now_ms = self._clock.monotonic_ms()
        return (
            now_ms - load.reported_ms < self.report_expires_ms
            and now_ms >= load.avoid_until_ms
        )

    def other_pace_count(self):
        """Return how many servers are faster or slower than the median."""
        return sum(load.pace_ratio != 1.0 for load in self._loads.values())

    def starting_count(self):
        """Return how many servers have a limit on their requests."""
        return sum(
            load.pace is not None and load.pace.openings_allowed >= 0
            for load in self._loads.values()
        )

    def retain(self, ips):
        """Drop the loads of all instances that are not listed.

        Args:
            ips: Set of the addresses to retain.
        """
        for ip in [ip for ip in self._loads if ip not in ips]:
            del self._loads[ip]


def make_server_loads(clock):
    """Return an empty ServerLoads.

    Args:
        clock: Clock.
    """
    return ServerLoads(clock)
