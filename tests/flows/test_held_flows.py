"""Tests an agent's record of the flows and running requests of its server."""

import flow_support
import pytest

from kingcupport.flows import held_flows
from kingcupport.wire import flow_datagrams

BALANCER = ('10.1.0.1', 7720)
FORMAT = flow_support.FORMAT
MAX_AGE_MS = 60_000


class AgentHarness:
    """The flows of one server, with methods that pass packets through."""

    def __init__(self, is_complete=True, capacity=held_flows.MAX_HELD_FLOWS):
        self.clock = flow_support.make_clock()
        self.held = held_flows.HeldFlows(
            self.clock,
            MAX_AGE_MS,
            is_complete=is_complete,
            capacity=capacity,
        )

    def client(self, flow, flags=0, **fields):
        data = FORMAT.make(flow, flags=flags, **fields)
        packet = FORMAT.read_from_client(data)
        return self.held.on_client_packet(packet, data, BALANCER)

    def server(self, flow, flags=0, status=None, **fields):
        data = FORMAT.make(flow, from_client=False, flags=flags, **fields)
        return self.held.on_server_packet(
            FORMAT.read_from_server(data), status
        )

    def return_packet(self, flow, flags=0, **fields):
        data = FORMAT.make(flow, flags=flags, **fields)
        return self.held.on_bounce(FORMAT.read_from_client(data))

    def accept(self, flow, sequence=100):
        self.client(flow, flow_support.OPEN)
        self.server(flow, flow_support.OPEN_ANSWER, sequence=sequence)

    def run(self, flow, status=200):
        self.accept(flow)
        self.client(flow, data=b'request=a', acknowledged=101)
        return self.server(flow, status=status, sequence=101, data=b'200')


@pytest.fixture
def agent():
    return AgentHarness()


def test_a_request_is_running_from_its_opening_to_its_answer(agent):
    flow = flow_support.make_flow(1)
    agent.client(flow, flow_support.OPEN)
    assert agent.held.running == 1
    agent.server(flow, flow_support.OPEN_ANSWER, sequence=100)
    agent.client(flow, data=b'request=a', acknowledged=101)
    agent.clock.advance(30)
    assert agent.held.oldest_age_ms() == 30
    _, _, took_ms = agent.server(flow, status=200, data=b'200', sequence=101)
    assert took_ms == 30
    assert agent.held.running == 0


def test_the_close_may_arrive_before_the_answer(agent):
    flow = flow_support.make_flow(1)
    agent.accept(flow)
    agent.client(flow, data=b'request=a', acknowledged=101)
    _, _, took_ms = agent.server(flow, flow_support.CLOSE, sequence=390)
    assert took_ms is None
    _, _, took_ms = agent.server(flow, status=200, sequence=101, data=b'200')
    assert took_ms is not None


def test_the_failure_rate_expires_without_requests(agent):
    for number in range(held_flows.MIN_RECENT_ANSWERS):
        agent.run(flow_support.make_flow(number), status=500)
    assert agent.held.failing_percent() == 100
    agent.clock.advance(held_flows.MAX_RECENT_ANSWER_AGE_MS + 1)
    assert agent.held.failing_percent() == 0


def test_resets_of_flows_of_a_former_process_are_no_failures(agent):
    for number in range(held_flows.MAX_RECENT_ANSWERS):
        flow = flow_support.make_flow(number)
        agent.client(flow, data=b'rest of a request', acknowledged=7)
        agent.server(flow, flow_support.RESET)
    assert agent.held.failing_percent() == 0
    assert agent.held.running == 0


def test_status_503_is_no_failure(agent):
    for number in range(held_flows.MAX_RECENT_ANSWERS):
        agent.run(flow_support.make_flow(number), status=503)
    assert agent.held.failing_percent() == 0


def test_only_the_server_that_the_client_talks_to_holds_the_flow(agent):
    flow = flow_support.make_flow(1)
    agent.accept(flow, sequence=100)

    def holding(acknowledged):
        return agent.held.holding(flow, acknowledged)

    assert holding(101) == flow_datagrams.Holding.YES
    assert holding(5_000_101) == flow_datagrams.Holding.NO


def test_an_agent_that_started_later_does_not_deny_a_flow():
    agent = AgentHarness(is_complete=False)
    flow = flow_support.make_flow(1)
    assert agent.held.holding(flow, 1) == flow_datagrams.Holding.UNKNOWN
    agent.clock.advance(MAX_AGE_MS)
    assert agent.held.holding(flow, 1) == flow_datagrams.Holding.NO


def test_a_returned_packet_of_a_held_flow_means_that_it_ended(agent):
    flow = flow_support.make_flow(1)
    agent.accept(flow, sequence=100)
    held, reason = agent.return_packet(flow, acknowledged=101, data=b'x')
    assert reason == flow_datagrams.DeclineReason.ENDED
    assert held.balancer == BALANCER


def test_a_returned_packet_of_an_unknown_flow_means_not_held(agent):
    flow = flow_support.make_flow(1)
    agent.client(flow, acknowledged=101, data=b'x')
    _, reason = agent.return_packet(flow, acknowledged=101, data=b'x')
    assert reason == flow_datagrams.DeclineReason.NOT_HELD


def test_a_returned_opening_packet_is_no_longer_running(agent):
    flow = flow_support.make_flow(1)
    agent.client(flow, flow_support.OPEN)
    _, reason = agent.return_packet(flow, flow_support.OPEN)
    assert reason == flow_datagrams.DeclineReason.UNAVAILABLE
    assert agent.held.running == 0


def test_unanswered_opening_packets_time_out(agent):
    flow = flow_support.make_flow(1)
    agent.client(flow, flow_support.OPEN)
    agent.clock.advance(held_flows.OPEN_ANSWER_TIMEOUT_MS - 1)
    assert agent.held.timed_out_openings() == []
    agent.clock.advance(1)
    assert [item[0] for item in agent.held.timed_out_openings()] == [flow]


def test_the_table_is_bounded():
    clock = flow_support.make_clock()
    held = held_flows.HeldFlows(
        clock, MAX_AGE_MS, is_complete=True, capacity=4
    )
    for number in range(10):
        data = FORMAT.make(flow_support.make_flow(number), flags=64)
        held.on_client_packet(FORMAT.read_from_client(data), data, BALANCER)
    assert len(held) == 4
    assert held.running == 4


def close(agent, flow):
    agent.client(flow, flow_support.CLOSE, acknowledged=101)
    agent.server(flow, flow_support.CLOSE, sequence=101)


def test_a_full_table_keeps_the_open_flows():
    """Guards review/2: ended flows displaced open ones, which were denied."""
    agent = AgentHarness(capacity=8)
    kept = [flow_support.make_flow(number) for number in range(4)]
    for flow in kept:
        agent.accept(flow)
    for number in range(10, 60):
        flow = flow_support.make_flow(number)
        agent.run(flow)
        close(agent, flow)
    for flow in kept:
        holding = agent.held.holding(flow, 101)
        assert holding == flow_datagrams.Holding.YES
    unknown = flow_support.make_flow(99)
    assert agent.held.holding(unknown, 1) == flow_datagrams.Holding.NO


def test_a_table_full_of_open_flows_denies_none():
    """Guards review/2: what a full table has lost is not known."""
    agent = AgentHarness(capacity=8)
    flows = [flow_support.make_flow(number) for number in range(12)]
    for flow in flows:
        agent.clock.advance(10)
        agent.accept(flow)
    assert len(agent.held) == 8
    assert agent.held.evicted_open_count == 4
    holdings = [agent.held.holding(flow, 101) for flow in flows]
    assert set(holdings[:4]) == {flow_datagrams.Holding.UNKNOWN}
    assert set(holdings[4:]) == {flow_datagrams.Holding.YES}
    # The evicted flows have reached their maximum age.
    agent.clock.advance(MAX_AGE_MS)
    assert agent.held.holding(flows[0], 101) == flow_datagrams.Holding.NO


@pytest.mark.parametrize('closes', ['client', 'server'])
def test_a_full_table_keeps_flows_that_one_side_has_closed(closes):
    agent = AgentHarness(capacity=8)
    half_closed = flow_support.make_flow(1)
    agent.accept(half_closed)
    if closes == 'client':
        agent.client(half_closed, flow_support.CLOSE, acknowledged=101)
    else:
        agent.server(half_closed, flow_support.CLOSE, sequence=101)
    for number in range(10, 40):
        flow = flow_support.make_flow(number)
        agent.accept(flow)
        close(agent, flow)
    holding = agent.held.holding(half_closed, 101)
    assert holding == flow_datagrams.Holding.YES


def test_a_late_copy_of_an_opening_packet_ends_no_half_closed_flow(agent):
    flow = flow_support.make_flow(1)
    agent.accept(flow)
    agent.server(flow, flow_support.CLOSE, sequence=101)
    agent.client(flow, flow_support.OPEN)
    assert agent.held.holding(flow, 101) == flow_datagrams.Holding.YES
    # The server takes it for a new flow of the same port.
    agent.server(flow, flow_support.OPEN_ANSWER, sequence=9_000)
    assert agent.held.holding(flow, 9_001) == flow_datagrams.Holding.YES
    assert agent.held.holding(flow, 101) == flow_datagrams.Holding.NO


def test_a_returned_copy_of_an_opening_packet_ends_no_open_flow(agent):
    flow = flow_support.make_flow(1)
    agent.accept(flow)
    agent.client(flow, flow_support.OPEN)
    agent.return_packet(flow, flow_support.OPEN)
    assert agent.held.holding(flow, 101) == flow_datagrams.Holding.YES


def test_a_flow_without_a_request_stops_counting_as_running(agent):
    agent.accept(flow_support.make_flow(1))
    assert agent.held.running == 1
    agent.clock.advance(held_flows.MAX_REQUEST_WAIT_MS + 1)
    assert agent.held.running == 0


def test_a_retransmitted_request_does_not_count_as_running(agent):
    flow = flow_support.make_flow(1)
    agent.run(flow)
    agent.client(flow, data=b'request=a', acknowledged=101)
    assert agent.held.running == 0
    agent.client(flow, sequence=9, data=b'request=b', acknowledged=101)
    assert agent.held.running == 1


def test_an_unanswered_request_stops_counting_as_running(agent):
    flow = flow_support.make_flow(1)
    agent.accept(flow)
    agent.client(flow, data=b'request=a', acknowledged=101)
    agent.clock.advance(held_flows.MAX_REQUEST_MS + 1)
    assert agent.held.running == 0
    assert agent.held.oldest_age_ms() == 0
