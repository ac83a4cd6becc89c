"""Processor time of the platform's programs at start, at rest and per packet.

Runs the programs that ``deploy/build`` has written below target/, one at a
time, against stand-ins of the store and of the rest of a fleet with 24
balancers and 63 agents. All sockets are on the loopback network. Figures are
user and system time of the process.
"""

import argparse
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import gevent
from gevent import socket
import process_figures

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'tests/platform'))

import platform_standin  # noqa: E402

from kingcupport.wire import flow_datagrams  # noqa: E402

PORTS = {
    'packets': 23_100,
    'ready': 23_101,
    'outbound': 23_102,
    'app': 23_103,
    'control': 23_104,
    'peers': 23_105,
}
BALANCER_IPS = tuple(f'127.9.2.{number}' for number in range(1, 25))
AGENT_IPS = tuple(f'127.9.1.{number}' for number in range(1, 64))
CLIENT_IP = '127.9.3.1'
HEARTBEAT_INTERVAL_MS = 770
GREETING_INTERVAL_MS = 500
# Greetings with a question that each balancer gets in an interval.
GREETINGS_PER_INTERVAL = 3
# 63 agents are greeted at 32 greetings a second.
AGENT_GREETING_INTERVAL_MS = 1_969
# Packets of a process arrive one by one in a fleet, each with a wake-up.
PACKET_INTERVAL_MS = 1
START_TIMEOUT_S = 20
REQUEST = b'GET / HTTP/1.1\r\nX-Kingcupport-Request-Id: r%07d\r\n\r\n'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


class Endpoint:
    """UDP socket with a task that passes each datagram to a function."""

    def __init__(self, ip, port, on_datagram=None):
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        self._sock.bind((ip, port))
        self._on_datagram = on_datagram or (lambda *_: None)
        self.received_count = 0
        self.send = self._sock.sendto
        self._task = gevent.spawn(self._run)

    def _run(self):
        while True:
            data, source = self._sock.recvfrom(65_536)
            self.received_count += 1
            self._on_datagram(data, source)

    def close(self):
        """Stop the task and close the socket."""
        self._task.kill()
        self._sock.close()


class Program:
    """One process of a program of the platform."""

    def __init__(self, name, settings, folder):
        path = pathlib.Path(folder) / f'{name}.conf'
        path.write_text(
            ''.join(f'{key}={value}\n' for key, value in settings.items())
        )
        self._ready_ip = settings['listen.ready_address'].partition(':')[0]
        self._process = subprocess.Popen(
            [
                # Not the virtual environment's link, so that the module
                # archive's check of the interpreter's prefix passes.
                os.path.realpath(sys.executable),
                '-S',
                str(ROOT / f'target/bin/kingcupport-platform-{name}.py'),
            ],
            env={
                'PATH': os.environ['PATH'],
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'KINGCUPPORT_CONFIG': str(path),
            },
            stdout=subprocess.DEVNULL,
        )

    def wait_ready(self):
        """Wait until the process is ready; return its processor time in s."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            gevent.sleep(0.01)
            try:
                with socket.create_connection(
                    (self._ready_ip, PORTS['ready'])
                ) as sock:
                    sock.sendall(
                        b'GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n'
                    )
                    if b' 200 ' in sock.recv(200):
                        return self.processor_time_s()
            except OSError:
                continue
        raise TimeoutError('the program is not ready')

    def processor_time_s(self):
        """Return the processor time of the process, in seconds."""
        return process_figures.processor_time_s(self._process.pid)

    def stop(self):
        """Kill the process and wait for its end."""
        self._process.kill()
        self._process.wait()


class Fleet:
    """Store, agents and balancers around one balancer under benchmark."""

    def __init__(self):
        self.store = platform_standin.Store()
        self.store.page_size = 100
        self.store.put_configuration()
        for ip in AGENT_IPS:
            self._put_server(ip)
        self._peer_fields = None
        self.sequence = 1
        self.forwarded_count = 0
        self.accepts = True
        self.agents = {
            ip: Endpoint(ip, PORTS['packets'], self._agent_handler(ip))
            for ip in AGENT_IPS
        }
        self.peers = {
            ip: Endpoint(ip, PORTS['peers'], self._peer_handler(ip))
            for ip in BALANCER_IPS[1:]
        }
        self.balancer = (BALANCER_IPS[0], PORTS['peers'])
        self.tasks = [gevent.spawn(self._write), gevent.spawn(self._greet)]

    def _put_server(self, ip):
        self.store.put_server(f'i-{ip}', ip, PORTS['app'])

    def _write(self):
        while True:
            for ip in AGENT_IPS:
                gevent.sleep(HEARTBEAT_INTERVAL_MS / 1000 / len(AGENT_IPS))
                self._put_server(ip)
                del self.store.history[:-1_000]

    def _agent_handler(self, ip):
        def handle(data, source):
            datagram = flow_datagrams.decode(data)
            if isinstance(datagram, flow_datagrams.AgentGreeting):
                self.report(ip)
            elif isinstance(datagram, flow_datagrams.FlowEnvelope):
                self.forwarded_count += 1
                if datagram.packet_data[0] & platform_standin.SYN:
                    status = flow_datagrams.FlowStatus(
                        datagram.packet_data[4:16], 1
                    )
                    self.agents[ip].send(flow_datagrams.encode(status), source)
                    self.report(ip)

        return handle

    def report(self, ip):
        """Send a load report of the agent at an address."""
        self.sequence += 1
        report = flow_datagrams.LoadReport(
            1, self.sequence, 'gate', 0, 0, 0, False, False, True
        )
        self.agents[ip].send(flow_datagrams.encode(report), self.balancer)

    def _peer_handler(self, ip):
        def handle(data, _source):
            greeting = flow_datagrams.decode(data)
            self._peer_fields = greeting
            if greeting.wants_reply:
                self._send_greeting(ip, False, greeting.sent_ms)

        return handle

    def _send_greeting(self, ip, wants_reply, echo_ms):
        known = self._peer_fields
        greeting = flow_datagrams.BalancerGreeting(
            f'node-{ip}',
            known.configuration_version,
            known.content_revision,
            known.content_digest,
            known.read_revision,
            200,
            known.is_complete,
            True,
            False,
            wants_reply,
            int(time.monotonic() * 1000),
            echo_ms,
            list(BALANCER_IPS[1:17]),
        )
        self.peers[ip].send(flow_datagrams.encode(greeting), self.balancer)

    def _greet(self):
        while True:
            for ip in BALANCER_IPS[1:]:
                gevent.sleep(
                    GREETING_INTERVAL_MS / 1000 / GREETINGS_PER_INTERVAL
                )
                if self._peer_fields is not None:
                    self._send_greeting(ip, True, -1)

    def stop(self):
        """Stop all tasks and close all sockets."""
        gevent.killall(self.tasks)
        for endpoint in (*self.agents.values(), *self.peers.values()):
            endpoint.close()
        self.store.stop()


def _settings(ip, store_address):
    return {
        'node': f'node-{ip}',
        'zone': 'dakar',
        'listen.datagram_address': f'{ip}:{PORTS["packets"]}',
        'listen.ready_address': f'{ip}:{PORTS["ready"]}',
        'internal_ports': str(PORTS['peers']),
        'seeds': ','.join(f'{ip}:1' for ip in BALANCER_IPS[1:3]),
        'bootstrap': 'true',
        'bounds.max_flow_s': '60',
        'heartbeat_interval_ms': str(HEARTBEAT_INTERVAL_MS),
        'platform.address': '{}:{}'.format(*store_address),
    }


def _agent_settings(ip):
    return {
        **_settings(ip, ('127.0.0.1', 1)),
        'listen.outbound': f'{ip}:{PORTS["outbound"]}',
        'app': f'{ip}:{PORTS["app"]}',
        'service': 'gate',
    }


def _packet(number, flags, **fields):
    client = (CLIENT_IP, 1_024 + number % 60_000)
    return platform_standin.make_packet(
        client, platform_standin.SERVICE_ADDRESS, flags, **fields
    )


def _server_packet(number, flags, **fields):
    client = (CLIENT_IP, 1_024 + number % 60_000)
    return platform_standin.make_packet(
        platform_standin.SERVICE_ADDRESS, client, flags, **fields
    )


def _time_packets(program, rest_ratio, count, send):
    """Return processor time per call of ``send(number)`` in us.

    The time that the process takes at rest is subtracted.
    """
    gevent.sleep(0.2)
    started_s = program.processor_time_s()
    started = time.monotonic()
    for number in range(count):
        send(number)
        gevent.sleep(PACKET_INTERVAL_MS / 1000)
    gevent.sleep(0.1)
    elapsed_s = time.monotonic() - started
    spent_s = program.processor_time_s() - started_s
    return (spent_s - rest_ratio * elapsed_s) / count * 1e6


def _rest_ratio(program, rest_s):
    # The import of the view exchange 1 s after the start is not part of it.
    gevent.sleep(2.5)
    started_s = program.processor_time_s()
    started = time.monotonic()
    gevent.sleep(rest_s)
    return (program.processor_time_s() - started_s) / (
        time.monotonic() - started
    )


def measure_balancer(folder, rest_s, packets):
    """Return the figures of one balancer by name."""
    fleet = Fleet()
    client = Endpoint(CLIENT_IP, PORTS['packets'])
    program = Program(
        'balancer', _settings(BALANCER_IPS[0], fleet.store.address), folder
    )
    address = (BALANCER_IPS[0], PORTS['packets'])
    try:
        figures = {'start, ms': program.wait_ready() * 1000}
        rest_ratio = _rest_ratio(program, rest_s)
        figures['rest, ms/s'] = rest_ratio * 1000

        def open_flow(number):
            client.send(_packet(number, platform_standin.SYN, seq=7), address)

        def send_data(number):
            client.send(
                _packet(
                    number % 100,
                    platform_standin.ACK,
                    seq=8,
                    ack=2,
                    data=REQUEST % number,
                ),
                address,
            )

        cases = {
            'opening, status and report, us': open_flow,
            'known flow, us': send_data,
            'report, us': lambda n: fleet.report(AGENT_IPS[n % 63]),
        }
        for name, send in cases.items():
            figures[name] = _time_packets(program, rest_ratio, packets, send)
        if fleet.forwarded_count < 1.95 * packets:
            raise RuntimeError(f'only {fleet.forwarded_count} forwarded')
        return figures
    finally:
        program.stop()
        client.close()
        fleet.stop()


def measure_agent(folder, rest_s, packets):
    """Return the figures of one agent by name."""
    ip = AGENT_IPS[0]
    balancers = [Endpoint(ip, PORTS['peers']) for ip in BALANCER_IPS]
    server = Endpoint(ip, PORTS['app'])
    client = Endpoint(CLIENT_IP, PORTS['packets'])
    agent = (ip, PORTS['packets'])
    greeting = flow_datagrams.encode(
        flow_datagrams.AgentGreeting('node', AGENT_GREETING_INTERVAL_MS)
    )

    def greet():
        while True:
            for balancer in balancers:
                gevent.sleep(
                    AGENT_GREETING_INTERVAL_MS / 1000 / len(balancers)
                )
                balancer.send(greeting, agent)

    program = Program('agent', _agent_settings(ip), folder)
    greeter = None
    try:
        figures = {'start, ms': program.wait_ready() * 1000}
        greeter = gevent.spawn(greet)
        rest_ratio = _rest_ratio(program, rest_s)
        figures['rest, ms/s'] = rest_ratio * 1000

        def send_envelope(packet, slot_limit=0):
            envelope = flow_datagrams.FlowEnvelope('gate', slot_limit, packet)
            balancers[0].send(flow_datagrams.encode(envelope), agent)

        def send_answer(packet):
            server.send(packet, (ip, PORTS['outbound']))

        def open_flow(number):
            send_envelope(_packet(number, platform_standin.SYN, seq=7), 2_000)
            send_answer(
                _server_packet(
                    number,
                    platform_standin.SYN | platform_standin.ACK,
                    seq=1_000,
                    ack=8,
                )
            )

        def request(number):
            # Each request is answered before the next, as a server does.
            flow = number % 1_000
            send_envelope(
                _packet(
                    flow,
                    platform_standin.ACK,
                    seq=8 + 100 * (number // 1_000),
                    ack=1_001,
                    data=REQUEST % number,
                )
            )
            gevent.sleep(PACKET_INTERVAL_MS / 1000)
            send_answer(
                _server_packet(
                    flow, platform_standin.ACK, seq=1_001, ack=8, data=ANSWER
                )
            )

        cases = {
            'opening and its answer, us': open_flow,
            'request and its answer, us': request,
            'client packet without data, us': lambda n: send_envelope(
                _packet(n % 1_000, platform_standin.ACK, seq=8, ack=1_001)
            ),
            'server packet without data, us': lambda n: send_answer(
                _server_packet(
                    n % 1_000, platform_standin.ACK, seq=1_001, ack=8
                )
            ),
            'greeting and report, us': lambda n: balancers[n % 24].send(
                greeting, agent
            ),
        }
        for name, send in cases.items():
            figures[name] = _time_packets(program, rest_ratio, packets, send)
        if server.received_count < 2.9 * packets:
            raise RuntimeError(f'only {server.received_count} reached it')
        return figures
    finally:
        if greeter is not None:
            greeter.kill()
        program.stop()
        for endpoint in (*balancers, server, client):
            endpoint.close()


def main():
    """Print the median and the range of each figure over all runs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--runs', type=int, default=5)
    parser.add_argument('--rest-s', type=float, default=5.0)
    parser.add_argument('--packets', type=int, default=1_000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        for program, measure in (
            ('balancer', measure_balancer),
            ('agent', measure_agent),
        ):
            runs = [
                measure(folder, options.rest_s, options.packets)
                for _ in range(options.runs)
            ]
            print(f'{program}: median (least to most) of {len(runs)} runs')
            for name in runs[0]:
                values = [run[name] for run in runs]
                print(
                    f'  {name:34} {statistics.median(values):7.1f}'
                    f' ({min(values):.1f} to {max(values):.1f})'
                )


if __name__ == '__main__':
    main()
