"""Bounded-load placement of new connections."""

import enum

# Number of top-ranked candidates that may accept a new connection. The bound
# keeps the number of agents small that a lookup of the owner has to try.
MAX_OPEN_CANDIDATES = 3
# Connections that an agent may have above its bound, so that the bound has no
# effect while a service has only a few connections.
MIN_SLACK_CONNECTIONS = 2


class Placement(enum.Enum):
    """Decision for an OPEN packet."""

    ACCEPT = 'accept'
    PASS_ON = 'pass_on'


class OpenPlacement:
    """Decides whether this agent accepts a new connection.

    Args:
        own_name: Name of this agent.
        bound_percent: How far this agent's connection count may exceed the
            mean, in percent.
        connection_count: Returns the number of connections owned.
        expected_mean: Called with the number of OPEN packets that this agent
            has passed on because of the bound; returns the mean number of
            connections of the service's known agents, or None.
    """

    def __init__(
        self, own_name, bound_percent, connection_count, expected_mean
    ):
        self._own_name = own_name
        self._bound_percent = bound_percent
        self._connection_count = connection_count
        self._expected_mean = expected_mean
        self._passed_on_count = 0

    def decide(self, candidates, tried):
        """Decide whether to accept one OPEN packet.

        Args:
            candidates: Names of the service's agents in rank order.
            tried: Names of the agents that have passed the packet on.

        Returns:
            A Placement, and the name of the next agent for ``PASS_ON`` or
            None for ``ACCEPT``.
        """
        allowed = candidates[:MAX_OPEN_CANDIDATES]
        untried = [
            name
            for name in allowed
            if name != self._own_name and name not in tried
        ]
        if not untried:
            return Placement.ACCEPT, None
        if self._own_name not in allowed:
            return Placement.PASS_ON, untried[0]
        if self._is_over_bound():
            self._passed_on_count += 1
            return Placement.PASS_ON, untried[0]
        return Placement.ACCEPT, None

    def _is_over_bound(self):
        mean = self._expected_mean(self._passed_on_count)
        if mean is None:
            return False
        limit = mean * (100 + self._bound_percent) / 100
        return self._connection_count() > limit + MIN_SLACK_CONNECTIONS
