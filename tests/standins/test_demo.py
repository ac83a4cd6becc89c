"""Guards against a demo that breaks connections or leaks processes."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import gevent

_DEMO = (sys.executable, '-m', 'kingcupport.standins.demo')


def _children(process_id):
    path = pathlib.Path(f'/proc/{process_id}/task/{process_id}/children')
    return [int(child) for child in path.read_text().split()]


def _wait_for_exit(process, timeout):
    deadline = time.monotonic() + timeout
    while process.poll() is None:
        assert time.monotonic() < deadline
        gevent.sleep(0.05)


def test_release_note_under_load_causes_no_faults(tmp_path):
    process = subprocess.Popen(
        [*_DEMO, '--duration-ms=8000', '--json'],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env=os.environ | {'TMPDIR': str(tmp_path)},
    )
    started = set()
    deadline = time.monotonic() + 60
    while process.poll() is None:
        assert time.monotonic() < deadline
        started.update(_children(process.pid))
        gevent.sleep(0.1)
    output, errors = process.communicate()
    assert process.returncode == 0, output + errors
    results = json.loads(output)
    assert [r['deployment'] for r in results] == ['agence', 'lilin-seri']
    assert all(r['report']['answered'] > 300 for r in results)
    assert all(r['second_note_ms'] < 5000 for r in results)
    assert len(started) > 30
    # Logs are removed after a run without faults.
    assert list(tmp_path.iterdir()) == []
    assert not any(pathlib.Path(f'/proc/{p}').exists() for p in started)


def test_processes_are_stopped_after_a_signal(tmp_path):
    process = subprocess.Popen(
        _DEMO,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        env=os.environ | {'TMPDIR': str(tmp_path)},
    )
    deadline = time.monotonic() + 20
    while len(_children(process.pid)) < 28:
        assert time.monotonic() < deadline
        gevent.sleep(0.1)
    started = _children(process.pid)
    process.send_signal(signal.SIGTERM)
    _wait_for_exit(process, 20)
    assert process.returncode == 143
    assert b'logs: ' in process.stderr.read()
    assert not any(pathlib.Path(f'/proc/{p}').exists() for p in started)
