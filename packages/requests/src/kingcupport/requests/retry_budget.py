"""Limits retries to a fraction of the successful requests."""

DEFAULT_RETRY_PERCENT = 10
DEFAULT_RESERVED_RETRIES = 10


class RetryBudget:
    """Token bucket of retries that is filled by successful requests.

    Without a limit, retries would multiply the load while servers fail.

    Args:
        percent: Number of retries allowed per hundred successes.
        reserve: Initial and maximum number of available retries.
    """

    def __init__(
        self, percent=DEFAULT_RETRY_PERCENT, reserve=DEFAULT_RESERVED_RETRIES
    ):
        self._retries_per_success = percent / 100
        self._reserve = reserve
        self._available_retries = float(reserve)

    def record_success(self):
        """Add the fraction of a retry that one success allows."""
        self._available_retries = min(
            self._reserve, self._available_retries + self._retries_per_success
        )

    def spend(self):
        """Use one retry and return whether one was available."""
        # The tolerance covers rounding: ten times 0.1 sums to less than 1.
        if self._available_retries < 1 - 1e-9:
            return False
        self._available_retries = max(0.0, self._available_retries - 1)
        return True
