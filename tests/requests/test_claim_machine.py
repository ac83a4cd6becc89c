"""State machine test of at-most-once execution under combined faults.

Hypothesis drives KeyedRequestRunner objects over the simulation. The rules
are meant to reach these hazards, alone and combined:

* a grant on each side of a partition while two revisions are in force
* a key's agent that was paused and fenced, and resumes with its old view
* restart of the key's agent, of the holder, and of both
* a lost grant reply, a lost release, a claim delivered twice or late
* a reply after the claimer's deadline
* a holder that dies while it runs the request
* drain during a run, and requests that arrive during a drain
* a note that adds or withdraws a host during a claim
* a restarted process that reads an outdated fleet
"""

import claim_simulation
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

ALL_HOSTS = ('a', 'b', 'c', 'd', 'e')
KEYS = tuple(f'key-{number}' for number in range(8))
MESSAGE_FAULTS = (
    'pass',
    'lose',
    'lose_reply',
    'delay',
    'delay_reply',
    'duplicate',
)
RETENTION_MS = 30_000
TIMEOUT_MS = 3000

hosts = strategies.sampled_from(ALL_HOSTS)
keys = strategies.sampled_from(KEYS)
waits = strategies.sampled_from((0.3, 0.6, 1.2, 10, 100, 700, 3000))

# Arguments of the fault rules, which retry every key at one agent afterwards.
retry = {'retry_at': hosts, 'wait_ms': waits}


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Interleaves requests, faults and operator actions in any order."""

    def __init__(self):
        super().__init__()
        self.simulation = claim_simulation.Simulation(
            retention_ms=RETENTION_MS
        )
        self.draining = set()

    @stateful.initialize(count=strategies.integers(3, 4))
    def begin(self, count):
        self.simulation.start_first_fleet(ALL_HOSTS[:count])

    def running(self, name):
        agent = self.simulation.agents.get(name)
        return agent if agent is not None and agent.alive else None

    def awake(self, name):
        agent = self.running(name)
        return agent if agent is not None and not agent.paused else None

    def running_names(self):
        return [n for n in ALL_HOSTS if self.running(n)]

    @stateful.rule(
        name=hosts,
        key=keys,
        body=strategies.sampled_from((b'one', b'one', b'one', b'two')),
    )
    def submit(self, name, key, body):
        if self.awake(name):
            self.simulation.agents[name].submit(key, body, TIMEOUT_MS)

    @stateful.rule(names=strategies.permutations(ALL_HOSTS), wait_ms=waits)
    def submit_all(self, names, wait_ms):
        """Submit every key to one agent and, after a wait, to another one."""
        awake = [name for name in names if self.awake(name)]
        for name in awake[:2]:
            for key in KEYS:
                self.submit(name, key, b'one')
            self.simulation.advance(wait_ms)

    @stateful.rule()
    def let_claims_expire(self):
        self.simulation.advance(RETENTION_MS)

    @stateful.rule(wait_ms=waits)
    def advance(self, wait_ms):
        self.simulation.advance(wait_ms)

    @stateful.rule(
        faults=strategies.lists(
            strategies.sampled_from(MESSAGE_FAULTS), max_size=6
        ),
        name=hosts,
        key=keys,
    )
    def submit_with_disturbed_messages(self, faults, name, key):
        self.simulation.message_faults = list(faults)
        self.submit(name, key, b'one')

    @stateful.rule(
        name=hosts,
        key=keys,
        behaviour=strategies.sampled_from(('shed', 'lose_answer', 'run')),
        run_ms=strategies.sampled_from((5, 1500, 4000)),
    )
    def submit_to_slow_backend(self, name, key, behaviour, run_ms):
        if self.awake(name):
            backend = self.simulation.agents[name].backend
            backend.behaviour = [behaviour]
            backend.run_ms = run_ms
            self.submit(name, key, b'one')

    @stateful.rule(
        side=strategies.sets(hosts, min_size=1, max_size=2), **retry
    )
    def partition(self, side, retry_at, wait_ms):
        for one in side:
            for other in set(ALL_HOSTS) - side:
                self.simulation.cut(one, other)
        self.retry_all(retry_at, wait_ms)

    @stateful.rule()
    def heal(self):
        self.simulation.heal()

    @stateful.rule(name=hosts)
    def pause(self, name):
        if self.awake(name):
            self.simulation.agents[name].pause()

    @stateful.rule(
        name=hosts,
        order=strategies.randoms(use_true_random=False),
        **retry,
    )
    def wake(self, name, order, retry_at, wait_ms):
        agent = self.running(name)
        if agent is not None and agent.paused:
            agent.resume(lambda waiting: order.sample(waiting, len(waiting)))
            self.retry_all(retry_at, wait_ms)

    @stateful.rule(name=hosts, platform_knows=strategies.booleans(), **retry)
    def kill(self, name, platform_knows, retry_at, wait_ms):
        if self.running(name) and len(self.running_names()) > 2:
            self.simulation.kill(name)
            if platform_knows:
                self.simulation.set_instance_state(name, 'gone')
            self.retry_all(retry_at, wait_ms)

    def retry_all(self, name, wait_ms):
        self.simulation.advance(wait_ms)
        for key in KEYS:
            self.submit(name, key, b'one')

    @stateful.rule(
        name=hosts, behind=strategies.sampled_from((0, 0, 0, 1)), **retry
    )
    def restart(self, name, behind, retry_at, wait_ms):
        fleets = self.simulation.fleets
        if self.running(name):
            self.simulation.kill(name)
        self.draining.discard(name)
        fleet = fleets[max(1, len(fleets) - 1 - behind)]
        self.simulation.start(name, fleet)
        self.simulation.set_instance_state(name, 'live')
        self.retry_all(retry_at, wait_ms)

    @stateful.rule(name=hosts, accepted_by=strategies.sets(hosts), **retry)
    def publish(self, name, accepted_by, retry_at, wait_ms):
        present = self.simulation.fleets[-1].backend_servers
        if name not in present:
            self.simulation.publish(added=[name])
            if not self.running(name):
                self.simulation.start(name, self.simulation.fleets[-2])
        elif len(present) > 2:
            self.simulation.publish(withdrawn=[name])
        self.accept(accepted_by, retry_at, wait_ms)

    @stateful.rule(names=strategies.sets(hosts, min_size=1), **retry)
    def accept(self, names, retry_at, wait_ms):
        for name in sorted(names):
            if self.running(name):
                latest = self.simulation.fleets[-1]
                self.simulation.agents[name].accept(latest)
        self.retry_all(retry_at, wait_ms)

    @stateful.rule(name=hosts, **retry)
    def list_as_gone(self, name, retry_at, wait_ms):
        """List a dead or paused instance as gone; the list may lag."""
        agent = self.simulation.agents.get(name)
        if agent is not None and (not agent.alive or agent.paused):
            self.simulation.set_instance_state(name, 'gone')
            self.retry_all(retry_at, wait_ms)

    @stateful.rule(name=hosts, **retry)
    def drain(self, name, retry_at, wait_ms):
        agent = self.awake(name)
        if agent is None or name in self.draining:
            return
        if len(self.running_names()) > 2:
            self.draining.add(name)
            agent.drain(TIMEOUT_MS)
            self.retry_all(retry_at, wait_ms)

    @stateful.rule()
    def recover(self):
        """Return the service to full health, so that later faults hit it."""
        self.simulation.heal()
        self.simulation.message_faults = []
        for name in ALL_HOSTS:
            agent = self.running(name)
            if agent is not None and agent.paused:
                agent.resume()
            if agent is None and name in self.simulation.agents:
                self.restart(name, 0, name, 0)
        for agent in self.simulation.agents.values():
            agent.backend.behaviour = []
            agent.backend.run_ms = 20
        self.accept(ALL_HOSTS, 'a', 0)
        self.simulation.advance(2 * TIMEOUT_MS)

    @stateful.invariant()
    def nothing_is_violated(self):
        assert self.simulation.violations == []

    def teardown(self):
        """Check that keys can be claimed again once all faults have ended."""
        self.simulation.advance(2 * TIMEOUT_MS)
        self.recover()
        # Agents that were paused during a drain have ended by now.
        self.recover()
        self.simulation.advance(RETENTION_MS)
        members = self.simulation.fleets[-1].backend_servers
        tasks = [
            self.simulation.agents[name].submit(f'{name}-{number}', b'one')
            for name in members
            for number in range(4)
        ]
        self.simulation.advance(2 * TIMEOUT_MS)
        violations = self.simulation.violations
        self.simulation.stop()
        assert violations == []
        answers = [task.get(block=False) for task in tasks]
        assert [a.body for a in answers if a.status != 200] == []


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    # Shrinking a failure takes minutes; a failing run prints its steps.
    phases=[hypothesis.Phase.generate],
    max_examples=100,
    stateful_step_count=50,
    suppress_health_check=list(hypothesis.HealthCheck),
)
