"""Test harness that runs the real programs against platform stand-ins."""

import itertools

import gevent
import platform_standin

# A program starts in 300 ms on an idle machine.
START_TIMEOUT_MS = 15_000
_harness_numbers = itertools.count(1)


class PlatformHarness:
    """Runs a store, servers with agents, and balancers.

    Args:
        folder: pathlib.Path of the directory for settings and logs.
        network: First two octets of all addresses.
        balancers: Number of balancers.
        services: Name of the service of each server.
        store: platform_standin.Store, a new one by default.
        store_address: ``(ip, port)`` at which the programs reach the store;
            by default that of the store itself.
    """

    def __init__(
        self,
        folder,
        network='127.0',
        balancers=2,
        services=('gate', 'gate'),
        store=None,
        store_address=None,
    ):
        base = 20_000 + 40 * (next(_harness_numbers) % 200)
        self.ports = {
            'packets': base,
            'ready': base + 1,
            'outbound': base + 2,
            'app': base + 3,
            'control': base + 4,
            'peers': base + 5,
        }
        self.folder = folder
        self.network = network
        # 'true' only while the whole system starts for the first time.
        self.is_first_start = 'true'
        self.store = store or platform_standin.Store()
        self.store_address = store_address or self.store.address
        self.store.put_configuration()
        self.processes = {}
        self.servers = {}
        self.services = {}
        self.clients = []
        self.client_ports = itertools.count(30_000)
        for number in range(1, balancers + 1):
            self.start_balancer(number)
        for number, service in enumerate(services, 1):
            ip = self.server_ip(number)
            self.services[ip] = service
            self.servers[ip] = self.make_server(ip)
            self.start_agent(ip)
            self.put_server(number)

    def server_ip(self, number):
        return f'{self.network}.1.{number}'

    def make_server(self, ip):
        return platform_standin.FlowServer(ip, self.ports)

    def put_server(self, number, **changes):
        ip = self.server_ip(number)
        service = self.services[ip]
        self.store.put_server(
            f'i-{number}', ip, self.ports['app'], service, **changes
        )

    def start_balancer(self, number):
        ip = f'{self.network}.2.{number}'
        self._start('balancer', ip, self._settings(ip))

    def start_agent(self, ip):
        settings = self._settings(ip)
        settings['listen.outbound'] = f'{ip}:{self.ports["outbound"]}'
        settings['app'] = f'{ip}:{self.ports["app"]}'
        settings['service'] = self.services[ip]
        self._start('agent', ip, settings)

    def _settings(self, ip):
        return {
            'node': f'node-{ip}',
            'zone': 'dakar',
            'listen.datagram_address': f'{ip}:{self.ports["packets"]}',
            'listen.ready_address': f'{ip}:{self.ports["ready"]}',
            'internal_ports': f'{self.ports["peers"]},{self.ports["peers"]}',
            'seeds': f'{self.network}.2.1:{self.ports["control"]}',
            'bootstrap': self.is_first_start,
            'bounds.max_flow_s': '60',
            'platform.address': '{}:{}'.format(*self.store_address),
        }

    def _start(self, program, ip, settings):
        self.processes[ip] = platform_standin.Process(
            program, settings, self.folder / f'{program}-{ip}.conf'
        )

    def balancer(self, number=1):
        return (f'{self.network}.2.{number}', self.ports['packets'])

    def client(self, balancer=1):
        port = next(self.client_ports)
        ip = f'{self.network}.3.{port % 200 + 1}'
        client = platform_standin.Client(
            ip, port, self.ports['packets'], self.balancer(balancer)
        )
        self.clients.append(client)
        return client

    def serve(self, balancer=1):
        """Send one request over a new flow and return the answer, or None."""
        client = self.client(balancer)
        try:
            if client.open() is None:
                return None
            return client.request(b'request %d' % client.end[1])
        finally:
            client.close()

    def are_all_servers_used(self):
        """Return whether both balancers send requests to every server."""
        for balancer in (1, 2):
            counts = {ip: len(s.requests) for ip, s in self.servers.items()}
            for _ in range(8):
                self.serve(balancer)
            if any(
                len(self.servers[ip].requests) == count
                for ip, count in counts.items()
            ):
                return False
        return True

    def wait_until(self, condition, limit_ms=START_TIMEOUT_MS):
        """Wait for a condition; return whether it was met in time."""
        with gevent.Timeout(limit_ms / 1000, False):
            while not condition():
                gevent.sleep(0.05)
            return True
        return False

    def is_ready(self, ip):
        try:
            with gevent.Timeout(1):
                sock = gevent.socket.create_connection(
                    (ip, self.ports['ready'])
                )
                sock.sendall(b'GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
                return b' 200 ' in sock.recv(200)
        except (OSError, gevent.Timeout):
            return False

    def close(self):
        for process in self.processes.values():
            process.stop()
        for closable in (*self.servers.values(), self.store):
            closable.stop()
        for client in self.clients:
            client.close()
