"""Tests that a handoff leaves one owner and no frozen connection."""

import gevent
import handoff_simulation
import pytest

from kingcupport.connections import handoff_sender

_Outcome = handoff_sender.HandoffOutcome


def _simulate():
    simulation = handoff_simulation.Simulation(('a', 'b', 'c'))
    caller = simulation.open()
    simulation.advance(500)
    (owner,) = simulation.owners(caller)
    receiver = 'b' if owner != 'b' else 'c'
    return simulation, caller, owner, receiver


def _hand_over(simulation, caller, owner, receiver, duration_ms):
    sender = simulation.agents[owner]
    connection = sender.table.get(caller.connection_id)
    task = gevent.spawn(sender.sender.hand_over, connection, receiver)
    simulation.settle()
    simulation.advance(duration_ms)
    return task.get(block=False)


def test_adopted_connection_leaves_a_redirect():
    """Guards against packets that do not reach the new owner."""
    simulation, caller, owner, receiver = _simulate()
    result = _hand_over(simulation, caller, owner, receiver, 100)
    assert result is _Outcome.ADOPTED
    assert simulation.owners(caller) == [receiver]
    table = simulation.agents[owner].table
    assert table.redirect(caller.connection_id) == receiver


@pytest.mark.parametrize(
    ('call_faults', 'outcome'),
    [
        (('refused',), _Outcome.ABORTED),
        (('lost_request', 'ok'), _Outcome.ABORTED),
        (('lost_reply', 'ok'), _Outcome.ADOPTED),
        (('late', 'ok'), _Outcome.ABORTED),
        (('lost_reply', 'lost_reply', 'lost_reply', 'ok'), _Outcome.ADOPTED),
    ],
)
def test_one_owner_continues_after_faults(call_faults, outcome):
    """Guards against a connection with two active owners or none."""
    simulation, caller, owner, receiver = _simulate()
    remaining = list(call_faults)
    simulation.next_call_fault = lambda: (
        remaining.pop(0) if remaining else 'ok'
    )
    result = _hand_over(simulation, caller, owner, receiver, 6_000)
    assert result is outcome
    expected = receiver if outcome is _Outcome.ADOPTED else owner
    assert simulation.owners(caller) == [expected]
    assert not caller.was_reset


def test_undecided_handoff_ends_in_a_reset():
    """Guards against a sender that resumes without the decision."""
    simulation, caller, owner, receiver = _simulate()
    simulation.cut_links.add(frozenset((owner, receiver)))
    timeout_ms = handoff_sender.DECISION_TIMEOUT_MS
    result = _hand_over(
        simulation, caller, owner, receiver, timeout_ms + 3_000
    )
    assert result is _Outcome.UNDECIDED
    assert caller.was_reset
    assert simulation.agents[owner].lent_runs.unfetched_count == 0


def test_requests_continue_after_an_aborted_handoff():
    """Guards against a connection that stays frozen."""
    simulation, caller, owner, receiver = _simulate()
    caller.request('POST')
    simulation.agents[receiver].data_path.draining = True
    result = _hand_over(simulation, caller, owner, receiver, 5_000)
    assert result is _Outcome.ABORTED
    assert [status for status, _ in caller.answers()[0]] == [200]
