"""A state machine of balancers that follow a store which is restored."""

import attrs
import flow_support
from hypothesis import stateful
from hypothesis import strategies

from kingcupport.flows import fleet_source
from kingcupport.flows import fleet_view
from kingcupport.flows import store_revision
from kingcupport.flows import view_confirmation

SERVER_EXPIRY_MS = 3_000


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
        return flow_support.make_entry(
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
        self.rewrite_due_ms = (
            now_ms + view_confirmation.REREGISTRATION_GRACE_MS - 500
        )
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
            and sender.confirmation.confirmed_ms is not None
        ):
            receiver.confirm(
                sender.confirmation.confirmed_ms, sender.read_revision
            )

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
