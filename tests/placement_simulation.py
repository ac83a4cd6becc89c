"""Simulation of connection placement with delayed load reports."""

import itertools
import random

import attrs
import manual_clock

from kingcupport.agent import placement
from kingcupport.connections import connection_table
from kingcupport.requests import peer_loads
from kingcupport.requests import work_sharing
from kingcupport.routing import bucket_table
from kingcupport.wire import work_messages


@attrs.frozen
class PlacementResult:
    """Measurements of a burst of new connections.

    Args:
        passed_on_percent: OPEN packets passed on, as a percentage of the
            connections.
        imbalance: Ratio of the largest connection count of an agent to the
            mean.
    """

    passed_on_percent: float
    imbalance: float


class _SimulatedConnection:
    """Minimal connection that a ConnectionTable can hold."""

    def __init__(self, connection_id):
        self.identity = self
        self.connection_id = connection_id


class PlacementSimulation:
    """Runs the production placement code for the agents of one service.

    Args:
        agents_count: Number of agents.
        seed: Seed of the connection ids and of the order of the reports.
        bound_percent: Value of the setting ``placement_bound_percent``.
    """

    def __init__(self, agents_count, seed, bound_percent=2):
        self.clock = manual_clock.ManualClock()
        self.rng = random.Random(seed)
        self.names = [f'agent-{i}' for i in range(agents_count)]
        self.buckets = bucket_table.BucketTable(
            tuple(bucket_table.Host(name, 100) for name in self.names)
        )
        self.tables = {
            name: connection_table.ConnectionTable(self.clock, 20_000)
            for name in self.names
        }
        self.loads = {
            name: peer_loads.PeerLoads(self.clock, table.__len__)
            for name, table in self.tables.items()
        }
        self.placements = {
            name: placement.OpenPlacement(
                name,
                bound_percent,
                self.tables[name].__len__,
                self.loads[name].expected_mean_connections,
            )
            for name in self.names
        }
        self.passed_on = 0
        self.unreported_peers = {name: [] for name in self.names}

    def counts(self):
        return [len(table) for table in self.tables.values()]

    def open(self):
        """Open one connection and return the agent that accepted it."""
        connection_id = self.rng.getrandbits(64)
        candidates = self.buckets.candidates(connection_id, 8)
        name, declined = candidates[0], []
        while True:
            decision, next_name = self.placements[name].decide(
                candidates, declined
            )
            if decision == placement.Placement.ACCEPT:
                self.tables[name].add(_SimulatedConnection(connection_id))
                return name
            self.passed_on += 1
            declined.append(name)
            name = next_name

    def report(self, name):
        """Exchange reports with a few peers at a time, as WorkSharing does."""
        unreported_peers = self.unreported_peers[name]
        if not unreported_peers:
            unreported_peers += [n for n in self.names if n != name]
            self.rng.shuffle(unreported_peers)
        for _ in range(
            min(work_sharing.REPORTED_PEERS_COUNT, len(unreported_peers))
        ):
            peer = unreported_peers.pop()
            self._deliver_report(name, peer)
            self._deliver_report(peer, name)

    def _deliver_report(self, sender, receiver):
        self.loads[receiver].record_report(
            work_messages.LoadReport(sender, 1, len(self.tables[sender]), 0, 0)
        )

    def open_burst(self, count, duration_ms):
        """Open connections at a constant rate and return a PlacementResult."""
        for name in self.names * 2:
            self.report(name)
        start_ms = self.clock.monotonic_ms()
        offsets = [
            self.rng.randrange(work_sharing.REPORT_INTERVAL_MS)
            for _ in self.names
        ]
        next_report_ms = {
            name: start_ms + offset
            for name, offset in zip(self.names, offsets, strict=True)
        }
        for opened_count in itertools.count(1):
            now_ms = self.clock.monotonic_ms()
            for name, report_at_ms in next_report_ms.items():
                if now_ms >= report_at_ms:
                    next_report_ms[name] += work_sharing.REPORT_INTERVAL_MS
                    self.report(name)
            self.open()
            if opened_count == count:
                break
            self.clock.advance(duration_ms / count)
        counts = self.counts()
        return PlacementResult(
            100 * self.passed_on / count,
            max(counts) * len(counts) / sum(counts),
        )
