"""Guards against wrong answers when several faults hit one transfer.

Hypothesis combines faults, restarts and requests in random order.
"""

from gevent import event
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import simulated_agents

from kingcupport.wire import work_messages


class WorkSharingMachine(stateful.RuleBasedStateMachine):
    """Submits requests and injects faults in any order."""

    def __init__(self):
        super().__init__()
        self.cluster = simulated_agents.SimulatedCluster()

    @stateful.rule(
        name=st.sampled_from(simulated_agents.AGENT_NAMES),
        method=st.sampled_from(('GET', 'POST')),
        duration_ms=st.sampled_from((5, 20, 150, 600)),
        timeout_ms=st.sampled_from((100, 700, 3000)),
        count=st.integers(1, 4),
    )
    def submit(self, name, method, duration_ms, timeout_ms, count):
        for _ in range(count):
            if name in self.cluster.agents:
                self.cluster.submit(name, method, duration_ms, timeout_ms)

    @stateful.rule(
        name=st.sampled_from(simulated_agents.AGENT_NAMES),
        method=st.sampled_from(('GET', 'POST')),
        message_class=st.sampled_from(
            (work_messages.WorkTransfer, work_messages.WorkPoll)
        ),
        fault=st.sampled_from(simulated_agents.FAULTS),
        second_fault_agent=st.sampled_from(simulated_agents.AGENT_NAMES),
        action=st.sampled_from(('kill', 'pause', 'cut', 'drain', 'fail')),
        after_ms=st.integers(0, 30),
    )
    def transfer_with_faults(
        self,
        name,
        method,
        message_class,
        fault,
        second_fault_agent,
        action,
        after_ms,
    ):
        """Start transfers with one fault and inject a second one."""
        self.recover()
        self.cluster.faults[message_class] = fault
        self.submit(name, method, 150, 3000, 4)
        self.cluster.clock.advance(after_ms)
        if action == 'cut':
            self.cut(name, second_fault_agent)
        elif action == 'fail' and second_fault_agent in self.cluster.agents:
            self.cluster.agents[second_fault_agent].port.failures += 1
        elif action in ('kill', 'pause', 'drain'):
            getattr(self, action)(second_fault_agent)
        self.cluster.clock.advance(after_ms)

    @stateful.rule(duration_ms=st.sampled_from((1, 3, 30, 120, 1000)))
    def advance(self, duration_ms):
        self.cluster.clock.advance(duration_ms)

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
        self.cluster.faults[message_class] = fault

    @stateful.rule(
        a=st.sampled_from(simulated_agents.AGENT_NAMES),
        b=st.sampled_from(simulated_agents.AGENT_NAMES),
    )
    def cut(self, a, b):
        self.cluster.cut_links |= {(a, b), (b, a)}

    @stateful.rule()
    def heal(self):
        self.cluster.cut_links.clear()

    @stateful.rule(name=st.sampled_from(simulated_agents.AGENT_NAMES))
    def pause(self, name):
        self.cluster.paused.setdefault(name, event.Event())

    @stateful.rule(name=st.sampled_from(simulated_agents.AGENT_NAMES))
    def resume(self, name):
        if name in self.cluster.paused:
            self.cluster.paused.pop(name).set()

    @stateful.rule(name=st.sampled_from(simulated_agents.AGENT_NAMES))
    def kill(self, name):
        if name in self.cluster.agents:
            self.cluster.agents.pop(name).kill()

    @stateful.rule(name=st.sampled_from(simulated_agents.AGENT_NAMES))
    def restart(self, name):
        if name not in self.cluster.agents:
            self.cluster.clock.advance(1)
            self.cluster.agents[name] = simulated_agents.SimulatedAgent(
                self.cluster, name
            )

    @stateful.rule(name=st.sampled_from(simulated_agents.AGENT_NAMES))
    def drain(self, name):
        if name in self.cluster.agents:
            self.cluster.agents[name].drain()

    @stateful.rule(
        name=st.sampled_from(simulated_agents.AGENT_NAMES),
        shedding=st.booleans(),
    )
    def shed(self, name, shedding):
        if name in self.cluster.agents:
            self.cluster.agents[name].port.shedding = shedding

    @stateful.rule()
    def recover(self):
        """Restore every agent, so that later faults affect working agents."""
        self.heal()
        for name in simulated_agents.AGENT_NAMES:
            self.resume(name)
            agent = self.cluster.agents.get(name)
            if agent is None or agent.drained:
                self.kill(name)
                self.restart(name)

    @stateful.invariant()
    def answers_are_right(self):
        self.cluster.check_invariants()

    def teardown(self):
        cluster = self.cluster
        self.heal()
        for name in simulated_agents.AGENT_NAMES:
            self.resume(name)
        cluster.clock.advance(3000 + simulated_agents.MAX_ANSWER_DELAY_MS + 1)
        cluster.check_invariants()
        for request_id, (_, agent) in cluster.requests.items():
            if agent in cluster.agents.values():
                assert len(cluster.answers[request_id]) == 1
        cluster.stop()


WorkSharingMachine.TestCase.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=30, deadline=None
)
TestWorkSharing = WorkSharingMachine.TestCase
