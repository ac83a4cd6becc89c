"""Moves connections to the agents that should own them."""

import logging

import gevent
from gevent import pool

from kingcupport.connections import handoff_sender

LOG = logging.getLogger(__name__)

PARALLEL_HANDOFFS = 32
MAX_RECEIVERS = 4
RETRY_WAIT_MS = 200

_Outcome = handoff_sender.HandoffOutcome


class ConnectionMover:
    """Hands connections to the agents that should own them.

    Args:
        data_path: DataPath, for the candidates.
        table: ConnectionTable.
        sender: HandoffSender.
        clock: Clock.
        counters: DataPathCounters.
        audit: AuditTrail.
    """

    def __init__(self, data_path, table, sender, clock, counters, audit):
        self._data_path = data_path
        self._table = table
        self._sender = sender
        self._clock = clock
        self._counters = counters
        self._audit = audit

    def move_all(self, deadline_ms):
        """Hand every connection over; those with requests go first.

        Args:
            deadline_ms: Point after which no further attempt is made.

        Returns:
            The number of connections that are still owned here.
        """
        start_ms = self._clock.monotonic_ms()
        before = self._counters.handed_over
        while True:
            connections = self._table.connections()
            connections.sort(key=lambda c: c.idle)
            workers = pool.Pool(PARALLEL_HANDOFFS)
            workers.map(self._move, connections)
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
        receivers = self._data_path.receivers(connection_id)[:MAX_RECEIVERS]
        for receiver in receivers:
            if connection.frozen or self._table.get(connection_id) is None:
                return
            if self.move_to(connection, receiver) is not _Outcome.ABORTED:
                return

    def move_to(self, connection, receiver):
        """Hand one connection to a given agent.

        Returns:
            The HandoffOutcome.
        """
        outcome = self._sender.hand_over(connection, receiver)
        if outcome is _Outcome.ADOPTED:
            self._counters.handed_over += 1
        elif outcome is _Outcome.ABORTED:
            self._counters.handoffs_aborted += 1
        else:
            self._counters.handoffs_undecided += 1
            self._counters.reset += 1
        return outcome

    def rebalance(self, added, per_s):
        """Hand idle connections whose owner is now an added host to it.

        Args:
            added: Names of the hosts that the release note added.
            per_s: Handoffs a second.
        """
        moved = 0
        for connection in self._table.connections():
            owner = self._data_path.owner(connection.identity.connection_id)
            if owner not in added or connection.frozen or not connection.idle:
                continue
            if self.move_to(connection, owner) is _Outcome.ADOPTED:
                moved += 1
            gevent.sleep(1 / per_s)
        if moved:
            self._audit.record(
                'connections_rebalanced', count=moved, added=sorted(added)
            )
