"""Tests that a view never reverts to an older revision of an entry.

Delayed reads and peers that lag behind deliver old revisions of entries.
"""

import random
import zlib

import flow_support
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgpack
import pytest

from kingcupport.flows import fleet_source
from kingcupport.flows import fleet_view
from kingcupport.flows import flow_route
from kingcupport.flows import view_confirmation


def make_update(revision, servers=(), *, is_full_read=True, **fields):
    return fleet_source.FleetUpdate(
        revision, is_full_read, servers=list(servers), **fields
    )


@pytest.fixture
def clock():
    return flow_support.make_clock()


@pytest.fixture
def view(clock):
    return fleet_view.make_fleet_view(clock)


def read(view, clock, update):
    return view.apply_update(update, clock.monotonic_ms())


def test_a_missing_server_is_removed(view, clock):
    servers = [flow_support.make_server(i) for i in (1, 2)]
    read(view, clock, make_update(10, servers))
    read(view, clock, make_update(11, servers[:1]))
    assert list(view.servers) == ['gate-1']


def test_a_server_that_expired_during_an_outage_has_2_s_to_return(view, clock):
    servers = [flow_support.make_server(i) for i in (1, 2)]
    read(view, clock, make_update(10, servers))
    clock.advance(view_confirmation.MIN_OUTAGE_MS + 1)
    read(view, clock, make_update(20, servers[:1]))
    assert len(view.servers) == 2
    clock.advance(1_000)
    returned = flow_support.make_server(2, revision=25)
    read(view, clock, make_update(30, [servers[0], returned]))
    clock.advance(1_500)
    read(view, clock, make_update(31, [servers[0], returned]))
    assert len(view.servers) == 2


def test_a_server_that_does_not_return_after_an_outage_is_removed(view, clock):
    servers = [flow_support.make_server(i) for i in (1, 2)]
    read(view, clock, make_update(10, servers))
    clock.advance(view_confirmation.MIN_OUTAGE_MS + 1)
    read(view, clock, make_update(20, servers[:1]))
    for revision in (30, 31, 32):
        clock.advance(1_000)
        read(view, clock, make_update(revision, servers[:1]))
    assert list(view.servers) == ['gate-1']


def test_a_draining_server_that_leaves_during_an_outage_is_removed(
    view, clock
):
    draining = flow_support.make_server(2, is_draining=True)
    read(view, clock, make_update(10, [draining]))
    clock.advance(view_confirmation.MIN_OUTAGE_MS + 1)
    read(view, clock, make_update(20, []))
    assert not view.servers


def test_a_heartbeat_is_no_change(view, clock):
    read(view, clock, make_update(10, [flow_support.make_server(1)]))
    content = view.content_revision
    heartbeat = flow_support.make_server(1, revision=12)
    assert not read(view, clock, make_update(12, [heartbeat]))
    assert view.content_revision == content


def test_a_delayed_read_does_not_undo_a_drain(view, clock):
    draining = flow_support.make_server(1, is_draining=True, revision=12)
    read(view, clock, make_update(12, [draining]))
    read(view, clock, make_update(11, [flow_support.make_server(1)]))
    assert view.servers['gate-1'].is_draining


def test_a_difference_brings_a_peer_up_to_date(view, clock):
    read(
        view,
        clock,
        make_update(
            10,
            [flow_support.make_server(1), flow_support.make_server(2)],
            configuration=flow_support.make_configuration(3),
        ),
    )
    peer = fleet_view.make_fleet_view(clock)
    peer.apply_difference(view.difference_since(0, 0))
    assert peer.servers == view.servers
    assert peer.configuration == view.configuration
    read(view, clock, make_update(11, [flow_support.make_server(1)]))
    peer.apply_difference(
        view.difference_since(
            peer.configuration.version, peer.content_revision
        )
    )
    assert peer.servers == view.servers
    assert peer.content_revision == view.content_revision


def test_a_large_configuration_takes_little_of_a_slow_link(view, clock):
    """58 peers pull it at the same time from one link of 10 Mbit/s."""
    rng = random.Random(1)
    addresses = [
        ((f'198.18.{n // 250}.{n % 250}', rng.randrange(1024, 65_536)), 'gate')
        for n in range(1_200)
    ]
    configuration = flow_support.make_configuration(3, addresses)
    read(view, clock, make_update(10, configuration=configuration))
    difference = view.difference_since(0, 0)
    assert len(msgpack.packb(difference)) * 58 < 1_250_000
    peer = fleet_view.make_fleet_view(clock)
    peer.apply_difference(msgpack.unpackb(msgpack.packb(difference)))
    assert peer.configuration == configuration
    newer = flow_support.make_configuration(4)
    read(view, clock, make_update(11, configuration=newer))
    peer.apply_difference(view.difference_since(3, 10))
    assert peer.configuration == newer


PLAIN_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(0, 9)
    | strategies.sampled_from(('r', 'gate', '198.18.0.1')),
    lambda values: strategies.lists(values, max_size=7),
    max_leaves=12,
)


@hypothesis.given(
    strategies.binary(max_size=60)
    | PLAIN_VALUES.map(msgpack.packb).map(zlib.compress)
)
def test_a_decoded_configuration_is_valid_or_raises(data):
    try:
        configuration = flow_route.decode_configuration(data)
    except (ValueError, TypeError):
        return
    again = flow_route.decode_configuration(
        flow_route.encode_configuration(configuration)
    )
    assert again == configuration
    assert type(configuration.version) is int
    assert type(configuration.idle_timeout_ms) is int
    for address, route in configuration.routes.items():
        assert list(map(type, address)) == [str, int]
        assert route.choose_service(b'flow') in (None, *route.service_names)


@pytest.mark.parametrize(
    'plain',
    [
        [None, 1, []],
        [1, '1', []],
        [1, 1, [['r', ['198.18.0.1', '80'], [], True, 0, 0, 0]]],
        [1, 1, [['r', ['198.18.0.1', 80], [['gate', '1']], True, 0, 0, 0]]],
        [1, 1, [['r', ['198.18.0.1', 80], [], 1, 0, 0, 0]]],
        [1, 1, [['r', ['198.18.0.1', 80], [], True, 0, 0]]],
        [1, 1],
    ],
)
def test_a_damaged_configuration_is_refused(plain):
    with pytest.raises((ValueError, TypeError)):
        flow_route.decode_configuration(zlib.compress(msgpack.packb(plain)))


def test_an_invalid_entry_removes_its_server(view, clock):
    read(view, clock, make_update(10, [flow_support.make_server(1)]))
    read(
        view,
        clock,
        make_update(11, is_full_read=False, invalid=[('gate-1', 11)]),
    )
    assert not view.servers


def test_put_off_removal_is_part_of_the_digest(view, clock):
    """A peer that has not read the removal must not skip it."""
    peer = fleet_view.make_fleet_view(clock)
    servers = [flow_support.make_server(n) for n in (1, 2)]
    for each in (view, peer):
        read(each, clock, make_update(10, servers))
    clock.advance(view_confirmation.MIN_OUTAGE_MS + 1)
    read(view, clock, make_update(14, servers[:1]))
    assert view.servers == peer.servers
    assert view.digest != peer.digest
    read(view, clock, make_update(15, servers))
    assert view.digest == peer.digest


def test_view_is_complete_once_missing_entries_had_time_to_return(view, clock):
    """Guards review/3: a new view cannot tell whether the store was away."""
    complete_after_ms = (
        view_confirmation.REREGISTRATION_GRACE_MS
        + view_confirmation.SETTLING_MARGIN_MS
    )
    read(view, clock, make_update(10))
    clock.advance(complete_after_ms - 1)
    read(view, clock, make_update(11))
    assert not view.confirmation.is_complete
    clock.advance(1)
    read(view, clock, make_update(12))
    assert view.confirmation.is_complete
    clock.advance(view_confirmation.MIN_OUTAGE_MS + 1)
    read(view, clock, make_update(13))
    assert not view.confirmation.is_complete


def test_peer_that_knows_of_no_missing_entry_makes_a_view_complete(
    view, clock
):
    read(view, clock, make_update(10))
    view.confirm(clock.monotonic_ms() - 5, 10, is_complete=True)
    clock.advance(500)
    view.confirm(clock.monotonic_ms() - 5, 11)
    assert view.confirmation.is_complete


def settle(view, clock, servers):
    read(view, clock, make_update(20, servers))
    clock.advance(
        view_confirmation.REREGISTRATION_GRACE_MS
        + view_confirmation.SETTLING_MARGIN_MS
    )
    read(view, clock, make_update(21, servers))
    assert view.confirmation.is_complete


def test_invalid_entry_may_hide_a_server_until_it_has_written_again(
    view, clock
):
    """Guards against a reset of flows at a server that is not known."""
    settle(view, clock, [flow_support.make_server(1)])
    odd = {'is_full_read': False, 'invalid': [('gate-9', 30)]}
    clock.advance(10)
    read(view, clock, make_update(30, **odd))
    assert not view.confirmation.is_complete
    for revision in (31, 32, 33):
        clock.advance(1_000)
        odd['invalid'] = [('gate-9', revision)]
        read(view, clock, make_update(revision, **odd))
    # Its server has had time to write; nobody did but the other writer.
    assert view.confirmation.is_complete


def test_server_that_has_written_again_replaces_an_invalid_entry(view, clock):
    settle(view, clock, [flow_support.make_server(1)])
    update = make_update(
        42,
        [flow_support.make_server(1, revision=42)],
        is_full_read=False,
        invalid=[('gate-1', 41)],
    )
    read(view, clock, update)
    assert set(view.servers) == {'gate-1'}


def test_rejected_entry_is_reported_once(view, clock):
    kinds = []
    view.on_change(lambda kind, _fields: kinds.append(kind))
    for revision in (20, 21, 22):
        read(view, clock, make_update(revision, invalid=[('x', revision)]))
    assert kinds == ['server_rejected']


class ViewMachine(stateful.RuleBasedStateMachine):
    """A store and two views; reads arrive late, repeated and out of order."""

    def __init__(self):
        super().__init__()
        self.clock = flow_support.make_clock()
        self.views = [fleet_view.make_fleet_view(self.clock) for _ in 'ab']
        self.revision = 1
        self.version = 1
        self.entries = {}
        self.removed = {}
        self.waiting = []
        self.seen = [{}, {}]

    def _next(self):
        self.revision += 1
        return self.revision

    @stateful.rule(
        number=strategies.integers(1, 4), drains=strategies.booleans()
    )
    def write_server(self, number, drains):
        server = flow_support.make_server(
            number, is_draining=drains, revision=self._next()
        )
        self.entries[server.name] = server
        self.removed.pop(server.name, None)

    @stateful.rule(number=strategies.integers(1, 4))
    def remove_server(self, number):
        if self.entries.pop(f'gate-{number}', None):
            self.removed[f'gate-{number}'] = self._next()

    @stateful.rule()
    def write_configuration(self):
        self.version += 1
        self._next()

    @stateful.rule()
    def read_all(self):
        self.waiting.append(
            make_update(
                self.revision,
                self.entries.values(),
                configuration=flow_support.make_configuration(self.version),
            )
        )

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(view=strategies.integers(0, 1), data=strategies.data())
    def deliver(self, view, data):
        update = data.draw(strategies.sampled_from(self.waiting))
        self.views[view].apply_update(update, self.clock.monotonic_ms())

    @stateful.rule(source=strategies.integers(0, 1))
    def exchange(self, source):
        sender, receiver = self.views[source], self.views[1 - source]
        receiver.apply_difference(
            sender.difference_since(
                receiver.configuration.version, receiver.content_revision
            )
        )

    @stateful.rule(pause_ms=strategies.sampled_from((10, 1_000, 10_000)))
    def wait(self, pause_ms):
        self.clock.advance(pause_ms)

    @stateful.invariant()
    def no_revision_decreases(self):
        for view, seen in zip(self.views, self.seen, strict=True):
            assert view.configuration.version >= seen.get('version', 0)
            seen['version'] = view.configuration.version
            for name, server in view.servers.items():
                assert server.revision >= seen.get(name, 0)
                seen[name] = server.revision

    def teardown(self):
        newest = make_update(
            self._next(),
            self.entries.values(),
            configuration=flow_support.make_configuration(self.version),
        )
        for view in self.views:
            for _ in range(3):
                view.apply_update(newest, self.clock.monotonic_ms())
                self.clock.advance(
                    view_confirmation.REREGISTRATION_GRACE_MS + 1
                )
                newest.revision = self._next()
                view.confirm(self.clock.monotonic_ms(), 0)
            view.apply_update(newest, self.clock.monotonic_ms())
            assert set(view.servers) == set(self.entries)
            for name, server in self.entries.items():
                assert not view.servers[name].differs_from(server)


TestViewMachine = ViewMachine.TestCase
