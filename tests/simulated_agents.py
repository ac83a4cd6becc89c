"""Agents on a clock that the test moves and a network with faults."""

import collections
import heapq
import itertools
import random

import gevent
from gevent import event

from kingcupport.common import clock as clock_module
from kingcupport.control import peer_caller
from kingcupport.requests import _waiting
from kingcupport.requests import answer
from kingcupport.requests import backend_port
from kingcupport.requests import peer_link
from kingcupport.requests import peer_loads
from kingcupport.requests import request as request_module
from kingcupport.requests import scheduler
from kingcupport.requests import service_view
from kingcupport.requests import work_sharing
from kingcupport.wire import message_codec

NAMES = ('a', 'b', 'c')
LATENCY_MS = 1
LATEST_MS = peer_link.CALL_TIMEOUT_MS + scheduler.EXPIRY_CHECK_INTERVAL_MS
FAULTS = ('lose_request', 'lose_reply', 'double', 'late_double')
LATE_MS = 400


class Clock(clock_module.Clock):
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


class Port(backend_port.BackendPort):
    """Runs a request for the time that its target names."""

    def __init__(self, world):
        self._world = world
        self.shedding = False
        # Number of runs that fail with an unknown outcome.
        self.failures = 0
        self.shed_after_failure = False
        self.attempts = []

    def run(self, request):
        self.attempts.append(request.request_id)
        if self.shedding:
            raise backend_port.NotRunError('shed', step='run')
        self._world.runs[request.request_id] += 1
        if self.failures:
            self.failures -= 1
            self.shedding = self.shed_after_failure
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


class Caller(peer_caller.PeerCaller):
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


class Agent:
    def __init__(self, world, name, slots=1):
        self.port = Port(world)
        self.tasks = []
        self.loads = peer_loads.PeerLoads(world.clock, lambda: 10)
        self.sharing = work_sharing.make_work_sharing(
            name,
            Caller(world, name),
            world.clock,
            random.Random(name),
            lambda: world.view,
            self.loads,
        )
        self.scheduler = scheduler.RequestScheduler(
            self.port, world.clock, slots, sharing=self.sharing
        )
        self.handlers = self.sharing.handlers()
        self.drained = False

    def drain(self):
        self.drained = True
        return self.scheduler.drain()

    def kill(self):
        self.scheduler.stop()
        gevent.killall(self.tasks, block=False)


class World:
    def __init__(self, names=NAMES):
        self.clock = Clock()
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
            self.agents[name] = Agent(self, name)
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
