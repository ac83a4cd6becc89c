"""Runs one deployment under load and changes its fleet."""

import gevent

from kingcupport.standins import demo_result
from kingcupport.standins import deployment as deployment_module
from kingcupport.standins import load_plan
from kingcupport.standins import load_run

START_TIMEOUT_MS = 20_000
# Limit for an accepted release note to be in force on all processes.
IN_FORCE_TIMEOUT_MS = 15_000
# A withdrawn backend server receives no new work after this time.
WITHDRAWAL_PERIOD_MS = 3_000
STOP_TIMEOUT_MS = 10_000
CHANGED_WEIGHT = 110
CONNECTIONS_METRIC = 'kingcupport_agent_connections'
# Fraction of the load's duration after which the second note is published.
CHANGE_TIME_FRACTION = 0.25


class DemoRun:
    """Starts a deployment, puts it under load and changes its fleet.

    The second release note, published under load, adds, changes and
    withdraws a backend server of the first service and a balancer.

    Args:
        spec: DeploymentSpec.
        group: ProcessGroup.
        directory: Directory for settings and published files.
        ports: LoopbackPorts.
        clock: Clock.
        random: ``random.Random`` for the load.
        run_id: Unique name of the run.
        plan_fields: Fields of the LoadPlan other than the targets.
    """

    def __init__(
        self,
        spec,
        group,
        directory,
        ports,
        clock,
        random,
        run_id,
        plan_fields,
    ):
        self._group = group
        self._clock = clock
        self._deployment = deployment_module.Deployment(
            spec, group, directory, ports, clock
        )
        addresses = self._deployment.service_addresses
        self._plan = load_plan.LoadPlan(
            tuple(load_plan.LoadTarget(n, a) for n, a in addresses.items()),
            **plan_fields,
        )
        self._load = load_run.LoadRun(self._plan, clock, random, run_id)
        self._withdrawn = []
        self._unfinished_names = []
        self._late_runs = 0

    def run(self):
        """Start the deployment, run the load and check the results; blocks.

        Returns:
            The DemoResult.

        Raises:
            DeploymentError: A state was not reached in time.
            ConnectionBrokenError: The initial connections cannot be opened.
        """
        deployment = self._deployment
        started_ms = self._clock.monotonic_ms()
        deployment.start(START_TIMEOUT_MS)
        start_ms = self._clock.monotonic_ms() - started_ms
        deployment.publish(deployment.first_note())
        first_note_ms = deployment.wait_in_force(IN_FORCE_TIMEOUT_MS)
        self._load.open()
        change = gevent.spawn(self._change_fleet)
        try:
            self._load.send()
            second_note_ms = change.get()
        finally:
            change.kill()
        connections = self._connections_by_agent()
        self._load.close()
        self._load.check_runs(deployment.server_addresses())
        return demo_result.DemoResult(
            deployment=deployment.spec.name,
            start_ms=start_ms,
            first_note_ms=first_note_ms,
            second_note_ms=second_note_ms,
            late_runs=self._late_runs,
            connections_by_agent=connections,
            ended_processes=self._ended_processes(),
            unfinished_processes=tuple(self._unfinished_names),
            report=self._load.report.to_plain(),
        )

    def progress(self):
        """Return the progress of the load as one line."""
        report = self._load.report
        return (
            f'{self._deployment.spec.name}: {report.answered} of '
            f'{report.requests} requests answered'
        )

    def _change_fleet(self):
        gevent.sleep(CHANGE_TIME_FRACTION * self._plan.duration_ms / 1000)
        deployment = self._deployment
        sections = self._prepare_second_note()
        deadline_ms = self._clock.monotonic_ms() + START_TIMEOUT_MS
        deployment.wait_until(deployment.all_started, deadline_ms)
        published_ms = self._clock.monotonic_ms()
        deployment.publish(sections)
        in_force_ms = deployment.wait_in_force(IN_FORCE_TIMEOUT_MS)
        self._clock.sleep_until(published_ms + WITHDRAWAL_PERIOD_MS)
        runs = self._count_runs_of_withdrawn()
        self._stop_withdrawn()
        self._late_runs = self._count_runs_of_withdrawn() - runs
        return in_force_ms

    def _prepare_second_note(self):
        deployment = self._deployment
        service = deployment.spec.services[0].name
        servers = [
            m for m in deployment.members.values() if m.service == service
        ]
        balancers = [m for m in deployment.members.values() if not m.service]
        self._withdrawn = [servers[0], balancers[0]]
        added = [
            deployment.start_backend_server(service),
            deployment.start_balancer(),
        ]
        data_centre = deployment.spec.data_centres[0]
        self._load.report.partial_servers.update(
            m.name for m in self._withdrawn + added
        )
        return {
            'added': deployment.entries(added),
            'changed': {
                'backend_servers': [servers[1].entry(weight=CHANGED_WEIGHT)],
                'balancers': [balancers[1].entry(data_centre=data_centre)],
            },
            'withdrawn': {
                'backend_servers': [servers[0].name],
                'balancers': [balancers[0].name],
            },
        }

    def _count_runs_of_withdrawn(self):
        return sum(
            self._deployment.runs_of(m) for m in self._withdrawn if m.service
        )

    def _stop_withdrawn(self):
        # The platform stops withdrawn instances while the load continues.
        running = [
            m.name for m in self._withdrawn if self._group.running(m.name)
        ]
        for name in running:
            self._group.terminate(name)
        deadline_ms = self._clock.monotonic_ms() + STOP_TIMEOUT_MS
        while any(map(self._group.running, running)):
            if self._clock.monotonic_ms() >= deadline_ms:
                break
            gevent.sleep(deployment_module.POLL_MS / 1000)
        self._unfinished_names += filter(self._group.running, running)

    def _ended_processes(self):
        withdrawn = {m.name for m in self._withdrawn}
        return tuple(
            name
            for name in self._deployment.process_names()
            if name not in withdrawn and not self._group.running(name)
        )

    def _connections_by_agent(self):
        members = self._deployment.members
        return {
            name: int(members[name].probe().metrics()[CONNECTIONS_METRIC])
            for name in self._deployment.fleet.backend_servers
        }
