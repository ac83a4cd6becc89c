"""Guards against a stand-in that miscounts runs or hides faults."""

import random
import time

import gevent
from gevent import socket
import geventhttpclient
import pytest

from kingcupport.common import address
from kingcupport.common import clock as clock_module
from kingcupport.standins import backend_server
from kingcupport.standins import echo
from kingcupport.standins import json_client


@pytest.fixture
def server():
    server = backend_server.BackendServer(
        address.Address('127.0.0.1', 0),
        'ticketing',
        'ticketing-1',
        1,
        clock_module.make_system_clock(),
        random.Random(1),
    )
    server.start()
    yield server
    server.stop()


def _set_behaviour(server, **behaviour):
    json_client.call(server.address, 'PUT', '/_behaviour', behaviour)


def _send(server, method='GET', target='/visits', body=b'', **headers):
    client = geventhttpclient.HTTPClient(
        server.address.ip, server.address.port, network_timeout=5
    )
    named = {name.replace('_', '-'): str(v) for name, v in headers.items()}
    response = client.request(method, target, body=body, headers=named)
    data = bytes(response.read())
    client.close()
    return response, data


def _read_run_counts(server):
    return json_client.call(server.address, 'GET', '/_runs')


def _wait_until(condition):
    deadline = time.monotonic() + 3
    while not condition():
        assert time.monotonic() < deadline
        gevent.sleep(0.01)


def test_answer_echoes_the_request(server):
    response, data = _send(
        server, 'POST', '/b?n=1', b'two', X_Request_Id='r1', X_Answer_Bytes=90
    )
    assert response.status_code == 200
    echo.check_echo(
        echo.read_body(data),
        service='ticketing',
        request_id='r1',
        target='/b?n=1',
        body=b'two',
    )
    assert len(data.partition(b'\n')[2]) == 90


def test_runs_are_counted_by_key_and_request(server):
    for number in (1, 2):
        _send(server, 'POST', Idempotency_Key='k', X_Request_Id=f'r{number}')
    runs = _read_run_counts(server)
    assert runs['by_key'] == {'k': 2}
    assert runs['by_request_id'] == {'r1': 1, 'r2': 1}
    assert runs['by_outcome'] == {'completed': 2}


def test_slots_run_one_request_at_a_time(server):
    started = time.monotonic()
    tasks = [
        gevent.spawn(_send, server, X_Service_Time_Ms=60) for _ in range(3)
    ]
    _wait_until(lambda: server._report()['queued'] == 2)
    gevent.joinall(tasks, raise_error=True)
    assert time.monotonic() - started >= 0.18


def test_shed_request_does_not_run(server):
    _set_behaviour(server, shedding=True)
    response, _ = _send(server, X_Request_Id='r1')
    assert response.status_code == 503
    assert response['Kingcupport-Outcome'] == 'not-run'
    assert _read_run_counts(server)['by_request_id'] == {}


def test_full_queue_is_shed(server):
    _set_behaviour(server, queue_limit_count=1)
    tasks = [gevent.spawn(_send, server, X_Service_Time_Ms=200)]
    _wait_until(lambda: server._report()['running'] == 1)
    tasks.append(gevent.spawn(_send, server, X_Service_Time_Ms=1))
    _wait_until(lambda: server._report()['queued'] == 1)
    assert _send(server)[0].status_code == 503
    gevent.joinall(tasks, raise_error=True)
    assert [task.value[0].status_code for task in tasks] == [200, 200]


def test_past_deadline_does_not_run(server):
    past_utc_ms = int(time.time() * 1000) - 1
    response, _ = _send(
        server, X_Request_Id='r1', Kingcupport_Deadline_Utc_Ms=past_utc_ms
    )
    assert response['Kingcupport-Outcome'] == 'not-run'
    assert _read_run_counts(server)['by_request_id'] == {}


def test_deadline_ends_a_run(server):
    deadline_utc_ms = int(time.time() * 1000) + 100
    started = time.monotonic()
    response, _ = _send(
        server,
        X_Service_Time_Ms=5000,
        Kingcupport_Deadline_Utc_Ms=deadline_utc_ms,
    )
    assert response.status_code == 504
    assert response['Kingcupport-Outcome'] == 'unknown'
    assert time.monotonic() - started < 2
    assert _read_run_counts(server)['by_outcome'] == {'deadline': 1}


def test_closed_connection_frees_the_slot(server):
    sock = socket.create_connection(server.address.as_tuple())
    sock.sendall(
        b'GET / HTTP/1.1\r\nHost: x\r\nX-Service-Time-Ms: 60000\r\n\r\n'
    )
    _wait_until(lambda: server._report()['running'] == 1)
    sock.close()
    _wait_until(lambda: server._report()['running'] == 0)
    assert _read_run_counts(server)['by_outcome'] == {'cancelled': 1}


def test_closed_connection_leaves_the_queue(server):
    running = gevent.spawn(_send, server, X_Service_Time_Ms=300)
    _wait_until(lambda: server._report()['running'] == 1)
    sock = socket.create_connection(server.address.as_tuple())
    sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: q\r\n\r\n')
    _wait_until(lambda: server._report()['queued'] == 1)
    sock.close()
    _wait_until(lambda: server._report()['queued'] == 0)
    running.get()
    assert 'q' not in _read_run_counts(server)['by_request_id']


def test_reports_are_outdated_or_wrong_on_request(server):
    _set_behaviour(server, report_lag_ms=60_000)
    task = gevent.spawn(_send, server, X_Service_Time_Ms=200)
    _wait_until(lambda: server._report()['running'] == 1)
    load = json_client.call(server.address, 'GET', '/_load')
    assert load['running'] == 0
    _set_behaviour(server, report_lag_ms=0)
    load = json_client.call(server.address, 'GET', '/_load')
    assert load['running'] == 1
    _set_behaviour(server, report_idle=True, draining=True)
    health = json_client.call(server.address, 'GET', '/_health')
    assert health['state'] == 'ready'
    task.get()


def test_cold_start_and_stragglers_take_longer(server):
    _set_behaviour(server, service_time_ms=10, straggler_percent=100)
    _set_behaviour(
        server, straggler_factor=10, cold_start_ms=1e9, cold_factor=2
    )
    started = time.monotonic()
    response, _ = _send(server)
    assert response['X-Straggler'] == '1'
    assert time.monotonic() - started >= 0.2


def test_unknown_behaviour_is_refused(server):
    with pytest.raises(json_client.JsonClientError, match='status 400'):
        _set_behaviour(server, speed=3)


def test_answers_on_a_persistent_connection_are_not_delayed(server):
    # Without TCP_NODELAY, answers on a persistent connection are delayed by
    # 40 ms.
    _set_behaviour(server, service_time_ms=0)
    client = geventhttpclient.HTTPClient(
        server.address.ip, server.address.port, network_timeout=5
    )
    times = []
    for _ in range(40):
        started = time.monotonic()
        client.get('/visits').read()
        times.append(time.monotonic() - started)
    client.close()
    assert sorted(times)[20] < 0.02
