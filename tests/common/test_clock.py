"""Tests the clock of the operating system."""

import time

from kingcupport.common import clock as clock_module


def test_time_for_which_the_machine_was_suspended_counts(monkeypatch):
    """The age of a view that is told to a peer must not leave it out."""
    times_s = {time.CLOCK_BOOTTIME: 107.0, time.CLOCK_MONOTONIC: 100.0}
    monkeypatch.setattr(time, 'clock_gettime', times_s.__getitem__)
    monkeypatch.setattr(time, 'monotonic', lambda: 100.0)
    assert clock_module.make_system_clock().monotonic_ms() == 107_000
