"""Tests the placement, queueing and refusal of new flows."""

import balancer_harness
import flow_support
import pytest

from kingcupport.balancer import flow_opener
from kingcupport.flows import admission
from kingcupport.flows import opening_queue
from kingcupport.wire import flow_datagrams


@pytest.fixture
def balancer():
    return balancer_harness.BalancerHarness()


FLOW = flow_support.make_flow(1)
# For a route without a configured timeout.
MAX_AGE_MS = (
    opening_queue.MAX_AGE_TIMEOUT_SHARE * opening_queue.DEFAULT_TIMEOUT_MS
)


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


def test_an_opening_packet_that_all_servers_decline_is_refused(balancer):
    data, ip = balancer.open(FLOW)
    balancer.decline(ip, data, flow_datagrams.DeclineReason.UNAVAILABLE)
    ((_, other),) = balancer.sent()
    balancer.decline(other, data, flow_datagrams.DeclineReason.UNAVAILABLE)
    assert [packet.flow for packet in balancer.resets()] == [FLOW]


def test_an_opening_without_an_answer_moves_after_100_ms(balancer):
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


def test_a_flow_whose_client_continues_is_not_placed_again(balancer):
    """The status of the agent is lost, but the client got the answer."""
    _, ip = balancer.open(FLOW)
    balancer.client(FLOW, acknowledged=5, data=b'x')
    assert [to for _, to in balancer.sent()] == [ip]
    balancer.clock.advance(flow_opener.OPENING_TIMEOUT_MS)
    balancer.path.opener.check_openings()
    assert not balancer.sent()
    balancer.client(FLOW, acknowledged=5, data=b'x')
    assert [to for _, to in balancer.sent()] == [ip]


def test_openings_wait_while_the_queues_of_all_servers_are_full(balancer):
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    balancer.client(FLOW, flow_support.OPEN)
    assert not balancer.sent()
    balancer.client(FLOW, flow_support.OPEN, acknowledged=1)
    assert not balancer.sent()
    balancer.report('10.0.0.1', running=0)
    ((_, ip),) = balancer.sent()
    assert ip == '10.0.0.1'


def test_a_late_copy_leaves_the_queue_of_a_server_to_new_flows(balancer):
    """A late flow is not queued at a busy server; a new flow is.

    After an outage, copies of old openings arrive together with new flows.
    """
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


def test_a_flow_that_a_busy_server_declines_keeps_its_age(balancer):
    data, ip = balancer.open(FLOW)
    balancer.clock.advance(100)
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    balancer.decline(ip, data, flow_datagrams.DeclineReason.BUSY)
    new = balancer.client(flow_support.make_flow(2), flow_support.OPEN)
    balancer.clock.advance(50)
    balancer.report('10.0.0.1', running=0)
    assert [e.packet_data for e, _ in balancer.sent()] == [new]


def test_a_late_opening_is_refused_before_its_client_gives_up(balancer):
    """A late opening is refused instead of queued at a busy server."""
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    balancer.client(FLOW, flow_support.OPEN)
    balancer.clock.advance(MAX_AGE_MS - 1)
    balancer.path.opener.check_waiting()
    assert not balancer.resets()
    balancer.clock.advance(1)
    balancer.path.opener.check_waiting()
    assert not balancer.sent()
    assert [packet.flow for packet in balancer.resets()] == [FLOW]


def test_a_late_flow_leaves_room_to_timely_flows_of_other_balancers(balancer):
    """A late flow is sent to a server with room only after a pause."""
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    balancer.client(FLOW, flow_support.OPEN, acknowledged=600)
    balancer.is_holding_calls = True
    balancer.report('10.0.0.1', running=0)
    assert not balancer.sent()
    flow = flow_support.make_flow(2)
    new = balancer.client(flow, flow_support.OPEN)
    assert [e.packet_data for e, _ in balancer.sent()] == [new]
    balancer.status('10.0.0.1', flow, flow_datagrams.Holding.YES)
    balancer.report('10.0.0.1', running=0)
    balancer.make_held_calls()
    assert [ip for _, ip in balancer.sent()] == ['10.0.0.1']


def test_a_flow_that_busy_servers_decline_does_not_wait_anew(balancer):
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    data = balancer.client(FLOW, flow_support.OPEN)
    for _ in range(3):
        balancer.clock.advance(MAX_AGE_MS / 4)
        balancer.report('10.0.0.1', running=0)
        ((_, ip),) = balancer.sent()
        for server in balancer.servers:
            balancer.report(server.ip, running=2)
        balancer.decline(ip, data, flow_datagrams.DeclineReason.BUSY)
    balancer.clock.advance(MAX_AGE_MS / 4)
    balancer.path.opener.check_waiting()
    assert [packet.flow for packet in balancer.resets()] == [FLOW]


def test_a_waiting_copy_of_a_flow_that_was_found_is_dropped(balancer):
    """A copy of an opening is dropped once the flow's server is known.

    A balancer that was paused may read a copy of an opening packet and then
    data of the flow, by which it finds the server.
    """
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    balancer.client(FLOW, flow_support.OPEN)
    other = balancer.client(FLOW, acknowledged=5, data=b'x')
    ((search, _),) = balancer.sent(flow_datagrams.FlowSearch)
    balancer.result(search, holder_ip='10.0.0.1')
    assert [e.packet_data for e, _ in balancer.sent()] == [other]
    balancer.report('10.0.0.0', running=0)
    balancer.clock.advance(MAX_AGE_MS)
    balancer.path.opener.check_waiting()
    balancer.path.opener.check_openings()
    assert not balancer.sent()
    assert not balancer.resets()


def test_an_opening_that_can_be_in_time_queues_at_a_server(balancer):
    balancer.read(version=2, target_ms=3 * MAX_AGE_MS)
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    balancer.client(FLOW, flow_support.OPEN)
    balancer.clock.advance(MAX_AGE_MS)
    balancer.path.opener.check_waiting()
    assert len(balancer.sent()) == 1
    assert not balancer.resets()


def test_an_opening_is_refused_at_once_when_too_many_wait(balancer):
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    for n in range(admission.DEFAULT_PLACES):
        balancer.client(flow_support.make_flow(n), flow_support.OPEN)
    assert not balancer.resets()
    flow = flow_support.make_flow(admission.DEFAULT_PLACES)
    balancer.client(flow, flow_support.OPEN)
    assert [packet.flow for packet in balancer.resets()] == [flow]


def test_openings_of_an_unreachable_agent_move_at_once(balancer):
    _, ip = balancer.open(FLOW)
    balancer.path.on_unreachable((ip, balancer_harness.AGENT_PORT))
    ((_, other),) = balancer.sent()
    assert other != ip


def test_accepted_flows_of_an_unreachable_agent_do_not_move(balancer):
    _, ip = balancer.open(FLOW)
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    balancer.path.on_unreachable((ip, balancer_harness.AGENT_PORT))
    assert not balancer.sent()


def test_a_flow_that_a_busy_server_declines_goes_to_an_idle_one(balancer):
    data, ip = balancer.open(FLOW)
    balancer.decline(ip, data, flow_datagrams.DeclineReason.BUSY)
    ((_, other),) = balancer.sent()
    assert other != ip
