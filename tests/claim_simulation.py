"""Deterministic simulation of the agents of one service.

The production code runs in gevent tasks over a simulated network, clock and
platform. All blocking calls go through the simulation, which wakes one task
at a time in the order of simulated time, so the same inputs always produce
the same run.
"""

import heapq
import itertools
import random

import gevent
from gevent import event

from kingcupport.common import address
from kingcupport.common import clock as clock_module
from kingcupport.control import peer_caller
from kingcupport.fleet import backend_server
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import service as service_module
from kingcupport.requests import answer as answer_module
from kingcupport.requests import claim_instance_list
from kingcupport.requests import keyed_runner
from kingcupport.requests import request as request_module
from kingcupport.requests import request_runner
from kingcupport.wire import message_codec

SERVICE = 'gate'
LATENCY_MS = 0.5
# Event loop rounds without a call into the simulation after which all tasks
# count as blocked.
IDLE_ROUNDS = 5


class Simulation:
    """Simulated time, network, configuration and platform.

    Args:
        seed: Seed of the random numbers.
        retention_ms: Retention time of the service.
    """

    def __init__(self, seed=1, retention_ms=60_000):
        self.now_ms = 1000.0
        self.rng = random.Random(seed)
        self.agents = {}
        self.cut_links = set()
        self.platform_states = {}
        self.message_faults = []
        self.messages = 0
        self.runs = {}
        self.violations = []
        self.retention_ms = retention_ms
        self.fleets = [fleet_module.Fleet()]
        self._events = []
        self._sequence = itertools.count()
        self._activity = 0

    def publish(self, added=(), withdrawn=()):
        """Publish a new fleet, to be passed to ``SimulatedAgent.accept``."""
        latest = self.fleets[-1]
        revision = latest.revision + 1
        service = service_module.Service(
            SERVICE,
            address.Address('10.0.0.1', 80),
            retention_ms=self.retention_ms,
        )
        servers = {
            name: server
            for name, server in latest.backend_servers.items()
            if name not in withdrawn
        }
        for name in added:
            servers[name] = backend_server.BackendServer(
                name,
                SERVICE,
                address.Address('10.0.1.1', 9000),
                address.Address('10.0.1.1', 8000),
                'dakar',
                added_revision=revision,
            )
        self.fleets.append(
            fleet_module.Fleet(
                revision, f'{revision:032x}', {SERVICE: service}, {}, servers
            )
        )

    def start(self, name, fleet=None, **options):
        """Start an agent's process and return the SimulatedAgent."""
        agent = SimulatedAgent(
            self, name, self.fleets[-1] if fleet is None else fleet, options
        )
        self.agents[name] = agent
        agent.runner.start()
        self.run_until_idle()
        return agent

    def start_first_fleet(self, names, **options):
        """Start agents, then publish the first fleet and let all accept it."""
        for name in names:
            self.start(name, **options)
        self.publish(added=names)
        for agent in self.agents.values():
            agent.accept(self.fleets[-1])
        self.advance(500)

    def at(self, time_ms, function):
        """Schedule a function at a point of simulated time."""
        entry = (time_ms, next(self._sequence), function)
        heapq.heappush(self._events, entry)

    def advance(self, duration_ms):
        """Run all events that are due within a span of simulated time."""
        self.run_until_idle()
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            time_ms, _, function = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, time_ms)
            function()
            self.run_until_idle()
        self.now_ms = end_ms

    def run_until_idle(self):
        """Run the event loop until all tasks are blocked."""
        idle_rounds = 0
        while idle_rounds < IDLE_ROUNDS:
            before = self._activity
            gevent.sleep(0)
            idle_rounds = idle_rounds + 1 if before == self._activity else 0

    def record_activity(self):
        """Record that a task called into the simulation."""
        self._activity += 1

    def cut(self, one, other):
        """Cut the link between two agents."""
        self.cut_links.add(frozenset((one, other)))

    def heal(self):
        """Restore all links."""
        self.cut_links.clear()

    def next_message_fault(self):
        """Return the fault to inject into the next message, or ``pass``."""
        return self.message_faults.pop(0) if self.message_faults else 'pass'

    def set_instance_state(self, name, state):
        """Set an instance's state in the instance list of all agents."""
        self.platform_states[name] = state

    def kill(self, name):
        """Kill an agent's process without a drain."""
        agent = self.agents[name]
        agent.alive = False
        agent.runner.stop()
        gevent.killall(agent.callers, block=False)
        self.run_until_idle()

    def stop(self):
        """End all agents."""
        for name, agent in self.agents.items():
            if agent.alive:
                self.kill(name)

    def runs_within_retention(self, key):
        """Return the runs of a key within the retention time."""
        oldest_ms = self.now_ms - self.retention_ms
        return [r for r in self.runs.get(key, ()) if r[0] > oldest_ms]

    def record_run(self, key, body):
        """Record a run and return the body of its answer.

        A second run within the retention time is a violation.
        """
        if self.runs_within_retention(key):
            self.violations.append(f'{key} ran twice at {self.now_ms:.1f}')
        runs = self.runs.setdefault(key, [])
        answer = b'%s|%d|%s' % (key.encode(), len(runs), body)
        runs.append((self.now_ms, answer))
        return answer


class SimulatedAgent:
    """One agent process: a KeyedRequestRunner with simulated dependencies."""

    def __init__(self, simulation, name, fleet, options):
        self.simulation = simulation
        self.name = name
        self.alive = True
        self.paused = False
        self.callers = []
        self.answers = {}
        self.backend = _Backend(self)
        self.registry = _Registry(fleet)
        self._deferred = []
        self.clock = _Clock(self)
        self.caller = _Caller(self)
        options = {
            'first_observed_revision': fleet.revision,
            'next_runner': self.backend,
            **options,
        }
        self.runner = keyed_runner.make_keyed_request_runner(
            name=name,
            service=SERVICE,
            registry=self.registry,
            instance_list=_InstanceList(simulation),
            caller=self.caller,
            clock=self.clock,
            rng=simulation.rng,
            **options,
        )

    def run_when_awake(self, function):
        """Call a function now or, if the process is paused, on resume."""
        if not self.alive:
            return
        if self.paused:
            self._deferred.append(function)
        else:
            function()

    def pause(self):
        """Pause the process while simulated time continues."""
        self.paused = True

    def resume(self, order=None):
        """Resume the process; ``order`` reorders the deferred functions."""
        self.paused = False
        waiting, self._deferred = self._deferred, []
        if order is not None:
            waiting = order(waiting)
        for function in waiting:
            self.run_when_awake(function)
            self.simulation.run_until_idle()

    def accept(self, fleet):
        """Accept a fleet of a higher revision."""
        if fleet.revision > self.registry.fleet.revision:
            self.run_when_awake(lambda: self.registry.accept(fleet))
            self.simulation.run_until_idle()

    def submit(self, key, body=b'', timeout_ms=5000, method='POST'):
        """Submit a caller's request and return its task."""
        request = request_module.Request(
            request_id=f'{self.name}-{len(self.callers)}',
            method=method,
            target='/book',
            headers=(),
            body=body,
            idempotency_key=key,
            deadline_ms=self.clock.monotonic_ms() + timeout_ms,
        )
        task = gevent.spawn(self._submit, request)
        self.callers.append(task)
        self.simulation.run_until_idle()
        return task

    def drain(self, timeout_ms):
        """Drain the agent as on SIGTERM, then end its process."""
        self.callers.append(gevent.spawn(self._drain, timeout_ms))
        self.simulation.run_until_idle()

    def _drain(self, timeout_ms):
        self.runner.drain(self.clock.monotonic_ms() + timeout_ms)
        self.simulation.record_activity()
        self.alive = False
        self.runner.stop()

    def _submit(self, request):
        answer = self.runner.submit(request)
        self.simulation.record_activity()
        self._check(request, answer)
        return answer

    def _check(self, request, answer):
        simulation = self.simulation
        key = request.idempotency_key
        if not self.alive:
            return
        if answer.status == 503 and simulation.runs_within_retention(key):
            simulation.violations.append(f'{key} was answered not-run')
        if answer.outcome == answer_module.Outcome.RAN:
            answers = [body for _, body in simulation.runs.get(key, ())]
            own = answer.body.endswith(b'|' + request.body)
            if answer.body not in answers or not own:
                simulation.violations.append(f'{key} got {answer.body!r}')


class _Registry:
    def __init__(self, fleet):
        self.fleet = fleet
        self._callbacks = []

    def add_accept_callback(self, callback):
        self._callbacks.append(callback)

    def accept(self, fleet):
        if fleet.revision <= self.fleet.revision:
            return
        previous, self.fleet = self.fleet, fleet
        for callback in self._callbacks:
            callback(previous, fleet)


class _InstanceList(claim_instance_list.ClaimInstanceList):
    def __init__(self, simulation):
        self._simulation = simulation

    def states(self):
        return dict(self._simulation.platform_states)


class _Clock(clock_module.Clock):
    def __init__(self, agent):
        self._agent = agent
        self._simulation = agent.simulation
        # Monotonic clocks of different processes are unrelated.
        self._offset_ms = 1e6 * len(self._simulation.agents)

    def monotonic_ms(self):
        return self._simulation.now_ms + self._offset_ms

    def utc_ms(self):
        return round(self._simulation.now_ms)

    def sleep_until(self, deadline_ms):
        simulation = self._simulation
        simulation.record_activity()
        woken = event.Event()
        due_ms = max(simulation.now_ms, deadline_ms - self._offset_ms)
        simulation.at(due_ms, lambda: self._agent.run_when_awake(woken.set))
        woken.wait()
        simulation.record_activity()


class _Caller(peer_caller.PeerCaller):
    def __init__(self, agent):
        self._agent = agent
        self._simulation = agent.simulation

    def call(self, peer, message, deadline_ms):
        simulation = self._simulation
        simulation.record_activity()
        if not self._agent.alive:
            raise gevent.GreenletExit
        simulation.messages += 1
        reply = event.AsyncResult()
        fault = simulation.next_message_fault()
        data = message_codec.encode_message(message)
        latency_ms = 400.0 if fault == 'delay' else LATENCY_MS
        self._deliver(peer, data, reply, fault, latency_ms)
        if fault == 'duplicate':
            self._deliver(peer, data, event.AsyncResult(), fault, 300.0)
        wait_ms = max(0.0, deadline_ms - self._agent.clock.monotonic_ms())
        self._at(self._agent, wait_ms, lambda: _fail(reply, peer, 'no reply'))
        answer = reply.get()
        simulation.record_activity()
        return message_codec.decode_message(answer)

    def _at(self, agent, wait_ms, function):
        now_ms = self._simulation.now_ms
        self._simulation.at(
            now_ms + wait_ms, lambda: agent.run_when_awake(function)
        )

    def _deliver(self, peer, data, reply, fault, latency_ms):
        target = self._simulation.agents.get(peer)
        link = frozenset((self._agent.name, peer))
        if target is None or not target.alive:
            self._at(
                self._agent,
                LATENCY_MS,
                lambda: _fail(reply, peer, 'refused', sent=False),
            )
            return
        if fault == 'lose' or link in self._simulation.cut_links:
            return
        self._at(
            target,
            latency_ms,
            lambda: self._handle(target, link, data, reply, fault),
        )

    def _handle(self, target, link, data, reply, fault):
        message = message_codec.decode_message(data)
        handler = target.runner.handlers[type(message)]
        answer = message_codec.encode_message(
            handler(message, self._agent.name)
        )
        if fault == 'lose_reply' or link in self._simulation.cut_links:
            return
        latency_ms = 400.0 if fault == 'delay_reply' else LATENCY_MS
        self._at(self._agent, latency_ms, lambda: _succeed(reply, answer))


class _Backend(request_runner.RequestRunner):
    """Simulates the scheduler and the backend server of an agent."""

    def __init__(self, agent):
        self._agent = agent
        self.run_ms = 20.0
        self.behaviour = []

    def submit(self, request):
        simulation = self._agent.simulation
        clock = self._agent.clock
        behaviour = self.behaviour.pop(0) if self.behaviour else 'run'
        clock.sleep_until(clock.monotonic_ms() + 1)
        late = clock.monotonic_ms() >= request.deadline_ms
        if late or behaviour == 'shed' or not self._agent.alive:
            return answer_module.make_refusal(
                answer_module.Outcome.NOT_RUN, 'shed'
            )
        body = simulation.record_run(request.idempotency_key, request.body)
        end_ms = clock.monotonic_ms() + self.run_ms
        clock.sleep_until(min(end_ms, request.deadline_ms))
        if behaviour == 'lose_answer' or end_ms > request.deadline_ms:
            return answer_module.make_refusal(
                answer_module.Outcome.UNKNOWN, 'no answer'
            )
        return answer_module.Answer(200, (), body)


def _fail(reply, peer, reason, sent=True):
    if not reply.ready():
        reply.set_exception(
            peer_caller.PeerError(reason, step='call', peer=peer, sent=sent)
        )


def _succeed(reply, answer):
    if not reply.ready():
        reply.set(answer)
