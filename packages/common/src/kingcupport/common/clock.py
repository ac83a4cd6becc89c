"""Time source that is passed into everything that waits or expires."""

import abc
import time

import gevent


class Clock(abc.ABC):
    """Reads time and waits. Tests pass a clock that they control."""

    @abc.abstractmethod
    def monotonic_ms(self):
        """Return milliseconds on a clock that never goes back, as a float.

        The zero point is arbitrary: compare only values of one process.
        """

    @abc.abstractmethod
    def utc_ms(self):
        """Return milliseconds since the Unix epoch, as an int."""

    @abc.abstractmethod
    def sleep_until(self, deadline_ms):
        """Block the calling task until ``monotonic_ms`` reaches a deadline.

        Args:
            deadline_ms: Point on the monotonic clock; a past one only yields
                to other tasks.
        """


class _SystemClock(Clock):
    """The operating system's clocks and gevent's timer."""

    def monotonic_ms(self):
        return time.monotonic() * 1000

    def utc_ms(self):
        return time.time_ns() // 1_000_000

    def sleep_until(self, deadline_ms):
        gevent.sleep(max(0, deadline_ms - self.monotonic_ms()) / 1000)


def make_system_clock():
    """Return the clock that programs use."""
    return _SystemClock()
