"""Guards against a load generator that overlooks faults."""

import collections
import json
import random
import subprocess
import sys

import gevent
from gevent import server as gevent_server
from gevent import socket
import pytest

from kingcupport.common import address
from kingcupport.common import clock as clock_module
from kingcupport.standins import backend_server
from kingcupport.standins import echo
from kingcupport.standins import load_plan
from kingcupport.standins import load_run
from kingcupport.standins import report_table
from kingcupport.standins import server_behaviour

_LOOPBACK = address.Address('127.0.0.1', 0)


@pytest.fixture
def server():
    server = backend_server.BackendServer(
        _LOOPBACK,
        'audio',
        'audio-1',
        8,
        clock_module.make_system_clock(),
        random.Random(1),
    )
    server.start()
    yield server
    server.stop()


def _run(target_address, service='audio', servers=(), **fields):
    plan = load_plan.LoadPlan(
        (load_plan.LoadTarget(service, target_address),),
        **{
            'connections_count': 10,
            'rate_per_s': 100,
            'duration_ms': 1000,
            'service_time_ms': 1,
            **fields,
        },
    )
    run = load_run.LoadRun(
        plan, clock_module.make_system_clock(), random.Random(5), 'run'
    )
    return run.run(servers)


class _ScriptedServer:
    """Answers every request with the bytes returned by a function."""

    def __init__(self, make_answer, closes=False):
        self._make_answer = make_answer
        self._closes = closes
        self.requests = 0
        self._server = gevent_server.StreamServer(
            ('127.0.0.1', 0), self._serve
        )
        self._server.start()
        self.address = address.Address('127.0.0.1', self._server.server_port)

    def _serve(self, sock, _):
        while data := sock.recv(65536):
            self.requests += 1
            headers = dict(
                line.split(': ', 1)
                for line in data.decode().split('\r\n')[1:]
                if ': ' in line
            )
            answer = self._make_answer(data, headers)
            if answer is None:
                return
            sock.sendall(answer)
            if self._closes:
                return

    def stop(self):
        self._server.stop(timeout=0)


def _http_answer(status, body, headers=''):
    length = f'Content-Length: {len(body)}\r\n'
    return f'HTTP/1.1 {status}\r\n{headers}{length}\r\n'.encode() + body


def test_faultless_run(server):
    report = _run(server.address, servers=[server.address])
    plain = report.to_plain()
    assert plain['requests'] > 50
    assert plain['answered'] == plain['requests']
    assert plain['faultless']
    assert plain['latency_ms']['short']['p50'] >= 0.5
    assert plain['imbalance']['audio']['servers'] == {
        'audio-1': plain['requests']
    }
    assert json.loads(json.dumps(plain)) == plain
    assert len(report_table.format_report(plain)) > 15


def test_answer_of_another_service_is_wrong(server):
    report = _run(server.address, service='ticketing', duration_ms=200)
    assert report.wrong == report.requests > 0
    assert not report.faultless


def test_answer_of_another_request_is_wrong():
    other_answer = echo.make_body(
        echo.Echo('audio', 'audio-1', 'other', '/', echo.compute_digest(b''))
    )
    scripted = _ScriptedServer(lambda *_: _http_answer('200 OK', other_answer))
    report = _run(scripted.address, duration_ms=200, keyed_percent=0)
    assert report.wrong == report.requests > 0
    scripted.stop()


def test_broken_connections_and_lost_requests_are_counted():
    scripted = _ScriptedServer(lambda *_: None)
    report = _run(scripted.address, duration_ms=200, keyed_percent=0)
    assert report.lost == report.requests > 0
    assert report.connections_broken == report.requests
    scripted.stop()


def test_idle_connection_that_breaks_is_counted():
    accepted = []
    listener = gevent_server.StreamServer(
        ('127.0.0.1', 0), lambda sock, _: accepted.append(sock.dup())
    )
    listener.start()
    target = address.Address('127.0.0.1', listener.server_port)
    plan = load_plan.LoadPlan(
        (load_plan.LoadTarget('audio', target),), connections_count=4
    )
    run = load_run.LoadRun(
        plan, clock_module.make_system_clock(), random.Random(5), 'run'
    )
    run.open()
    while len(accepted) < 4:
        gevent.sleep(0.01)
    for sock in accepted[:3]:
        sock.shutdown(socket.SHUT_RDWR)
    run.close()
    assert run.report.connections_broken == 3
    listener.stop()


def test_truncated_answer_is_a_broken_connection():
    def make_answer(_, headers):
        return _http_answer('200 OK', b'x' * 100)[:-1]

    scripted = _ScriptedServer(make_answer, closes=True)
    report = _run(scripted.address, duration_ms=100, keyed_percent=0)
    assert report.lost == report.requests > 0
    assert report.connections_broken == report.requests
    scripted.stop()


def test_keyed_request_is_retried_under_its_key():
    seen = collections.defaultdict(list)

    def make_answer(data, headers):
        key = headers['Idempotency-Key']
        request_id = headers['X-Request-Id']
        seen[key].append(request_id)
        if len(seen[key]) < 3:
            outcome = ('not-run', 'unknown')[len(seen[key]) - 1]
            line = f'Kingcupport-Outcome: {outcome}\r\n'
            return _http_answer('503 Service Unavailable', b'', line)
        target = data.split(b' ')[1].decode()
        body = data.partition(b'\r\n\r\n')[2]
        # The answer to the first attempt, as a server with a stored result
        # returns it.
        first_echo = echo.Echo(
            'audio', 'a', seen[key][0], target, echo.compute_digest(body)
        )
        return _http_answer('200 OK', echo.make_body(first_echo))

    scripted = _ScriptedServer(make_answer)
    report = _run(scripted.address, duration_ms=100, keyed_percent=100)
    assert report.answered == report.requests > 0
    assert report.refusals == {
        'not-run': report.requests,
        'unknown': report.requests,
    }
    assert all(len(set(ids)) == 3 for ids in seen.values())
    scripted.stop()


def test_second_run_of_a_request_is_reported(server):
    def run_request_twice(data, headers):
        for _ in range(2):
            sock = socket.create_connection(server.address.as_tuple())
            sock.sendall(data)
            answer = sock.recv(65536)
            sock.close()
        return answer

    scripted = _ScriptedServer(run_request_twice)
    report = _run(
        scripted.address,
        servers=[server.address],
        duration_ms=200,
        keyed_percent=50,
        unkeyed_percent=50,
    )
    assert report.run_twice == report.requests > 0
    scripted.stop()


def test_run_after_not_run_is_reported(server):
    def run_and_report_not_run(data, headers):
        sock = socket.create_connection(server.address.as_tuple())
        sock.sendall(data)
        sock.recv(65536)
        sock.close()
        line = 'Kingcupport-Outcome: not-run\r\n'
        return _http_answer('503 Service Unavailable', b'', line)

    scripted = _ScriptedServer(run_and_report_not_run)
    report = _run(
        scripted.address,
        servers=[server.address],
        duration_ms=200,
        keyed_percent=0,
    )
    assert report.ran_after_not_run == report.requests > 0
    assert report.final_outcomes['not-run'] == report.requests
    scripted.stop()


def test_unreadable_run_counts_are_a_fault(server):
    closed_address = address.Address('127.0.0.1', 9)
    report = _run(server.address, servers=[closed_address], duration_ms=100)
    assert report.runs_not_read == 1
    assert not report.faultless


def test_stragglers_are_measured_separately(server):
    report = _run(server.address, straggler_percent=20, straggler_factor=30)
    assert report.latency_ms('long', 50) > 5 * report.latency_ms('short', 50)


def test_failing_server_is_counted_by_status(server):
    server.behaviour = server_behaviour.ServerBehaviour(failing=True)
    report = _run(server.address, duration_ms=100, keyed_percent=0)
    assert report.final_outcomes == {'status-500': report.requests}


def test_program_prints_json_and_exits_with_1_on_faults(server):
    arguments = [
        *('--target', f'ticketing={server.address}'),
        *('--duration-ms', '200', '--connections', '2', '--json'),
    ]
    process = subprocess.Popen(
        [sys.executable, '-m', 'kingcupport.standins.load', *arguments],
        stdout=subprocess.PIPE,
    )
    while process.poll() is None:
        gevent.sleep(0.02)
    plain = json.loads(process.stdout.read())
    assert process.returncode == 1
    assert plain['wrong'] == plain['requests'] > 0


def test_program_refuses_invalid_options():
    finished = subprocess.run(
        [sys.executable, '-m', 'kingcupport.standins.load', '--target', 'x'],
        capture_output=True,
        check=False,
        timeout=20,
    )
    assert finished.returncode == 2
    assert b'allowed: service=ip:port' in finished.stderr
