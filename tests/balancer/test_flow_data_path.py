"""Guards where a balancer sends the packets of flows, and what it refuses."""

import flow_support
from hypothesis import given
from hypothesis import strategies
import pytest

from kingcupport.balancer import flow_counters
from kingcupport.balancer import flow_data_path
from kingcupport.balancer import flow_refusals
from kingcupport.balancer import flow_settings
from kingcupport.common import address
from kingcupport.flows import fleet_source
from kingcupport.flows import fleet_view
from kingcupport.flows import opening_queue
from kingcupport.observability import decision_log
from kingcupport.wire import flow_datagrams

FORMAT = flow_support.FORMAT
AGENT_PORT = 8172
OWN = address.Address('10.1.0.1', 8172)
PEER = address.Address('10.1.0.1', 7720)
PROBE = address.Address('10.1.0.1', 8167)


class Balancer:
    """A data path with what it has sent."""

    def __init__(self, servers=2, is_known=True):
        self.clock = flow_support.make_clock()
        self.view = fleet_view.make_fleet_view(self.clock)
        self.to_clients = []
        self.to_agents = []
        self.revision = 10
        self.sequence = 0
        self.counters = flow_counters.FlowCounters()
        self.path = flow_data_path.FlowDataPath(
            flow_settings.FlowBalancerSettings(
                'b0', 'dakar', OWN, PEER, PROBE, '/ready', AGENT_PORT
            ),
            self.clock,
            FORMAT,
            self.view,
            self.counters,
            decision_log.make_decision_log(self.clock),
            send_to_client=lambda data, to: self.to_clients.append((data, to)),
            send_to_agent=self._send_to_agent,
        )
        self.servers = [flow_support.make_server(i) for i in range(servers)]
        if is_known:
            self.read()

    def _send_to_agent(self, data, destination):
        assert destination[1] == AGENT_PORT
        self.to_agents.append((flow_datagrams.decode(data), destination[0]))

    def read(self, version=1, **routes):
        self.revision += 10
        reading = fleet_source.FleetReading(
            self.revision,
            True,
            configuration=flow_support.make_configuration(version, **routes),
            servers=self.servers,
        )
        self.view.apply_reading(reading, self.clock.monotonic_ms())
        for server in self.servers:
            self.report(server.ip)

    def report(self, ip, running=0, boot=1):
        self.sequence += 1
        report = flow_datagrams.LoadReport(
            boot, self.sequence, 'gate', running, 0, 0, False, False, True
        )
        self.path.on_agent_datagram(report, ip)

    def client(self, flow, flags=0, **fields):
        data = FORMAT.make(flow, flags=flags, **fields)
        self.path.on_client_datagram(data, None)
        return data

    def status(self, ip, flow, holding):
        self.path.on_agent_datagram(
            flow_datagrams.FlowStatus(flow, int(holding)), ip
        )

    def decline(self, ip, data, reason):
        self.path.on_agent_datagram(
            flow_datagrams.FlowDecline(int(reason), data), ip
        )

    def sent(self, kind=flow_datagrams.FlowEnvelope):
        found = [(d, ip) for d, ip in self.to_agents if isinstance(d, kind)]
        self.to_agents.clear()
        return found

    def open(self, flow):
        data = self.client(flow, flow_support.OPEN)
        ((_, ip),) = self.sent()
        return data, ip

    def resets(self):
        found = [FORMAT.read_from_server(data) for data, _ in self.to_clients]
        self.to_clients.clear()
        assert all(packet.is_reset for packet in found)
        return found


@pytest.fixture
def balancer():
    return Balancer()


FLOW = flow_support.make_flow(1)


def test_all_copies_of_an_opening_packet_go_to_one_server(balancer):
    data, ip = balancer.open(FLOW)
    balancer.client(FLOW, flow_support.OPEN, acknowledged=1)
    ((envelope, again),) = balancer.sent()
    assert again == ip
    assert envelope.service == 'gate'
    assert len(envelope.packet_data) == len(data)


def test_packets_of_one_service_never_reach_another():
    balancer = Balancer()
    balancer.servers.append(flow_support.make_server(7, 'audio'))
    balancer.read()
    for number in range(100):
        balancer.client(flow_support.make_flow(number), flow_support.OPEN)
    assert {e.service for e, _ in balancer.sent()} == {'gate'}
    balancer.client(
        flow_support.make_flow(500, flow_support.AUDIO), flow_support.OPEN
    )
    ((envelope, ip),) = balancer.sent()
    assert (envelope.service, ip) == ('audio', '10.0.0.7')


@pytest.mark.parametrize(
    'reason',
    [
        flow_datagrams.DeclineReason.UNAVAILABLE,
        flow_datagrams.DeclineReason.OTHER_SERVICE,
    ],
)
def test_a_declined_opening_packet_goes_to_the_next_server(balancer, reason):
    data, ip = balancer.open(FLOW)
    balancer.decline(ip, data, reason)
    ((envelope, other),) = balancer.sent()
    assert other != ip
    assert envelope.packet_data == data


def test_an_opening_packet_that_nobody_takes_is_refused_at_once(balancer):
    data, ip = balancer.open(FLOW)
    balancer.decline(ip, data, flow_datagrams.DeclineReason.UNAVAILABLE)
    ((_, other),) = balancer.sent()
    balancer.decline(other, data, flow_datagrams.DeclineReason.UNAVAILABLE)
    assert [packet.flow for packet in balancer.resets()] == [FLOW]


def test_an_agent_that_does_not_answer_is_replaced_after_100_ms(balancer):
    _, ip = balancer.open(FLOW)
    balancer.clock.advance(flow_data_path.OPENING_TIMEOUT_MS)
    balancer.path.check_openings()
    ((_, other),) = balancer.sent()
    assert other != ip


def test_an_accepted_flow_is_not_placed_again(balancer):
    _, ip = balancer.open(FLOW)
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    balancer.clock.advance(flow_data_path.OPENING_TIMEOUT_MS)
    balancer.path.check_openings()
    assert not balancer.sent()
    balancer.client(FLOW, acknowledged=5, data=b'x')
    assert [to for _, to in balancer.sent()] == [ip]


def test_a_draining_server_keeps_its_flows_and_gets_no_new_ones(balancer):
    _, ip = balancer.open(FLOW)
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    number = int(ip.rpartition('.')[2])
    balancer.servers[number] = flow_support.make_server(
        number, is_draining=True, revision=50
    )
    balancer.read()
    balancer.client(FLOW, data=b'x')
    assert [to for _, to in balancer.sent()] == [ip]
    for n in range(2, 40):
        balancer.client(flow_support.make_flow(n), flow_support.OPEN)
    assert ip not in {to for _, to in balancer.sent()}


def test_openings_wait_while_all_servers_have_one_flow_ahead(balancer):
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    balancer.client(FLOW, flow_support.OPEN)
    assert not balancer.sent()
    balancer.client(FLOW, flow_support.OPEN, acknowledged=1)
    assert not balancer.sent()
    balancer.report('10.0.0.1', running=0)
    ((_, ip),) = balancer.sent()
    assert ip == '10.0.0.1'


def test_an_old_copy_leaves_the_place_ahead_to_new_flows(balancer):
    """After an outage copies of old openings arrive with new flows."""
    for server in balancer.servers:
        balancer.report(server.ip, running=1)
    balancer.client(FLOW, flow_support.OPEN, acknowledged=600)
    assert not balancer.sent()
    other = balancer.client(flow_support.make_flow(2), flow_support.OPEN)
    assert [e.packet_data for e, _ in balancer.sent()] == [other]


def test_a_new_flow_is_placed_before_an_old_copy(balancer):
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    copy = balancer.client(FLOW, flow_support.OPEN, acknowledged=200)
    new = balancer.client(flow_support.make_flow(2), flow_support.OPEN)
    balancer.report('10.0.0.1', running=0)
    assert [e.packet_data for e, _ in balancer.sent()] == [new]
    balancer.report('10.0.0.0', running=0)
    assert [e.packet_data for e, _ in balancer.sent()] == [copy]


def test_a_flow_that_a_busy_server_gives_back_keeps_its_age(balancer):
    data, ip = balancer.open(FLOW)
    balancer.clock.advance(100)
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    balancer.decline(ip, data, flow_datagrams.DeclineReason.BUSY)
    new = balancer.client(flow_support.make_flow(2), flow_support.OPEN)
    balancer.clock.advance(50)
    balancer.report('10.0.0.1', running=0)
    assert [e.packet_data for e, _ in balancer.sent()] == [new]


def test_a_late_opening_waits_no_longer_than_200_ms(balancer):
    """It is refused then: the queues of busy servers only grow by it."""
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    balancer.client(FLOW, flow_support.OPEN)
    balancer.clock.advance(opening_queue.MAX_WAIT_MS)
    balancer.path.check_waiting()
    assert not balancer.sent()
    assert [packet.flow for packet in balancer.resets()] == [FLOW]


def test_a_waiting_copy_of_a_flow_that_was_found_is_dropped(balancer):
    """A balancer that was paused reads a copy after the flow's data."""
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    balancer.client(FLOW, flow_support.OPEN)
    other = balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.status('10.0.0.0', FLOW, flow_datagrams.Holding.NO)
    balancer.status('10.0.0.1', FLOW, flow_datagrams.Holding.YES)
    assert [e.packet_data for e, _ in balancer.sent()] == [other]
    balancer.report('10.0.0.0', running=0)
    balancer.clock.advance(opening_queue.MAX_WAIT_MS)
    balancer.path.check_waiting()
    balancer.path.check_openings()
    assert not balancer.sent()
    assert not balancer.resets()


def test_an_opening_that_can_be_in_time_goes_to_a_queue(balancer):
    balancer.read(version=2, target_ms=500)
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    balancer.client(FLOW, flow_support.OPEN)
    balancer.clock.advance(opening_queue.MAX_WAIT_MS)
    balancer.path.check_waiting()
    assert len(balancer.sent()) == 1
    assert not balancer.resets()


def test_an_opening_is_refused_at_once_when_too_many_wait(balancer):
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    for n in range(opening_queue.MAX_WAITING):
        balancer.client(flow_support.make_flow(n), flow_support.OPEN)
    assert not balancer.resets()
    flow = flow_support.make_flow(opening_queue.MAX_WAITING)
    balancer.client(flow, flow_support.OPEN)
    assert [packet.flow for packet in balancer.resets()] == [flow]


def test_a_closed_port_lets_its_openings_go_elsewhere_at_once(balancer):
    _, ip = balancer.open(FLOW)
    balancer.path.on_unreachable((ip, AGENT_PORT))
    ((_, other),) = balancer.sent()
    assert other != ip


def test_a_closed_port_moves_no_accepted_flow(balancer):
    _, ip = balancer.open(FLOW)
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    balancer.path.on_unreachable((ip, AGENT_PORT))
    assert not balancer.sent()


def test_a_busy_server_gives_the_flow_to_the_one_that_has_room(balancer):
    data, ip = balancer.open(FLOW)
    balancer.decline(ip, data, flow_datagrams.DeclineReason.BUSY)
    ((_, other),) = balancer.sent()
    assert other != ip


def test_an_unknown_flow_is_found_and_its_packets_follow(balancer):
    first = balancer.client(FLOW, acknowledged=5, data=b'x')
    asked = balancer.sent(flow_datagrams.FlowQuery)
    assert {ip for _, ip in asked} == {'10.0.0.0', '10.0.0.1'}
    second = balancer.client(FLOW, acknowledged=5, data=b'y')
    balancer.status('10.0.0.0', FLOW, flow_datagrams.Holding.NO)
    balancer.status('10.0.0.1', FLOW, flow_datagrams.Holding.YES)
    sent = balancer.sent()
    assert [e.packet_data for e, _ in sent] == [first, second]
    assert {ip for _, ip in sent} == {'10.0.0.1'}


def test_a_flow_that_no_server_holds_is_reset(balancer):
    balancer.client(FLOW, acknowledged=5, data=b'x')
    for ip in ('10.0.0.0', '10.0.0.1'):
        balancer.status(ip, FLOW, flow_datagrams.Holding.NO)
    (reset,) = balancer.resets()
    assert reset.sequence == 5


@pytest.mark.parametrize('answers', [0, 1])
def test_a_flow_is_not_reset_while_an_agent_is_silent(balancer, answers):
    balancer.client(FLOW, acknowledged=5, data=b'x')
    for number in range(answers):
        balancer.status(f'10.0.0.{number}', FLOW, flow_datagrams.Holding.NO)
    balancer.clock.advance(1_000)
    balancer.path.finder.check()
    assert not balancer.resets()


def test_a_flow_is_not_reset_with_an_old_view(balancer):
    balancer.clock.advance(flow_refusals.FRESH_VIEW_MS + 1)
    balancer.client(FLOW, acknowledged=5, data=b'x')
    for ip in ('10.0.0.0', '10.0.0.1'):
        balancer.status(ip, FLOW, flow_datagrams.Holding.NO)
    assert not balancer.resets()


def test_an_agent_that_does_not_know_is_asked_with_the_packet(balancer):
    data = balancer.client(FLOW, acknowledged=5, data=b'x')
    for ip in ('10.0.0.0', '10.0.0.1'):
        balancer.status(ip, FLOW, flow_datagrams.Holding.UNKNOWN)
    ((probe, ip),) = balancer.sent()
    assert probe.packet_data == data
    balancer.decline(ip, data, flow_datagrams.DeclineReason.NOT_HELD)
    ((_, other),) = balancer.sent()
    assert other != ip
    balancer.decline(other, data, flow_datagrams.DeclineReason.NOT_HELD)
    assert len(balancer.resets()) == 1


def test_a_flow_that_its_server_has_lost_is_reset(balancer):
    _, ip = balancer.open(FLOW)
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    data = balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.sent()
    balancer.decline(ip, data, flow_datagrams.DeclineReason.ENDED)
    assert len(balancer.resets()) == 1


def test_a_flow_is_searched_when_its_server_does_not_hold_it(balancer):
    _, ip = balancer.open(FLOW)
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    data = balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.sent()
    balancer.decline(ip, data, flow_datagrams.DeclineReason.NOT_HELD)
    assert not balancer.resets()
    ((_, asked),) = balancer.sent(flow_datagrams.FlowQuery)
    assert asked != ip


def test_a_flow_of_a_server_whose_address_was_reused_is_reset(balancer):
    _, ip = balancer.open(FLOW)
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    number = int(ip.rpartition('.')[2])
    balancer.servers[number] = flow_support.make_server(
        9, 'audio', ip=ip, boot_utc_ms=2000, revision=60
    )
    balancer.read()
    balancer.client(FLOW, acknowledged=5, data=b'x')
    assert not balancer.sent()
    assert len(balancer.resets()) == 1


def test_an_unknown_route_is_refused_with_a_fresh_view_only(balancer):
    flow = flow_support.make_flow(1, ('198.18.0.9', 1))
    balancer.client(flow, flow_support.OPEN)
    assert len(balancer.resets()) == 1
    balancer.clock.advance(flow_refusals.FRESH_VIEW_MS + 1)
    balancer.client(flow, flow_support.OPEN)
    assert not balancer.resets()


def test_a_dropped_route_ends_at_the_next_request(balancer):
    _, ip = balancer.open(FLOW)
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    balancer.read(version=2, addresses=((flow_support.AUDIO, 'audio'),))
    balancer.client(FLOW, acknowledged=5)
    assert [to for _, to in balancer.sent()] == [ip]
    balancer.client(FLOW, acknowledged=5, data=b'next request')
    assert not balancer.sent()
    assert len(balancer.resets()) == 1


def test_packets_before_the_first_view_wait_for_it():
    balancer = Balancer(is_known=False)
    balancer.client(FLOW, flow_support.OPEN)
    assert not balancer.sent()
    balancer.read()
    balancer.path.handle_early_packets()
    assert len(balancer.sent()) == 1


def test_malformed_datagrams_are_counted(balancer):
    for data in (b'', b'\xff' * 40):
        balancer.path.on_client_datagram(data, None)
    assert balancer.counters.packets_malformed == 2
    assert not balancer.sent()


def test_an_unknown_reason_of_a_decline_is_counted(balancer):
    data, ip = balancer.open(FLOW)
    balancer.decline(ip, data, 99)
    assert balancer.counters.packets_malformed == 1
    assert not balancer.sent()


@given(
    datagram=strategies.builds(
        flow_datagrams.FlowDecline,
        strategies.integers(-1, 9),
        strategies.binary(max_size=60),
    )
    | strategies.builds(
        flow_datagrams.FlowStatus,
        strategies.binary(max_size=20),
        strategies.integers(-1, 9),
    )
    | strategies.builds(
        flow_datagrams.LoadReport,
        *[strategies.integers()] * 2,
        strategies.text(max_size=5),
        *[strategies.integers()] * 3,
        *[strategies.booleans()] * 3,
    )
)
def test_any_datagram_of_an_agent_ends_nothing(datagram):
    balancer = Balancer()
    balancer.path.on_agent_datagram(datagram, '10.0.0.1')
    balancer.client(FLOW, flow_support.OPEN)
    assert balancer.sent() or datagram.datagram_code == 5
