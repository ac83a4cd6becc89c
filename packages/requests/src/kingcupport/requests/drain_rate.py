"""Measured speed at which a queue shrinks."""

import math

import attrs

AVERAGING_MS = 1000.0


@attrs.define
class _Totals:
    work_ms: float
    busy_ms: float = AVERAGING_MS


class DrainRate:
    """Work that leaves the queue for each millisecond that it is not empty.

    It includes work that peers take, which the number of slots does not
    show. Older time counts less, by a factor of e for each second. The time
    in which long runs block every slot is measured apart, because only
    peers drain the queue then.

    Args:
        clock: Clock of the measurement.
        slots: Rate assumed before there is a measurement.
    """

    def __init__(self, clock, slots):
        self._clock = clock
        self._totals = {
            blocked: _Totals(slots * AVERAGING_MS) for blocked in (False, True)
        }
        self._measured_until_ms = clock.monotonic_ms()
        self._queued = False
        self._blocked = False

    def note_state(self, queued, blocked):
        """Tell whether requests wait and slots are blocked from now on."""
        self._advance()
        self._queued = queued
        self._blocked = blocked

    def note_departure(self, expected_ms):
        """Count work that has left a queue that held requests."""
        self._advance()
        if self._queued:
            self._totals[self._blocked].work_ms += expected_ms

    def wait_ms(self, work_ms):
        """Return how long an amount of queued work takes to leave."""
        self._advance()
        totals = self._totals[self._blocked]
        return work_ms * totals.busy_ms / max(totals.work_ms, 1.0)

    def _advance(self):
        now_ms = self._clock.monotonic_ms()
        passed_ms = now_ms - self._measured_until_ms
        self._measured_until_ms = now_ms
        if self._queued and passed_ms > 0:
            totals = self._totals[self._blocked]
            kept = math.exp(-passed_ms / AVERAGING_MS)
            totals.work_ms *= kept
            totals.busy_ms = totals.busy_ms * kept + passed_ms
