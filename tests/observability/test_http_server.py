"""Tests the status codes of the endpoints and their connection limits."""

from gevent import socket
import pytest

from kingcupport.common import address
from kingcupport.observability import health as health_module
from kingcupport.observability import http_server
from kingcupport.observability import metrics as metrics_module


@pytest.fixture
def health():
    return health_module.Health()


@pytest.fixture
def port(health):
    metrics = metrics_module.make_metrics('agent')
    metrics.add_gauge('revision', 'Revision in force.')
    metrics.set_gauge('revision', 7)
    listen_address = address.Address('127.0.0.1', 0)
    server = http_server.make_http_server(listen_address, metrics, health)
    server.start()
    yield server.server_port
    server.stop()


def _fetch(port, path, method='GET'):
    with socket.create_connection(('127.0.0.1', port), 5) as sock:
        sock.sendall(f'{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
        data = b''.join(iter(lambda: sock.recv(65536), b''))
    head, _, body = data.partition(b'\r\n\r\n')
    return int(head.split()[1]), head.decode(), body.decode()


def test_metrics(port):
    status, head, body = _fetch(port, '/metrics')
    assert status == 200
    assert 'Content-Type: text/plain; version=0.0.4; charset=utf-8' in head
    assert 'kingcupport_agent_revision 7\n' in body


def test_health_codes(port, health):
    assert _fetch(port, '/healthz')[0] == 200
    assert _fetch(port, '/readyz')[::2] == (503, 'starting: starting\n')
    health.set_ready()
    assert _fetch(port, '/readyz')[::2] == (200, 'ready\n')
    health.set_not_ready('backend server is down')
    assert _fetch(port, '/readyz')[::2] == (
        503,
        'not_ready: backend server is down\n',
    )
    health.start_draining()
    assert _fetch(port, '/readyz')[::2] == (503, 'draining: draining\n')
    assert _fetch(port, '/healthz')[0] == 200
    health.fail('socket closed')
    assert _fetch(port, '/healthz')[::2] == (503, 'failed: socket closed\n')


def test_other_paths_and_methods(port):
    assert _fetch(port, '/')[0] == 404
    assert _fetch(port, '/metrics', 'POST')[0] == 405
    assert _fetch(port, '/metrics', 'HEAD')[::2] == (200, '')


def test_idle_clients_do_not_block_the_endpoints(port, monkeypatch):
    monkeypatch.setattr(http_server, 'CONNECTION_TIMEOUT_MS', 100)
    idle = [
        socket.create_connection(('127.0.0.1', port))
        for _ in range(http_server.MAX_CONNECTIONS)
    ]
    assert _fetch(port, '/healthz')[0] == 200
    for sock in idle:
        sock.close()
