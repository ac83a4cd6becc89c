"""A clock that tests advance by hand."""

from kingcupport.common import clock


class ManualClock(clock.Clock):
    """Clock whose time changes only by ``advance`` and ``sleep_until``."""

    def __init__(self, start_ms=1_000_000):
        self._now_ms = start_ms

    def monotonic_ms(self):
        return self._now_ms

    def utc_ms(self):
        return int(self._now_ms)

    def sleep_until(self, deadline_ms):
        self._now_ms = max(self._now_ms, deadline_ms)

    def advance(self, duration_ms):
        self._now_ms += duration_ms
