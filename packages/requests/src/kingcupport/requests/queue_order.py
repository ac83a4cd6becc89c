"""Priority queues that order the requests of an agent."""

import abc
import bisect

# With this weight a request of 20 ms overtakes one of 1 s that arrived up to
# 3.9 s earlier. The arrival time in the key prevents starvation of long
# requests.
DURATION_WEIGHT = 4


class QueueOrder(abc.ABC):
    """A queue of jobs sorted by a key, then by their first push."""

    def __init__(self):
        self._entries = []
        self._pushed_count = 0

    def __len__(self):
        return len(self._entries)

    def __iter__(self):
        """Iterate over the jobs, the next one to run first."""
        return (job for _, _, job in self._entries)

    @abc.abstractmethod
    def key(self, job):
        """Return the sort key of a Job; the lowest key runs first."""

    def push(self, job):
        """Add a Job; equal keys keep the order of their first push."""
        if job.queue_number == 0:
            self._pushed_count += 1
            job.queue_number = self._pushed_count
        bisect.insort(self._entries, (self.key(job), job.queue_number, job))

    def pop(self):
        """Remove and return the next Job."""
        return self._entries.pop(0)[2]

    def remove(self, job):
        """Remove a Job and return whether it was queued."""
        for index, (_, _, queued) in enumerate(self._entries):
            if queued is job:
                del self._entries[index]
                return True
        return False

    def work_ahead_ms(self, job):
        """Return the expected milliseconds of work that runs before a Job."""
        key = self.key(job)
        return sum(
            queued.expected_ms
            for queued_key, _, queued in self._entries
            if queued_key <= key
        )


class _ArrivalOrder(QueueOrder):
    def key(self, job):
        return job.arrival_ms


class _DeadlineOrder(QueueOrder):
    def key(self, job):
        return job.request.deadline_ms


class _ShortFirstOrder(QueueOrder):
    def key(self, job):
        return job.arrival_ms + DURATION_WEIGHT * job.expected_ms


_ORDERS = {
    'first_come': _ArrivalOrder,
    'deadline': _DeadlineOrder,
    'short_first': _ShortFirstOrder,
}


def make_queue_order(name):
    """Return an empty queue with the given order.

    Args:
        name: ``first_come``, ``deadline`` or ``short_first``.
    """
    return _ORDERS[name]()
