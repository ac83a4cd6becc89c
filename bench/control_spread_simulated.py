"""Simulates the spread of a release note at design size in virtual time.

Run with ``PYTHONPATH=tests .venv/bin/python`` and this file. Runs the
production registry, puller and gossip of 6,240 processes on an event queue.
Datagrams and calls take a fixed latency and no CPU time. Prints one figure
per line.
"""

import argparse
import collections
import heapq
import itertools
import random
import statistics

import control_support as support

from kingcupport.common import address as address_module
from kingcupport.common import clock as clock_module
from kingcupport.control import address_caller
from kingcupport.control import configuration_poller
from kingcupport.control import control_handlers
from kingcupport.control import difference_puller
from kingcupport.control import fleet_registry
from kingcupport.control import peer_caller
from kingcupport.control import revision_gossip
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note
from kingcupport.observability import audit_trail
from kingcupport.wire import datagrams

# One-way latencies between the three regions are 0.5 to 3 ms.
LATENCY_MS = 3
SIMULATION_LIMIT_MS = 60_000
DATAGRAM_LOSS = 0.01
# The original function; Simulation replaces it by a precomputed result.
_APPLY_RELEASE_NOTE = release_note.apply_release_note


class VirtualClock(clock_module.Clock):
    """Clock that shows the time of the event queue."""

    now_ms = 0.0

    def monotonic_ms(self):
        """Return the virtual time."""
        return self.now_ms

    def utc_ms(self):
        """Return the virtual time."""
        return int(self.now_ms)

    def sleep_until(self, deadline_ms):
        """Return at once."""
        # Retries within one pull are not simulated; the next notice starts a
        # new pull.
        return


class SimulatedCaller(address_caller.AddressCaller):
    """Calls another simulated process without delay."""

    def __init__(self, simulation):
        self._simulation = simulation

    def call_address(self, address, message, deadline_ms):
        """Return the reply to a DifferenceRequest."""
        process = self._simulation.processes.get(address)
        if process is None:
            raise peer_caller.PeerError('gone', step='call', sent=False)
        process.pulls_served += 1
        return process.handlers.on_difference_request(message, '')


class SimulatedProcess:
    """The control plane of one simulated process."""

    def __init__(self, simulation, name, address, fleet):
        rng = random.Random(f'{simulation.seed} {name}')
        counts = collections.Counter()
        caller = SimulatedCaller(simulation)
        audit = audit_trail.AuditTrail(simulation.clock, 4)
        self.registry = fleet_registry.FleetRegistry(audit)
        self.registry.offer_fleet(fleet, 'simulation')
        self.puller = difference_puller.DifferencePuller(
            self.registry,
            caller,
            simulation.clock,
            rng,
            name,
            address,
            counts,
        )
        self.poller = configuration_poller.ConfigurationPoller(
            self.registry, None, rng, counts
        )
        self.gossip = revision_gossip.RevisionGossip(
            self.registry,
            self.puller,
            self.poller,
            caller,
            simulation.clock,
            rng,
            name=name,
            own_address=address,
            send_datagram=simulation.send,
            counts=counts,
        )
        self.handlers = control_handlers.ControlHandlers(
            name, self.registry, audit, counts, str, dict
        )
        self.pulls_served = 0
        self.is_pulling = False


class Simulation:
    """Event queue of all simulated processes."""

    def __init__(self, count, seed):
        self.seed = seed
        self.clock = VirtualClock()
        self._rng = random.Random(seed)
        self._events = []
        self._sequence = itertools.count()
        addresses = [
            address_module.Address(f'10.0.{i // 250}.{i % 250}', 9000)
            for i in range(count)
        ]
        self.fleet = _APPLY_RELEASE_NOTE(
            fleet_module.Fleet(), support.make_first_note(addresses)
        )
        self.processes = {
            a: SimulatedProcess(self, f'b{i}', a, self.fleet)
            for i, a in enumerate(addresses)
        }
        self.note = support.make_note(self.fleet)
        # The note is applied only once and all processes share the result,
        # because only its arrival times are measured here.
        self.new_fleet = _APPLY_RELEASE_NOTE(self.fleet, self.note)
        release_note.apply_release_note = self._return_new_fleet
        self.datagrams = 0

    def _return_new_fleet(self, fleet, note):
        return self.new_fleet

    def schedule(self, delay_ms, action):
        """Schedule an action after a delay."""
        due_ms = self.clock.now_ms + delay_ms
        heapq.heappush(self._events, (due_ms, next(self._sequence), action))

    def send(self, data, address):
        """Deliver a datagram after the latency, unless it is lost."""
        self.datagrams += 1
        if self._rng.random() < DATAGRAM_LOSS:
            return
        notice = datagrams.decode_datagram(data)
        self.schedule(LATENCY_MS, lambda: self._receive(address, notice))

    def _receive(self, address, notice):
        process = self.processes[address]
        process.gossip.on_notice(notice)
        is_behind = notice.revision > process.registry.fleet.revision
        if is_behind and not process.is_pulling:
            process.is_pulling = True
            jitter_ms = self._rng.uniform(0, difference_puller.PULL_JITTER_MS)
            # A TCP connect and one request with its reply.
            self.schedule(
                jitter_ms + 4 * LATENCY_MS, lambda: self._pull(process)
            )

    def _pull(self, process):
        process.is_pulling = False
        process.puller.pull_until_current()

    def _notify(self, process):
        process.gossip.notify_random_peer()
        delay_ms = process.gossip.next_notice_delay_ms()
        self.schedule(delay_ms, lambda: self._notify(process))

    def _poll(self, process):
        process.registry.offer_note(self.note, 'service')
        delay_ms = process.poller.next_delay_ms()
        self.schedule(delay_ms, lambda: self._poll(process))

    def run(self, is_service_up):
        """Return the times in ms until half and until all have the note."""
        for process in self.processes.values():
            self.schedule(
                self._rng.uniform(0, revision_gossip.NOTICE_INTERVAL_MS),
                lambda p=process: self._notify(p),
            )
            if is_service_up:
                # Processes start at a random point of their poll interval.
                delay_ms = process.poller.next_delay_ms()
                self.schedule(
                    self._rng.uniform(0, delay_ms),
                    lambda p=process: self._poll(p),
                )
        if not is_service_up:
            first = next(iter(self.processes.values()))
            first.registry.offer_note(self.note, 'operator')
        return self._run_events()

    def _run_events(self):
        accept_times_ms = []
        for process in self.processes.values():
            process.registry.add_accept_callback(
                lambda old, new: accept_times_ms.append(self.clock.now_ms)
            )
        missing = sum(
            p.registry.fleet.revision < self.note.revision
            for p in self.processes.values()
        )
        while (
            len(accept_times_ms) < missing
            and self.clock.now_ms < SIMULATION_LIMIT_MS
        ):
            self.clock.now_ms, _, action = heapq.heappop(self._events)
            action()
        if len(accept_times_ms) < missing:
            raise SystemExit(
                f'{missing - len(accept_times_ms)} processes '
                'do not have the note'
            )
        return accept_times_ms[len(accept_times_ms) // 2], accept_times_ms[-1]


def _measure(count, runs, is_service_up):
    half_times_s, full_times_s, max_pulls, notice_rates_per_s = [], [], [], []
    for seed in range(runs):
        simulation = Simulation(count, seed)
        half_ms, full_ms = simulation.run(is_service_up)
        half_times_s.append(half_ms / 1000)
        full_times_s.append(full_ms / 1000)
        processes = simulation.processes.values()
        max_pulls.append(max(p.pulls_served for p in processes))
        notice_rates_per_s.append(
            simulation.datagrams / count / full_ms * 1000
        )
    name = 'service up' if is_service_up else 'peers alone'
    print(
        f'in force, {name}, {count} processes: '
        f'half median {statistics.median(half_times_s):.2f} s, '
        f'all median {statistics.median(full_times_s):.2f} s, '
        f'max {max(full_times_s):.2f} s '
        f'({runs} runs, {DATAGRAM_LOSS:.0%} loss)'
    )
    print(
        f'notices a process, {name}, {count} processes: '
        f'{statistics.mean(notice_rates_per_s):.2f} /s while a note spreads'
    )
    print(
        f'differences served by one process, {name}, {count} processes: '
        f'at most {max(max_pulls)} a note'
    )


def main():
    """Run every simulation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--processes', type=int, default=6_240)
    parser.add_argument('--runs', type=int, default=3)
    options = parser.parse_args()
    for is_service_up in (True, False):
        _measure(options.processes, options.runs, is_service_up)


if __name__ == '__main__':
    main()
