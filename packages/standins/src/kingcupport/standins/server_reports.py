"""Health and load reports that may be outdated or wrong on purpose."""

import collections

import gevent

REPORT_INTERVAL_MS = 20
MAX_STORED_REPORTS = 1000


class ServerReports:
    """Stores periodic reports, so that an older one can be served.

    Args:
        clock: Clock for the age of the reports.
        read_report: Function that returns the current report, a dict with
            ``state``, ``slots``, ``running`` and ``queued``.
    """

    def __init__(self, clock, read_report):
        self._clock = clock
        self._read_report = read_report
        self._reports = collections.deque(maxlen=MAX_STORED_REPORTS)
        self._task = None

    def start(self):
        """Start storing a report every ``REPORT_INTERVAL_MS``."""
        self._task = gevent.spawn(self._store_periodically)

    def stop(self):
        """Stop storing reports."""
        self._task.kill()

    def _store_periodically(self):
        while True:
            now_ms = self._clock.monotonic_ms()
            self._reports.append((now_ms, self._read_report()))
            self._clock.sleep_until(now_ms + REPORT_INTERVAL_MS)

    def select_report(self, lag_ms, always_idle):
        """Return the report to serve.

        Args:
            lag_ms: Age of the report; the oldest stored one if none is as old.
            always_idle: Whether to report a ready server without requests.
        """
        if always_idle:
            idle = {'state': 'ready', 'running': 0, 'queued': 0}
            return self._read_report() | idle
        if not lag_ms:
            return self._read_report()
        latest_ms = self._clock.monotonic_ms() - lag_ms
        old_reports = [
            r for reported_ms, r in self._reports if reported_ms <= latest_ms
        ]
        return old_reports[-1] if old_reports else self._reports[0][1]
