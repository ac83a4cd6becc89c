"""Tests the outcome of requests whose connection was handed over."""

import itertools
import types

import manual_clock
import pytest

from kingcupport.connections import answer_fetcher
from kingcupport.control import peer_caller
from kingcupport.requests import answer as answer_module
from kingcupport.requests import request as request_module
from kingcupport.requests import request_runner
from kingcupport.wire import handoff_messages

_Outcome = answer_module.Outcome
_LOCAL_ANSWER = answer_module.Answer(201, (), b'here')


class _Caller(peer_caller.PeerCaller):
    def __init__(self, clock, *replies):
        self.clock = clock
        self.replies = itertools.chain(replies, itertools.repeat(replies[-1]))

    def call(self, peer, message, deadline_ms):
        reply = next(self.replies)
        if reply is None:
            self.clock.sleep_until(deadline_ms)
            raise peer_caller.PeerError('no reply', step='call', peer=peer)
        return reply


class _Runner(request_runner.RequestRunner):
    def __init__(self, answer):
        self.answer = answer
        self.runs = 0

    def submit(self, request):
        self.runs += 1
        return self.answer


def _reply(known=True, ready=False, outcome='', status=200):
    return handoff_messages.AnswerFetched(
        'a', 1, 'r', known, ready, status, [], b'there', outcome
    )


_RUNNING = _reply()
_READY = _reply(ready=True, outcome='ran')
_NOT_RUN = _reply(ready=True, outcome='not-run', status=503)
_UNKNOWN = _reply(known=False)


def _submit(
    replies,
    method='POST',
    key='',
    timeout_ms=5_000,
    local_answer=_LOCAL_ANSWER,
):
    clock = manual_clock.ManualClock()
    runner = _Runner(local_answer)
    fetcher = answer_fetcher.AnswerFetcher(
        'a',
        'b',
        types.SimpleNamespace(fleet=types.SimpleNamespace(revision=1)),
        _Caller(clock, *replies),
        clock,
        runner,
    )
    request = request_module.Request(
        'r', method, '/', (), b'', key, clock.monotonic_ms() + timeout_ms
    )
    return fetcher.submit(request), runner.runs


def test_answer_is_fetched_when_it_is_ready():
    """Guards against running a request again that has an answer."""
    answer, runs = _submit([None, _RUNNING, _RUNNING, _READY])
    assert (answer.body, runs) == (b'there', 0)


def test_answer_is_fetched_past_its_deadline():
    """Guards against losing an answer that waited for a slower one."""
    answer, runs = _submit([None, _READY], timeout_ms=0)
    assert (answer.body, runs) == (b'there', 0)


def test_request_that_the_former_owner_did_not_run_runs_here():
    """Guards against refusing requests because of a drain."""
    assert _submit([_NOT_RUN]) == (_LOCAL_ANSWER, 1)


@pytest.mark.parametrize('replies', [[None], [_UNKNOWN], [_RUNNING]])
@pytest.mark.parametrize(
    ('method', 'key', 'runs'),
    [('POST', '', 0), ('POST', 'k', 1), ('GET', '', 1)],
)
def test_only_safe_requests_run_again(replies, method, key, runs):
    """Guards against running a request twice when its agent is lost."""
    answer, seen = _submit(replies, method, key)
    assert seen == runs
    if not runs:
        assert answer.outcome == _Outcome.UNKNOWN


@pytest.mark.parametrize(('method', 'key'), [('GET', ''), ('POST', 'k')])
def test_request_that_may_have_run_never_ends_as_not_run(method, key):
    """Guards against outcome NOT_RUN if a lost agent may have run it."""
    refusal = answer_module.make_refusal(_Outcome.NOT_RUN, 'full')
    answer, _ = _submit([None], method, key, local_answer=refusal)
    assert answer.outcome == _Outcome.UNKNOWN
    assert answer.status == 504
