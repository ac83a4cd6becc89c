"""Which servers are cold and belong to a service with a rate for them."""

import collections

# Each opening packet renews the limit for this time. A longer time would slow
# a warm server down: a balancer that started late does not know how long a
# server has been cold. A shorter one could end before a balancer with an older
# view, which takes the server as warm, has the current one.
MAX_REMAINING_COLD_MS = 3_000
# A view that was confirmed within this time has the server's own word.
MAX_VIEW_AGE_MS = 2_500
# A server that has declined an opening packet is tried again after the mean
# time between two openings, within these limits.
MIN_PAUSE_MS = 20
MAX_PAUSE_MS = 1_000
MAX_KNOWN_SERVERS = 1_024


class ColdServers:
    """The rates of cold servers, for the opening packets of one balancer.

    The server says itself when it is no longer cold. While the store is down,
    it counts as warm ``cold_ms`` after the first opening packet that this
    balancer has sent to it, which is later than its start.

    Args:
        clock: Clock.
        view: FleetView.
        index: ServerIndex.
    """

    def __init__(self, clock, view, index):
        self._clock = clock
        self._view = view
        self._index = index
        # First opening packet by name and start of the server.
        self._first_ms = collections.OrderedDict()

    def pace(self, ip):
        """Return the rate of a cold server and how long it is still cold.

        Args:
            ip: Address of the server's instance.

        Returns:
            ``(openings_per_s, remaining_cold_ms)``, or None if it has no
            limit.
        """
        limits = self._view.configuration.cold_limits
        if not limits:
            return None
        server = self._index.by_ip.get(ip)
        if server is None or not server.is_cold:
            return None
        limit = limits.get(server.service)
        if limit is None:
            return None
        openings_per_s, cold_ms = limit
        now_ms = self._clock.monotonic_ms()
        key = (server.name, server.boot_utc_ms)
        first_ms = self._first_ms.setdefault(key, now_ms)
        if len(self._first_ms) > MAX_KNOWN_SERVERS:
            self._first_ms.popitem(last=False)
        age_ms = self._view.confirmation.age_ms()
        has_old_view = age_ms is None or age_ms > MAX_VIEW_AGE_MS
        if has_old_view and 0 < cold_ms <= now_ms - first_ms:
            return None
        return openings_per_s, min(cold_ms, MAX_REMAINING_COLD_MS) or (
            MAX_REMAINING_COLD_MS
        )

    def pause_ms(self, service):
        """Return how long to spare a server that is at its limit.

        Args:
            service: Name of its service.
        """
        limit = self._view.configuration.cold_limits.get(service)
        if limit is None:
            return MAX_PAUSE_MS
        return min(MAX_PAUSE_MS, max(MIN_PAUSE_MS, 1_000 / limit[0]))


def make_cold_servers(clock, view, index):
    """Return the cold servers of a view.

    Args:
        clock: Clock.
        view: FleetView.
        index: ServerIndex.
    """
    return ColdServers(clock, view, index)
