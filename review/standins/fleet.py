"""A small deployment on loopback: the project's programs and stand-ins."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time

from standins import client
from standins import host
from standins import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE_ADDRESS = ('127.251.0.1', 8443)
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
PORT_NAMES = ('packets', 'ready', 'outbound', 'app', 'control', 'peers')


class CaseError(Exception):
    """The case could not run, which says nothing about the rule."""


class Fleet:
    """Balancers, agents, hosts, clients, their router and the store.

    Args:
        folder: pathlib.Path that gets ``record.txt``.
    """

    def __init__(self, folder):
        self.heartbeat_s = 0.77
        self.max_flow_s = 60
        self.idle_timeout_s = 15
        self.balancers = {}
        self.agents = {}
        self.hosts = {}
        self.clients = []
        self.reset_flows = []
        self.is_first_start = True
        self.network = f'127.{random.randint(10, 250)}'
        self.ports = _find_ports(self.network)
        self.store = store.Store(3 * self.heartbeat_s)
        self.router = client.Router(self)
        self.tmp = tempfile.TemporaryDirectory(prefix='review-')
        self._record = open(folder / 'record.txt', 'w')  # noqa: SIM115
        self._start_s = time.monotonic()
        self._router_task = None
        self._version = 0

    # What was seen

    def record(self, text):
        """Write a line with the time since the start of the case."""
        if not self._record.closed:
            age_s = time.monotonic() - self._start_s
            self._record.write(f'{age_s:8.3f} {text}\n')

    def on_system_reset(self, flow):
        """Judge a reset that the system sent to the client of an open flow."""
        key = (flow.source, flow.destination)
        now_s = time.monotonic()
        holders = [
            h
            for h in self.hosts.values()
            if key in h.flows and h.flows[key].is_open
        ]
        is_counted = (
            bool(holders)
            and now_s - holders[0].flows[key].opened_s < self.max_flow_s
        )
        self.record(
            f'system reset flow={flow.source[1]} open at '
            f'{[h.name for h in holders]} counted={is_counted}'
        )
        if is_counted:
            self.reset_flows.append(flow)

    # The store and the operator

    def store_address(self, number=1):
        """Return one of the addresses of the store."""
        return (f'{self.network}.9.{number}', self.ports['control'])

    async def publish(self, routes):
        """Write the next configuration: ``{address: service}``."""
        self._version += random.randint(1, 3)
        revision = await self.store.put(
            'op/config',
            {
                'config_version': self._version,
                'routes': [
                    {
                        'name': f'r-{number}',
                        'host': ip,
                        'prefix': f'/{port}/',
                        'kind': 'safe',
                        'timeout_ms': 1000,
                        'target_latency_ms': 100,
                        'priority': 2,
                        'service': service,
                        'max_attempts': 2,
                    }
                    for number, ((ip, port), service) in enumerate(
                        routes.items()
                    )
                ],
                'services': [
                    {
                        'name': name,
                        'health_path': '/health',
                        'max_conns': 2000,
                        'protocol': 'h1',
                        'tls': False,
                    }
                    for name in sorted(set(routes.values()))
                ],
                'limits': {
                    'header_bytes': 16384,
                    'body_bytes': 262144,
                    'header_timeout_ms': 3000,
                    'idle_timeout_ms': int(self.idle_timeout_s * 1000),
                },
            },
        )
        self.record(f'configuration {self._version} written at {revision}')

    # The programs

    def balancer_ip(self, number):
        """Return the address of a balancer's machine."""
        return f'{self.network}.2.{number}'

    def host_ip(self, number):
        """Return the address of a host's machine."""
        return f'{self.network}.1.{number}'

    def start_balancer(self, number, name=None, seeds=(1, 2, 3)):
        """Start the program of a front machine; return its address."""
        ip = self.balancer_ip(number)
        settings = self._settings(ip, name or f'front-{number}', 'front')
        settings['platform.address'] = '{}:{}'.format(
            *self.store_address(number)
        )
        settings['listen.control'] = f'{ip}:{self.ports["control"]}'
        settings['seeds'] = ','.join(
            f'{self.balancer_ip(n)}:{self.ports["control"]}' for n in seeds
        )
        self.balancers[ip] = self._start(
            'balancer', settings, name or f'front-{number}'
        )
        return ip

    def start_agent(self, h):
        """Start the program of a host's machine."""
        settings = self._settings(h.ip, f'side-{h.name}', 'side')
        settings['listen.outbound'] = f'{h.ip}:{self.ports["outbound"]}'
        settings['app'] = f'{h.ip}:{self.ports["app"]}'
        settings['service'] = h.service
        self.agents[h.ip] = self._start('agent', settings, f'side-{h.name}')

    async def start_host(self, number, name, service, **options):
        """Start a host and the program beside it; return the host."""
        h = host.Host(self, name, service, self.host_ip(number), **options)
        self.hosts[name] = h
        self.start_agent(h)
        await h.start()
        return h

    async def start_clients(self, count):
        """Bind the addresses of client machines."""
        for number in range(1, count + 1):
            machine = client.ClientMachine(self, f'{self.network}.3.{number}')
            await machine.start()
            self.clients.append(machine)

    async def start_store(self):
        """Start the store and the router."""
        await self.store.start([self.store_address(n) for n in range(1, 9)])
        self._router_task = asyncio.create_task(self.router.run())

    async def wait_ready(self, timeout_s=15):
        """Wait until all balancers are in rotation.

        Raises:
            CaseError: They are not in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while self.router.rotation != set(self.balancers):
            if time.monotonic() > deadline_s:
                raise CaseError('not all balancers became ready')
            await asyncio.sleep(0.05)

    def terminate(self, ip):
        """Send SIGTERM to a program, as for planned work."""
        self.record(f'SIGTERM {ip}')
        {**self.balancers, **self.agents}[ip].send_signal(signal.SIGTERM)

    def kill(self, ip):
        """Kill a program."""
        self.record(f'SIGKILL {ip}')
        process = {**self.balancers, **self.agents}[ip]
        process.kill()
        process.wait()

    def log_of(self, name):
        """Return the output of a program."""
        path = pathlib.Path(self.tmp.name) / f'{name}.log'
        return path.read_text(errors='replace')

    def _settings(self, ip, name, machine_class):
        return {
            'node': name,
            'role': 'balancer' if machine_class == 'front' else 'agent',
            'class': machine_class,
            'ip': ip,
            'zone': 'dakar-plateau',
            'region': 'senegal-west',
            'zones.dakar-plateau': 'senegal-west',
            'listen.datagram_address': f'{ip}:{self.ports["packets"]}',
            'listen.ready_address': f'{ip}:{self.ports["ready"]}',
            'internal_ports': f'{self.ports["peers"]},{self.ports["peers"]}',
            'bootstrap': 'true' if self.is_first_start else 'false',
            'heartbeat_interval_ms': int(self.heartbeat_s * 1000),
            'bounds.max_flow_s': self.max_flow_s,
            'hash': 'steady',
            'deployment_mode': 'agent',
            'platform.address': '{}:{}'.format(*self.store_address()),
            'platform.deployment_mode': 'read',
            'platform.reads_per_s': 2000,
        }

    def _start(self, program, settings, name):
        path = pathlib.Path(self.tmp.name) / f'{name}.conf'
        path.write_text(''.join(f'{k}={v}\n' for k, v in settings.items()))
        self.record(f'start {program} {name} {settings["ip"]}')
        with open(path.with_suffix('.log'), 'ab') as log:
            return subprocess.Popen(
                [
                    'python3',
                    '-S',
                    f'target/bin/kingcupport-platform-{program}.py',
                ],
                cwd=ROOT,
                env={
                    **{
                        key: os.environ[key]
                        for key in ('PATH', 'HOME', 'LANG')
                        if key in os.environ
                    },
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'KINGCUPPORT_CONFIG': str(path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def close(self):
        """End all processes that the case has started."""
        for process in (*self.balancers.values(), *self.agents.values()):
            if process.poll() is None:
                process.kill()
            process.wait()
        for stoppable in (*self.hosts.values(), *self.clients):
            stoppable.stop()
        self._record.close()
        self.tmp.cleanup()


def _find_ports(network):
    """Return free ports, the same on all addresses of a network."""
    for _ in range(200):
        first = random.randrange(20_000, 32_000, 10)
        if all(
            _is_free(kind, f'{network}.{part}.1', first + n)
            for n in range(len(PORT_NAMES))
            for part in (1, 2, 3, 9)
            for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM)
        ):
            return {name: first + n for n, name in enumerate(PORT_NAMES)}
    raise CaseError('no free ports')


def _is_free(kind, ip, port):
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def run(folder, play):
    """Play a case; return its exit code.

    Args:
        folder: Folder of the case.
        play: Coroutine function, called with the Fleet and whether the
            disruption takes place; returns whether the rule held.
    """
    is_troubled = os.environ.get('TROUBLE', '1') != '0'

    async def play_all():
        fleet = Fleet(folder)
        try:
            async with asyncio.timeout(115):
                has_held = await play(fleet, is_troubled)
            fleet.record(f'result {"held" if has_held else "broken"}')
            print('held' if has_held else 'broken')
            return HELD if has_held else BROKEN
        except (CaseError, TimeoutError, OSError) as error:
            fleet.record(f'could not run: {error!r}')
            print(f'could not run: {error!r}')
            return COULD_NOT_RUN
        finally:
            with contextlib.suppress(Exception):
                keep = os.environ.get('KEEP_LOGS')
                if keep:
                    for path in pathlib.Path(fleet.tmp.name).glob('*.log'):
                        pathlib.Path(keep, path.name).write_bytes(
                            path.read_bytes()
                        )
            fleet.close()

    return asyncio.run(play_all())
