"""Tests the ranking of servers by their service times."""

import itertools

import flow_support
from hypothesis import given
from hypothesis import strategies
import pytest

from kingcupport.flows import flow_placement
from kingcupport.flows import server_loads
from kingcupport.flows import server_pace
from kingcupport.wire import flow_datagrams

SERVER_COUNT = 6
SLOTS = 2


class Fleet:
    """Servers whose load and pace reports the test sends."""

    def __init__(self, *, uses_pace=True):
        self.clock = flow_support.make_clock()
        self.loads = server_loads.make_server_loads(self.clock)
        self.placement = flow_placement.make_flow_placement(
            self.clock, self.loads, 'dakar', uses_pace=uses_pace
        )
        self.servers = [
            flow_support.make_server(number, slots=SLOTS)
            for number in range(SERVER_COUNT)
        ]
        self.sequence = itertools.count(1)
        for number in range(SERVER_COUNT):
            self.report(number)

    def report(self, number, running=0, *, boot=1, is_exact=True, age_ms=0):
        report = flow_datagrams.LoadReport(
            boot,
            next(self.sequence),
            'gate',
            running,
            age_ms,
            0,
            False,
            False,
            is_exact,
        )
        self.loads.on_report(f'10.0.0.{number}', report)

    def report_pace(
        self, number, time_ms=50.0, *, samples=32, allowed=-1, boot=1
    ):
        report = flow_datagrams.PaceReport(
            boot, next(self.sequence), time_ms, samples, allowed
        )
        return self.loads.on_pace_report(f'10.0.0.{number}', report)

    def report_paces(self, *times_ms):
        for number, time_ms in enumerate(times_ms):
            self.report_pace(number, time_ms)
        self.clock.advance(server_pace.COMPARISON_INTERVAL_MS)

    def choose(self, number=1, **options):
        return self.placement.choose(
            flow_support.make_flow(number), self.servers, **options
        )

    def chosen(self, count=60, **options):
        return {
            int(self.choose(number, **options).ip.rpartition('.')[2])
            for number in range(count)
        }


@pytest.fixture
def fleet():
    return Fleet()


def test_idle_slow_server_gets_flows_after_idle_fast_ones(fleet):
    fleet.report_paces(110, 50, 50, 50, 50, 50)
    assert fleet.chosen() == {1, 2, 3, 4, 5}
    for number in range(1, SERVER_COUNT):
        fleet.report(number, running=SLOTS + 1)
    assert fleet.chosen() == {0}


def test_no_server_is_idle_while_late_flows_wait(fleet):
    """A late flow may not queue, so a fast busy server is no choice."""
    fleet.report_paces(150, 50, 50, 50, 50, 50)
    for number in range(1, SERVER_COUNT):
        fleet.report(number, running=SLOTS)
    assert fleet.chosen(is_late=True) == {0}
    assert fleet.placement.slot_limit(fleet.servers[0], True) == SLOTS


def test_fast_server_is_chosen_first(fleet):
    fleet.report_paces(20, 50, 50, 50, 50, 50)
    assert fleet.chosen() == {0}


@given(
    times_ms=strategies.lists(
        strategies.floats(41, 60),
        min_size=SERVER_COUNT,
        max_size=SERVER_COUNT,
    ),
    running=strategies.lists(
        strategies.integers(0, SLOTS + 2),
        min_size=SERVER_COUNT,
        max_size=SERVER_COUNT,
    ),
    exact=strategies.integers(0, (1 << SERVER_COUNT) - 1),
    age_ms=strategies.integers(0, 200),
    is_late=strategies.booleans(),
)
def test_decisions_about_equal_servers_are_as_without_paces(
    times_ms, running, exact, age_ms, is_late
):
    """Guards deployments whose servers are alike."""
    decisions = []
    for uses_pace in (False, True):
        fleet = Fleet(uses_pace=uses_pace)
        if uses_pace:
            fleet.report_paces(*times_ms)
        else:
            fleet.clock.advance(server_pace.COMPARISON_INTERVAL_MS)
        for number, count in enumerate(running):
            fleet.report(
                number,
                count,
                is_exact=bool(exact >> number & 1),
                age_ms=age_ms,
            )
        fleet.clock.advance(age_ms)
        fleet.servers[0].is_cold = True
        fleet.servers[1].data_centre = 'bombay'
        chosen = [fleet.choose(n, is_late=is_late) for n in range(10)]
        decisions.append(
            [(s.name, fleet.placement.slot_limit(s, is_late)) for s in chosen]
        )
    assert decisions[0] == decisions[1]


def test_few_known_service_times_change_nothing(fleet):
    fleet.report_paces(200, 50)
    assert fleet.chosen() == set(range(SERVER_COUNT))
    fleet.report_pace(0, 200, samples=3)
    fleet.report_paces(200, 50)


@pytest.mark.parametrize('change', ['agent', 'server'])
def test_pace_ends_with_the_process_that_it_is_of(fleet, change):
    fleet.report_paces(110, 50, 50, 50, 50, 50)
    assert 0 not in fleet.chosen()
    if change == 'agent':
        fleet.report(0, boot=2)
        assert not fleet.report_pace(0, 110, boot=1)
    else:
        fleet.servers[0].boot_utc_ms += 1
        fleet.clock.advance(server_pace.COMPARISON_INTERVAL_MS)
    assert 0 in fleet.chosen()


def test_old_reports_drift_to_the_median(fleet):
    """Guards against a pace that nobody confirms any more."""
    fleet.report_paces(150, 50, 50, 50, 50, 50)
    ratios = []
    for _ in range(5):
        fleet.choose()
        ratios.append(fleet.loads.get('10.0.0.0').pace_ratio)
        fleet.clock.advance(5_000)
    assert ratios[:2] == pytest.approx([3.0, 3.0])
    assert 1.5 < ratios[3] < 2.5
    assert ratios[4] == 1.0


@pytest.mark.parametrize(
    'time_ms', [-1.0, float('nan'), float('inf'), 200_000.0]
)
def test_impossible_service_times_are_ignored(fleet, time_ms):
    assert not fleet.report_pace(0, time_ms)


def test_reports_are_taken_in_order_and_after_a_load_report(fleet):
    assert fleet.report_pace(0)
    late = flow_datagrams.PaceReport(1, 1, 9.0, 9, -1)
    assert not fleet.loads.on_pace_report('10.0.0.0', late)
    assert not fleet.loads.on_pace_report('10.0.0.99', late)


def test_starting_server_is_full_at_its_limit(fleet):
    fleet.report_paces(50, 50, 50, 50, 50, 50)
    fleet.report_pace(0, 0.0, samples=0, allowed=1)
    fleet.report(0, running=1)
    for number in range(1, SERVER_COUNT):
        fleet.report(number, running=SLOTS)
    assert 0 not in fleet.chosen()
    assert fleet.placement.slot_limit(fleet.servers[0]) is None


def test_failing_server_is_tried_only_while_all_others_are_full(fleet):
    """An attempt each 250 ms finds out whether it has recovered."""
    fleet.report_paces(50, 50, 50, 50, 50, 50)
    fleet.report_pace(0, 50.0, allowed=0)
    assert 0 not in fleet.chosen()
    for number in range(1, SERVER_COUNT):
        fleet.report(number, running=SLOTS + 1)
    assert fleet.chosen() == {0}
    fleet.loads.on_opening_sent('10.0.0.0', b'flow')
    fleet.loads.on_opening_resolved('10.0.0.0', b'flow')
    fleet.loads.on_busy('10.0.0.0', SLOTS + 1)
    assert fleet.placement.slot_limit(fleet.choose()) is None
    fleet.clock.advance(250)
    assert fleet.chosen() == {0}


def test_slow_starting_server_gets_half(fleet):
    fleet.report_paces(50, 50, 50, 50, 50, 50)
    fleet.report_pace(0, 150.0, allowed=2)
    fleet.clock.advance(server_pace.COMPARISON_INTERVAL_MS)
    fleet.choose()
    load = fleet.loads.get('10.0.0.0')
    assert server_pace.openings_allowed(load) == 1


def test_reporting_agent_is_avoided_for_250_ms_only(fleet):
    fleet.loads.recovers_by_reports = True
    fleet.loads.avoid('10.0.0.0')
    fleet.loads.avoid('10.0.0.1')
    fleet.report(0)
    fleet.clock.advance(250)
    assert fleet.chosen() == {0, 2, 3, 4, 5}
