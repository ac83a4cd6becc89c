"""Tests the fleet keeper's revision, note history and audit events."""

import collections

import control_support as support
import pytest

from kingcupport.common import address as address_module
from kingcupport.common import clock as clock_module
from kingcupport.control import fleet_keeper
from kingcupport.control import offer_result
from kingcupport.fleet import documents
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note
from kingcupport.observability import audit_trail

ADDRESSES = [address_module.Address(f'10.0.0.{i}', 9000) for i in (1, 2)]
FIRST = support.make_first_note(ADDRESSES)
FLEET_1 = release_note.apply_release_note(fleet_module.Fleet(), FIRST)
NOTE_2 = support.make_note(FLEET_1, withdrawn={'balancers': ['b1']})
CONFLICTING_NOTE_2 = support.make_note(
    FLEET_1, added=[support.make_service('audio', 9)]
)
FLEET_2 = release_note.apply_release_note(FLEET_1, NOTE_2)
CONFLICTING_FLEET_2 = release_note.apply_release_note(
    FLEET_1, CONFLICTING_NOTE_2
)
Result = offer_result.OfferResult


class AuditedKeeper(fleet_keeper.FleetKeeper):
    """FleetKeeper that exposes its audit trail."""

    def __init__(self, *notes):
        self.trail = audit_trail.AuditTrail(clock_module.make_system_clock())
        super().__init__(self.trail)
        for note in notes:
            assert self.offer_note(note, 'test') is Result.ACCEPTED

    def count_audit_kinds(self):
        return collections.Counter(e['kind'] for e in self.trail.events())


def test_older_and_equal_offers_change_nothing():
    keeper = AuditedKeeper(FIRST, NOTE_2)
    assert keeper.offer_note(FIRST, 'test') is Result.KNOWN
    assert keeper.offer_note(NOTE_2, 'test') is Result.KNOWN
    assert keeper.offer_fleet(FLEET_1, 'test') is Result.KNOWN
    plain = documents.fleet_to_plain(FLEET_1)
    assert keeper.offer_plain_fleet(plain, 'test') is Result.KNOWN
    assert keeper.fleet == FLEET_2
    assert keeper.count_audit_kinds()['note_accepted'] == 2


@pytest.mark.parametrize('is_note', [True, False])
def test_conflict_is_audited_once_and_listed_until_resolved(is_note):
    keeper = AuditedKeeper(FIRST, NOTE_2)
    for _ in range(3):
        if is_note:
            result = keeper.offer_note(CONFLICTING_NOTE_2, 'test')
        else:
            result = keeper.offer_fleet(CONFLICTING_FLEET_2, 'test')
        assert result is Result.CONFLICT
    assert keeper.fleet == FLEET_2
    assert keeper.count_audit_kinds()['note_conflict'] == 1
    (line,) = keeper.conflicts
    assert CONFLICTING_FLEET_2.digest[:8] in line
    keeper.offer_note(support.make_note(FLEET_2), 'test')
    assert keeper.conflicts == []


def test_request_without_a_fleet_is_no_conflict():
    keeper = AuditedKeeper()
    assert keeper.check_digest(0, '', 'cli') is Result.KNOWN
    assert keeper.conflicts == []


def test_note_on_another_branch_needs_the_whole_fleet():
    keeper = AuditedKeeper(FIRST, NOTE_2)
    note = support.make_note(CONFLICTING_FLEET_2)
    assert keeper.offer_note(note, 'test') is Result.UNFIT
    fleet = release_note.apply_release_note(CONFLICTING_FLEET_2, note)
    assert keeper.offer_fleet(fleet, 'test') is Result.ACCEPTED
    # The kept notes belong to the abandoned branch.
    assert keeper.differences_since(1, FLEET_1.digest).fleet == fleet


def test_invalid_note_is_refused_and_audited_once():
    keeper = AuditedKeeper(FIRST)
    invalid = support.make_note(FLEET_1, withdrawn={'balancers': ['b7']})
    for _ in range(3):
        assert keeper.offer_note(invalid, 'test') is Result.REFUSED
        assert keeper.offer_plain_note({'x': 1}, 'test') is Result.REFUSED
        assert keeper.offer_plain_fleet([], 'test') is Result.REFUSED
    assert keeper.fleet == FLEET_1
    assert keeper.count_audit_kinds()['note_refused'] == 3
    reasons = [e['reason'] for e in keeper.trail.events() if 'reason' in e]
    assert "withdrawn.balancers 'b7' is not in the fleet" in reasons[0]


def test_differences_lead_to_the_fleet_in_force():
    keeper = AuditedKeeper(FIRST, NOTE_2)
    assert keeper.differences_since(1, FLEET_1.digest).notes == (NOTE_2,)
    assert keeper.differences_since(1, 'other').fleet == FLEET_2
    for digest in (FLEET_2.digest, CONFLICTING_FLEET_2.digest):
        no_difference = fleet_keeper.FleetDifference()
        assert keeper.differences_since(2, digest) == no_difference


def test_only_the_last_64_notes_are_kept():
    keeper = AuditedKeeper(FIRST)
    fleets = [keeper.fleet]
    for _ in range(70):
        keeper.offer_note(support.make_note(keeper.fleet), 'test')
        fleets.append(keeper.fleet)
    oldest, too_old = fleets[-65], fleets[-66]
    difference = keeper.differences_since(oldest.revision, oldest.digest)
    assert len(difference.notes) == 64
    difference = keeper.differences_since(too_old.revision, too_old.digest)
    assert difference.fleet == keeper.fleet


def test_chain_larger_than_the_fleet_is_not_sent():
    # Limits the control traffic of a process that starts without a fleet.
    keeper = AuditedKeeper(FIRST, NOTE_2)
    empty = fleet_module.Fleet()
    assert keeper.differences_since(0, empty.digest).fleet == FLEET_2


def test_callbacks_run_in_order_despite_an_exception():
    keeper = AuditedKeeper()
    seen = []

    def offer_next_and_raise(previous, fleet):
        if fleet.revision == 1:
            keeper.offer_note(NOTE_2, 'callback')
        raise ZeroDivisionError

    keeper.on_accept(offer_next_and_raise)
    keeper.on_accept(
        lambda old, new: seen.append((old.revision, new.revision))
    )
    keeper.offer_note(FIRST, 'test')
    assert seen == [(0, 1), (1, 2)]


def test_withdrawn_process_is_found_until_its_address_is_reused():
    # Its connections and claims are still requested at its address, but
    # requests must not go to another process that now uses the address.
    keeper = AuditedKeeper(FIRST, NOTE_2)
    assert keeper.process_address('b1') == ADDRESSES[1]
    assert keeper.count_audit_kinds()['withdrawal'] == 1
    successor = support.make_balancer('b2', ADDRESSES[1])
    keeper.offer_note(support.make_note(FLEET_2, added=[successor]), 'test')
    assert keeper.process_address('b1') is None
    assert keeper.process_address('b2') == ADDRESSES[1]
