"""A state machine of balancers that confirm each other's views."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import view_sync_simulation

PAUSE_MS = strategies.sampled_from((10, 150, 400, 1_000, 1_900))


class ViewSyncMachine(stateful.RuleBasedStateMachine):
    """Balancers are paused, added and stopped; the store goes away.

    A live server whose entry has expired writes again within 1.9 s after the
    store's return.
    """

    def __init__(self):
        super().__init__()
        self.fleet = view_sync_simulation.ViewSyncSimulation(3, 3)
        self.expired = {}
        self.return_due_ms = None
        # Names that each balancer has listed at any time.
        self.known = {}
        self.run_for(400)

    def run_for(self, duration_ms):
        self.fleet.run(duration_ms, self.check)

    def check(self):
        now_ms = self.fleet.clock.monotonic_ms()
        if self.return_due_ms is not None and now_ms >= self.return_due_ms:
            self.return_due_ms = None
            self.fleet.put_back(self.expired)
            self.expired = {}
        live = self.fleet.live_since(now_ms)
        for balancer in self.fleet.balancers.values():
            view = balancer.view
            if view.confirmation.confirmed_ms is None:
                continue
            confirmed_ms = view.confirmation.confirmed_ms
            assert view.read_revision >= self.fleet.store.revision_at(
                confirmed_ms
            )
            known = self.known.setdefault(balancer.ip, set())
            known.update(view.servers)
            if view.confirmation.is_complete:
                registered = {
                    name
                    for name, since_ms in live.items()
                    if since_ms < confirmed_ms
                }
                assert registered <= known

    @stateful.rule(pause_ms=PAUSE_MS)
    def wait(self, pause_ms):
        self.run_for(pause_ms)

    @stateful.rule(data=strategies.data(), pause_ms=PAUSE_MS)
    def pause_or_wake(self, data, pause_ms):
        ip = data.draw(strategies.sampled_from(sorted(self.fleet.balancers)))
        balancer = self.fleet.balancers[ip]
        balancer.is_paused = not balancer.is_paused
        self.run_for(pause_ms)

    @stateful.precondition(lambda self: not self.fleet.store.is_down)
    @stateful.rule(pause_ms=PAUSE_MS)
    def add_server(self, pause_ms):
        if len(self.fleet.reporting) < 8:
            self.fleet.add_server()
        self.run_for(pause_ms)

    @stateful.rule(pause_ms=PAUSE_MS, meets_peers=strategies.booleans())
    def add_balancer(self, pause_ms, meets_peers):
        if len(self.fleet.balancers) < 6:
            seeds = ('10.1.0.1', '10.1.0.2') if meets_peers else ('10.1.0.99',)
            self.fleet.add_balancer(seeds)
        self.run_for(pause_ms)

    @stateful.precondition(lambda self: len(self.fleet.balancers) > 1)
    @stateful.rule(data=strategies.data())
    def stop_balancer(self, data):
        ip = data.draw(strategies.sampled_from(sorted(self.fleet.balancers)))
        del self.fleet.balancers[ip]

    @stateful.precondition(
        lambda self: not self.fleet.store.is_down and not self.expired
    )
    @stateful.rule()
    def take_store_down(self):
        self.fleet.store.is_down = True

    @stateful.precondition(lambda self: self.fleet.store.is_down)
    @stateful.rule(count=strategies.integers(0, 3), pause_ms=PAUSE_MS)
    def return_store(self, count, pause_ms):
        self.run_for(pause_ms)
        names = sorted(self.fleet.reporting)[:count]
        self.expired = {n: self.fleet.reporting.pop(n) for n in names}
        for name in names:
            self.fleet.store.remove(name)
        self.fleet.store.is_down = False
        self.return_due_ms = self.fleet.clock.monotonic_ms() + 1_900
        self.run_for(100)


TestViewSyncMachine = ViewSyncMachine.TestCase
TestViewSyncMachine.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=15, deadline=None
)
