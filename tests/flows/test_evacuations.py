"""Tests which data centres a view takes as evacuated, and since when."""

import flow_support
import msgpack
import pytest
import xxhash

from kingcupport.flows import evacuations
from kingcupport.flows import fleet_source
from kingcupport.flows import fleet_view
from kingcupport.flows import flow_server
from kingcupport.flows import store_revision
from kingcupport.flows import view_confirmation

SERVER_EXPIRY_MS = 3_000
SETTLING_MS = SERVER_EXPIRY_MS + view_confirmation.SETTLING_MARGIN_MS


@pytest.fixture
def clock():
    return flow_support.make_clock()


@pytest.fixture
def view(clock):
    return make_view(clock)


def make_view(clock):
    return fleet_view.make_fleet_view(clock, SERVER_EXPIRY_MS)


def read(view, revision, *evacuated, era=0, is_full_read=True, **fields):
    """Apply a read with entries ``(data centre, number of the revision)``."""
    update = fleet_source.FleetUpdate(
        store_revision.qualify(era, revision),
        is_full_read,
        servers=[flow_support.make_entry(1, 0, 1, 1)],
        evacuations=[
            (name, True, store_revision.qualify(era, number))
            for name, number in evacuated
        ],
        **fields,
    )
    return view.apply_update(update, view._clock.monotonic_ms())


def watch(view, revision, *events):
    """Apply events ``(data centre, is evacuated, revision)``."""
    return view.apply_update(
        fleet_source.FleetUpdate(revision, False, evacuations=list(events)),
        view._clock.monotonic_ms(),
    )


def active(view):
    return sorted(view.evacuations.active)


def exchange(sender, receiver):
    difference = sender.difference_since(
        receiver.configuration.version, receiver.content_revision
    )
    receiver.apply_difference(msgpack.unpackb(msgpack.packb(difference)))


def record_audit(view):
    lines = []
    view.on_change(lambda kind, fields: lines.append((kind, fields)))
    return lines


def test_full_read_starts_and_ends_an_evacuation(view):
    assert read(view, 10, ('dakar', 9))
    assert active(view) == ['dakar']
    assert read(view, 20)
    assert active(view) == []


def test_watch_starts_and_ends_an_evacuation(view):
    read(view, 10)
    assert watch(view, 11, ('dakar', True, 11))
    assert active(view) == ['dakar']
    assert watch(view, 12, ('dakar', False, 12))
    assert active(view) == []


def test_start_and_end_in_one_watch_leave_the_later_state(view):
    read(view, 10)
    watch(view, 12, ('dakar', True, 11), ('dakar', False, 12))
    assert active(view) == []


def test_delayed_answer_neither_starts_nor_ends_an_evacuation(view):
    """Guards that an older revision never replaces a newer one."""
    read(view, 10)
    watch(view, 20, ('dakar', True, 20))
    read(view, 15)
    assert active(view) == ['dakar']
    watch(view, 30, ('dakar', False, 30))
    read(view, 25, ('dakar', 20))
    assert active(view) == []


def test_entry_written_again_is_no_change_but_outdates_a_removal(view, clock):
    """A lagging peer reports the removal before the last write."""
    read(view, 10)
    watch(view, 11, ('dakar', True, 11))
    lines = record_audit(view)
    watch(view, 14, ('dakar', True, 14))
    assert not lines
    lagging = make_view(clock)
    read(lagging, 10)
    watch(lagging, 13, ('dakar', True, 11), ('dakar', False, 13))
    exchange(lagging, view)
    assert active(view) == ['dakar']
    exchange(view, lagging)
    assert active(lagging) == ['dakar']


def test_repeated_full_reads_do_not_raise_the_content_revision(view):
    """Otherwise every read made all peers pull the view."""
    read(view, 10, ('dakar', 5))
    content = view.content_revision
    assert not read(view, 20, ('dakar', 5))
    assert view.content_revision == content


def test_peer_learns_of_the_start_and_the_end(view, clock):
    peer = make_view(clock)
    read(view, 10)
    read(peer, 10)
    watch(view, 11, ('dakar', True, 11))
    assert view.content_revision > peer.content_revision
    assert view.digest != peer.digest
    exchange(view, peer)
    assert active(peer) == ['dakar']
    assert peer.digest == view.digest
    assert peer.content_revision == view.content_revision
    watch(view, 12, ('dakar', False, 12))
    exchange(view, peer)
    assert active(peer) == []
    assert peer.digest == view.digest


def test_difference_of_a_lagging_peer_changes_nothing(view, clock):
    peer = make_view(clock)
    read(peer, 10, ('dakar', 9))
    read(view, 10, ('dakar', 9))
    watch(view, 12, ('dakar', False, 12))
    exchange(peer, view)
    assert active(view) == []


def test_ended_evacuation_leaves_the_digest_of_a_view_that_never_saw_it(
    view, clock
):
    """A balancer that started later could confirm no peer otherwise."""
    later = make_view(clock)
    read(later, 20)
    read(view, 10, ('dakar', 9))
    read(view, 20)
    assert view.digest == later.digest


def test_without_an_evacuation_peers_of_former_versions_see_no_change(view):
    """Digest and difference are byte for byte those of former versions."""
    read(view, 10)
    read(view, 11, configuration=flow_support.make_configuration(2))
    (server,) = view.servers.values()
    rows = [flow_server.contents_to_plain(server)]
    assert view.digest == xxhash.xxh3_64_intdigest(msgpack.packb([rows, []]))
    assert view.difference_since(2, 0) == [
        None,
        [flow_server.server_to_plain(server)],
        [],
        view.content_revision,
    ]


def apply_as_a_former_version(view, plain):
    """Apply a difference as versions without evacuations do."""
    _, servers, removed, revision = plain
    for item in servers:
        server = flow_server.server_from_plain(item)
        view._put(server, server.revision)
    for name, removed_revision in removed:
        view._remove(name, removed_revision)
    view.content_revision = max(view.content_revision, revision)


def test_peer_of_a_former_version_takes_a_difference_with_an_evacuation(
    view, clock
):
    former = make_view(clock)
    read(view, 10, ('dakar', 9))
    plain = msgpack.unpackb(msgpack.packb(view.difference_since(0, 0)))
    apply_as_a_former_version(former, plain)
    assert former.servers.keys() == view.servers.keys()
    assert former.content_revision == view.content_revision


def test_evacuation_is_learnt_even_if_the_revision_came_from_a_former_version(
    view, clock
):
    """A mixed fleet: the middle peer passes on the revision only."""
    former = make_view(clock)
    last = make_view(clock)
    read(view, 10, ('dakar', 9))
    apply_as_a_former_version(former, view.difference_since(0, 0))
    exchange(former, last)
    assert last.content_revision == view.content_revision
    exchange(view, last)
    assert active(last) == ['dakar']


@pytest.mark.parametrize(
    'row',
    [
        [b'', 5],
        [b'\xc1', 5],
        [msgpack.packb(['dakar', 1, 5]), 5],
        [msgpack.packb(['', True, 5]), 5],
        [msgpack.packb(['dakar', True]), 5],
        [msgpack.packb({'dakar': True}), 5],
        [msgpack.packb(['dakar', True, 5]), 'x'],
        [msgpack.packb(['dakar', True, 5])],
    ],
)
def test_malformed_row_of_a_peer_raises_value_error(view, row):
    """The exchange handles these errors and counts the pull as failed."""
    with pytest.raises(ValueError):
        view.apply_difference([None, [], [row], 5])
    assert active(view) == []


def test_evacuation_that_a_restored_copy_lacks_stays_until_it_settles(
    view, clock
):
    read(view, 40, ('dakar', 30), era=1)
    read(view, 20, era=2)
    assert active(view) == ['dakar']
    clock.advance(SETTLING_MS)
    read(view, 25, era=2)
    assert active(view) == []


def test_evacuation_written_again_after_a_restore_stays(view, clock):
    read(view, 40, ('dakar', 30), era=1)
    read(view, 20, era=2)
    read(view, 22, ('dakar', 21), era=2)
    clock.advance(SETTLING_MS)
    read(view, 25, ('dakar', 21), era=2)
    assert active(view) == ['dakar']


def test_removal_after_a_restore_ends_an_evacuation_at_once(view):
    read(view, 40, ('dakar', 10), era=1)
    read(view, 20, ('dakar', 10), era=2)
    removal = store_revision.qualify(2, 21)
    watch(view, removal, ('dakar', False, removal))
    assert active(view) == []


def test_copy_does_not_bring_back_an_ended_evacuation(view, clock):
    """The operator removes it again; a settled view takes what there is."""
    read(view, 30, ('dakar', 10), era=1)
    read(view, 40, era=1)
    read(view, 20, ('dakar', 10), era=2)
    assert active(view) == []
    clock.advance(SETTLING_MS)
    read(view, 25, ('dakar', 10), era=2)
    assert active(view) == ['dakar']


def test_new_evacuation_right_after_a_restore_is_taken_at_once(view):
    """Guards EVAC: settling takes longer than the bound allows."""
    read(view, 30, ('dakar', 10), era=1)
    read(view, 40, era=1)
    read(view, 21, ('dakar', 21), era=2)
    assert active(view) == ['dakar']


def test_peer_does_not_bring_back_an_ended_evacuation_from_a_copy(view, clock):
    read(view, 30, ('dakar', 10), era=1)
    read(view, 40, era=1)
    started = make_view(clock)
    read(started, 20, ('dakar', 10), era=2)
    exchange(started, view)
    assert active(view) == []


def test_outage_of_the_store_changes_nothing(view, clock):
    read(view, 10, ('dakar', 9))
    clock.advance(60_000)
    assert active(view) == ['dakar']
    read(view, 20, ('dakar', 9))
    assert active(view) == ['dakar']


def test_audit_trail_has_start_and_end_once(view):
    lines = record_audit(view)
    for revision in (10, 11):
        read(view, revision, ('dakar', 9))
    for revision in (12, 13):
        read(view, revision)
    assert [line for line in lines if line[0].startswith('evac')] == [
        ('evacuation_started', {'data_centre': 'dakar', 'revision': '0:10'}),
        ('evacuation_ended', {'data_centre': 'dakar', 'revision': '0:12'}),
    ]


def test_rejected_item_is_reported_once_and_changes_nothing(view):
    read(view, 10, ('dakar', 9))
    lines = record_audit(view)
    for revision in (11, 12):
        read(
            view,
            revision,
            rejected_evacuations=[('dakar', 'no revision'), ('x', 'unknown')],
        )
    assert active(view) == ['dakar']
    assert [fields['data_centre'] for _, fields in lines] == ["'dakar'", "'x'"]
    assert {kind for kind, _ in lines} == {'evacuation_rejected'}


def test_number_of_data_centres_is_bounded(view):
    """A faulty writer must not fill the memory of the fleet."""
    names = [(f'dc-{n}', 5) for n in range(evacuations.MAX_DATA_CENTRES + 9)]
    read(view, 10, *names)
    assert len(active(view)) == evacuations.MAX_DATA_CENTRES


def test_evacuation_is_known_before_the_servers_of_the_same_read(view):
    """A new view takes flows as soon as it lists a server."""
    known = []
    view.on_change(lambda kind, _: known.append((kind, active(view))))
    read(view, 10, ('dakar', 9))
    assert ('server_changed', ['dakar']) in known
