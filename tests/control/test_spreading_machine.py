"""Stateful test of registry, puller, poller and gossip with random faults.

Guards against a revision that decreases, a restarted process that becomes
ready with a lower revision than its peers, a fleet that was never published,
and processes that do not converge after the faults have ended.

The derandomised seed of hypothesis is derived from the source of
SpreadingMachine without comments: any other edit to it changes the examples.
"""

import collections
import random

import control_support as support
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from kingcupport.common import address as address_module
from kingcupport.control import address_caller
from kingcupport.control import configuration_poller
from kingcupport.control import configuration_reader
from kingcupport.control import control_handlers
from kingcupport.control import difference_puller
from kingcupport.control import fleet_registry
from kingcupport.control import peer_caller
from kingcupport.control import revision_gossip
from kingcupport.fleet import documents
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note
from kingcupport.observability import audit_trail
from kingcupport.wire import control_messages
from kingcupport.wire import datagrams
from kingcupport.wire import message_codec

PROCESSES = 5
ADDRESSES = [
    address_module.Address(f'10.0.0.{i + 1}', 9000) for i in range(PROCESSES)
]
# Few, so that reads often ask for notes that are no longer kept.
KEPT_NOTES = 3
MAX_DATAGRAMS = 20
CONVERGE_ROUNDS = 40
NUMBERS = strategies.integers(0, PROCESSES - 1)


class FakeService(configuration_reader.ConfigurationReader):
    """Service as one process sees it: down, or at a possibly old state."""

    def __init__(self, states):
        self.states = states
        self.is_up = True
        self.age = 0

    def _state(self):
        if not self.is_up:
            raise configuration_reader.ConfigurationError('down', step='read')
        return self.states[max(0, len(self.states) - 1 - self.age)]

    def read(self, after_revision):
        notes, _ = self._state()
        kept = notes[-KEPT_NOTES:]
        if kept and kept[0]['revision'] > after_revision + 1:
            return self.read_fleet()
        later = [n for n in kept if n['revision'] > after_revision]
        return configuration_reader.ConfigurationReading(notes=tuple(later))

    def read_fleet(self):
        _, fleet = self._state()
        return configuration_reader.ConfigurationReading(
            fleet=documents.fleet_to_dict(fleet)
        )


class FakeAddressCaller(address_caller.AddressCaller):
    """Calls handlers of another process with encoded and decoded messages."""

    def __init__(self, machine, number):
        self._machine = machine
        self._number = number

    def call_address(self, address, message, deadline_ms):
        other = ADDRESSES.index(address)
        if not self._machine.can_reach(self._number, other):
            raise peer_caller.PeerError('unreachable', step='call')
        process = self._machine.processes[other]
        request = _encode_and_decode(message)
        is_difference = isinstance(request, control_messages.DifferenceRequest)
        if is_difference and self._number in self._machine.lost_differences:
            raise peer_caller.PeerError('reply lost', step='call')
        reply = process.handlers[type(request)](request, str(address))
        return _encode_and_decode(reply)


def _encode_and_decode(message):
    return message_codec.decode_message(message_codec.encode_message(message))


class Process:
    """One incarnation of a process."""

    def __init__(self, machine, number, incarnation):
        address = ADDRESSES[number]
        name = f'b{number}'
        clock = machine.clock
        rng = random.Random(f'{number} {incarnation}')
        counts = collections.Counter()
        caller = FakeAddressCaller(machine, number)
        audit = audit_trail.AuditTrail(clock)
        self.incarnation = incarnation
        self.registry = fleet_registry.FleetRegistry(audit)
        self.seen = [self.registry.fleet.revision]
        self.registry.add_accept_callback(
            lambda old, new: self.seen.append(new.revision)
        )
        self.puller = difference_puller.DifferencePuller(
            self.registry, caller, clock, rng, name, address, counts
        )
        self.poller = configuration_poller.ConfigurationPoller(
            self.registry, machine.services[number], rng, counts
        )
        self.gossip = revision_gossip.RevisionGossip(
            self.registry,
            self.puller,
            self.poller,
            caller,
            clock,
            rng,
            name=name,
            own_address=address,
            send_datagram=lambda data, to: machine.send(number, data, to),
            counts=counts,
            seeds=(ADDRESSES[0],),
        )
        self.handlers = control_handlers.ControlHandlers(
            name, self.registry, audit, counts, lambda: 'ready', dict
        ).by_message_class()


class SpreadingMachine(stateful.RuleBasedStateMachine):
    """Five processes, a service with earlier states, and faults."""

    def __init__(self):
        super().__init__()
        self.clock = support.FakeClock()
        self.states = [([], fleet_module.Fleet())]
        self.published = {}
        self.services = [FakeService(self.states) for _ in ADDRESSES]
        self.side = [0] * PROCESSES
        self.paused = set()
        self.lost_replies = set()
        # Processes whose large replies are lost.
        self.lost_differences = set()
        self.datagrams = []
        self.processes = [Process(self, i, 0) for i in range(PROCESSES)]
        self._publish(support.make_first_note(ADDRESSES))

    def can_reach(self, asker, other):
        return (
            other not in self.paused
            and self.side[asker] == self.side[other]
            and (asker, other) not in self.lost_replies
        )

    def send(self, number, data, address):
        other = ADDRESSES.index(address)
        if self.side[number] == self.side[other]:
            self.datagrams.append((other, data))
            del self.datagrams[:-MAX_DATAGRAMS]

    def _publish(self, note, base_notes=None, base_fleet=None):
        notes, fleet = self.states[-1]
        notes = notes if base_notes is None else base_notes
        new_fleet = release_note.apply_release_note(base_fleet or fleet, note)
        plain = release_note.note_to_dict(note)
        self.states.append(([*notes, plain], new_fleet))
        self.published[new_fleet.revision, new_fleet.digest] = new_fleet

    def _head_revision(self):
        notes, fleet = self.states[-1]
        return max([fleet.revision, *(n['revision'] for n in notes)])

    @stateful.initialize(
        ages=strategies.lists(
            strategies.integers(0, 2), min_size=PROCESSES, max_size=PROCESSES
        ),
        lost=strategies.sets(NUMBERS),
    )
    def begin_with_faults(self, ages, lost):
        # With faults from the start, fewer steps reach their combinations.
        self.publish(1)
        for service, age in zip(self.services, ages, strict=True):
            service.age = age
        self.lost_differences = lost

    @stateful.rule(step=strategies.integers(1, 3))
    def publish(self, step):
        fleet = self.states[-1][1]
        revision = self._head_revision() + step
        # Toggles the membership of the last process.
        name = f'b{PROCESSES - 1}'
        if name in fleet.balancers:
            change = {'withdrawn': {'balancers': [name]}}
        else:
            change = {'added': [support.make_balancer(name, ADDRESSES[-1])]}
        self._publish(support.make_note(fleet, revision, **change))

    @stateful.precondition(lambda self: len(self.states) > 2)
    @stateful.rule(port=strategies.integers(1000, 1005))
    def publish_conflicting(self, port):
        # A second operator publishes a note of the same revision; later reads
        # of the service return that note.
        _, fleet = self.states[-1]
        base_notes, base = self.states[-2]
        name = f'other-{fleet.revision}-{port}'
        if base.revision >= fleet.revision or name in base.services:
            return
        entry = support.make_service(name, port * 10 + fleet.revision)
        note = support.make_note(base, fleet.revision, added=[entry])
        try:
            self._publish(note, base_notes, base)
        except release_note.ReleaseNoteError:
            # The address is already in use.
            return

    @stateful.rule(has_base=strategies.booleans())
    def publish_invalid(self, has_base):
        notes, fleet = self.states[-1]
        bad = {'revision': self._head_revision() + 1}
        if has_base:
            bad |= {'base': fleet.revision, 'base_digest': fleet.digest}
            bad |= {'withdrawn': {'balancers': ['b0', 'nobody']}}
        self.states.append(([*notes, bad], fleet))

    @stateful.rule(number=NUMBERS, age=strategies.integers(0, 4))
    def service_is_stale(self, number, age):
        self.services[number].age = age

    @stateful.rule(number=NUMBERS, is_up=strategies.booleans())
    def service_goes_down_or_up(self, number, is_up):
        self.services[number].is_up = is_up

    @stateful.rule(number=NUMBERS)
    def poll(self, number):
        if number not in self.paused:
            self.processes[number].poller.poll()

    @stateful.rule(number=NUMBERS)
    def notify(self, number):
        if number not in self.paused:
            self.processes[number].gossip.notify_random_peer()

    @stateful.rule(
        index=strategies.integers(0, MAX_DATAGRAMS), data=strategies.data()
    )
    def deliver(self, index, data):
        """Deliver a datagram, perhaps late, out of order or twice."""
        if not self.datagrams:
            return
        index %= len(self.datagrams)
        number, payload = self.datagrams[index]
        if number in self.paused:
            return
        if data.draw(strategies.booleans(), 'deliver once'):
            del self.datagrams[index]
        self._receive(number, payload)

    def _receive(self, number, payload):
        notice = datagrams.decode_datagram(payload)
        self.processes[number].gossip.on_notice(notice)

    @stateful.rule(number=NUMBERS)
    def pull(self, number):
        if number not in self.paused:
            self.processes[number].puller.pull_until_current()

    @stateful.rule(number=NUMBERS)
    def restart(self, number):
        incarnation = self.processes[number].incarnation + 1
        self.processes[number] = Process(self, number, incarnation)
        self.paused.discard(number)

    @stateful.rule(number=NUMBERS)
    def synchronise(self, number):
        process = self.processes[number]
        if number in self.paused or process.gossip.ready:
            return
        if process.gossip.synchronise():
            for other in self._peers_it_can_ask(number):
                revision = self.processes[other].registry.fleet.revision
                assert process.registry.fleet.revision >= revision

    def _peers_it_can_ask(self, number):
        known = {*self.processes[number].registry.peer_addresses, ADDRESSES[0]}
        return [
            other
            for other in range(PROCESSES)
            if ADDRESSES[other] in known
            and other != number
            and self.can_reach(number, other)
        ]

    @stateful.rule(number=NUMBERS)
    def pause_or_resume(self, number):
        self.paused ^= {number}

    @stateful.rule(
        sides=strategies.lists(
            strategies.integers(0, 1), min_size=PROCESSES, max_size=PROCESSES
        )
    )
    def partition(self, sides):
        self.side = sides

    @stateful.rule(asker=NUMBERS, other=NUMBERS)
    def lose_or_restore_replies(self, asker, other):
        self.lost_replies ^= {(asker, other)}

    @stateful.rule(asker=NUMBERS)
    def lose_or_restore_differences(self, asker):
        self.lost_differences ^= {asker}

    @stateful.invariant()
    def revisions_only_rise(self):
        for process in self.processes:
            assert process.seen == sorted(set(process.seen))
            assert process.seen[-1] == process.registry.fleet.revision

    @stateful.invariant()
    def every_fleet_was_published_as_it_is(self):
        for process in self.processes:
            fleet = process.registry.fleet
            if fleet.revision:
                assert self.published[fleet.revision, fleet.digest] == fleet

    def teardown(self):
        """End the faults; the processes must agree, the service being down."""
        self.side = [0] * PROCESSES
        self.paused.clear()
        self.lost_replies.clear()
        self.lost_differences.clear()
        for service in self.services:
            service.is_up = False
        # At least one process must have a fleet to spread.
        self.services[0].is_up = True
        self.services[0].age = 0
        self.processes[0].poller.poll()
        self.services[0].is_up = False
        self._gossip()
        if len({p.registry.fleet.digest for p in self.processes}) > 1:
            self._resolve_conflict()
        fleets = [p.registry.fleet for p in self.processes]
        assert len({f.digest for f in fleets}) == 1
        assert all(p.gossip.ready for p in self.processes)

    def _resolve_conflict(self):
        fleets = [p.registry.fleet for p in self.processes]
        assert len({f.revision for f in fleets}) == 1
        assert any(p.registry.conflicts for p in self.processes)
        self.publish(1)
        self.services[0].is_up = True
        self.processes[0].poller.poll()
        self.services[0].is_up = False
        self._gossip()
        assert not any(p.registry.conflicts for p in self.processes)

    def _gossip(self):
        for _ in range(CONVERGE_ROUNDS):
            self.clock.now_ms += revision_gossip.NOTICE_INTERVAL_MS
            for process in self.processes:
                process.gossip.notify_random_peer()
                if not process.gossip.ready:
                    process.gossip.synchronise()
            while self.datagrams:
                self._receive(*self.datagrams.pop(0))
            for process in self.processes:
                process.puller.pull_until_current()


TestSpreading = SpreadingMachine.TestCase
TestSpreading.settings = hypothesis.settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
)
