"""Instance list that is polled in the background and read from memory."""

import logging

from kingcupport.control import instance_list
from kingcupport.control import periodic_task

LOG = logging.getLogger(__name__)

# Together with the configuration reads this stays below the 2,000 calls per
# second that the service allows at 6,240 processes.
RATE_BUDGET_PER_S = 300
MIN_INTERVAL_MS = 1_000
# The service returns the whole list, about 200 KB at 6,240 processes. One read
# per 133 s leaves most of a node's limit of 4 KB/s to other messages.
BYTE_BUDGET_PER_S = 1_500
ENTRY_BYTES = 32
_JITTER = (0.75, 1.25)


class PolledInstanceList(instance_list.InstanceList):
    """Caches another InstanceList and refreshes it periodically.

    Args:
        source: InstanceList whose reads block.
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
        """Names of the instances that the list reports as gone."""
        return self._gone

    def states(self):
        """Return the most recently read states, initially empty."""
        return self._states

    def run(self):
        """Poll the source forever; run this in a separate task."""
        periodic_task.run_and_log_errors(self._read)
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
            # Keep the previous list, which lags behind the platform anyway.
            LOG.debug(
                'instance list not read; the previous one stays in use',
                extra={'error': error},
            )
