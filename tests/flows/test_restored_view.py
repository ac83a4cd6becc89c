"""Tests that a view survives the restore of the store from an older copy."""

import attrs
import flow_support
import hypothesis
from hypothesis import strategies
import pytest

from kingcupport.flows import fleet_source
from kingcupport.flows import fleet_view
from kingcupport.flows import read_schedule
from kingcupport.flows import store_revision
from kingcupport.flows import view_confirmation

SERVER_EXPIRY_MS = 3_000
SETTLING_MS = SERVER_EXPIRY_MS + view_confirmation.SETTLING_MARGIN_MS


@pytest.fixture
def clock():
    return flow_support.make_clock()


@pytest.fixture
def view(clock):
    return fleet_view.make_fleet_view(clock, SERVER_EXPIRY_MS)


def read(view, clock, era, revision, servers=(), **fields):
    return view.apply_update(
        fleet_source.FleetUpdate(
            store_revision.qualify(era, revision),
            fields.pop('is_full_read', True),
            servers=list(servers),
            **fields,
        ),
        clock.monotonic_ms(),
    )


def test_change_at_a_revision_given_out_again_is_taken(view, clock):
    read(view, clock, 1, 40, [flow_support.make_entry(1, 1, 40, sequence=3)])
    draining = flow_support.make_entry(1, 2, 31, sequence=4, is_draining=True)
    assert read(view, clock, 2, 31, [draining])
    assert view.servers['gate-1'].is_draining


def test_copy_does_not_undo_a_drain(view, clock):
    ready = flow_support.make_entry(1, 1, 10, sequence=3)
    read(
        view,
        clock,
        1,
        40,
        [flow_support.make_entry(1, 1, 40, 4, is_draining=True)],
    )
    assert not read(view, clock, 2, 30, [attrs.evolve(ready)])
    assert view.servers['gate-1'].is_draining


def test_copy_does_not_bring_back_a_server_that_has_left(view, clock):
    entry = flow_support.make_entry(1, 1, 10, sequence=3)
    read(view, clock, 1, 10, [entry])
    read(view, clock, 1, 40)
    read(view, clock, 2, 30, [flow_support.make_entry(1, 2, 10, sequence=3)])
    assert not view.servers


def test_server_that_the_copy_lacks_has_2_s_to_return(view, clock):
    known = flow_support.make_entry(1, 1, 40, sequence=3)
    read(view, clock, 1, 40, [known])
    read(view, clock, 2, 30)
    assert view.servers
    clock.advance(view_confirmation.REREGISTRATION_GRACE_MS - 1)
    read(view, clock, 2, 32)
    assert view.servers
    clock.advance(2)
    read(view, clock, 2, 33)
    assert not view.servers


def test_settled_view_takes_the_entry_of_a_server_that_wrote_nothing(
    view, clock
):
    """The clock of a server went back, so its entries look older for good."""
    read(view, clock, 1, 40, [flow_support.make_entry(1, 1, 40, 9, slots=2)])
    again = flow_support.make_entry(1, 2, 31, sequence=1, slots=3)
    read(view, clock, 2, 31, [again])
    assert view.servers['gate-1'].slots == 2
    clock.advance(SETTLING_MS)
    assert read(view, clock, 2, 35, [again])
    assert view.servers['gate-1'].slots == 3
    assert view.settle_due_ms is None


def test_read_that_began_before_settling_was_due_does_not_settle(view, clock):
    read(
        view,
        clock,
        1,
        40,
        [flow_support.make_entry(1, 1, 40, 9, is_draining=True)],
    )
    copy = flow_support.make_entry(1, 2, 10, sequence=3)
    read(view, clock, 2, 30, [copy])
    started_ms = clock.monotonic_ms()
    clock.advance(SETTLING_MS)
    update = fleet_source.FleetUpdate(
        store_revision.qualify(2, 30), True, servers=[copy]
    )
    view.apply_update(update, started_ms)
    assert view.servers['gate-1'].is_draining
    assert view.settle_due_ms is not None


def test_copy_does_not_bring_back_an_older_configuration(view, clock):
    newer = flow_support.make_configuration(5)
    read(view, clock, 1, 40, configuration=newer)
    older = flow_support.make_configuration(3)
    read(view, clock, 2, 30, configuration=older)
    assert view.configuration.version == 5


def test_late_read_of_a_former_era_is_refused(view, clock):
    read(view, clock, 1, 40, [flow_support.make_entry(1, 1, 40, sequence=3)])
    read(
        view,
        clock,
        2,
        30,
        [flow_support.make_entry(1, 2, 30, 4, is_draining=True)],
    )
    with pytest.raises(fleet_source.FormerEraError):
        read(view, clock, 1, 45)
    assert view.servers['gate-1'].is_draining


def test_peer_that_started_from_the_copy_learns_that_a_server_left(
    view, clock
):
    read(view, clock, 1, 10, [flow_support.make_entry(1, 1, 10, sequence=3)])
    read(view, clock, 1, 40)
    copy = flow_support.make_entry(1, 2, 10, sequence=3)
    read(view, clock, 2, 30, [copy])
    peer = fleet_view.make_fleet_view(clock, SERVER_EXPIRY_MS)
    read(peer, clock, 2, 30, [copy])
    assert peer.servers
    removal = [('gate-1', store_revision.qualify(2, 33))]
    read(view, clock, 2, 33, is_full_read=False, removed=removal)
    assert view.content_revision > peer.content_revision
    peer.apply_difference(
        view.difference_since(
            peer.configuration.version, peer.content_revision
        )
    )
    assert not peer.servers


def test_every_balancer_reads_once_to_settle(view, clock):
    schedule = read_schedule.make_read_schedule(clock, None, 'b-1', view)
    read(view, clock, 1, 40, [flow_support.make_entry(1, 1, 40, sequence=3)])
    read(view, clock, 2, 30, [flow_support.make_entry(1, 2, 30, sequence=3)])
    due_ms = view.settle_due_ms
    for _ in range(60):
        if schedule.next_read_ms() <= clock.monotonic_ms():
            break
        clock.advance(100)
        # Another balancer reads, so that this one need not.
        view.confirm(clock.monotonic_ms(), store_revision.qualify(2, 30))
    late_ms = clock.monotonic_ms() - due_ms
    assert 0 <= late_ms <= read_schedule.SETTLING_SPREAD_MS + 100
    read(view, clock, 2, 31, [flow_support.make_entry(1, 2, 30, sequence=3)])
    assert schedule.next_read_ms() > clock.monotonic_ms()


def test_peer_gets_an_old_entry_that_a_settled_view_has_taken(view, clock):
    peer = fleet_view.make_fleet_view(clock, SERVER_EXPIRY_MS)
    other = flow_support.make_entry(2, 2, 30, sequence=3)
    copy = flow_support.make_entry(1, 2, 10, sequence=1, slots=3)
    for balancer_view in (view, peer):
        read(
            balancer_view,
            clock,
            1,
            40,
            [flow_support.make_entry(1, 1, 40, 9, slots=2)],
        )
        read(balancer_view, clock, 2, 30, [copy, other])
    clock.advance(SETTLING_MS)
    read(view, clock, 2, 35, [copy, other])
    assert view.servers['gate-1'].slots == 3
    peer.settle_due_ms = None
    peer.apply_difference(
        view.difference_since(
            peer.configuration.version, peer.content_revision
        )
    )
    assert peer.servers == view.servers


def test_first_read_of_a_late_era_is_no_restore(view, clock):
    read(view, clock, 7, 30, [flow_support.make_entry(1, 7, 30, sequence=3)])
    assert view.settle_due_ms is None
    assert view.era == 7


@hypothesis.given(
    strategies.integers(-5, store_revision.MAX_ERA + 5),
    strategies.integers(-5, store_revision.MAX_NUMBER + 5),
)
def test_qualified_revision_keeps_both_parts_or_raises(era, number):
    try:
        revision = store_revision.qualify(era, number)
    except ValueError:
        return
    assert store_revision.era_of(revision) == era
    assert store_revision.number_of(revision) == number
    assert 0 <= revision < 2**63
