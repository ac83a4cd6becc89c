"""Runs the real programs between stand-ins of the platform."""

import itertools
import signal

import gevent
import platform_standin
import pytest

# Bounds of the platform, in ms.
DRAIN_MS = 3_000
CONFIG_MS = 3_000
GRACE_MS = 6_000
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


@pytest.fixture
def bed(tmp_path):
    bed = Bed(tmp_path)
    try:
        assert bed.wait_until(lambda: bed.is_ready('127.0.2.1'))
        assert bed.wait_until(lambda: bed.is_ready('127.0.2.2'))
        assert bed.wait_until(lambda: bed.serve() is not None)
        yield bed
    finally:
        bed.close()


def test_requests_are_served_by_both_servers_and_balancers(bed):
    answers = [bed.serve(1 + n % 2) for n in range(20)]
    assert all(a.startswith(b'HTTP/1.1 200') for a in answers)
    assert all(server.requests for server in bed.servers.values())


def test_a_flow_goes_on_at_another_balancer(bed):
    client = bed.client(1)
    assert client.open() is not None
    assert client.request(b'request a') is not None
    answer = client.request(b'request b', balancer=bed.balancer(2))
    assert answer.endswith(b'request b')


def test_a_new_configuration_is_in_force_in_time(bed):
    bed.store.put_configuration(version=2, service='audio')
    gevent.sleep(CONFIG_MS / 1000)
    for balancer in (1, 2):
        answer = bed.client(balancer).open()
        assert answer[0] & platform_standin.RST


def test_a_draining_server_gets_no_new_flow_and_keeps_its_own(bed):
    clients = [bed.client() for _ in range(8)]
    assert all(client.open() is not None for client in clients)
    bed.store.put_server(
        'i-1', '127.0.1.1', bed.ports['app'], state='draining'
    )
    gevent.sleep(DRAIN_MS / 1000)
    before = len(bed.servers['127.0.1.1'].flows)
    assert all(bed.serve() is not None for _ in range(10))
    assert len(bed.servers['127.0.1.1'].flows) == before
    assert all(client.request(b'later') is not None for client in clients)


def test_requests_are_served_while_the_store_is_silent(bed):
    bed.store.is_silent = True
    gevent.sleep(2)
    assert all(bed.serve(1 + n % 2) is not None for n in range(6))
    bed.store.is_silent = False
    bed.store.put_configuration(version=5, service='audio')
    gevent.sleep(CONFIG_MS / 1000 + 3)
    assert bed.client().open()[0] & platform_standin.RST


def test_flows_survive_the_restart_of_a_balancer_and_an_agent(bed):
    client = bed.client(1)
    assert client.open() is not None
    assert client.request(b'request a') is not None
    holder = next(ip for ip, s in bed.servers.items() if client.end in s.flows)
    bed.processes[holder].signal(signal.SIGKILL)
    bed.processes['127.0.2.1'].signal(signal.SIGKILL)
    gevent.sleep(0.2)
    bed.is_first_start = 'false'
    bed.start_agent(holder)
    bed.start_balancer(1)
    assert bed.wait_until(lambda: bed.is_ready('127.0.2.1'))
    assert bed.wait_until(lambda: bed.is_ready(holder))
    answer = client.request(b'request b', tries=15)
    assert answer.endswith(b'request b')


def test_sigterm_ends_a_balancer_in_time_and_unready_first(bed):
    process = bed.processes['127.0.2.1']
    process.signal(signal.SIGTERM)
    assert bed.wait_until(lambda: not bed.is_ready('127.0.2.1'), 1_000)
    assert bed.serve(1) is not None
    assert process.wait(GRACE_MS / 1000) == 0
    assert 'event=stopping' in process.log()


def test_sighup_and_changed_settings_are_reloaded(bed):
    process = bed.processes['127.0.2.1']
    process.signal(signal.SIGHUP)
    assert bed.wait_until(lambda: 'settings reloaded' in process.log(), 3_000)
    text = process.path.read_text()
    process.path.write_text(text.replace('127.0.2.1:', '127.0.2.2:') + '\n')
    assert bed.wait_until(
        lambda: process.log().count('settings reloaded') == 2, 5_000
    )
    assert process.wait(0.1) is None


def test_a_request_can_be_followed_in_the_logs(bed):
    client = bed.client()
    client.open()
    client.request(
        b'GET / HTTP/1.1\r\nX-Kingcupport-Request-Id: find-me\r\n\r\n'
    )
    logs = [process.log() for process in bed.processes.values()]
    lines = [line for log in logs for line in log.splitlines()]
    delivered = [line for line in lines if 'request=find-me' in line]
    assert any('request delivered' in line for line in delivered)
    assert any('request answered' in line for line in delivered)
    flow = f'flow={client.end[0]}:{client.end[1]}'
    placed = [line for line in lines if flow in line and 'flow placed' in line]
    assert len(placed) == 1


def test_metrics_are_served(bed):
    bed.serve()
    for ip, name in (
        ('127.0.2.1', b'kingcupport_balancer_flows_placed_total'),
        ('127.0.1.1', b'kingcupport_agent_answers_total'),
    ):
        sock = gevent.socket.create_connection((ip, bed.ports['ready']))
        sock.sendall(b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n')
        with gevent.Timeout(5):
            text = b''
            while name not in text:
                text += sock.recv(65_536)
        sock.close()
