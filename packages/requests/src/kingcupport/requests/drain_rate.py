"""Measured speed at which a queue shrinks."""

import math

AVERAGING_MS = 1000.0


class DrainRate:
    """Work that leaves the queue for each millisecond that it is not empty.

    It includes work that peers take, which the number of slots does not
    show. Older time counts less, by a factor of e for each second.

    Args:
        clock: Clock of the measurement.
        slots: Rate assumed before there is a measurement.
    """

    def __init__(self, clock, slots):
        self._clock = clock
        self._work_ms = float(slots) * AVERAGING_MS
        self._busy_ms = AVERAGING_MS
        self._measured_until_ms = clock.monotonic_ms()
        self._queued = False

    def note_queue(self, queued):
        """Tell whether the queue holds requests from now on."""
        self._advance()
        self._queued = queued

    def note_departure(self, expected_ms):
        """Count work that has left a queue that held requests."""
        self._advance()
        if self._queued:
            self._work_ms += expected_ms

    def wait_ms(self, work_ms):
        """Return how long an amount of queued work takes to leave."""
        self._advance()
        return work_ms * self._busy_ms / max(self._work_ms, 1.0)

    def _advance(self):
        now_ms = self._clock.monotonic_ms()
        passed_ms = now_ms - self._measured_until_ms
        self._measured_until_ms = now_ms
        if self._queued and passed_ms > 0:
            kept = math.exp(-passed_ms / AVERAGING_MS)
            self._work_ms *= kept
            self._busy_ms = self._busy_ms * kept + passed_ms
