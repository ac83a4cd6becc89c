"""Simulates the spread of a note at the design size in virtual time.

Run with ``PYTHONPATH=tests .venv/bin/python`` and this file. Runs the shipped
registry, puller and gossip of 6,240 processes against an event queue;
datagrams and calls take a fixed latency and no CPU time. Prints one line a
figure.
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

# Three regions; the measured one-way latencies are 0.5 to 3 ms.
LATENCY_MS = 3
LIMIT_MS = 60_000
DATAGRAM_LOSS = 0.01
# The simulation puts a result that is computed once in its place.
_APPLY = release_note.apply_release_note


class VirtualClock(clock_module.Clock):
    """Time of the event queue."""

    now_ms = 0.0

    def monotonic_ms(self):
        """Return the virtual time."""
        return self.now_ms

    def utc_ms(self):
        """Return the virtual time."""
        return int(self.now_ms)

    def sleep_until(self, deadline_ms):
        """Return at once."""
        # A retry within one pull is not simulated; the next notice starts a
        # new pull.
        return


class Caller(address_caller.AddressCaller):
    """Calls another simulated process at once."""

    def __init__(self, simulation):
        self._simulation = simulation

    def call_address(self, address, message, deadline_ms):
        """Return the reply to a DifferenceRequest."""
        process = self._simulation.processes.get(address)
        if process is None:
            raise peer_caller.PeerError('gone', step='call', sent=False)
        process.pulls_served += 1
        return process.handlers.on_difference_request(message, '')


class Process:
    """One simulated process."""

    def __init__(self, simulation, name, address, fleet):
        rng = random.Random(f'{simulation.seed} {name}')
        counts = collections.Counter()
        caller = Caller(simulation)
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
    """Event queue over all processes."""

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
        self.fleet = _APPLY(
            fleet_module.Fleet(), support.make_first_note(addresses)
        )
        self.processes = {
            a: Process(self, f'b{i}', a, self.fleet)
            for i, a in enumerate(addresses)
        }
        self.note = support.make_note(self.fleet)
        # A note is applied once; further processes take over the result,
        # because only the time of its arrival counts here.
        self.new_fleet = _APPLY(self.fleet, self.note)
        release_note.apply_release_note = self._apply
        self.datagrams = 0

    def _apply(self, fleet, note):
        return self.new_fleet

    def at(self, delay_ms, action):
        """Run an action after a delay."""
        due_ms = self.clock.now_ms + delay_ms
        heapq.heappush(self._events, (due_ms, next(self._sequence), action))

    def send(self, data, address):
        """Deliver a datagram after the latency, unless it is lost."""
        self.datagrams += 1
        if self._rng.random() < DATAGRAM_LOSS:
            return
        notice = datagrams.decode_datagram(data)
        self.at(LATENCY_MS, lambda: self._receive(address, notice))

    def _receive(self, address, notice):
        process = self.processes[address]
        process.gossip.on_notice(notice)
        behind = notice.revision > process.registry.fleet.revision
        if behind and not process.is_pulling:
            process.is_pulling = True
            jitter_ms = self._rng.uniform(0, difference_puller.PULL_JITTER_MS)
            # Connect and one exchange.
            self.at(jitter_ms + 4 * LATENCY_MS, lambda: self._pull(process))

    def _pull(self, process):
        process.is_pulling = False
        process.puller.pull_until_current()

    def _notify(self, process):
        process.gossip.notify_random_peer()
        delay_ms = process.gossip.next_notice_delay_ms()
        self.at(delay_ms, lambda: self._notify(process))

    def _poll(self, process):
        process.registry.offer_note(self.note, 'service')
        delay_ms = process.poller.next_delay_ms()
        self.at(delay_ms, lambda: self._poll(process))

    def run(self, is_service_up):
        """Return the times in ms at which half and all have the note."""
        for process in self.processes.values():
            self.at(
                self._rng.uniform(0, revision_gossip.NOTICE_INTERVAL_MS),
                lambda p=process: self._notify(p),
            )
            if is_service_up:
                # Each is somewhere within its interval.
                delay_ms = process.poller.next_delay_ms()
                self.at(
                    self._rng.uniform(0, delay_ms),
                    lambda p=process: self._poll(p),
                )
        if not is_service_up:
            first = next(iter(self.processes.values()))
            first.registry.offer_note(self.note, 'operator')
        return self._run_events()

    def _run_events(self):
        have = []
        for process in self.processes.values():
            process.registry.add_accept_callback(
                lambda old, new: have.append(self.clock.now_ms)
            )
        missing = sum(
            p.registry.fleet.revision < self.note.revision
            for p in self.processes.values()
        )
        while len(have) < missing and self.clock.now_ms < LIMIT_MS:
            self.clock.now_ms, _, action = heapq.heappop(self._events)
            action()
        if len(have) < missing:
            raise SystemExit(f'{missing - len(have)} do not have the note')
        return have[len(have) // 2], have[-1]


def _measure(count, runs, is_service_up):
    halves, alls, pulls, rates = [], [], [], []
    for seed in range(runs):
        simulation = Simulation(count, seed)
        half_ms, all_ms = simulation.run(is_service_up)
        halves.append(half_ms / 1000)
        alls.append(all_ms / 1000)
        processes = simulation.processes.values()
        pulls.append(max(p.pulls_served for p in processes))
        rates.append(simulation.datagrams / count / all_ms * 1000)
    name = 'service up' if is_service_up else 'peers alone'
    print(
        f'in force, {name}, {count} processes: '
        f'half median {statistics.median(halves):.2f} s, '
        f'all median {statistics.median(alls):.2f} s, '
        f'max {max(alls):.2f} s ({runs} runs, {DATAGRAM_LOSS:.0%} loss)'
    )
    print(
        f'notices a process, {name}, {count} processes: '
        f'{statistics.mean(rates):.2f} /s while a note spreads'
    )
    print(
        f'differences served by one process, {name}, {count} processes: '
        f'at most {max(pulls)} a note'
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
