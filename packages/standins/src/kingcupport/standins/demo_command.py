"""Command that runs the demo."""

import json
import pathlib
import random
import secrets
import shutil
import signal
import tempfile

from cleo.commands import command
import cleo.helpers
import gevent

from kingcupport.common import clock as clock_module
from kingcupport.common import errors
from kingcupport.standins import demo_run
from kingcupport.standins import deployment_spec
from kingcupport.standins import loopback_ports
from kingcupport.standins import process_group
from kingcupport.standins import program
from kingcupport.standins import report_table

EXIT_FAULTS = 1
# Stopping the processes takes up to another 5 s.
RUN_TIMEOUT_MS = 53_000
DEPLOYMENT_SPECS = (deployment_spec.AGENCE, deployment_spec.LILIN_SERI)


class DemoTimeoutError(errors.KingcupportError):
    """The demo did not finish within its time limit."""

    code = 'demo_timeout'


class DemoCommand(command.Command):
    """The program ``kingcupport-demo``; exits with 1 if faults were found."""

    name = 'demo'
    description = (
        'Runs both small deployments under load while a release note adds, '
        'changes and withdraws a backend server and a balancer.'
    )
    options = [  # noqa: RUF012 - cleo declares it as an instance list
        cleo.helpers.option(
            'duration-ms',
            None,
            'Duration of the load.',
            flag=False,
            default='20000',
        ),
        cleo.helpers.option(
            'connections',
            None,
            'Long-lived connections to each service.',
            flag=False,
            default='100',
        ),
        cleo.helpers.option(
            'rate-per-s',
            None,
            'Mean requests a second to each service.',
            flag=False,
            default='50',
        ),
        cleo.helpers.option(
            'seed', None, 'Seed of the load.', flag=False, default='1'
        ),
        cleo.helpers.option(
            'keep-logs', None, 'Keep the logs when nothing broke.'
        ),
        cleo.helpers.option('json', None, 'Print JSON.'),
    ]

    def handle(self):
        """Run the demo and print the results; return the exit code."""
        plan_fields = {
            'duration_ms': program.read_number(
                self, 'duration-ms', float, minimum=4000
            ),
            'connections_count': program.read_number(
                self, 'connections', minimum=1
            ),
            'rate_per_s': program.read_number(
                self, 'rate-per-s', float, minimum=1
            ),
            'swing_factor': 5,
            'unkeyed_percent': 5,
        }
        seed = program.read_number(self, 'seed')
        directory = pathlib.Path(tempfile.mkdtemp(prefix='kingcupport-demo-'))
        main_task = gevent.getcurrent()
        gevent.signal_handler(
            signal.SIGTERM, gevent.kill, main_task, SystemExit(143)
        )
        faultless = False
        try:
            results = _run_all(directory, plan_fields, seed)
            faultless = all(r.faultless for r in results)
            self._print_results(results)
        except errors.KingcupportError as error:
            self.line_error(f'kingcupport-demo: {error}')
        finally:
            if faultless and not self.option('keep-logs'):
                shutil.rmtree(directory)
            else:
                self.line_error(f'logs: {directory}')
        return program.EXIT_OK if faultless else EXIT_FAULTS

    def _print_results(self, results):
        if self.option('json'):
            self.line(json.dumps([r.to_plain() for r in results]))
            return
        for result in results:
            self.line(f'--- {result.deployment}')
            for line in result.lines():
                self.line(line)
            for line in report_table.format_report(result.report):
                self.line(line)
        faultless = all(r.faultless for r in results)
        self.line('nothing broke' if faultless else 'FAULTS were found')


def _run_all(directory, plan_fields, seed):
    clock = clock_module.make_system_clock()
    ports = loopback_ports.LoopbackPorts(random.Random())
    with process_group.ProcessGroup(directory, clock) as group:
        runs = [
            demo_run.DemoRun(
                spec,
                group,
                directory,
                ports,
                clock,
                random.Random(seed + number),
                secrets.token_hex(8),
                plan_fields,
            )
            for number, spec in enumerate(DEPLOYMENT_SPECS)
        ]
        tasks = [gevent.spawn(run.run) for run in runs]
        try:
            gevent.joinall(
                tasks, timeout=RUN_TIMEOUT_MS / 1000, raise_error=True
            )
            if not all(task.ready() for task in tasks):
                raise DemoTimeoutError(
                    f'not finished after {RUN_TIMEOUT_MS} ms; '
                    + ', '.join(run.progress() for run in runs),
                    step='run_demo',
                )
        finally:
            gevent.killall(tasks)
        return [task.value for task in tasks]
