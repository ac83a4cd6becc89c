"""Injectable time source for waiting and expiry."""

import abc
import time

import gevent


class Clock(abc.ABC):
    """Reads the time and waits. Tests use a manually advanced clock."""

    @abc.abstractmethod
    def monotonic_ms(self):
        """Return the time of a monotonic clock in ms, as a float.

        The zero point is arbitrary; only values of the same process are
        comparable.
        """

    @abc.abstractmethod
    def utc_ms(self):
        """Return milliseconds since the Unix epoch, as an int."""

    @abc.abstractmethod
    def sleep_until(self, deadline_ms):
        """Block the calling task until ``monotonic_ms`` reaches a deadline.

        Args:
            deadline_ms: Point on the monotonic clock. If it has passed, the
                call only yields to other tasks.
        """


class _SystemClock(Clock):
    """Clock of the operating system; waits with gevent's timer."""

    def monotonic_ms(self):
        # Counts the time for which the machine was suspended, unlike
        # time.monotonic().
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000

    def utc_ms(self):
        return time.time_ns() // 1_000_000

    def sleep_until(self, deadline_ms):
        gevent.sleep(max(0, deadline_ms - self.monotonic_ms()) / 1000)


def make_system_clock():
    """Return the Clock for production use."""
    return _SystemClock()
