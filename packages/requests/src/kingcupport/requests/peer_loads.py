"""Load figures of the other agents of the service."""

import attrs

STALENESS_TIMEOUT_MS = 5000
# Fewer new connections between two reports say little about the next ones.
MIN_OFFERED_FOR_RATIO = 20
MAX_GAIN_RATIO = 2


@attrs.frozen
class _Record:
    connections: int
    queued: int
    running: int
    own_offered: int
    gain_ratio: float
    stale_at_ms: float


class PeerLoads:
    """Keeps the latest LoadReport of each peer until it is stale.

    Args:
        clock: Clock of the deadlines.
        count_connections: Callable that returns the own connection count.
        timeout_ms: How long a report counts.
    """

    def __init__(
        self, clock, count_connections, timeout_ms=STALENESS_TIMEOUT_MS
    ):
        self._clock = clock
        self._count_connections = count_connections
        self._timeout_ms = timeout_ms
        self._records = {}
        self._passed_on = 0

    def note(self, report):
        """Keep a LoadReport in place of the sender's previous one."""
        offered = self._count_connections() + self._passed_on
        self._records[report.sender] = _Record(
            report.connections,
            report.queued,
            report.running,
            offered,
            self._gain_ratio(report, offered),
            self._clock.monotonic_ms() + self._timeout_ms,
        )

    def _gain_ratio(self, report, offered):
        last = self._records.get(report.sender)
        if last is None or offered - last.own_offered < MIN_OFFERED_FOR_RATIO:
            return 1 if last is None else last.gain_ratio
        gained = report.connections - last.connections
        ratio = gained / (offered - last.own_offered)
        ratio = min(max(0, ratio), MAX_GAIN_RATIO)
        # The mean with the last ratio damps the noise of short intervals.
        return (ratio + last.gain_ratio) / 2

    def keep_only(self, names):
        """Forget the peers that are not among ``names``."""
        self._records = {
            name: record
            for name, record in self._records.items()
            if name in names
        }

    def own_connections(self):
        """Return the own connection count."""
        return self._count_connections()

    def mean_connections(self):
        """Return the mean count over this agent and its fresh peers."""
        counts = [record.connections for record in self._fresh()]
        counts.append(self._count_connections())
        return sum(counts) / len(counts)

    def expected_mean_connections(self, passed_on):
        """Return the mean count with the peers' counts brought up to date.

        In a burst the own count runs ahead of the reports, so each peer's
        count is extrapolated from its last reports and from what was offered
        to this agent since.

        Args:
            passed_on: New connections that this agent has passed on since
                its start.
        """
        own = self._count_connections()
        self._passed_on = passed_on
        counts = [
            record.connections
            + max(0, own + passed_on - record.own_offered) * record.gain_ratio
            for record in self._fresh()
        ]
        counts.append(own)
        return sum(counts) / len(counts)

    def connections_by_peer(self):
        """Return the connection count of each fresh peer, by name."""
        now_ms = self._clock.monotonic_ms()
        return {
            name: record.connections
            for name, record in self._records.items()
            if record.stale_at_ms > now_ms
        }

    def _fresh(self):
        now_ms = self._clock.monotonic_ms()
        return (
            record
            for record in self._records.values()
            if record.stale_at_ms > now_ms
        )
