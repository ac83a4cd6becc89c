"""Holds new flows after the process was paused, until its view is current."""

import collections

# A pause of this share of the bound makes the view too old: a confirmation may
# be 2.5 s old when the pause begins, half of the usual bound of 5 s.
PAUSE_SHARE = 0.2
# Without a confirmation the view is used as it is after this time: the store
# may be down, and then what is known stays in force. A read takes about 10 ms.
MAX_HOLD_MS = 250
MAX_HELD_OPENINGS = 256


class OpeningHold:
    """Holds opening packets after a pause.

    Before the pause ends, the operator may have evacuated a data centre. The
    packets that arrived meanwhile would go there by the old view.

    Args:
        clock: Clock.
        view: FleetView.
        request_read: ``request_read(time_ms)`` asks for a read of the store
            that starts after a time.
        evacuation_ms: Time after which no opening packet may reach an
            evacuated data centre; 0 if there is no such bound, and nothing is
            held.
    """

    def __init__(self, clock, view, request_read, evacuation_ms):
        self._clock = clock
        self._view = view
        self._request_read = request_read
        self._max_pause_ms = evacuation_ms * PAUSE_SHARE
        self._last_run_ms = clock.monotonic_ms()
        self._resumed_ms = None
        self._held = collections.deque(maxlen=MAX_HELD_OPENINGS)

    def is_active(self):
        """Whether openings are held; called at least every 40 ms."""
        if not self._max_pause_ms:
            return False
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._last_run_ms >= self._max_pause_ms:
            self._resumed_ms = now_ms
            self._request_read(now_ms)
        self._last_run_ms = now_ms
        if self._resumed_ms is None:
            return False
        if (
            self._view.confirmation.is_confirmed_since(self._resumed_ms)
            or now_ms - self._resumed_ms >= MAX_HOLD_MS
        ):
            self._resumed_ms = None
        return self._resumed_ms is not None

    def put(self, opening):
        """Keep an opening packet; the oldest gives way if there are too many.

        Args:
            opening: Arguments with which it is handled later.
        """
        self._held.append(opening)

    def take_all(self):
        """Remove and return all that ``put`` has kept."""
        held = list(self._held)
        self._held.clear()
        return held


def make_opening_hold(clock, view, request_read, evacuation_ms):
    """Return a hold for a process that has just started.

    Args:
        clock: Clock.
        view: FleetView.
        request_read: As for OpeningHold.
        evacuation_ms: As for OpeningHold.
    """
    return OpeningHold(clock, view, request_read, evacuation_ms)
