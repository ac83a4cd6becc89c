"""Health and load reports that may lag or mislead."""

import collections

import gevent

REPORT_INTERVAL_MS = 20
MAX_REMEMBERED_REPORTS = 1000


class ServerReports:
    """Remembers reports, so that an old one can be shown.

    Args:
        clock: Clock for the age of the reports.
        read_report: Function that returns the present report, a dict with
            ``state``, ``slots``, ``running`` and ``queued``.
    """

    def __init__(self, clock, read_report):
        self._clock = clock
        self._read_report = read_report
        self._reports = collections.deque(maxlen=MAX_REMEMBERED_REPORTS)
        self._task = None

    def start(self):
        """Remember a report every ``REPORT_INTERVAL_MS``."""
        self._task = gevent.spawn(self._remember)

    def stop(self):
        """Stop remembering."""
        self._task.kill()

    def _remember(self):
        while True:
            now_ms = self._clock.monotonic_ms()
            self._reports.append((now_ms, self._read_report()))
            self._clock.sleep_until(now_ms + REPORT_INTERVAL_MS)

    def shown(self, lag_ms, always_idle):
        """Return the report that a reader gets.

        Args:
            lag_ms: Show the report of that long ago, or the oldest kept.
            always_idle: Show a ready server without any request.
        """
        if always_idle:
            idle = {'state': 'ready', 'running': 0, 'queued': 0}
            return self._read_report() | idle
        if not lag_ms:
            return self._read_report()
        latest_ms = self._clock.monotonic_ms() - lag_ms
        old = [
            r for reported_ms, r in self._reports if reported_ms <= latest_ms
        ]
        return old[-1] if old else self._reports[0][1]
