"""Guards against commands that do not work with the real programs."""

import contextlib
import json
import pathlib
import random
import re
import signal
import subprocess
import sys
import time
import urllib.request

import cli_support
import pytest

from kingcupport.standins import loopback_ports

# Design section 1.3: a release note is in force on all processes within 15 s.
CONVERGENCE_TIMEOUT_S = 15
STOP_TIMEOUT_S = 15

_OPERATIONS = pathlib.Path(__file__).parents[2] / 'docs' / 'OPERATIONS.md'

_NOTE_2 = """\
revision = 2
base = 1
base_digest = "{digest}"

[withdrawn]
backend_servers = ["gate-1"]
"""


@contextlib.contextmanager
def _running(*arguments):
    process = subprocess.Popen(
        [sys.executable, '-m', *map(str, arguments)],
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def _wait_for(arguments, condition):
    deadline = time.monotonic() + CONVERGENCE_TIMEOUT_S
    while True:
        result = cli_support.run(*arguments)
        if condition(result):
            return result
        assert time.monotonic() < deadline, result
        time.sleep(0.2)


@pytest.fixture
def running_fleet(tmp_path):
    """Run one balancer and one agent; yields their addresses and processes."""
    ports = loopback_ports.LoopbackPorts(random.SystemRandom())
    service, balancer, agent, server = (ports.allocate() for _ in range(4))
    http = ports.allocate(), ports.allocate()
    note = cli_support.NOTE_1.replace('192.0.2.20:7000', str(balancer))
    note = note.replace('192.0.2.30:7000', str(agent))
    note = note.replace('192.0.2.30:8080', str(server))
    (tmp_path / 'note-1').write_text(note)
    published = tmp_path / 'published'
    cli_support.run(
        *('note', 'compose', tmp_path / 'note-1', '--out-dir', published)
    )
    common = (
        f'data_centre = "dakar-plateau"\nconfiguration_address = "{service}"\n'
    )
    (tmp_path / 'balancer.toml').write_text(
        f'name = "balancer-1"\naddress = "{balancer}"\n'
        f'http_address = "{http[0]}"\n{common}'
    )
    (tmp_path / 'agent.toml').write_text(
        f'name = "gate-1"\nservice = "gate"\naddress = "{agent}"\n'
        f'server_address = "{server}"\n'
        f'http_address = "{http[1]}"\n{common}'
    )
    with (
        _running(
            *('kingcupport.standins', 'configuration-service'),
            *('--listen', service, '--directory', published),
        ),
        _running(
            *('kingcupport.balancer', '--settings', tmp_path / 'balancer.toml')
        ) as balancer_process,
        _running(
            *('kingcupport.agent', '--settings', tmp_path / 'agent.toml')
        ) as agent_process,
    ):
        yield {
            'published': published,
            'balancer': balancer,
            'agent': agent,
            'http': http,
            'processes': (balancer_process, agent_process),
        }


def _are_ready(result):
    return all(p['state'] == 'ready' for p in result.document['processes'])


def _fetch(address, path):
    with urllib.request.urlopen(f'http://{address}{path}', timeout=5) as page:
        return page.read().decode()


def _assert_metrics_are_documented(program, page):
    prefix = f'kingcupport_{program}_'
    served = set(re.findall(rf'^# TYPE {prefix}(\w+)', page, re.MULTILINE))
    operations = _OPERATIONS.read_text(encoding='utf-8')
    table = operations.split(f'| {program} | meaning |', 1)[1]
    listed = set(re.findall(r'`(\w+)`', table.split('\n\n', 1)[0]))
    assert served == listed


def test_commands_against_running_programs(running_fleet, tmp_path):
    published = running_fleet['published']
    status = ('status', '--fleet', published / 'fleet-1.json', '--json')
    # A process has the revision in force shortly before it becomes ready.
    _wait_for(status, lambda r: r.exit_code == 0 and _are_ready(r))
    for program, address in zip(
        ('balancer', 'agent'), running_fleet['http'], strict=True
    ):
        assert _fetch(address, '/readyz') == 'ready\n'
        page = _fetch(address, '/metrics')
        assert f'kingcupport_{program}_revision 1\n' in page
        _assert_metrics_are_documented(program, page)

    explained = cli_support.run(
        *('route', 'explain', '192.0.2.10:443', '7', '--json'),
        *('--balancer', running_fleet['balancer']),
    )
    assert explained.document['target'] == 'gate-1'

    fleet = json.loads((published / 'fleet-1.json').read_text())
    note_2 = tmp_path / 'note-2'
    note_2.write_text(_NOTE_2.format(digest=fleet['digest']))
    composed = cli_support.run(
        *('note', 'compose', note_2, '--out-dir', published),
        *('--fleet', published / 'fleet-1.json'),
    )
    assert composed.exit_code == 0
    status_of_both = (
        *('status', '--json', '--address', running_fleet['balancer']),
        *('--address', running_fleet['agent']),
    )
    converged = _wait_for(
        status_of_both,
        lambda r: r.exit_code == 0 and r.document['revision'] == 2,
    )
    states = {p['name']: p['state'] for p in converged.document['processes']}
    assert states == {'balancer-1': 'ready', 'gate-1': 'draining'}

    audit = ('audit', '--address', running_fleet['agent'], '--json')
    audit_result = _wait_for(audit, lambda r: 'drain_finished' in r.output)
    kinds = [e['kind'] for e in audit_result.document['events']]
    assert 'note_accepted' in kinds
    assert 'withdrawn' in kinds

    for process in running_fleet['processes']:
        process.send_signal(signal.SIGTERM)
        _, log_text = process.communicate(timeout=STOP_TIMEOUT_S)
        assert process.returncode == 0
        assert 'Traceback' not in log_text
        assert 'event=stopped' in log_text
