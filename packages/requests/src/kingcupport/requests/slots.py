"""Concurrency slots of an agent's backend server."""

import math


class Slots:
    """Tracks which jobs hold slots and when a slot is expected to be free.

    Args:
        clock: Clock of the runs.
        count: Number of requests that the server runs at once.
    """

    def __init__(self, clock, count):
        self._clock = clock
        self._count = count
        self._started_ms = {}

    @property
    def running(self):
        """Number of slots in use."""
        return len(self._started_ms)

    @property
    def free(self):
        """Number of free slots."""
        return self._count - len(self._started_ms)

    @property
    def blocked(self):
        """Whether every slot is held by a long run."""
        return not self.free and all(job.long for job in self._started_ms)

    def start(self, job):
        """Assign a slot to a Job."""
        self._started_ms[job] = self._clock.monotonic_ms()

    def end(self, job):
        """Release the slot of a Job."""
        del self._started_ms[job]

    def wait_ms(self):
        """Return the expected time until a slot is free, in milliseconds."""
        if self.free:
            return 0
        now_ms = self._clock.monotonic_ms()
        return min(
            (
                _remaining_ms(job.expected_ms, now_ms - started_ms)
                for job, started_ms in self._started_ms.items()
            ),
            default=math.inf,
        )


def _remaining_ms(expected_ms, elapsed_ms):
    # A run that exceeds its expected duration is likely to continue for a
    # time in proportion to the time that it has taken so far.
    return max(expected_ms - elapsed_ms, elapsed_ms / 4, 1)
