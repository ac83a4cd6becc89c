"""Guards against lost, doubled and misreported runs between agents."""

import gevent
import pytest
import simulated_agents

from kingcupport.requests import long_permits
from kingcupport.requests import peer_loads
from kingcupport.requests import retry_budget
from kingcupport.requests import scheduler
from kingcupport.requests import service_view
from kingcupport.requests import work_receiver
from kingcupport.wire import work_messages


@pytest.fixture
def world():
    created = simulated_agents.World()
    yield created
    created.check()
    created.stop()


def test_idle_agents_take_queued_work_evenly(world):
    for _ in range(30):
        ids = [world.submit('a') for _ in range(3)]
        world.clock.advance(60)
        assert [world.outcome(i) for i in ids] == ['ran'] * 3
    assert sum(world.runs.values()) == 90


@pytest.mark.parametrize('fault', simulated_agents.FAULTS)
@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize(
    'message_class',
    [
        work_messages.WorkRequest,
        work_messages.WorkTransfer,
        work_messages.WorkPoll,
        work_messages.WorkWaiting,
        work_messages.LoadReport,
    ],
)
def test_one_fault_on_each_message(world, message_class, fault, method):
    world.clock.advance(500)
    world.faults[message_class] = fault
    ids = [world.submit('a', method, 150, 2000) for _ in range(5)]
    world.clock.advance(2000 + simulated_agents.LATEST_MS)
    world.check()
    # A single lost message costs no request: it is asked for again or, if
    # idempotent, run again.
    assert [world.outcome(i) for i in ids] == ['ran'] * 5


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_killed_receiver(world, method):
    world.clock.advance(500)
    ids = [world.submit('a', method, 100, 1000) for _ in range(2)]
    world.clock.advance(20)
    (victim,) = [n for n in 'bc' if world.agents[n].scheduler.running]
    world.agents.pop(victim).kill()
    world.clock.advance(1000 + simulated_agents.LATEST_MS)
    outcomes = sorted(world.outcome(i) for i in ids)
    assert outcomes == (
        ['ran', 'ran'] if method == 'GET' else ['ran', 'unknown']
    )


def test_restarted_receiver_does_not_run_a_late_copy(world):
    world.clock.advance(500)
    world.faults[work_messages.WorkTransfer] = 'late_double'
    ids = [world.submit('a', 'POST', 100, 1000) for _ in range(2)]
    world.clock.advance(20)
    (victim,) = [n for n in 'bc' if world.agents[n].scheduler.running]
    world.agents.pop(victim).kill()
    world.agents[victim] = simulated_agents.Agent(world, victim)
    world.clock.advance(1000 + simulated_agents.LATEST_MS)
    assert sorted(world.outcome(i) for i in ids) == ['ran', 'unknown']
    assert all(world.runs[i] == 1 for i in ids)


def test_other_service_at_the_same_address_refuses(world):
    receiver = world.agents['b'].sharing.receiver
    message = work_messages.WorkTransfer(
        'a', 1, 'other', 1, 1, 1000, 1000, 'r', 'GET', '/1', [], b'', ''
    )
    assert receiver.handle_transfer(message, 'a').state == 'refused'


def test_forgotten_transfer_does_not_run_again(world):
    receiver = world.agents['b'].sharing.receiver
    states = []
    for sequence in (*range(1, work_receiver.MAX_RECORDS_PER_SENDER + 2), 1):
        poll = work_messages.WorkPoll('a', 1, 7, sequence, 1000, True)
        states.append(receiver.handle_poll(poll, 'a').state)
    assert states[0] == 'refused'
    assert states[-1] == 'lost'


def test_kept_answers_are_bounded(world, monkeypatch):
    monkeypatch.setattr(work_receiver, 'MAX_KEPT_ANSWER_BYTES', 10)
    receiver = world.agents['b'].sharing.receiver
    states = []
    for sequence in range(1, 9):
        message = work_messages.WorkTransfer(
            'a',
            1,
            's',
            7,
            sequence,
            1000,
            1000,
            f'long-name-{sequence}',
            'GET',
            '/1',
            [],
            b'',
            '',
        )
        task = gevent.spawn(receiver.handle_transfer, message, 'a')
        world.clock.advance(10)
        states.append(task.value.state)
    assert states == ['done'] * 8
    poll = work_messages.WorkPoll('a', 1, 7, 1, 1000, False)
    assert receiver.handle_poll(poll, 'a').state == 'lost'


@pytest.mark.parametrize('permit', [-1, 1, 10**9])
def test_permit_that_does_not_exist_is_not_granted(world, permit):
    message = work_messages.PermitRequest('b', 1, 7, 1, permit, 10**9)
    permits = world.agents['a'].sharing.permits
    assert not permits.handle_request(message, 'b').granted


def test_load_report_of_another_service_does_not_count(world):
    sharing = world.agents['a'].sharing
    report = work_messages.LoadReport('stranger', 1, 10**6, 1, 1)
    sharing.handle_report(report, 'stranger')
    assert world.agents['a'].loads.mean_connections() == 10


def test_drained_agent_takes_nothing_and_gives_back(world):
    world.agents['b'].scheduler.drain()
    world.agents['c'].scheduler.drain()
    ids = [world.submit('a', 'POST', 50) for _ in range(4)]
    world.clock.advance(10)
    given_back = world.agents['a'].scheduler.drain()
    assert [r.request_id for r in given_back] == ids[1:]
    world.clock.advance(100)
    outcomes = [world.outcome(i) for i in ids]
    assert outcomes == ['ran', 'not-run', 'not-run', 'not-run']
    assert world.runs.total() == 1


def test_request_taken_ahead_returns_from_a_drained_agent(world):
    world.agents['c'].scheduler.drain()
    world.clock.advance(500)
    ids = [world.submit('a', 'POST', 40, 2000) for _ in range(4)]
    world.clock.advance(10)
    world.agents['b'].scheduler.drain()
    world.clock.advance(2000)
    assert [world.outcome(i) for i in ids] == ['ran'] * 4


def test_shedding_server_is_avoided(world):
    world.clock.advance(500)
    world.agents['a'].port.shedding = True
    ids = [world.submit('a', 'POST') for _ in range(3)]
    world.clock.advance(5)
    assert not world.agents['a'].scheduler.server_ready
    world.clock.advance(500)
    assert [world.outcome(i) for i in ids] == ['ran'] * 3


def test_retries_are_bounded_when_every_server_fails(world):
    attempts = []
    for agent in world.agents.values():
        agent.port.failures = 1000
        agent.port.attempts = attempts
    ids = [world.submit('a', 'GET', 20, 8000) for _ in range(40)]
    world.clock.advance(8000 + simulated_agents.LATEST_MS)
    assert [world.outcome(i) for i in ids] == ['unknown'] * 40
    # Without successes there are only the retries of the reserve.
    assert len(attempts) <= len(ids) + retry_budget.DEFAULT_RESERVED_RETRIES


def test_every_server_sheds(world):
    for agent in world.agents.values():
        agent.port.shedding = True
    ids = [world.submit('a', 'POST', 20, 8000) for _ in range(40)]
    world.clock.advance(8000 + simulated_agents.LATEST_MS)
    assert [world.outcome(i) for i in ids] == ['not-run'] * 40


def test_shed_after_an_uncertain_attempt_is_unknown(world):
    for name in 'bc':
        world.agents.pop(name).kill()
    world.agents['a'].port.failures = 1
    world.agents['a'].port.shed_after_failure = True
    request_id = world.submit('a', 'GET', 10, 2000)
    world.clock.advance(2000 + simulated_agents.LATEST_MS)
    assert world.runs[request_id] == 1
    assert world.outcome(request_id) == 'unknown'


def test_expired_in_the_queue_is_answered_at_the_deadline(world):
    for name in 'bc':
        world.agents.pop(name).kill()
    world.submit('a', 'POST', 2000, 8000)
    waiting = world.submit('a', 'POST', 10, 300)
    world.clock.advance(300 + scheduler.EXPIRY_CHECK_INTERVAL_MS)
    assert world.outcome(waiting) == 'not-run'


def test_cap_on_long_work(world):
    long_ms = 400
    world.view = service_view.ServiceView(
        's', 1, simulated_agents.NAMES, 3, 67
    )
    for name in simulated_agents.NAMES:
        for _ in range(20):
            world.submit(name, 'GET', 10)
            world.clock.advance(15)
        world.submit(name, 'GET', long_ms)
        world.clock.advance(long_ms + 10)
    world.clock.advance(500)
    ids = [
        world.submit(n, 'GET', long_ms, 8000)
        for n in simulated_agents.NAMES * 2
    ]
    most = 0
    for _ in range(400):
        world.clock.advance(10)
        most = max(most, len(world.running))
    assert most == 2
    assert [world.outcome(i) for i in ids] == ['ran'] * 6


def test_permit_of_a_dead_owner_passes_to_the_next_rank(world):
    owner = world.view.ranked_hosts[0]
    world.agents.pop(owner).kill()
    asking = next(iter(world.agents.values())).sharing.permits
    task = gevent.spawn(asking.acquire)
    world.clock.advance(10)
    assert task.ready()
    # A lost release frees the permit when its lease ends.
    task.value.renewal_task.kill(block=False)
    second = gevent.spawn(asking.acquire)
    world.clock.advance(long_permits.LEASE_DURATION_MS - 50)
    assert not second.ready()
    world.clock.advance(300)
    assert second.ready()
    second.value.renewal_task.kill(block=False)


def test_mean_connections_forgets_stale_peers(world):
    world.agents['b'].loads._count_connections = lambda: 40
    world.clock.advance(1500)
    loads = world.agents['a'].loads
    assert loads.mean_connections() == 20
    world.agents.pop('b').kill()
    world.clock.advance(peer_loads.STALENESS_TIMEOUT_MS + 1500)
    assert loads.mean_connections() == 10
