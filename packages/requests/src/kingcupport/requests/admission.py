"""Admission control for queued requests."""

from kingcupport.requests import answer

MAX_QUEUED_REQUESTS = 1000


class Admission:
    """Refuses requests that are not expected to be answered in time.

    Args:
        wait_percent: Percentage of the time to its deadline that a short
            request may be expected to wait. A long request may wait for all
            of that time except the expected duration of its run.
        max_queued: Queue length from which on every request is refused.
    """

    def __init__(self, wait_percent, max_queued=MAX_QUEUED_REQUESTS):
        self._wait_percent = wait_percent
        self._max_queued = max_queued

    def refusal(self, job, expected_wait_ms, queued):
        """Return the refusal Answer of a Job, or None when it is accepted.

        Args:
            job: The Job, not queued yet.
            expected_wait_ms: Expected time until the request starts.
            queued: Number of requests that are queued.
        """
        remaining_ms = job.request.deadline_ms - job.arrival_ms
        if remaining_ms <= 0:
            return make_not_run_answer('the deadline has passed')
        if queued >= self._max_queued:
            return make_not_run_answer('the queue is full')
        limit_ms = remaining_ms - job.expected_ms
        if not job.long:
            share_limit_ms = remaining_ms * self._wait_percent / 100
            limit_ms = min(limit_ms, share_limit_ms)
        if expected_wait_ms > max(0, limit_ms):
            return make_not_run_answer(
                f'expected wait of {expected_wait_ms:.0f} ms is too long',
                retry_after_s=max(1, round(expected_wait_ms / 1000)),
            )
        return None


def make_not_run_answer(reason, retry_after_s=1):
    """Return the Answer for a request that did not run."""
    return answer.make_refusal(answer.Outcome.NOT_RUN, reason, retry_after_s)
