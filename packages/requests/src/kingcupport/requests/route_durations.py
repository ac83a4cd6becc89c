"""Learned durations of the service's routes."""

import collections

MAX_ROUTES = 256
INITIAL_TYPICAL_MS = 20.0

# A route is long when it takes this many times the typical request.
LONG_FACTOR = 8

_SMOOTHING = 0.1
_TYPICAL_STEP = 1.02


class RouteDurations:
    """Moving average for each route and median over all requests.

    Args:
        max_routes: Number of routes kept; the least recently used goes.
    """

    def __init__(self, max_routes=MAX_ROUTES):
        self._max_routes = max_routes
        self._averages_ms = collections.OrderedDict()
        self._typical_ms = INITIAL_TYPICAL_MS

    def __len__(self):
        return len(self._averages_ms)

    def note(self, route, duration_ms):
        """Learn from one run.

        Args:
            route: ``Request.route``.
            duration_ms: How long the server took.
        """
        old_ms = self._averages_ms.pop(route, duration_ms)
        self._averages_ms[route] = old_ms + _SMOOTHING * (duration_ms - old_ms)
        if len(self._averages_ms) > self._max_routes:
            self._averages_ms.popitem(last=False)
        # Equal steps up and down settle at the median.
        if duration_ms > self._typical_ms:
            self._typical_ms *= _TYPICAL_STEP
        else:
            self._typical_ms /= _TYPICAL_STEP

    def expected_ms(self, route):
        """Return the expected duration; the median for an unknown route."""
        return self._averages_ms.get(route, self._typical_ms)

    def is_long(self, route):
        """Return whether a route takes many times the median."""
        return self.expected_ms(route) >= LONG_FACTOR * self._typical_ms
