"""Starts, signals and stops processes, for the demo and the tests."""

import pathlib
import signal
import subprocess
import sys

import attrs
import gevent

from kingcupport.common import errors

POLL_MS = 20
STOP_TIMEOUT_MS = 5_000
# After SIGKILL, only the kernel can delay the end. With three processes per
# core, one was in uninterruptible sleep for more than 5 s.
KILL_TIMEOUT_MS = 30_000


class ProcessError(errors.KingcupportError):
    """A process is unknown, in the wrong state, or did not end in time."""

    code = 'process_failed'


@attrs.frozen
class _ManagedProcess:
    process: subprocess.Popen
    log_path: pathlib.Path


class ProcessGroup:
    """Context manager for named processes, each with a log file.

    Leaving the context stops all processes that are still running. Processes
    are signalled individually by their id.

    Args:
        directory: Directory for the log files.
        clock: Clock for waits with a timeout.
    """

    def __init__(self, directory, clock):
        self._directory = pathlib.Path(directory)
        self._clock = clock
        self._processes = {}

    def __enter__(self):
        """Return the group itself."""
        return self

    def __exit__(self, *_):
        """Stop all processes."""
        self.stop_all()

    def start(self, name, module, *arguments):
        """Start ``python -m module`` with arguments.

        Args:
            name: Name in this group. A process that has ended may be started
                again under its name; its output is appended to its log.
            module: Name of the module to run.
            arguments: Arguments of the module.

        Raises:
            ProcessError: A process with this name is running.
        """
        if name in self._processes and self.running(name):
            raise ProcessError('is running', step='start', peer=name)
        log_path = self._directory / f'{name}.log'
        with log_path.open('ab') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', module, *map(str, arguments)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes[name] = _ManagedProcess(process, log_path)

    def names(self):
        """Return the names of all processes started so far as a list."""
        return list(self._processes)

    def process_id(self, name):
        """Return the id of a process."""
        return self._find(name).process.pid

    def running(self, name):
        """Return whether a process has not ended; it may be paused."""
        return self._find(name).process.poll() is None

    def log_path(self, name):
        """Return the path of a process's log file."""
        return self._find(name).log_path

    def log_text(self, name):
        """Return the content of a process's log file."""
        return self._find(name).log_path.read_text(errors='replace')

    def kill(self, name):
        """Kill a process (SIGKILL) and wait until it has ended."""
        self._signal(name, signal.SIGKILL)
        self.wait(name, KILL_TIMEOUT_MS)

    def pause(self, name):
        """Suspend a process until ``resume`` (SIGSTOP)."""
        self._signal(name, signal.SIGSTOP)

    def resume(self, name):
        """Continue a paused process (SIGCONT)."""
        self._signal(name, signal.SIGCONT)

    def terminate(self, name):
        """Ask a process to drain and end (SIGTERM); does not wait."""
        self._signal(name, signal.SIGTERM)

    def _signal(self, name, number):
        if not self.running(name):
            raise ProcessError('has ended', step=number.name, peer=name)
        self._find(name).process.send_signal(number)

    def _find(self, name):
        if name not in self._processes:
            raise ProcessError('is unknown', step='find', peer=name)
        return self._processes[name]

    def wait(self, name, timeout_ms):
        """Wait until a process has ended and return its exit code.

        Raises:
            ProcessError: The process has not ended in time.
        """
        process = self._find(name).process
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        while process.poll() is None:
            if self._clock.monotonic_ms() >= deadline_ms:
                raise ProcessError(
                    f'has not ended after {timeout_ms} ms, '
                    f'state {_read_process_state(process.pid)}',
                    step='wait',
                    peer=name,
                )
            gevent.sleep(POLL_MS / 1000)
        return process.returncode

    def stop_all(self):
        """Terminate all processes and kill those that do not end in time."""
        running = [name for name in self._processes if self.running(name)]
        for name in running:
            process = self._processes[name].process
            process.terminate()
            # A paused process does not handle SIGTERM until it continues.
            process.send_signal(signal.SIGCONT)
        deadline_ms = self._clock.monotonic_ms() + STOP_TIMEOUT_MS
        while any(map(self.running, running)):
            if self._clock.monotonic_ms() >= deadline_ms:
                break
            gevent.sleep(POLL_MS / 1000)
        for name in filter(self.running, running):
            self.kill(name)


def _read_process_state(process_id):
    """Return the state letter of proc(5), to tell a hang from a pause."""
    try:
        text = pathlib.Path(f'/proc/{process_id}/stat').read_text()
    except OSError:
        return 'unknown'
    return text.rpartition(')')[2].split()[0]
