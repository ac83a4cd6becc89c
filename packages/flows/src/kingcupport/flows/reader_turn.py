"""Decides which of the balancers reads the configuration service, and when.

Readings are paid for one by one, and the service's rate does not grow with
the fleet: a few balancers read, the others learn from them.
"""

import xxhash

# A withdrawn server may get new flows for 3,000 ms, and a configuration must
# be in force after 3,000 ms: one reading each second leaves room for a
# second reader to step in and for the way to the others.
READ_INTERVAL_MS = 1_000
# How much longer each further balancer waits for a view to be confirmed.
STEP_MS = 300
# Balancers beyond this rank wait no longer than this one.
MAX_STEPS = 3
# A peer that was not heard of for so long is not waited for.
PEER_EXPIRES_MS = 4_000
# Pauses after failed readings.
FIRST_PAUSE_MS = 400
MAX_PAUSE_MS = 3_000


class ReaderTurn:
    """The turn of one balancer.

    Args:
        clock: Clock.
        rng: random.Random, for pauses.
        name: Name of the balancer.
        view: FleetView.
    """

    def __init__(self, clock, rng, name, view):
        self._clock = clock
        self._rng = rng
        self._name = name
        self._view = view
        self._readers = {}
        self._failures = 0
        self._paused_until_ms = 0.0
        self._started_ms = clock.monotonic_ms()

    @property
    def is_reading(self):
        """Whether this balancer's last reading succeeded."""
        return self._failures == 0

    def on_peer(self, name, is_reading):
        """Note that a balancer is alive.

        Args:
            name: Its name.
            is_reading: Whether its own readings succeed.
        """
        if is_reading:
            self._readers[name] = self._clock.monotonic_ms() + PEER_EXPIRES_MS
        else:
            self._readers.pop(name, None)

    def on_success(self):
        """Note that a reading succeeded."""
        self._failures = 0
        self._paused_until_ms = 0.0

    def on_failure(self):
        """Note that a reading failed."""
        self._failures += 1
        pause_ms = min(
            MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (min(self._failures, 8) - 1)
        )
        self._paused_until_ms = self._clock.monotonic_ms() + (
            pause_ms * self._rng.uniform(0.7, 1.3)
        )

    def rank(self):
        """Return how many balancers are to read before this one."""
        now_ms = self._clock.monotonic_ms()
        live = [
            name
            for name, deadline_ms in self._readers.items()
            if deadline_ms > now_ms and name != self._name
        ]
        own = _draw(self._name)
        return sum(1 for name in live if _draw(name) > own)

    def next_read_ms(self):
        """Return when this balancer is to read, on the monotonic clock."""
        confirmed_ms = self._view.confirmed_ms
        if confirmed_ms is None:
            due_ms = self._started_ms
        else:
            steps = (
                MAX_STEPS if self._failures else min(self.rank(), MAX_STEPS)
            )
            due_ms = confirmed_ms + READ_INTERVAL_MS + steps * STEP_MS
        return max(due_ms, self._paused_until_ms)


def _draw(name):
    return xxhash.xxh3_64_intdigest(name.encode())


def make_reader_turn(clock, rng, name, view):
    """Return the turn of one balancer.

    Args:
        clock: Clock.
        rng: random.Random, for pauses.
        name: Name of the balancer.
        view: FleetView.
    """
    return ReaderTurn(clock, rng, name, view)
