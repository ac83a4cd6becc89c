"""Injects loss, duplication and reordering of datagrams."""

import gevent

from kingcupport.standins import fabric_faults


class FaultInjector:
    """Delivers datagrams subject to the active FabricFaults.

    Args:
        random: ``random.Random``, seeded for reproducible faults.
        counts: Counter in which ``dropped``, ``duplicated`` and ``reordered``
            are incremented.
    """

    def __init__(self, random, counts):
        self.faults = fabric_faults.FabricFaults()
        self._random = random
        self._counts = counts

    def pass_on(self, deliver, data):
        """Call ``deliver(data)`` zero, one or two times, possibly delayed."""
        faults = self.faults
        if self._draw(faults.drop_percent):
            self._counts['dropped'] += 1
            return
        if self._draw(faults.duplicate_percent):
            self._counts['duplicated'] += 1
            deliver(data)
        if self._draw(faults.reorder_percent):
            self._counts['reordered'] += 1
            gevent.spawn_later(faults.reorder_delay_ms / 1000, deliver, data)
            return
        deliver(data)

    def _draw(self, percent):
        return percent > 0 and self._random.uniform(0, 100) < percent
