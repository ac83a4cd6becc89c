"""Runs one seed: load, sequential and overlapping faults, checks."""

import collections
import random

import attrs
import gevent
import soak_client
import soak_faults
import soak_harness

from kingcupport.common import clock as clock_module
from kingcupport.observability import log_line

CLIENT_COUNT = 12
FAULT_WINDOW_MS = 10_000
MAX_FAULT_COUNT = 9
MAX_RESTORE_COUNT = 2
MIN_FAULT_DURATION_MS = 200
MAX_FAULT_DURATION_MS = 4_000
START_TIMEOUT_MS = 30_000
# A change comes into force within 3 s, and an instance starts in less
# than 2 s.
RECOVERY_MS = 5_000
RECOVERY_REQUEST_COUNT = 3
# A client may retry twice: all servers run in this process, and when it stalls
# for 60 ms, flows are refused at once, which is correct.
RECOVERY_ATTEMPTS = 3
# How long the server drained after all faults is observed.
FINAL_DRAIN_MS = 1_500


@attrs.define
class SoakReport:
    """Outcome of one seed.

    Args:
        seed: The seed.
        answered: Requests that were answered.
        unanswered: Flow openings and requests without an answer.
        refused: Flows that were refused.
        resets: Open flows that were reset.
        faults: Number of faults by class name.
        broken: Violated invariants, one line each.
    """

    seed: int
    answered: int = 0
    unanswered: int = 0
    refused: int = 0
    resets: int = 0
    faults: collections.Counter = attrs.field(factory=collections.Counter)
    broken: list = attrs.field(factory=list)


class SoakRun:
    """Runs one deployment under load and faults.

    Args:
        seed: Seed of all randomness.
        folder: pathlib.Path for settings and logs.
    """

    def __init__(self, seed, folder):
        self.report = SoakReport(seed)
        self._rng = random.Random(seed)
        self._clock = clock_module.make_system_clock()
        # Concurrent runs use different addresses.
        self._harness = soak_harness.SoakHarness(
            folder, f'127.{seed % 250 + 1}', self._clock, self._rng
        )
        addresses = list(soak_harness.SERVICE_ADDRESSES.values())
        self._clients = [
            soak_client.SoakClient(
                self._harness,
                f'{self._harness.network}.3.{number + 1}',
                f'c{number}',
                addresses[number % len(addresses)],
                self._rng,
                self._on_reset,
            )
            for number in range(CLIENT_COUNT)
        ]
        self._tasks = []
        # Start and end, in ms, of the intervals in which changes may be late.
        self._delay_intervals = []

    def run(self):
        """Run the seed and return the SoakReport."""
        try:
            self._tasks.append(gevent.spawn(self._harness.router.run))
            self._wait_ready()
            client_tasks = [
                gevent.spawn(client.run) for client in self._clients
            ]
            self._tasks += client_tasks
            self._inject_faults()
            gevent.sleep(RECOVERY_MS / 1000)
            # Earlier drains are not checked while a fault delays changes;
            # this one follows all faults, so it is always checked.
            self._inject(
                soak_faults.DrainedServer(self._harness, self._rng),
                FINAL_DRAIN_MS,
            )
            for task in filter(gevent.Greenlet.ready, client_tasks):
                self._add_violation(f'a client has failed: {task.exception!r}')
            gevent.killall(client_tasks)
            self._check_recovery()
            self._check_invariants()
        finally:
            gevent.killall(self._tasks)
            for client in self._clients:
                client.close()
            self._harness.close()
        return self.report

    def _wait_ready(self):
        harness = self._harness
        ips = list(harness.processes)
        if not harness.wait_until(
            lambda: all(map(harness.is_ready, ips)), START_TIMEOUT_MS
        ):
            self._add_violation('the programs did not get ready')

    def _inject_faults(self):
        count = self._rng.randint(3, MAX_FAULT_COUNT)
        plan = [
            (
                self._rng.uniform(0, FAULT_WINDOW_MS),
                self._rng.uniform(
                    MIN_FAULT_DURATION_MS, MAX_FAULT_DURATION_MS
                ),
                soak_faults.make_fault(self._harness, self._rng),
            )
            for _ in range(count)
        ]
        plan += self._plan_restores()
        tasks = [
            gevent.spawn_later(at_ms / 1000, self._inject, fault, duration_ms)
            for at_ms, duration_ms, fault in plan
        ]
        self.report.faults.update(type(f).__name__ for _, _, f in plan)
        gevent.joinall(tasks)
        for task in tasks:
            if task.exception is not None:
                self._add_violation(f'fault: {task.exception}')

    def _plan_restores(self):
        # Drawn apart from the other faults, which stay those of the seed.
        rng = random.Random(f'restores of {self.report.seed}')
        return [
            (
                rng.uniform(0, FAULT_WINDOW_MS),
                rng.uniform(MIN_FAULT_DURATION_MS, MAX_FAULT_DURATION_MS),
                soak_faults.RestoredStore(self._harness, rng),
            )
            for _ in range(rng.randint(0, MAX_RESTORE_COUNT))
        ]

    def _inject(self, fault, duration_ms):
        started_ms = self._clock.monotonic_ms()
        try:
            fault.inject(duration_ms)
        finally:
            if fault.delays_changes:
                ended_ms = self._clock.monotonic_ms() + RECOVERY_MS
                self._delay_intervals.append((started_ms, ended_ms))

    def _check_drains(self):
        for server, since_ms, until_ms in self._harness.drain_intervals:
            if any(
                start_ms < until_ms
                and end_ms > since_ms - soak_faults.DRAIN_PROPAGATION_MS
                for start_ms, end_ms in self._delay_intervals
            ):
                continue
            late = [
                client
                for client, opened_ms in server.opened_ms.items()
                if since_ms < opened_ms < until_ms
            ]
            if late:
                self._add_violation(f'{server.name} drains and got {late}')

    def _on_reset(self, client):
        self.report.resets += 1
        server = client.server
        # No route in use changes during a run, so only the end of its server
        # may reset a flow.
        if server in self._harness.servers.values():
            self._add_violation(f'an open flow at {server.name} was reset')

    def _check_recovery(self):
        for client in self._clients:
            if not any(
                client.run_flow(RECOVERY_REQUEST_COUNT)
                == RECOVERY_REQUEST_COUNT
                for _ in range(RECOVERY_ATTEMPTS)
            ):
                self._add_violation('requests are not served after the faults')

    def _check_invariants(self):
        report = self.report
        for client in self._clients:
            report.answered += client.answered
            report.unanswered += client.unanswered
            report.refused += client.refused
            for wrong_answer in client.wrong_answers:
                self._add_violation(
                    f'an answer that is not its own: {wrong_answer}'
                )
        for request_id, servers in self._harness.servers_by_request_id.items():
            if len(servers) > 1:
                names = [server.name for server in servers]
                self._add_violation(
                    f'{request_id} ran more than once: {names}'
                )
        self._check_drains()
        for server in self._harness.servers.values():
            if server.foreign_flows:
                self._add_violation(
                    f'foreign flows at {server.name} (client, address, '
                    f'flags): {server.foreign_flows[:3]}'
                )
        for ip, process in self._harness.processes.items():
            if process.wait(0) is not None:
                self._add_violation(f'{ip} has ended by itself')
            self._check_log(ip, process.log())

    def _check_log(self, ip, text):
        newest = {}
        for line in text.splitlines():
            if 'Traceback' in line or 'task failed' in line:
                self._add_violation(f'{ip} logged an error: {line}')
            record = log_line.parse_log_line(line, ip)
            if record is None:
                continue
            if record.event == 'process started':
                newest = {}
            self._check_versions(ip, record.fields, newest)

    def _check_versions(self, ip, fields, newest):
        for kind, subject, value in (
            ('configuration_accepted', 'configuration', fields.get('version')),
            ('server_changed', fields.get('server'), fields.get('revision')),
        ):
            if fields.get('audit_kind') != kind:
                continue
            # A version, or a revision after the era of the store.
            order = tuple(map(int, value.split(':')))
            if order < newest.get(subject, ()):
                self._add_violation(f'{ip} went back: {fields}')
            newest[subject] = order

    def _add_violation(self, text):
        self.report.broken.append(text)
