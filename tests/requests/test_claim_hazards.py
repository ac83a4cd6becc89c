"""Tests at-most-once execution under each known hazard, one at a time."""

import claim_simulation
import pytest

from kingcupport.requests import claim_placement

NAMES = ('a', 'b', 'c', 'd')
RETENTION_MS = 60_000


@pytest.fixture
def simulation():
    simulated = claim_simulation.Simulation(retention_ms=RETENTION_MS)
    simulated.start_first_fleet(NAMES)
    yield simulated
    simulated.stop()
    assert simulated.violations == []


def key_of(agent, next_agent=None, names=NAMES):
    """Return a key with the given agent and second-ranked agent."""
    for number in range(100_000):
        key = f'key-{number}'
        ranked = claim_placement.rank_hosts(key, names)
        if ranked[0] == agent and next_agent in (None, ranked[1]):
            return key
    raise AssertionError('no such key')


def request_status(simulation, name, key, **options):
    """Submit a request and return the status of its answer."""
    task = simulation.agents[name].submit(key, **options)
    simulation.advance(6000)
    return task.get(block=False).status


def accept(simulation, names):
    for name in names:
        simulation.agents[name].accept(simulation.fleets[-1])


def partition(simulation, one_side, other_side):
    for one in one_side:
        for other in other_side:
            simulation.cut(one, other)


def restart(simulation, name, fleet=None):
    simulation.kill(name)
    simulation.start(name, fleet)


def test_grant_that_was_on_its_way_during_a_takeover_is_void(simulation):
    """A grant must not count if the next key agent queried the claimer first.

    Otherwise both key agents would grant the key.
    """
    key = key_of('b', 'c')
    simulation.message_faults = ['delay_reply']
    slow = simulation.agents['a'].submit(key)
    simulation.advance(1)
    simulation.kill('b')
    simulation.publish(withdrawn=['b'])
    accept(simulation, 'acd')
    simulation.advance(300)
    other = simulation.agents['d'].submit(key)
    simulation.advance(6000)
    assert other.get(block=False) == slow.get(block=False)
    assert len(simulation.runs[key]) == 1


def test_restart_of_a_key_agent_that_was_the_holder(simulation):
    """Only the copy at the second-ranked agent shows that the key was used."""
    key = key_of('b')
    assert request_status(simulation, 'b', key) == 200
    restart(simulation, 'b')
    simulation.advance(1000)
    assert simulation.agents['b'].runner.ready
    assert request_status(simulation, 'c', key) == 504
    assert request_status(simulation, 'b', key) == 504


@pytest.mark.parametrize('holder', ['a', 'c'])
def test_restart_of_the_key_agent(simulation, holder):
    """The restarted agent must find the holder's answer without a wait."""
    key = key_of('b')
    assert request_status(simulation, holder, key) == 200
    restart(simulation, 'b')
    simulation.advance(1000)
    assert request_status(simulation, 'd', key) == 200
    assert len(simulation.runs[key]) == 1


def test_restart_of_the_holder(simulation):
    """A restarted holder does not know what its previous process ran."""
    key = key_of('b')
    assert request_status(simulation, 'a', key) == 200
    restart(simulation, 'a')
    simulation.advance(1000)
    assert request_status(simulation, 'c', key) == 504
    assert request_status(simulation, 'a', key) == 504


def test_restart_of_key_agent_and_holder(simulation):
    """The claim is lost, so the key is refused until the claim expires."""
    key = key_of('b')
    assert request_status(simulation, 'a', key) == 200
    restart(simulation, 'a')
    restart(simulation, 'b')
    simulation.advance(1000)
    assert request_status(simulation, 'c', key) == 504
    simulation.advance(RETENTION_MS)
    assert request_status(simulation, 'c', key) == 200


def test_key_agent_is_gone_and_holder_restarted(simulation):
    """A host listed as gone loses its claims like a restarted one."""
    key = key_of('b', 'c')
    assert request_status(simulation, 'a', key) == 200
    simulation.kill('b')
    restart(simulation, 'a')
    simulation.set_instance_state('b', 'gone')
    simulation.advance(3000)
    assert request_status(simulation, 'd', key) == 504


def test_restart_of_a_withdrawn_key_agent_and_the_holder(simulation):
    """A withdrawn host that restarts must report its lost claims.

    Found by the state machine test.
    """
    key = key_of('b', 'c')
    assert request_status(simulation, 'a', key) == 200
    simulation.publish(withdrawn=['b'])
    restart(simulation, 'b')
    restart(simulation, 'a')
    accept(simulation, 'cd')
    simulation.advance(1000)
    assert request_status(simulation, 'd', key) == 504


def test_restart_that_reads_a_fleet_from_before_the_first_note(simulation):
    """An outdated fleet must not make a restart look like a first start."""
    key = key_of('a')
    assert request_status(simulation, 'b', key) == 200
    restart(simulation, 'b')
    restart(simulation, 'a', simulation.fleets[0])
    accept(simulation, 'a')
    simulation.advance(1000)
    assert request_status(simulation, 'c', key) == 504


def test_partition_with_two_revisions_from_the_old_side(simulation):
    """A partitioned key agent must not grant keys under its old view."""
    key = key_of('b', 'c')
    partition(simulation, 'b', 'cd')
    simulation.publish(withdrawn=['b'])
    accept(simulation, 'acd')
    simulation.advance(1000)
    assert request_status(simulation, 'd', key) == 200
    assert request_status(simulation, 'b', key) == 504


def test_partition_with_two_revisions_and_an_outdated_restart(simulation):
    """A claimer restarted on an old fleet asks the previous key agent."""
    key = key_of('b', 'c')
    partition(simulation, 'b', 'cd')
    simulation.publish(withdrawn=['b'])
    accept(simulation, 'acd')
    simulation.advance(1000)
    assert request_status(simulation, 'd', key) == 200
    restart(simulation, 'a', simulation.fleets[1])
    simulation.advance(1000)
    assert request_status(simulation, 'a', key) == 504


def test_peers_that_have_not_accepted_the_note_do_not_count(simulation):
    """Peers that have not accepted the note grant under the old fleet."""
    key = key_of('b', 'c')
    simulation.publish(withdrawn=['b'])
    accept(simulation, 'cd')
    simulation.advance(1000)
    assert request_status(simulation, 'a', key) == 200
    assert request_status(simulation, 'd', key) == 504
    accept(simulation, 'ab')
    simulation.advance(1000)
    assert request_status(simulation, 'd', key) == 200


def test_keys_wait_for_the_answers_of_peers_after_a_withdrawal(simulation):
    """The new key agent reaches only one peer, which knows no claim."""
    key = key_of('b', 'c')
    assert request_status(simulation, 'a', key) == 200
    partition(simulation, 'c', 'ab')
    simulation.publish(withdrawn=['b'])
    accept(simulation, NAMES)
    assert request_status(simulation, 'c', key) == 504
    simulation.heal()
    assert request_status(simulation, 'c', key) == 200


def test_unconfirmed_hosts_of_a_peer_are_awaited(simulation):
    """A later note must not hide hosts that can still grant to each other."""
    names = ('a', 'c', 'e')
    key = next(
        key
        for key in map(str, range(100_000))
        if claim_placement.find_key_agent(key, NAMES) == 'b'
        and claim_placement.find_key_agent(key, names) == 'e'
    )
    partition(simulation, 'ace', 'bd')
    assert request_status(simulation, 'd', key) == 200
    simulation.publish(withdrawn=['b'])
    accept(simulation, 'ac')
    simulation.start('e')
    simulation.publish(added=['e'], withdrawn=['d'])
    accept(simulation, 'ace')
    simulation.advance(1000)
    assert request_status(simulation, 'a', key) == 504


def test_two_withdrawn_hosts_that_do_not_answer(simulation):
    """Withdrawn hosts behind a partition can still grant to each other."""
    key = key_of('b')
    partition(simulation, 'ac', 'bd')
    simulation.publish(withdrawn=['b', 'd'])
    accept(simulation, 'ac')
    simulation.advance(RETENTION_MS)
    assert request_status(simulation, 'd', key) == 200
    assert request_status(simulation, 'a', key) == 504


@pytest.mark.parametrize('wait_ms', [0, 150, 300, 450])
def test_restart_of_an_only_host_while_a_second_one_joins(simulation, wait_ms):
    """Claims of a single host have no copy at the host that joins."""
    simulation.publish(withdrawn=['b', 'c', 'd'])
    accept(simulation, NAMES)
    simulation.advance(1000)
    key = key_of('a', names='ab')
    assert request_status(simulation, 'a', key) == 200
    for name in 'bcd':
        simulation.kill(name)
    simulation.start('b')
    simulation.cut('a', 'b')
    simulation.publish(added=['b'])
    accept(simulation, 'b')
    restart(simulation, 'a')
    simulation.advance(wait_ms)
    simulation.heal()
    simulation.advance(1000)
    assert request_status(simulation, 'b', key) == 504
    assert request_status(simulation, 'a', key) == 504


def test_notes_after_the_restart_of_an_only_host(simulation):
    """A second note must not hide that the lost claims had no copy."""
    simulation.publish(withdrawn=['b', 'c', 'd'])
    accept(simulation, NAMES)
    simulation.advance(1000)
    key = key_of('a', names='abc')
    assert request_status(simulation, 'a', key) == 200
    restart(simulation, 'a')
    for name in 'bc':
        simulation.publish(added=[name])
        accept(simulation, 'abc')
        simulation.advance(1000)
    assert request_status(simulation, 'a', key) == 504
    simulation.advance(RETENTION_MS)
    assert request_status(simulation, 'a', key) == 200


def test_fenced_key_agent_that_wakes(simulation):
    """A fenced agent must not grant keys that others have taken over."""
    key = key_of('b', 'c')
    simulation.agents['b'].pause()
    simulation.set_instance_state('b', 'gone')
    simulation.advance(3000)
    assert request_status(simulation, 'd', key) == 200
    simulation.agents['b'].resume()
    task = simulation.agents['b'].submit(key)
    simulation.advance(6000)
    assert task.get(block=False).status in (200, 504)
    assert simulation.agents['b'].runner.ready
    assert request_status(simulation, 'b', key) == 200
    assert len(simulation.runs[key]) == 1


def test_host_that_was_withdrawn_and_added_again_while_paused(simulation):
    """A re-added host must not assume that it owned its keys all along.

    Found by the state machine test.
    """
    key = key_of('b', 'a')
    simulation.agents['b'].pause()
    simulation.publish(withdrawn=['b'])
    accept(simulation, 'acd')
    simulation.advance(700)
    first = simulation.agents['d'].submit(key)
    simulation.advance(100)
    assert first.get(block=False).status == 200
    simulation.publish(added=['b'])
    accept(simulation, NAMES)
    simulation.agents['b'].resume()
    restart(simulation, 'a')
    restart(simulation, 'd')
    simulation.advance(1000)
    assert request_status(simulation, 'c', key) == 504


def test_pause_blocks_until_the_view_was_compared(simulation):
    """A paused process may have missed a release note or a fence."""
    agent = simulation.agents['b']
    partition(simulation, 'b', 'acd')
    agent.pause()
    simulation.advance(3000)
    agent.resume()
    assert not agent.runner.may_run()
    simulation.advance(3000)
    assert not agent.runner.may_run()
    simulation.heal()
    simulation.advance(1000)
    assert agent.runner.may_run()


def test_reply_after_the_deadline_of_the_claimer(simulation):
    """A grant that is read after the deadline must not start a run."""
    key = key_of('b')
    agent = simulation.agents['a']
    task = agent.submit(key, timeout_ms=500)
    agent.pause()
    simulation.advance(700)
    agent.resume()
    simulation.advance(100)
    answer = task.get(block=False)
    assert answer.status == 503
    assert b'after the deadline' in answer.body
    assert request_status(simulation, 'c', key) == 200


@pytest.mark.parametrize(
    'faults',
    [
        ['lose'],
        ['lose_reply'],
        ['delay_reply'],
        ['duplicate'],
        ['lose', 'lose_reply'],
    ],
)
@pytest.mark.parametrize('key_agent', ['a', 'b'])
def test_claim_with_message_faults_runs_once(simulation, key_agent, faults):
    """A resent claim must count as the same attempt."""
    key = key_of(key_agent)
    simulation.message_faults = list(faults)
    assert request_status(simulation, 'a', key) == 200
    assert request_status(simulation, 'c', key) == 200
    assert len(simulation.runs[key]) == 1


@pytest.mark.parametrize(
    'faults', [['pass', 'lose', 'lose', 'lose'], ['duplicate']]
)
@pytest.mark.parametrize('key_agent', ['a', 'b'])
def test_released_claim_does_not_block_a_retry(simulation, key_agent, faults):
    """A lost release or a late duplicate leaves a stale record behind."""
    key = key_of(key_agent)
    simulation.agents['a'].backend.behaviour = ['shed']
    simulation.message_faults = list(faults)
    assert request_status(simulation, 'a', key) == 503
    assert request_status(simulation, 'c', key) == 200


def test_holder_dies_while_it_runs(simulation):
    """After the holder dies it is unknown whether the request ran."""
    key = key_of('b')
    simulation.agents['a'].submit(key)
    simulation.advance(10)
    simulation.kill('a')
    assert request_status(simulation, 'c', key) == 504
    assert len(simulation.runs[key]) == 1


def test_answer_of_a_long_run_is_found_to_its_retention_deadline(simulation):
    """A claim must not expire before the answer that it refers to."""
    key = key_of('b')
    simulation.agents['a'].backend.run_ms = 15_000
    task = simulation.agents['a'].submit(key, timeout_ms=20_000)
    simulation.advance(RETENTION_MS + 10_000)
    assert task.get(block=False).status == 200
    assert request_status(simulation, 'c', key) == 200
    assert len(simulation.runs[key]) == 1


@pytest.mark.parametrize('withdrawn', [True, False])
@pytest.mark.parametrize('leaving', ['a', 'b'])
def test_drain_during_a_run_loses_nothing(simulation, leaving, withdrawn):
    """The answer must be found after its holder or key agent has left."""
    key = key_of('b')
    simulation.agents['a'].backend.run_ms = 1500
    task = simulation.agents['a'].submit(key)
    simulation.advance(10)
    if withdrawn:
        simulation.publish(withdrawn=[leaving])
        accept(simulation, NAMES)
    simulation.agents[leaving].drain(5000)
    simulation.advance(6000)
    assert not simulation.agents[leaving].alive
    assert task.get(block=False).status == 200
    for name in sorted(set(NAMES) - {leaving}):
        assert request_status(simulation, name, key) == 200
    assert len(simulation.runs[key]) == 1


def test_drain_while_the_holder_restarts(simulation):
    """The draining key agent is the last process that knows the claim."""
    key = key_of('b')
    assert request_status(simulation, 'a', key) == 200
    simulation.kill('a')
    simulation.agents['b'].drain(5000)
    simulation.advance(6000)
    simulation.start('a')
    simulation.advance(1000)
    assert request_status(simulation, 'c', key) == 504


@pytest.mark.parametrize('revision', [1, 2])
@pytest.mark.parametrize('wait_ms', [0, 1.2, 10])
def test_drain_of_a_restarted_holder_counts_as_lost_memory(
    simulation, wait_ms, revision
):
    """The handover of a restarted holder must not hide that it lost claims.

    Found by the state machine test.
    """
    simulation.start('e')
    simulation.publish(added=['e'])
    accept(simulation, 'abcde')
    simulation.advance(1000)
    key = key_of('e', names='abcde')
    assert request_status(simulation, 'a', key) == 200
    # Between two steps of the rebuild tasks.
    simulation.advance(50)
    restart(simulation, 'a', simulation.fleets[revision])
    simulation.agents['a'].drain(5000)
    # The key agent dies before the handover makes any peer query it.
    simulation.advance(wait_ms)
    simulation.kill('e')
    simulation.set_instance_state('e', 'gone')
    simulation.advance(3000)
    assert request_status(simulation, 'c', key) == 504


def test_restart_of_the_only_host_that_is_not_new(simulation):
    """New hosts do not know which earlier hosts they would have to query.

    Found by the state machine test.
    """
    names = ('d', 'e', 'f')
    key = key_of('d', names=names)
    assert request_status(simulation, 'd', key) == 200
    simulation.publish(withdrawn=['a', 'b', 'c'])
    simulation.publish(added=['e', 'f'])
    for name in NAMES:
        simulation.kill(name)
    for name in 'ef':
        simulation.start(name, simulation.fleets[0])
    simulation.start('d')
    accept(simulation, names)
    simulation.advance(1000)
    assert request_status(simulation, 'e', key) == 504
    simulation.advance(RETENTION_MS)
    assert request_status(simulation, 'e', key) == 200


def test_two_restarts_are_over_after_the_retention_time(simulation):
    """Two restarted agents must not wait for each other indefinitely.

    Found by the state machine test.
    """
    partition(simulation, 'a', 'bcd')
    restart(simulation, 'a')
    restart(simulation, 'b')
    simulation.advance(RETENTION_MS)
    simulation.heal()
    simulation.advance(1000)
    assert simulation.agents['a'].runner.ready
    assert simulation.agents['b'].runner.ready


def test_drained_host_does_not_count_as_lost_memory(simulation):
    """A drain and a later restart must not add up to lost claims."""
    simulation.agents['b'].drain(5000)
    simulation.advance(6000)
    restart(simulation, 'a')
    simulation.advance(1000)
    assert simulation.agents['a'].runner.ready


def test_rolling_restart_loses_nothing(simulation):
    """Draining and restarting every host in turn must lose no answer."""
    keys = [key_of(name) for name in NAMES]
    for key in keys:
        assert request_status(simulation, 'a', key) == 200
    for name in NAMES:
        simulation.agents[name].drain(5000)
        simulation.advance(1000)
        assert not simulation.agents[name].alive
        simulation.start(name)
        simulation.advance(1000)
        assert simulation.agents[name].runner.ready
    for key in keys:
        for name in NAMES:
            task = simulation.agents[name].submit(key)
            simulation.advance(100)
            assert task.get(block=False).status == 200
        assert len(simulation.runs[key]) == 1


def test_note_that_adds_an_unreachable_host_during_claims(simulation):
    """Keys that keep their agent need no reply from the new host."""
    simulation.start('e')
    simulation.publish(added=['e'])
    accept(simulation, 'abcde')
    simulation.kill('e')
    key = next(
        key
        for key in map(str, range(100_000))
        if claim_placement.rank_hosts(key, 'abcde')[:2] == ['b', 'a']
    )
    assert request_status(simulation, 'c', key) == 200


def test_full_index_refuses_new_keys_only():
    """A full index must refuse new keys and keep the answers it has."""
    simulation = claim_simulation.Simulation(retention_ms=RETENTION_MS)
    simulation.start_first_fleet(NAMES, max_claims=1)
    first, second = key_of('b'), key_of('b', 'c')
    assert first != second
    assert request_status(simulation, 'a', first) == 200
    assert request_status(simulation, 'c', second) == 503
    assert request_status(simulation, 'd', first) == 200
    simulation.advance(RETENTION_MS)
    assert request_status(simulation, 'c', second) == 200
    simulation.stop()
    assert simulation.violations == []


def test_full_results_refuse_new_keys_only():
    """Full result storage must refuse new keys and keep its answers."""
    simulation = claim_simulation.Simulation(retention_ms=RETENTION_MS)
    simulation.start_first_fleet(NAMES, max_result_bytes=17 * 1024)
    first, second = key_of('b'), key_of('c')
    assert request_status(simulation, 'a', first, body=b'x' * 512) == 200
    assert request_status(simulation, 'a', second) == 503
    assert request_status(simulation, 'd', first, body=b'x' * 512) == 200
    simulation.stop()
    assert simulation.violations == []
