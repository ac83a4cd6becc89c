"""Rate-limited log of the decisions on requests."""

import logging

LOG = logging.getLogger('kingcupport.decisions')

# A balancer of the planned size places 70 flows a second.
DEFAULT_LINES_PER_S = 300


class DecisionLog:
    """Logs one line for each decision, limited by a token bucket.

    Lines beyond the rate are skipped; the next line carries their number in
    the field ``skipped_lines``.

    Args:
        clock: Clock.
        lines_per_s: Maximum rate, and maximum number of lines in a burst.
    """

    def __init__(self, clock, lines_per_s=DEFAULT_LINES_PER_S):
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._tokens = float(lines_per_s)
        self._refilled_ms = clock.monotonic_ms()
        self._unreported_count = 0
        self.skipped_count = 0

    def write(self, event, fields):
        """Log one decision unless the rate is exceeded.

        Args:
            event: Name of the decision, for example ``flow placed``.
            fields: Dict of its inputs and its outcome.
        """
        now_ms = self._clock.monotonic_ms()
        self._tokens = min(
            self._lines_per_s,
            self._tokens
            + (now_ms - self._refilled_ms) * self._lines_per_s / 1000,
        )
        self._refilled_ms = now_ms
        if self._tokens < 1:
            self._unreported_count += 1
            self.skipped_count += 1
            return
        self._tokens -= 1
        if self._unreported_count:
            fields = {**fields, 'skipped_lines': self._unreported_count}
            self._unreported_count = 0
        LOG.info(event, extra=fields)


def make_decision_log(clock):
    """Return a DecisionLog with the default rate.

    Args:
        clock: Clock.
    """
    return DecisionLog(clock)
