"""Which hosts are fenced as absent, and which of them left in order."""

from kingcupport.requests import claim_instance_list


class ClaimFences:
    """Fence generations of hosts; an odd one means absent.

    Generations only grow, so that a late or repeated message cannot bring an
    earlier state back.
    """

    def __init__(self):
        self._generations = {}
        self._known_gone = set()
        self.left = set()
        self.departed = set()

    def generations(self):
        """Return the generation by host name."""
        return dict(self._generations)

    def learn(self, generations):
        """Take over higher generations.

        Args:
            generations: Generation by host name, from a peer.

        Returns:
            Names of the hosts whose generation has grown.
        """
        newer = {
            name: generation
            for name, generation in generations.items()
            if isinstance(name, str)
            and isinstance(generation, int)
            and generation > self._generations.get(name, 0)
        }
        self._generations.update(newer)
        rejoined = {name for name in newer if not self.absent(name)}
        self.left -= rejoined
        self.departed -= rejoined
        return set(newer)

    def absent(self, name):
        """Whether a host is fenced as absent."""
        return self._generations.get(name, 0) % 2 == 1

    def advance(self, name):
        """Raise a host's generation: fence it, or let it rejoin."""
        self.learn({name: self._generations.get(name, 0) + 1})

    def note_left(self, name, generations, delivered):
        """Note that a host handed its records over and left.

        Args:
            name: Name of the host.
            generations: The host's generations; a farewell from before a
                rejoin is ignored.
            delivered: Whether every peer has got the records.
        """
        if generations.get(name) != self._generations.get(name):
            return
        self.left.add(name)
        if delivered:
            self.departed.add(name)

    def newly_gone(self, states, active):
        """Return the next generation of hosts that are newly called gone.

        A host that rejoined while the list still calls it gone is alive.

        Args:
            states: State by name, from the instance list.
            active: Names of hosts that are not fenced.

        Returns:
            Generation by name, for ``learn``.
        """
        gone = {n for n, s in states.items() if s == claim_instance_list.GONE}
        newly = (gone - self._known_gone) & set(active)
        self._known_gone = gone
        return {name: self._generations.get(name, 0) + 1 for name in newly}
