"""One log line for each decision on a request, within a rate."""

import logging

LOG = logging.getLogger('kingcupport.decisions')

# Lines a second; a balancer places 70 flows a second at the planned size.
LINES_PER_S = 300


class DecisionLog:
    """Writes decisions; beyond the rate they are counted only.

    Args:
        clock: Clock.
        lines_per_s: Greatest rate, also the size of a burst.
    """

    def __init__(self, clock, lines_per_s=LINES_PER_S):
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._tokens = float(lines_per_s)
        self._filled_ms = clock.monotonic_ms()
        self._skipped = 0
        self.skipped_count = 0

    def write(self, event, fields):
        """Write one decision.

        Args:
            event: What was decided, for example ``flow placed``.
            fields: Dict of the inputs and the outcome.
        """
        now_ms = self._clock.monotonic_ms()
        self._tokens = min(
            self._lines_per_s,
            self._tokens
            + (now_ms - self._filled_ms) * self._lines_per_s / 1000,
        )
        self._filled_ms = now_ms
        if self._tokens < 1:
            self._skipped += 1
            self.skipped_count += 1
            return
        self._tokens -= 1
        if self._skipped:
            fields = {**fields, 'skipped_lines': self._skipped}
            self._skipped = 0
        LOG.info(event, extra=fields)


def make_decision_log(clock):
    """Return a log with the default rate.

    Args:
        clock: Clock.
    """
    return DecisionLog(clock)
