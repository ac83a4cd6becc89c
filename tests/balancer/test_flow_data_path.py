"""Tests where a balancer forwards packets and which flows it resets."""

import balancer_harness
import flow_support
from hypothesis import given
from hypothesis import strategies
import pytest

from kingcupport.balancer import flow_refusals
from kingcupport.balancer import holder_finder
from kingcupport.flows import holder_search
from kingcupport.wire import flow_datagrams

FORMAT = flow_support.FORMAT


@pytest.fixture
def balancer():
    return balancer_harness.BalancerHarness()


FLOW = flow_support.make_flow(1)


def test_packets_of_one_service_never_reach_another():
    balancer = balancer_harness.BalancerHarness()
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


def test_an_unknown_flow_is_found_and_its_packets_follow(balancer):
    first = balancer.client(FLOW, acknowledged=5, data=b'x')
    ((search, _),) = balancer.sent(flow_datagrams.FlowSearch)
    assert set(search.agent_ips) == {'10.0.0.0', '10.0.0.1'}
    assert search.packet_data == first
    second = balancer.client(FLOW, acknowledged=5, data=b'y')
    balancer.result(search, holder_ip='10.0.0.1')
    sent = balancer.sent()
    assert [e.packet_data for e, _ in sent] == [first, second]
    assert {ip for _, ip in sent} == {'10.0.0.1'}


def test_a_flow_that_no_server_holds_is_reset(balancer):
    balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.end_search()
    (reset,) = balancer.resets()
    assert reset.sequence == 5


def test_a_flow_is_not_reset_while_an_agent_is_silent(balancer):
    for _ in range(3):
        balancer.client(FLOW, acknowledged=5, data=b'x')
        balancer.end_search(unanswered=['10.0.0.1'])
    assert not balancer.resets()


def test_a_flow_is_not_reset_without_a_result(balancer):
    for _ in range(3):
        balancer.client(FLOW, acknowledged=5, data=b'x')
        balancer.clock.advance(holder_search.SEARCH_TIMEOUT_MS)
        balancer.path.finder.check_searches()
    assert not balancer.resets()


def test_a_flow_is_not_reset_with_an_old_view(balancer):
    balancer.clock.advance(flow_refusals.MAX_FRESH_VIEW_AGE_MS + 1)
    balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.end_search()
    assert not balancer.resets()


def test_a_flow_is_not_reset_before_a_read_that_started_after_its_packet(
    balancer,
):
    """Guards review/5: a server may have registered since the last read."""
    balancer.clock.advance(300)
    balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.end_search()
    balancer.path.finder.check_searches()
    assert not balancer.resets()
    assert balancer.requested_reads
    balancer.clock.advance(20)
    balancer.read()
    balancer.path.finder.check_searches()
    assert len(balancer.resets()) == 1


def test_a_server_that_a_requested_read_finds_is_asked(balancer):
    """Guards review/5: the waiting packets reach the new server."""
    balancer.clock.advance(300)
    first = balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.end_search()
    second = balancer.client(FLOW, acknowledged=5, data=b'y')
    balancer.servers.append(flow_support.make_server(2, revision=30))
    balancer.clock.advance(20)
    balancer.read()
    balancer.path.finder.check_searches()
    ((search, _),) = balancer.sent(flow_datagrams.FlowSearch)
    assert search.agent_ips == ['10.0.0.2']
    balancer.result(search, holder_ip='10.0.0.2')
    assert [e.packet_data for e, _ in balancer.sent()] == [first, second]
    assert not balancer.resets()


def test_an_open_flow_without_a_route_is_reset_after_a_later_read_only(
    balancer,
):
    """Its route may be newer than the configuration of this balancer."""
    flow = flow_support.make_flow(1, ('198.18.0.9', 1))
    balancer.clock.advance(300)
    for _ in range(3):
        balancer.client(flow, acknowledged=5, data=b'x')
    assert not balancer.resets()
    assert balancer.requested_reads
    balancer.clock.advance(20)
    balancer.read()
    balancer.client(flow, acknowledged=5, data=b'x')
    assert len(balancer.resets()) == 1


def test_only_the_silent_agents_are_asked_again(balancer):
    balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.end_search(unanswered=['10.0.0.1'])
    balancer.client(FLOW, acknowledged=5, data=b'x')
    ((search, _),) = balancer.sent(flow_datagrams.FlowSearch)
    assert search.agent_ips == ['10.0.0.1']
    balancer.result(search)
    assert len(balancer.resets()) == 1


def test_another_agent_searches_when_the_first_is_silent(balancer):
    balancer.client(FLOW, acknowledged=5, data=b'x')
    ((_, first),) = balancer.sent(flow_datagrams.FlowSearch)
    balancer.clock.advance(holder_search.SEARCH_TIMEOUT_MS)
    balancer.path.finder.check_searches()
    balancer.client(FLOW, acknowledged=5, data=b'x')
    ((_, second),) = balancer.sent(flow_datagrams.FlowSearch)
    assert second != first


def test_a_retransmission_of_a_lost_flow_is_reset_without_a_search(balancer):
    balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.end_search()
    balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.client(FLOW, acknowledged=5, data=b'x')
    assert len(balancer.resets()) == 3
    assert not balancer.sent(flow_datagrams.FlowSearch)


def test_a_later_flow_of_the_same_client_port_is_searched_again(balancer):
    balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.end_search()
    assert len(balancer.resets()) == 1
    balancer.client(FLOW, acknowledged=1 << 30, data=b'x')
    assert not balancer.resets()
    assert len(balancer.sent(flow_datagrams.FlowSearch)) == 1


def test_a_server_that_appears_later_is_asked_before_a_reset(balancer):
    balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.end_search()
    balancer.resets()
    balancer.servers.append(flow_support.make_server(2, revision=30))
    balancer.read()
    balancer.client(FLOW, acknowledged=5, data=b'x')
    assert not balancer.resets()
    ((search, _),) = balancer.sent(flow_datagrams.FlowSearch)
    assert search.agent_ips == ['10.0.0.2']


def test_the_result_of_an_earlier_round_rules_out_no_later_server(balancer):
    balancer.client(FLOW, acknowledged=5, data=b'x')
    ((early, _),) = balancer.sent(flow_datagrams.FlowSearch)
    balancer.clock.advance(holder_search.SEARCH_TIMEOUT_MS)
    balancer.path.finder.check_searches()
    balancer.servers.append(flow_support.make_server(2, revision=30))
    balancer.read()
    balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.result(early)
    assert not balancer.resets()


def test_a_late_result_that_names_the_holder_is_used(balancer):
    balancer.client(FLOW, acknowledged=5, data=b'x')
    ((search, _),) = balancer.sent(flow_datagrams.FlowSearch)
    balancer.clock.advance(1_000)
    balancer.path.finder.check_searches()
    balancer.result(search, holder_ip='10.0.0.1')
    balancer.sent()
    balancer.client(FLOW, acknowledged=5, data=b'x')
    assert [ip for _, ip in balancer.sent()] == ['10.0.0.1']


class SilentLeaver:
    """A balancer with a server that has left the view and is silent."""

    def __init__(self, unlisted_ms):
        self.balancer = balancer_harness.BalancerHarness()
        self.balancer.servers.pop()
        self.balancer.read()
        self.advance(unlisted_ms)

    def advance(self, duration_ms):
        # A pause without reads counts as an outage of the store.
        while duration_ms > 0:
            self.balancer.clock.advance(min(duration_ms, 1_000))
            self.balancer.read()
            duration_ms -= 1_000

    def search(self, flow, *, is_silent=True):
        self.balancer.client(flow, acknowledged=5, data=b'x')
        self.balancer.end_search(unanswered=['10.0.0.1'] * is_silent)
        self.advance(holder_finder.UNANSWERED_MS)
        return len(self.balancer.resets())


def test_a_flow_is_reset_without_the_answer_of_a_server_that_has_left():
    leaver = SilentLeaver(unlisted_ms=holder_finder.UNLISTED_MS)
    # The first missing answer may be a lost datagram.
    assert leaver.search(FLOW) == 0
    assert leaver.search(FLOW) == 1
    assert leaver.search(flow_support.make_flow(2)) == 1


def test_a_server_that_has_just_left_the_view_may_hold_flows():
    leaver = SilentLeaver(unlisted_ms=0)
    assert leaver.search(FLOW) == 0
    assert leaver.search(FLOW) == 0


def test_an_unlisted_server_whose_agent_answers_may_hold_flows():
    leaver = SilentLeaver(unlisted_ms=holder_finder.UNLISTED_MS)
    assert leaver.search(FLOW) == 0
    assert leaver.search(flow_support.make_flow(9), is_silent=False) == 1
    assert leaver.search(flow_support.make_flow(2)) == 0


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
    ((search, _),) = balancer.sent(flow_datagrams.FlowSearch)
    assert search.agent_ips
    assert ip not in search.agent_ips


def test_a_flow_of_a_server_whose_address_was_reused_is_searched(balancer):
    """It is reset when no server holds it, and never sent to the new one."""
    _, ip = balancer.open(FLOW)
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    number = int(ip.rpartition('.')[2])
    balancer.servers[number] = flow_support.make_server(
        9, 'audio', ip=ip, boot_utc_ms=2000, revision=60
    )
    balancer.read()
    balancer.client(FLOW, acknowledged=5, data=b'x')
    ((search, _),) = balancer.sent(flow_datagrams.FlowSearch)
    assert ip in search.agent_ips
    assert not balancer.resets()
    balancer.result(search)
    assert not balancer.sent()
    assert len(balancer.resets()) == 1


def test_a_decline_for_another_service_does_not_deny_the_flow(balancer):
    """Guards review/1: the view may give a wrong service to an address."""
    _, ip = balancer.open(FLOW)
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    data = balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.sent()
    balancer.decline(ip, data, flow_datagrams.DeclineReason.OTHER_SERVICE)
    ((search, _),) = balancer.sent(flow_datagrams.FlowSearch)
    assert ip in search.agent_ips


def test_an_unknown_route_is_refused_with_a_fresh_view_only(balancer):
    flow = flow_support.make_flow(1, ('198.18.0.9', 1))
    balancer.client(flow, flow_support.OPEN)
    assert len(balancer.resets()) == 1
    balancer.clock.advance(flow_refusals.MAX_FRESH_VIEW_AGE_MS + 1)
    balancer.client(flow, flow_support.OPEN)
    assert not balancer.resets()


def test_a_flow_of_a_removed_route_ends_at_the_next_request(balancer):
    _, ip = balancer.open(FLOW)
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    balancer.read(version=2, addresses=((flow_support.AUDIO, 'audio'),))
    balancer.client(FLOW, acknowledged=5)
    assert [to for _, to in balancer.sent()] == [ip]
    balancer.client(FLOW, acknowledged=5, data=b'next request')
    assert not balancer.sent()
    assert len(balancer.resets()) == 1


def test_packets_before_the_first_view_wait_for_it():
    balancer = balancer_harness.BalancerHarness(is_populated=False)
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


def test_a_decline_with_an_unknown_reason_is_counted(balancer):
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
        flow_datagrams.FlowSearchResult,
        strategies.just(FLOW) | strategies.binary(max_size=20),
        strategies.integers(),
        strategies.text(max_size=5),
        strategies.lists(strategies.none() | strategies.text(max_size=5)),
    )
    | strategies.builds(
        flow_datagrams.LoadReport,
        *[strategies.integers()] * 2,
        strategies.text(max_size=5),
        *[strategies.integers()] * 3,
        *[strategies.booleans()] * 3,
    )
)
def test_any_agent_datagram_leaves_the_balancer_working(datagram):
    balancer = balancer_harness.BalancerHarness()
    balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.path.on_agent_datagram(datagram, '10.0.0.1')
    balancer.client(FLOW, acknowledged=5, data=b'x')
    balancer.client(FLOW, flow_support.OPEN)
    assert balancer.sent() or datagram.datagram_code == 5
