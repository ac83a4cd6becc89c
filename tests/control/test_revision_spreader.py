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
from kingcupport.control import fleet_keeper
from kingcupport.control import peer_caller
from kingcupport.control import revision_spreader
from kingcupport.observability import audit_trail
from kingcupport.wire import datagrams

ADDRESSES = [address_module.Address(f'10.0.0.{i + 1}', 9000) for i in range(4)]
FIRST = support.make_first_note(ADDRESSES)


class FakeAddressCaller(address_caller.AddressCaller):
    """Answers for the peers in ``keepers``; others are unreachable."""

    def __init__(self):
        self.keepers = {}
        self.called = []

    def call_address(self, address, message, deadline_ms):
        self.called.append(address)
        if address not in self.keepers:
            raise peer_caller.PeerError('unreachable', step='call')
        handlers = control_handlers.ControlHandlers(
            'peer', self.keepers[address], None, {}, str, dict
        )
        return handlers.by_message_class()[type(message)](message, '')


class SpreaderSetup:
    """A RevisionSpreader of ``ADDRESSES[0]`` at revision 1."""

    def __init__(self):
        self.clock = support.FakeClock()
        self.counts = collections.Counter()
        self.caller = FakeAddressCaller()
        self.sent = []
        self.keeper = self.make_keeper(FIRST)
        rng = random.Random(1)
        shared_arguments = (self.keeper, self.caller, self.clock, rng)
        self.puller = difference_puller.DifferencePuller(
            *shared_arguments, 'b0', ADDRESSES[0], self.counts
        )
        self.spreader = revision_spreader.RevisionSpreader(
            self.keeper,
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

    def make_keeper(self, *notes):
        keeper = fleet_keeper.FleetKeeper(audit_trail.AuditTrail(self.clock))
        for note in notes:
            keeper.offer_note(note, 'test')
        return keeper

    def receive_notice(self, revision, address=ADDRESSES[1], digest='d'):
        self.spreader.on_notice(
            datagrams.RevisionNotice(revision, digest, str(address))
        )


@pytest.fixture
def spreader_setup():
    return SpreaderSetup()


def test_failed_pull_is_retried_with_another_peer(spreader_setup):
    # The peer that sent the notice is unreachable; another one has the note.
    note = support.make_note(spreader_setup.keeper.fleet)
    for address in ADDRESSES[2:]:
        spreader_setup.caller.keepers[address] = spreader_setup.make_keeper(
            FIRST, note
        )
    spreader_setup.receive_notice(2)
    assert spreader_setup.puller.pull_until_current()
    assert spreader_setup.keeper.fleet.revision == 2
    assert spreader_setup.caller.called[0] == ADDRESSES[1]


def test_false_revision_causes_a_bounded_number_of_pulls(spreader_setup):
    spreader_setup.caller.keepers = dict.fromkeys(
        ADDRESSES, spreader_setup.make_keeper(FIRST)
    )
    spreader_setup.receive_notice(2**63)
    assert not spreader_setup.puller.pull_until_current()
    assert len(spreader_setup.caller.called) <= difference_puller.MAX_ATTEMPTS
    spreader_setup.caller.called.clear()
    assert spreader_setup.puller.pull_until_current()
    assert spreader_setup.caller.called == []


def test_peer_that_is_behind_is_answered_once_a_second(spreader_setup):
    for _ in range(5):
        spreader_setup.receive_notice(0)
    assert spreader_setup.sent == [ADDRESSES[1]]
    spreader_setup.receive_notice(0, ADDRESSES[2])
    spreader_setup.clock.now_ms += revision_spreader.REPLY_NOTICE_INTERVAL_MS
    spreader_setup.receive_notice(0)
    assert spreader_setup.sent == [ADDRESSES[1], ADDRESSES[2], ADDRESSES[1]]


def test_notice_of_another_digest_is_a_conflict(spreader_setup):
    spreader_setup.receive_notice(1, digest='other')
    (line,) = spreader_setup.keeper.conflicts
    assert str(ADDRESSES[1]) in line


def test_notice_with_a_bad_address_is_counted(spreader_setup):
    spreader_setup.receive_notice(9, 'nowhere')
    assert spreader_setup.counts['notices_malformed'] == 1
    assert spreader_setup.puller.pull_until_current()
    assert spreader_setup.caller.called == []


def test_notice_that_cannot_be_sent_is_counted(spreader_setup):
    def fail(data, address):
        raise OSError('no route')

    spreader_setup.spreader._send_datagram = fail
    spreader_setup.spreader.notify_random_peer()
    assert spreader_setup.counts['notices_failed'] == 1


def test_comparison_counts_the_peers_that_answered(spreader_setup):
    # A process that was paused must not use its fleet if no peer answered.
    assert spreader_setup.spreader.compare_with_peers() == 0
    note = support.make_note(spreader_setup.keeper.fleet)
    spreader_setup.caller.keepers[ADDRESSES[2]] = spreader_setup.make_keeper(
        FIRST, note
    )
    assert spreader_setup.spreader.compare_with_peers() == 1
    assert spreader_setup.keeper.fleet.revision == 2


@pytest.mark.parametrize('ahead', ADDRESSES[1:])
def test_comparison_does_not_stop_at_one_stale_peer(spreader_setup, ahead):
    # Guards against a restart that relies on the first peer that answers.
    note = support.make_note(spreader_setup.keeper.fleet)
    spreader_setup.caller.keepers = dict.fromkeys(
        ADDRESSES, spreader_setup.make_keeper(FIRST)
    )
    spreader_setup.caller.keepers[ahead] = spreader_setup.make_keeper(
        FIRST, note
    )
    assert spreader_setup.spreader.compare_with_peers() == 3
    assert spreader_setup.keeper.fleet.revision == 2
