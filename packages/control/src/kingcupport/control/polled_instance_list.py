"""Keeps the last instance list that was read, so that reading never blocks."""

import logging

from kingcupport.control import instance_list
from kingcupport.control import periodic_task

LOG = logging.getLogger(__name__)

# With the configuration reads this stays under the service's 2,000 calls a
# second at 6,240 processes.
RATE_BUDGET_PER_S = 300
MIN_INTERVAL_MS = 1_000
# The service returns the whole list. At 6,240 processes it is about 200 KB;
# one reading in 133 s leaves most of the 4 KB/s of a node to the rest.
BYTE_BUDGET_PER_S = 1_500
ENTRY_BYTES = 32
_JITTER = (0.75, 1.25)


class PolledInstanceList(instance_list.InstanceList):
    """Reads another InstanceList from time to time.

    Args:
        source: InstanceList that blocks.
        clock: Clock.
        rng: random.Random for the jitter.
        process_count: Returns the number of processes of the fleet.
    """

    def __init__(self, source, clock, rng, process_count):
        self._source = source
        self._clock = clock
        self._rng = rng
        self._process_count = process_count
        self._states = {}
        self._gone = frozenset()

    @property
    def gone(self):
        """Names of the instances that the list says are gone."""
        return self._gone

    def states(self):
        """Return the states read last; empty before the first reading."""
        return self._states

    def run(self):
        """Read the source without end; run it in a task of its own."""
        periodic_task.run_safely(self._read)
        periodic_task.run_periodically(
            self._clock, self._next_delay_ms, self._read
        )

    def _next_delay_ms(self):
        processes = self._process_count()
        interval_ms = max(
            MIN_INTERVAL_MS,
            processes * 1000 / RATE_BUDGET_PER_S,
            processes * ENTRY_BYTES * 1000 / BYTE_BUDGET_PER_S,
        )
        return interval_ms * self._rng.uniform(*_JITTER)

    def _read(self):
        try:
            self._states = self._source.states()
            self._gone = frozenset(
                name
                for name, state in self._states.items()
                if state is instance_list.InstanceState.GONE
            )
        except instance_list.InstanceListError as error:
            # The last list stays in use: it lags in any case.
            LOG.debug('instance list not read', extra={'error': error})
