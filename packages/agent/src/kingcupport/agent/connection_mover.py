"""Hands connections over during a drain and to even out the load."""

import collections
import logging

import gevent
from gevent import pool

from kingcupport.agent import placement
from kingcupport.connections import handoff_sender

LOG = logging.getLogger(__name__)

MAX_CONCURRENT_HANDOFFS = 32
MAX_RECEIVERS_TRIED = 3
RETRY_INTERVAL_MS = 200
REBALANCE_INTERVAL_MS = 2_000
REBALANCE_THRESHOLD_PERCENT = 1
MIN_EXCESS_CONNECTIONS = 1
# Ranking the candidates of one connection takes about 10 us; the scan yields
# to other tasks after this many.
CONNECTIONS_PER_YIELD = 100

_Outcome = handoff_sender.HandoffOutcome


class ConnectionMover:
    """Selects receivers and hands connections over to them.

    Args:
        data_path: DataPath, which ranks the candidates.
        table: ConnectionTable.
        sender: HandoffSender.
        clock: Clock.
        loads: PeerLoads with the connection counts of the other agents.
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
        # Load reports lag behind a drain, so the handoffs made since then are
        # added to the reported counts.
        self._handovers_by_receiver = collections.Counter()
        self._audit = audit

    def move_busy(self):
        """Hand over the connections with requests in progress."""
        self._hand_over_each(
            [c for c in self._table.connections() if not c.idle]
        )

    def _hand_over_each(self, connections):
        pool.Pool(MAX_CONCURRENT_HANDOFFS).map(self._hand_over, connections)

    def move_all(self, deadline_ms):
        """Hand over every connection.

        Args:
            deadline_ms: Monotonic time after which no attempt is made.

        Returns:
            The number of connections that this agent still owns.
        """
        start_ms = self._clock.monotonic_ms()
        before = self._counters.handed_over
        while True:
            self._hand_over_each(self._table.connections())
            if not len(self._table):
                break
            if self._clock.monotonic_ms() >= deadline_ms:
                break
            self._clock.sleep_until(
                self._clock.monotonic_ms() + RETRY_INTERVAL_MS
            )
        moved = self._counters.handed_over - before
        if moved:
            self._audit.record(
                'connections_handed_over',
                count=moved,
                elapsed_ms=int(self._clock.monotonic_ms() - start_ms),
            )
        return len(self._table)

    def _hand_over(self, connection):
        connection_id = connection.identity.connection_id
        receivers = self._receivers_by_load(connection_id)
        for receiver in receivers:
            owned = self._table.get(connection_id) is connection
            if connection.frozen or not owned:
                return
            if self.move_to(connection, receiver) is not _Outcome.ABORTED:
                return

    def _receivers_by_load(self, connection_id):
        """Return the names of the agents to try, the least loaded first."""
        receivers = self._data_path.receivers(connection_id)[
            :MAX_RECEIVERS_TRIED
        ]
        counts = self._loads.connections_by_peer()
        return sorted(
            receivers,
            key=lambda name: (
                counts.get(name, 0) + self._handovers_by_receiver[name]
            ),
        )

    def move_to(self, connection, receiver):
        """Hand one connection over to a given agent.

        Args:
            connection: A Connection owned here that is not frozen.
            receiver: Name of the agent.

        Returns:
            The HandoffOutcome.
        """
        outcome = self._sender.hand_over(connection, receiver)
        if outcome is _Outcome.ADOPTED:
            self._counters.handed_over += 1
            self._handovers_by_receiver[receiver] += 1
        elif outcome is _Outcome.ABORTED:
            self._counters.handoffs_aborted += 1
        else:
            self._counters.handoffs_undecided += 1
            self._counters.reset += 1
        return outcome

    def rebalance_forever(self, per_s, draining):
        """Hand idle connections over to less loaded agents periodically.

        Args:
            per_s: Maximum number of handoffs per second.
            draining: Returns whether the agent is draining, which ends the
                loop.
        """
        while not draining():
            self._clock.sleep_until(
                self._clock.monotonic_ms() + REBALANCE_INTERVAL_MS
            )
            if not draining():
                self.rebalance(per_s, draining)

    def rebalance(self, per_s, draining):
        """Hand over half of the connections in excess of the mean.

        All agents rebalance at the same time on load reports that lag, so
        handing over the whole excess would overshoot.

        Args:
            per_s: Maximum number of handoffs per second.
            draining: Returns whether the agent is draining, which ends the
                round.

        Returns:
            The number of connections handed over.
        """
        mean = self._loads.mean_connections()
        excess = len(self._table) - mean
        if (
            excess
            <= mean * REBALANCE_THRESHOLD_PERCENT / 100
            + MIN_EXCESS_CONNECTIONS
        ):
            return 0
        counts = self._loads.connections_by_peer()
        below_mean = {name: n for name, n in counts.items() if n < mean}
        moved = 0
        for index, connection in enumerate(self._table.connections()):
            if index % CONNECTIONS_PER_YIELD == 0:
                gevent.sleep(0)
            if moved >= excess / 2 or draining():
                break
            receiver = self._least_loaded(connection, below_mean)
            if receiver is None or connection.frozen or not connection.idle:
                continue
            if self.move_to(connection, receiver) is _Outcome.ADOPTED:
                moved += 1
                below_mean[receiver] += 1
                if below_mean[receiver] >= mean:
                    del below_mean[receiver]
            self._clock.sleep_until(self._clock.monotonic_ms() + 1000 / per_s)
        if moved:
            self._audit.record('connections_rebalanced', count=moved)
        return moved

    def _least_loaded(self, connection, counts):
        """Return the candidate with the fewest connections, or None.

        Args:
            connection: The Connection.
            counts: Connection counts by agent name; agents that are missing
                here are not considered.
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
