"""Moves connections to the agents that should own them."""

import collections
import logging

import gevent
from gevent import pool

from kingcupport.agent import placement
from kingcupport.connections import handoff_sender

LOG = logging.getLogger(__name__)

PARALLEL_HANDOFFS = 32
MAX_RECEIVERS = 3
RETRY_WAIT_MS = 200
REBALANCE_INTERVAL_MS = 2_000
REBALANCE_PERCENT = 1
MIN_EXCESS_CONNECTIONS = 1
# Ranking the candidates of a connection takes some 10 us.
SCANNED_AT_ONCE = 100

_Outcome = handoff_sender.HandoffOutcome


class ConnectionMover:
    """Hands connections to the agents that should own them.

    Args:
        data_path: DataPath, for the candidates.
        table: ConnectionTable.
        sender: HandoffSender.
        clock: Clock.
        loads: PeerLoads, for the other agents' connection counts.
        counters: DataPathCounters.
        audit: AuditTrail.
    """

    def __init__(
        self, data_path, table, sender, clock, loads, counters, audit
    ):
        self._data_path = data_path
        self._table = table
        self._sender = sender
        self._clock = clock
        self._loads = loads
        self._counters = counters
        # Reports lag behind a drain, so its own handoffs are added to them.
        self._moved_to = collections.Counter()
        self._audit = audit

    def move_busy(self):
        """Hand over the connections that have requests in progress."""
        self._move_each([c for c in self._table.connections() if not c.idle])

    def _move_each(self, connections):
        pool.Pool(PARALLEL_HANDOFFS).map(self._move, connections)

    def move_all(self, deadline_ms):
        """Hand every connection over.

        Args:
            deadline_ms: Point after which no further attempt is made.

        Returns:
            The number of connections that are still owned here.
        """
        start_ms = self._clock.monotonic_ms()
        before = self._counters.handed_over
        while True:
            self._move_each(self._table.connections())
            if not len(self._table):
                break
            if self._clock.monotonic_ms() >= deadline_ms:
                break
            self._clock.sleep_until(self._clock.monotonic_ms() + RETRY_WAIT_MS)
        moved = self._counters.handed_over - before
        if moved:
            self._audit.record(
                'connections_handed_over',
                count=moved,
                elapsed_ms=int(self._clock.monotonic_ms() - start_ms),
            )
        return len(self._table)

    def _move(self, connection):
        connection_id = connection.identity.connection_id
        receivers = self._receivers_by_load(connection_id)
        for receiver in receivers:
            owned = self._table.get(connection_id) is connection
            if connection.frozen or not owned:
                return
            if self.move_to(connection, receiver) is not _Outcome.ABORTED:
                return

    def _receivers_by_load(self, connection_id):
        """Return the agents to try: the least loaded candidate first."""
        receivers = self._data_path.receivers(connection_id)[:MAX_RECEIVERS]
        counts = self._loads.connections_by_peer()
        return sorted(
            receivers,
            key=lambda name: counts.get(name, 0) + self._moved_to[name],
        )

    def move_to(self, connection, receiver):
        """Hand one connection to a given agent.

        Returns:
            The HandoffOutcome.
        """
        outcome = self._sender.hand_over(connection, receiver)
        if outcome is _Outcome.ADOPTED:
            self._counters.handed_over += 1
            self._moved_to[receiver] += 1
        elif outcome is _Outcome.ABORTED:
            self._counters.handoffs_aborted += 1
        else:
            self._counters.handoffs_undecided += 1
            self._counters.reset += 1
        return outcome

    def rebalance_forever(self, per_s, draining):
        """Hand idle connections to less loaded agents, round by round.

        Args:
            per_s: Greatest number of handoffs a second.
            draining: Returns whether the agent drains, which ends this.
        """
        while not draining():
            self._clock.sleep_until(
                self._clock.monotonic_ms() + REBALANCE_INTERVAL_MS
            )
            if not draining():
                self.rebalance(per_s, draining)

    def rebalance(self, per_s, draining):
        """Run one round; half of the excess over the mean is handed over.

        All agents run rounds on reports that lag, so that handing over the
        whole excess would overshoot.

        Args:
            per_s: Greatest number of handoffs a second.
            draining: Returns whether the agent drains, which ends the round.

        Returns:
            The number of connections handed over.
        """
        mean = self._loads.mean_connections()
        excess = len(self._table) - mean
        if excess <= mean * REBALANCE_PERCENT / 100 + MIN_EXCESS_CONNECTIONS:
            return 0
        counts = self._loads.connections_by_peer()
        below = {name: n for name, n in counts.items() if n < mean}
        moved = 0
        for number, connection in enumerate(self._table.connections()):
            if number % SCANNED_AT_ONCE == 0:
                gevent.sleep(0)
            if moved >= excess / 2 or draining():
                break
            receiver = self._least_loaded(connection, below)
            if receiver is None or connection.frozen or not connection.idle:
                continue
            if self.move_to(connection, receiver) is _Outcome.ADOPTED:
                moved += 1
                below[receiver] += 1
                if below[receiver] >= mean:
                    del below[receiver]
            self._clock.sleep_until(self._clock.monotonic_ms() + 1000 / per_s)
        if moved:
            self._audit.record('connections_rebalanced', count=moved)
        return moved

    def _least_loaded(self, connection, counts):
        """Return the candidate of a connection with the lowest count.

        Args:
            connection: The Connection.
            counts: Connection counts by agent name; others are left out.
        """
        receivers = self._data_path.receivers(
            connection.identity.connection_id
        )
        usable = [
            name
            for name in receivers[: placement.MAX_OPEN_CANDIDATES]
            if name in counts
        ]
        return min(usable, key=counts.get, default=None)
