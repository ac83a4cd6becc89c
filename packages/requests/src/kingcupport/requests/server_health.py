"""Whether an agent's backend server takes requests."""

FIRST_PAUSE_MS = 50
MAX_PAUSE_MS = 2000


class ServerHealth:
    """Pauses the runs after a shed request or a refused connection.

    Args:
        clock: Clock of the pauses.
    """

    def __init__(self, clock):
        self._clock = clock
        self._pause_ms = 0
        self._retry_at_ms = clock.monotonic_ms()

    @property
    def ready(self):
        """Whether a request may be tried."""
        return self._retry_at_ms <= self._clock.monotonic_ms()

    def note_success(self):
        """Start again with the shortest pause."""
        self._pause_ms = 0

    def note_failure(self):
        """Double the pause and return when it ends, in milliseconds."""
        self._pause_ms = min(
            MAX_PAUSE_MS, 2 * self._pause_ms or FIRST_PAUSE_MS
        )
        self._retry_at_ms = self._clock.monotonic_ms() + self._pause_ms
        return self._retry_at_ms
