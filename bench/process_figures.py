"""Processor time and memory of processes under benchmark."""

import pathlib
import signal
import subprocess
import sys
import time

_NS_PER_S = 1e9
_STOP_TIMEOUT_S = 5


def memory_kb(pid='self', key='VmRSS'):
    """Return a memory figure of a process from ``/proc``.

    Args:
        pid: Process id, or ``self``.
        key: Name of the figure: ``VmRSS``, ``RssAnon`` or ``VmHWM``.
    """
    text = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    (line,) = (s for s in text.splitlines() if s.startswith(f'{key}:'))
    return int(line.split()[1])


def processor_time_s(pid):
    """Return the processor time of all threads of a process, in seconds."""
    tasks = pathlib.Path(f'/proc/{pid}/task').iterdir()
    nanoseconds = (
        int((task / 'schedstat').read_text(encoding='ascii').split()[0])
        for task in tasks
    )
    return sum(nanoseconds) / _NS_PER_S


def start_program(package, settings_path, log_path):
    """Start ``python -m kingcupport.<package>``; return the Popen object."""
    with open(log_path, 'wb') as log:
        return subprocess.Popen(
            [
                sys.executable,
                '-m',
                f'kingcupport.{package}',
                '--settings',
                str(settings_path),
            ],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )


def stop_program(process):
    """Terminate one process by its id and wait; kill it after a timeout."""
    if process.poll() is None:
        process.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + _STOP_TIMEOUT_S
    while process.poll() is None and time.monotonic() < deadline:
        time.sleep(0.05)
    if process.poll() is None:
        process.kill()
    process.wait()


def print_figure(name, value, unit, remark=''):
    """Print one figure on one line."""
    print(f'{name}: {value} {unit}{remark and f" ({remark})"}', flush=True)
