"""Connections, packets and requests of one real agent process.

This process plays the balancer, the fabric, the backend server and the
configuration service; the agent is ``python -m kingcupport.agent``. Its
service has 11 hosts unless told otherwise, as many as 5,600 hosts give to
each of 520 services; the others do not answer. Figures are the agent's
processor time, which a busy machine changes less than elapsed time.

    python bench/agent_connections.py [hosts]
"""

from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import agent_fabric  # noqa: E402
import gevent  # noqa: E402
import gevent.pywsgi  # noqa: E402
import process_figures as figures  # noqa: E402

from kingcupport.common import address as address_module  # noqa: E402
from kingcupport.common import clock as clock_module  # noqa: E402
from kingcupport.fleet import backend_server  # noqa: E402
from kingcupport.fleet import fleet as fleet_module  # noqa: E402
from kingcupport.fleet import service  # noqa: E402
from kingcupport.routing import fleet_tables  # noqa: E402
from kingcupport.standins import configuration_service  # noqa: E402
from kingcupport.standins import process_probe  # noqa: E402
from kingcupport.standins import published_state  # noqa: E402
from kingcupport.wire import packet as packet_module  # noqa: E402

HOSTS = 11
STAGES = (1_000, 2_000, 5_000, 10_000, 20_000)
DATA_CONNECTIONS = 2_000
DATA_ROUNDS = 10
DATA_BYTES = 100
REQUESTS = 4_000
MAX_OUTSTANDING = 64
MAX_REQUESTS_OUTSTANDING = 8
IDLE_S = 5
SETTLE_S = 1.5
START_TIMEOUT_S = 20
# Nothing listens on the addresses of the other hosts.
OTHER_HOST_IP = '127.2.0'

_KIND = packet_module.PacketKind
_GET = b'GET /tickets HTTP/1.1\r\nHost: tickets\r\n\r\n'
_POST = (
    b'POST /tickets HTTP/1.1\r\nHost: tickets\r\nContent-Length: 900000\r\n'
    b'\r\n'
)


class Run:
    """The measurements on one agent process.

    Args:
        process: Popen object of the agent.
        fabric: Fabric.
        owned_ids: Connection ids that the agent owns, an iterator.
    """

    def __init__(self, process, fabric, owned_ids):
        self._pid = process.pid
        self._fabric = fabric
        self._owned_ids = owned_ids
        self._idle_share = 0

    def measure_idle(self, name):
        """Measure the processor time without packets."""
        before_s = figures.processor_s(self._pid)
        gevent.sleep(IDLE_S)
        used_s = figures.processor_s(self._pid) - before_s
        self._idle_share = used_s / IDLE_S
        figures.print_figure(
            name, f'{100 * self._idle_share:.2f}', '% of a core'
        )

    def _measure(self, name, count, actions, max_outstanding):
        before_s = figures.processor_s(self._pid)
        started = time.monotonic()
        self._fabric.run(actions, max_outstanding)
        elapsed_s = time.monotonic() - started
        used_s = figures.processor_s(self._pid) - before_s
        net_s = used_s - self._idle_share * elapsed_s
        figures.print_figure(
            name,
            f'{1e6 * net_s / count:.1f}',
            'us of processor time each',
            f'{count} in {elapsed_s:.2f} s, {count / elapsed_s:.0f}/s '
            f'elapsed, agent busy {100 * used_s / elapsed_s:.0f} %',
        )
        return net_s / count

    def open_connections(self):
        """Open connections in stages; print the memory of each."""
        peers = self._fabric.peers
        memory = {}
        for stage in STAGES:
            count = stage - len(peers)
            cost_s = self._measure(
                f'open and confirm up to {stage}',
                count,
                self._opens(count),
                MAX_OUTSTANDING,
            )
            gevent.sleep(SETTLE_S)
            memory[stage] = figures.memory_kb(self._pid)
            figures.print_figure(
                f'RSS with {stage} idle connections', memory[stage], 'KB'
            )
        figures.print_figure(
            'new connections a second on one core',
            f'{1 / cost_s:.0f}',
            '/s',
            'computed from the last stage',
        )
        first, last = STAGES[0], STAGES[-1]
        slope = (memory[last] - memory[first]) / (last - first)
        figures.print_figure(
            'memory for each thousand idle connections',
            f'{1000 * slope:.0f}',
            'KB',
            f'slope from {first} to {last}',
        )

    def _opens(self, count):
        for _ in range(count):
            peer = agent_fabric.Peer(next(self._owned_ids))
            self._fabric.peers[peer.connection_id] = peer
            yield peer, lambda peer=peer: self._fabric.send(_KIND.OPEN, peer)

    def send_requests(self):
        """Send small requests, one at a time on each connection."""
        peers = list(self._fabric.peers.values())[:REQUESTS]
        actions = (
            (peer, lambda peer=peer: self._fabric.send(_KIND.DATA, peer, _GET))
            for peer in peers
        )
        self._measure(
            'small request end to end',
            len(peers),
            actions,
            MAX_REQUESTS_OUTSTANDING,
        )
        for peer in peers:
            peer.sent_offset += len(_GET)

    def send_data(self):
        """Send segments of request bodies."""
        peers = list(self._fabric.peers.values())[-DATA_CONNECTIONS:]
        self._fabric.run(self._segments(peers, [_POST]), MAX_OUTSTANDING)
        payloads = [bytes(DATA_BYTES)] * DATA_ROUNDS
        self._measure(
            f'DATA packet of {DATA_BYTES} bytes with its ACK',
            len(peers) * DATA_ROUNDS,
            self._segments(peers, payloads),
            MAX_OUTSTANDING,
        )

    def _segments(self, peers, payloads):
        for payload in payloads:
            for peer in peers:
                start = peer.due_offset or peer.sent_offset
                peer.sent_offset = start
                peer.due_offset = start + len(payload)
                yield (
                    peer,
                    lambda peer=peer, payload=payload: self._fabric.send(
                        _KIND.DATA, peer, payload
                    ),
                )

    def reset_all(self):
        """Reset every connection; print the memory that stays."""
        for number, peer in enumerate(self._fabric.peers.values()):
            self._fabric.send(_KIND.RESET, peer)
            if number % MAX_OUTSTANDING == 0:
                gevent.sleep(0.01)
        gevent.sleep(SETTLE_S)
        figures.print_figure(
            'RSS after all connections are reset',
            figures.memory_kb(self._pid),
            'KB',
        )


def make_fleet(agent_address, server_address, other_port, host_count):
    """Return a fleet of one service whose first host is under test."""
    addresses = [(agent_address, server_address)] + [
        (
            address_module.Address(f'{OTHER_HOST_IP}.{i}', other_port),
            address_module.Address(f'{OTHER_HOST_IP}.{i}', other_port + 1),
        )
        for i in range(1, host_count)
    ]
    name = agent_fabric.SERVICE_NAME
    hosts = {
        f'host-{i:04}': backend_server.BackendServer(
            f'host-{i:04}',
            name,
            agent,
            server,
            'dakar-plateau',
            slots=MAX_REQUESTS_OUTSTANDING,
        )
        for i, (agent, server) in enumerate(addresses)
    }
    parsed = address_module.parse_address(agent_fabric.SERVICE_ADDRESS)
    services = {name: service.Service(name, parsed)}
    return fleet_module.Fleet(1, 'd' * 32, services, {}, hosts)


def find_owned_ids(fleet, name):
    """Yield random connection ids whose first candidate is a host."""
    table = fleet_tables.FleetTables(fleet).table(agent_fabric.SERVICE_NAME)
    rng = random.Random(1)
    while True:
        connection_id = rng.getrandbits(64)
        if table.owner(connection_id) == name:
            yield connection_id


def _answer(environ, start_response):
    body = b'one ticket\n'
    length = ('Content-Length', str(len(body)))
    start_response('200 OK', [('Content-Type', 'text/plain'), length])
    return [body]


def _make_backend():
    listener = gevent.socket.socket()
    # The server sends head and body apart; without this the body waits 40 ms
    # for the delayed acknowledgement of the head. Accepted sockets inherit
    # the option.
    listener.setsockopt(
        gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1
    )
    listener.bind(('127.0.0.1', 0))
    listener.listen(64)
    return gevent.pywsgi.WSGIServer(
        listener, _answer, log=None, error_log=None
    )


def _write_settings(directory, agent_address, server, http, configuration):
    path = pathlib.Path(directory) / 'agent.toml'
    path.write_text(
        f"name = 'host-0000'\nservice = '{agent_fabric.SERVICE_NAME}'\n"
        f"data_centre = 'dakar-plateau'\naddress = '{agent_address}'\n"
        f"server_address = '{server}'\nhttp_address = '{http}'\n"
        f"configuration_address = '{configuration}'\n"
        f'slots_count = {MAX_REQUESTS_OUTSTANDING}\n'
        f'[limits]\nmax_connections_count = {STAGES[-1] + 1_000}\n',
        encoding='utf-8',
    )
    return path


def _wait_ready(probe):
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            if probe.ready():
                return
        except process_probe.ProbeError:
            pass
        gevent.sleep(0.1)
    raise SystemExit('the agent did not become ready')


def _measure_agent(directory, host_count):
    clock = clock_module.make_system_clock()
    agent, http, configuration = (
        address_module.Address('127.0.0.1', agent_fabric.free_port())
        for _ in range(3)
    )
    backend = _make_backend()
    backend.start()
    server = address_module.Address('127.0.0.1', backend.server_port)
    fleet = make_fleet(agent, server, agent_fabric.free_port(), host_count)
    state = published_state.PublishedState(clock)
    state.publish_fleet(fleet)
    standin = configuration_service.ConfigurationService(
        configuration, state, clock
    )
    standin.start()
    path = _write_settings(directory, agent, server, http, configuration)
    process = figures.start_program(
        'agent', path, pathlib.Path(directory) / 'agent.log'
    )
    try:
        _wait_ready(process_probe.ProcessProbe(http))
        fabric = agent_fabric.Fabric(agent)
        run = Run(process, fabric, find_owned_ids(fleet, 'host-0000'))
        gevent.sleep(SETTLE_S)
        figures.print_figure(
            'RSS without connections', figures.memory_kb(process.pid), 'KB'
        )
        run.measure_idle('idle without connections')
        run.open_connections()
        run.measure_idle(f'idle with {STAGES[-1]} connections')
        run.send_requests()
        run.send_data()
        figures.print_figure('sent again by the bench', fabric.resent, '')
        figures.print_figure('resets by the agent', fabric.resets, '')
        run.reset_all()
    finally:
        figures.stop_program(process)
        standin.stop()
        backend.stop(timeout=0)


def main():
    """Measure one agent process."""
    host_count = int(sys.argv[1]) if len(sys.argv) > 1 else HOSTS
    print(f'hosts of the service: {host_count}')
    with tempfile.TemporaryDirectory() as directory:
        _measure_agent(directory, host_count)


if __name__ == '__main__':
    main()
