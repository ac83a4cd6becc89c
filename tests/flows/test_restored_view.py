"""Tests that a view survives the restore of the store from an older copy."""

import attrs
import flow_support
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from kingcupport.flows import fleet_source
from kingcupport.flows import fleet_view
from kingcupport.flows import read_schedule
from kingcupport.flows import store_revision

SERVER_EXPIRY_MS = 3_000
SETTLING_MS = SERVER_EXPIRY_MS + fleet_view.SETTLING_MARGIN_MS


@pytest.fixture
def clock():
    return flow_support.make_clock()


@pytest.fixture
def view(clock):
    return fleet_view.make_fleet_view(clock, SERVER_EXPIRY_MS)


def make_entry(number, era, revision, sequence, **changes):
    return flow_support.make_server(
        number,
        revision=store_revision.qualify(era, revision),
        sequence=sequence,
        **changes,
    )


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
    read(view, clock, 1, 40, [make_entry(1, 1, 40, sequence=3)])
    draining = make_entry(1, 2, 31, sequence=4, is_draining=True)
    assert read(view, clock, 2, 31, [draining])
    assert view.servers['gate-1'].is_draining


def test_copy_does_not_undo_a_drain(view, clock):
    ready = make_entry(1, 1, 10, sequence=3)
    read(view, clock, 1, 40, [make_entry(1, 1, 40, 4, is_draining=True)])
    assert not read(view, clock, 2, 30, [attrs.evolve(ready)])
    assert view.servers['gate-1'].is_draining


def test_copy_does_not_bring_back_a_server_that_has_left(view, clock):
    entry = make_entry(1, 1, 10, sequence=3)
    read(view, clock, 1, 10, [entry])
    read(view, clock, 1, 40)
    read(view, clock, 2, 30, [make_entry(1, 2, 10, sequence=3)])
    assert not view.servers


def test_server_that_the_copy_lacks_has_2_s_to_return(view, clock):
    known = make_entry(1, 1, 40, sequence=3)
    read(view, clock, 1, 40, [known])
    read(view, clock, 2, 30)
    assert view.servers
    clock.advance(fleet_view.REREGISTRATION_GRACE_MS - 1)
    read(view, clock, 2, 32)
    assert view.servers
    clock.advance(2)
    read(view, clock, 2, 33)
    assert not view.servers


def test_settled_view_takes_the_entry_of_a_server_that_wrote_nothing(
    view, clock
):
    """The clock of a server went back, so its entries look older for good."""
    read(view, clock, 1, 40, [make_entry(1, 1, 40, 9, slots=2)])
    again = make_entry(1, 2, 31, sequence=1, slots=3)
    read(view, clock, 2, 31, [again])
    assert view.servers['gate-1'].slots == 2
    clock.advance(SETTLING_MS)
    assert read(view, clock, 2, 35, [again])
    assert view.servers['gate-1'].slots == 3
    assert view.settle_due_ms is None


def test_read_that_began_before_settling_was_due_does_not_settle(view, clock):
    read(view, clock, 1, 40, [make_entry(1, 1, 40, 9, is_draining=True)])
    copy = make_entry(1, 2, 10, sequence=3)
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
    read(view, clock, 1, 40, [make_entry(1, 1, 40, sequence=3)])
    read(view, clock, 2, 30, [make_entry(1, 2, 30, 4, is_draining=True)])
    with pytest.raises(fleet_source.FormerEraError):
        read(view, clock, 1, 45)
    assert view.servers['gate-1'].is_draining


def test_peer_that_started_from_the_copy_learns_that_a_server_left(
    view, clock
):
    read(view, clock, 1, 10, [make_entry(1, 1, 10, sequence=3)])
    read(view, clock, 1, 40)
    copy = make_entry(1, 2, 10, sequence=3)
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
    read(view, clock, 1, 40, [make_entry(1, 1, 40, sequence=3)])
    read(view, clock, 2, 30, [make_entry(1, 2, 30, sequence=3)])
    due_ms = view.settle_due_ms
    for _ in range(60):
        if schedule.next_read_ms() <= clock.monotonic_ms():
            break
        clock.advance(100)
        # Another balancer reads, so that this one need not.
        view.confirm(clock.monotonic_ms(), store_revision.qualify(2, 30))
    late_ms = clock.monotonic_ms() - due_ms
    assert 0 <= late_ms <= read_schedule.SETTLING_SPREAD_MS + 100
    read(view, clock, 2, 31, [make_entry(1, 2, 30, sequence=3)])
    assert schedule.next_read_ms() > clock.monotonic_ms()


def test_peer_gets_an_old_entry_that_a_settled_view_has_taken(view, clock):
    peer = fleet_view.make_fleet_view(clock, SERVER_EXPIRY_MS)
    other = make_entry(2, 2, 30, sequence=3)
    copy = make_entry(1, 2, 10, sequence=1, slots=3)
    for balancer_view in (view, peer):
        read(balancer_view, clock, 1, 40, [make_entry(1, 1, 40, 9, slots=2)])
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
    read(view, clock, 7, 30, [make_entry(1, 7, 30, sequence=3)])
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


@attrs.define
class ModelServer:
    """A server that writes its entry; ``entry`` is None after it has left."""

    number: int
    boot_utc_ms: int = 1_000
    sequence: int = 0
    is_draining: bool = False
    is_alive: bool = True


class RestoredStoreMachine(stateful.RuleBasedStateMachine):
    """A store that is restored, its writers, and balancers that follow it.

    Writers write again within 2 s of a restore, and entries of servers that
    have left expire after 3 s.
    """

    NAMES = ('a', 'b', 'c')

    def __init__(self):
        super().__init__()
        self.clock = flow_support.make_clock()
        self.era, self.revision = 1, 1
        self.entries, self.history, self.version = {}, [], 0
        self.copies = []
        self.servers = {n: ModelServer(n) for n in range(1, 4)}
        self.confirmed_version = 0
        self.rewrite_due_ms = self.expiry_due_ms = None
        self.views = {}
        self.seen = {}
        for name in self.NAMES:
            self.start_balancer(name)
        self.write_configuration()
        for number in self.servers:
            self._write_server(self.servers[number])

    def _record(self, key, value):
        self.revision += 1
        if value is None:
            del self.entries[key]
        else:
            self.entries[key] = (self.revision, value)
        self.history.append((self.revision, key, value))

    def _write_server(self, server):
        server.sequence += 1
        self._record(f'gate-{server.number}', attrs.evolve(server))

    def _make_server(self, value, revision):
        return make_entry(
            value.number,
            self.era,
            revision,
            value.sequence,
            boot_utc_ms=value.boot_utc_ms,
            is_draining=value.is_draining,
        )

    @stateful.rule(
        number=strategies.integers(1, 3), drains=strategies.booleans()
    )
    def write_server(self, number, drains):
        server = self.servers[number]
        if server.is_alive and (drains or not server.is_draining):
            server.is_draining = drains
            self._write_server(server)

    @stateful.rule(number=strategies.integers(1, 3))
    def leave(self, number):
        server = self.servers[number]
        if server.is_alive and f'gate-{number}' in self.entries:
            server.is_alive = False
            self._record(f'gate-{number}', None)

    @stateful.rule(number=strategies.integers(1, 3))
    def start_again(self, number):
        server = self.servers[number]
        server.boot_utc_ms += 1_000
        server.sequence, server.is_draining = 0, False
        server.is_alive = True
        self._write_server(server)

    @stateful.rule()
    def write_configuration(self):
        self.confirmed_version += 1
        self._record('config', self.confirmed_version)

    @stateful.rule()
    def copy(self):
        self.copies.append(
            (self.revision, dict(self.entries), list(self.history))
        )

    @stateful.precondition(lambda self: self.copies)
    @stateful.rule(data=strategies.data())
    def restore(self, data):
        index = data.draw(strategies.integers(0, len(self.copies) - 1))
        self.revision, entries, history = self.copies[index]
        # Copies that were lost as well cannot be restored later.
        del self.copies[index + 1 :]
        self.entries, self.history = dict(entries), list(history)
        self.era += 1
        now_ms = self.clock.monotonic_ms()
        self.rewrite_due_ms = now_ms + fleet_view.REREGISTRATION_GRACE_MS - 500
        self.expiry_due_ms = now_ms + SERVER_EXPIRY_MS

    @stateful.rule(pause_ms=strategies.sampled_from((100, 700, 5_000)))
    def wait(self, pause_ms):
        for _ in range(pause_ms // 100):
            self.clock.advance(100)
            self._write_due()

    def _write_due(self):
        now_ms = self.clock.monotonic_ms()
        if self.rewrite_due_ms is not None and now_ms >= self.rewrite_due_ms:
            self.rewrite_due_ms = None
            for server in self.servers.values():
                if server.is_alive:
                    self._write_server(server)
            self._record('config', self.confirmed_version)
        if self.expiry_due_ms is not None and now_ms >= self.expiry_due_ms:
            self.expiry_due_ms = None
            for server in self.servers.values():
                key = f'gate-{server.number}'
                if not server.is_alive and key in self.entries:
                    self._record(key, None)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def start_balancer(self, name):
        self.views[name] = fleet_view.make_fleet_view(
            self.clock, SERVER_EXPIRY_MS
        )
        self.seen[name] = {'version': 0, 'orders': {}, 'left': {}}

    @stateful.rule(
        name=strategies.sampled_from(NAMES), is_full=strategies.booleans()
    )
    def read(self, name, is_full):
        view = self.views[name]
        now_ms = self.clock.monotonic_ms()
        number = store_revision.number_of(view.read_revision)
        is_full = (
            is_full
            or view.read_revision == 0
            or store_revision.era_of(view.read_revision) != self.era
            or number > self.revision
            or (
                view.settle_due_ms is not None and now_ms >= view.settle_due_ms
            )
        )
        changes = (
            [(r, k, v) for k, (r, v) in self.entries.items()]
            if is_full
            else [change for change in self.history if change[0] > number]
        )
        update = fleet_source.FleetUpdate(
            store_revision.qualify(self.era, self.revision), is_full
        )
        for revision, key, value in changes:
            if key == 'config':
                update.configuration = flow_support.make_configuration(value)
            elif value is None:
                qualified = store_revision.qualify(self.era, revision)
                update.removed.append((key, qualified))
                update.servers = [s for s in update.servers if s.name != key]
            else:
                update.servers.append(self._make_server(value, revision))
                update.removed = [r for r in update.removed if r[0] != key]
        view.apply_update(update, now_ms)

    @stateful.rule(
        sender=strategies.sampled_from(NAMES),
        receiver=strategies.sampled_from(NAMES),
    )
    def exchange(self, sender, receiver):
        sender, receiver = self.views[sender], self.views[receiver]
        if (
            sender.content_revision > receiver.content_revision
            or sender.configuration.version > receiver.configuration.version
        ):
            receiver.apply_difference(
                sender.difference_since(
                    receiver.configuration.version, receiver.content_revision
                )
            )
        elif (
            sender.content_revision == receiver.content_revision
            and sender.configuration.version == receiver.configuration.version
            and sender.confirmed_ms is not None
        ):
            receiver.confirm(sender.confirmed_ms, sender.read_revision)

    @stateful.invariant()
    def nothing_known_becomes_older(self):
        for name, view in self.views.items():
            seen = self.seen[name]
            assert view.configuration.version >= seen['version']
            seen['version'] = view.configuration.version
            for server in seen['orders'].keys() - view.servers.keys():
                seen['left'][server] = seen['orders'].pop(server)
            for server in view.servers.values():
                order = server.writing_order
                assert order >= seen['orders'].get(server.name, (0, 0))
                assert order > seen['left'].get(server.name, (0, 0))
                seen['orders'][server.name] = order

    def teardown(self):
        for _ in range(2):
            self.wait(5_000)
            for name in self.NAMES:
                self.read(name, is_full=False)
        expected = {
            key: self._make_server(value, revision)
            for key, (revision, value) in self.entries.items()
            if key != 'config'
        }
        for view in self.views.values():
            assert view.configuration.version == self.confirmed_version
            assert view.servers.keys() == expected.keys()
            for name, server in expected.items():
                assert not view.servers[name].differs_from(server)


TestRestoredStoreMachine = RestoredStoreMachine.TestCase
