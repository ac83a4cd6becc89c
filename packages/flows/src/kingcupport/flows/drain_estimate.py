"""Estimates how fast the openings that wait for a service leave the queue."""

import collections
import math

# Placements that are older no longer describe the load: bursts take 3 to 7 s.
WINDOW_MS = 1_000
# While flows wait, the agents report every answer. After a longer silence,
# reports are being lost, and the time without them says nothing.
MAX_REPORT_GAP_MS = 500
# The service time is the mean of about this many answers.
MEAN_OF_ANSWERS = 64
MIN_ANSWERS = 16
# Reports of a server that are further apart do not show when it was busy.
MAX_BUSY_MS = 1_000


class DrainEstimate:
    """Drain rate and service time of one service, as one balancer sees them.

    The drain rate counts the openings that this balancer places while others
    wait, because other balancers and requests on open flows take places, too.

    Args:
        clock: Clock.
    """

    def __init__(self, clock):
        self._clock = clock
        self._placed_ms = collections.deque()
        self._backlog_since_ms = None
        self._reported_ms = None
        self._busy_ms = 0.0
        self._answers = 0.0

    @property
    def service_time_ms(self):
        """Mean time for which a request takes a slot; None if not known."""
        if self._answers < MIN_ANSWERS:
            return None
        return self._busy_ms / self._answers

    def on_report(self, slots, previous_running, previous_ms, running):
        """Record a newer load report of a server.

        Args:
            slots: Number of requests that the server processes at once.
            previous_running: Number of requests in the report before.
            previous_ms: Time of that report on the monotonic clock, or None.
            running: Number of requests now.
        """
        now_ms = self._clock.monotonic_ms()
        if self._backlog_since_ms is not None and self._is_silent():
            self.start_backlog()
        self._reported_ms = now_ms
        if previous_ms is None or now_ms - previous_ms > MAX_BUSY_MS:
            return
        self._busy_ms += min(previous_running, slots) * (now_ms - previous_ms)
        self._answers += max(0, previous_running - running)
        if self._answers > 2 * MEAN_OF_ANSWERS:
            self._answers /= 2
            self._busy_ms /= 2

    def start_backlog(self):
        """Record that the first opening of the service begins to wait."""
        self._placed_ms.clear()
        self._backlog_since_ms = self._clock.monotonic_ms()

    def end_backlog(self):
        """Record that no opening of the service waits."""
        self._placed_ms.clear()
        self._backlog_since_ms = None

    def on_placed(self):
        """Record that an opening of the service was sent to a server."""
        if self._backlog_since_ms is not None:
            self._placed_ms.append(self._clock.monotonic_ms())

    def max_rate_per_s(self):
        """Return the upper bound of the drain rate that the data supports.

        The bound is two standard deviations of a Poisson count above the
        observed rate, so that few data never make the wait look long.

        Returns:
            Openings per second, or None if reports are missing or no opening
            has waited.
        """
        now_ms = self._clock.monotonic_ms()
        if self._backlog_since_ms is None or self._is_silent():
            return None
        oldest_ms = now_ms - WINDOW_MS
        while self._placed_ms and self._placed_ms[0] < oldest_ms:
            self._placed_ms.popleft()
        observed_ms = now_ms - max(self._backlog_since_ms, oldest_ms)
        if observed_ms <= 0:
            return None
        count = len(self._placed_ms)
        return 1_000 * (count + 2 * math.sqrt(count) + 2) / observed_ms

    def _is_silent(self):
        return (
            self._reported_ms is None
            or self._clock.monotonic_ms() - self._reported_ms
            > MAX_REPORT_GAP_MS
        )


def make_drain_estimate(clock):
    """Return the estimate of a service of which nothing is known.

    Args:
        clock: Clock.
    """
    return DrainEstimate(clock)
