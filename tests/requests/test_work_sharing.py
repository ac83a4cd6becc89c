"""Guards against lost, repeated and misreported runs of transferred work."""

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
def cluster():
    created_cluster = simulated_agents.SimulatedCluster()
    yield created_cluster
    created_cluster.check_invariants()
    created_cluster.stop()


def test_idle_agents_run_queued_work(cluster):
    for _ in range(30):
        ids = [cluster.submit('a') for _ in range(3)]
        cluster.clock.advance(60)
        assert [cluster.outcome(i) for i in ids] == ['ran'] * 3
    assert sum(cluster.runs.values()) == 90


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
def test_one_fault_loses_no_request(cluster, message_class, fault, method):
    cluster.clock.advance(500)
    cluster.faults[message_class] = fault
    ids = [cluster.submit('a', method, 150, 2000) for _ in range(5)]
    cluster.clock.advance(2000 + simulated_agents.MAX_ANSWER_DELAY_MS)
    cluster.check_invariants()
    # A single lost message loses no request: the peer is polled again, or an
    # idempotent request is run again.
    assert [cluster.outcome(i) for i in ids] == ['ran'] * 5


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_request_whose_receiver_is_killed(cluster, method):
    cluster.clock.advance(500)
    ids = [cluster.submit('a', method, 100, 1000) for _ in range(2)]
    cluster.clock.advance(20)
    (receiver_name,) = [n for n in 'bc' if cluster.agents[n].scheduler.running]
    cluster.agents.pop(receiver_name).kill()
    cluster.clock.advance(1000 + simulated_agents.MAX_ANSWER_DELAY_MS)
    outcomes = sorted(cluster.outcome(i) for i in ids)
    assert outcomes == (
        ['ran', 'ran'] if method == 'GET' else ['ran', 'unknown']
    )


def test_restarted_receiver_does_not_run_a_late_copy(cluster):
    cluster.clock.advance(500)
    cluster.faults[work_messages.WorkTransfer] = 'late_duplicate'
    ids = [cluster.submit('a', 'POST', 100, 1000) for _ in range(2)]
    cluster.clock.advance(20)
    (receiver_name,) = [n for n in 'bc' if cluster.agents[n].scheduler.running]
    cluster.agents.pop(receiver_name).kill()
    cluster.agents[receiver_name] = simulated_agents.SimulatedAgent(
        cluster, receiver_name
    )
    cluster.clock.advance(1000 + simulated_agents.MAX_ANSWER_DELAY_MS)
    assert sorted(cluster.outcome(i) for i in ids) == ['ran', 'unknown']
    assert all(cluster.runs[i] == 1 for i in ids)


def test_other_service_at_the_same_address_refuses(cluster):
    receiver = cluster.agents['b'].sharing.receiver
    message = work_messages.WorkTransfer(
        'a', 1, 'other', 1, 1, 1000, 1000, 'r', 'GET', '/1', [], b'', ''
    )
    assert receiver.handle_transfer(message, 'a').state == 'refused'


def test_transfer_whose_record_was_evicted_does_not_run_again(cluster):
    receiver = cluster.agents['b'].sharing.receiver
    states = []
    for sequence in (*range(1, work_receiver.MAX_RECORDS_PER_SENDER + 2), 1):
        poll = work_messages.WorkPoll('a', 1, 7, sequence, 1000, True)
        states.append(receiver.handle_poll(poll, 'a').state)
    assert states[0] == 'refused'
    assert states[-1] == 'lost'


def test_kept_answers_are_bounded(cluster, monkeypatch):
    monkeypatch.setattr(work_receiver, 'MAX_KEPT_ANSWER_BYTES', 10)
    receiver = cluster.agents['b'].sharing.receiver
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
        cluster.clock.advance(10)
        states.append(task.value.state)
    assert states == ['done'] * 8
    poll = work_messages.WorkPoll('a', 1, 7, 1, 1000, False)
    assert receiver.handle_poll(poll, 'a').state == 'lost'


@pytest.mark.parametrize('permit', [-1, 1, 10**9])
def test_permit_that_does_not_exist_is_not_granted(cluster, permit):
    message = work_messages.PermitRequest('b', 1, 7, 1, permit, 10**9)
    permits = cluster.agents['a'].sharing.permits
    assert not permits.handle_request(message, 'b').granted


def test_load_report_of_another_service_does_not_count(cluster):
    sharing = cluster.agents['a'].sharing
    report = work_messages.LoadReport('unknown-agent', 1, 10**6, 1, 1)
    sharing.handle_report(report, 'unknown-agent')
    assert cluster.agents['a'].loads.mean_connections() == 10


def test_drained_agent_takes_nothing_and_gives_back(cluster):
    cluster.agents['b'].scheduler.drain()
    cluster.agents['c'].scheduler.drain()
    ids = [cluster.submit('a', 'POST', 50) for _ in range(4)]
    cluster.clock.advance(10)
    unstarted = cluster.agents['a'].scheduler.drain()
    assert [r.request_id for r in unstarted] == ids[1:]
    cluster.clock.advance(100)
    outcomes = [cluster.outcome(i) for i in ids]
    assert outcomes == ['ran', 'not-run', 'not-run', 'not-run']
    assert cluster.runs.total() == 1


def test_prefetched_request_returns_from_a_draining_agent(cluster):
    cluster.agents['c'].scheduler.drain()
    cluster.clock.advance(500)
    ids = [cluster.submit('a', 'POST', 40, 2000) for _ in range(4)]
    cluster.clock.advance(10)
    cluster.agents['b'].scheduler.drain()
    cluster.clock.advance(2000)
    assert [cluster.outcome(i) for i in ids] == ['ran'] * 4


def test_shedding_server_is_avoided(cluster):
    cluster.clock.advance(500)
    cluster.agents['a'].port.shedding = True
    ids = [cluster.submit('a', 'POST') for _ in range(3)]
    cluster.clock.advance(5)
    assert not cluster.agents['a'].scheduler.server_ready
    cluster.clock.advance(500)
    assert [cluster.outcome(i) for i in ids] == ['ran'] * 3


def test_retries_are_bounded_when_every_server_fails(cluster):
    attempts = []
    for agent in cluster.agents.values():
        agent.port.failures = 1000
        agent.port.attempts = attempts
    ids = [cluster.submit('a', 'GET', 20, 8000) for _ in range(40)]
    cluster.clock.advance(8000 + simulated_agents.MAX_ANSWER_DELAY_MS)
    assert [cluster.outcome(i) for i in ids] == ['unknown'] * 40
    # Without successes the budget has only its reserved retries.
    assert len(attempts) <= len(ids) + retry_budget.DEFAULT_RESERVED_RETRIES


def test_requests_are_refused_when_every_server_sheds(cluster):
    for agent in cluster.agents.values():
        agent.port.shedding = True
    ids = [cluster.submit('a', 'POST', 20, 8000) for _ in range(40)]
    cluster.clock.advance(8000 + simulated_agents.MAX_ANSWER_DELAY_MS)
    assert [cluster.outcome(i) for i in ids] == ['not-run'] * 40


def test_shed_after_an_attempt_that_may_have_run_is_unknown(cluster):
    for name in 'bc':
        cluster.agents.pop(name).kill()
    cluster.agents['a'].port.failures = 1
    cluster.agents['a'].port.shed_after_failure = True
    request_id = cluster.submit('a', 'GET', 10, 2000)
    cluster.clock.advance(2000 + simulated_agents.MAX_ANSWER_DELAY_MS)
    assert cluster.runs[request_id] == 1
    assert cluster.outcome(request_id) == 'unknown'


def test_request_that_expires_in_the_queue_is_answered_at_its_deadline(
    cluster,
):
    for name in 'bc':
        cluster.agents.pop(name).kill()
    cluster.submit('a', 'POST', 2000, 8000)
    queued_id = cluster.submit('a', 'POST', 10, 300)
    cluster.clock.advance(300 + scheduler.EXPIRY_CHECK_INTERVAL_MS)
    assert cluster.outcome(queued_id) == 'not-run'


def test_long_work_stays_within_its_permits(cluster):
    long_duration_ms = 400
    cluster.view = service_view.ServiceView(
        's', 1, simulated_agents.AGENT_NAMES, 3, 67
    )
    for name in simulated_agents.AGENT_NAMES:
        for _ in range(20):
            cluster.submit(name, 'GET', 10)
            cluster.clock.advance(15)
        cluster.submit(name, 'GET', long_duration_ms)
        cluster.clock.advance(long_duration_ms + 10)
    cluster.clock.advance(500)
    ids = [
        cluster.submit(n, 'GET', long_duration_ms, 8000)
        for n in simulated_agents.AGENT_NAMES * 2
    ]
    max_running = 0
    for _ in range(400):
        cluster.clock.advance(10)
        max_running = max(max_running, len(cluster.running))
    assert max_running == 2
    assert [cluster.outcome(i) for i in ids] == ['ran'] * 6


def test_permit_of_a_dead_owner_passes_to_the_next_rank(cluster):
    owner = cluster.view.ranked_hosts[0]
    cluster.agents.pop(owner).kill()
    acquiring = next(iter(cluster.agents.values())).sharing.permits
    task = gevent.spawn(acquiring.acquire)
    cluster.clock.advance(10)
    assert task.ready()
    # If the release is lost, the permit becomes free when its lease ends.
    task.value.renewal_task.kill(block=False)
    second = gevent.spawn(acquiring.acquire)
    cluster.clock.advance(long_permits.LEASE_DURATION_MS - 50)
    assert not second.ready()
    cluster.clock.advance(300)
    assert second.ready()
    second.value.renewal_task.kill(block=False)


def test_mean_connections_forgets_stale_peers(cluster):
    cluster.agents['b'].loads._count_connections = lambda: 40
    cluster.clock.advance(1500)
    loads = cluster.agents['a'].loads
    assert loads.mean_connections() == 20
    cluster.agents.pop('b').kill()
    cluster.clock.advance(peer_loads.STALENESS_TIMEOUT_MS + 1500)
    assert loads.mean_connections() == 10
