"""Tests how an agent handles the packets of flows."""

import random

import flow_support
from hypothesis import given
from hypothesis import strategies
import pytest

from kingcupport.agent import flow_counters
from kingcupport.agent import flow_data_path
from kingcupport.agent import flow_settings
from kingcupport.common import address
from kingcupport.observability import decision_log
from kingcupport.wire import flow_datagrams

FORMAT = flow_support.FORMAT
BALANCER = ('10.1.0.1', 7720)
SERVER = address.Address('10.0.0.1', 8645)
FLOW = flow_support.make_flow(1)


class Agent:
    """A FlowDataPath that records the datagrams it sends."""

    def __init__(self, *, is_first_start=True, features=()):
        self.clock = flow_support.make_clock()
        self.to_server = []
        self.to_clients = []
        self.to_balancers = []
        own = address.Address('10.0.0.1', 8172)
        self.path = flow_data_path.FlowDataPath(
            flow_settings.FlowAgentSettings(
                'a0',
                'gate',
                own,
                own,
                SERVER,
                own,
                '/',
                is_first_start,
                features=frozenset(features),
            ),
            self.clock,
            random.Random(1),
            FORMAT,
            flow_counters.FlowCounters(),
            decision_log.make_decision_log(self.clock),
            send_to_server=lambda data, to: self.to_server.append(data),
            send_to_client=lambda data, to: self.to_clients.append((data, to)),
            send_to_balancer=self._send_to_balancer,
            on_pending=lambda: None,
        )

    def _send_to_balancer(self, data, destination):
        self.to_balancers.append((flow_datagrams.decode(data), destination))

    def deliver(self, data, service='gate', slot_limit=0, source=BALANCER):
        envelope = flow_datagrams.FlowEnvelope(service, slot_limit, data)
        self.path.on_balancer_datagram(flow_datagrams.encode(envelope), source)

    def greet(self, balancers=1, interval_ms=500):
        greeting = flow_datagrams.encode(
            flow_datagrams.AgentGreeting('b', interval_ms)
        )
        for number in range(balancers):
            self.path.on_balancer_datagram(
                greeting, (f'10.9.0.{number}', 7720)
            )

    def server(self, data):
        self.path.on_server_datagram(data, SERVER.as_tuple())

    def sent(self, kind):
        found = [d for d, _ in self.to_balancers if isinstance(d, kind)]
        self.to_balancers.clear()
        return found


@pytest.fixture
def agent():
    return Agent()


def test_every_balancer_learns_that_the_server_holds_a_flow(agent):
    """Includes a balancer that sends a duplicate of the opening packet."""
    agent.deliver(FORMAT.make(FLOW, flags=flow_support.OPEN))
    agent.server(
        FORMAT.make(FLOW, from_client=False, flags=flow_support.OPEN_ANSWER)
    )
    agent.to_balancers.clear()
    other = ('10.1.0.2', 7720)
    agent.deliver(FORMAT.make(FLOW, flags=flow_support.OPEN), source=other)
    ((status, to),) = [
        (d, to)
        for d, to in agent.to_balancers
        if isinstance(d, flow_datagrams.FlowStatus)
    ]
    assert to == other
    assert status.holding == flow_datagrams.Holding.YES


@given(
    flags=strategies.integers(0, 127),
    payload=strategies.binary(max_size=1_200),
)
def test_a_packet_reaches_the_server_as_the_client_sent_it(flags, payload):
    agent = Agent()
    data = FORMAT.make(FLOW, flags=flags, data=payload)
    agent.deliver(data)
    assert agent.to_server == [data]


@given(payload=strategies.binary(max_size=1_200))
def test_a_bounced_packet_goes_back_whole(payload):
    agent = Agent()
    data = FORMAT.make(FLOW, acknowledged=9, data=payload)
    agent.deliver(data)
    agent.server(FORMAT.bounce(data))
    (decline,) = agent.sent(flow_datagrams.FlowDecline)
    assert decline.packet_data == data
    assert not agent.to_clients


@given(payload=strategies.binary(max_size=1_200))
def test_an_answer_reaches_the_client_unchanged(payload):
    agent = Agent()
    data = FORMAT.make(FLOW, from_client=False, data=payload)
    agent.server(data)
    assert agent.to_clients == [(data, FORMAT.client_address(FLOW))]


def send_to_agent(agent, datagram, source=BALANCER):
    agent.path.on_balancer_datagram(flow_datagrams.encode(datagram), source)


def test_a_search_probes_all_agents_and_reports_one_result(agent):
    data = FORMAT.make(FLOW, acknowledged=9, data=b'x')
    ips = ['10.0.0.1', '10.0.0.2']
    send_to_agent(agent, flow_datagrams.FlowSearch(3, ips, data))
    probes = [(d.packet_data, to) for d, to in agent.to_balancers]
    assert sorted(probes) == [(data, (ip, 8172)) for ip in ips]
    agent.to_balancers.clear()
    status = flow_datagrams.FlowStatus(FLOW, int(flow_datagrams.Holding.NO))
    for ip in ips:
        send_to_agent(agent, status, source=(ip, 8172))
    ((result, to),) = agent.to_balancers
    assert to == BALANCER
    assert result == flow_datagrams.FlowSearchResult(FLOW, 3, '', [])


def test_a_search_without_all_answers_ends(agent):
    data = FORMAT.make(FLOW, acknowledged=9, data=b'x')
    search = flow_datagrams.FlowSearch(3, ['10.0.0.2'], data)
    send_to_agent(agent, search)
    assert agent.path.has_pending
    agent.clock.advance(100)
    agent.path.check_pending()
    (result,) = agent.sent(flow_datagrams.FlowSearchResult)
    assert result.unanswered_ips == ['10.0.0.2']
    assert not agent.path.has_pending


def test_a_probe_of_an_unknown_flow_is_answered_by_the_server():
    agent = Agent(is_first_start=False)
    data = FORMAT.make(FLOW, acknowledged=9, data=b'x')
    send_to_agent(agent, flow_datagrams.FlowProbe(data))
    assert agent.to_server == [data]
    assert agent.path.held_flows.running == 0
    agent.server(FORMAT.bounce(data))
    (status,) = agent.sent(flow_datagrams.FlowStatus)
    assert status.holding == flow_datagrams.Holding.NO
    send_to_agent(agent, flow_datagrams.FlowProbe(data))
    assert agent.path.held_flows.running == 0
    agent.server(FORMAT.make(FLOW, from_client=False, data=b'200'))
    (status,) = agent.sent(flow_datagrams.FlowStatus)
    assert status.holding == flow_datagrams.Holding.YES


def test_a_probe_is_answered_at_once_by_an_agent_that_knows(agent):
    data = FORMAT.make(FLOW, acknowledged=9, data=b'x')
    send_to_agent(agent, flow_datagrams.FlowProbe(data))
    assert not agent.to_server
    (status,) = agent.sent(flow_datagrams.FlowStatus)
    assert status.holding == flow_datagrams.Holding.NO


def test_packets_of_another_service_are_given_back(agent):
    data = FORMAT.make(FLOW, flags=flow_support.OPEN)
    agent.deliver(data, service='audio')
    assert not agent.to_server
    (decline,) = agent.sent(flow_datagrams.FlowDecline)
    assert decline.reason == flow_datagrams.DeclineReason.OTHER_SERVICE


@pytest.mark.parametrize('is_first_start', [True, False])
def test_open_flow_is_kept_whatever_service_its_balancer_names(is_first_start):
    """Guards review/1: the service came from another writer's entry."""
    agent = Agent(is_first_start=is_first_start)
    agent.deliver(FORMAT.make(FLOW, flags=flow_support.OPEN))
    agent.server(
        FORMAT.make(
            FLOW,
            from_client=False,
            flags=flow_support.OPEN_ANSWER,
            sequence=100,
        )
    )
    agent.to_server.clear()
    data = FORMAT.make(FLOW, acknowledged=101, data=b'x')
    agent.deliver(data, service='printing')
    assert agent.to_server == [data]
    assert not agent.sent(flow_datagrams.FlowDecline)


def test_unknown_flow_of_another_service_is_denied_without_the_server(agent):
    data = FORMAT.make(FLOW, acknowledged=101, data=b'x')
    agent.deliver(data, service='audio')
    assert not agent.to_server
    (decline,) = agent.sent(flow_datagrams.FlowDecline)
    assert decline.reason == flow_datagrams.DeclineReason.NOT_HELD


def test_a_busy_server_gives_opening_packets_back(agent):
    agent.deliver(FORMAT.make(FLOW, flags=flow_support.OPEN), slot_limit=1)
    other = FORMAT.make(flow_support.make_flow(2), flags=flow_support.OPEN)
    agent.deliver(other, slot_limit=1)
    (decline,) = agent.sent(flow_datagrams.FlowDecline)
    assert decline.reason == flow_datagrams.DeclineReason.BUSY
    assert decline.packet_data == other
    agent.deliver(other, slot_limit=0)
    assert len(agent.to_server) == 2


def test_a_server_that_does_not_answer_is_silent_for_a_while(agent):
    data = FORMAT.make(FLOW, flags=flow_support.OPEN)
    agent.deliver(data)
    agent.clock.advance(100)
    agent.path.check_pending()
    (decline,) = agent.sent(flow_datagrams.FlowDecline)
    assert decline.packet_data == data
    other = FORMAT.make(flow_support.make_flow(2), flags=flow_support.OPEN)
    agent.deliver(other)
    assert len(agent.to_server) == 1
    agent.clock.advance(flow_data_path.SILENT_SERVER_RETRY_MS)
    agent.path.check_pending()
    agent.deliver(other)
    assert len(agent.to_server) == 2


def test_a_leaving_agent_takes_no_new_flows_and_keeps_the_others(agent):
    agent.deliver(FORMAT.make(FLOW, flags=flow_support.OPEN))
    agent.path.start_leaving()
    agent.deliver(FORMAT.make(flow_support.make_flow(2), flags=64))
    agent.deliver(FORMAT.make(FLOW, data=b'x'))
    assert len(agent.to_server) == 2


def test_the_balancer_learns_that_its_flow_was_accepted(agent):
    agent.deliver(FORMAT.make(FLOW, flags=flow_support.OPEN))
    agent.server(
        FORMAT.make(FLOW, from_client=False, flags=flow_support.OPEN_ANSWER)
    )
    (status,) = agent.sent(flow_datagrams.FlowStatus)
    assert status.holding == flow_datagrams.Holding.YES


@pytest.mark.parametrize(
    ('balancers', 'opening_reports', 'closing_reports'),
    [
        (flow_data_path.EXACT_SUBSCRIBERS,) * 3,
        (
            59,
            flow_data_path.EXACT_SUBSCRIBERS,
            # The balancer of the flow does not greet in this test.
            flow_data_path.EXACT_SUBSCRIBERS + flow_data_path.REPORT_FANOUT,
        ),
    ],
)
def test_reports_of_a_change_are_bounded(
    agent, balancers, opening_reports, closing_reports
):
    agent.greet(balancers)
    agent.to_balancers.clear()
    agent.deliver(FORMAT.make(FLOW, flags=flow_support.OPEN))
    reports = agent.sent(flow_datagrams.LoadReport)
    assert len(reports) == opening_reports
    agent.server(FORMAT.make(FLOW, from_client=False, flags=1))
    reports = agent.sent(flow_datagrams.LoadReport)
    assert len(reports) == closing_reports
    assert all(report.running == 0 for report in reports)


def test_some_balancers_are_told_every_change(agent):
    """They know that they are; the choice lasts while they greet."""
    agent.greet(59)
    agent.to_balancers.clear()
    told = []
    for number in range(2, 6):
        flow = flow_support.make_flow(number)
        agent.deliver(FORMAT.make(flow, flags=flow_support.OPEN))
        told.append({to for d, to in agent.to_balancers if d.is_exact})
        agent.to_balancers.clear()
    assert len(told[0]) == flow_data_path.EXACT_SUBSCRIBERS
    assert all(addresses == told[0] for addresses in told)
    agent.greet(59)
    exact = {to for d, to in agent.to_balancers if d.is_exact}
    assert exact == told[0]


def test_balancers_that_no_longer_greet_get_no_reports(agent):
    agent.greet()
    agent.clock.advance(60_000)
    agent.to_balancers.clear()
    agent.deliver(FORMAT.make(FLOW, flags=flow_support.OPEN))
    assert not agent.sent(flow_datagrams.LoadReport)


@given(data=strategies.binary(max_size=200))
def test_random_datagrams_end_nothing(data):
    agent = Agent()
    agent.path.on_balancer_datagram(data, BALANCER)
    agent.path.on_server_datagram(data, SERVER.as_tuple())
    assert agent.path.held_flows.running <= 1


def make_pacing_agent():
    return Agent(features=('server_pace',))


def open_flow(agent, number, slot_limit=2):
    """Open a flow and return whether the agent passed it on."""
    flow = flow_support.make_flow(number)
    data = FORMAT.make(flow, flags=flow_support.OPEN)
    before = len(agent.to_server)
    agent.deliver(data, slot_limit=slot_limit)
    if len(agent.to_server) == before:
        return False
    agent.server(
        FORMAT.make(
            flow,
            from_client=False,
            flags=flow_support.OPEN_ANSWER,
            sequence=100,
        )
    )
    return True


def run_request(agent, number, took_ms=50, status=b'200', sequence=1):
    """Send a request on an open flow and answer it."""
    flow = flow_support.make_flow(number)
    agent.deliver(
        FORMAT.make(flow, acknowledged=101, sequence=sequence, data=b'x')
    )
    agent.clock.advance(took_ms)
    agent.server(
        FORMAT.make(flow, from_client=False, sequence=101, data=status)
    )


def serve(agent, number, **options):
    assert open_flow(agent, number)
    run_request(agent, number, **options)


def test_greeting_is_answered_with_the_pace_only_with_the_feature(agent):
    """Guards the messages of a fleet without the feature."""
    agent.greet()
    assert not agent.sent(flow_datagrams.PaceReport)
    pacing = make_pacing_agent()
    for number in range(2, 10):
        serve(pacing, number)
    pacing.sent(flow_datagrams.PaceReport)
    pacing.greet()
    (report,) = pacing.sent(flow_datagrams.PaceReport)
    assert (report.service_time_ms, report.samples) == (50, 8)
    assert report.openings_allowed == -1


def test_every_request_of_a_long_flow_is_measured():
    """Guards against counting flows where clients send many requests."""
    agent = make_pacing_agent()
    assert open_flow(agent, 2)
    for sequence in range(1, 9):
        run_request(agent, 2, sequence=sequence)
    assert agent.path.held_flows.service_time.sample_count == 8


def test_change_of_the_pace_is_reported_to_all_balancers_once():
    """Guards the bound on messages: one for each change and balancer."""
    agent = make_pacing_agent()
    for number in range(2, 40):
        serve(agent, number)
    agent.greet(19, interval_ms=60_000)
    agent.sent(flow_datagrams.PaceReport)
    for number in range(40, 80):
        serve(agent, number)
    assert not agent.sent(flow_datagrams.PaceReport)
    for number in range(80, 120):
        serve(agent, number, took_ms=100)
    reports = agent.sent(flow_datagrams.PaceReport)
    assert 19 <= len(reports) <= 3 * 19


def test_started_server_gets_no_queue_until_its_first_answer():
    """Guards against queues in front of a server of unknown speed."""
    agent = make_pacing_agent()
    assert open_flow(agent, 2, slot_limit=2)
    assert open_flow(agent, 3, slot_limit=3)
    assert not open_flow(agent, 4, slot_limit=3)
    run_request(agent, 2)
    assert open_flow(agent, 5, slot_limit=3)
    assert open_flow(agent, 6, slot_limit=3)


def test_failing_server_gets_single_attempts_and_recovers():
    """Guards against a server that fails fast and so looks idle."""
    agent = make_pacing_agent()
    for number in range(2, 6):
        serve(agent, number)
    number = 10
    while agent.path.openings_allowed:
        serve(agent, number, took_ms=1, status=b'500')
        number += 1
        assert number < 20
    assert open_flow(agent, 30)
    run_request(agent, 30, took_ms=1, status=b'500')
    assert not open_flow(agent, 31)
    agent.clock.advance(250)
    assert open_flow(agent, 32)
    run_request(agent, 32)
    assert agent.path.openings_allowed == 1
    serve(agent, 33)
    assert agent.path.openings_allowed == 2
    serve(agent, 34)
    assert agent.path.openings_allowed == -1
    assert agent.path.held_flows.service_time.median_ms() == 50


def test_silent_server_is_tried_after_250_ms_with_its_slots():
    """Guards against a second without an attempt, and against a burst."""
    agent = make_pacing_agent()
    serve(agent, 2)
    agent.clock.advance(1)
    agent.deliver(
        FORMAT.make(flow_support.make_flow(3), flags=flow_support.OPEN),
        slot_limit=2,
    )
    agent.clock.advance(100)
    agent.path.check_pending()
    assert not open_flow(agent, 4)
    agent.clock.advance(flow_data_path.SLOW_START_RETRY_MS)
    agent.path.check_pending()
    assert open_flow(agent, 5)
    assert open_flow(agent, 6)
    assert not open_flow(agent, 7, slot_limit=3)


def test_restarted_server_loses_its_pace():
    """Guards against ranking a new server by the speed of the former one."""
    agent = make_pacing_agent()
    for number in range(2, 10):
        serve(agent, number)
    data = FORMAT.make(flow_support.make_flow(2), acknowledged=101, data=b'y')
    agent.deliver(data)
    agent.server(FORMAT.bounce(data))
    assert agent.path.held_flows.service_time.sample_count == 0
    assert agent.path.slow_start.is_active
