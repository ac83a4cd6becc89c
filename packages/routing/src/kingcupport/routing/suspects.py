"""Hosts that recently failed to answer."""


class Suspects:
    """Set of hosts, each of which is avoided until a deadline.

    Args:
        clock: Clock for the deadlines.
        avoid_ms: How long a host is avoided after a failure.
    """

    def __init__(self, clock, avoid_ms):
        self._clock = clock
        self._avoid_ms = avoid_ms
        self._deadlines_ms = {}

    def __bool__(self):
        """Whether any host may be suspected at present."""
        return bool(self._deadlines_ms)

    def add(self, name):
        """Suspect a host for ``avoid_ms`` from now on."""
        self._deadlines_ms[name] = self._clock.monotonic_ms() + self._avoid_ms

    def __contains__(self, name):
        """Whether a host is suspected at present."""
        deadline_ms = self._deadlines_ms.get(name)
        if deadline_ms is None:
            return False
        if self._clock.monotonic_ms() >= deadline_ms:
            del self._deadlines_ms[name]
            return False
        return True
