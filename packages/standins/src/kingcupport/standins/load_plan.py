"""What the load tool sends."""

import attrs

from kingcupport.common import address as address_module


@attrs.frozen
class LoadTarget:
    """A service under load.

    Args:
        service: Name that its answers must give.
        address: Where callers reach it.
    """

    service: str
    address: address_module.Address


@attrs.frozen
class LoadPlan:
    """Connections, rate and mix of requests; all apply to each target.

    Args:
        targets: LoadTarget in a tuple.
        connections_count: Long-lived connections.
        rate_per_s: Mean number of requests a second.
        swing_factor: How many times higher the rate is at its peak than
            between the peaks; 1 keeps it constant.
        swing_period_ms: Time from one peak to the next; half of it is peak.
        duration_ms: Time during which requests are sent.
        keyed_percent: Share of POST requests with an ``Idempotency-Key``.
        unkeyed_percent: Share of POST requests without one.
        service_time_ms: Mean time that a request asks the server to take.
        straggler_percent: Share of requests that take longer.
        straggler_factor: How many times longer they take.
        long_target: Path of stragglers; the path of the others by default,
            so that nothing announces a straggler.
        answer_bytes: Length of the answers' filler.
        timeout_ms: The caller's timeout, sent with each request.
        max_attempts: Attempts under one key before the caller gives up.
    """

    targets: tuple
    connections_count: int = 50
    rate_per_s: float = 100
    swing_factor: float = 1
    swing_period_ms: float = 4000
    duration_ms: float = 10_000
    keyed_percent: float = 20
    unkeyed_percent: float = 0
    service_time_ms: float = 5
    straggler_percent: float = 1
    straggler_factor: float = 50
    long_target: str = '/visits'
    answer_bytes: int = 200
    timeout_ms: int = 10_000
    max_attempts: int = 6

    def rate_at(self, elapsed_ms):
        """Return the rate at a time since the start, in requests a second."""
        calm_per_s = 2 * self.rate_per_s / (1 + self.swing_factor)
        half_period_ms = self.swing_period_ms / 2
        peak = elapsed_ms % self.swing_period_ms >= half_period_ms
        return calm_per_s * self.swing_factor if peak else calm_per_s

    def arrivals_ms(self, random):
        """Yield the times of a Poisson process with the plan's rate.

        Candidates at the highest rate are thinned out, which keeps the
        process exact where the rate changes.

        Args:
            random: ``random.Random``.
        """
        highest_per_s = max(self.rate_at(0), self.rate_at(self._peak_ms()))
        elapsed_ms = 0.0
        while True:
            elapsed_ms += random.expovariate(highest_per_s) * 1000
            if elapsed_ms >= self.duration_ms:
                return
            if random.random() * highest_per_s < self.rate_at(elapsed_ms):
                yield elapsed_ms

    def _peak_ms(self):
        return self.swing_period_ms / 2
