"""Bounded-load placement of new connections."""

import enum

# Only this many candidates may accept a new connection, so that its owner is
# found by asking them.
MAX_OPEN_CANDIDATES = 3
# Lets small services take a few connections before the bound matters.
MIN_SLACK_CONNECTIONS = 2


class Placement(enum.Enum):
    """What to do with an OPEN."""

    ACCEPT = 'accept'
    PASS_ON = 'pass_on'


class OpenPlacement:
    """Decides whether this agent accepts a new connection.

    Args:
        own_name: Name of this agent.
        bound_percent: How far the own count may exceed the mean.
        connection_count: Returns the number of connections owned.
        expected_mean: Called with the number of new connections that
            were passed on so far; returns the mean over the service's agents
            that this agent knows, or None.
    """

    def __init__(
        self, own_name, bound_percent, connection_count, expected_mean
    ):
        self._own_name = own_name
        self._bound_percent = bound_percent
        self._connection_count = connection_count
        self._expected_mean = expected_mean
        self._passed_on = 0

    def decide(self, candidates, tried):
        """Decide about one OPEN.

        Args:
            candidates: Names of the service's agents in rank order.
            tried: Names of the agents that have passed it on.

        Returns:
            A Placement and, for ``PASS_ON``, the next agent's name.
        """
        first = candidates[:MAX_OPEN_CANDIDATES]
        untried = [
            name
            for name in first
            if name != self._own_name and name not in tried
        ]
        if not untried:
            return Placement.ACCEPT, None
        if self._own_name not in first:
            return Placement.PASS_ON, untried[0]
        if self._over_bound():
            self._passed_on += 1
            return Placement.PASS_ON, untried[0]
        return Placement.ACCEPT, None

    def _over_bound(self):
        mean = self._expected_mean(self._passed_on)
        if mean is None:
            return False
        limit = mean * (100 + self._bound_percent) / 100
        return self._connection_count() > limit + MIN_SLACK_CONNECTIONS
