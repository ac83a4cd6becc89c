"""Guards against outdated or unreachable processes that are not reported."""

import contextlib
import itertools
import json
import time

import cli_support
import gevent
import pytest

from kingcupport.common import address
from kingcupport.fleet import balancer
from kingcupport.fleet import documents
from kingcupport.fleet import fleet as fleet_module
from kingcupport.wire import control_messages

TIMEOUT_MS = 200


def _never_reply(sock):
    sock.recv(65536)
    gevent.sleep(10)


def _reply_with(data):
    def handle(sock):
        sock.recv(65536)
        sock.sendall(data)
        gevent.sleep(10)

    return handle


def _reply_slowly(sock):
    with contextlib.suppress(OSError):
        for byte in itertools.chain(b'\0\0\1\0', itertools.repeat(0)):
            sock.sendall(bytes([byte]))
            gevent.sleep(0.05)


@pytest.fixture
def run_status(tmp_path):
    """Return a function that runs ``status`` against named test peers."""

    def run(handlers, *options, revision=8, digest='d'):
        with contextlib.ExitStack() as stack:
            addresses = {
                name: stack.enter_context(cli_support.serve_peer(handle))
                for name, handle in handlers.items()
            }
            members = {
                name: balancer.Balancer(name, peer_address, 'thies-centre')
                for name, peer_address in addresses.items()
            }
            fleet = fleet_module.Fleet(revision, digest, {}, members)
            path = tmp_path / 'fleet.json'
            path.write_text(json.dumps(documents.fleet_to_dict(fleet)))
            return cli_support.run(
                *('status', '--fleet', path, *options),
                *('--timeout-ms', TIMEOUT_MS),
            )

    return run


def _verdicts(result):
    return {
        p['name']: (p['verdict'], p['detail'])
        for p in result.document['processes']
    }


def test_converged(run_status):
    handlers = {n: cli_support.make_status_handler(n, 8) for n in ('a', 'b')}
    result = run_status(handlers, '--json')
    assert result.exit_code == 0
    assert result.document['revision'] == 8
    assert result.document['converged'] is True
    assert result.document['processes'][0]['figures'] == {'connections': 3}


def test_each_problem_has_its_verdict(run_status):
    handlers = {
        'good': cli_support.make_status_handler('good', 8),
        'behind': cli_support.make_status_handler('behind', 6),
        'other': cli_support.make_status_handler('good', 8),
        'conflict': cli_support.make_status_handler(
            'conflict', 8, 'd', ['note 8 of x']
        ),
        'digest': cli_support.make_status_handler('digest', 8, 'e'),
        'silent': _never_reply,
        'slow': _reply_slowly,
        'garbage': _reply_with(b'\xff' * 100),
        'text': _reply_with(b'\0\0\0\5hello'),
        'wrong': cli_support.make_reply_handler(
            lambda _: control_messages.AuditReply('wrong', 8, [])
        ),
        'error': cli_support.make_reply_handler(
            lambda _: control_messages.ErrorReply('error', 8, 'busy', 'later')
        ),
        'closing': lambda sock: None,
    }
    start = time.monotonic()
    result = run_status(handlers, '--json')
    assert time.monotonic() - start < 3 * TIMEOUT_MS / 1000
    assert result.exit_code == 1
    verdicts = _verdicts(result)
    assert verdicts['good'] == ('in force', '')
    assert verdicts['behind'] == ('lags', '2 behind 8')
    assert verdicts['other'] == ('other name', 'good answered')
    assert verdicts['conflict'] == ('conflict', 'note 8 of x')
    assert verdicts['digest'][0] == 'conflict'
    assert verdicts['silent'] == ('no answer', 'no reply within 200 ms')
    assert verdicts['slow'] == ('no answer', 'no reply within 200 ms')
    assert 'too large' in verdicts['garbage'][1]
    assert 'invalid reply' in verdicts['text'][1]
    assert verdicts['wrong'] == (
        'no answer',
        'invalid reply: unexpected AuditReply',
    )
    assert verdicts['error'] == ('no answer', 'busy: later')
    assert verdicts['closing'][0] == 'no answer'


def test_all_processes_behind_the_fleet_file(run_status):
    result = run_status(
        {'a': cli_support.make_status_handler('a', 8)}, revision=9
    )
    assert result.exit_code == 1
    assert '1 behind 9' in result.output


def test_process_ahead_of_the_fleet_file(run_status):
    handlers = {
        'a': cli_support.make_status_handler('a', 8),
        'b': cli_support.make_status_handler('b', 9, 'f'),
    }
    result = run_status(handlers, '--json')
    assert result.exit_code == 1
    assert _verdicts(result)['a'] == ('lags', '1 behind 9')


def test_table_lists_problems_first(run_status):
    handlers = {
        'a': cli_support.make_status_handler('a', 8),
        'b': cli_support.make_status_handler('b', 7),
    }
    lines = run_status(handlers).output.splitlines()
    assert lines[1].split()[0] == 'b'
    assert lines[2].split()[0] == 'a'
    assert lines[3].startswith('revision 8, 2 processes: 1 in force, 1 lags')
    lines = run_status(handlers, '--problems').output.splitlines()
    assert len(lines) == 3


def test_no_process_answers(run_status):
    result = run_status({'a': _never_reply})
    assert result.exit_code == 3


def test_addresses_without_a_fleet_file():
    with contextlib.ExitStack() as stack:
        addresses = [
            stack.enter_context(cli_support.serve_peer(handle))
            for handle in (
                cli_support.make_status_handler('a', 8),
                cli_support.make_status_handler('b', 8),
                cli_support.make_status_handler('c', 8, 'other'),
            )
        ]
        options = [o for a in addresses for o in ('--address', a)]
        result = cli_support.run('status', *options, '--json')
    assert result.exit_code == 1
    assert _verdicts(result) == {
        'a': ('in force', ''),
        'b': ('in force', ''),
        'c': ('conflict', 'digest is not d'),
    }


def test_empty_fleet_file(run_status):
    cli_support.assert_error_line(run_status({}), 2, 'fleet.json')


def test_refused_connection():
    closed = address.Address('127.0.0.1', 1)
    result = cli_support.run('status', '--address', closed)
    assert result.exit_code == 3
    assert 'Connection refused' in result.output
