"""Command that runs the load generator."""

import json
import random
import secrets

import attrs
from cleo.commands import command
import cleo.helpers

from kingcupport.common import clock as clock_module
from kingcupport.standins import load_plan
from kingcupport.standins import load_run
from kingcupport.standins import program
from kingcupport.standins import report_table

EXIT_FAULTS = 1
_PLAN_FIELDS = {
    'connections': ('connections_count', int, 1),
    'rate-per-s': ('rate_per_s', float, 0.001),
    'swing-factor': ('swing_factor', float, 1),
    'swing-period-ms': ('swing_period_ms', float, 1),
    'duration-ms': ('duration_ms', float, 1),
    'keyed-percent': ('keyed_percent', float, 0),
    'unkeyed-percent': ('unkeyed_percent', float, 0),
    'service-time-ms': ('service_time_ms', float, 0),
    'straggler-percent': ('straggler_percent', float, 0),
    'straggler-factor': ('straggler_factor', float, 1),
    'answer-bytes': ('answer_bytes', int, 0),
    'timeout-ms': ('timeout_ms', int, 1),
    'max-attempts': ('max_attempts', int, 1),
}


def _plan_options():
    fields = attrs.fields_dict(load_plan.LoadPlan)
    return [
        cleo.helpers.option(
            name,
            None,
            f'LoadPlan.{field}.',
            flag=False,
            default=str(fields[field].default),
        )
        for name, (field, _, _) in _PLAN_FIELDS.items()
    ]


class LoadCommand(command.Command):
    """The program ``kingcupport-load``; exits with 1 if faults were found."""

    name = 'load'
    description = 'Sends requests and checks that each answer is right.'
    options = [  # noqa: RUF012 - cleo declares it as an instance list
        cleo.helpers.option(
            'target',
            None,
            'service=ip:port of a service; may be repeated.',
            flag=False,
            multiple=True,
        ),
        cleo.helpers.option(
            'server',
            None,
            'ip:port of a backend server stand-in; may be repeated.',
            flag=False,
            multiple=True,
        ),
        cleo.helpers.option(
            'long-target', None, 'Path of stragglers.', flag=False
        ),
        cleo.helpers.option(
            'seed', None, 'Seed of the load.', flag=False, default='1'
        ),
        cleo.helpers.option('json', None, 'Print JSON.'),
        *_plan_options(),
    ]

    def handle(self):
        """Run the load and print the report; return the exit code."""
        run = load_run.LoadRun(
            self._make_plan(),
            clock_module.make_system_clock(),
            random.Random(program.read_number(self, 'seed')),
            secrets.token_hex(8),
        )
        servers = [
            program.parse_option_address('server', text)
            for text in self.option('server')
        ]
        plain = run.run(servers).to_plain()
        if self.option('json'):
            self.line(json.dumps(plain))
        else:
            for line in report_table.format_report(plain):
                self.line(line)
        return program.EXIT_OK if plain['faultless'] else EXIT_FAULTS

    def _make_plan(self):
        numbers = {
            field: program.read_number(self, name, number_type, minimum)
            for name, (field, number_type, minimum) in _PLAN_FIELDS.items()
        }
        targets = tuple(map(_parse_target, self.option('target')))
        if not targets:
            raise program.OptionError(
                '--target is missing', step='read_options'
            )
        plan = load_plan.LoadPlan(targets, **numbers)
        long_target = self.option('long-target')
        if long_target:
            return attrs.evolve(plan, long_target=long_target)
        return plan


def _parse_target(text):
    service, separator, address = text.partition('=')
    if not separator or not service:
        raise program.OptionError(
            f'--target is {text!r}; allowed: service=ip:port',
            step='read_options',
        )
    return load_plan.LoadTarget(
        service, program.parse_option_address('target', address)
    )
