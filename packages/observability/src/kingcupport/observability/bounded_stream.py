"""Non-blocking output stream with a bounded buffer."""

import collections
import contextlib
import os
import stat

import gevent

# Bounds the memory that a stalled log collector can cost.
MAX_BUFFERED_BYTES = 256 * 1024
# A pipe holds 64 KiB, so this interval allows about 6 MB/s.
RETRY_INTERVAL_MS = 10


class BoundedStream:
    """Writes lines to a file descriptor without blocking.

    The descriptor is made non-blocking. That of a pipe is opened again first:
    other processes may share it, and any of them could make it blocking for
    all. Lines that cannot be written at
    once are buffered up to ``MAX_BUFFERED_BYTES``. Further lines are dropped
    and counted, and a log line reports their number.

    Args:
        descriptor: File descriptor to write to.
    """

    def __init__(self, descriptor):
        self._descriptor = _own_descriptor(descriptor)
        self._buffer = collections.deque()
        self._buffered_bytes = 0
        self._retry_task = None
        self.dropped_count = 0
        self._reported_count = 0
        os.set_blocking(self._descriptor, False)

    def write(self, text):
        """Write text, buffer it, or drop it when the buffer is full."""
        data = text.encode(errors='backslashreplace')
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped_count += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if self._retry_task is None:
            self._write_buffer()

    def flush(self):
        """Do nothing; buffered lines are written as soon as possible."""

    def _write_buffer(self):
        while self._buffer:
            data = self._buffer[0]
            try:
                written_bytes = os.write(self._descriptor, data)
            except BlockingIOError:
                if self._retry_task is None:
                    self._retry_task = gevent.spawn(self._retry_until_written)
                return
            except OSError:
                # The reader is gone and there is no other place to report
                # it, so the line is counted as dropped.
                written_bytes = len(data)
                self.dropped_count += 1
            self._buffered_bytes -= written_bytes
            if written_bytes < len(data):
                self._buffer[0] = data[written_bytes:]
            else:
                self._buffer.popleft()
                self._report_dropped_lines()

    def _report_dropped_lines(self):
        if self.dropped_count > self._reported_count:
            count = self.dropped_count - self._reported_count
            self._reported_count = self.dropped_count
            line = f'level=WARNING event="log lines dropped" count={count}\n'
            self._buffer.append(line.encode())
            self._buffered_bytes += len(line)

    def _retry_until_written(self):
        while self._buffer:
            gevent.sleep(RETRY_INTERVAL_MS / 1000)
            self._write_buffer()
        self._retry_task = None


def _own_descriptor(descriptor):
    """Return a descriptor whose flags no other process shares, if possible."""
    with contextlib.suppress(OSError):
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return os.open(
                f'/proc/self/fd/{descriptor}', os.O_WRONLY | os.O_NONBLOCK
            )
    return descriptor
