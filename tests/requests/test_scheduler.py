"""Guards against lost, late and repeated runs in one agent's queue."""

import gevent
from gevent import event

from kingcupport.common import clock as clock_module
from kingcupport.requests import answer
from kingcupport.requests import backend_port
from kingcupport.requests import request as request_module
from kingcupport.requests import scheduler

CLOCK = clock_module.make_system_clock()


class _BlockingPort(backend_port.BackendPort):
    def __init__(self):
        self.started = []
        self.cancelled = []
        self.may_finish = event.Event()

    def run(self, request):
        self.started.append(request.request_id)
        try:
            self.may_finish.wait()
        except gevent.GreenletExit:
            self.cancelled.append(request.request_id)
            raise
        if request.target == '/shed':
            raise backend_port.NotRunError('shed', step='run')
        return answer.Answer(200, (), request.request_id.encode())


def _make_request(number, timeout_ms=2000, method='POST', target='/book'):
    return request_module.Request(
        f'r{number}',
        method,
        target,
        (),
        b'',
        '',
        CLOCK.monotonic_ms() + timeout_ms,
    )


def test_queue_runs_in_order_and_answers_each():
    port = _BlockingPort()
    request_scheduler = scheduler.RequestScheduler(port, CLOCK, 1)
    tasks = [
        gevent.spawn(request_scheduler.submit, _make_request(n))
        for n in range(3)
    ]
    gevent.idle()
    assert port.started == ['r0']
    port.may_finish.set()
    assert [t.get(timeout=1).body for t in tasks] == [b'r0', b'r1', b'r2']
    assert port.started == ['r0', 'r1', 'r2']


def test_request_that_expires_in_the_queue_is_not_run():
    port = _BlockingPort()
    request_scheduler = scheduler.RequestScheduler(port, CLOCK, 1)
    first = gevent.spawn(request_scheduler.submit, _make_request(0))
    second = gevent.spawn(
        request_scheduler.submit, _make_request(1, timeout_ms=20)
    )
    gevent.sleep(0.05)
    port.may_finish.set()
    assert first.get(timeout=1).status == 200
    assert second.get(timeout=1).outcome == answer.Outcome.NOT_RUN
    assert port.started == ['r0']


def test_cancelled_request_frees_its_slot():
    port = _BlockingPort()
    request_scheduler = scheduler.RequestScheduler(port, CLOCK, 1)
    tasks = [
        gevent.spawn(request_scheduler.submit, _make_request(n))
        for n in range(3)
    ]
    gevent.idle()
    tasks[0].kill()
    tasks[1].kill()
    gevent.idle()
    assert port.cancelled == ['r0']
    port.may_finish.set()
    assert tasks[2].get(timeout=1).body == b'r2'
    assert 'r1' not in port.started


def test_drain_gives_back_what_has_not_started():
    port = _BlockingPort()
    request_scheduler = scheduler.RequestScheduler(port, CLOCK, 1)
    tasks = [
        gevent.spawn(request_scheduler.submit, _make_request(n))
        for n in range(3)
    ]
    gevent.idle()
    unstarted = request_scheduler.drain()
    assert [r.request_id for r in unstarted] == ['r1', 'r2']
    port.may_finish.set()
    assert tasks[0].get(timeout=1).status == 200
    for task in tasks[1:]:
        assert task.get(timeout=1).outcome == answer.Outcome.NOT_RUN
    answer_after_drain = request_scheduler.submit(_make_request(3))
    assert answer_after_drain.outcome == answer.Outcome.NOT_RUN
    assert port.started == ['r0']
