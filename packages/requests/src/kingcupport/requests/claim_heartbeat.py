"""Notices that this process was paused."""

BEAT_INTERVAL_MS = 250
# Wakes later than this count as a pause. Shorter ones happen under load and
# do no harm: a pause only matters once the fleet's view can have changed.
LATE_MS = 1000


class PauseDetector:
    """A heartbeat task whose late wake reports a pause.

    Any task may also call ``check`` before a decision, so that one that runs
    before the heartbeat task after a wake does not act on a stale view.

    Args:
        clock: Clock.
        on_pause: Called with the length of the pause in milliseconds.
    """

    def __init__(self, clock, on_pause):
        self._clock = clock
        self._on_pause = on_pause
        self._last_beat_ms = clock.monotonic_ms()

    def run(self):
        """Beat for ever; to be spawned as a task."""
        while True:
            self._clock.sleep_until(self._last_beat_ms + BEAT_INTERVAL_MS)
            self.check()
            self._last_beat_ms = self._clock.monotonic_ms()

    def check(self):
        """Report a pause if the last beat is too long ago."""
        now_ms = self._clock.monotonic_ms()
        late_ms = now_ms - self._last_beat_ms - BEAT_INTERVAL_MS
        if late_ms > LATE_MS:
            self._last_beat_ms = now_ms
            self._on_pause(late_ms)
