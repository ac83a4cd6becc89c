"""The real programs between stand-ins of the platform."""

import itertools

import gevent
import platform_standin

# A program starts in 300 ms; the machine may be busy.
START_MS = 15_000
_numbers = itertools.count(1)


class Bed:
    """A store, two servers with agents, two balancers."""

    def __init__(self, folder):
        base = 20_000 + 40 * (next(_numbers) % 200)
        self.ports = {
            'packets': base,
            'ready': base + 1,
            'outbound': base + 2,
            'app': base + 3,
            'control': base + 4,
            'peers': base + 5,
        }
        self.folder = folder
        # Only when the whole system starts for the first time.
        self.is_first_start = 'true'
        self.store = platform_standin.Store()
        self.store.put_configuration()
        self.processes = {}
        self.servers = {}
        self.clients = []
        self.client_ports = itertools.count(30_000)
        for number in (1, 2):
            self.start_balancer(number)
        for number in (1, 2):
            ip = f'127.0.1.{number}'
            self.servers[ip] = platform_standin.FlowServer(ip, self.ports)
            self.start_agent(ip)
            self.store.put_server(f'i-{number}', ip, self.ports['app'])

    def start_balancer(self, number):
        ip = f'127.0.2.{number}'
        settings = self._settings(ip)
        self._start('balancer', ip, settings)

    def start_agent(self, ip):
        settings = self._settings(ip)
        settings['listen.outbound'] = f'{ip}:{self.ports["outbound"]}'
        settings['app'] = f'{ip}:{self.ports["app"]}'
        settings['service'] = 'gate'
        self._start('agent', ip, settings)

    def _settings(self, ip):
        return {
            'node': f'node-{ip}',
            'zone': 'dakar',
            'listen.datagram_address': f'{ip}:{self.ports["packets"]}',
            'listen.ready_address': f'{ip}:{self.ports["ready"]}',
            'internal_ports': f'{self.ports["peers"]},{self.ports["peers"]}',
            'seeds': f'127.0.2.1:{self.ports["control"]}',
            'bootstrap': self.is_first_start,
            'bounds.max_flow_s': '60',
            'platform.address': '{}:{}'.format(*self.store.address),
        }

    def _start(self, program, ip, settings):
        self.processes[ip] = platform_standin.Process(
            program, settings, self.folder / f'{program}-{ip}.conf'
        )

    def balancer(self, number=1):
        return (f'127.0.2.{number}', self.ports['packets'])

    def client(self, balancer=1):
        port = next(self.client_ports)
        ip = f'127.0.3.{port % 200 + 1}'
        client = platform_standin.Client(
            ip, port, self.ports['packets'], self.balancer(balancer)
        )
        self.clients.append(client)
        return client

    def serve(self, balancer=1):
        """Return the answer to one request over a flow of its own."""
        client = self.client(balancer)
        try:
            if client.open() is None:
                return None
            return client.request(b'request %d' % client.end[1])
        finally:
            client.close()

    def wait_until(self, condition, limit_ms=START_MS):
        """Wait for a condition; return whether it came in time."""
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
