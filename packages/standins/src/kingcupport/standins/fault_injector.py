"""Drops, duplicates and delays datagrams."""

import gevent

from kingcupport.standins import fabric_faults


class FaultInjector:
    """Passes datagrams on, or does to them what the faults say.

    Args:
        random: ``random.Random`` with a known seed.
        counts: Counter that gets ``dropped``, ``duplicated``, ``reordered``.
    """

    def __init__(self, random, counts):
        self.faults = fabric_faults.FabricFaults()
        self._random = random
        self._counts = counts

    def pass_on(self, deliver, data):
        """Call ``deliver(data)`` never, once or twice, now or later."""
        faults = self.faults
        if self._happens(faults.drop_percent):
            self._counts['dropped'] += 1
            return
        if self._happens(faults.duplicate_percent):
            self._counts['duplicated'] += 1
            deliver(data)
        if self._happens(faults.reorder_percent):
            self._counts['reordered'] += 1
            gevent.spawn_later(faults.reorder_delay_ms / 1000, deliver, data)
            return
        deliver(data)

    def _happens(self, percent):
        return percent > 0 and self._random.uniform(0, 100) < percent
