"""Test harness for fault tests: a small deployment under load."""

import random

import gevent

from kingcupport.common import clock as clock_module
from kingcupport.standins import deployment as deployment_module
from kingcupport.standins import deployment_spec
from kingcupport.standins import load_plan
from kingcupport.standins import load_run
from kingcupport.standins import loopback_ports
from kingcupport.standins import process_group

START_TIMEOUT_MS = 30_000
# Limit in docs/design.md 1.3 for a note to be in force on all processes.
IN_FORCE_LIMIT_MS = 15_000
SEED = 20261204

DEPLOYMENT_SPEC = deployment_spec.DeploymentSpec(
    name='test',
    data_centres=('dakar-plateau', 'saint-louis'),
    balancers_count=3,
    services=(
        deployment_spec.ServiceSpec('ticketing', 3),
        deployment_spec.ServiceSpec('audio', 2),
    ),
)


class FaultHarness:
    """Starts a deployment with its first release note and puts it under load.

    Args:
        directory: pathlib.Path for settings, published files and logs.
    """

    def __init__(self, directory):
        self.clock = clock_module.make_system_clock()
        self._random = random.Random(SEED)
        self.group = process_group.ProcessGroup(directory, self.clock)
        self.deployment = deployment_module.Deployment(
            DEPLOYMENT_SPEC,
            self.group,
            directory,
            loopback_ports.LoopbackPorts(random.SystemRandom()),
            self.clock,
        )
        self._run = None
        self._task = None

    def start(self):
        """Start all processes and publish the first release note."""
        self.deployment.start(START_TIMEOUT_MS)
        self.deployment.publish(self.deployment.first_note())
        self.deployment.wait_in_force(IN_FORCE_LIMIT_MS)

    def stop(self):
        """Kill all processes; no peer would be left to drain to."""
        if self._task is not None:
            self._task.kill()
        for name in filter(self.group.running, self.group.names()):
            self.group.kill(name)
        self.group.stop_all()

    def members(self, service):
        """Return the members of a service, or the balancers for ``''``."""
        return [
            m for m in self.deployment.members.values() if m.service == service
        ]

    def start_load(self, services=('ticketing', 'audio'), **plan):
        """Open connections and send requests in the background.

        Args:
            services: Names of the services under load.
            **plan: Fields of LoadPlan.
        """
        addresses = self.deployment.service_addresses
        targets = tuple(
            load_plan.LoadTarget(name, addresses[name]) for name in services
        )
        self._run = load_run.LoadRun(
            load_plan.LoadPlan(targets=targets, **plan),
            self.clock,
            self._random,
            f'run-{self._random.getrandbits(32):08x}',
        )
        self._run.open()
        self._task = gevent.spawn(self._run.send)

    def finish_load(self, left_out=()):
        """Wait until the load has ended and return the LoadReport.

        Args:
            left_out: Members whose backend server was killed; their run counts
                are not read.
        """
        self._task.get()
        self._run.close()
        self._run.check_runs(
            [
                m.server_address
                for m in self.deployment.members.values()
                if m.service and m not in left_out
            ]
        )
        return self._run.report

    def metric(self, member, name):
        """Return the value of a process's metric, named without its prefix."""
        kind = 'agent' if member.service else 'balancer'
        return member.probe().metrics()[f'kingcupport_{kind}_{name}']
