"""Load figures of the other agents of the service."""

import attrs

STALENESS_TIMEOUT_MS = 5000


@attrs.frozen
class _Record:
    connections: int
    queued: int
    running: int
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

    def note(self, report):
        """Keep a LoadReport in place of the sender's previous one."""
        self._records[report.sender] = _Record(
            report.connections,
            report.queued,
            report.running,
            self._clock.monotonic_ms() + self._timeout_ms,
        )

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
