"""Guards against process groups that leak processes or ports."""

import pathlib
import random
import socket

import gevent
import pytest

from kingcupport.common import clock as clock_module
from kingcupport.standins import loopback_ports
from kingcupport.standins import process_group


@pytest.fixture
def group(tmp_path):
    clock = clock_module.make_system_clock()
    with process_group.ProcessGroup(tmp_path, clock) as group:
        yield group


def _start_sleeper(group, name='sleeper'):
    group.start(name, 'timeit', '-n', 1, '-r', 1, 'import time;time.sleep(60)')


def _state(process_id):
    text = pathlib.Path(f'/proc/{process_id}/stat').read_text()
    return text.rpartition(')')[2].split()[0]


def _exists(process_id):
    return pathlib.Path(f'/proc/{process_id}').exists()


def test_leaving_the_context_stops_running_and_paused_processes(tmp_path):
    clock = clock_module.make_system_clock()
    with (
        pytest.raises(ZeroDivisionError),
        process_group.ProcessGroup(tmp_path, clock) as group,
    ):
        _start_sleeper(group, 'one')
        _start_sleeper(group, 'two')
        group.pause('two')
        process_ids = [group.process_id(name) for name in group.names()]
        raise ZeroDivisionError
    assert not any(map(_exists, process_ids))


def test_kill_ends_a_process(group):
    _start_sleeper(group)
    group.kill('sleeper')
    assert not group.running('sleeper')
    with pytest.raises(process_group.ProcessError, match='has ended'):
        group.terminate('sleeper')


def test_pause_and_resume(group):
    _start_sleeper(group)
    group.pause('sleeper')
    gevent.sleep(0.1)
    assert _state(group.process_id('sleeper')) == 'T'
    group.resume('sleeper')
    gevent.sleep(0.1)
    assert _state(group.process_id('sleeper')) != 'T'


def test_terminate_and_wait(group):
    _start_sleeper(group)
    group.terminate('sleeper')
    assert group.wait('sleeper', 5000) == -15


def test_wait_times_out(group):
    _start_sleeper(group)
    with pytest.raises(process_group.ProcessError, match='not ended'):
        group.wait('sleeper', 100)


def test_timeout_reports_the_state_of_the_process(group):
    _start_sleeper(group)
    group.pause('sleeper')
    gevent.sleep(0.1)
    with pytest.raises(process_group.ProcessError, match='state T'):
        group.wait('sleeper', 100)


def test_log_is_appended_after_a_restart(group):
    for _ in range(2):
        group.start('help', 'kingcupport.standins', '--version')
        group.wait('help', 10_000)
    assert group.log_text('help').count('Kingcupport Standin') == 2


def test_second_start_is_refused(group):
    _start_sleeper(group)
    with pytest.raises(process_group.ProcessError, match='is running'):
        _start_sleeper(group)


def test_unknown_process_is_refused(group):
    with pytest.raises(process_group.ProcessError, match='is unknown'):
        group.kill('nobody')


def test_ports_are_free_and_allocated_once():
    ports = loopback_ports.LoopbackPorts(random.Random(5))
    first = ports.allocate()
    again = loopback_ports.LoopbackPorts(random.Random(5))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(first.as_tuple())
        assert again.allocate() != first
    allocated = {ports.allocate() for _ in range(50)}
    assert len(allocated) == 50
    assert first not in allocated
