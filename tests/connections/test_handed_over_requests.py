"""Tests the answers of requests that run for another agent."""

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
    registry = types.SimpleNamespace(fleet=types.SimpleNamespace(revision=3))
    handed_over = handed_over_requests.HandedOverRequests('a', registry, clock)
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
    handed_over.add([pending])
    return handed_over, pending, clock


def _fetch(handed_over, request_id='r1'):
    return handed_over.on_fetch(
        handoff_messages.AnswerFetch('b', 3, request_id, 1), 'b'
    )


def test_answer_is_given_again_if_the_reply_was_lost():
    """Guards against losing an answer with a single reply."""
    handed_over, pending, _ = _make()
    assert _fetch(handed_over).known
    assert not _fetch(handed_over).ready
    assert handed_over.unfetched_count == handed_over.running_count == 1
    pending.result.set(_ANSWER)
    answers = [
        handed_over_requests.answer_from_message(_fetch(handed_over))
        for _ in range(2)
    ]
    assert answers == [_ANSWER] * 2
    assert handed_over.unfetched_count == handed_over.running_count == 0


def test_unknown_request_is_reported():
    """Guards against a new owner that waits for an unknown request."""
    handed_over, pending, _ = _make()
    assert not _fetch(handed_over, 'r2').known
    handed_over.discard([pending])
    assert not _fetch(handed_over).known


def test_answer_past_its_deadline_is_kept_for_the_new_owner():
    """Guards against losing answers that wait for slower ones."""
    handed_over, pending, clock = _make(
        -handed_over_requests.ANSWER_RETENTION_MS
    )
    pending.result.set(_ANSWER)
    assert handed_over.unfetched_count == 1
    assert _fetch(handed_over).ready
    clock.advance(handed_over_requests.ANSWER_RETENTION_MS)
    assert handed_over.unfetched_count == 0
    assert not _fetch(handed_over).known


def test_run_is_kept_when_its_connection_comes_back_and_leaves_again():
    """Guards against two agents that wait for each other's answer.

    The second PendingRequest of the connection on this agent fetches its
    answer from the former owner, which fetches it from this agent.
    """
    handed_over, pending, _ = _make()
    waiting = pending_request.PendingRequest(pending.request, '1.1', True)
    handed_over.add([waiting])
    handed_over.discard([waiting])
    handed_over.add([waiting])
    assert not _fetch(handed_over).ready
    pending.result.set(_ANSWER)
    assert _fetch(handed_over).ready
