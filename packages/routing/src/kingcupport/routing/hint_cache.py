"""Bounded cache of the agents that own connections."""

import collections

DEFAULT_CAPACITY = 65_536


class HintCache:
    """LRU cache that maps connection ids to agent names.

    Args:
        capacity: Maximum number of hints.
    """

    def __init__(self, capacity=DEFAULT_CAPACITY):
        self._capacity = capacity
        self._hints = collections.OrderedDict()

    def __len__(self):
        """Return the number of hints."""
        return len(self._hints)

    def get(self, connection_id):
        """Return the agent's name for a connection, or None."""
        agent_name = self._hints.get(connection_id)
        if agent_name is not None:
            self._hints.move_to_end(connection_id)
        return agent_name

    def put(self, connection_id, agent_name):
        """Store the owner of a connection."""
        self._hints[connection_id] = agent_name
        self._hints.move_to_end(connection_id)
        if len(self._hints) > self._capacity:
            self._hints.popitem(last=False)

    def forget(self, connection_id):
        """Remove the hint for a connection, if there is one."""
        self._hints.pop(connection_id, None)

    def keep_agents(self, agent_names):
        """Remove the hints that name any other agent.

        Args:
            agent_names: A set of names.
        """
        stale = [
            connection_id
            for connection_id, agent_name in self._hints.items()
            if agent_name not in agent_names
        ]
        for connection_id in stale:
            del self._hints[connection_id]
