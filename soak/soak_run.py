"""Plays one seed: load, faults in series and overlapping, checks."""

import collections
import random

import attrs
import gevent
import soak_bed
import soak_client
import soak_faults

from kingcupport.common import clock as clock_module
from kingcupport.observability import log_line

CLIENTS = 12
FAULT_TIME_MS = 10_000
MAX_FAULTS = 9
MIN_FAULT_MS = 200
MAX_FAULT_MS = 4_000
START_TIMEOUT_MS = 30_000
# A change is in force within 3 s, and a machine starts in less than 2 s.
RECOVERY_MS = 5_000
REQUESTS_AFTER = 3
# A client retries twice. All servers run in the process of the soak: when it
# stalls for 60 ms, flows are rightly refused at once.
ATTEMPTS = 3
# How long a drained server is watched at the end.
CALM_DRAIN_MS = 1_500


@attrs.define
class SoakReport:
    """What one seed led to.

    Args:
        seed: The seed.
        answered: Requests that were answered.
        unanswered: Openings and requests without an answer.
        refused: Flows that were refused.
        resets: Open flows that were reset.
        faults: Number of faults by kind.
        broken: Promises that did not hold, one line each.
    """

    seed: int
    answered: int = 0
    unanswered: int = 0
    refused: int = 0
    resets: int = 0
    faults: collections.Counter = attrs.field(factory=collections.Counter)
    broken: list = attrs.field(factory=list)


class SoakRun:
    """One deployment under faults.

    Args:
        seed: Seed of all randomness.
        folder: pathlib.Path for settings and logs.
    """

    def __init__(self, seed, folder):
        self.report = SoakReport(seed)
        self._rng = random.Random(seed)
        self._clock = clock_module.make_system_clock()
        # Runs side by side use different addresses.
        self._bed = soak_bed.SoakBed(
            folder, f'127.{seed % 250 + 1}', self._clock, self._rng
        )
        addresses = list(soak_bed.SERVICE_ADDRESSES.values())
        self._clients = [
            soak_client.SoakClient(
                self._bed,
                f'{self._bed.network}.3.{number + 1}',
                f'c{number}',
                addresses[number % len(addresses)],
                self._rng,
                self._on_reset,
            )
            for number in range(CLIENTS)
        ]
        self._tasks = []
        # When faults delay changes, from and until.
        self._delays = []

    def play(self):
        """Play the seed and return the SoakReport."""
        try:
            self._tasks.append(gevent.spawn(self._bed.router.run))
            self._start()
            load = [gevent.spawn(client.run) for client in self._clients]
            self._tasks += load
            self._inject_faults()
            gevent.sleep(RECOVERY_MS / 1000)
            # One drain in calm, whatever the faults before delayed.
            self._inject(
                soak_faults.DrainedServer(self._bed, self._rng), CALM_DRAIN_MS
            )
            for task in filter(gevent.Greenlet.ready, load):
                self._break(f'a client has failed: {task.exception!r}')
            gevent.killall(load)
            self._check_recovery()
            self._check_ends()
        finally:
            gevent.killall(self._tasks)
            for client in self._clients:
                client.close()
            self._bed.close()
        return self.report

    def _start(self):
        bed = self._bed
        ips = list(bed.processes)
        if not bed.wait_until(
            lambda: all(map(bed.is_ready, ips)), START_TIMEOUT_MS
        ):
            self._break('the programs did not get ready')

    def _inject_faults(self):
        count = self._rng.randint(3, MAX_FAULTS)
        plan = [
            (
                self._rng.uniform(0, FAULT_TIME_MS),
                self._rng.uniform(MIN_FAULT_MS, MAX_FAULT_MS),
                soak_faults.make_fault(self._bed, self._rng),
            )
            for _ in range(count)
        ]
        tasks = [
            gevent.spawn_later(at_ms / 1000, self._inject, fault, duration_ms)
            for at_ms, duration_ms, fault in plan
        ]
        self.report.faults.update(type(f).__name__ for _, _, f in plan)
        gevent.joinall(tasks)
        for task in tasks:
            if task.exception is not None:
                self._break(f'fault: {task.exception}')

    def _inject(self, fault, duration_ms):
        started_ms = self._clock.monotonic_ms()
        try:
            fault.inject(duration_ms)
        finally:
            if fault.delays_changes:
                ended_ms = self._clock.monotonic_ms() + RECOVERY_MS
                self._delays.append((started_ms, ended_ms))

    def _check_drains(self):
        for server, since_ms, until_ms in self._bed.drains:
            if any(
                start_ms < until_ms
                and end_ms > since_ms - soak_faults.DRAIN_MS
                for start_ms, end_ms in self._delays
            ):
                continue
            late = [
                client
                for client, opened_ms in server.opened_ms.items()
                if since_ms < opened_ms < until_ms
            ]
            if late:
                self._break(f'{server.name} drains and got {late}')

    def _on_reset(self, client):
        self.report.resets += 1
        server = client.server
        # The routes stand, so that only the end of its server ends a flow.
        if server in self._bed.servers.values():
            self._break(f'an open flow at {server.name} was reset')

    def _check_recovery(self):
        for client in self._clients:
            if not any(
                client.run_flow(REQUESTS_AFTER) == REQUESTS_AFTER
                for _ in range(ATTEMPTS)
            ):
                self._break('requests are not served after the faults')

    def _check_ends(self):
        report = self.report
        for client in self._clients:
            report.answered += client.answered
            report.unanswered += client.unanswered
            report.refused += client.refused
            for wrong in client.wrong:
                self._break(f'an answer that is not its own: {wrong}')
        for request_id, servers in self._bed.runs.items():
            if len(servers) > 1:
                names = [server.name for server in servers]
                self._break(f'{request_id} ran more than once: {names}')
        self._check_drains()
        for server in self._bed.servers.values():
            if server.foreign:
                self._break(f'foreign flows at {server.name}')
        for ip, process in self._bed.processes.items():
            if process.wait(0) is not None:
                self._break(f'{ip} has ended by itself')
            self._check_log(ip, process.log())

    def _check_log(self, ip, text):
        newest = {}
        for line in text.splitlines():
            if 'Traceback' in line or 'task failed' in line:
                self._break(f'{ip} logged an error: {line}')
            read = log_line.parse_log_line(line, ip)
            if read is None:
                continue
            if read.event == 'process started':
                newest = {}
            self._check_order(ip, read.fields, newest)

    def _check_order(self, ip, fields, newest):
        for kind, subject, value in (
            ('configuration_accepted', 'configuration', fields.get('version')),
            ('server_changed', fields.get('server'), fields.get('revision')),
        ):
            if fields.get('audit_kind') != kind:
                continue
            if int(value) < newest.get(subject, 0):
                self._break(f'{ip} went back: {fields}')
            newest[subject] = int(value)

    def _break(self, text):
        self.report.broken.append(text)
