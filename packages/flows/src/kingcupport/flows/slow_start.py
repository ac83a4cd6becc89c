"""Limits the requests of a server that has just started or recovered."""

# A server that failed every attempt gets another one after this time while
# flows wait for a server.
ATTEMPT_INTERVAL_MS = 250
# It is offered like others again, with one request at a time, after this time
# without a failure. The failure rate that ranks it behind them covers 3 s.
PAUSE_AFTER_FAILURE_MS = 3_000
# An answer that takes more than this multiple of the former service time does
# not raise the limit. A cold server takes 1.6 times as long.
SLOW_FACTOR = 2
NO_LIMIT = -1


class SlowStart:
    """The number of requests that a starting server may have at a time.

    It begins at the number of slots, so that no request queues behind one of
    unknown duration. An answer in time raises it by one until the usual limit
    is reached; a slow or failed one halves it, down to single attempts.

    Args:
        clock: Clock.
    """

    def __init__(self, clock):
        self._clock = clock
        self._is_active = False
        self._allowed = None
        self._failed_ms = 0.0
        self._attempted_ms = None

    @property
    def is_active(self):
        """Whether the server has not reached the usual limit yet."""
        return self._is_active

    def begin(self):
        """Start again with the number of slots."""
        self._is_active = True
        self._allowed = None
        self._attempted_ms = None

    def allowed(self, slots):
        """Return how many requests the server may have at a time.

        Args:
            slots: Number of slots of the server, or None if it is not known.

        Returns:
            The number, 0 for single attempts, or NO_LIMIT.
        """
        if not self._is_active:
            return NO_LIMIT
        if self._allowed is None:
            return NO_LIMIT if slots is None else slots
        if (
            self._allowed == 0
            and self._clock.monotonic_ms() - self._failed_ms
            >= PAUSE_AFTER_FAILURE_MS
        ):
            return 1
        return self._allowed

    def admits(self, running, slots):
        """Whether the server may get another request, which then counts.

        Args:
            running: Number of its requests.
            slots: Number of its slots, or None if it is not known.
        """
        allowed = self.allowed(slots)
        if allowed == NO_LIMIT or running < allowed:
            return True
        now_ms = self._clock.monotonic_ms()
        if (
            allowed
            or running
            or (
                self._attempted_ms is not None
                and now_ms - self._attempted_ms < ATTEMPT_INTERVAL_MS
            )
        ):
            return False
        self._attempted_ms = now_ms
        return True

    def on_answer(self, slots, *, is_in_time):
        """Change the limit by the outcome of a request.

        Args:
            slots: Number of slots of the server, or None if it is not known.
            is_in_time: Whether it succeeded and was not slow.
        """
        if not self._is_active or slots is None:
            return
        allowed = self.allowed(slots)
        if not is_in_time:
            self._allowed = allowed // 2
            self._failed_ms = self._clock.monotonic_ms()
            return
        self._allowed = allowed + 1
        if self._allowed > slots:
            self._is_active = False


def make_slow_start(clock):
    """Return a SlowStart that has begun.

    Args:
        clock: Clock.
    """
    slow_start = SlowStart(clock)
    slow_start.begin()
    return slow_start
