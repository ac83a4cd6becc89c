"""Bounds retries to a fraction of the successes."""

DEFAULT_PERCENT = 10
DEFAULT_RESERVE = 10


class RetryBudget:
    """Earns a fraction of a retry with each success.

    Without a bound, retries add load exactly when the servers fail.

    Args:
        percent: Retries for each hundred successes.
        reserve: Number of retries at the start, and the most kept.
    """

    def __init__(self, percent=DEFAULT_PERCENT, reserve=DEFAULT_RESERVE):
        self._earned = percent / 100
        self._reserve = reserve
        self._left = float(reserve)

    def note_success(self):
        """Earn the fraction of one retry."""
        self._left = min(self._reserve, self._left + self._earned)

    def spend(self):
        """Take one retry and return whether there was one."""
        # The tolerance keeps ten tenths from summing to less than one.
        if self._left < 1 - 1e-9:
            return False
        self._left = max(0.0, self._left - 1)
        return True
