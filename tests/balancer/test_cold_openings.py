"""Tests how a balancer places flows on cold servers with a limit."""

import attrs
import balancer_harness
import flow_support
import pytest

from kingcupport.balancer import flow_opener
from kingcupport.flows import admission
from kingcupport.flows import cold_servers
from kingcupport.flows import opening_queue
from kingcupport.wire import flow_datagrams

FLOW = flow_support.make_flow(1)
COLD_MS = 30_000
PACED = flow_datagrams.DeclineReason.PACED
# For a route without a configured timeout.
MAX_AGE_MS = (
    opening_queue.MAX_AGE_TIMEOUT_SHARE * opening_queue.DEFAULT_TIMEOUT_MS
)


class Harness(balancer_harness.BalancerHarness):
    """A harness whose cold servers have a limit of 4 openings a second."""

    def __init__(self, cold=(0, 1), limits=None):
        super().__init__(2, is_populated=False)
        self.limits = {'gate': (4.0, COLD_MS)} if limits is None else limits
        self.servers = [
            flow_support.make_server(number, is_cold=number in cold)
            for number in range(2)
        ]
        self.is_holding_calls = True
        self.read()
        self.view.apply_configuration(
            attrs.evolve(
                flow_support.make_configuration(2), cold_limits=self.limits
            )
        )

    def paced(self):
        return self.sent(flow_datagrams.PacedEnvelope)

    def open_paced(self, flow):
        data = self.client(flow, flow_support.OPEN)
        ((envelope, ip),) = self.paced()
        assert envelope.packet_data == data
        return data, ip


@pytest.fixture
def balancer():
    return Harness()


def test_opening_for_a_cold_server_carries_its_rate(balancer):
    for acknowledged in (0, 200):
        balancer.client(FLOW, flow_support.OPEN, acknowledged=acknowledged)
        ((envelope, _),) = balancer.paced()
        assert envelope.openings_per_s == 4.0
        assert envelope.remaining_cold_ms == cold_servers.MAX_REMAINING_COLD_MS
        # The slot limit applies to the first copy only.
        assert envelope.slot_limit == (0 if acknowledged else 1)


@pytest.mark.parametrize(
    ('cold_ms', 'left_ms'),
    [(0, cold_servers.MAX_REMAINING_COLD_MS), (400, 400)],
)
def test_short_or_missing_cold_time_bounds_the_limit(cold_ms, left_ms):
    balancer = Harness(limits={'gate': (4.0, cold_ms)})
    balancer.client(FLOW, flow_support.OPEN)
    ((envelope, _),) = balancer.paced()
    assert envelope.remaining_cold_ms == left_ms


def test_server_that_says_that_it_is_cold_keeps_its_limit(balancer):
    """Its own word counts, whatever the configured time says."""
    _, ip = balancer.open_paced(FLOW)
    balancer.clock.advance(COLD_MS)
    balancer.path.table.forget(FLOW)
    balancer.read(2)
    assert balancer.open_paced(FLOW)[1] == ip


def test_limit_ends_in_time_while_the_store_is_down(balancer):
    """Else a warm server would stay slow until the store is back."""
    _, ip = balancer.open_paced(FLOW)
    balancer.clock.advance(COLD_MS - 1)
    for server in balancer.servers:
        balancer.report(server.ip)
    balancer.path.table.forget(FLOW)
    assert balancer.open_paced(FLOW)[1] == ip
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    balancer.clock.advance(1)
    balancer.path.table.forget(FLOW)
    balancer.client(FLOW, flow_support.OPEN)
    ((_, to),) = balancer.sent()
    assert to == ip


@pytest.mark.parametrize(
    ('cold', 'limits'), [((), None), ((0, 1), {}), ((0, 1), {'audio': (4, 1)})]
)
def test_other_servers_get_ordinary_envelopes(cold, limits):
    """Without a limit the agent gets the same bytes as before."""
    balancer = Harness(cold, limits)
    balancer.client(FLOW, flow_support.OPEN)
    ((datagram, _),) = balancer.to_agents[-1:]
    assert isinstance(datagram, flow_datagrams.FlowEnvelope)


def test_later_packets_go_in_ordinary_envelopes(balancer):
    _, ip = balancer.open_paced(FLOW)
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    balancer.client(FLOW, acknowledged=5, data=b'x')
    assert len(balancer.sent()) == 1


def test_declined_flow_goes_to_another_server_at_once(balancer):
    data, ip = balancer.open_paced(FLOW)
    balancer.decline(ip, data, PACED)
    ((envelope, other),) = balancer.paced()
    assert other != ip
    assert envelope.packet_data == data


def test_server_at_its_limit_gets_no_flows_until_it_has_room(balancer):
    """It is not a last resort either: its agent would decline again."""
    data, ip = balancer.open_paced(FLOW)
    balancer.decline(ip, data, PACED)
    ((_, other),) = balancer.paced()
    balancer.status(other, FLOW, flow_datagrams.Holding.YES)
    balancer.path.loads.get(other).is_silent = True
    balancer.clock.advance(249)
    balancer.client(flow_support.make_flow(2), flow_support.OPEN)
    assert [to for _, to in balancer.paced()] == [other]
    balancer.clock.advance(1)
    balancer.client(flow_support.make_flow(3), flow_support.OPEN)
    assert [to for _, to in balancer.paced()] == [ip]


def decline_at_both(balancer):
    """Open a flow that both cold servers decline."""
    data, ip = balancer.open_paced(FLOW)
    balancer.decline(ip, data, PACED)
    ((_, other),) = balancer.paced()
    balancer.decline(other, data, PACED)
    return data


def test_flow_waits_while_all_servers_are_at_their_limit(balancer):
    """It is neither refused nor sent in vain."""
    data = decline_at_both(balancer)
    balancer.client(flow_support.make_flow(2), flow_support.OPEN)
    assert not balancer.paced()
    assert not balancer.resets()
    assert len(balancer.path.opener.waiting) == 2
    balancer.clock.advance(250)
    balancer.make_held_calls()
    envelopes = [envelope.packet_data for envelope, _ in balancer.paced()]
    assert data in envelopes
    assert len(envelopes) == 2


def test_flow_that_waited_in_vain_is_refused_as_overload(balancer):
    decline_at_both(balancer)
    for _ in range(20):
        for server in balancer.servers:
            balancer.path.loads.on_paced(server.ip, 1_000)
        balancer.clock.advance(MAX_AGE_MS / 20)
        balancer.path.opener.check_waiting()
    assert not balancer.paced()
    assert dict(balancer.counters.resets_by_reason) == {
        admission.NO_ROOM.reason: 1
    }


def test_warm_server_takes_the_flows_of_a_paced_one():
    balancer = Harness(cold=(0,))
    balancer.path.loads.on_paced('10.0.0.0', 250)
    for number in range(2, 7):
        flow = flow_support.make_flow(number)
        balancer.client(flow, flow_support.OPEN)
        ((_, ip),) = balancer.sent()
        assert ip == '10.0.0.1'
        balancer.status(ip, flow, flow_datagrams.Holding.YES)


def test_agent_that_does_not_know_the_envelope_costs_100_ms(balancer):
    """An agent of a former version counts it as malformed."""
    _, ip = balancer.open_paced(FLOW)
    balancer.clock.advance(flow_opener.OPENING_TIMEOUT_MS)
    balancer.path.opener.check_openings()
    assert [to != ip for _, to in balancer.paced()] == [True]


@pytest.mark.parametrize(
    ('rate', 'pause_ms'),
    [
        (0.2, cold_servers.MAX_PAUSE_MS),
        (4.0, 250),
        (1e6, cold_servers.MIN_PAUSE_MS),
    ],
)
def test_pause_of_a_server_follows_its_rate(rate, pause_ms):
    balancer = Harness(limits={'gate': (rate, COLD_MS)})
    data, ip = balancer.open_paced(FLOW)
    balancer.decline(ip, data, PACED)
    assert balancer.path.loads.paced_ms(ip) == pause_ms


def test_paced_server_of_an_evacuated_data_centre_is_not_waited_for(balancer):
    for server in balancer.servers:
        balancer.path.loads.on_paced(server.ip, 1_000)
    balancer.view.evacuations._put('dakar', True, 9, 9, True)
    balancer.client(FLOW, flow_support.OPEN)
    assert dict(balancer.counters.resets_by_reason) == {
        flow_opener.DATA_CENTRE_EVACUATED: 1
    }
