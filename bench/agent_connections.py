"""Measures the cost of connections, packets and requests in one agent.

The agent is a real process (``python -m kingcupport.agent``). This process
stands in for the balancer, the fabric, the backend server and the
configuration service. The service has 11 hosts by default, about as many as
each of 520 services has in a fleet of 5,600 hosts; the other hosts do not
answer. Costs are given as processor time of the agent, which depends less on
the load of the machine than elapsed time.

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

HOST_COUNT = 11
CONNECTION_STAGES = (1_000, 2_000, 5_000, 10_000, 20_000)
DATA_CONNECTION_COUNT = 2_000
DATA_ROUND_COUNT = 10
DATA_PAYLOAD_BYTES = 100
REQUEST_COUNT = 4_000
MAX_OUTSTANDING_EXCHANGES = 64
MAX_OUTSTANDING_REQUESTS = 8
IDLE_S = 5
SETTLE_S = 1.5
START_TIMEOUT_S = 20
# Prefix of the addresses of the other hosts, on which nothing listens.
OTHER_HOSTS_PREFIX = '127.2.0'

_KIND = packet_module.PacketKind
_GET_REQUEST = b'GET /tickets HTTP/1.1\r\nHost: tickets\r\n\r\n'
_POST_REQUEST_HEAD = (
    b'POST /tickets HTTP/1.1\r\nHost: tickets\r\nContent-Length: 900000\r\n'
    b'\r\n'
)


class AgentMeasurement:
    """Measures one agent process.

    Args:
        process: Popen object of the agent.
        fabric: Fabric.
        owned_ids: Iterator of connection ids that the agent owns.
    """

    def __init__(self, process, fabric, owned_ids):
        self._pid = process.pid
        self._fabric = fabric
        self._owned_ids = owned_ids
        self._idle_core_share = 0

    def measure_idle(self, name):
        """Measure the processor time of the agent without traffic."""
        before_s = figures.processor_time_s(self._pid)
        gevent.sleep(IDLE_S)
        processor_used_s = figures.processor_time_s(self._pid) - before_s
        self._idle_core_share = processor_used_s / IDLE_S
        figures.print_figure(
            name, f'{100 * self._idle_core_share:.2f}', '% of a core'
        )

    def _measure(self, name, count, actions, max_outstanding):
        before_s = figures.processor_time_s(self._pid)
        started = time.monotonic()
        self._fabric.run_exchanges(actions, max_outstanding)
        elapsed_s = time.monotonic() - started
        processor_used_s = figures.processor_time_s(self._pid) - before_s
        net_processor_s = processor_used_s - self._idle_core_share * elapsed_s
        figures.print_figure(
            name,
            f'{1e6 * net_processor_s / count:.1f}',
            'us of processor time each',
            f'{count} in {elapsed_s:.2f} s, {count / elapsed_s:.0f}/s '
            f'elapsed, agent busy {100 * processor_used_s / elapsed_s:.0f} %',
        )
        return net_processor_s / count

    def open_connections(self):
        """Open connections in stages; print the memory at each stage."""
        connections = self._fabric.connections
        memory = {}
        for stage in CONNECTION_STAGES:
            count = stage - len(connections)
            cost_s = self._measure(
                f'open and confirm up to {stage}',
                count,
                self._open_actions(count),
                MAX_OUTSTANDING_EXCHANGES,
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
        first, last = CONNECTION_STAGES[0], CONNECTION_STAGES[-1]
        kb_per_connection = (memory[last] - memory[first]) / (last - first)
        figures.print_figure(
            'memory for each thousand idle connections',
            f'{1000 * kb_per_connection:.0f}',
            'KB',
            f'slope from {first} to {last}',
        )

    def _open_actions(self, count):
        for _ in range(count):
            connection = agent_fabric.CallerConnection(next(self._owned_ids))
            self._fabric.connections[connection.connection_id] = connection
            yield (
                connection,
                lambda connection=connection: self._fabric.send(
                    _KIND.OPEN, connection
                ),
            )

    def send_requests(self):
        """Send small requests, one at a time on each connection."""
        connections = list(self._fabric.connections.values())[:REQUEST_COUNT]
        actions = (
            (
                connection,
                lambda connection=connection: self._fabric.send(
                    _KIND.DATA, connection, _GET_REQUEST
                ),
            )
            for connection in connections
        )
        self._measure(
            'small request end to end',
            len(connections),
            actions,
            MAX_OUTSTANDING_REQUESTS,
        )
        for connection in connections:
            connection.sent_offset += len(_GET_REQUEST)

    def send_data(self):
        """Send segments of request bodies."""
        connections = list(self._fabric.connections.values())[
            -DATA_CONNECTION_COUNT:
        ]
        self._fabric.run_exchanges(
            self._segment_actions(connections, [_POST_REQUEST_HEAD]),
            MAX_OUTSTANDING_EXCHANGES,
        )
        payloads = [bytes(DATA_PAYLOAD_BYTES)] * DATA_ROUND_COUNT
        self._measure(
            f'DATA packet of {DATA_PAYLOAD_BYTES} bytes with its ACK',
            len(connections) * DATA_ROUND_COUNT,
            self._segment_actions(connections, payloads),
            MAX_OUTSTANDING_EXCHANGES,
        )

    def _segment_actions(self, connections, payloads):
        for payload in payloads:
            for connection in connections:
                start = connection.awaited_offset or connection.sent_offset
                connection.sent_offset = start
                connection.awaited_offset = start + len(payload)
                yield (
                    connection,
                    lambda connection=connection, payload=payload: (
                        self._fabric.send(_KIND.DATA, connection, payload)
                    ),
                )

    def reset_all(self):
        """Reset every connection; print the memory that remains in use."""
        for number, connection in enumerate(self._fabric.connections.values()):
            self._fabric.send(_KIND.RESET, connection)
            if number % MAX_OUTSTANDING_EXCHANGES == 0:
                gevent.sleep(0.01)
        gevent.sleep(SETTLE_S)
        figures.print_figure(
            'RSS after all connections are reset',
            figures.memory_kb(self._pid),
            'KB',
        )


def make_fleet(agent_address, server_address, other_port, host_count):
    """Return a fleet of one service; its first host is the one under test."""
    addresses = [(agent_address, server_address)] + [
        (
            address_module.Address(f'{OTHER_HOSTS_PREFIX}.{i}', other_port),
            address_module.Address(
                f'{OTHER_HOSTS_PREFIX}.{i}', other_port + 1
            ),
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
            slots=MAX_OUTSTANDING_REQUESTS,
        )
        for i, (agent, server) in enumerate(addresses)
    }
    parsed = address_module.parse_address(agent_fabric.SERVICE_ADDRESS)
    services = {name: service.Service(name, parsed)}
    return fleet_module.Fleet(1, 'd' * 32, services, {}, hosts)


def find_owned_ids(fleet, name):
    """Yield random connection ids that the routing table assigns to a host."""
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


def _make_backend_server():
    listener = gevent.socket.socket()
    # The server sends the head and the body in separate writes. Without this
    # option the body waits 40 ms for the delayed acknowledgement of the head.
    # Accepted sockets inherit the option.
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
        f'slots_count = {MAX_OUTSTANDING_REQUESTS}\n'
        f'[limits]\nmax_connections_count = {CONNECTION_STAGES[-1] + 1_000}\n',
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
        address_module.Address('127.0.0.1', agent_fabric.find_free_port())
        for _ in range(3)
    )
    http_backend = _make_backend_server()
    http_backend.start()
    server = address_module.Address('127.0.0.1', http_backend.server_port)
    fleet = make_fleet(
        agent, server, agent_fabric.find_free_port(), host_count
    )
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
        measurement = AgentMeasurement(
            process, fabric, find_owned_ids(fleet, 'host-0000')
        )
        gevent.sleep(SETTLE_S)
        figures.print_figure(
            'RSS without connections', figures.memory_kb(process.pid), 'KB'
        )
        measurement.measure_idle('idle without connections')
        measurement.open_connections()
        measurement.measure_idle(
            f'idle with {CONNECTION_STAGES[-1]} connections'
        )
        measurement.send_requests()
        measurement.send_data()
        figures.print_figure('sent again by the bench', fabric.resent, '')
        figures.print_figure('resets by the agent', fabric.resets, '')
        measurement.reset_all()
    finally:
        figures.stop_program(process)
        standin.stop()
        http_backend.stop(timeout=0)


def main():
    """Measure one agent process."""
    host_count = int(sys.argv[1]) if len(sys.argv) > 1 else HOST_COUNT
    print(f'hosts of the service: {host_count}')
    with tempfile.TemporaryDirectory() as directory:
        _measure_agent(directory, host_count)


if __name__ == '__main__':
    main()
