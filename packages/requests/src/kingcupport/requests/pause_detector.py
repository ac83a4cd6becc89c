"""Detection of pauses of this process."""

HEARTBEAT_INTERVAL_MS = 250
# A wake-up later than this counts as a pause. Shorter delays occur under load
# and are harmless: a pause matters only if the fleet view may have changed.
MIN_PAUSE_MS = 1000


class PauseDetector:
    """Detects pauses by the late wake-up of a heartbeat task.

    Tasks call ``check`` before they decide anything, because after a pause
    they may be scheduled before the heartbeat task and would otherwise act on
    a stale view.

    Args:
        clock: Clock.
        on_pause: Called with the delay of the heartbeat in milliseconds.
    """

    def __init__(self, clock, on_pause):
        self._clock = clock
        self._on_pause = on_pause
        self._last_heartbeat_ms = clock.monotonic_ms()

    def run(self):
        """Run the heartbeat loop; to be spawned as a task."""
        while True:
            self._clock.sleep_until(
                self._last_heartbeat_ms + HEARTBEAT_INTERVAL_MS
            )
            self.check()
            self._last_heartbeat_ms = self._clock.monotonic_ms()

    def check(self):
        """Report a pause if the next heartbeat is overdue."""
        now_ms = self._clock.monotonic_ms()
        late_ms = now_ms - self._last_heartbeat_ms - HEARTBEAT_INTERVAL_MS
        if late_ms > MIN_PAUSE_MS:
            self._last_heartbeat_ms = now_ms
            self._on_pause(late_ms)
