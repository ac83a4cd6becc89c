"""Tests that ``kingcupport explain`` shows the cause of failed requests.

It reads the logs of real processes, as described in docs/OPERATIONS.md.
"""

import cli_support
import gevent
import platform_standin

MAX_CONFIGURATION_DELAY_MS = 3_000
NEW_BOOT_UTC_MS = 2_000_000_000_000
_REQUEST = b'GET / HTTP/1.1\r\nX-Kingcupport-Request-Id: %s\r\n\r\n'


def _explain(harness, identity):
    logs = [p.path.with_suffix('.log') for p in harness.processes.values()]
    result = cli_support.run('explain', identity, *logs, '--json')
    assert result.exit_code == 0, result
    return result.document


def _find(lines, event, **fields):
    return [
        line
        for line in lines
        if line['event'] == event
        and all(line['fields'].get(k) == v for k, v in fields.items())
    ]


def _client_address(client):
    return '{}:{}'.format(*client.end)


def test_flow_refused_under_overload(harness):
    for server in harness.servers.values():
        server.is_stuck = True
    for number in range(6):
        busy = harness.client()
        answer = busy.open(timeout_ms=200)
        if answer is not None and not answer[0] & platform_standin.RST:
            busy.request(_REQUEST % b'busy-%d' % number, tries=1)
    client = harness.client()
    answer = client.open()
    assert answer[0] & platform_standin.RST
    found = _explain(harness, _client_address(client))
    (refusal,) = _find(
        found['request'],
        'flow reset',
        reason='no server has room in time',
        subject='gate',
    )
    assert int(refusal['fields']['waited_ms']) >= 200
    assert int(refusal['fields']['view_age_ms']) < 2_500


def test_flow_refused_because_of_an_evacuation(harness):
    harness.store.put('op/evacuate/dakar', {})
    gevent.sleep(MAX_CONFIGURATION_DELAY_MS / 1000)
    client = harness.client()
    answer = client.open()
    assert answer[0] & platform_standin.RST
    found = _explain(harness, _client_address(client))
    assert _find(
        found['request'],
        'flow reset',
        reason='data centre evacuated',
        subject='gate',
    )
    assert _find(
        found['beliefs'],
        'audit',
        audit_kind='evacuation_started',
        data_centre='dakar',
    )
    harness.store.remove('op/evacuate/dakar')
    gevent.sleep(MAX_CONFIGURATION_DELAY_MS / 1000)
    assert harness.serve(1) is not None


def test_open_flow_lost_in_a_server_restart(harness):
    client = harness.client()
    client.open()
    holder = next(
        ip for ip, s in harness.servers.items() if client.end in s.flows
    )
    harness.servers[holder].is_stuck = True
    assert client.request(_REQUEST % b'lost-1', tries=1) is None
    harness.servers[holder].stop()
    harness.servers[holder] = platform_standin.FlowServer(
        holder, harness.ports
    )
    name = f'i-{holder.rpartition(".")[2]}'
    harness.store.put_server(
        name, holder, harness.ports['app'], born=NEW_BOOT_UTC_MS
    )
    gevent.sleep(MAX_CONFIGURATION_DELAY_MS / 1000)
    assert client.request(b'again', tries=5) == 'reset'
    found = _explain(harness, 'lost-1')
    assert _find(found['request'], 'request delivered', request='lost-1')
    assert not _find(found['request'], 'request answered')
    assert _find(
        found['request'],
        'flow reset',
        reason='server has lost the flow',
        subject=holder,
    )
    assert _find(
        found['beliefs'],
        'audit',
        audit_kind='server_changed',
        server=name,
        boot_utc_ms=str(NEW_BOOT_UTC_MS),
    )


def test_flow_sent_to_a_leaving_server(harness):
    harness.store.is_silent = True
    gevent.sleep(1.5)
    for server in harness.servers.values():
        server.is_leaving = True
    client = harness.client()
    answer = client.open()
    assert answer[0] & platform_standin.RST
    for number in (1, 2):
        harness.store.put_server(
            f'i-{number}',
            f'127.0.1.{number}',
            harness.ports['app'],
            state='draining',
        )
    harness.store.is_silent = False
    gevent.sleep(MAX_CONFIGURATION_DELAY_MS / 1000)
    found = _explain(harness, _client_address(client))
    placed = _find(found['request'], 'flow placed')[-1]
    assert int(placed['fields']['view_age_ms']) >= 1_000
    changes = _find(
        found['beliefs'],
        'audit',
        audit_kind='server_changed',
        server=placed['fields']['server'],
        draining='true',
    )
    assert changes[0]['utc_ms'] > placed['utc_ms']
