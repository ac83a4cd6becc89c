"""Simulation of balancers that follow a store and greet each other.

The views, read schedules and greetings are the product's; the store and the
network are models on one manual clock.
"""

import bisect
import heapq
import itertools
import random

import attrs
import flow_support

from kingcupport.balancer import flow_counters
from kingcupport.balancer import flow_settings
from kingcupport.balancer import flow_view_sync
from kingcupport.common import address
from kingcupport.flows import fleet_source
from kingcupport.flows import fleet_view
from kingcupport.flows import read_schedule
from kingcupport.wire import flow_datagrams

PEER_PORT = 7720
STEP_MS = 10
ONE_WAY_DELAY_MS = 1
EXPIRY_MS = 3_000


class StoreModel(fleet_source.FleetSource):
    """The store, which keeps its whole history.

    Attributes:
        is_down: Whether calls fail and writes are refused.
        oldest_kept_revision: Revision from which the history is kept.
        calls: ``(time, name of the balancer)`` of the successful calls.
    """

    def __init__(self, clock):
        self._clock = clock
        self.revision = 1
        self.entries = {}
        self.history = []
        self.configuration = flow_support.make_configuration()
        self.evacuations = {}
        self._evacuation_events = []
        self.is_down = False
        self.oldest_kept_revision = 0
        self.calls = []
        # When each revision was given out.
        self._times_ms = [clock.monotonic_ms()]

    def revision_at(self, time_ms):
        """Return the revision that the store had just before a time."""
        return bisect.bisect_left(self._times_ms, time_ms)

    def _next_revision(self):
        self.revision += 1
        self._times_ms.append(self._clock.monotonic_ms())

    def write(self, server):
        if self.is_down:
            return
        self._next_revision()
        entry = attrs.evolve(server, revision=self.revision)
        self.entries[server.name] = entry
        self.history.append((self.revision, server.name, entry))

    def remove(self, name):
        self._next_revision()
        self.entries.pop(name)
        self.history.append((self.revision, name, None))

    def set_evacuated(self, data_centre, *, is_active=True):
        self._next_revision()
        self.evacuations.pop(data_centre, None)
        event = (data_centre, is_active, self.revision)
        if is_active:
            self.evacuations[data_centre] = event
        self._evacuation_events.append(event)

    def read_all(self):
        return self._answer(
            True,
            list(self.entries.values()),
            [],
            list(self.evacuations.values()),
        )

    def read_changes(self, after_revision):
        events = {
            name: (revision, entry)
            for revision, name, entry in self.history
            if revision > after_revision
        }
        return self._answer(
            False,
            [entry for _, entry in events.values() if entry is not None],
            [
                (name, revision)
                for name, (revision, entry) in events.items()
                if entry is None
            ],
            [e for e in self._evacuation_events if e[2] > after_revision],
        )

    def read_history(self, after_revision, revision):
        if self.is_down:
            raise fleet_source.SourceError('down', step='read', peer=None)
        if after_revision < self.oldest_kept_revision:
            raise fleet_source.HistoryLostError('gone', step='read', peer=None)
        assert revision <= self.revision
        history = fleet_source.FleetHistory(after_revision, self.revision)
        for written, name, entry in self.history:
            if written > after_revision and entry is not None:
                history.servers.append(entry)
            elif written > after_revision:
                history.removed.append((name, written))
        return history

    def close(self):
        pass

    def _answer(self, is_full_read, servers, removed, evacuations):
        if self.is_down:
            raise fleet_source.SourceError('down', step='read', peer=None)
        return fleet_source.FleetUpdate(
            self.revision,
            is_full_read,
            configuration=self.configuration,
            servers=servers,
            removed=removed,
            evacuations=evacuations,
        )


class _SourceOfOneBalancer(fleet_source.FleetSource):
    """The store as one balancer reaches it."""

    def __init__(self, balancer, store):
        self._balancer = balancer
        self._store = store

    def read_all(self):
        self._check()
        return self._store.read_all()

    def read_changes(self, after_revision):
        self._check()
        return self._store.read_changes(after_revision)

    def close(self):
        pass

    def _check(self):
        if self._balancer.is_turned_away:
            raise fleet_source.SourceError(
                'too many calls', step='read', peer=None
            )


class SimulatedBalancer:
    """The view of one balancer and what keeps it up to date.

    Attributes:
        is_turned_away: Whether the store refuses its calls.
    """

    def __init__(self, fleet, number, seeds, name):
        self._fleet = fleet
        self.name = name
        self.ip = f'10.1.0.{number}'
        self.is_paused = False
        self.is_turned_away = False
        self._inbox = []
        own = address.Address(self.ip, PEER_PORT)
        self.view = fleet_view.make_fleet_view(fleet.clock, EXPIRY_MS)
        self.schedule = read_schedule.make_read_schedule(
            fleet.clock, random.Random(number), self.name, self.view
        )
        self.sync = flow_view_sync.FlowViewSync(
            flow_settings.FlowBalancerSettings(
                self.name, 'dakar', own, own, own, '/ready', 8172, seeds
            ),
            fleet.clock,
            random.Random(number),
            self.view,
            self.schedule,
            _SourceOfOneBalancer(self, fleet.store),
            self._pull,
            flow_counters.FlowCounters(),
            self._send,
        )
        self._next_greeting_ms = fleet.clock.monotonic_ms()

    def step(self):
        if self.is_paused:
            return
        inbox, self._inbox = self._inbox, []
        for data, ip in inbox:
            self.sync.on_greeting(flow_datagrams.decode(data), ip)
        if self.sync.read_if_due() and not self._fleet.store.is_down:
            self._fleet.store.calls.append(
                (self._fleet.clock.monotonic_ms(), self.name)
            )
        if self._fleet.clock.monotonic_ms() >= self._next_greeting_ms:
            self._next_greeting_ms += flow_view_sync.GREETING_INTERVAL_MS
            self.sync.greet()
        self.sync.pull_if_requested()

    def receive(self, data, ip):
        self._inbox.append((data, ip))

    def _send(self, data, destination):
        self._fleet.deliver(data, self.ip, destination[0])

    def _pull(self, ip):
        peer = self._fleet.balancers.get(ip)
        if peer is None or peer.is_paused:
            return False
        self.view.apply_difference(
            peer.view.difference_since(
                self.view.configuration.version, self.view.content_revision
            )
        )
        return True


class ViewSyncSimulation:
    """Balancers, their store and its servers, which report every 770 ms.

    Attributes:
        clock: ManualClock.
        store: StoreModel.
        balancers: SimulatedBalancer by address.
        reporting: Servers that write their entries, by name.
    """

    def __init__(self, balancers, servers):
        self.clock = flow_support.make_clock()
        self.store = StoreModel(self.clock)
        self.balancers = {}
        self._numbers = itertools.count(1)
        self._deliveries = []
        self._order = itertools.count()
        self._next_report_ms = 0.0
        self._server_numbers = itertools.count()
        self._live_since_ms = {}
        self.reporting = {}
        for _ in range(servers):
            self.add_server()
        for _ in range(balancers):
            self.add_balancer()

    def add_balancer(
        self, seeds=('10.1.0.1', '10.1.0.2', '10.1.0.3'), name=None
    ):
        number = next(self._numbers)
        balancer = SimulatedBalancer(self, number, seeds, name or f'b{number}')
        self.balancers[balancer.ip] = balancer
        return balancer

    def add_server(self):
        server = flow_support.make_server(next(self._server_numbers))
        self._live_since_ms[server.name] = self.clock.monotonic_ms()
        self.reporting[server.name] = server
        self.store.write(server)

    def put_back(self, missing):
        """Let servers write again whose entries have expired."""
        self.reporting.update(missing)
        for server in missing.values():
            self.store.write(server)

    def live_since(self, time_ms):
        """Return when the servers that lived at a time had registered."""
        return {
            name: since_ms
            for name, since_ms in self._live_since_ms.items()
            if since_ms < time_ms
        }

    def deliver(self, data, source_ip, ip):
        due_ms = self.clock.monotonic_ms() + ONE_WAY_DELAY_MS
        heapq.heappush(
            self._deliveries, (due_ms, next(self._order), data, source_ip, ip)
        )

    def run(self, duration_ms, check=None):
        end_ms = self.clock.monotonic_ms() + duration_ms
        while self.clock.monotonic_ms() < end_ms:
            now_ms = self.clock.monotonic_ms()
            while self._deliveries and self._deliveries[0][0] <= now_ms:
                _, _, data, source_ip, ip = heapq.heappop(self._deliveries)
                if ip in self.balancers:
                    self.balancers[ip].receive(data, source_ip)
            if now_ms >= self._next_report_ms:
                self._next_report_ms = now_ms + 770
                for server in self.reporting.values():
                    self.store.write(server)
            for balancer in list(self.balancers.values()):
                balancer.step()
            if check is not None:
                check()
            self.clock.advance(STEP_MS)
