"""End-to-end tests of the limit on the opening packets of cold servers."""

import contextlib
import functools
import time

import gevent
import platform_standin

RATE = 3
# Limit set by the platform until a change is in force.
MAX_CHANGE_DELAY_MS = 3_000
BOUND = 1.5 * RATE + 5


def put_limit(harness, version, **limit):
    route = {
        'name': 'r1',
        'host': platform_standin.SERVICE_ADDRESS[0],
        'prefix': f'/{platform_standin.SERVICE_ADDRESS[1]}/',
        'kind': 'safe',
        'timeout_ms': 1000,
        'target_latency_ms': 100,
        'priority': 2,
        'service': 'gate',
    }
    harness.store.put(
        'op/config',
        {
            'config_version': version,
            'routes': [route],
            'services': [{'name': 'gate', **limit}],
        },
    )


def set_cold(harness, cold_left_ms):
    for number in range(1, 1 + len(harness.servers)):
        harness.put_server(number, cold_left_ms=cold_left_ms)


@contextlib.contextmanager
def recorded_arrivals(harness):
    """Record the times at which opening packets reach each server."""
    arrivals = {ip: [] for ip in harness.servers}
    handlers = {ip: s._handle for ip, s in harness.servers.items()}

    def handle(ip, data):
        if data[0] == platform_standin.SYN:
            arrivals[ip].append(time.monotonic())
        return handlers[ip](data)

    for ip, server in harness.servers.items():
        server._handle = functools.partial(handle, ip)
    yield arrivals
    for ip, server in harness.servers.items():
        server._handle = handlers[ip]


def open_many(harness):
    """Open 90 flows within 3 s at both balancers."""
    clients = [harness.client(1 + number % 2) for number in range(90)]
    tasks = []
    for client in clients:
        tasks.append(gevent.spawn(client.open))
        gevent.sleep(3 / len(clients))
    gevent.joinall(tasks)


def serves_above_the_limit(harness):
    """Whether more openings pass in a second than the limits allow."""
    with recorded_arrivals(harness) as arrivals:
        for number in range(40):
            harness.serve(1 + number % 2)
    times = [t for times in arrivals.values() for t in times]
    return most_in_a_second(times) > RATE * len(harness.servers)


def most_in_a_second(times):
    return max(
        (sum(1 for t in times if 0 <= t - start < 1) for start in times),
        default=0,
    )


def test_cold_servers_get_no_more_than_the_bound_allows(harness):
    """Guards FAILBACK with two balancers, which do not agree on anything."""
    put_limit(harness, 5, cold_s=60, cold_per_s=RATE)
    set_cold(harness, 60_000)
    gevent.sleep(MAX_CHANGE_DELAY_MS / 1000)
    with recorded_arrivals(harness) as arrivals:
        open_many(harness)
    for times in arrivals.values():
        assert 0 < most_in_a_second(times) <= BOUND
        assert len(times) >= 2 * RATE
    assert not serves_above_the_limit(harness)
    set_cold(harness, 0)
    gevent.sleep(MAX_CHANGE_DELAY_MS / 1000)
    assert serves_above_the_limit(harness)


def test_rejected_limit_is_in_the_audit_trail_and_limits_nothing(harness):
    put_limit(harness, 5, cold_s=60, cold_per_s=-RATE)
    set_cold(harness, 60_000)
    gevent.sleep(MAX_CHANGE_DELAY_MS / 1000)
    logs = [harness.processes[f'127.0.2.{n}'].log() for n in (1, 2)]
    found = [
        [x for x in log.splitlines() if 'cold_limit_rejected' in x]
        for log in logs
    ]
    # A balancer that has the configuration from the other reports nothing.
    assert sorted(map(len, found)) in ([0, 1], [1, 1])
    assert all('service=gate' in line for lines in found for line in lines)
    assert serves_above_the_limit(harness)
