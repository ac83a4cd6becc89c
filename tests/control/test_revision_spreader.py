"""Guards pulls and notices against peers that fail, lie or repeat."""

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


class FakeCaller(address_caller.AddressCaller):
    """Peers by address; the others cannot be reached."""

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


class Parts:
    """A spreader of ``ADDRESSES[0]`` at revision 1."""

    def __init__(self):
        self.clock = support.FakeClock()
        self.counts = collections.Counter()
        self.caller = FakeCaller()
        self.sent = []
        self.keeper = self.make_keeper(FIRST)
        rng = random.Random(1)
        common = (self.keeper, self.caller, self.clock, rng)
        self.puller = difference_puller.DifferencePuller(
            *common, 'b0', ADDRESSES[0], self.counts
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

    def notice(self, revision, address=ADDRESSES[1], digest='d'):
        self.spreader.on_notice(
            datagrams.RevisionNotice(revision, digest, str(address))
        )


@pytest.fixture
def parts():
    return Parts()


def test_failed_pull_is_retried_with_another_peer(parts):
    # The peer that sent the notice has died; another one has the note.
    note = support.make_note(parts.keeper.fleet)
    for address in ADDRESSES[2:]:
        parts.caller.keepers[address] = parts.make_keeper(FIRST, note)
    parts.notice(2)
    assert parts.puller.pull_until_current()
    assert parts.keeper.fleet.revision == 2
    assert parts.caller.called[0] == ADDRESSES[1]


def test_false_claim_causes_a_bounded_number_of_pulls(parts):
    parts.caller.keepers = dict.fromkeys(ADDRESSES, parts.make_keeper(FIRST))
    parts.notice(2**63)
    assert not parts.puller.pull_until_current()
    assert len(parts.caller.called) <= difference_puller.MAX_ATTEMPTS
    parts.caller.called.clear()
    assert parts.puller.pull_until_current()
    assert parts.caller.called == []


def test_peer_that_is_behind_is_answered_once_a_second(parts):
    for _ in range(5):
        parts.notice(0)
    assert parts.sent == [ADDRESSES[1]]
    parts.notice(0, ADDRESSES[2])
    parts.clock.now_ms += revision_spreader.REPLY_NOTICE_INTERVAL_MS
    parts.notice(0)
    assert parts.sent == [ADDRESSES[1], ADDRESSES[2], ADDRESSES[1]]


def test_notice_of_another_digest_is_a_conflict(parts):
    parts.notice(1, digest='other')
    (line,) = parts.keeper.conflicts
    assert str(ADDRESSES[1]) in line


def test_notice_with_a_bad_address_is_counted(parts):
    parts.notice(9, 'nowhere')
    assert parts.counts['notices_malformed'] == 1
    assert parts.puller.pull_until_current()
    assert parts.caller.called == []


def test_notice_that_cannot_be_sent_is_counted(parts):
    def fail(data, address):
        raise OSError('no route')

    parts.spreader._send_datagram = fail
    parts.spreader.notify_random_peer()
    assert parts.counts['notices_failed'] == 1


def test_comparison_tells_whether_peers_answered(parts):
    # A process that was paused must not trust an unanswered comparison.
    assert parts.spreader.compare_with_peers() == 0
    note = support.make_note(parts.keeper.fleet)
    parts.caller.keepers[ADDRESSES[2]] = parts.make_keeper(FIRST, note)
    assert parts.spreader.compare_with_peers() == 1
    assert parts.keeper.fleet.revision == 2


@pytest.mark.parametrize('ahead', ADDRESSES[1:])
def test_comparison_does_not_stop_at_one_stale_peer(parts, ahead):
    # Guards against a restart that trusts the first peer that answers.
    note = support.make_note(parts.keeper.fleet)
    parts.caller.keepers = dict.fromkeys(ADDRESSES, parts.make_keeper(FIRST))
    parts.caller.keepers[ahead] = parts.make_keeper(FIRST, note)
    assert parts.spreader.compare_with_peers() == 3
    assert parts.keeper.fleet.revision == 2
