"""The connections that an agent owns and the ones that it gave away."""

import collections

import attrs

REDIRECT_TIMEOUT_MS = 600_000
MAX_REDIRECTS = 65_536


@attrs.define
class Redirect:
    """Where a connection that was passed on is now.

    Args:
        agent_name: Name of the new owner.
        deadline_ms: When it is forgotten unless it is used before.
        is_placement: Whether only an OPEN was passed on, so that the other
            agent may not have accepted the connection.
    """

    agent_name: str
    deadline_ms: float
    is_placement: bool


class ConnectionTable:
    """Finds connections and redirects by connection id.

    Args:
        clock: Clock for the redirects' deadlines.
        max_connections: Greatest number of connections owned.
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
        """Whether no further connection can be accepted."""
        return len(self._connections) >= self._max_connections

    @property
    def redirect_count(self):
        """Number of redirects kept."""
        return len(self._redirects)

    def get(self, connection_id):
        """Return the Connection with an id, or None."""
        return self._connections.get(connection_id)

    def add(self, connection):
        """Own a connection from now on."""
        connection_id = connection.identity.connection_id
        self._connections[connection_id] = connection
        self._redirects.pop(connection_id, None)

    def remove(self, connection):
        """Forget a connection that has ended here."""
        connection_id = connection.identity.connection_id
        if self._connections.get(connection_id) is connection:
            del self._connections[connection_id]

    def connections(self):
        """Return the connections owned, in a list."""
        return list(self._connections.values())

    def set_redirect(self, connection_id, agent_name, is_placement=False):
        """Remember where a connection is; the oldest redirect makes room.

        Args:
            connection_id: The connection.
            agent_name: Name of the agent that has it.
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
        """Return whether an OPEN of a connection was passed on before."""
        redirect = self._redirects.get(connection_id)
        return redirect is not None and redirect.is_placement

    def redirect(self, connection_id):
        """Return the agent's name that a connection was passed to, or None.

        Using a redirect renews it.
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
