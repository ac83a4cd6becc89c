"""Tests handoffs under faults for lost, repeated and reset work."""

import collections

import gevent
import handoff_simulation
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

_NAMES = ('a', 'b', 'c', 'd')
_FAULTY = ('ok', 'ok', 'lost_request', 'lost_reply', 'late', 'duplicated')
# The decision timeout is 20 s, so only the last one may reset connections.
_CUTS_MS = (1_500, 8_000, 8_000, 30_000)
_agents = strategies.sampled_from(_NAMES)
_cuts = strategies.sampled_from(_CUTS_MS)
_waits = strategies.sampled_from((0, 1, 2, 4, 100, 600, 2_500))
_indexes = strategies.integers(0, 3)


class HandoffMachine(stateful.RuleBasedStateMachine):
    """Moves connections between four agents while everything may fail."""

    def __init__(self):
        super().__init__()
        self.cut_until_ms = {}
        # Whether an agent was killed or a fault lasts beyond the timeouts.
        self.may_break = False
        self.faults = 0
        self.killed = False
        self.drained = None

    @stateful.initialize(seed=strategies.integers(0, 1 << 16))
    def start(self, seed):
        self.simulation = handoff_simulation.Simulation(_NAMES, seed)
        for _ in range(2):
            self.simulation.open()
        self._advance(300)
        self.simulation.loss_percent = 10

    def _advance(self, duration_ms):
        simulation = self.simulation
        for _ in range(max(1, duration_ms // 100)):
            simulation.advance(min(duration_ms, 100))
            self._heal_due()
            self._check_owners()

    def _heal_due(self):
        now_ms = self.simulation.clock.monotonic_ms()
        for fault, until_ms in list(self.cut_until_ms.items()):
            if now_ms < until_ms:
                continue
            del self.cut_until_ms[fault]
            if isinstance(fault, str):
                self.simulation.resume_agent(fault)
            else:
                self.simulation.cut_links.discard(fault)

    def _check_owners(self):
        for caller in self.simulation.callers:
            if caller.stream_id is not None:
                owners = self.simulation.owners(caller)
                assert len(owners) <= 1, owners

    def _until(self, duration_ms):
        self.faults += 1
        self.may_break = self.may_break or duration_ms == max(_CUTS_MS)
        return self.simulation.clock.monotonic_ms() + duration_ms

    @stateful.precondition(lambda self: len(self.simulation.callers) < 4)
    @stateful.rule()
    def open(self):
        self.simulation.open()
        self._advance(100)

    @stateful.rule(
        index=_indexes,
        method=strategies.sampled_from(('GET', 'POST', 'POST')),
        body_bytes=strategies.sampled_from((0, 5, 3_000, 40_000)),
        count=strategies.integers(1, 4),
        wait_ms=_waits,
        receiver=_agents,
        faulty=_indexes,
    )
    def request_and_hand_over(
        self, index, method, body_bytes, count, wait_ms, receiver, faulty
    ):
        """Hand over a connection that has requests in progress."""
        callers = self.simulation.callers
        caller = callers[index % len(callers)]
        for _ in range(count):
            caller.request(method, body_bytes)
        if wait_ms:
            self._advance(wait_ms)
        self.hand_over(index, receiver, faulty)

    @stateful.rule(index=_indexes, receiver=_agents, faulty=_indexes)
    def hand_over(self, index, receiver, faulty):
        simulation = self.simulation
        if faulty:
            simulation.fates = simulation.rng.choices(_FAULTY, k=faulty + 1)
        caller = simulation.callers[index % len(simulation.callers)]
        for name in _NAMES:
            if name != receiver:
                simulation.hand_over(name, receiver, caller.connection_id)

    @stateful.precondition(lambda self: len(self.simulation.cut_links) < 3)
    @stateful.rule(first=_agents, second=_agents, duration_ms=_cuts)
    def cut(self, first, second, duration_ms):
        if first != second:
            link = frozenset((first, second))
            self.simulation.cut_links.add(link)
            self.cut_until_ms[link] = self._until(duration_ms)

    @stateful.precondition(lambda self: len(self.simulation.paused) < 2)
    @stateful.rule(name=_agents, duration_ms=_cuts)
    def pause(self, name, duration_ms):
        self.simulation.paused.add(name)
        self.cut_until_ms[name] = self._until(duration_ms)

    @stateful.precondition(
        lambda self: not self.killed and len(self.simulation.callers) > 2
    )
    @stateful.rule(name=_agents)
    def kill(self, name):
        self.killed = self.may_break = True
        self.simulation.agents[name].kill()

    @stateful.precondition(lambda self: self.drained is None)
    @stateful.rule(name=_agents)
    def drain(self, name):
        simulation = self.simulation
        self.drained = agent = simulation.agents[name]
        simulation.publish([n for n in _NAMES if n != name])
        agent.data_path.draining = True
        deadline_ms = simulation.clock.monotonic_ms() + 60_000
        if agent.alive:
            gevent.spawn(agent.mover.move_all, deadline_ms)
        simulation.settle()

    @stateful.rule(duration_ms=_waits)
    def wait(self, duration_ms):
        self._advance(duration_ms)

    @stateful.invariant()
    def answers_are_right(self):
        if not hasattr(self, 'simulation'):
            return
        self._check_owners()
        for caller in self.simulation.callers:
            self._check_answers(caller, caller.answers()[0])
        for target, runs in self.simulation.runs.items():
            if runs[0][0] == 'POST':
                assert len(runs) == 1, (target, runs)

    def _check_answers(self, caller, answers):
        pairs = zip(answers, caller.sent, strict=False)
        for (status, body), (_, target) in pairs:
            own = f'{target} '.encode()
            if status == 200:
                assert body in (own, own * 400)
                assert target in self.simulation.runs
            else:
                # A single fault ends before the deadline of a request; two
                # together may last longer.
                is_unknown = status == 504 and self.faults > 1
                assert is_unknown or self.may_break, (status, body)
                if status == 503:
                    assert target not in self.simulation.runs

    def teardown(self):
        if not hasattr(self, 'simulation'):
            return
        simulation = self.simulation
        self._advance(max(_CUTS_MS) + 1_000)
        simulation.loss_percent = 0
        # Pipelined requests take up to 3 s each and run in parallel.
        self._advance(30_000)
        for caller in simulation.callers:
            self._check_end(caller)
        assert self.drained is None or not len(self.drained.table)
        simulation.callers.clear()
        simulation.advance(60_000)
        self._check_bounds()
        for agent in simulation.agents.values():
            agent.kill()
        simulation.settle()

    def _check_end(self, caller):
        if caller.was_reset:
            assert self.may_break
            return
        answers, rest = caller.answers()
        assert rest == b''
        # A caller whose output is acknowledged sends nothing, so it does not
        # detect the death of the agent that ran its requests.
        assert self.killed or len(answers) == len(caller.sent)
        self._check_answers(caller, answers)
        assert self.killed or caller.output.buffered_bytes == 0
        # An idle caller does not detect the death of its agent.
        assert self.killed or len(self.simulation.owners(caller)) == 1

    def _check_bounds(self):
        counts = collections.Counter()
        for agent in self.simulation.agents.values():
            counts['lent'] += agent.lent_runs.unfetched_count
            counts['lent'] += agent.lent_runs.running_count
            counts['connections'] += len(agent.table) * agent.alive
        assert counts['lent'] == 0
        # Half-open connections have timed out.
        assert counts['connections'] <= 4


HandoffMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=25,
    deadline=None,
    # Shrinking repeats complete simulations and takes minutes.
    phases=(hypothesis.Phase.generate,),
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestHandoffMachine = HandoffMachine.TestCase


# Steps of an example that HandoffMachine finds with another seed.
_KILL_DURING_AN_ANSWER = (
    (
        'request_and_hand_over',
        {
            'body_bytes': 40000,
            'count': 2,
            'faulty': 1,
            'index': 1,
            'method': 'POST',
            'receiver': 'd',
            'wait_ms': 600,
        },
    ),
    (
        'request_and_hand_over',
        {
            'body_bytes': 5,
            'count': 1,
            'faulty': 0,
            'index': 1,
            'method': 'POST',
            'receiver': 'a',
            'wait_ms': 1,
        },
    ),
    (
        'request_and_hand_over',
        {
            'body_bytes': 40000,
            'count': 2,
            'faulty': 3,
            'index': 2,
            'method': 'POST',
            'receiver': 'a',
            'wait_ms': 4,
        },
    ),
    ('hand_over', {'faulty': 2, 'index': 2, 'receiver': 'd'}),
    ('wait', {'duration_ms': 2}),
    ('drain', {'name': 'c'}),
    ('open', {}),
    ('open', {}),
    ('cut', {'duration_ms': 8000, 'first': 'd', 'second': 'c'}),
    ('wait', {'duration_ms': 2}),
    ('cut', {'duration_ms': 8000, 'first': 'b', 'second': 'a'}),
    ('wait', {'duration_ms': 100}),
    ('wait', {'duration_ms': 1}),
    ('wait', {'duration_ms': 2500}),
    (
        'request_and_hand_over',
        {
            'body_bytes': 40000,
            'count': 3,
            'faulty': 3,
            'index': 3,
            'method': 'GET',
            'receiver': 'c',
            'wait_ms': 1,
        },
    ),
    ('hand_over', {'faulty': 0, 'index': 1, 'receiver': 'b'}),
    ('kill', {'name': 'a'}),
    ('cut', {'duration_ms': 30000, 'first': 'd', 'second': 'd'}),
    ('hand_over', {'faulty': 0, 'index': 1, 'receiver': 'b'}),
    ('cut', {'duration_ms': 1500, 'first': 'a', 'second': 'a'}),
    ('hand_over', {'faulty': 1, 'index': 2, 'receiver': 'b'}),
    (
        'request_and_hand_over',
        {
            'body_bytes': 40000,
            'count': 3,
            'faulty': 1,
            'index': 0,
            'method': 'POST',
            'receiver': 'c',
            'wait_ms': 100,
        },
    ),
    ('wait', {'duration_ms': 100}),
    (
        'request_and_hand_over',
        {
            'body_bytes': 5,
            'count': 2,
            'faulty': 2,
            'index': 2,
            'method': 'POST',
            'receiver': 'a',
            'wait_ms': 2500,
        },
    ),
)


def test_agent_killed_while_it_sends_an_answer():
    """Guards against a caller that is left with a part of an answer.

    The agent is killed after the caller has acknowledged a part of an answer.
    Nothing of the caller is unacknowledged, so it sends nothing and does not
    learn that its agent is gone.
    """
    machine = HandoffMachine()
    machine.start(seed=43)
    for rule, arguments in _KILL_DURING_AN_ANSWER:
        getattr(machine, rule)(**arguments)
        machine.answers_are_right()
    machine.teardown()
