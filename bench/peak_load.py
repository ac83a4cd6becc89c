"""Measures request scheduling at peak load; prints and saves a table.

Every variant replays the same trace in real time through the production
RequestScheduler; servers are tasks that sleep. Variants run in child
processes, a few at a time. A full run takes less than four minutes.
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
import peak_load_trace

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

SEED = peak_load_trace.SEED
LOAD_LEVELS = (0.75, 1.5)
REPORT_INTERVAL_MS = 500
REPORT_LAG_MS = 5000
PROCESS_COUNT = 5

_ALL_OFF = {'admission': False, 'share_work': False, 'cap_long_work': False}
_FIRST_COME = {'order': 'first_come', **_ALL_OFF}
VARIANTS = {
    'random': _FIRST_COME,
    'round_robin': _FIRST_COME,
    'least_reported': _FIRST_COME,
    'deadline_order': {**_ALL_OFF, 'order': 'deadline'},
    'short_first': {**_ALL_OFF, 'order': 'short_first'},
    'admission': {**_FIRST_COME, 'admission': True},
    'late_binding': {**_FIRST_COME, 'share_work': True},
    'long_cap': {**_FIRST_COME, 'cap_long_work': True},
    'all': {},
    'all_but_cap': {'cap_long_work': False},
    'all_but_adm': {'admission': False},
    'all_but_share': {'share_work': False},
    'all_first_come': {'order': 'first_come'},
    'all_deadline': {'order': 'deadline'},
}
IDEAL_VARIANTS = ('ideal_queue', 'ideal_capped')


class SleepingServer(backend_port.BackendPort):
    """Stand-in for a backend server that sleeps while a request runs."""

    def __init__(self, host, trace, clock, start_ms):
        self._host = host
        self._trace = trace
        self._clock = clock
        self._start_ms = start_ms

    def run(self, request):
        """Sleep for the service time and record the interval."""
        arrival = self._trace[int(request.request_id)]
        started_ms = self._clock.monotonic_ms()
        remaining_ms = request.deadline_ms - started_ms
        gevent.sleep(max(0, min(arrival.service_ms, remaining_ms)) / 1000)
        ended_ms = self._clock.monotonic_ms()
        arrival.runs.append(
            (
                self._host,
                started_ms - self._start_ms,
                ended_ms - self._start_ms,
            )
        )
        if remaining_ms < arrival.service_ms:
            raise backend_port.OutcomeUnknownError('late', step='run')
        return answer.Answer(200, (), b'')


class DelayingCaller(peer_caller.PeerCaller):
    """Calls handlers of the same process after a one-way latency."""

    def __init__(self, name, latency_ms, handlers, falsify):
        self._name = name
        self._latency_ms = latency_ms
        self._handlers = handlers
        self._falsify = falsify
        self.calls = 0
        self.bytes = 0

    def call(self, peer, message, deadline_ms):
        """Deliver the message and the reply through the wire codec."""
        self.calls += 1
        message = self._transport(message)
        handler = self._handlers[peer][type(message)]
        return self._transport(handler(message, self._name))

    def _transport(self, message):
        message = self._falsify(message)
        data = message_codec.encode_message(message)
        self.bytes += len(data)
        gevent.sleep(self._latency_ms / 1000)
        return message_codec.decode_message(data)


class LoadReportFalsifier:
    """Falsifies load reports: host 0 lags, and host 1 always claims idle."""

    def __init__(self, clock):
        self._clock = clock
        self._history = []

    def __call__(self, message):
        """Return the message, with its load falsified if it is a report."""
        if not isinstance(message, work_messages.LoadReport):
            return message
        if message.sender == 'host1':
            return attrs.evolve(message, queued=0, running=0)
        if message.sender == 'host0':
            now_ms = self._clock.monotonic_ms()
            self._history.append((now_ms, message.queued, message.running))
            _, queued, running = self._load_at(now_ms - REPORT_LAG_MS)
            return attrs.evolve(message, queued=queued, running=running)
        return message

    def _load_at(self, at_ms):
        index = bisect.bisect_right(self._history, (at_ms, 1e9, 1e9)) - 1
        return self._history[index] if index >= 0 else (0, 0, 0)


class ReportedLoads:
    """Loads that a balancer would poll from the servers' load endpoints."""

    def __init__(self, schedulers):
        self._schedulers = schedulers
        self._history = [[] for _ in schedulers]
        self.loads = [0] * len(schedulers)

    def poll(self):
        """Refresh forever; host 0 lags, and host 1 always claims idle."""
        lag = REPORT_LAG_MS // REPORT_INTERVAL_MS
        while True:
            for host, item in enumerate(self._schedulers):
                self._history[host].append(item.queued + item.running)
            self.loads = [history[-1] for history in self._history]
            self.loads[0] = (self._history[0][:-lag] or [0])[-1]
            self.loads[1] = 0
            gevent.sleep(REPORT_INTERVAL_MS / 1000)


def replay(deployment, variant, trace):
    """Run one variant and record the results in the arrivals."""
    clock = clock_module.make_system_clock()
    start_ms = clock.monotonic_ms()
    settings = scheduler_settings.SchedulerSettings(**VARIANTS[variant])
    names = tuple(f'host{n}' for n in range(deployment.hosts))
    view = service_view.ServiceView(
        'service', 1, names, deployment.hosts * deployment.slots, 40
    )
    handlers, callers, schedulers = {}, [], []
    falsify = LoadReportFalsifier(clock)
    for host, name in enumerate(names):
        caller = DelayingCaller(name, deployment.latency_ms, handlers, falsify)
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
    gevent.joinall(tasks, timeout=max(peak_load_trace.DEADLINES_MS) / 1000 + 1)
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
    return lambda arrival: arrival.home_host


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


def run_one(service, level, variant, hidden, seed):
    """Run one variant in this process and return its figures."""
    deployment = peak_load_trace.DEPLOYMENTS[service]
    trace = peak_load_trace.make_trace(deployment, level, hidden, seed)
    if variant in IDEAL_VARIANTS:
        extra = peak_load_trace.replay_ideal(
            deployment, trace, variant == 'ideal_capped'
        )
    else:
        extra = replay(deployment, variant, trace)
    return {
        'service': service,
        'level': level,
        'variant': variant,
        **peak_load_trace.summarize(deployment, trace),
        **extra,
    }


def _run_child(service, level, variant, hidden, seed):
    command = [sys.executable, __file__, '--one', service, str(level), variant]
    command += ['--seed', str(seed)]
    if hidden:
        command.append('--hidden')
    done = subprocess.run(command, check=True, capture_output=True, text=True)
    if done.stderr:
        # gevent only prints errors of background tasks and continues.
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
    """Run the variants, print the table and optionally save it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--one', nargs=3, help='service, level and variant')
    parser.add_argument('--variants', nargs='*')
    parser.add_argument(
        '--services', nargs='*', default=list(peak_load_trace.DEPLOYMENTS)
    )
    parser.add_argument('--levels', nargs='*', type=float, default=LOAD_LEVELS)
    parser.add_argument(
        '--hidden',
        action='store_true',
        help='stragglers come on the routes of short requests',
    )
    parser.add_argument('--seed', type=int, default=SEED)
    parser.add_argument('--processes', type=int, default=PROCESS_COUNT)
    parser.add_argument('--save', type=pathlib.Path)
    options = parser.parse_args()
    if options.one:
        service, level, variant = options.one
        row = run_one(
            service, float(level), variant, options.hidden, options.seed
        )
        print(json.dumps(row))
        return
    variants = options.variants or [*VARIANTS, *IDEAL_VARIANTS]
    jobs = [
        (service, level, variant, options.hidden, options.seed)
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
