"""Tests pulls and notices with failing and misbehaving peers.

Guards against peers that do not answer, announce revisions that they do not
have, or repeat notices.
"""

import collections
import random

import control_support as support
import pytest

from kingcupport.common import address as address_module
from kingcupport.control import address_caller
from kingcupport.control import control_handlers
from kingcupport.control import difference_puller
from kingcupport.control import fleet_registry
from kingcupport.control import peer_caller
from kingcupport.control import revision_gossip
from kingcupport.observability import audit_trail
from kingcupport.wire import datagrams

ADDRESSES = [address_module.Address(f'10.0.0.{i + 1}', 9000) for i in range(4)]
FIRST = support.make_first_note(ADDRESSES)


class FakeAddressCaller(address_caller.AddressCaller):
    """Answers for the peers in ``registries``; others are unreachable."""

    def __init__(self):
        self.registries = {}
        self.called = []

    def call_address(self, address, message, deadline_ms):
        self.called.append(address)
        if address not in self.registries:
            raise peer_caller.PeerError('unreachable', step='call')
        handlers = control_handlers.ControlHandlers(
            'peer', self.registries[address], None, {}, str, dict
        )
        return handlers.by_message_class()[type(message)](message, '')


class GossipSetup:
    """A RevisionGossip of ``ADDRESSES[0]`` at revision 1."""

    def __init__(self):
        self.clock = support.FakeClock()
        self.counts = collections.Counter()
        self.caller = FakeAddressCaller()
        self.sent = []
        self.registry = self.make_registry(FIRST)
        rng = random.Random(1)
        shared_arguments = (self.registry, self.caller, self.clock, rng)
        self.puller = difference_puller.DifferencePuller(
            *shared_arguments, 'b0', ADDRESSES[0], self.counts
        )
        self.gossip = revision_gossip.RevisionGossip(
            self.registry,
            self.puller,
            None,
            self.caller,
            self.clock,
            rng,
            name='b0',
            own_address=ADDRESSES[0],
            send_datagram=lambda data, address: self.sent.append(address),
            counts=self.counts,
        )

    def make_registry(self, *notes):
        registry = fleet_registry.FleetRegistry(
            audit_trail.AuditTrail(self.clock)
        )
        for note in notes:
            registry.offer_note(note, 'test')
        return registry

    def receive_notice(self, revision, address=ADDRESSES[1], digest='d'):
        self.gossip.on_notice(
            datagrams.RevisionNotice(revision, digest, str(address))
        )


@pytest.fixture
def gossip_setup():
    return GossipSetup()


def test_failed_pull_is_retried_with_another_peer(gossip_setup):
    # The peer that sent the notice is unreachable; another one has the note.
    note = support.make_note(gossip_setup.registry.fleet)
    for address in ADDRESSES[2:]:
        gossip_setup.caller.registries[address] = gossip_setup.make_registry(
            FIRST, note
        )
    gossip_setup.receive_notice(2)
    assert gossip_setup.puller.pull_until_current()
    assert gossip_setup.registry.fleet.revision == 2
    assert gossip_setup.caller.called[0] == ADDRESSES[1]


def test_false_revision_causes_a_bounded_number_of_pulls(gossip_setup):
    gossip_setup.caller.registries = dict.fromkeys(
        ADDRESSES, gossip_setup.make_registry(FIRST)
    )
    gossip_setup.receive_notice(2**63)
    assert not gossip_setup.puller.pull_until_current()
    assert len(gossip_setup.caller.called) <= difference_puller.MAX_ATTEMPTS
    gossip_setup.caller.called.clear()
    assert gossip_setup.puller.pull_until_current()
    assert gossip_setup.caller.called == []


def test_peer_that_is_behind_is_answered_once_a_second(gossip_setup):
    for _ in range(5):
        gossip_setup.receive_notice(0)
    assert gossip_setup.sent == [ADDRESSES[1]]
    gossip_setup.receive_notice(0, ADDRESSES[2])
    gossip_setup.clock.now_ms += revision_gossip.REPLY_NOTICE_INTERVAL_MS
    gossip_setup.receive_notice(0)
    assert gossip_setup.sent == [ADDRESSES[1], ADDRESSES[2], ADDRESSES[1]]


def test_notice_of_another_digest_is_a_conflict(gossip_setup):
    gossip_setup.receive_notice(1, digest='other')
    (line,) = gossip_setup.registry.conflicts
    assert str(ADDRESSES[1]) in line


def test_notice_with_a_bad_address_is_counted(gossip_setup):
    gossip_setup.receive_notice(9, 'nowhere')
    assert gossip_setup.counts['notices_malformed'] == 1
    assert gossip_setup.puller.pull_until_current()
    assert gossip_setup.caller.called == []


def test_notice_that_cannot_be_sent_is_counted(gossip_setup):
    def fail(data, address):
        raise OSError('no route')

    gossip_setup.gossip._send_datagram = fail
    gossip_setup.gossip.notify_random_peer()
    assert gossip_setup.counts['notices_failed'] == 1


def test_comparison_counts_the_peers_that_answered(gossip_setup):
    # A process that was paused must not use its fleet if no peer answered.
    assert gossip_setup.gossip.compare_with_peers() == 0
    note = support.make_note(gossip_setup.registry.fleet)
    gossip_setup.caller.registries[ADDRESSES[2]] = gossip_setup.make_registry(
        FIRST, note
    )
    assert gossip_setup.gossip.compare_with_peers() == 1
    assert gossip_setup.registry.fleet.revision == 2


@pytest.mark.parametrize('ahead', ADDRESSES[1:])
def test_comparison_does_not_stop_at_one_stale_peer(gossip_setup, ahead):
    # Guards against a restart that relies on the first peer that answers.
    note = support.make_note(gossip_setup.registry.fleet)
    gossip_setup.caller.registries = dict.fromkeys(
        ADDRESSES, gossip_setup.make_registry(FIRST)
    )
    gossip_setup.caller.registries[ahead] = gossip_setup.make_registry(
        FIRST, note
    )
    assert gossip_setup.gossip.compare_with_peers() == 3
    assert gossip_setup.registry.fleet.revision == 2
