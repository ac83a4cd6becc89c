"""Guards against queueing requests that cannot be answered in time."""

import pytest

from kingcupport.requests import admission
from kingcupport.requests import answer
from kingcupport.requests import job
from kingcupport.requests import request as request_module


@pytest.mark.parametrize(
    ('long', 'wait_ms', 'queued', 'accepted'),
    [
        (False, 0, 0, True),
        (False, 200, 0, True),
        (False, 201, 0, False),
        (True, 1500, 0, True),
        (True, 1501, 0, False),
        (False, 0, 5, False),
    ],
)
def test_request_is_refused_by_its_expected_wait(
    long, wait_ms, queued, accepted
):
    request = request_module.Request('r', 'GET', '/', (), b'', '', 3000)
    new_job = job.Job(request, 1000, 500, long=long)
    refusal = admission.Admission(10, 5).refusal(new_job, wait_ms, queued)
    if accepted:
        assert refusal is None
    else:
        assert refusal.status == 503
        assert refusal.outcome == answer.Outcome.NOT_RUN
        assert any(name == b'retry-after' for name, _ in refusal.headers)


def test_past_deadline_is_refused():
    request = request_module.Request('r', 'GET', '/', (), b'', '', 1000)
    new_job = job.Job(request, 1000, 0)
    assert admission.Admission(10, 5).refusal(new_job, 0, 0).status == 503
