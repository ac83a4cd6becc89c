"""Guards against reporting a wrong outcome for a server's answer."""

import gevent
from gevent import server
from gevent import socket
import pytest

from kingcupport.common import address
from kingcupport.common import clock as clock_module
from kingcupport.requests import backend_port
from kingcupport.requests import http_backend_port
from kingcupport.requests import request as request_module

CLOCK = clock_module.make_system_clock()


class _Server:
    """Answers each request with given bytes and optionally disconnects."""

    def __init__(self, reply, close=False):
        self.reply = reply
        self.close = close
        self.received = []
        self.connections = 0
        self.closed_by_client = 0
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = address.Address('127.0.0.1', self._server.server_port)

    def _serve(self, sock, _):
        self.connections += 1
        while True:
            data = sock.recv(65536)
            if not data:
                self.closed_by_client += 1
                return
            self.received.append(data)
            sock.sendall(self.reply)
            if self.close:
                return

    def stop(self):
        self._server.stop()


@pytest.fixture
def start_server():
    started_servers = []

    def start(*args, **kwargs):
        started_servers.append(_Server(*args, **kwargs))
        return started_servers[-1]

    yield start
    for running_server in started_servers:
        running_server.stop()


def _make_request(method='GET', timeout_ms=2000, headers=(), body=b''):
    return request_module.Request(
        'r1',
        method,
        '/gate?x=1',
        tuple(headers),
        body,
        '',
        CLOCK.monotonic_ms() + timeout_ms,
    )


def _make_port(server_address):
    return http_backend_port.HttpBackendPort(server_address, CLOCK, 1)


def test_whole_answer_and_headers(start_server):
    test_server = start_server(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: 1\r\n'
        b'Connection: x-b\r\nX-B: 2\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n'
    )
    request = _make_request(
        'POST',
        headers=[
            (b'connection', b'x-hop'),
            (b'x-hop', b'1'),
            (b'x-kept', b'1'),
            (b'kingcupport-deadline-utc-ms', b'1'),
        ],
        body=b'body',
    )
    result = _make_port(test_server.address).run(request)
    assert (result.status, result.body, result.outcome) == (200, b'abc', 'ran')
    assert result.headers == ((b'x-a', b'1'),)
    sent = b''.join(test_server.received).lower()
    assert b'x-hop' not in sent
    assert b'x-kept: 1' in sent
    assert sent.endswith(b'body')
    (deadline,) = [
        line.partition(b': ')[2]
        for line in sent.split(b'\r\n')
        if line.startswith(b'kingcupport-deadline-utc-ms')
    ]
    assert abs(int(deadline) - CLOCK.utc_ms() - 2000) < 500


def test_connection_is_reused_only_for_idempotent_requests(start_server):
    test_server = start_server(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    port = _make_port(test_server.address)
    for _ in range(3):
        port.run(_make_request())
    assert test_server.connections == 1
    for _ in range(2):
        port.run(_make_request('POST'))
    assert test_server.connections == 3


def test_shed_request_is_not_run(start_server):
    test_server = start_server(
        b'HTTP/1.1 503 No\r\nKingcupport-Outcome: not-run\r\n'
        b'Content-Length: 0\r\n\r\n'
    )
    with pytest.raises(backend_port.NotRunError):
        _make_port(test_server.address).run(_make_request('POST'))


def test_error_status_of_the_server_is_an_answer(start_server):
    test_server = start_server(b'HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n')
    assert (
        _make_port(test_server.address).run(_make_request('POST')).status
        == 503
    )


def test_refused_connection_is_not_run():
    closed_socket = socket.socket()
    closed_socket.bind(('127.0.0.1', 0))
    server_address = address.Address(
        '127.0.0.1', closed_socket.getsockname()[1]
    )
    closed_socket.close()
    with pytest.raises(backend_port.NotRunError):
        _make_port(server_address).run(_make_request('POST'))


def test_past_deadline_is_not_run(start_server):
    test_server = start_server(b'')
    with pytest.raises(backend_port.NotRunError):
        _make_port(test_server.address).run(_make_request(timeout_ms=0))
    assert test_server.connections == 0


@pytest.mark.parametrize(
    'reply',
    [
        b'',
        b'HTTP/1.1 200 OK\r\nContent-Le',
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab',
        b'garbage',
    ],
)
@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_truncated_answer_is_unknown(start_server, reply, method):
    test_server = start_server(reply, close=True)
    with pytest.raises(backend_port.OutcomeUnknownError):
        _make_port(test_server.address).run(_make_request(method))
    assert test_server.connections == 1


def test_too_large_answer_is_unknown(start_server):
    size = http_backend_port.MAX_ANSWER_BYTES + 1
    test_server = start_server(
        b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size + b'x' * size
    )
    with pytest.raises(backend_port.OutcomeUnknownError):
        _make_port(test_server.address).run(_make_request())


def test_deadline_after_sending_is_unknown_and_closes_the_connection(
    start_server,
):
    test_server = start_server(b'')
    port = _make_port(test_server.address)
    with pytest.raises(backend_port.OutcomeUnknownError):
        port.run(_make_request(timeout_ms=50))
    gevent.sleep(0.05)
    assert test_server.closed_by_client == 1


def test_cancellation_closes_and_frees_the_connection(start_server):
    test_server = start_server(b'')
    port = _make_port(test_server.address)
    for body in (b'', b'x' * 5_000_000):
        task = gevent.spawn(port.run, _make_request('POST', body=body))
        gevent.sleep(0.05)
        task.kill()
    gevent.sleep(0.05)
    assert test_server.closed_by_client == 2
    test_server.reply = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
    assert port.run(_make_request('POST')).status == 200
