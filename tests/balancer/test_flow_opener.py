"""Guards which server gets an opening packet, when, and what is refused."""

import balancer_bed
import flow_support
import pytest

from kingcupport.balancer import flow_opener
from kingcupport.flows import opening_queue
from kingcupport.wire import flow_datagrams


@pytest.fixture
def balancer():
    return balancer_bed.BalancerBed()


FLOW = flow_support.make_flow(1)


def test_all_copies_of_an_opening_packet_go_to_one_server(balancer):
    data, ip = balancer.open(FLOW)
    balancer.client(FLOW, flow_support.OPEN, acknowledged=1)
    ((envelope, again),) = balancer.sent()
    assert again == ip
    assert envelope.service == 'gate'
    assert len(envelope.packet_data) == len(data)


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
    balancer.clock.advance(flow_opener.OPENING_TIMEOUT_MS)
    balancer.path.opener.check_openings()
    ((_, other),) = balancer.sent()
    assert other != ip


def test_an_accepted_flow_is_not_placed_again(balancer):
    _, ip = balancer.open(FLOW)
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    balancer.clock.advance(flow_opener.OPENING_TIMEOUT_MS)
    balancer.path.opener.check_openings()
    assert not balancer.sent()
    balancer.client(FLOW, acknowledged=5, data=b'x')
    assert [to for _, to in balancer.sent()] == [ip]


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
    balancer.path.opener.check_waiting()
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
    balancer.path.opener.check_waiting()
    balancer.path.opener.check_openings()
    assert not balancer.sent()
    assert not balancer.resets()


def test_an_opening_that_can_be_in_time_goes_to_a_queue(balancer):
    balancer.read(version=2, target_ms=500)
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    balancer.client(FLOW, flow_support.OPEN)
    balancer.clock.advance(opening_queue.MAX_WAIT_MS)
    balancer.path.opener.check_waiting()
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
    balancer.path.on_unreachable((ip, balancer_bed.AGENT_PORT))
    ((_, other),) = balancer.sent()
    assert other != ip


def test_a_closed_port_moves_no_accepted_flow(balancer):
    _, ip = balancer.open(FLOW)
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    balancer.path.on_unreachable((ip, balancer_bed.AGENT_PORT))
    assert not balancer.sent()


def test_a_busy_server_gives_the_flow_to_the_one_that_has_room(balancer):
    data, ip = balancer.open(FLOW)
    balancer.decline(ip, data, flow_datagrams.DeclineReason.BUSY)
    ((_, other),) = balancer.sent()
    assert other != ip
