"""Slots of an agent's backend server."""

import math


class Slots:
    """Knows which jobs hold the slots and when one is expected to be free.

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
        """Whether long runs hold every slot."""
        return not self.free and all(job.long for job in self._started_ms)

    def start(self, job):
        """Give a slot to a Job."""
        self._started_ms[job] = self._clock.monotonic_ms()

    def end(self, job):
        """Take the slot back."""
        del self._started_ms[job]

    def wait_ms(self):
        """Return the expected time until a slot is free."""
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
    # A run that has lasted longer than expected is likely to last on.
    return max(expected_ms - elapsed_ms, elapsed_ms / 4, 1)
