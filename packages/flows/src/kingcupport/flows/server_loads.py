"""What a balancer knows of the work in progress of the servers."""

import attrs

# An agent answers each greeting, two a second; after more than two unanswered
# ones it is taken as unreachable.
REPORT_EXPIRES_MS = 1_300
# An opening packet that the agent has not reported after this time is counted
# no longer. A report takes about 1 ms.
UNCONFIRMED_MS = 60
# How long a server is avoided after it did not answer an opening packet.
AVOID_MS = 1_000


@attrs.define
class ServerLoad:
    """The load of one server.

    Args:
        boot: Number of the agent process that reported it.
        sequence: Number of the report.
        running: Requests that the server has not answered yet.
        oldest_since_ms: Since when the oldest of them has been running.
        failing_percent: Share of the latest answers that were failures.
        is_leaving: Whether its agent is about to stop.
        is_silent: Whether the server has stopped answering its agent.
        is_exact: Whether every change is reported to this balancer.
        reported_ms: When the report came; None before the first.
        avoid_until_ms: Until when the server is a last resort.
        unconfirmed: Deadlines of the opening packets that no report counts.
    """

    boot: int = 0
    sequence: int = 0
    running: int = 0
    oldest_since_ms: float = 0.0
    failing_percent: int = 0
    is_leaving: bool = False
    is_silent: bool = False
    is_exact: bool = True
    reported_ms: float | None = None
    avoid_until_ms: float = 0.0
    unconfirmed: dict = attrs.field(factory=dict)


class ServerLoads:
    """Loads by the address of the server's instance.

    Args:
        clock: Clock.
    """

    def __init__(self, clock):
        self._clock = clock
        self._loads = {}
        self.report_expires_ms = REPORT_EXPIRES_MS

    def get(self, ip):
        """Return the ServerLoad of the server on an instance."""
        load = self._loads.get(ip)
        if load is None:
            load = self._loads[ip] = ServerLoad()
        return load

    def on_report(self, ip, report):
        """Note a report.

        Args:
            ip: Address that it came from.
            report: wire.flow_datagrams.LoadReport.

        Returns:
            Whether it is newer than what was known.
        """
        load = self.get(ip)
        # Boots are random numbers: times of day may jump back.
        if report.boot == load.boot and report.sequence <= load.sequence:
            return False
        now_ms = self._clock.monotonic_ms()
        if report.boot != load.boot or (
            load.is_silent and not report.is_silent
        ):
            load.avoid_until_ms = 0.0
        load.boot = report.boot
        load.sequence = report.sequence
        load.running = report.running
        load.oldest_since_ms = now_ms - report.oldest_age_ms
        load.failing_percent = report.failing_percent
        load.is_leaving = report.is_leaving
        load.is_silent = report.is_silent
        load.is_exact = report.is_exact
        load.reported_ms = now_ms
        return True

    def on_placed(self, ip, flow):
        """Count an opening packet that was sent to a server."""
        deadline_ms = self._clock.monotonic_ms() + UNCONFIRMED_MS
        self.get(ip).unconfirmed[flow] = deadline_ms

    def on_settled(self, ip, flow):
        """Stop counting an opening packet: reports do, or it came back."""
        self.get(ip).unconfirmed.pop(flow, None)

    def on_busy(self, ip, slots):
        """Note that a server gave an opening packet back as busy.

        Args:
            ip: Address of its instance.
            slots: Requests that it works on at the same time.
        """
        load = self.get(ip)
        load.running = max(load.running, slots)
        load.reported_ms = self._clock.monotonic_ms()

    def avoid(self, ip, avoid_ms=AVOID_MS):
        """Use a server as the last resort only for some time."""
        load = self.get(ip)
        load.avoid_until_ms = self._clock.monotonic_ms() + avoid_ms

    def running(self, ip):
        """Return the requests at a server, with those on their way."""
        load = self.get(ip)
        if not load.unconfirmed:
            return load.running
        now_ms = self._clock.monotonic_ms()
        late = [f for f, due_ms in load.unconfirmed.items() if due_ms < now_ms]
        for flow in late:
            del load.unconfirmed[flow]
        return load.running + len(load.unconfirmed)

    def is_reachable(self, ip):
        """Whether the server's agent has reported lately."""
        reported_ms = self.get(ip).reported_ms
        if reported_ms is None:
            return False
        return (
            self._clock.monotonic_ms() - reported_ms < self.report_expires_ms
        )

    def is_usable(self, ip):
        """Whether new flows may go to the server at all."""
        load = self.get(ip)
        return (
            self.is_reachable(ip)
            and not load.is_leaving
            and not load.is_silent
            and self._clock.monotonic_ms() >= load.avoid_until_ms
        )

    def keep(self, ips):
        """Drop the loads of all other instances.

        Args:
            ips: A set of addresses.
        """
        for ip in [ip for ip in self._loads if ip not in ips]:
            del self._loads[ip]


def make_server_loads(clock):
    """Return loads of which none is known.

    Args:
        clock: Clock.
    """
    return ServerLoads(clock)
