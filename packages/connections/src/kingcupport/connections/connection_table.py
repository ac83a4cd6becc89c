"""Connections that an agent owns, and redirects to other agents."""

import collections

import attrs

REDIRECT_TIMEOUT_MS = 600_000
MAX_REDIRECTS = 65_536


@attrs.define
class Redirect:
    """Agent to which packets of a connection are passed on.

    Args:
        agent_name: Name of the new owner.
        deadline_ms: Monotonic time at which it expires; each use extends it.
        is_placement: Whether only an OPEN was passed on, so that the other
            agent may not have accepted the connection.
    """

    agent_name: str
    deadline_ms: float
    is_placement: bool


class ConnectionTable:
    """Stores connections and redirects by connection id.

    Args:
        clock: Clock for the expiry of redirects.
        max_connections: Maximum number of connections owned.
    """

    def __init__(self, clock, max_connections):
        self._clock = clock
        self._max_connections = max_connections
        self._connections = {}
        self._redirects = collections.OrderedDict()

    def __len__(self):
        """Return the number of connections owned."""
        return len(self._connections)

    @property
    def full(self):
        """Whether the maximum number of connections is owned."""
        return len(self._connections) >= self._max_connections

    @property
    def redirect_count(self):
        """Number of redirects stored."""
        return len(self._redirects)

    def get(self, connection_id):
        """Return the Connection with the given id, or None."""
        return self._connections.get(connection_id)

    def add(self, connection):
        """Add a connection and drop its redirect, if there is one."""
        connection_id = connection.identity.connection_id
        self._connections[connection_id] = connection
        self._redirects.pop(connection_id, None)

    def remove(self, connection):
        """Remove a connection that has ended or was handed over."""
        connection_id = connection.identity.connection_id
        if self._connections.get(connection_id) is connection:
            del self._connections[connection_id]

    def connections(self):
        """Return a list of the connections owned."""
        return list(self._connections.values())

    def set_redirect(self, connection_id, agent_name, is_placement=False):
        """Store a redirect; evict the oldest ones beyond MAX_REDIRECTS.

        Args:
            connection_id: Id of the connection.
            agent_name: Name of the agent that owns it.
            is_placement: Whether only its OPEN was passed on.
        """
        deadline_ms = self._clock.monotonic_ms() + REDIRECT_TIMEOUT_MS
        self._redirects[connection_id] = Redirect(
            agent_name, deadline_ms, is_placement
        )
        self._redirects.move_to_end(connection_id)
        while len(self._redirects) > MAX_REDIRECTS:
            self._redirects.popitem(last=False)

    def was_placed_elsewhere(self, connection_id):
        """Return whether an OPEN of the connection has been passed on."""
        redirect = self._redirects.get(connection_id)
        return redirect is not None and redirect.is_placement

    def redirect(self, connection_id):
        """Return the name of the agent to redirect to, or None.

        Each use extends the redirect's lifetime.
        """
        redirect = self._redirects.get(connection_id)
        if redirect is None:
            return None
        now_ms = self._clock.monotonic_ms()
        if now_ms >= redirect.deadline_ms:
            del self._redirects[connection_id]
            return None
        redirect.deadline_ms = now_ms + REDIRECT_TIMEOUT_MS
        self._redirects.move_to_end(connection_id)
        return redirect.agent_name
