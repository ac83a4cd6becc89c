"""Measures request scheduling at peak load; prints and saves a table.

Every variant replays the same trace in real time through the shipped
RequestScheduler; servers are tasks that sleep. Variants run in child
processes, a few at a time. One run takes under four minutes.
"""

import argparse
import bisect
import concurrent.futures
import json
import pathlib
import random
import subprocess
import sys

import attrs
import gevent
from hdrh import histogram

from kingcupport.common import clock as clock_module
from kingcupport.control import peer_caller
from kingcupport.requests import answer
from kingcupport.requests import backend_port
from kingcupport.requests import peer_loads
from kingcupport.requests import request as request_module
from kingcupport.requests import scheduler
from kingcupport.requests import scheduler_settings
from kingcupport.requests import service_view
from kingcupport.requests import work_sharing
from kingcupport.wire import message_codec
from kingcupport.wire import work_messages

SEED = 20261204
SHORT_ROUTES = (('GET', '/gate', 10), ('GET', '/tickets', 20))
SHORT_ROUTES = (*SHORT_ROUTES, ('POST', '/book', 30))
MEAN_SHORT_MS = 20
STRAGGLER_FACTOR = 50
STRAGGLER_SHARE = 0.01
DEADLINES_MS = (2000, 4000, 8000)

# One period of the load: low, ramp up, peak, ramp down. The load changes by
# a factor of 5 within 0.5 s.
LOW_MS, RAMP_MS, PEAK_MS = 1500, 500, 3500
PERIOD_MS = LOW_MS + 2 * RAMP_MS + PEAK_MS
PERIODS = 4
SWING = 5

LEVELS = (0.75, 1.5)
REPORT_INTERVAL_MS = 500
LATE_REPORT_MS = 5000
PROCESSES = 5

_PLAIN = {'admission': False, 'share_work': False, 'cap_long_work': False}
_FIRST = {'order': 'first_come', **_PLAIN}
VARIANTS = {
    'random': _FIRST,
    'round_robin': _FIRST,
    'least_reported': _FIRST,
    'deadline_order': {**_PLAIN, 'order': 'deadline'},
    'short_first': {**_PLAIN, 'order': 'short_first'},
    'admission': {**_FIRST, 'admission': True},
    'late_binding': {**_FIRST, 'share_work': True},
    'long_cap': {**_FIRST, 'cap_long_work': True},
    'all': {},
}
IDEALS = ('ideal_queue', 'ideal_capped')


@attrs.frozen
class Deployment:
    """Shape of a service and the latency between its agents."""

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
    home: int
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
    """Return the arrivals of a Poisson process with a swinging rate."""
    rng = random.Random(seed)
    mean_ms = MEAN_SHORT_MS * (1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1))
    capacity = deployment.hosts * deployment.slots / mean_ms
    trace = []
    at_ms = 0.0
    while True:
        # Thinning: draw at the peak rate and keep the share that is due.
        at_ms += rng.expovariate(capacity * level)
        if at_ms >= PERIODS * PERIOD_MS:
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
        return 1 / SWING
    if phase_ms < LOW_MS + RAMP_MS:
        return 1 / SWING + (1 - 1 / SWING) * (phase_ms - LOW_MS) / RAMP_MS
    if phase_ms < LOW_MS + RAMP_MS + PEAK_MS:
        return 1
    return 1 / SWING + (1 - 1 / SWING) * (PERIOD_MS - phase_ms) / RAMP_MS


class SleepingServer(backend_port.BackendPort):
    """Stands for a backend server: sleeps as long as the request runs."""

    def __init__(self, host, trace, clock, start_ms):
        self._host = host
        self._trace = trace
        self._clock = clock
        self._start_ms = start_ms

    def run(self, request):
        """Sleep and note the interval."""
        arrival = self._trace[int(request.request_id)]
        begun_ms = self._clock.monotonic_ms()
        remaining_ms = request.deadline_ms - begun_ms
        gevent.sleep(max(0, min(arrival.service_ms, remaining_ms)) / 1000)
        ended_ms = self._clock.monotonic_ms()
        arrival.runs.append(
            (self._host, begun_ms - self._start_ms, ended_ms - self._start_ms)
        )
        if remaining_ms < arrival.service_ms:
            raise backend_port.OutcomeUnknownError('late', step='run')
        return answer.Answer(200, (), b'')


class DelayingCaller(peer_caller.PeerCaller):
    """Calls handlers of the same process after a one-way latency."""

    def __init__(self, name, latency_ms, handlers, misreport):
        self._name = name
        self._latency_ms = latency_ms
        self._handlers = handlers
        self._misreport = misreport
        self.calls = 0
        self.bytes = 0

    def call(self, peer, message, deadline_ms):
        """Deliver the message and the reply through the wire codec."""
        self.calls += 1
        message = self._transport(message)
        handler = self._handlers[peer][type(message)]
        return self._transport(handler(message, self._name))

    def _transport(self, message):
        message = self._misreport(message)
        data = message_codec.encode_message(message)
        self.bytes += len(data)
        gevent.sleep(self._latency_ms / 1000)
        return message_codec.decode_message(data)


class Misreporting:
    """Makes one agent's load report lag and another one always idle."""

    def __init__(self, clock):
        self._clock = clock
        self._history = []

    def __call__(self, message):
        """Return the message as it is sent."""
        if not isinstance(message, work_messages.LoadReport):
            return message
        if message.sender == 'host1':
            return attrs.evolve(message, queued=0, running=0)
        if message.sender == 'host0':
            now_ms = self._clock.monotonic_ms()
            self._history.append((now_ms, message.queued, message.running))
            _, queued, running = self._at(now_ms - LATE_REPORT_MS)
            return attrs.evolve(message, queued=queued, running=running)
        return message

    def _at(self, at_ms):
        index = bisect.bisect_right(self._history, (at_ms, 1e9, 1e9)) - 1
        return self._history[index] if index >= 0 else (0, 0, 0)


class ReportedLoads:
    """Loads as a balancer polls them from the servers' load endpoints."""

    def __init__(self, schedulers):
        self._schedulers = schedulers
        self._history = [[] for _ in schedulers]
        self.loads = [0] * len(schedulers)

    def poll(self):
        """Refresh forever; host 0 lags and host 1 always says idle."""
        lag = LATE_REPORT_MS // REPORT_INTERVAL_MS
        while True:
            for host, item in enumerate(self._schedulers):
                self._history[host].append(item.queued + item.running)
            self.loads = [history[-1] for history in self._history]
            self.loads[0] = (self._history[0][:-lag] or [0])[-1]
            self.loads[1] = 0
            gevent.sleep(REPORT_INTERVAL_MS / 1000)


def replay(deployment, variant, trace):
    """Run one variant and fill in the arrivals' results."""
    clock = clock_module.make_system_clock()
    start_ms = clock.monotonic_ms()
    settings = scheduler_settings.SchedulerSettings(**VARIANTS[variant])
    names = tuple(f'host{n}' for n in range(deployment.hosts))
    view = service_view.ServiceView(
        'service', 1, names, deployment.hosts * deployment.slots, 40
    )
    handlers, callers, schedulers = {}, [], []
    misreport = Misreporting(clock)
    for host, name in enumerate(names):
        caller = DelayingCaller(
            name, deployment.latency_ms, handlers, misreport
        )
        callers.append(caller)
        sharing = None
        if settings.share_work or settings.cap_long_work:
            sharing = work_sharing.make_work_sharing(
                name,
                caller,
                clock,
                random.Random(SEED + host),
                lambda: view,
                peer_loads.PeerLoads(clock, lambda: 0),
            )
        schedulers.append(
            scheduler.RequestScheduler(
                SleepingServer(host, trace, clock, start_ms),
                clock,
                deployment.slots,
                settings,
                sharing,
            )
        )
        handlers[name] = sharing.handlers() if sharing else {}
    reported = ReportedLoads(schedulers)
    poller = gevent.spawn(reported.poll)
    place = _make_placement(variant, deployment, reported)
    tasks = []
    for arrival in trace:
        clock.sleep_until(start_ms + arrival.at_ms)
        tasks.append(
            gevent.spawn(
                _submit, schedulers[place(arrival)], arrival, clock, start_ms
            )
        )
    gevent.joinall(tasks, timeout=max(DEADLINES_MS) / 1000 + 1)
    poller.kill()
    seconds = (clock.monotonic_ms() - start_ms) / 1000
    return {
        'calls_per_s': sum(c.calls for c in callers) / seconds / len(names),
        'kb_per_s': sum(c.bytes for c in callers) / seconds / len(names) / 1e3,
    }


def _make_placement(variant, deployment, reported):
    rng = random.Random(SEED)
    if variant == 'round_robin':
        return lambda arrival: arrival.number % deployment.hosts
    if variant == 'least_reported':
        return lambda arrival: min(
            range(deployment.hosts),
            key=lambda host: (reported.loads[host], rng.random()),
        )
    return lambda arrival: arrival.home


def _submit(item, arrival, clock, start_ms):
    due_ms = start_ms + arrival.at_ms
    result = item.submit(
        request_module.Request(
            str(arrival.number),
            arrival.method,
            arrival.target,
            (),
            b'',
            '',
            due_ms + arrival.timeout_ms,
        )
    )
    arrival.latency_ms = clock.monotonic_ms() - due_ms
    arrival.outcome = str(result.outcome)


def replay_ideal(deployment, trace, capped):
    """Replay on one first-come queue without latency, computed exactly.

    With ``capped``, 40 % of the slots at most hold long work, which is known
    beforehand, and the other requests pass the ones that wait for it.
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
    """Return the figures of one finished replay."""
    shorts = [a for a in trace if not a.long and a.at_peak]
    in_time = [a for a in shorts if a.outcome == 'ran']
    busy_ms = [0.0] * deployment.hosts
    for arrival in trace:
        for host, begun_ms, ended_ms in arrival.runs:
            busy_ms[host] += ended_ms - begun_ms
    latencies = histogram.HdrHistogram(1, 60_000_000, 3)
    shares = histogram.HdrHistogram(1, 10_000_000, 3)
    for arrival in in_time:
        latencies.record_value(max(1, int(arrival.latency_ms * 1000)))
        share = arrival.latency_ms / arrival.timeout_ms
        shares.record_value(max(1, int(share * 1_000_000)))
    longs = [a for a in trace if a.long and a.at_peak]
    return {
        'requests': len(trace),
        'goodput_percent': 100 * _good_work(deployment, trace),
        'short_p50_ms': latencies.get_value_at_percentile(50) / 1000,
        'short_p99_ms': latencies.get_value_at_percentile(99) / 1000,
        'short_p999_ms': latencies.get_value_at_percentile(99.9) / 1000,
        'p99_deadline_percent': shares.get_value_at_percentile(99) / 10_000,
        'imbalance': max(busy_ms) / (sum(busy_ms) / len(busy_ms)),
        'short_answered_percent': 100 * len(in_time) / len(shorts),
        'long_answered_percent': 100
        * sum(a.outcome == 'ran' for a in longs)
        / max(1, len(longs)),
        'refused': sum(a.outcome == 'not-run' for a in trace),
        'unknown': sum(a.outcome == 'unknown' for a in trace),
        'unanswered': sum(a.outcome == '' for a in trace),
    }


def _good_work(deployment, trace):
    """Return work at the peaks of answered requests over the capacity."""
    good_ms = 0.0
    for period in range(PERIODS):
        start_ms = period * PERIOD_MS + LOW_MS + RAMP_MS
        end_ms = start_ms + PEAK_MS
        for arrival in trace:
            if arrival.outcome == 'ran':
                good_ms += sum(
                    max(0, min(ended, end_ms) - max(begun, start_ms))
                    for _, begun, ended in arrival.runs
                )
    slots = deployment.hosts * deployment.slots
    return good_ms / (PERIODS * PEAK_MS * slots)


def run_one(service, level, variant, hidden):
    """Run one variant in this process and return its figures."""
    deployment = DEPLOYMENTS[service]
    trace = make_trace(deployment, level, hidden)
    if variant in IDEALS:
        extra = replay_ideal(deployment, trace, variant == 'ideal_capped')
    else:
        extra = replay(deployment, variant, trace)
    return {
        'service': service,
        'level': level,
        'variant': variant,
        **summarize(deployment, trace),
        **extra,
    }


def _run_child(service, level, variant, hidden):
    command = [sys.executable, __file__, '--one', service, str(level), variant]
    if hidden:
        command.append('--hidden')
    done = subprocess.run(command, check=True, capture_output=True, text=True)
    if done.stderr:
        # gevent prints the errors of background tasks and goes on.
        raise RuntimeError(f'{variant} printed {done.stderr[-2000:]}')
    return json.loads(done.stdout)


def _format(rows):
    columns = [c for c in rows[0] if c not in ('service', 'level')]
    lines = []
    groups = sorted({(row['service'], row['level']) for row in rows})
    for group in groups:
        lines.append(f'\n{group[0]} at {group[1]} of capacity')
        lines.append(' '.join(f'{c:>14.14}' for c in columns))
        for row in rows:
            if (row['service'], row['level']) == group:
                cells = (row[c] for c in columns)
                lines.append(
                    ' '.join(
                        f'{c:>14.2f}' if isinstance(c, float) else f'{c:>14}'
                        for c in cells
                    )
                )
    return '\n'.join(lines)


def main():
    """Run the variants and print, or save, the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--one', nargs=3, help='service, level and variant')
    parser.add_argument('--variants', nargs='*')
    parser.add_argument('--services', nargs='*', default=list(DEPLOYMENTS))
    parser.add_argument('--levels', nargs='*', type=float, default=LEVELS)
    parser.add_argument(
        '--hidden',
        action='store_true',
        help='stragglers come on the routes of short requests',
    )
    parser.add_argument('--processes', type=int, default=PROCESSES)
    parser.add_argument('--save', type=pathlib.Path)
    options = parser.parse_args()
    if options.one:
        service, level, variant = options.one
        row = run_one(service, float(level), variant, options.hidden)
        print(json.dumps(row))
        return
    variants = options.variants or [*VARIANTS, *IDEALS]
    jobs = [
        (service, level, variant, options.hidden)
        for variant in variants
        for service in options.services
        for level in options.levels
    ]
    with concurrent.futures.ThreadPoolExecutor(options.processes) as pool:
        rows = list(pool.map(_run_child, *zip(*jobs, strict=True)))
    text = _format(rows)
    print(text)
    if options.save:
        options.save.write_text(text.lstrip() + '\n', encoding='utf-8')


if __name__ == '__main__':
    main()
