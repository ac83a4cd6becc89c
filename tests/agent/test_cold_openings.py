"""Tests that an agent keeps to the limit of its cold server."""

import math
import random

import flow_support
import pytest

from kingcupport.agent import flow_counters
from kingcupport.agent import flow_data_path
from kingcupport.agent import flow_settings
from kingcupport.common import address
from kingcupport.observability import decision_log
from kingcupport.wire import flow_datagrams

FORMAT = flow_support.FORMAT
RATE = 3.0
OWN = address.Address('10.0.0.1', 8172)
SERVER = address.Address('10.0.0.1', 8645)


class Agent:
    """A FlowDataPath that records the datagrams it sends."""

    def __init__(self):
        self.clock = flow_support.make_clock()
        self.to_server = []
        self.to_balancers = []
        self.counters = flow_counters.FlowCounters()
        self.path = flow_data_path.FlowDataPath(
            flow_settings.FlowAgentSettings(
                'a0', 'gate', OWN, OWN, SERVER, OWN, '/', is_first_start=True
            ),
            self.clock,
            random.Random(1),
            FORMAT,
            self.counters,
            decision_log.make_decision_log(self.clock),
            send_to_server=lambda data, to: self.to_server.append(data),
            send_to_client=lambda data, to: None,
            send_to_balancer=self._send_to_balancer,
            on_pending=lambda: None,
        )

    def _send_to_balancer(self, data, _destination):
        self.to_balancers.append(flow_datagrams.decode(data))

    def deliver(self, data, slot_limit=0):
        envelope = flow_datagrams.FlowEnvelope('gate', slot_limit, data)
        self.path.on_balancer_datagram(
            flow_datagrams.encode(envelope), ('10.1.0.1', 7720)
        )

    def sent(self, kind):
        found = [d for d in self.to_balancers if isinstance(d, kind)]
        self.to_balancers.clear()
        return found


@pytest.fixture
def agent():
    """An agent that has been running for longer than the window."""
    agent = Agent()
    agent.clock.advance(1_001)
    return agent


def open_flow(agent, number, rate=RATE, left_ms=60_000, **fields):
    """Send an opening packet in a PacedEnvelope, or a FlowEnvelope."""
    data = FORMAT.make(
        flow_support.make_flow(number), flags=flow_support.OPEN, **fields
    )
    envelope = (
        flow_datagrams.FlowEnvelope('gate', 0, data)
        if rate is None
        else flow_datagrams.PacedEnvelope('gate', 0, rate, left_ms, data)
    )
    source = (f'10.1.0.{number % 24}', 7720)
    agent.path.on_balancer_datagram(flow_datagrams.encode(envelope), source)
    return data


def declined(agent):
    return [
        (flow_datagrams.DeclineReason(d.reason).name, d.packet_data)
        for d in agent.sent(flow_datagrams.FlowDecline)
    ]


def test_openings_above_the_rate_are_declined(agent):
    sent = [open_flow(agent, number) for number in range(5)]
    assert agent.to_server == sent[:3]
    assert declined(agent) == [('PACED', data) for data in sent[3:]]
    assert agent.counters.openings_paced == 2


def test_ordinary_envelopes_count_and_are_limited_too(agent):
    """Balancers whose view is older take the server as warm."""
    open_flow(agent, 1, rate=None)
    open_flow(agent, 2)
    sent = [open_flow(agent, number, rate=None) for number in (3, 4)]
    assert len(agent.to_server) == 3
    assert declined(agent) == [('PACED', sent[1])]


def test_limit_ends_after_the_cold_time(agent):
    for number in range(4):
        open_flow(agent, number, left_ms=5_000)
    agent.clock.advance(5_000)
    for number in range(10, 30):
        open_flow(agent, number, rate=None)
    assert len(agent.to_server) == 23


def test_copies_above_the_rate_are_dropped_not_declined(agent):
    """The server may hold the flow; no other one may open it, too."""
    for number in range(3):
        open_flow(agent, number)
    open_flow(agent, 0, acknowledged=200)
    assert len(agent.to_server) == 3
    assert not declined(agent)
    agent.clock.advance(1_001)
    open_flow(agent, 0, acknowledged=600)
    assert len(agent.to_server) == 4


def test_later_packets_of_flows_are_not_limited(agent):
    for number in range(4):
        open_flow(agent, number)
    agent.to_server.clear()
    for _ in range(20):
        agent.deliver(FORMAT.make(flow_support.make_flow(1), data=b'x'))
    assert len(agent.to_server) == 20


def test_busy_server_does_not_use_up_its_rate(agent):
    data = FORMAT.make(flow_support.make_flow(1), flags=flow_support.OPEN)
    open_flow(agent, 0)
    agent.deliver(data, slot_limit=1)
    assert declined(agent) == [('BUSY', data)]
    for number in (2, 3):
        open_flow(agent, number)
    assert len(agent.to_server) == 3


@pytest.mark.parametrize('rate', [math.nan, -1.0, 0.0, 1e9])
def test_invalid_rate_sets_no_limit(agent, rate):
    for number in range(20):
        open_flow(agent, number, rate)
    assert len(agent.to_server) == 20


def test_limit_of_another_service_is_ignored(agent):
    data = FORMAT.make(flow_support.make_flow(1), flags=flow_support.OPEN)
    envelope = flow_datagrams.PacedEnvelope('audio', 0, 1.0, 60_000, data)
    agent.path.on_balancer_datagram(
        flow_datagrams.encode(envelope), ('10.1.0.1', 7720)
    )
    assert [reason for reason, _ in declined(agent)] == ['OTHER_SERVICE']
    assert agent.path.cold_limit.limit is None


def test_without_a_limit_every_opening_reaches_the_server_at_once():
    """Also right after the start of the agent."""
    agent = Agent()
    sent = [open_flow(agent, number, rate=None) for number in range(100)]
    assert agent.to_server == sent


def most_in_a_second(times_ms):
    return max(
        sum(1 for t in times_ms if 0 <= t - start <= 1_000)
        for start in times_ms
    )


@pytest.mark.parametrize('rate', [0.5, 3.0, 7.5])
def test_crowd_of_24_balancers_stays_within_the_rate(agent, rate):
    """A data centre returns and every balancer has openings for it.

    Each second brings 40 times the rate, in bursts, in both envelopes.
    """
    rng = random.Random(1)
    handed_ms = []
    for number in range(int(40 * rate * 20)):
        agent.clock.advance(rng.choice((0, 0, 0, 100 / rate)))
        before = len(agent.to_server)
        open_flow(agent, number, rng.choice((rate, rate, None)), 60_000)
        if len(agent.to_server) > before:
            handed_ms.append(agent.clock.monotonic_ms())
    assert most_in_a_second(handed_ms) <= math.ceil(rate)
    assert len(handed_ms) >= 0.9 * rate * 20


def test_restart_of_the_agent_does_not_renew_the_window():
    """Guards FAILBACK: the former process had used up the second."""
    former = Agent()
    former.clock.advance(1_001)
    for number in range(3):
        open_flow(former, number)
    assert len(former.to_server) == 3
    restarted = Agent()
    restarted.clock.advance(1_000)
    open_flow(restarted, 7)
    assert not restarted.to_server
    restarted.clock.advance(1)
    open_flow(restarted, 7)
    assert len(restarted.to_server) == 1
