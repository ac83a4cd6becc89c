"""Simulated agents on a manually advanced clock and a faulty network."""

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

AGENT_NAMES = ('a', 'b', 'c')
ONE_WAY_LATENCY_MS = 1
MAX_ANSWER_DELAY_MS = (
    peer_link.CALL_TIMEOUT_MS + scheduler.EXPIRY_CHECK_INTERVAL_MS
)
FAULTS = ('lose_request', 'lose_reply', 'duplicate', 'late_duplicate')
LATE_DUPLICATE_DELAY_MS = 400


class SimulatedClock(clock_module.Clock):
    def __init__(self):
        self.now_ms = 1000.0
        self._sleeping_tasks = []
        self._numbers = itertools.count()

    def monotonic_ms(self):
        return self.now_ms

    def utc_ms(self):
        return int(self.now_ms)

    def sleep_until(self, deadline_ms):
        due_event = event.Event()
        entry = (deadline_ms, next(self._numbers), due_event)
        heapq.heappush(self._sleeping_tasks, entry)
        due_event.wait()

    def advance(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        self._run_ready_tasks()
        while self._sleeping_tasks and self._sleeping_tasks[0][0] <= end_ms:
            due_ms, _, due_event = heapq.heappop(self._sleeping_tasks)
            self.now_ms = max(self.now_ms, due_ms)
            due_event.set()
            self._run_ready_tasks()
        self.now_ms = end_ms

    @staticmethod
    def _run_ready_tasks():
        for _ in range(12):
            gevent.sleep(0)


class SimulatedBackendPort(backend_port.BackendPort):
    """Runs a request for the number of milliseconds in its target."""

    def __init__(self, cluster):
        self._cluster = cluster
        self.shedding = False
        # Number of upcoming runs that fail with an unknown outcome.
        self.failures = 0
        self.shed_after_failure = False
        self.attempts = []

    def run(self, request):
        self.attempts.append(request.request_id)
        if self.shedding:
            raise backend_port.NotRunError('shed', step='run')
        self._cluster.runs[request.request_id] += 1
        if self.failures:
            self.failures -= 1
            self.shedding = self.shed_after_failure
            raise backend_port.OutcomeUnknownError(
                'the connection was closed', step='run'
            )
        self._cluster.running.append(request)
        try:
            duration_ms = int(request.target.rpartition('/')[2])
            end_ms = self._cluster.clock.now_ms + duration_ms
            self._cluster.clock.sleep_until(min(end_ms, request.deadline_ms))
        finally:
            self._cluster.running.remove(request)
        if end_ms > request.deadline_ms:
            raise backend_port.OutcomeUnknownError(
                'the deadline passed', step='run'
            )
        return answer.Answer(200, (), request.request_id.encode())


class SimulatedPeerCaller(peer_caller.PeerCaller):
    def __init__(self, cluster, name):
        self._cluster = cluster
        self._name = name

    def call(self, peer, message, deadline_ms):
        cluster = self._cluster
        message = _encode_and_decode(message)
        if (
            peer not in cluster.agents
            or (self._name, peer) in cluster.cut_links
        ):
            raise peer_caller.PeerError(
                'connection refused', step='connect', sent=False
            )
        fault = cluster.faults.pop(type(message), None)
        reply = event.AsyncResult()
        if fault != 'lose_request':
            gevent.spawn(self._deliver, peer, message, reply, fault)
        if fault in ('duplicate', 'late_duplicate'):
            delay_ms = (
                LATE_DUPLICATE_DELAY_MS if fault == 'late_duplicate' else 0
            )
            gevent.spawn(
                self._deliver, peer, message, event.AsyncResult(), '', delay_ms
            )
        _waiting.wait_until(cluster.clock, reply, deadline_ms)
        if not reply.ready():
            raise peer_caller.PeerError('no reply', step='receive')
        return reply.value

    def _deliver(self, peer, message, reply, fault, delay_ms=0):
        cluster = self._cluster
        agent = cluster.agents.get(peer)
        self._delay_message(peer, delay_ms)
        if cluster.agents.get(peer) is not agent:
            # The process was restarted, so a late copy of the message reaches
            # the new process.
            agent = cluster.agents.get(peer)
            if agent is None:
                return
        result = agent.handlers[type(message)](message, self._name)
        self._delay_message(peer, 0)
        is_same_process = cluster.agents.get(peer) is agent
        if fault != 'lose_reply' and is_same_process:
            reply.set(_encode_and_decode(result))

    def _delay_message(self, peer, delay_ms):
        cluster = self._cluster
        cluster.clock.sleep_until(
            cluster.clock.now_ms + ONE_WAY_LATENCY_MS + delay_ms
        )
        for name in (self._name, peer):
            if name in cluster.paused:
                cluster.paused[name].wait()


def _encode_and_decode(message):
    return message_codec.decode_message(message_codec.encode_message(message))


class SimulatedAgent:
    def __init__(self, cluster, name, slots=1):
        self.port = SimulatedBackendPort(cluster)
        self.tasks = []
        self.loads = peer_loads.PeerLoads(cluster.clock, lambda: 10)
        self.sharing = work_sharing.make_work_sharing(
            name,
            SimulatedPeerCaller(cluster, name),
            cluster.clock,
            random.Random(name),
            lambda: cluster.view,
            self.loads,
        )
        self.scheduler = scheduler.RequestScheduler(
            self.port, cluster.clock, slots, sharing=self.sharing
        )
        self.handlers = self.sharing.handlers()
        self.drained = False

    def drain(self):
        self.drained = True
        return self.scheduler.drain()

    def kill(self):
        self.scheduler.stop()
        gevent.killall(self.tasks, block=False)


class SimulatedCluster:
    def __init__(self, names=AGENT_NAMES):
        self.clock = SimulatedClock()
        self.view = service_view.ServiceView('s', 1, names, len(names), 34)
        self.runs = collections.Counter()
        self.running = []
        self.cut_links = set()
        self.faults = {}
        self.paused = {}
        self.answers = collections.defaultdict(list)
        self.requests = {}
        self.agents = {}
        self._numbers = itertools.count()
        for name in names:
            self.agents[name] = SimulatedAgent(self, name)
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
        task = gevent.spawn(self._submit_and_record, agent, request)
        agent.tasks.append(task)
        self.requests[request.request_id] = (request, agent)
        self.clock.advance(0)
        return request.request_id

    def _submit_and_record(self, agent, request):
        result = agent.scheduler.submit(request)
        self.answers[request.request_id].append((result, self.clock.now_ms))

    def outcome(self, request_id):
        ((result, _),) = self.answers[request_id]
        return result.outcome

    def check_invariants(self):
        """Check the invariants that hold at all times."""
        for request_id, (request, agent) in self.requests.items():
            answers = self.answers[request_id]
            assert len(answers) <= 1
            if not request.idempotent:
                assert self.runs[request_id] <= 1
            latest_ms = request.deadline_ms + MAX_ANSWER_DELAY_MS
            if not answers:
                alive = agent in self.agents.values()
                paused = self.paused or not alive
                assert paused or self.clock.now_ms <= latest_ms
                continue
            ((result, _),) = answers
            if result.outcome == answer.Outcome.NOT_RUN:
                assert self.runs[request_id] == 0
            if result.outcome == answer.Outcome.RAN:
                assert self.runs[request_id] >= 1
                assert result.body == request_id.encode()

    def stop(self):
        for agent in self.agents.values():
            agent.kill()
        for paused_event in self.paused.values():
            paused_event.set()
        self.clock.advance(5000)
