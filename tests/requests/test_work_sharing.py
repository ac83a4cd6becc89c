"""Guards against lost, doubled and misreported runs between agents.

Agents run the shipped code on a clock that the test moves and a network that
cuts, holds, loses and doubles messages.
"""

import collections
import heapq
import itertools
import random

import gevent
from gevent import event
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from kingcupport.common import clock as clock_module
from kingcupport.control import peer_caller
from kingcupport.requests import _waiting
from kingcupport.requests import answer
from kingcupport.requests import backend_port
from kingcupport.requests import long_permits
from kingcupport.requests import peer_link
from kingcupport.requests import peer_loads
from kingcupport.requests import request as request_module
from kingcupport.requests import retry_budget
from kingcupport.requests import scheduler
from kingcupport.requests import service_view
from kingcupport.requests import work_receiver
from kingcupport.requests import work_sharing
from kingcupport.wire import message_codec
from kingcupport.wire import work_messages

NAMES = ('a', 'b', 'c')
LATENCY_MS = 1
LATEST_MS = peer_link.CALL_TIMEOUT_MS + scheduler.EXPIRY_CHECK_MS
FAULTS = ('lose_request', 'lose_reply', 'double', 'late_double')
LATE_MS = 400


class _Clock(clock_module.Clock):
    def __init__(self):
        self.now_ms = 1000.0
        self._sleepers = []
        self._numbers = itertools.count()

    def monotonic_ms(self):
        return self.now_ms

    def utc_ms(self):
        return int(self.now_ms)

    def sleep_until(self, deadline_ms):
        woken = event.Event()
        entry = (deadline_ms, next(self._numbers), woken)
        heapq.heappush(self._sleepers, entry)
        woken.wait()

    def advance(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        self._settle()
        while self._sleepers and self._sleepers[0][0] <= end_ms:
            due_ms, _, woken = heapq.heappop(self._sleepers)
            self.now_ms = max(self.now_ms, due_ms)
            woken.set()
            self._settle()
        self.now_ms = end_ms

    @staticmethod
    def _settle():
        for _ in range(12):
            gevent.sleep(0)


class _Port(backend_port.BackendPort):
    """Runs a request for the time that its target names."""

    def __init__(self, world):
        self._world = world
        self.shedding = False
        self.fail_next = False
        self.attempts = []

    def run(self, request):
        self.attempts.append(request.request_id)
        if self.shedding:
            raise backend_port.NotRunError('shed', step='run')
        self._world.runs[request.request_id] += 1
        if self.fail_next:
            self.fail_next = False
            self.shedding = True
            raise backend_port.OutcomeUnknownError('cut', step='run')
        self._world.running.append(request)
        try:
            duration_ms = int(request.target.rpartition('/')[2])
            end_ms = self._world.clock.now_ms + duration_ms
            self._world.clock.sleep_until(min(end_ms, request.deadline_ms))
        finally:
            self._world.running.remove(request)
        if end_ms > request.deadline_ms:
            raise backend_port.OutcomeUnknownError('late', step='run')
        return answer.Answer(200, (), request.request_id.encode())


class _Caller(peer_caller.PeerCaller):
    def __init__(self, world, name):
        self._world = world
        self._name = name

    def call(self, peer, message, deadline_ms):
        world = self._world
        message = _through_codec(message)
        if peer not in world.agents or (self._name, peer) in world.cuts:
            raise peer_caller.PeerError('refused', step='connect', sent=False)
        fault = world.faults.pop(type(message), None)
        reply = event.AsyncResult()
        if fault != 'lose_request':
            gevent.spawn(self._deliver, peer, message, reply, fault)
        if fault in ('double', 'late_double'):
            delay_ms = LATE_MS if fault == 'late_double' else 0
            gevent.spawn(
                self._deliver, peer, message, event.AsyncResult(), '', delay_ms
            )
        _waiting.wait_until(world.clock, reply, deadline_ms)
        if not reply.ready():
            raise peer_caller.PeerError('no reply', step='receive')
        return reply.value

    def _deliver(self, peer, message, reply, fault, delay_ms=0):
        world = self._world
        agent = world.agents.get(peer)
        self._travel(peer, delay_ms)
        if world.agents.get(peer) is not agent:
            # The process was replaced; a late copy reaches the new one.
            agent = world.agents.get(peer)
            if agent is None:
                return
        result = agent.handlers[type(message)](message, self._name)
        self._travel(peer, 0)
        same = world.agents.get(peer) is agent
        if fault != 'lose_reply' and same:
            reply.set(_through_codec(result))

    def _travel(self, peer, delay_ms):
        world = self._world
        world.clock.sleep_until(world.clock.now_ms + LATENCY_MS + delay_ms)
        for name in (self._name, peer):
            if name in world.paused:
                world.paused[name].wait()


def _through_codec(message):
    return message_codec.decode_message(message_codec.encode_message(message))


class _Agent:
    def __init__(self, world, name, slots=1):
        self.port = _Port(world)
        self.tasks = []
        self.loads = peer_loads.PeerLoads(world.clock, lambda: 10)
        self.sharing = work_sharing.make_work_sharing(
            name,
            _Caller(world, name),
            world.clock,
            random.Random(name),
            lambda: world.view,
            self.loads,
        )
        self.scheduler = scheduler.RequestScheduler(
            self.port, world.clock, slots, sharing=self.sharing
        )
        self.handlers = self.sharing.handlers()

    def kill(self):
        self.scheduler.stop()
        gevent.killall(self.tasks, block=False)


class _World:
    def __init__(self, names=NAMES):
        self.clock = _Clock()
        self.view = service_view.ServiceView('s', 1, names, len(names), 34)
        self.runs = collections.Counter()
        self.running = []
        self.cuts = set()
        self.faults = {}
        self.paused = {}
        self.answers = collections.defaultdict(list)
        self.requests = {}
        self.agents = {}
        self._numbers = itertools.count()
        for name in names:
            self.agents[name] = _Agent(self, name)
        self.clock.advance(0)

    def submit(self, name, method='POST', duration_ms=20, timeout_ms=1000):
        request = request_module.Request(
            f'r{next(self._numbers)}',
            method,
            f'/{duration_ms}',
            ((b'x', b'1'),),
            b'body',
            '',
            self.clock.now_ms + timeout_ms,
        )
        agent = self.agents[name]
        task = gevent.spawn(self._answer, agent, request)
        agent.tasks.append(task)
        self.requests[request.request_id] = (request, agent)
        self.clock.advance(0)
        return request.request_id

    def _answer(self, agent, request):
        result = agent.scheduler.submit(request)
        self.answers[request.request_id].append((result, self.clock.now_ms))

    def outcome(self, request_id):
        ((result, _),) = self.answers[request_id]
        return result.outcome

    def check(self):
        """Check what must hold at every moment."""
        for request_id, (request, agent) in self.requests.items():
            got = self.answers[request_id]
            assert len(got) <= 1
            if not request.idempotent:
                assert self.runs[request_id] <= 1
            latest_ms = request.deadline_ms + LATEST_MS
            if not got:
                alive = agent in self.agents.values()
                paused = self.paused or not alive
                assert paused or self.clock.now_ms <= latest_ms
                continue
            ((result, _),) = got
            if result.outcome == answer.Outcome.NOT_RUN:
                assert self.runs[request_id] == 0
            if result.outcome == answer.Outcome.RAN:
                assert self.runs[request_id] >= 1
                assert result.body == request_id.encode()

    def stop(self):
        for agent in self.agents.values():
            agent.kill()
        for pause in self.paused.values():
            pause.set()
        self.clock.advance(5000)


@pytest.fixture
def world():
    created = _World()
    yield created
    created.check()
    created.stop()


def test_idle_agents_take_queued_work_evenly(world):
    for _ in range(30):
        ids = [world.submit('a') for _ in range(3)]
        world.clock.advance(60)
        assert [world.outcome(i) for i in ids] == ['ran'] * 3
    assert sum(world.runs.values()) == 90


@pytest.mark.parametrize('fault', FAULTS)
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
    world.clock.advance(2000 + LATEST_MS)
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
    world.clock.advance(1000 + LATEST_MS)
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
    world.agents[victim] = _Agent(world, victim)
    world.clock.advance(1000 + LATEST_MS)
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
    for sequence in (*range(1, work_receiver.MAX_RECORDS + 2), 1):
        poll = work_messages.WorkPoll('a', 1, 7, sequence, 1000, True)
        states.append(receiver.handle_poll(poll, 'a').state)
    assert states[0] == 'refused'
    assert states[-1] == 'lost'


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


def test_retries_are_bounded_when_every_server_sheds(world):
    attempts = []
    for agent in world.agents.values():
        agent.port.shedding = True
        agent.port.attempts = attempts
    ids = [world.submit('a', 'POST', 20, 8000) for _ in range(40)]
    world.clock.advance(8000 + LATEST_MS)
    assert [world.outcome(i) for i in ids] == ['not-run'] * 40
    # Without successes there are only the retries of the reserve.
    assert len(attempts) <= len(ids) + retry_budget.DEFAULT_RESERVE


def test_shed_after_an_uncertain_attempt_is_unknown(world):
    for name in 'bc':
        world.agents.pop(name).kill()
    world.agents['a'].port.fail_next = True
    request_id = world.submit('a', 'GET', 10, 2000)
    world.clock.advance(2000 + LATEST_MS)
    assert world.runs[request_id] == 1
    assert world.outcome(request_id) == 'unknown'


def test_expired_in_the_queue_is_answered_at_the_deadline(world):
    for name in 'bc':
        world.agents.pop(name).kill()
    world.submit('a', 'POST', 2000, 8000)
    waiting = world.submit('a', 'POST', 10, 300)
    world.clock.advance(300 + scheduler.EXPIRY_CHECK_MS)
    assert world.outcome(waiting) == 'not-run'


def test_cap_on_long_work(world):
    long_ms = 400
    world.view = service_view.ServiceView('s', 1, NAMES, 3, 67)
    for name in NAMES:
        for _ in range(20):
            world.submit(name, 'GET', 10)
            world.clock.advance(15)
        world.submit(name, 'GET', long_ms)
        world.clock.advance(long_ms + 10)
    world.clock.advance(500)
    ids = [world.submit(n, 'GET', long_ms, 8000) for n in NAMES * 2]
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
    task.value.renewal.kill(block=False)
    second = gevent.spawn(asking.acquire)
    world.clock.advance(long_permits.LEASE_MS - 50)
    assert not second.ready()
    world.clock.advance(300)
    assert second.ready()
    second.value.renewal.kill(block=False)


def test_mean_connections_forgets_stale_peers(world):
    world.agents['b'].loads._count_connections = lambda: 40
    world.clock.advance(1500)
    loads = world.agents['a'].loads
    assert loads.mean_connections() == 20
    world.agents.pop('b').kill()
    world.clock.advance(peer_loads.STALENESS_TIMEOUT_MS + 1500)
    assert loads.mean_connections() == 10


class Machine(stateful.RuleBasedStateMachine):
    """Any faults in any order."""

    def __init__(self):
        super().__init__()
        self.world = _World()

    @stateful.rule(
        name=st.sampled_from(NAMES),
        method=st.sampled_from(('GET', 'POST')),
        duration_ms=st.sampled_from((5, 20, 150, 600)),
        timeout_ms=st.sampled_from((100, 700, 3000)),
        count=st.integers(1, 4),
    )
    def submit(self, name, method, duration_ms, timeout_ms, count):
        for _ in range(count):
            if name in self.world.agents:
                self.world.submit(name, method, duration_ms, timeout_ms)

    @stateful.rule(
        name=st.sampled_from(NAMES),
        method=st.sampled_from(('GET', 'POST')),
        message_class=st.sampled_from(
            (work_messages.WorkTransfer, work_messages.WorkPoll)
        ),
        fault=st.sampled_from(FAULTS),
        victim=st.sampled_from(NAMES),
        action=st.sampled_from(('kill', 'pause', 'cut', 'drain', 'fail')),
        after_ms=st.integers(0, 30),
    )
    def transfer_with_faults(
        self, name, method, message_class, fault, victim, action, after_ms
    ):
        """Make transfers likely and let a second fault hit them."""
        self.heal()
        self.world.faults[message_class] = fault
        self.submit(name, method, 150, 3000, 4)
        self.world.clock.advance(after_ms)
        if action == 'cut':
            self.cut(name, victim)
        elif action == 'fail' and victim in self.world.agents:
            self.world.agents[victim].port.fail_next = True
        elif action in ('kill', 'pause', 'drain'):
            getattr(self, action)(victim)
        self.world.clock.advance(after_ms)

    @stateful.rule(duration_ms=st.sampled_from((1, 3, 30, 120, 1000)))
    def advance(self, duration_ms):
        self.world.clock.advance(duration_ms)

    @stateful.rule(
        message_class=st.sampled_from(
            (
                work_messages.WorkRequest,
                work_messages.WorkTransfer,
                work_messages.WorkPoll,
                work_messages.WorkWaiting,
                work_messages.PermitRequest,
                work_messages.PermitRelease,
            )
        ),
        fault=st.sampled_from(FAULTS),
    )
    def fault(self, message_class, fault):
        self.world.faults[message_class] = fault

    @stateful.rule(a=st.sampled_from(NAMES), b=st.sampled_from(NAMES))
    def cut(self, a, b):
        self.world.cuts |= {(a, b), (b, a)}

    @stateful.rule()
    def heal(self):
        self.world.cuts.clear()

    @stateful.rule(name=st.sampled_from(NAMES))
    def pause(self, name):
        self.world.paused.setdefault(name, event.Event())

    @stateful.rule(name=st.sampled_from(NAMES))
    def resume(self, name):
        if name in self.world.paused:
            self.world.paused.pop(name).set()

    @stateful.rule(name=st.sampled_from(NAMES))
    def kill(self, name):
        if name in self.world.agents:
            self.world.agents.pop(name).kill()

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        if name not in self.world.agents:
            self.world.clock.advance(1)
            self.world.agents[name] = _Agent(self.world, name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def drain(self, name):
        if name in self.world.agents:
            self.world.agents[name].scheduler.drain()

    @stateful.rule(name=st.sampled_from(NAMES), shedding=st.booleans())
    def shed(self, name, shedding):
        if name in self.world.agents:
            self.world.agents[name].port.shedding = shedding

    @stateful.invariant()
    def answers_are_right(self):
        self.world.check()

    def teardown(self):
        world = self.world
        self.heal()
        for name in NAMES:
            self.resume(name)
        world.clock.advance(3000 + LATEST_MS + 1)
        world.check()
        for request_id, (_, agent) in world.requests.items():
            if agent in world.agents.values():
                assert len(world.answers[request_id]) == 1
        world.stop()


Machine.TestCase.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=30, deadline=None
)
TestMachine = Machine.TestCase
