"""Tests that balancers confirm each other's views only with proof."""

import pytest
import view_sync_simulation

from kingcupport.flows import view_confirmation

COMPLETE_AFTER_MS = (
    view_confirmation.REREGISTRATION_GRACE_MS
    + view_confirmation.SETTLING_MARGIN_MS
)


def make_fleet(balancers=2, servers=4):
    fleet = view_sync_simulation.ViewSyncSimulation(balancers, servers)
    fleet.run(COMPLETE_AFTER_MS + 2_500)
    assert all(
        b.view.confirmation.is_complete for b in fleet.balancers.values()
    )
    return fleet


def interrupt_store(fleet, missing, duration_ms=2_600):
    """Take the store down until the next read of the first balancer.

    The entries of some servers expire meanwhile.
    """
    fleet.store.is_down = True
    fleet.run(duration_ms)
    schedule = next(iter(fleet.balancers.values())).schedule
    while schedule.next_read_ms() > fleet.clock.monotonic_ms():
        fleet.run(view_sync_simulation.STEP_MS)
    for name in missing:
        fleet.store.remove(name)
    fleet.store.is_down = False


def take_out(fleet, names):
    return {name: fleet.reporting.pop(name) for name in names}


# The names decide which balancer reads for the others.
@pytest.mark.parametrize('name', ['b4', 'b8', 'b18'])
@pytest.mark.parametrize('outage_ms', [2_600, 3_500, 4_500])
@pytest.mark.parametrize('seeds', [('10.1.0.9',), ('10.1.0.1', '10.1.0.2')])
def test_balancer_added_while_entries_are_missing_learns_of_them(
    seeds, outage_ms, name
):
    """Guards review/3: equal revisions were taken for equal views."""
    fleet = make_fleet()
    names = sorted(fleet.reporting)
    missing = take_out(fleet, names[1:])
    interrupt_store(fleet, missing, outage_ms)
    fleet.add_balancer(seeds, name)
    fleet.run(1_900)
    fleet.put_back(missing)
    fleet.run(3_000)
    for balancer in fleet.balancers.values():
        assert sorted(balancer.view.servers) == names


def test_added_balancer_that_meets_no_peer_is_not_complete_at_once():
    """Guards review/3: its view may lack servers that hold flows."""
    fleet = make_fleet()
    missing = take_out(fleet, sorted(fleet.reporting)[1:])
    interrupt_store(fleet, missing)
    added = fleet.add_balancer(('10.1.0.9',))

    def check():
        lacks = len(added.view.servers) < 4
        assert not (added.view.confirmation.is_complete and lacks)

    fleet.run(1_900, check)
    fleet.put_back(missing)
    fleet.run(3_000, check)
    assert added.view.confirmation.is_complete


def test_balancer_that_starts_beside_a_complete_one_is_complete_soon():
    fleet = make_fleet()
    added = fleet.add_balancer()
    fleet.run(1_500)
    assert added.view.confirmation.is_complete


def test_balancer_is_not_complete_by_the_word_of_a_peer_that_lost_a_server():
    """A short outage: the peer knows the server, the new balancer does not."""
    fleet = make_fleet()
    (name, *_) = missing = take_out(fleet, sorted(fleet.reporting)[:1])
    fleet.store.remove(name)
    fleet.run(1_100)
    added = fleet.add_balancer()

    def check():
        assert not (
            added.view.confirmation.is_complete
            and name not in added.view.servers
        )

    fleet.run(800, check)
    fleet.put_back(missing)
    fleet.run(4_000, check)
    assert added.view.confirmation.is_complete


def test_removal_that_only_a_new_balancer_has_not_read_is_not_skipped():
    """Its view lacks the server, so it does not confirm the others."""
    fleet = make_fleet()
    name = sorted(fleet.reporting)[0]
    take_out(fleet, [name])
    fleet.store.remove(name)
    fleet.add_balancer(())
    fleet.run(3_500)
    for balancer in fleet.balancers.values():
        assert name not in balancer.view.servers


def test_woken_balancers_do_not_put_off_the_reads_of_the_others():
    """Guards review/4: they took old confirmations for new ones."""
    fleet = make_fleet(balancers=5)
    pauses = {4: (0, 4_300), 3: (400, 1_700), 2: (1_250, 2_550)}
    never_paused = list(fleet.balancers.values())[:2]
    started_ms = fleet.clock.monotonic_ms()

    def check():
        elapsed_ms = fleet.clock.monotonic_ms() - started_ms
        for number, (start_ms, end_ms) in pauses.items():
            balancer = list(fleet.balancers.values())[number]
            balancer.is_paused = start_ms <= elapsed_ms < end_ms
        for balancer in fleet.balancers.values():
            view = balancer.view
            assert view.read_revision >= fleet.store.revision_at(
                view.confirmation.confirmed_ms
            )
        for balancer in never_paused:
            # One read interval, a delay for each rank, and a round trip.
            assert balancer.view.confirmation.age_ms() <= 2_000

    fleet.run(8_000, check)


@pytest.mark.parametrize('balancers', [2, 6, 20])
def test_confirmed_views_take_few_reads(balancers):
    fleet = make_fleet(balancers=balancers)
    before = len(fleet.store.calls)
    fleet.run(20_000)
    reads_per_s = (len(fleet.store.calls) - before) / 20
    assert reads_per_s <= 1.5
