"""Pool of connections from the load generator to one service."""

import gevent
from gevent import lock
from gevent import pool

from kingcupport.common import errors
from kingcupport.standins import caller_connection

MAX_CONCURRENT_CONNECTS = 50
RECONNECT_DELAY_MS = 100


class ConnectionPool:
    """Provides random idle connections and replaces broken ones.

    Args:
        address: Address of the service.
        connections_count: Number of connections to maintain.
        random: ``random.Random``.
        report: LoadReport that counts opened, ended and broken
            connections.
    """

    def __init__(self, address, connections_count, random, report):
        self._address = address
        self._connections_count = connections_count
        self._random = random
        self._report = report
        self._idle = []
        self._available = lock.Semaphore(0)

    def open(self):
        """Open all connections; blocks until they are established.

        Raises:
            ConnectionBrokenError: A connection cannot be opened.
        """
        group = pool.Pool(MAX_CONCURRENT_CONNECTS)
        tasks = [
            group.spawn(self._connect) for _ in range(self._connections_count)
        ]
        for task in tasks:
            self._add_idle(task.get())

    def _connect(self):
        connection = caller_connection.CallerConnection(self._address)
        self._report.connections_opened += 1
        return connection

    def _add_idle(self, connection):
        self._idle.append(connection)
        self._available.release()

    def acquire(self):
        """Return an idle connection; blocks until one is available."""
        self._available.acquire()
        index = self._random.randrange(len(self._idle))
        self._idle[index], self._idle[-1] = self._idle[-1], self._idle[index]
        connection = self._idle.pop()
        if not connection.closed_by_peer():
            return connection
        self._report.connections_broken += 1
        return self._replace(connection)

    def _replace(self, connection):
        connection.close()
        while True:
            try:
                return self._connect()
            except errors.KingcupportError:
                self._report.connect_failures += 1
                gevent.sleep(RECONNECT_DELAY_MS / 1000)

    def release(self, connection):
        """Return a connection to the pool after a complete answer."""
        if not connection.reusable:
            # The answer announced that the server closes the connection.
            self._report.connections_ended += 1
            connection = self._replace(connection)
        self._add_idle(connection)

    def discard(self, connection, *, broken):
        """Replace a connection that is no longer usable.

        Args:
            connection: The connection.
            broken: Whether the peer broke it; otherwise the caller timed out.
        """
        if broken:
            self._report.connections_broken += 1
        self._add_idle(self._replace(connection))

    def close(self):
        """Close the idle connections and count those that were broken."""
        for connection in self._idle:
            if connection.closed_by_peer():
                self._report.connections_broken += 1
            connection.close()
        self._idle.clear()
