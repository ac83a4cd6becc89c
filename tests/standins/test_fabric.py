"""Guards against a fabric that loses, corrupts or misdelivers bytes."""

import random
import time

import attrs
import gevent
from gevent import socket
import pytest
from standins import echo_agent

from kingcupport.common import address
from kingcupport.common import clock as clock_module
from kingcupport.standins import fabric as fabric_module
from kingcupport.standins import fabric_connection
from kingcupport.standins import fabric_faults
from kingcupport.standins import loopback_ports
from kingcupport.wire import packet as packet_module

_KIND = packet_module.PacketKind
_SEED = 7
# Seed for the choice of balancers. It is fixed because one test loses half of
# the packets to a cut balancer, and recovering from eight consecutive losses
# takes more than 10 s.
_BALANCER_CHOICE_SEED = 3


def _free_address():
    sock = socket.socket()
    sock.bind(('127.0.0.1', 0))
    port = sock.getsockname()[1]
    sock.close()
    return address.Address('127.0.0.1', port)


@pytest.fixture
def service_address():
    return _free_address()


@pytest.fixture
def fabric(service_address):
    fabric = fabric_module.Fabric(
        loopback_ports.LoopbackPorts(random.Random()).allocate(),
        clock_module.make_system_clock(),
        random.Random(_BALANCER_CHOICE_SEED),
        random.Random(_SEED),
    )
    fabric.set_services([service_address])
    fabric.start()
    yield fabric
    fabric.stop()


@pytest.fixture
def agent(fabric):
    agent = echo_agent.EchoAgent()
    fabric.set_balancers([agent.address])
    yield agent
    agent.stop()


def _connect(service_address):
    sock = socket.create_connection(service_address.as_tuple(), timeout=10)
    sock.settimeout(10)
    return sock


def _receive_all(sock):
    chunks = []
    while chunk := sock.recv(65536):
        chunks.append(chunk)
    return b''.join(chunks)


def _echo(service_address, data):
    sock = _connect(service_address)
    writer = gevent.spawn(_send_and_close, sock, data)
    received = _receive_all(sock)
    writer.get()
    sock.close()
    return received


def _send_and_close(sock, data):
    sock.sendall(data)
    sock.shutdown(socket.SHUT_WR)


def _wait_until(condition):
    deadline = time.monotonic() + 5
    while not condition():
        assert time.monotonic() < deadline
        gevent.sleep(0.01)


def test_bytes_are_echoed_unchanged(fabric, agent, service_address):
    data = random.Random(_SEED).randbytes(1_000_000)
    assert _echo(service_address, data) == data
    _wait_until(lambda: fabric.connection_count == 0)
    assert fabric.counts['closed'] == 1


def test_bytes_are_echoed_unchanged_over_faulty_paths(
    fabric, agent, service_address
):
    fabric.faults = fabric_faults.FabricFaults(
        drop_percent=5, duplicate_percent=5, reorder_percent=5
    )
    tasks = []
    for number in range(5):
        data = random.Random(number).randbytes(60_000)
        tasks.append((data, gevent.spawn(_echo, service_address, data)))
    for data, task in tasks:
        assert task.get(timeout=30) == data
    for fault in ('dropped', 'duplicated', 'reordered'):
        assert fabric.counts[fault] > 0
    fabric.faults = fabric_faults.FabricFaults()
    _wait_until(lambda: fabric.connection_count == 0)
    assert fabric.counts['closed'] == 5


def test_packets_reach_every_balancer(fabric, service_address):
    agents = [echo_agent.EchoAgent() for _ in range(2)]
    # Both share their connections, like balancers in front of one agent.
    agents[1].connections = agents[0].connections
    fabric.set_balancers([a.address for a in agents])
    data = random.Random(_SEED).randbytes(100_000)
    assert _echo(service_address, data) == data
    assert all(len(a.packets) > 10 for a in agents)
    for a in agents:
        a.stop()


def test_cut_balancer_receives_no_packets(fabric, agent, service_address):
    cut_address = _free_address()
    fabric.set_balancers([agent.address, cut_address])
    fabric.faults = fabric_faults.FabricFaults(
        cut_balancers=[str(cut_address)]
    )
    assert _echo(service_address, b'x' * 5000) == b'x' * 5000
    assert fabric.counts['cut'] > 0


def test_balancer_whose_port_is_closed_is_avoided(
    fabric, agent, service_address
):
    # Otherwise every second packet is lost until the balancer is removed.
    fabric.set_balancers([agent.address, _free_address()])
    data = random.Random(_SEED).randbytes(100_000)
    started = time.monotonic()
    assert _echo(service_address, data) == data
    seconds = time.monotonic() - started
    assert fabric.counts['unreachable'] > 0
    assert fabric.counts['packets_sent'] < 500
    assert seconds < 5


def test_open_is_retransmitted_until_a_balancer_exists(
    fabric, service_address
):
    sock = _connect(service_address)
    sock.sendall(b'early')
    gevent.sleep(0.3)
    agent = echo_agent.EchoAgent()
    fabric.set_balancers([agent.address])
    assert sock.recv(100) == b'early'
    assert fabric.counts['no_balancer'] > 0
    sock.close()
    agent.stop()


def test_first_stream_id_is_used(fabric, service_address):
    agent = echo_agent.EchoAgent()
    delayed_agent = echo_agent.EchoAgent(open_delay_s=0.3)
    fabric.set_balancers([delayed_agent.address])
    sock = _connect(service_address)
    _wait_until(lambda: delayed_agent.connections)
    fabric.set_balancers([agent.address])
    _wait_until(lambda: agent.connections)
    gevent.sleep(0.4)
    sock.sendall(b'abc')
    assert sock.recv(100) == b'abc'
    sock.close()
    agent.stop()
    delayed_agent.stop()


def test_idle_connection_confirms_the_stream_id(
    fabric, agent, service_address
):
    # An agent discards a half-open connection that is not confirmed.
    sock = _connect(service_address)
    _wait_until(lambda: len(agent.packets) >= 3)
    (connection,) = agent.connections.values()
    assert [p.kind for p in agent.packets[:3]] == [
        _KIND.OPEN,
        _KIND.ACK,
        _KIND.ACK,
    ]
    assert agent.packets[1].stream_id == connection.stream_id
    sock.close()


def test_reset_by_the_agent_breaks_the_connection(
    fabric, agent, service_address
):
    sock = _connect(service_address)
    sock.sendall(b'abc')
    assert sock.recv(100) == b'abc'
    (connection,) = agent.connections.values()
    connection.send(_KIND.RESET)
    with pytest.raises(ConnectionResetError):
        sock.recv(100)
    _wait_until(lambda: fabric.counts['reset_by_agent'] == 1)


def test_reset_with_another_stream_id_is_ignored(
    fabric, agent, service_address
):
    sock = _connect(service_address)
    sock.sendall(b'abc')
    assert sock.recv(100) == b'abc'
    (connection,) = agent.connections.values()
    original_stream_id = connection.stream_id
    connection.stream_id = original_stream_id ^ 1
    connection.send(_KIND.RESET)
    connection.send(_KIND.DATA, 3, b'foreign')
    connection.stream_id = original_stream_id
    sock.sendall(b'def')
    assert sock.recv(100) == b'def'
    sock.close()


def test_packet_of_another_service_is_not_delivered(
    fabric, agent, service_address
):
    sock = _connect(service_address)
    sock.sendall(b'abc')
    assert sock.recv(100) == b'abc'
    (connection,) = agent.connections.values()
    opening = connection._opening
    connection._opening = attrs.evolve(opening, service_address='127.0.0.1:1')
    connection.send(_KIND.DATA, 3, b'foreign')
    connection._opening = opening
    _wait_until(lambda: fabric.counts['wrong_addresses'] == 1)
    sock.sendall(b'def')
    assert sock.recv(100) == b'def'
    sock.close()


def test_reset_by_the_caller_reaches_the_agent(fabric, agent, service_address):
    sock = _connect(service_address)
    sock.sendall(b'abc')
    assert sock.recv(100) == b'abc'
    sock.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_LINGER,
        fabric_connection._LINGER_RESET,
    )
    sock.close()
    _wait_until(lambda: agent.packets[-1].kind == _KIND.RESET)
    assert fabric.counts['reset_by_caller'] == 1


def test_repeated_close_is_acknowledged_after_the_end(
    fabric, agent, service_address
):
    # Otherwise the agent retransmits its CLOSE until it times out.
    assert _echo(service_address, b'abc') == b'abc'
    _wait_until(lambda: fabric.connection_count == 0)
    (connection,) = agent.connections.values()
    before = len(agent.packets)
    connection.send(_KIND.CLOSE, 3)
    _wait_until(lambda: len(agent.packets) > before)
    assert agent.packets[-1].kind == _KIND.ACK
    assert agent.packets[-1].ack == 4


def test_packet_of_an_unknown_connection_is_reset(
    fabric, agent, service_address
):
    unknown_packet = packet_module.Packet(
        int(_KIND.DATA), 5, 6, 0, 0, b'x', 'a:1', 'b:2', str(agent.address)
    )
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.sendto(
        packet_module.encode_packet(unknown_packet),
        fabric.return_address.as_tuple(),
    )
    _wait_until(lambda: agent.packets)
    assert agent.packets[0].kind == _KIND.RESET
    assert agent.packets[0].stream_id == 6


def test_random_datagrams_do_not_affect_connections(
    fabric, agent, service_address
):
    sock = _connect(service_address)
    sock.sendall(b'abc')
    assert sock.recv(100) == b'abc'
    (connection,) = agent.connections.values()
    rng = random.Random(_SEED)
    valid = packet_module.encode_packet(
        attrs.evolve(
            connection._opening,
            kind=int(_KIND.DATA),
            stream_id=connection.stream_id ^ 1,
        )
    )
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    target = fabric.return_address.as_tuple()
    sent = 0
    for _ in range(3000):
        random_data = rng.randbytes(rng.randrange(200))
        damaged = bytearray(valid)
        damaged[rng.randrange(len(valid))] = rng.randrange(256)
        for data in (random_data, bytes(damaged)):
            sender.sendto(data, target)
            sent += 1
        gevent.sleep(0)
    _wait_until(
        lambda: (
            fabric.counts['malformed'] + fabric.counts['packets_received']
            >= sent
        )
    )
    assert fabric.counts['malformed'] > 3000
    sock.sendall(b'def')
    assert sock.recv(100) == b'def'
    sock.close()
