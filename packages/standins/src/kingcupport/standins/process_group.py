"""Starts and stops processes; for the demo and the tests only."""

import pathlib
import signal
import subprocess
import sys

import attrs
import gevent

from kingcupport.common import errors

POLL_MS = 20
STOP_TIMEOUT_MS = 5_000
# After SIGKILL only the kernel can delay the end: with three processes a core
# one was in uninterruptible sleep for more than 5 s.
KILL_TIMEOUT_MS = 30_000


class ProcessError(errors.KingcupportError):
    """A process that is unknown, has ended, or did not end in time."""

    code = 'process_failed'


@attrs.frozen
class _Member:
    process: subprocess.Popen
    log_path: pathlib.Path


class ProcessGroup:
    """Processes by name, each with a log file; used as a context manager.

    Leaving the context stops every process that is still there. Each is
    signalled by its own id.

    Args:
        directory: Where the log files are written.
        clock: Clock for bounded waits.
    """

    def __init__(self, directory, clock):
        self._directory = pathlib.Path(directory)
        self._clock = clock
        self._members = {}

    def __enter__(self):
        """Return the group."""
        return self

    def __exit__(self, *_):
        """Stop all processes."""
        self.stop_all()

    def start(self, name, module, *arguments):
        """Start ``python -m module`` with arguments.

        Args:
            name: Name in this group. A process that has ended may be started
                again under its name; its log goes on.
            module: Module to run.
            arguments: Further arguments.

        Raises:
            ProcessError: A process with that name is running.
        """
        if name in self._members and self.running(name):
            raise ProcessError('is running', step='start', peer=name)
        log_path = self._directory / f'{name}.log'
        with log_path.open('ab') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', module, *map(str, arguments)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._members[name] = _Member(process, log_path)

    def names(self):
        """Return the names of all processes started so far, in a list."""
        return list(self._members)

    def process_id(self, name):
        """Return the id of a process."""
        return self._member(name).process.pid

    def running(self, name):
        """Return whether a process has not ended; paused ones have not."""
        return self._member(name).process.poll() is None

    def log_path(self, name):
        """Return the path of a process's log file."""
        return self._member(name).log_path

    def log_text(self, name):
        """Return what a process has written to its log file."""
        return self._member(name).log_path.read_text(errors='replace')

    def kill(self, name):
        """End a process at once (SIGKILL) and wait until it is gone."""
        self._signal(name, signal.SIGKILL)
        self.wait(name, KILL_TIMEOUT_MS)

    def pause(self, name):
        """Stop a process from running until ``resume`` (SIGSTOP)."""
        self._signal(name, signal.SIGSTOP)

    def resume(self, name):
        """Let a paused process run again (SIGCONT)."""
        self._signal(name, signal.SIGCONT)

    def terminate(self, name):
        """Ask a process to drain and end (SIGTERM); returns at once."""
        self._signal(name, signal.SIGTERM)

    def _signal(self, name, number):
        if not self.running(name):
            raise ProcessError('has ended', step=number.name, peer=name)
        self._member(name).process.send_signal(number)

    def _member(self, name):
        if name not in self._members:
            raise ProcessError('is unknown', step='find', peer=name)
        return self._members[name]

    def wait(self, name, timeout_ms):
        """Wait until a process has ended and return its exit code.

        Raises:
            ProcessError: It has not ended in time.
        """
        process = self._member(name).process
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        while process.poll() is None:
            if self._clock.monotonic_ms() >= deadline_ms:
                raise ProcessError(
                    f'has not ended after {timeout_ms} ms, '
                    f'state {_read_state(process.pid)}',
                    step='wait',
                    peer=name,
                )
            gevent.sleep(POLL_MS / 1000)
        return process.returncode

    def stop_all(self):
        """Terminate all processes; kill those that do not end in time."""
        running = [name for name in self._members if self.running(name)]
        for name in running:
            process = self._members[name].process
            process.terminate()
            # A paused process does not see SIGTERM until it goes on.
            process.send_signal(signal.SIGCONT)
        deadline_ms = self._clock.monotonic_ms() + STOP_TIMEOUT_MS
        while any(map(self.running, running)):
            if self._clock.monotonic_ms() >= deadline_ms:
                break
            gevent.sleep(POLL_MS / 1000)
        for name in filter(self.running, running):
            self.kill(name)


def _read_state(process_id):
    """Return the state letter of proc(5), to tell a hang from a pause."""
    try:
        text = pathlib.Path(f'/proc/{process_id}/stat').read_text()
    except OSError:
        return 'unknown'
    return text.rpartition(')')[2].split()[0]
