"""Backoff after failures of an agent's backend server."""

MIN_BACKOFF_MS = 50
MAX_BACKOFF_MS = 2000


class ServerHealth:
    """Suspends runs for a while after a shed request or refused connection.

    Args:
        clock: Clock of the backoff.
    """

    def __init__(self, clock):
        self._clock = clock
        self._backoff_ms = 0
        self._retry_at_ms = clock.monotonic_ms()

    @property
    def ready(self):
        """Whether the server may be sent a request."""
        return self._retry_at_ms <= self._clock.monotonic_ms()

    def record_success(self):
        """Reset the backoff."""
        self._backoff_ms = 0

    def record_failure(self):
        """Double the backoff and return its end in monotonic milliseconds."""
        self._backoff_ms = min(
            MAX_BACKOFF_MS, 2 * self._backoff_ms or MIN_BACKOFF_MS
        )
        self._retry_at_ms = self._clock.monotonic_ms() + self._backoff_ms
        return self._retry_at_ms
