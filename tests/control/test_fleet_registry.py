"""Tests the fleet registry's revision, note history and audit events."""

import collections

import control_support as support
import pytest

from kingcupport.common import address as address_module
from kingcupport.common import clock as clock_module
from kingcupport.control import fleet_registry
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


class AuditedRegistry(fleet_registry.FleetRegistry):
    """FleetRegistry that exposes its audit trail."""

    def __init__(self, *notes):
        self.trail = audit_trail.AuditTrail(clock_module.make_system_clock())
        super().__init__(self.trail)
        for note in notes:
            assert self.offer_note(note, 'test') is Result.ACCEPTED

    def count_audit_kinds(self):
        return collections.Counter(e['kind'] for e in self.trail.events())


def test_older_and_equal_offers_change_nothing():
    registry = AuditedRegistry(FIRST, NOTE_2)
    assert registry.offer_note(FIRST, 'test') is Result.KNOWN
    assert registry.offer_note(NOTE_2, 'test') is Result.KNOWN
    assert registry.offer_fleet(FLEET_1, 'test') is Result.KNOWN
    plain = documents.fleet_to_dict(FLEET_1)
    assert registry.offer_plain_fleet(plain, 'test') is Result.KNOWN
    assert registry.fleet == FLEET_2
    assert registry.count_audit_kinds()['note_accepted'] == 2


@pytest.mark.parametrize('is_note', [True, False])
def test_conflict_is_audited_once_and_listed_until_resolved(is_note):
    registry = AuditedRegistry(FIRST, NOTE_2)
    for _ in range(3):
        if is_note:
            result = registry.offer_note(CONFLICTING_NOTE_2, 'test')
        else:
            result = registry.offer_fleet(CONFLICTING_FLEET_2, 'test')
        assert result is Result.CONFLICT
    assert registry.fleet == FLEET_2
    assert registry.count_audit_kinds()['note_conflict'] == 1
    (line,) = registry.conflicts
    assert CONFLICTING_FLEET_2.digest[:8] in line
    registry.offer_note(support.make_note(FLEET_2), 'test')
    assert registry.conflicts == []


def test_request_without_a_fleet_is_no_conflict():
    registry = AuditedRegistry()
    assert registry.check_digest(0, '', 'cli') is Result.KNOWN
    assert registry.conflicts == []


def test_note_on_another_branch_needs_the_whole_fleet():
    registry = AuditedRegistry(FIRST, NOTE_2)
    note = support.make_note(CONFLICTING_FLEET_2)
    assert registry.offer_note(note, 'test') is Result.UNFIT
    fleet = release_note.apply_release_note(CONFLICTING_FLEET_2, note)
    assert registry.offer_fleet(fleet, 'test') is Result.ACCEPTED
    # The kept notes belong to the abandoned branch.
    assert registry.differences_since(1, FLEET_1.digest).fleet == fleet


def test_invalid_note_is_refused_and_audited_once():
    registry = AuditedRegistry(FIRST)
    invalid = support.make_note(FLEET_1, withdrawn={'balancers': ['b7']})
    for _ in range(3):
        assert registry.offer_note(invalid, 'test') is Result.REFUSED
        assert registry.offer_plain_note({'x': 1}, 'test') is Result.REFUSED
        assert registry.offer_plain_fleet([], 'test') is Result.REFUSED
    assert registry.fleet == FLEET_1
    assert registry.count_audit_kinds()['note_refused'] == 3
    reasons = [e['reason'] for e in registry.trail.events() if 'reason' in e]
    assert "withdrawn.balancers 'b7' is not in the fleet" in reasons[0]


def test_differences_lead_to_the_fleet_in_force():
    registry = AuditedRegistry(FIRST, NOTE_2)
    assert registry.differences_since(1, FLEET_1.digest).notes == (NOTE_2,)
    assert registry.differences_since(1, 'other').fleet == FLEET_2
    for digest in (FLEET_2.digest, CONFLICTING_FLEET_2.digest):
        no_difference = fleet_registry.FleetDifference()
        assert registry.differences_since(2, digest) == no_difference


def test_only_the_last_64_notes_are_kept():
    registry = AuditedRegistry(FIRST)
    fleets = [registry.fleet]
    for _ in range(70):
        registry.offer_note(support.make_note(registry.fleet), 'test')
        fleets.append(registry.fleet)
    oldest, too_old = fleets[-65], fleets[-66]
    difference = registry.differences_since(oldest.revision, oldest.digest)
    assert len(difference.notes) == 64
    difference = registry.differences_since(too_old.revision, too_old.digest)
    assert difference.fleet == registry.fleet


def test_chain_larger_than_the_fleet_is_not_sent():
    # Limits the control traffic of a process that starts without a fleet.
    registry = AuditedRegistry(FIRST, NOTE_2)
    empty = fleet_module.Fleet()
    assert registry.differences_since(0, empty.digest).fleet == FLEET_2


def test_callbacks_run_in_order_despite_an_exception():
    registry = AuditedRegistry()
    seen = []

    def offer_next_and_raise(previous, fleet):
        if fleet.revision == 1:
            registry.offer_note(NOTE_2, 'callback')
        raise ZeroDivisionError

    registry.add_accept_callback(offer_next_and_raise)
    registry.add_accept_callback(
        lambda old, new: seen.append((old.revision, new.revision))
    )
    registry.offer_note(FIRST, 'test')
    assert seen == [(0, 1), (1, 2)]


def test_withdrawn_process_is_found_until_its_address_is_reused():
    # Its connections and claims are still requested at its address, but
    # requests must not go to another process that now uses the address.
    registry = AuditedRegistry(FIRST, NOTE_2)
    assert registry.process_address('b1') == ADDRESSES[1]
    assert registry.count_audit_kinds()['withdrawal'] == 1
    successor = support.make_balancer('b2', ADDRESSES[1])
    registry.offer_note(support.make_note(FLEET_2, added=[successor]), 'test')
    assert registry.process_address('b1') is None
    assert registry.process_address('b2') == ADDRESSES[1]
