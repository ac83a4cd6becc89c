"""Tests that a dead peer neither blocks a socket nor makes it spin."""

import socket
import time

import gevent
import pytest

from kingcupport.common import address
from kingcupport.wire import datagram_socket


def _closed_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()


@pytest.fixture
def unreachable():
    return []


@pytest.fixture
def sockets(unreachable):
    sockets = [
        datagram_socket.DatagramSocket(
            address.Address('127.0.0.1', 0), unreachable.append
        )
        for _ in range(2)
    ]
    yield sockets
    for sock in sockets:
        sock.close()


def _wait_until(condition):
    deadline = time.monotonic() + 5
    while not condition():
        assert time.monotonic() < deadline
        gevent.sleep(0.01)


@pytest.mark.parametrize('datagrams_at_once', [1, 2, 3])
@pytest.mark.parametrize(
    'method', ['receive_forever', 'receive_in_event_loop']
)
def test_dead_peer_is_reported_and_others_are_served(
    sockets, unreachable, datagrams_at_once, method
):
    # Regression: reading the error queue with gevent's blocking methods either
    # failed with a gevent error or spun at full CPU until the next datagram.
    sender, receiver = sockets
    received = []
    task = gevent.spawn(
        getattr(receiver, method), lambda data, _: received.append(data)
    )
    dead = _closed_port()
    own = receiver._sock.getsockname()
    for number in range(50):
        for _ in range(datagrams_at_once):
            receiver.send(b'to a dead port', dead)
        sender.send(b'%d' % number, own)
        gevent.sleep(0.002)
    _wait_until(lambda: len(received) == 50)
    assert received == [b'%d' % number for number in range(50)]
    assert set(unreachable) == {dead}
    started = time.process_time()
    gevent.sleep(0.3)
    assert time.process_time() - started < 0.1
    assert not task.ready()
    task.kill()


@pytest.mark.parametrize(
    'method', ['receive_forever', 'receive_in_event_loop']
)
def test_error_of_a_handler_ends_the_task_and_it_can_be_restarted(
    sockets, method
):
    """Guards against an error that is lost or that repeats in a loop."""
    sender, receiver = sockets
    received = []

    def handle(data, _source):
        received.append(data)
        if data == b'bad':
            raise ValueError('bad datagram')

    own = receiver._sock.getsockname()
    task = gevent.spawn(getattr(receiver, method), handle)
    for data in (b'good', b'bad', b'later'):
        sender.send(data, own)
    with pytest.raises(ValueError, match='bad datagram'):
        task.get(timeout=5)
    assert received == [b'good', b'bad']
    task = gevent.spawn(getattr(receiver, method), handle)
    _wait_until(lambda: received[2:] == [b'later'])
    task.kill()
    sender.send(b'after the end', own)
    gevent.sleep(0.05)
    assert received[3:] == []
