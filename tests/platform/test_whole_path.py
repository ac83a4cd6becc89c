"""End-to-end tests of the real programs with stand-ins of the platform."""

import signal

import gevent
import platform_standin

# Limits set by the platform: until a draining server gets no new flow, until a
# configuration is in force, and until a program exits after SIGTERM.
MAX_DRAIN_DELAY_MS = 3_000
MAX_CONFIGURATION_DELAY_MS = 3_000
MAX_EXIT_DELAY_MS = 6_000


def test_requests_are_served_by_both_servers_and_balancers(harness):
    for server in harness.servers.values():
        server.requests.clear()
    answers = [harness.serve(1 + n % 2) for n in range(20)]
    assert all(a.startswith(b'HTTP/1.1 200') for a in answers)
    assert all(server.requests for server in harness.servers.values())


def test_flow_continues_through_another_balancer(harness):
    client = harness.client(1)
    assert client.open() is not None
    assert client.request(b'request a') is not None
    answer = client.request(b'request b', balancer=harness.balancer(2))
    assert answer.endswith(b'request b')


def test_new_configuration_takes_effect_in_time(harness):
    harness.store.put_configuration(version=2, service='audio')
    gevent.sleep(MAX_CONFIGURATION_DELAY_MS / 1000)
    for balancer in (1, 2):
        answer = harness.client(balancer).open()
        assert answer[0] & platform_standin.RST


def test_draining_server_keeps_its_flows_and_gets_no_new_ones(harness):
    clients = [harness.client() for _ in range(8)]
    assert all(client.open() is not None for client in clients)
    harness.store.put_server(
        'i-1', '127.0.1.1', harness.ports['app'], state='draining'
    )
    gevent.sleep(MAX_DRAIN_DELAY_MS / 1000)
    before = len(harness.servers['127.0.1.1'].flows)
    assert all(harness.serve() is not None for _ in range(10))
    assert len(harness.servers['127.0.1.1'].flows) == before
    assert all(client.request(b'later') is not None for client in clients)


def test_requests_are_served_while_the_store_is_silent(harness):
    harness.store.is_silent = True
    gevent.sleep(2)
    assert all(harness.serve(1 + n % 2) is not None for n in range(6))
    harness.store.is_silent = False
    harness.store.put_configuration(version=5, service='audio')
    gevent.sleep(MAX_CONFIGURATION_DELAY_MS / 1000 + 3)
    assert harness.client().open()[0] & platform_standin.RST


def test_flows_survive_the_restart_of_a_balancer_and_an_agent(harness):
    client = harness.client(1)
    assert client.open() is not None
    assert client.request(b'request a') is not None
    holder = next(
        ip for ip, s in harness.servers.items() if client.end in s.flows
    )
    harness.processes[holder].signal(signal.SIGKILL)
    harness.processes['127.0.2.1'].signal(signal.SIGKILL)
    gevent.sleep(0.2)
    harness.is_first_start = 'false'
    harness.start_agent(holder)
    harness.start_balancer(1)
    assert harness.wait_until(lambda: harness.is_ready('127.0.2.1'))
    assert harness.wait_until(lambda: harness.is_ready(holder))
    answer = client.request(b'request b', tries=15)
    assert answer.endswith(b'request b')


def test_balancer_becomes_unready_and_exits_after_sigterm(harness):
    process = harness.processes['127.0.2.1']
    process.signal(signal.SIGTERM)
    assert harness.wait_until(lambda: not harness.is_ready('127.0.2.1'), 1_000)
    assert harness.serve(1) is not None
    assert process.wait(MAX_EXIT_DELAY_MS / 1000) == 0
    assert 'event=stopping' in process.log()


def test_sighup_and_changed_settings_are_reloaded(harness):
    process = harness.processes['127.0.2.1']
    process.signal(signal.SIGHUP)
    assert harness.wait_until(
        lambda: 'settings reloaded' in process.log(), 3_000
    )
    text = process.path.read_text()
    process.path.write_text(text.replace('127.0.2.1:', '127.0.2.2:') + '\n')
    assert harness.wait_until(
        lambda: process.log().count('settings reloaded') == 2, 5_000
    )
    assert process.wait(0.1) is None


def test_request_can_be_traced_in_the_logs(harness):
    client = harness.client()
    client.open()
    client.request(
        b'GET / HTTP/1.1\r\nX-Kingcupport-Request-Id: find-me\r\n\r\n'
    )
    logs = [process.log() for process in harness.processes.values()]
    lines = [line for log in logs for line in log.splitlines()]
    delivered = [line for line in lines if 'request=find-me' in line]
    assert any('request delivered' in line for line in delivered)
    assert any('request answered' in line for line in delivered)
    flow = f'flow={client.end[0]}:{client.end[1]}'
    placed = [line for line in lines if flow in line and 'flow placed' in line]
    assert len(placed) == 1


def test_metrics_are_served(harness):
    harness.serve()
    values = {}
    for ip in (*harness.servers, '127.0.2.1', '127.0.2.2'):
        for name, value in _read_metrics(harness, ip):
            values[name] = values.get(name, 0) + value
    placed = values['kingcupport_balancer_flows_placed_total']
    assert placed >= 1
    assert values['kingcupport_balancer_opening_wait_ms_count'] == placed
    assert values['kingcupport_balancer_opening_age_ms_count'] == placed
    assert values['kingcupport_balancer_source_call_ms_count'] >= 1
    answered = values['kingcupport_agent_answers_total']
    assert answered >= 1
    assert values['kingcupport_agent_answer_ms_count'] == answered


def _read_metrics(harness, ip):
    sock = gevent.socket.create_connection((ip, harness.ports['ready']))
    sock.sendall(
        b'GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
    )
    with gevent.Timeout(5):
        text = b''.join(iter(lambda: sock.recv(65_536), b''))
    sock.close()
    lines = text.partition(b'\r\n\r\n')[2].decode().splitlines()
    pairs = (line.rsplit(' ', 1) for line in lines if line[:1] != '#')
    return [(name, float(value)) for name, value in pairs]
