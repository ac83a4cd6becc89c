"""Limit on the opening packets that a cold server gets in any second."""

import collections
import math

WINDOW_MS = 1_000
MAX_OPENINGS_PER_S = 1_000_000
MAX_COLD_MS = 24 * 3_600 * 1_000
# Openings of one second that are kept; a higher limit counts as this one. A
# server processes a few hundred requests a second at most.
MAX_KEPT_OPENINGS = 4_096
# The bound of the platform: at most `excess` times the rate plus `slack`
# opening packets in any second.
DEFAULT_EXCESS = 1.5
DEFAULT_SLACK = 5.0


class ColdLimit:
    """A sliding window over the opening packets handed to one server.

    The packets are counted also while no limit is in force, because a limit
    applies to the second before it became known. A process that has just
    started does not know what the server got before, and takes the window as
    used up.

    Args:
        clock: Clock.
        excess: Factor on the rate that may never be exceeded.
        slack: Number of packets on top of that.
    """

    def __init__(self, clock, excess=DEFAULT_EXCESS, slack=DEFAULT_SLACK):
        self._clock = clock
        self._excess = excess
        self._slack = slack
        self._unknown_until_ms = clock.monotonic_ms() + WINDOW_MS
        self._openings_ms = collections.deque(maxlen=MAX_KEPT_OPENINGS)
        self._limit = 0
        self._ends_ms = None

    @property
    def limit(self):
        """Greatest number of openings in a second; None without a limit."""
        if (
            self._ends_ms is not None
            and self._clock.monotonic_ms() >= self._ends_ms
        ):
            self._ends_ms = None
        return None if self._ends_ms is None else self._limit

    def set(self, openings_per_s, remaining_cold_ms):
        """Put a limit into force; one that ends later keeps its end.

        Args:
            openings_per_s: Opening packets a second that the server can take;
                ignored unless it is a positive number up to
                ``MAX_OPENINGS_PER_S``.
            remaining_cold_ms: How long the server is still cold.

        Returns:
            Whether the limit was put into force.
        """
        if (
            not 0 < openings_per_s <= MAX_OPENINGS_PER_S
            or remaining_cold_ms <= 0
        ):
            return False
        bound = math.floor(openings_per_s * self._excess + self._slack)
        self._limit = min(math.ceil(openings_per_s), bound, MAX_KEPT_OPENINGS)
        self._ends_ms = max(
            self._ends_ms or 0.0,
            self._clock.monotonic_ms() + min(remaining_cold_ms, MAX_COLD_MS),
        )
        return True

    def has_room(self):
        """Whether the server may get another opening packet now."""
        limit = self.limit
        if limit is None:
            return True
        now_ms = self._clock.monotonic_ms()
        if now_ms <= self._unknown_until_ms:
            return False
        self._drop_old(now_ms)
        return len(self._openings_ms) < limit

    def on_opening(self):
        """Count an opening packet that was handed to the server."""
        now_ms = self._clock.monotonic_ms()
        self._drop_old(now_ms)
        self._openings_ms.append(now_ms)

    def _drop_old(self, now_ms):
        while self._openings_ms and now_ms - self._openings_ms[0] > WINDOW_MS:
            self._openings_ms.popleft()


def make_cold_limit(clock, excess=DEFAULT_EXCESS, slack=DEFAULT_SLACK):
    """Return the window of a server whose former openings are unknown.

    Args:
        clock: Clock.
        excess: As for ColdLimit.
        slack: As for ColdLimit.
    """
    return ColdLimit(clock, excess, slack)
