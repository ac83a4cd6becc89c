"""Tests at-most-once execution with and without single faults."""

import claim_simulation
import pytest

from kingcupport.requests import claim_placement

NAMES = ('a', 'b', 'c', 'd')


@pytest.fixture
def simulation():
    simulated = claim_simulation.Simulation()
    simulated.start_first_fleet(NAMES)
    yield simulated
    simulated.stop()
    assert simulated.violations == []


def key_of(agent, second_agent=None, names=NAMES):
    """Return a key with the given agent and second-ranked agent."""
    for number in range(10_000):
        key = f'key-{number}'
        ranked = claim_placement.rank_hosts(key, names)
        if ranked[0] == agent and second_agent in (None, ranked[1]):
            return key
    raise AssertionError('no such key')


def wait_for_answer(simulation, task, duration_ms=6000):
    simulation.advance(duration_ms)
    return task.get(block=False)


def test_all_keys_can_be_claimed_after_the_first_note(simulation):
    """The first fleet must be usable without waiting a retention time."""
    assert all(agent.runner.ready for agent in simulation.agents.values())


@pytest.mark.parametrize('retry_at', NAMES)
@pytest.mark.parametrize('key_agent', ['a', 'b'])
def test_a_retry_anywhere_gets_the_first_answer(
    simulation, key_agent, retry_at
):
    """A retry at another agent must not run the booking a second time."""
    key = key_of(key_agent)
    first = simulation.agents['a'].submit(key, b'1 ticket')
    simulation.advance(10)
    retry = simulation.agents[retry_at].submit(key, b'1 ticket')
    first = wait_for_answer(simulation, first)
    assert first.status == 200
    assert wait_for_answer(simulation, retry) == first
    late = simulation.agents[retry_at].submit(key, b'1 ticket')
    assert wait_for_answer(simulation, late) == first
    assert len(simulation.runs[key]) == 1


@pytest.mark.parametrize('retry_at', ['a', 'c'])
def test_other_request_under_the_same_key_is_refused(simulation, retry_at):
    """A kept answer must not be returned for a different request."""
    key = key_of('b')
    first = simulation.agents['a'].submit(key, b'1 ticket')
    assert wait_for_answer(simulation, first).status == 200
    other = simulation.agents[retry_at].submit(key, b'2 tickets')
    assert wait_for_answer(simulation, other).status == 422


def test_idempotent_or_unkeyed_requests_need_no_claim(simulation):
    """Requests that need no claim must cause no peer messages."""
    agent = simulation.agents['a']
    before = simulation.messages
    task = agent.submit('', b'')
    assert wait_for_answer(simulation, task, 60).status == 200
    task = agent.submit('key', b'', method='PUT')
    assert wait_for_answer(simulation, task, 60).status == 200
    assert simulation.messages == before


@pytest.mark.parametrize('key_agent', ['a', 'b'])
def test_a_request_that_was_shed_can_be_retried(simulation, key_agent):
    """A claim kept after a not-run answer would block the retry."""
    key = key_of(key_agent)
    simulation.agents['a'].backend.behaviour = ['shed']
    first = simulation.agents['a'].submit(key)
    assert wait_for_answer(simulation, first).status == 503
    retry = simulation.agents['c'].submit(key)
    assert wait_for_answer(simulation, retry).status == 200


@pytest.mark.parametrize('retry_at', ['a', 'c'])
def test_an_unknown_outcome_stays_unknown(simulation, retry_at):
    """A request that may have run must not run again."""
    key = key_of('b')
    simulation.agents['a'].backend.behaviour = ['lose_answer']
    first = simulation.agents['a'].submit(key)
    assert wait_for_answer(simulation, first).status == 504
    retry = simulation.agents[retry_at].submit(key)
    assert wait_for_answer(simulation, retry).status == 504
    assert len(simulation.runs[key]) == 1


def test_a_key_is_free_after_the_retention_deadline(simulation):
    """Claims and answers must be dropped at the retention deadline."""
    key = key_of('b')
    first = simulation.agents['a'].submit(key)
    assert wait_for_answer(simulation, first).status == 200
    simulation.advance(simulation.retention_ms)
    figures = simulation.agents['a'].runner.figures()
    assert figures['claims'] == figures['kept_result_bytes'] == 0
    again = simulation.agents['c'].submit(key)
    assert wait_for_answer(simulation, again).status == 200
