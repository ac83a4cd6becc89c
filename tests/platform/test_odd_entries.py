"""Tests that entries of another writer end no flow and no process."""

import signal

import gevent

# Invalid values of each field; the others are those of a real server.
ODD_FIELDS = (
    *((key, []) for key in ('service', 'zone', 'state', 'config_version')),
    ('service', 'printing'),
    ('zone', ''),
    ('state', 'resting'),
    ('slots', 0),
    ('slots', 2**40),
    ('slots', 2**80),
    ('cold_left_ms', 2**40),
    ('seq_no', -1),
    ('seq_no', 2**70),
    ('born', 2**62),
    ('born', '1769989182125'),
)
ODD_VALUES = (
    b'[' * 100_000,
    b'{"a":' * 50_000,
    b'{"slots":' + b'9' * 9_000 + b'}',
    b'\xff\xfe',
    b'',
)
LATER_MS = 1_900_000_000_000


def write_odd_entries(harness, ip):
    """Write entries at the address of a server that is in use."""
    port = harness.ports['app']
    fields = [*ODD_FIELDS, ('address', f'{ip}:70000'), ('address', ip)]
    for number, (key, value) in enumerate(fields):
        entry = {'born': LATER_MS, 'state': 'draining', key: value}
        harness.store.put_server(f'odd-{ip}-{number}', ip, port, **entry)
    for number, value in enumerate(ODD_VALUES):
        harness.store.put(f'servers/raw-{number}', value)
    harness.store.put('servers/', b'{}')


def test_odd_entries_end_no_flow_and_no_process(harness):
    """Guards the report of the other operators and review/1."""
    clients = [harness.client(1 + n % 2) for n in range(12)]
    assert all(client.open() is not None for client in clients)
    assert all(client.request(b'first') is not None for client in clients)
    gevent.sleep(3)
    for ip in list(harness.servers):
        write_odd_entries(harness, ip)
    gevent.sleep(1)
    harness.processes['127.0.2.1'].signal(signal.SIGTERM)
    for client in clients:
        answer = client.request(b'next', balancer=harness.balancer(2))
        assert answer is not None
        assert answer.endswith(b'next')
    for server in harness.servers.values():
        server.requests.clear()
    assert all(harness.serve(2) is not None for _ in range(10))
    assert all(server.requests for server in harness.servers.values())
    # A server that registers later is found.
    ip = harness.server_ip(3)
    harness.services[ip] = 'gate'
    harness.servers[ip] = harness.make_server(ip)
    harness.start_agent(ip)
    harness.put_server(3)

    def is_found():
        harness.serve(2)
        return harness.servers[ip].requests

    assert harness.wait_until(is_found)
    for number in (1, 2):
        process = harness.processes[f'127.0.2.{number}']
        assert 'Traceback' not in process.log()
    assert harness.processes['127.0.2.2'].wait(0.1) is None
