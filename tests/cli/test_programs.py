"""Guards against commands that the shipped programs do not understand."""

import contextlib
import json
import random
import signal
import socket
import subprocess
import sys
import time

import cli_support
import pytest

# Design section 1.3: a release note is in force everywhere within 15 s.
CONVERGED_WITHIN_S = 15
STOPPED_WITHIN_S = 15

_NOTE_2 = """\
revision = 2
base = 1
base_digest = "{digest}"

[withdrawn]
backend_servers = ["gate-1"]
"""


def _free_ports(count):
    # Below the range that the kernel hands out, so that no outgoing
    # connection of another test takes a port before the program binds it.
    found = []
    while len(found) < count:
        port = random.randrange(20_000, 32_000)
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
                sock.bind(('127.0.0.1', port))
            if port not in found:
                found.append(port)
    return found


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


def _wait_for(arguments, is_reached):
    deadline = time.monotonic() + CONVERGED_WITHIN_S
    while True:
        result = cli_support.run(*arguments)
        if is_reached(result):
            return result
        assert time.monotonic() < deadline, result
        time.sleep(0.2)


@pytest.fixture
def fleet_of_two(tmp_path):
    """Run a balancer and an agent; yields their ports and processes."""
    ports = _free_ports(6)
    service, balancer, agent, *http, server = ports
    note = cli_support.NOTE_1.replace(
        '192.0.2.20:7000', f'127.0.0.1:{balancer}'
    )
    note = note.replace('192.0.2.30:7000', f'127.0.0.1:{agent}')
    (tmp_path / 'note-1').write_text(note)
    published = tmp_path / 'published'
    cli_support.run(
        *('note', 'compose', tmp_path / 'note-1', '--out-dir', published)
    )
    common = (
        'data_centre = "dakar-plateau"\n'
        f'configuration_address = "127.0.0.1:{service}"\n'
    )
    (tmp_path / 'balancer.toml').write_text(
        f'name = "balancer-1"\naddress = "127.0.0.1:{balancer}"\n'
        f'http_address = "127.0.0.1:{http[0]}"\n{common}'
    )
    (tmp_path / 'agent.toml').write_text(
        f'name = "gate-1"\nservice = "gate"\naddress = "127.0.0.1:{agent}"\n'
        f'server_address = "127.0.0.1:{server}"\n'
        f'http_address = "127.0.0.1:{http[1]}"\n{common}'
    )
    with (
        _running(
            *('kingcupport.standins', 'configuration-service'),
            *('--listen', f'127.0.0.1:{service}', '--directory', published),
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
            'balancer': f'127.0.0.1:{balancer}',
            'agent': f'127.0.0.1:{agent}',
            'processes': (balancer_process, agent_process),
        }


def test_commands_against_running_programs(fleet_of_two, tmp_path):
    published = fleet_of_two['published']
    status = ('status', '--fleet', published / 'fleet-1.json', '--json')
    _wait_for(status, lambda r: r.exit_code == 0)

    explained = cli_support.run(
        *('route', 'explain', '192.0.2.10:443', '7', '--json'),
        *('--balancer', fleet_of_two['balancer']),
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
    both = (
        *('status', '--json', '--address', fleet_of_two['balancer']),
        *('--address', fleet_of_two['agent']),
    )
    reached = _wait_for(
        both,
        lambda r: r.exit_code == 0 and r.document['revision'] == 2,
    )
    states = {p['name']: p['state'] for p in reached.document['processes']}
    assert states == {'balancer-1': 'ready', 'gate-1': 'draining'}

    audit = ('audit', '--address', fleet_of_two['agent'], '--json')
    trail = _wait_for(audit, lambda r: 'drain_finished' in r.output)
    kinds = [e['kind'] for e in trail.document['events']]
    assert 'note_accepted' in kinds
    assert 'withdrawn' in kinds

    for process in fleet_of_two['processes']:
        process.send_signal(signal.SIGTERM)
        _, log_text = process.communicate(timeout=STOPPED_WITHIN_S)
        assert process.returncode == 0
        assert 'Traceback' not in log_text
        assert 'event=stopped' in log_text
