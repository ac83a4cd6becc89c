"""Guards against faults of transfers that only meet in some order."""

from gevent import event
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import simulated_agents

from kingcupport.wire import work_messages


class WorkSharingMachine(stateful.RuleBasedStateMachine):
    """Any faults in any order."""

    def __init__(self):
        super().__init__()
        self.world = simulated_agents.World()

    @stateful.rule(
        name=st.sampled_from(simulated_agents.NAMES),
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
        name=st.sampled_from(simulated_agents.NAMES),
        method=st.sampled_from(('GET', 'POST')),
        message_class=st.sampled_from(
            (work_messages.WorkTransfer, work_messages.WorkPoll)
        ),
        fault=st.sampled_from(simulated_agents.FAULTS),
        victim=st.sampled_from(simulated_agents.NAMES),
        action=st.sampled_from(('kill', 'pause', 'cut', 'drain', 'fail')),
        after_ms=st.integers(0, 30),
    )
    def transfer_with_faults(
        self, name, method, message_class, fault, victim, action, after_ms
    ):
        """Make transfers likely and let a second fault hit them."""
        self.recover()
        self.world.faults[message_class] = fault
        self.submit(name, method, 150, 3000, 4)
        self.world.clock.advance(after_ms)
        if action == 'cut':
            self.cut(name, victim)
        elif action == 'fail' and victim in self.world.agents:
            self.world.agents[victim].port.failures += 1
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
        fault=st.sampled_from(simulated_agents.FAULTS),
    )
    def fault(self, message_class, fault):
        self.world.faults[message_class] = fault

    @stateful.rule(
        a=st.sampled_from(simulated_agents.NAMES),
        b=st.sampled_from(simulated_agents.NAMES),
    )
    def cut(self, a, b):
        self.world.cuts |= {(a, b), (b, a)}

    @stateful.rule()
    def heal(self):
        self.world.cuts.clear()

    @stateful.rule(name=st.sampled_from(simulated_agents.NAMES))
    def pause(self, name):
        self.world.paused.setdefault(name, event.Event())

    @stateful.rule(name=st.sampled_from(simulated_agents.NAMES))
    def resume(self, name):
        if name in self.world.paused:
            self.world.paused.pop(name).set()

    @stateful.rule(name=st.sampled_from(simulated_agents.NAMES))
    def kill(self, name):
        if name in self.world.agents:
            self.world.agents.pop(name).kill()

    @stateful.rule(name=st.sampled_from(simulated_agents.NAMES))
    def restart(self, name):
        if name not in self.world.agents:
            self.world.clock.advance(1)
            self.world.agents[name] = simulated_agents.Agent(self.world, name)

    @stateful.rule(name=st.sampled_from(simulated_agents.NAMES))
    def drain(self, name):
        if name in self.world.agents:
            self.world.agents[name].drain()

    @stateful.rule(
        name=st.sampled_from(simulated_agents.NAMES), shedding=st.booleans()
    )
    def shed(self, name, shedding):
        if name in self.world.agents:
            self.world.agents[name].port.shedding = shedding

    @stateful.rule()
    def recover(self):
        """Bring every agent back, so that later faults hit working ones."""
        self.heal()
        for name in simulated_agents.NAMES:
            self.resume(name)
            agent = self.world.agents.get(name)
            if agent is None or agent.drained:
                self.kill(name)
                self.restart(name)

    @stateful.invariant()
    def answers_are_right(self):
        self.world.check()

    def teardown(self):
        world = self.world
        self.heal()
        for name in simulated_agents.NAMES:
            self.resume(name)
        world.clock.advance(3000 + simulated_agents.LATEST_MS + 1)
        world.check()
        for request_id, (_, agent) in world.requests.items():
            if agent in world.agents.values():
                assert len(world.answers[request_id]) == 1
        world.stop()


WorkSharingMachine.TestCase.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=30, deadline=None
)
TestWorkSharing = WorkSharingMachine.TestCase
