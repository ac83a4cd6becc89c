"""Estimate of the rate at which queued work leaves the queue."""

import math

import attrs

DECAY_TIME_MS = 1000.0


@attrs.define
class _DecayingTotals:
    work_ms: float
    busy_ms: float = DECAY_TIME_MS


class DrainRate:
    """Work that leaves the queue per millisecond in which it is not empty.

    The rate includes work that moves to peers, so it may exceed the number
    of slots. It is an exponentially weighted average: the weight of past
    time falls by a factor of e each second. Periods in which long runs hold
    every slot are averaged separately, because only peers drain the queue
    then.

    Args:
        clock: Clock of the measurement.
        slots: Number of slots, the rate that is assumed at the start.
    """

    def __init__(self, clock, slots):
        self._clock = clock
        self._totals = {
            blocked: _DecayingTotals(slots * DECAY_TIME_MS)
            for blocked in (False, True)
        }
        self._advanced_to_ms = clock.monotonic_ms()
        self._has_queued_work = False
        self._blocked = False

    def update_state(self, has_queued_work, blocked):
        """Set whether requests are queued and long runs hold every slot."""
        self._advance_time()
        self._has_queued_work = has_queued_work
        self._blocked = blocked

    def record_departure(self, expected_ms):
        """Count the work of a request that has left the queue."""
        self._advance_time()
        if self._has_queued_work:
            self._totals[self._blocked].work_ms += expected_ms

    def wait_ms(self, work_ms):
        """Return the expected time until an amount of queued work has left."""
        self._advance_time()
        totals = self._totals[self._blocked]
        return work_ms * totals.busy_ms / max(totals.work_ms, 1.0)

    def _advance_time(self):
        now_ms = self._clock.monotonic_ms()
        elapsed_ms = now_ms - self._advanced_to_ms
        self._advanced_to_ms = now_ms
        if self._has_queued_work and elapsed_ms > 0:
            totals = self._totals[self._blocked]
            decay = math.exp(-elapsed_ms / DECAY_TIME_MS)
            totals.work_ms *= decay
            totals.busy_ms = totals.busy_ms * decay + elapsed_ms
