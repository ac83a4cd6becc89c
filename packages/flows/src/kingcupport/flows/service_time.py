"""Measures how long a backend server takes for a request."""

import collections
import statistics

# The median of this many answers has a standard error of about a tenth, and a
# server of the planned fleet gives them within 2 s.
MAX_SAMPLES = 32
# Older answers may not describe the server any more.
MAX_SAMPLE_AGE_MS = 10_000
# Below this number of answers, the service time is not known.
MIN_SAMPLES = 4
# Balancers send a flow with the number of slots or with one more, depending on
# the load. A greater number than the least one replaces it after this time.
SLOTS_VALID_MS = 60_000


class ServiceTime:
    """The service time of one server: median time to the head of an answer.

    A request counts from the time at which the server has a free slot for it;
    the server is assumed to run requests in the order of their arrival. The
    median is robust to stragglers; failed answers are not passed in.

    Args:
        clock: Clock.

    Attributes:
        slots: Number of slots of the server; None until it is known.
        reference_ms: Service time before the latest ``discard``; None if it
            was not known.
    """

    def __init__(self, clock):
        self._clock = clock
        self._samples = collections.deque(maxlen=MAX_SAMPLES)
        # Start times of the requests in a slot, and the requests behind them.
        self._started_ms = {}
        self._queued = {}
        self._slots_seen_ms = 0.0
        self.slots = None
        self.reference_ms = None

    def on_slot_limit(self, limit):
        """Learn the number of slots from the limit of an opening packet."""
        now_ms = self._clock.monotonic_ms()
        if (
            self.slots is None
            or limit <= self.slots
            or now_ms - self._slots_seen_ms > SLOTS_VALID_MS
        ):
            self.slots = limit
            self._slots_seen_ms = now_ms

    def start(self, flow):
        """Record a request that is handed to the server."""
        if self.slots is None:
            return
        if len(self._started_ms) < self.slots:
            self._started_ms[flow] = self._clock.monotonic_ms()
        else:
            self._queued[flow] = None

    def stop(self, flow, *, is_success=False):
        """Record that a request has ended.

        Args:
            flow: Bytes that identify its flow.
            is_success: Whether the answer counts as a sample.
        """
        self._queued.pop(flow, None)
        started_ms = self._started_ms.pop(flow, None)
        if started_ms is None:
            return
        now_ms = self._clock.monotonic_ms()
        if is_success:
            self._samples.append((now_ms, now_ms - started_ms))
        if self._queued:
            following = next(iter(self._queued))
            del self._queued[following]
            self._started_ms[following] = now_ms

    def discard(self):
        """Discard the samples, because the server may have started again."""
        if self.is_known:
            self.reference_ms = self.median_ms()
        self._samples.clear()
        self._started_ms.clear()
        self._queued.clear()

    @property
    def sample_count(self):
        """Number of answers that the service time is derived from."""
        oldest_ms = self._clock.monotonic_ms() - MAX_SAMPLE_AGE_MS
        while self._samples and self._samples[0][0] < oldest_ms:
            self._samples.popleft()
        return len(self._samples)

    @property
    def is_known(self):
        """Whether there are enough answers."""
        return self.sample_count >= MIN_SAMPLES

    def median_ms(self):
        """Return the median service time in ms; 0 without an answer."""
        if not self.sample_count:
            return 0.0
        return float(statistics.median(ms for _, ms in self._samples))


def make_service_time(clock):
    """Return a ServiceTime without samples.

    Args:
        clock: Clock.
    """
    return ServiceTime(clock)
