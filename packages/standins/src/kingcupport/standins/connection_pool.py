"""The load tool's connections to one service."""

import gevent
from gevent import lock
from gevent import pool

from kingcupport.common import errors
from kingcupport.standins import caller_connection

# Connections that are being opened at once.
OPENING_AT_ONCE = 50
RECONNECT_DELAY_MS = 100


class ConnectionPool:
    """Hands out idle connections at random and replaces broken ones.

    Args:
        address: Address of the service.
        connections_count: Number of connections kept.
        random: ``random.Random``.
        report: LoadReport that counts opened and broken connections.
    """

    def __init__(self, address, connections_count, random, report):
        self._address = address
        self._connections_count = connections_count
        self._random = random
        self._report = report
        self._idle = []
        self._available = lock.Semaphore(0)

    def open(self):
        """Open all connections; blocks until they are there.

        Raises:
            ConnectionBrokenError: One cannot be opened.
        """
        group = pool.Pool(OPENING_AT_ONCE)
        tasks = [
            group.spawn(self._connect) for _ in range(self._connections_count)
        ]
        for task in tasks:
            self._put(task.get())

    def _connect(self):
        connection = caller_connection.CallerConnection(self._address)
        self._report.connections_opened += 1
        return connection

    def _put(self, connection):
        self._idle.append(connection)
        self._available.release()

    def acquire(self):
        """Return an idle connection; blocks while there is none."""
        self._available.acquire()
        index = self._random.randrange(len(self._idle))
        self._idle[index], self._idle[-1] = self._idle[-1], self._idle[index]
        connection = self._idle.pop()
        if not connection.closed_by_other_side():
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
        """Give a connection back after an answer."""
        if not connection.reusable:
            # The answer announced the end of the connection.
            self._report.connections_ended += 1
            connection = self._replace(connection)
        self._put(connection)

    def discard(self, connection, *, broken):
        """Give back a connection that cannot be used any more.

        Args:
            connection: The connection.
            broken: Whether the other side broke it, else the caller gave up.
        """
        if broken:
            self._report.connections_broken += 1
        self._put(self._replace(connection))

    def close(self):
        """Count idle connections that are broken and close all."""
        for connection in self._idle:
            if connection.closed_by_other_side():
                self._report.connections_broken += 1
            connection.close()
        self._idle.clear()
