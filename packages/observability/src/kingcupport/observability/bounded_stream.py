"""Output stream that never blocks its writer."""

import collections
import os

import gevent

# A collector that stops reading costs at most this much memory.
MAX_WAITING_BYTES = 256 * 1024
# Pipes take 64 KiB; a pause this short keeps up with 6 MB a second.
RETRY_MS = 10


class BoundedStream:
    """Writes lines to a descriptor and drops those that it does not take.

    The descriptor is made non-blocking. Lines wait in memory up to a bound;
    further ones are dropped and counted, and a line says how many.

    Args:
        descriptor: File descriptor.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._waiting = collections.deque()
        self._waiting_bytes = 0
        self._writer = None
        self.dropped_count = 0
        self._reported_count = 0
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Write text, now or later."""
        data = text.encode(errors='backslashreplace')
        if self._waiting_bytes + len(data) > MAX_WAITING_BYTES:
            self.dropped_count += 1
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        if self._writer is None:
            self._write_waiting()

    def flush(self):
        """Do nothing; lines are written as soon as they are taken."""

    def _write_waiting(self):
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                if self._writer is None:
                    self._writer = gevent.spawn(self._retry)
                return
            except OSError:
                # Nobody reads the log any more, and there is no other place
                # to say so; the drops are counted.
                written = len(data)
                self.dropped_count += 1
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
            else:
                self._waiting.popleft()
                self._report_drops()

    def _report_drops(self):
        if self.dropped_count > self._reported_count:
            count = self.dropped_count - self._reported_count
            self._reported_count = self.dropped_count
            line = f'level=WARNING event="log lines dropped" count={count}\n'
            self._waiting.append(line.encode())
            self._waiting_bytes += len(line)

    def _retry(self):
        while self._waiting:
            gevent.sleep(RETRY_MS / 1000)
            self._write_waiting()
        self._writer = None
