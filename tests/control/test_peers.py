"""Tests failures between a peer server and a peer pool on loopback.

Guards against a call reported as "not sent" although the peer may have
processed it, a late reply returned for another call, and connections that
stop the server or exhaust its memory.
"""

import collections
import contextlib
import random
import struct

import control_support as support
import gevent
import gevent.socket
import pytest

from kingcupport.common import address as address_module
from kingcupport.common import clock as clock_module
from kingcupport.common import errors
from kingcupport.control import fleet_registry
from kingcupport.control import peer_caller
from kingcupport.control import peer_pool
from kingcupport.control import peer_server
from kingcupport.observability import audit_trail
from kingcupport.wire import control_messages
from kingcupport.wire import message_codec
from kingcupport.wire import peer_stream

LOOPBACK = address_module.Address('127.0.0.1', 0)
REQUEST = control_messages.StatusRequest('cli', 0)
TIMEOUT_MS = 300
CLOCK = clock_module.make_system_clock()


class RefusedError(errors.KingcupportError):
    code = 'refused'


def _reply(sender='b0', revision=0, **figures):
    return control_messages.StatusReply(
        sender, revision, 'd', 'ready', [], figures
    )


def _deadline():
    return CLOCK.monotonic_ms() + TIMEOUT_MS


class ServerAndPool:
    """A peer server and a pool that share their counters."""

    def __init__(self, **options):
        self.counts = collections.Counter()
        self.registry = fleet_registry.FleetRegistry(
            audit_trail.AuditTrail(CLOCK)
        )
        self.handle = lambda message: _reply()
        self.server = peer_server.PeerServer(
            LOOPBACK,
            {
                control_messages.StatusRequest: (
                    lambda message, peer: self.handle(message)
                )
            },
            name='b0',
            read_revision=lambda: self.registry.fleet.revision,
            counts=self.counts,
            **options,
        )
        self.server.start()
        self.pool = peer_pool.PeerPool(self.registry, CLOCK, self.counts)

    def call(self, message=REQUEST):
        return self.pool.call_address(
            self.server.address, message, _deadline()
        )

    def connect(self):
        sock = gevent.socket.create_connection(self.server.address.as_tuple())
        sock.settimeout(2)
        return sock

    def stop(self):
        self.pool.close()
        self.server.stop()


@pytest.fixture
def make_peers():
    created = []

    def make(**options):
        created.append(ServerAndPool(**options))
        return created[-1]

    yield make
    for peers in created:
        peers.stop()


@pytest.fixture
def peers(make_peers):
    return make_peers()


@contextlib.contextmanager
def _raw_server(serve):
    """Serve each connection with ``serve(sock)``."""
    server = gevent.server.StreamServer(
        ('127.0.0.1', 0), lambda sock, remote: serve(sock)
    )
    server.start()
    try:
        yield address_module.Address('127.0.0.1', server.server_port)
    finally:
        server.stop(timeout=0)


def _expect_call_error(pool, address, message=REQUEST):
    with pytest.raises(peer_caller.PeerError) as caught:
        pool.call_address(address, message, _deadline())
    return caught.value


def _after_request(action):
    def serve(sock):
        sock.recv(4096)
        action(sock)

    return serve


def test_refused_connection_was_not_sent(peers):
    with _raw_server(lambda sock: None) as address:
        pass
    assert not _expect_call_error(peers.pool, address).sent


def test_unknown_name_was_not_sent(peers):
    with pytest.raises(peer_caller.PeerError) as caught:
        peers.pool.call('nobody', REQUEST, _deadline())
    assert not caught.value.sent


def test_past_deadline_was_not_sent(peers):
    with pytest.raises(peer_caller.PeerError) as caught:
        peers.pool.call_address(peers.server.address, REQUEST, 0)
    assert not caught.value.sent
    assert peers.counts['peer_messages'] == 0


def test_oversized_request_was_not_sent(peers):
    size_bytes = message_codec.MAX_MESSAGE_BYTES
    message = control_messages.StatusRequest('x' * size_bytes, 0)
    assert not _expect_call_error(
        peers.pool, peers.server.address, message
    ).sent


@pytest.mark.parametrize(
    'serve',
    [
        pytest.param(lambda sock: sock.recv(4096), id='reply lost'),
        pytest.param(lambda sock: gevent.sleep(2), id='slow peer'),
        pytest.param(
            _after_request(lambda sock: sock.sendall(b'\x00\x00')),
            id='truncated header',
        ),
        pytest.param(
            _after_request(lambda sock: sock.sendall(b'\x00\x00\x00\x09abc')),
            id='truncated reply',
        ),
        pytest.param(
            _after_request(lambda sock: sock.sendall(b'\xff' * 8)),
            id='oversized reply',
        ),
        pytest.param(
            _after_request(lambda sock: sock.sendall(b'\x00\x00\x00\x01\xc1')),
            id='malformed reply',
        ),
    ],
)
def test_failure_after_sending_says_sent(peers, serve):
    with _raw_server(serve) as address:
        started_ms = CLOCK.monotonic_ms()
        assert _expect_call_error(peers.pool, address).sent
        assert CLOCK.monotonic_ms() - started_ms < 2 * TIMEOUT_MS


def test_late_reply_is_not_taken_for_the_next(peers):
    def handle(message):
        if message.revision == 1:
            gevent.sleep(TIMEOUT_MS / 1000 + 0.1)
        return _reply(number=message.revision)

    peers.handle = handle
    request = control_messages.StatusRequest('cli', 1)
    assert _expect_call_error(peers.pool, peers.server.address, request).sent
    gevent.sleep(0.2)
    reply = peers.call(control_messages.StatusRequest('cli', 2))
    assert reply.figures == {'number': 2}


def test_concurrent_calls_get_their_own_replies(peers):
    def handle(message):
        gevent.sleep(random.random() / 20)
        return _reply(number=message.revision)

    peers.handle = handle
    tasks = [
        gevent.spawn(peers.call, control_messages.StatusRequest('cli', i))
        for i in range(50)
    ]
    gevent.joinall(tasks)
    assert [t.value.figures['number'] for t in tasks] == list(range(50))


def test_stream_is_reused_and_replaced_when_the_peer_closed_it(make_peers):
    peers = make_peers(idle_timeout_ms=100)
    accepted = []
    peers.handle = lambda message: accepted.append(1) or _reply()
    peers.call()
    peers.call()
    # The server has closed the idle stream; the next call must not use it.
    gevent.sleep(0.2)
    peers.call()
    assert len(accepted) == 3
    assert peers.counts['peer_calls_failed'] == 0


def test_idle_streams_are_bounded_and_expire(peers, monkeypatch):
    monkeypatch.setattr(peer_pool, 'IDLE_TIMEOUT_MS', 100)
    peers.handle = lambda message: gevent.sleep(0.02) or _reply()
    gevent.joinall([gevent.spawn(peers.call) for _ in range(20)])
    gevent.sleep(0)
    assert _count_tasks(peers) <= peer_pool.MAX_IDLE_STREAMS_PER_PEER
    gevent.sleep(0.25)
    assert _count_tasks(peers) == 0


def _is_closed_by_peer(sock):
    """Return whether the peer closes the connection.

    Input that the peer has not read makes the close a reset.
    """
    try:
        return sock.recv(1) == b''
    except ConnectionResetError:
        return True


def _count_tasks(peers):
    gevent.sleep(0.02)
    return len(peers.server._tasks)


def test_handler_error_becomes_an_error_reply(peers):
    def refuse(message):
        raise RefusedError('no', step='test')

    peers.handle = refuse
    with pytest.raises(peer_caller.PeerAnswerError) as caught:
        peers.call()
    assert (caught.value.answer_code, caught.value.sent) == ('refused', True)


def test_faulty_handler_and_unknown_message_are_answered(peers):
    for fault in (lambda message: 1 / 0, lambda message: None):
        peers.handle = fault
        with pytest.raises(peer_caller.PeerAnswerError) as caught:
            peers.call()
        assert caught.value.answer_code == 'internal'
    with pytest.raises(peer_caller.PeerAnswerError) as caught:
        peers.call(control_messages.AuditRequest('cli', 0, 0))
    assert caught.value.answer_code == 'unsupported_message'


def test_oversized_reply_becomes_an_error_reply(peers):
    size_bytes = message_codec.MAX_MESSAGE_BYTES
    peers.handle = lambda message: _reply('x' * size_bytes)
    with pytest.raises(peer_caller.PeerAnswerError) as caught:
        peers.call()
    assert caught.value.answer_code == 'bad_wire_data'


def test_reply_of_another_process_is_refused(peers):
    # Guards against requests to an address that another process now uses.
    address = peers.server.address
    peers.registry.offer_note(support.make_first_note([address]), 'test')
    assert peers.pool.call('b0', REQUEST, _deadline()).sender == 'b0'
    peers.handle = lambda message: _reply('b1')
    with pytest.raises(peer_caller.PeerError) as caught:
        peers.pool.call('b0', REQUEST, _deadline())
    assert caught.value.sent


def test_revision_of_every_reply_is_reported(peers):
    seen = []
    peers.pool.add_revision_callback(
        lambda revision, address: seen.append(revision)
    )
    peers.handle = lambda message: _reply(revision=7)
    peers.call()
    assert seen == [7]


@pytest.mark.parametrize(
    'data',
    [
        b'\xff\xff\xff\xff',
        b'\x00\x00\x00\x03\xff\xff\xff',
        struct.pack('>I', 5) + b'\xdd\xff\xff\xff\xff',
        random.Random(1).randbytes(5000),
        b'GET / HTTP/1.1\r\n\r\n',
    ],
)
def test_malformed_input_ends_only_its_connection(peers, data):
    with peers.connect() as good, peers.connect() as bad:
        bad.sendall(data)
        assert _is_closed_by_peer(bad)
        stream = peer_stream.PeerStream(good, 'b0')
        stream.send(REQUEST)
        assert stream.receive() == _reply()
    assert peers.counts['peer_messages_malformed'] == 1


def test_truncated_request_is_counted(peers):
    with peers.connect() as sock:
        sock.sendall(b'\x00\x00\x00\x09abc')
    assert support.wait_until(
        lambda: peers.counts['peer_messages_malformed'] == 1, 2
    )
    assert peers.call() == _reply()


def test_silent_connection_is_closed(peers, monkeypatch):
    monkeypatch.setattr(peer_server, 'FIRST_MESSAGE_TIMEOUT_MS', 100)
    with peers.connect() as sock:
        sock.sendall(b'\x00')
        assert sock.recv(1) == b''


def test_connections_are_bounded(make_peers):
    peers = make_peers(max_connections=2)
    with peers.connect(), peers.connect(), peers.connect() as third:
        assert third.recv(1) == b''
    assert peers.counts['peer_connections_refused'] == 1
    assert support.wait_until(lambda: _count_tasks(peers) == 0, 2)
    assert peers.call() == _reply()
