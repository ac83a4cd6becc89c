"""Tests that no opening packet goes to an evacuated data centre."""

import balancer_harness
import flow_support
import pytest
import view_sync_simulation

from kingcupport.balancer import flow_opener
from kingcupport.balancer import opening_hold
from kingcupport.flows import fleet_source
from kingcupport.wire import flow_datagrams

FLOW = flow_support.make_flow(1)
ELSEWHERE = '10.0.0.2'


class Harness(balancer_harness.BalancerHarness):
    """Servers 0 and 1 in dakar, the balancer's data centre, 2 in thies."""

    def __init__(self, elsewhere=1, evacuation_ms=0):
        super().__init__(2, False, evacuation_ms)
        self.servers += [
            flow_support.make_server(2 + i, data_centre='thies')
            for i in range(elsewhere)
        ]
        self.read()
        self.settle()

    def set_evacuated(self, name='dakar', *, is_active=True):
        self.revision += 1
        self.view.apply_update(
            fleet_source.FleetUpdate(
                self.revision,
                False,
                evacuations=[(name, is_active, self.revision)],
            ),
            self.clock.monotonic_ms(),
        )

    def refusal_reasons(self):
        return dict(self.counters.resets_by_reason)


@pytest.fixture
def balancer():
    return Harness()


def destinations(balancer):
    """Return where 20 flows go if no server has any load."""
    ips = set()
    for number in range(20):
        flow = flow_support.make_flow(number)
        _, ip = balancer.open(flow)
        balancer.status(ip, flow, flow_datagrams.Holding.YES)
        balancer.path.table.forget(flow)
        ips.add(ip)
    return ips


def test_new_flows_go_to_other_data_centres_until_the_end(balancer):
    before = destinations(balancer)
    assert before == {'10.0.0.0', '10.0.0.1'}
    balancer.set_evacuated()
    assert destinations(balancer) == {ELSEWHERE}
    balancer.set_evacuated(is_active=False)
    assert destinations(balancer) == before


def test_evacuation_of_another_data_centre_changes_nothing(balancer):
    before = destinations(balancer)
    balancer.set_evacuated('thies')
    assert destinations(balancer) == before


@pytest.mark.parametrize('elsewhere', [0, 1])
def test_flow_is_refused_at_once_if_no_other_server_takes_it(elsewhere):
    """Servers of an evacuated data centre are not even a last resort."""
    balancer = Harness(elsewhere)
    balancer.set_evacuated()
    if elsewhere:
        load = balancer.path.loads.get(ELSEWHERE)
        load.is_leaving = load.is_silent = True
    balancer.client(FLOW, flow_support.OPEN)
    assert not balancer.sent()
    assert len(balancer.resets()) == 1
    assert balancer.refusal_reasons() == {flow_opener.DATA_CENTRE_EVACUATED: 1}


def test_flow_that_the_last_server_declines_is_refused(balancer):
    balancer.set_evacuated()
    data, ip = balancer.open(FLOW)
    balancer.decline(ip, data, flow_datagrams.DeclineReason.UNAVAILABLE)
    assert not balancer.sent()
    assert balancer.refusal_reasons() == {flow_opener.DATA_CENTRE_EVACUATED: 1}


def test_flow_that_is_not_accepted_yet_moves_at_its_timeout(balancer):
    _, ip = balancer.open(FLOW)
    assert ip != ELSEWHERE
    balancer.set_evacuated()
    balancer.clock.advance(flow_opener.OPENING_TIMEOUT_MS)
    balancer.path.opener.check_openings()
    assert [to for _, to in balancer.sent()] == [ELSEWHERE]


def test_copy_of_an_opening_packet_moves_a_flow_that_is_not_accepted(balancer):
    balancer.open(FLOW)
    balancer.set_evacuated()
    balancer.client(FLOW, flow_support.OPEN, acknowledged=200)
    assert [to for _, to in balancer.sent()] == [ELSEWHERE]


def test_copy_of_the_opening_packet_of_an_open_flow_goes_nowhere(balancer):
    """The flow stays at its server, which gets no further opening packet."""
    _, ip = balancer.open(FLOW)
    balancer.status(ip, FLOW, flow_datagrams.Holding.YES)
    balancer.set_evacuated()
    balancer.client(FLOW, flow_support.OPEN, acknowledged=200)
    assert not balancer.sent()
    assert not balancer.resets()
    balancer.client(FLOW, acknowledged=5, data=b'x')
    assert [to for _, to in balancer.sent()] == [ip]


def test_declined_flow_does_not_go_to_the_evacuated_data_centre(balancer):
    data, ip = balancer.open(FLOW)
    balancer.set_evacuated()
    balancer.decline(ip, data, flow_datagrams.DeclineReason.UNAVAILABLE)
    assert [to for _, to in balancer.sent()] == [ELSEWHERE]


def test_busy_flow_does_not_wait_for_an_evacuated_server(balancer):
    """No report of the servers left would announce room for it."""
    balancer.path.loads.get(ELSEWHERE).is_exact = False
    data, ip = balancer.open(FLOW)
    balancer.set_evacuated()
    balancer.decline(ip, data, flow_datagrams.DeclineReason.BUSY)
    assert [to for _, to in balancer.sent()] == [ELSEWHERE]


def fill(balancer):
    for server in balancer.servers:
        balancer.report(server.ip, running=2)


def test_waiting_opening_follows_at_its_next_attempt(balancer):
    fill(balancer)
    balancer.client(FLOW, flow_support.OPEN)
    assert len(balancer.path.opener.waiting) == 1
    balancer.set_evacuated()
    balancer.report('10.0.0.1', running=0)
    assert not balancer.sent()
    balancer.report(ELSEWHERE, running=0)
    assert [to for _, to in balancer.sent()] == [ELSEWHERE]


def test_waiting_opening_is_refused_if_no_server_is_left():
    balancer = Harness(elsewhere=0)
    fill(balancer)
    balancer.client(FLOW, flow_support.OPEN)
    balancer.set_evacuated()
    balancer.report('10.0.0.1', running=0)
    assert not balancer.sent()
    assert balancer.refusal_reasons() == {flow_opener.DATA_CENTRE_EVACUATED: 1}


BOUND_MS = 5_000


def pause(balancer, pause_ms=BOUND_MS):
    """Let the harness run for a while, then pause it."""
    for _ in range(10):
        balancer.clock.advance(40)
        balancer.path.opener.check_openings()
    balancer.requested_reads.clear()
    balancer.clock.advance(pause_ms)


def test_opening_that_arrived_during_a_pause_waits_for_a_confirmation():
    """Guards EVAC: a process that was paused has an old view."""
    balancer = Harness(evacuation_ms=BOUND_MS)
    balancer.path.opener.check_openings()
    pause(balancer)
    balancer.client(FLOW, flow_support.OPEN)
    balancer.client(FLOW, acknowledged=5)
    balancer.report('10.0.0.1')
    balancer.path.opener.check_waiting()
    balancer.path.opener.check_openings()
    assert not balancer.sent()
    assert balancer.requested_reads[0] == balancer.clock.monotonic_ms()
    balancer.clock.advance(10)
    balancer.set_evacuated()
    balancer.path.opener.check_openings()
    assert [to for _, to in balancer.sent()] == [ELSEWHERE]


def test_flows_from_before_a_pause_wait_for_a_confirmation_too():
    balancer = Harness(evacuation_ms=BOUND_MS)
    data, ip = balancer.open(FLOW)
    for server in balancer.servers:
        balancer.report(server.ip, running=2)
    balancer.client(flow_support.make_flow(2), flow_support.OPEN)
    balancer.clock.advance(BOUND_MS)
    balancer.decline(ip, data, flow_datagrams.DeclineReason.UNAVAILABLE)
    balancer.path.on_unreachable((ip, balancer_harness.AGENT_PORT))
    balancer.report('10.0.0.1')
    balancer.path.opener.check_waiting()
    balancer.path.opener.check_openings()
    assert not balancer.sent()
    balancer.set_evacuated()
    balancer.report(ELSEWHERE)
    balancer.path.opener.check_openings()
    assert {to for _, to in balancer.sent()} == {ELSEWHERE}


def test_opening_is_not_held_for_long_while_nobody_confirms_the_view():
    """The store may be down; then what was known stays in force."""
    balancer = Harness(evacuation_ms=BOUND_MS)
    pause(balancer)
    balancer.client(FLOW, flow_support.OPEN)
    assert not balancer.sent()
    balancer.clock.advance(opening_hold.MAX_HOLD_MS)
    balancer.path.opener.check_openings()
    assert len(balancer.sent()) == 1


@pytest.mark.parametrize(
    ('evacuation_ms', 'pause_ms'),
    [(0, 60_000), (BOUND_MS, BOUND_MS * opening_hold.PAUSE_SHARE - 1)],
)
def test_short_pauses_and_platforms_without_the_bound_hold_nothing(
    evacuation_ms, pause_ms
):
    balancer = Harness(evacuation_ms=evacuation_ms)
    pause(balancer, pause_ms)
    balancer.client(FLOW, flow_support.OPEN)
    assert len(balancer.sent()) == 1


def make_fleet():
    fleet = view_sync_simulation.ViewSyncSimulation(4, 4)
    fleet.run(5_000)
    return fleet


def is_known(balancer):
    return balancer.view.evacuations.active == {'dakar'}


def test_balancers_learn_of_an_evacuation_within_the_bound():
    fleet = make_fleet()
    fleet.store.set_evacuated('dakar')
    fleet.run(3_000)
    assert all(map(is_known, fleet.balancers.values()))
    fleet.store.set_evacuated('dakar', is_active=False)
    fleet.run(3_000)
    assert not any(map(is_known, fleet.balancers.values()))


def test_balancer_that_the_store_turns_away_learns_from_its_peers():
    fleet = make_fleet()
    turned_away = next(iter(fleet.balancers.values()))
    turned_away.is_turned_away = True
    fleet.store.set_evacuated('dakar')
    fleet.run(3_000)
    assert is_known(turned_away)
    fleet.store.set_evacuated('dakar', is_active=False)
    fleet.run(3_000)
    assert not is_known(turned_away)


def test_evacuation_stays_known_while_the_store_is_down():
    fleet = make_fleet()
    fleet.store.set_evacuated('dakar')
    fleet.run(3_000)
    fleet.store.is_down = True
    fleet.run(20_000)
    assert all(map(is_known, fleet.balancers.values()))


@pytest.mark.parametrize('is_turned_away', [False, True])
def test_new_balancer_knows_the_evacuation_when_it_takes_flows(
    is_turned_away,
):
    fleet = make_fleet()
    fleet.store.set_evacuated('dakar')
    fleet.run(3_000)
    added = fleet.add_balancer()
    added.is_turned_away = is_turned_away

    def check():
        assert is_known(added) or not added.view.is_populated

    fleet.run(3_000, check)
    assert is_known(added)


def test_balancer_that_was_frozen_learns_soon_after():
    fleet = make_fleet()
    frozen = next(iter(fleet.balancers.values()))
    frozen.is_paused = True
    fleet.store.set_evacuated('dakar')
    fleet.run(8_000)
    assert not is_known(frozen)
    frozen.is_paused = False
    fleet.run(600)
    assert is_known(frozen)
