"""Average durations of a service's routes."""

import collections

MAX_ROUTES = 256
INITIAL_MEDIAN_MS = 20.0

# A route is long if its average is at least this many times the median.
LONG_ROUTE_FACTOR = 8

_SMOOTHING_FACTOR = 0.1
_MEDIAN_STEP_FACTOR = 1.02


class RouteDurations:
    """Moving average of each route's duration and median of all requests.

    Args:
        max_routes: Maximum number of routes; the least recently run one is
            evicted.
    """

    def __init__(self, max_routes=MAX_ROUTES):
        self._max_routes = max_routes
        self._averages_ms = collections.OrderedDict()
        self._median_ms = INITIAL_MEDIAN_MS

    def __len__(self):
        return len(self._averages_ms)

    def record(self, route, duration_ms):
        """Add the duration of one run.

        Args:
            route: ``Request.route``.
            duration_ms: Duration of the run on the server.
        """
        average_ms = self._averages_ms.pop(route, duration_ms)
        self._averages_ms[route] = average_ms + _SMOOTHING_FACTOR * (
            duration_ms - average_ms
        )
        if len(self._averages_ms) > self._max_routes:
            self._averages_ms.popitem(last=False)
        # Steps of equal size up and down converge to the median.
        if duration_ms > self._median_ms:
            self._median_ms *= _MEDIAN_STEP_FACTOR
        else:
            self._median_ms /= _MEDIAN_STEP_FACTOR

    def expected_ms(self, route):
        """Return a route's average duration; the median if it is unknown."""
        return self._averages_ms.get(route, self._median_ms)

    def is_long(self, route):
        """Return whether a route takes many times the median."""
        return self.expected_ms(route) >= LONG_ROUTE_FACTOR * self._median_ms
