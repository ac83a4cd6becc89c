"""Fencing of hosts that no longer take part in claims."""

from kingcupport.requests import claim_instance_list


class ClaimFences:
    """Fence generations of hosts; an odd generation means absent.

    Generations only increase, so that a late or repeated message cannot
    restore an earlier state.

    Attributes:
        handed_over: Names of hosts that handed their records over and left.
        departed: The subset of ``handed_over`` whose records reached every
            peer.
    """

    def __init__(self):
        self._generations = {}
        self._previously_gone = set()
        self.handed_over = set()
        self.departed = set()

    def generations(self):
        """Return a copy of the generations by host name."""
        return dict(self._generations)

    def merge(self, generations):
        """Adopt every generation that is higher than the known one.

        Entries of the wrong type are ignored, since they come from a peer.

        Args:
            generations: Generation by host name.

        Returns:
            Names of the hosts whose generation increased.
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
        self.handed_over -= rejoined
        self.departed -= rejoined
        return set(newer)

    def absent(self, name):
        """Return whether a host is fenced as absent."""
        return self._generations.get(name, 0) % 2 == 1

    def advance(self, name):
        """Increment a host's generation, which fences or readmits it."""
        self.merge({name: self._generations.get(name, 0) + 1})

    def record_departure(self, name, generations, delivered):
        """Record that a host handed its records over and left.

        Args:
            name: Name of the host.
            generations: Fence generations that came with the records. If the
                host's own generation differs from the known one, the message
                predates a rejoin and is ignored.
            delivered: Whether every peer received the records.
        """
        if generations.get(name) != self._generations.get(name):
            return
        self.handed_over.add(name)
        if delivered:
            self.departed.add(name)

    def generations_to_fence(self, states, active):
        """Return the next generations of hosts newly listed as gone.

        A host that was already listed as gone in the previous call is
        skipped: if it is active, it has rejoined, and the list lags.

        Args:
            states: Instance state by name, from the instance list.
            active: Names of the hosts that are not fenced.

        Returns:
            Generation by name, for ``merge``.
        """
        gone = {n for n, s in states.items() if s == claim_instance_list.GONE}
        newly = (gone - self._previously_gone) & set(active)
        self._previously_gone = gone
        return {name: self._generations.get(name, 0) + 1 for name in newly}
