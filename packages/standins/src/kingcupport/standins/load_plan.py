"""Configuration of the load generator."""

import attrs

from kingcupport.common import address as address_module


@attrs.frozen
class LoadTarget:
    """A service under load.

    Args:
        service: Name of the service, which its answers must state.
        address: Address to which callers connect.
    """

    service: str
    address: address_module.Address


@attrs.frozen
class LoadPlan:
    """Connections, rate and mix of requests, each for every target.

    Args:
        targets: Tuple of LoadTarget.
        connections_count: Number of persistent connections.
        rate_per_s: Mean number of requests per second.
        swing_factor: Ratio of the peak rate to the rate between peaks; 1
            keeps the rate constant.
        swing_period_ms: Time from one peak to the next; the second half of
            each period has the peak rate.
        duration_ms: Time during which requests are sent.
        keyed_percent: Share of POST requests with an ``Idempotency-Key``.
        unkeyed_percent: Share of POST requests without one.
        service_time_ms: Mean run time that requests ask the server for.
        straggler_percent: Share of requests with a longer run time.
        straggler_factor: Factor by which their run time is longer.
        long_target: Path of stragglers. By default it is the path of other
            requests, so that stragglers cannot be recognized beforehand.
        answer_bytes: Length of the answers' filler in bytes.
        timeout_ms: Timeout that is sent with each request.
        max_attempts: Maximum number of attempts under one key.
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
        """Return the rate in requests per second at a time since the start."""
        base_rate_per_s = 2 * self.rate_per_s / (1 + self.swing_factor)
        half_period_ms = self.swing_period_ms / 2
        is_peak = elapsed_ms % self.swing_period_ms >= half_period_ms
        return (
            base_rate_per_s * self.swing_factor if is_peak else base_rate_per_s
        )

    def arrivals_ms(self, random):
        """Yield the arrival times of a Poisson process with the plan's rate.

        Arrivals are generated at the peak rate and thinned out to the current
        rate, which is exact also where the rate changes.

        Args:
            random: ``random.Random``.
        """
        peak_rate_per_s = max(
            self.rate_at(0), self.rate_at(self._peak_start_ms())
        )
        elapsed_ms = 0.0
        while True:
            elapsed_ms += random.expovariate(peak_rate_per_s) * 1000
            if elapsed_ms >= self.duration_ms:
                return
            if random.random() * peak_rate_per_s < self.rate_at(elapsed_ms):
                yield elapsed_ms

    def _peak_start_ms(self):
        return self.swing_period_ms / 2
