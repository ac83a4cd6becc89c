"""Schedules which balancers read the configuration service, and when.

Each read is billed, and the rate limit of the service does not grow with the
fleet. Only a few balancers read; the others get the view from them.
"""

import functools

import xxhash

# A withdrawn server may get new flows for at most 3,000 ms, and a
# configuration must be in force within 3,000 ms. One read a second leaves time
# for another balancer to take over and for the view to reach the rest.
READ_INTERVAL_MS = 1_000
# Delay that each rank adds before a balancer reads a view that nobody has
# confirmed.
RANK_DELAY_MS = 300
# The delay does not grow beyond this rank.
MAX_DELAYED_RANK = 3
# A reader that has sent no greeting for this long does not count in the rank.
READER_EXPIRES_MS = 4_000
# Least time between two reads that a decision has asked for.
REQUESTED_READ_INTERVAL_MS = 250
# Exponential backoff after failed reads.
INITIAL_BACKOFF_MS = 400
# Every balancer reads once to settle after a restore; these reads are spread
# over this time, so that they stay below the rate limit of the service.
SETTLING_SPREAD_MS = 1_000
MAX_BACKOFF_MS = 3_000


class ReadSchedule:
    """The read schedule of one balancer.

    Balancers are ranked by a hash of their names. The first one reads at the
    interval; each further one waits longer for the view to be confirmed.

    Args:
        clock: Clock.
        rng: random.Random, for the jitter of the backoff.
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
        self._backoff_until_ms = 0.0
        self._started_ms = clock.monotonic_ms()
        self._last_read_ms = -REQUESTED_READ_INTERVAL_MS

    @property
    def is_reading(self):
        """Whether this balancer's last read succeeded."""
        return self._failures == 0

    def on_peer_greeting(self, name, is_reading):
        """Record a greeting of another balancer.

        Args:
            name: Name of the balancer.
            is_reading: Whether its own reads succeed.
        """
        if is_reading:
            self._readers[name] = (
                self._clock.monotonic_ms() + READER_EXPIRES_MS
            )
        else:
            self._readers.pop(name, None)

    def on_start(self):
        """Record that a read starts."""
        self._last_read_ms = self._clock.monotonic_ms()

    def on_success(self):
        """Record a successful read."""
        self._failures = 0
        self._backoff_until_ms = 0.0

    def on_failure(self):
        """Record a failed read and back off."""
        self._failures += 1
        backoff_ms = min(
            MAX_BACKOFF_MS,
            INITIAL_BACKOFF_MS * 2 ** (min(self._failures, 8) - 1),
        )
        self._backoff_until_ms = self._clock.monotonic_ms() + (
            backoff_ms * self._rng.uniform(0.7, 1.3)
        )

    def rank(self):
        """Return the number of live readers ranked before this one."""
        now_ms = self._clock.monotonic_ms()
        live = [
            name
            for name, deadline_ms in self._readers.items()
            if deadline_ms > now_ms and name != self._name
        ]
        own_hash = _name_hash(self._name)
        return sum(1 for name in live if _name_hash(name) > own_hash)

    def next_read_ms(self):
        """Return the time of the next read, in ms on the monotonic clock."""
        confirmed_ms = self._view.confirmation.confirmed_ms
        if confirmed_ms is None:
            due_ms = self._started_ms
        else:
            delay_ranks = (
                MAX_DELAYED_RANK
                if self._failures
                else min(self.rank(), MAX_DELAYED_RANK)
            )
            due_ms = (
                confirmed_ms + READ_INTERVAL_MS + delay_ranks * RANK_DELAY_MS
            )
        settle_due_ms = self._view.settle_due_ms
        if settle_due_ms is not None:
            spread_ms = _name_hash(self._name) % SETTLING_SPREAD_MS
            due_ms = min(due_ms, settle_due_ms + spread_ms)
        wanted_read_ms = self._view.confirmation.wanted_read_ms
        if wanted_read_ms is not None:
            earliest_ms = max(
                self._last_read_ms + REQUESTED_READ_INTERVAL_MS,
                settle_due_ms or 0.0,
            )
            due_ms = min(due_ms, max(wanted_read_ms, earliest_ms))
        return max(due_ms, self._backoff_until_ms)


# Called for every known balancer on each look at the schedule.
@functools.lru_cache(maxsize=2_048)
def _name_hash(name):
    return xxhash.xxh3_64_intdigest(name.encode())


def make_read_schedule(clock, rng, name, view):
    """Return the read schedule of one balancer.

    Args:
        clock: Clock.
        rng: random.Random, for the jitter of the backoff.
        name: Name of the balancer.
        view: FleetView.
    """
    return ReadSchedule(clock, rng, name, view)
