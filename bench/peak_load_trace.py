"""Trace, ideal queues and summary of the peak load benchmark."""

import bisect
import random

import attrs
from hdrh import histogram

SEED = 20261204
SHORT_ROUTES = (
    ('GET', '/gate', 10),
    ('GET', '/tickets', 20),
    ('POST', '/book', 30),
)
MEAN_SHORT_MS = 20
STRAGGLER_FACTOR = 50
STRAGGLER_SHARE = 0.01
DEADLINES_MS = (2000, 4000, 8000)

# One period of the load: low, ramp up, peak, ramp down. Within each ramp of
# 0.5 s the load changes by a factor of 5.
LOW_MS, RAMP_MS, PEAK_MS = 1500, 500, 3500
PERIOD_MS = LOW_MS + 2 * RAMP_MS + PEAK_MS
PERIOD_COUNT = 4
PEAK_TO_LOW_RATIO = 5


@attrs.frozen
class Deployment:
    """Size of a service and the latency between its agents."""

    hosts: int
    slots: int
    latency_ms: float


DEPLOYMENTS = {
    'ticketing': Deployment(7, 1, 0.5),
    'membership': Deployment(7, 2, 1.0),
}


@attrs.define
class Arrival:
    """One request of the trace; times in milliseconds."""

    number: int
    at_ms: float
    home_host: int
    method: str
    target: str
    service_ms: float
    timeout_ms: int
    long: bool
    at_peak: bool
    latency_ms: float = -1
    outcome: str = ''
    runs: list = attrs.field(factory=list)


def make_trace(deployment, level, hidden, seed=SEED):
    """Return the arrivals of a Poisson process with a periodic rate."""
    rng = random.Random(seed)
    mean_ms = MEAN_SHORT_MS * (1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1))
    capacity = deployment.hosts * deployment.slots / mean_ms
    trace = []
    at_ms = 0.0
    while True:
        # Thinning: draw arrivals at the peak rate and keep the share that
        # corresponds to the current rate.
        at_ms += rng.expovariate(capacity * level)
        if at_ms >= PERIOD_COUNT * PERIOD_MS:
            return trace
        if rng.random() > _share_of_peak(at_ms):
            continue
        long = rng.random() < STRAGGLER_SHARE
        method, target, route_ms = rng.choice(SHORT_ROUTES)
        service_ms = route_ms * rng.uniform(0.5, 1.5)
        if long:
            service_ms = (
                MEAN_SHORT_MS * STRAGGLER_FACTOR * rng.uniform(0.8, 1.2)
            )
            if not hidden:
                method, target = 'GET', '/report'
        trace.append(
            Arrival(
                len(trace),
                at_ms,
                rng.randrange(deployment.hosts),
                method,
                target,
                service_ms,
                rng.choice(DEADLINES_MS),
                long,
                _share_of_peak(at_ms) == 1,
            )
        )


def _share_of_peak(at_ms):
    phase_ms = at_ms % PERIOD_MS
    if phase_ms < LOW_MS:
        return 1 / PEAK_TO_LOW_RATIO
    if phase_ms < LOW_MS + RAMP_MS:
        return (
            1 / PEAK_TO_LOW_RATIO
            + (1 - 1 / PEAK_TO_LOW_RATIO) * (phase_ms - LOW_MS) / RAMP_MS
        )
    if phase_ms < LOW_MS + RAMP_MS + PEAK_MS:
        return 1
    return (
        1 / PEAK_TO_LOW_RATIO
        + (1 - 1 / PEAK_TO_LOW_RATIO) * (PERIOD_MS - phase_ms) / RAMP_MS
    )


def replay_ideal(deployment, trace, capped):
    """Replay on one first-come queue without latency, computed exactly.

    With ``capped``, at most 40 % of the slots run long requests, which are
    known in advance, and other requests overtake the long ones that wait.
    """
    slots = deployment.hosts * deployment.slots
    permits = round(slots * 0.4) if capped else slots
    free = list(range(slots))
    running = []
    queue = []
    arrivals = list(reversed(trace))
    now_ms = 0.0
    while arrivals or queue or running:
        next_end = running[0][0] if running else float('inf')
        next_arrival = arrivals[-1].at_ms if arrivals else float('inf')
        now_ms = min(next_end, next_arrival)
        if now_ms == next_arrival:
            queue.append(arrivals.pop())
        else:
            _, slot, ended = running.pop(0)
            free.append(slot)
            permits += ended.long
            ended.latency_ms = now_ms - ended.at_ms
            ended.outcome = 'ran'
        index = 0
        while free and index < len(queue):
            arrival = queue[index]
            if arrival.long and not permits and capped:
                index += 1
                continue
            del queue[index]
            left_ms = arrival.at_ms + arrival.timeout_ms - now_ms
            if left_ms < arrival.service_ms:
                arrival.outcome = 'not-run'
                arrival.latency_ms = now_ms - arrival.at_ms
                continue
            permits -= arrival.long
            slot = free.pop(0)
            end_ms = now_ms + arrival.service_ms
            arrival.runs.append((slot // deployment.slots, now_ms, end_ms))
            bisect.insort(running, (end_ms, slot, arrival))
    return {'calls_per_s': 0, 'kb_per_s': 0}


def summarize(deployment, trace):
    """Return the figures of one completed replay."""
    short_requests = [a for a in trace if not a.long and a.at_peak]
    answered = [a for a in short_requests if a.outcome == 'ran']
    busy_ms = [0.0] * deployment.hosts
    for arrival in trace:
        for host, started_ms, ended_ms in arrival.runs:
            busy_ms[host] += ended_ms - started_ms
    latencies = histogram.HdrHistogram(1, 60_000_000, 3)
    shares = histogram.HdrHistogram(1, 10_000_000, 3)
    for arrival in answered:
        latencies.record_value(max(1, int(arrival.latency_ms * 1000)))
        share = arrival.latency_ms / arrival.timeout_ms
        shares.record_value(max(1, int(share * 1_000_000)))
    long_requests = [a for a in trace if a.long and a.at_peak]
    return {
        'requests': len(trace),
        'goodput_percent': 100 * _goodput_share(deployment, trace),
        'short_p50_ms': latencies.get_value_at_percentile(50) / 1000,
        'short_p99_ms': latencies.get_value_at_percentile(99) / 1000,
        'short_p999_ms': latencies.get_value_at_percentile(99.9) / 1000,
        'p99_deadline_percent': shares.get_value_at_percentile(99) / 10_000,
        'imbalance': max(busy_ms) / (sum(busy_ms) / len(busy_ms)),
        'short_answered_percent': 100 * len(answered) / len(short_requests),
        'long_answered_percent': 100
        * sum(a.outcome == 'ran' for a in long_requests)
        / max(1, len(long_requests)),
        'refused': sum(a.outcome == 'not-run' for a in trace),
        'unknown': sum(a.outcome == 'unknown' for a in trace),
        'unanswered': sum(a.outcome == '' for a in trace),
    }


def _goodput_share(deployment, trace):
    """Return the share of peak capacity used for answered requests."""
    useful_ms = 0.0
    for period in range(PERIOD_COUNT):
        start_ms = period * PERIOD_MS + LOW_MS + RAMP_MS
        end_ms = start_ms + PEAK_MS
        for arrival in trace:
            if arrival.outcome == 'ran':
                useful_ms += sum(
                    max(0, min(ended_ms, end_ms) - max(started_ms, start_ms))
                    for _, started_ms, ended_ms in arrival.runs
                )
    slots = deployment.hosts * deployment.slots
    return useful_ms / (PERIOD_COUNT * PEAK_MS * slots)
