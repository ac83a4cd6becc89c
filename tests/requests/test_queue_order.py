"""Guards against requests that run in another order than configured."""

import pytest

from kingcupport.requests import job
from kingcupport.requests import queue_order
from kingcupport.requests import request as request_module


def _make_job(number, arrival_ms, deadline_ms, expected_ms):
    request = request_module.Request(
        str(number), 'GET', '/', (), b'', '', deadline_ms
    )
    return job.Job(request, arrival_ms, expected_ms)


JOBS = (
    _make_job(0, 0, 9000, 1000),
    _make_job(1, 10, 3000, 20),
    _make_job(2, 20, 2000, 40),
    _make_job(3, 5000, 8000, 20),
)


@pytest.mark.parametrize(
    ('name', 'expected'),
    [
        ('first_come', '0123'),
        ('deadline', '2130'),
        ('short_first', '1203'),
    ],
)
def test_jobs_run_in_the_configured_order(name, expected):
    queue = queue_order.make_queue_order(name)
    for queued_job in reversed(JOBS):
        queue.push(queued_job)
    order = ''.join(queue.pop().request.request_id for _ in JOBS)
    assert order == expected
    assert len(queue) == 0


def test_work_ahead_counts_only_what_runs_before():
    queue = queue_order.make_queue_order('short_first')
    for queued_job in JOBS[:3]:
        queue.push(queued_job)
    assert queue.work_ahead_ms(_make_job(4, 30, 0, 20)) == 20
    assert queue.remove(JOBS[1])
    assert not queue.remove(JOBS[1])
    assert queue.work_ahead_ms(_make_job(4, 30, 0, 20)) == 0
