"""Load reports of the other agents of a service."""

import attrs

STALENESS_TIMEOUT_MS = 5000
# A growth ratio from fewer new connections than this is too noisy to
# predict the next ones.
MIN_OFFERED_CONNECTIONS = 20
MAX_GROWTH_RATIO = 2


@attrs.frozen
class _Record:
    connections: int
    queued: int
    running: int
    offered_locally: int
    growth_ratio: float
    stale_at_ms: float


class PeerLoads:
    """Latest LoadReport of each peer, used until it is stale.

    Args:
        clock: Clock of the deadlines.
        count_connections: Callable that returns the number of this agent's
            connections.
        timeout_ms: Age at which a report is stale.
    """

    def __init__(
        self, clock, count_connections, timeout_ms=STALENESS_TIMEOUT_MS
    ):
        self._clock = clock
        self._count_connections = count_connections
        self._timeout_ms = timeout_ms
        self._records = {}
        self._passed_on = 0

    def record_report(self, report):
        """Replace the sender's previous LoadReport by a new one."""
        offered = self._count_connections() + self._passed_on
        self._records[report.sender] = _Record(
            report.connections,
            report.queued,
            report.running,
            offered,
            self._growth_ratio(report, offered),
            self._clock.monotonic_ms() + self._timeout_ms,
        )

    def _growth_ratio(self, report, offered):
        last = self._records.get(report.sender)
        if (
            last is None
            or offered - last.offered_locally < MIN_OFFERED_CONNECTIONS
        ):
            return 1 if last is None else last.growth_ratio
        growth = report.connections - last.connections
        ratio = growth / (offered - last.offered_locally)
        ratio = min(max(0, ratio), MAX_GROWTH_RATIO)
        # Averaging with the last ratio reduces the noise of short intervals.
        return (ratio + last.growth_ratio) / 2

    def keep_only(self, names):
        """Drop the reports of peers that are not among ``names``."""
        self._records = {
            name: record
            for name, record in self._records.items()
            if name in names
        }

    def own_connections(self):
        """Return the number of this agent's connections."""
        return self._count_connections()

    def mean_connections(self):
        """Return the mean count of this agent and peers with fresh reports."""
        counts = [record.connections for record in self._fresh_records()]
        counts.append(self._count_connections())
        return sum(counts) / len(counts)

    def expected_mean_connections(self, passed_on):
        """Return the mean count with the peers' counts extrapolated to now.

        In a burst of new connections the reports of the peers lag behind
        the count of this agent. Each peer's count is therefore extrapolated
        from its last reports and from the number of connections offered to
        this agent since then.

        Args:
            passed_on: Number of new connections that this agent has passed
                on to peers since its start.
        """
        own = self._count_connections()
        self._passed_on = passed_on
        counts = [
            record.connections
            + max(0, own + passed_on - record.offered_locally)
            * record.growth_ratio
            for record in self._fresh_records()
        ]
        counts.append(own)
        return sum(counts) / len(counts)

    def connections_by_peer(self):
        """Return the connection count of each peer with a fresh report."""
        now_ms = self._clock.monotonic_ms()
        return {
            name: record.connections
            for name, record in self._records.items()
            if record.stale_at_ms > now_ms
        }

    def _fresh_records(self):
        now_ms = self._clock.monotonic_ms()
        return (
            record
            for record in self._records.values()
            if record.stale_at_ms > now_ms
        )
