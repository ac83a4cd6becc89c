"""Refuses requests that would wait too long."""

from kingcupport.requests import answer

MAX_QUEUED = 1000


class Admission:
    """Decides before queueing whether a request can be answered in time.

    Args:
        wait_percent: Share of the time to its deadline that a short request
            may be expected to wait; a long one may use all that its run
            leaves over.
        max_queued: Queue length at which everything is refused.
    """

    def __init__(self, wait_percent, max_queued=MAX_QUEUED):
        self._wait_percent = wait_percent
        self._max_queued = max_queued

    def refusal(self, job, expected_wait_ms, queued):
        """Return the refusal of a Job, or None when it is accepted.

        Args:
            job: The Job, not queued yet.
            expected_wait_ms: Expected time until it starts.
            queued: Number of requests that wait.
        """
        remaining_ms = job.request.deadline_ms - job.arrival_ms
        if remaining_ms <= 0:
            return make_not_run('the deadline has passed')
        if queued >= self._max_queued:
            return make_not_run('the queue is full')
        limit_ms = remaining_ms - job.expected_ms
        if not job.long:
            share_ms = remaining_ms * self._wait_percent / 100
            limit_ms = min(limit_ms, share_ms)
        if expected_wait_ms > max(0, limit_ms):
            return make_not_run(
                f'expected wait of {expected_wait_ms:.0f} ms is too long',
                retry_after_s=max(1, round(expected_wait_ms / 1000)),
            )
        return None


def make_not_run(reason, retry_after_s=1):
    """Return the Answer for a request that did not run."""
    return answer.make_refusal(answer.Outcome.NOT_RUN, reason, retry_after_s)
