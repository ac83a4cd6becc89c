"""Deployment of separate processes on the loopback interface."""

import functools
import json
import os
import pathlib

import gevent

from kingcupport.common import errors
from kingcupport.fleet import documents
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note
from kingcupport.standins import deployment_member
from kingcupport.standins import json_client

STANDIN_MODULE = 'kingcupport.standins'
POLL_MS = 50


class DeploymentError(errors.KingcupportError):
    """A deployment did not reach an expected state in time."""

    code = 'deployment_failed'


class Deployment:
    """Starts the processes of a DeploymentSpec and publishes release notes.

    The configuration service serves the empty fleet until the first note is
    published. An agent that has read a revision from before its host was
    added knows that no keyed request can have run on that host earlier.

    Args:
        spec: DeploymentSpec.
        group: ProcessGroup that owns the processes.
        directory: Directory for settings and published files.
        ports: LoopbackPorts.
        clock: Clock.
        behaviour: Fields of ServerBehaviour for the backend servers.
        limits: Function that returns the settings table ``limits`` for a
            DeploymentMember; by default the table is empty.
    """

    def __init__(
        self,
        spec,
        group,
        directory,
        ports,
        clock,
        behaviour=None,
        limits=None,
    ):
        self.spec = spec
        self.group = group
        self.fleet = fleet_module.Fleet()
        self.members = {}
        self.service_addresses = {
            s.name: ports.allocate() for s in spec.services
        }
        self.configuration_address = ports.allocate()
        self.fabric_control_address = ports.allocate()
        self._return_address = ports.allocate()
        self._directory = pathlib.Path(directory)
        self.published_path = self._directory / f'{spec.name}-published'
        self._ports = ports
        self._clock = clock
        self._behaviour = behaviour or {}
        self._limits = limits or (lambda member: {})
        self._slots = {s.name: s.slots for s in spec.services}

    def start(self, timeout_ms):
        """Start all processes with the empty fleet; publishes nothing.

        Raises:
            DeploymentError: The processes have not started in time.
        """
        self.published_path.mkdir(parents=True)
        self.group.start(
            f'{self.spec.name}-configuration',
            STANDIN_MODULE,
            'configuration-service',
            f'--listen={self.configuration_address}',
            f'--directory={self.published_path}',
        )
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        self.wait_until(self._configuration_is_available, deadline_ms)
        self._start_fabric()
        for _ in range(self.spec.balancers_count):
            self.start_balancer()
        for service in self.spec.services:
            for _ in range(service.servers_count):
                self.start_backend_server(service.name)
        self.wait_until(self.all_started, deadline_ms)

    def _configuration_is_available(self):
        try:
            json_client.call(self.configuration_address, 'GET', '/v1/fleet')
        except json_client.JsonClientError:
            return False
        return True

    def _start_fabric(self):
        self.group.start(
            f'{self.spec.name}-fabric',
            STANDIN_MODULE,
            'fabric',
            f'--return-address={self._return_address}',
            f'--control={self.fabric_control_address}',
            f'--configuration-service={self.configuration_address}',
        )

    def start_balancer(self):
        """Start an additional balancer and return its DeploymentMember."""
        return self._start_member(
            f'{self.spec.name}-balancer', deployment_member.DeploymentMember
        )

    def start_backend_server(self, service):
        """Start an additional backend server with its agent.

        Args:
            service: Name of the service.

        Returns:
            The DeploymentMember of the agent.
        """
        make_member = functools.partial(
            deployment_member.DeploymentMember,
            service=service,
            server_address=self._ports.allocate(),
            slots=self._slots[service],
        )
        return self._start_member(service, make_member)

    def _start_member(self, prefix, make_member):
        names = (f'{prefix}-{n}' for n in range(1, len(self.members) + 2))
        name = next(n for n in names if n not in self.members)
        data_centres = self.spec.data_centres
        member = make_member(
            name=name,
            data_centre=data_centres[len(self.members) % len(data_centres)],
            address=self._ports.allocate(),
            http_address=self._ports.allocate(),
        )
        self.members[name] = member
        if member.service:
            self.start_server_process(member)
        self.start_member_process(member)
        return member

    def start_server_process(self, member):
        """Start or restart the backend server of an agent."""
        self.group.start(
            member.server_process_name,
            STANDIN_MODULE,
            'backend-server',
            f'--listen={member.server_address}',
            f'--service={member.service}',
            f'--server={member.name}',
            f'--slots={member.slots}',
            f'--behaviour={json.dumps(self._behaviour)}',
        )

    def start_member_process(self, member):
        """Start or restart a balancer or an agent."""
        path = self._directory / f'{member.name}.toml'
        limits = self._limits(member)
        tables = {'limits': limits} if limits else {}
        member.write_settings(path, self.configuration_address, **tables)
        self.group.start(member.name, member.module, f'--settings={path}')

    def process_names(self):
        """Return the names of the deployment's processes in the group."""
        names = [f'{self.spec.name}-{p}' for p in ('configuration', 'fabric')]
        for member in self.members.values():
            names.append(member.name)
            if member.service:
                names.append(member.server_process_name)
        return names

    def all_started(self):
        """Return whether all members have read a fleet."""
        return all(m.started() for m in self.members.values())

    def first_note(self):
        """Return the sections of a note that adds all services and members."""
        return {
            'added': {
                'services': [
                    {'name': name, 'address': str(address)}
                    for name, address in self.service_addresses.items()
                ],
                **self.entries(self.members.values()),
            }
        }

    def entries(self, members):
        """Return the release note entries of members by kind."""
        plain = {'balancers': [], 'backend_servers': []}
        for member in members:
            plain[member.kind].append(member.entry())
        return plain

    def publish(self, sections):
        """Publish a release note based on the last published fleet.

        Args:
            sections: ``added``, ``changed`` and ``withdrawn`` of the note, as
                dicts.

        Returns:
            The resulting Fleet.

        Raises:
            ReleaseNoteError: The note does not apply to the fleet.
        """
        note = release_note.note_from_dict(
            {
                'revision': self.fleet.revision + 1,
                'base': self.fleet.revision,
                'base_digest': self.fleet.digest,
                **sections,
            }
        )
        fleet = release_note.apply_release_note(self.fleet, note)
        self._write(
            f'note-{fleet.revision}.json', release_note.note_to_dict(note)
        )
        self._write(
            f'fleet-{fleet.revision}.json', documents.fleet_to_dict(fleet)
        )
        self.fleet = fleet
        return fleet

    def _write(self, name, plain):
        # Renamed into place when complete, because the configuration service
        # watches the directory.
        temporary = self.published_path / f'{name}.part'
        temporary.write_text(json.dumps(plain))
        os.replace(temporary, self.published_path / name)

    def in_force(self):
        """Return whether fabric and members have the published fleet."""
        members = (self.members[n] for n in self.fleet.process_addresses())
        return self.fabric_in_force() and all(
            m.ready_at(self.fleet.revision) for m in members
        )

    def fabric_in_force(self):
        """Return whether the fabric has all balancers and services."""
        try:
            counts = self.fabric_counts()
        except json_client.JsonClientError:
            return False
        expected = (len(self.fleet.balancers), len(self.fleet.services))
        return (counts['balancers'], counts['services']) == expected

    def fabric_counts(self):
        """Return the fabric's counts by name."""
        return json_client.call(self.fabric_control_address, 'GET', '/_counts')

    def wait_in_force(self, timeout_ms):
        """Wait until the published fleet is in force; return the wait in ms.

        Raises:
            DeploymentError: The fleet is not in force in time.
        """
        started_ms = self._clock.monotonic_ms()
        self.wait_until(self.in_force, started_ms + timeout_ms)
        return self._clock.monotonic_ms() - started_ms

    def wait_until(self, condition, deadline_ms):
        """Wait until a condition holds.

        Raises:
            DeploymentError: The condition does not hold by the deadline. The
                message lists the processes that are not ready.
        """
        while not condition():
            if self._clock.monotonic_ms() >= deadline_ms:
                raise DeploymentError(
                    f'not reached in time: {self._describe_members()}',
                    step=condition.__name__,
                    peer=self.spec.name,
                )
            gevent.sleep(POLL_MS / 1000)

    def _describe_members(self):
        states = {
            name: self._describe_member(member)
            for name, member in self.members.items()
        }
        not_ready = {n: s for n, s in states.items() if s != 'ready'}
        return ', '.join(f'{n}: {s}' for n, s in not_ready.items())

    def _describe_member(self, member):
        if not self.group.running(member.name):
            return 'has ended'
        try:
            return member.probe().readiness()
        except errors.KingcupportError as error:
            return error.reason

    def server_addresses(self):
        """Return the addresses of all backend server stand-ins."""
        return [m.server_address for m in self.members.values() if m.service]

    def runs_of(self, member):
        """Return the number of runs that a backend server has started."""
        runs = json_client.call(member.server_address, 'GET', '/_runs')
        return sum(runs['by_request_id'].values())
