"""Guards the answers of requests that run for another agent."""

import types

import manual_clock

from kingcupport.connections import handed_over_requests
from kingcupport.connections import pending_request
from kingcupport.requests import answer as answer_module
from kingcupport.requests import request as request_module
from kingcupport.wire import handoff_messages

_ANSWER = answer_module.Answer(200, ((b'x', b'1'),), b'body')


def _make(deadline_after_ms=1_000):
    clock = manual_clock.ManualClock()
    keeper = types.SimpleNamespace(fleet=types.SimpleNamespace(revision=3))
    runs = handed_over_requests.HandedOverRequests('a', keeper, clock)
    request = request_module.Request(
        'r1',
        'POST',
        '/',
        (),
        b'',
        '',
        clock.monotonic_ms() + deadline_after_ms,
    )
    pending = pending_request.PendingRequest(request, '1.1', True)
    runs.add([pending])
    return runs, pending, clock


def _fetch(runs, request_id='r1'):
    return runs.on_fetch(
        handoff_messages.AnswerFetch('b', 3, request_id, 1), 'b'
    )


def test_answer_is_given_again_if_the_reply_was_lost():
    """Guards against an answer that is lost with one reply."""
    runs, pending, _ = _make()
    assert _fetch(runs).known
    assert not _fetch(runs).ready
    assert runs.unfetched_count == runs.running_count == 1
    pending.result.set(_ANSWER)
    answers = [
        handed_over_requests.answer_from_message(_fetch(runs))
        for _ in range(2)
    ]
    assert answers == [_ANSWER] * 2
    assert runs.unfetched_count == runs.running_count == 0


def test_unknown_request_is_told():
    """Guards against a new owner that waits for an answer that never is."""
    runs, pending, _ = _make()
    assert not _fetch(runs, 'r2').known
    runs.discard([pending])
    assert not _fetch(runs).known


def test_answer_past_its_deadline_is_kept_for_the_new_owner():
    """Guards against answers lost that wait behind slower ones."""
    runs, pending, clock = _make(-handed_over_requests.ANSWER_RETENTION_MS)
    pending.result.set(_ANSWER)
    assert runs.unfetched_count == 1
    assert _fetch(runs).ready
    clock.advance(handed_over_requests.ANSWER_RETENTION_MS)
    assert runs.unfetched_count == 0
    assert not _fetch(runs).known


def test_run_is_kept_when_its_connection_comes_back_and_leaves_again():
    """Guards against two agents that wait for each other's answer.

    The connection's second PendingRequest here waits for the former owner,
    which waits for this agent.
    """
    runs, pending, _ = _make()
    waiting = pending_request.PendingRequest(pending.request, '1.1', True)
    runs.add([waiting])
    runs.discard([waiting])
    runs.add([waiting])
    assert not _fetch(runs).ready
    pending.result.set(_ANSWER)
    assert _fetch(runs).ready
