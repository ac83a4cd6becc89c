"""Tests when a proof ends the wait for missing entries."""

import flow_support
import pytest

from kingcupport.flows import view_confirmation

EXPIRY_MS = 2_310


@pytest.fixture
def clock():
    return flow_support.make_clock()


@pytest.fixture
def confirmation(clock):
    confirmation = view_confirmation.make_view_confirmation(clock)
    confirm(confirmation, clock)
    return confirmation


def confirm(confirmation, clock):
    confirmation.confirm(
        clock.monotonic_ms(), is_complete=False, is_settled=True
    )


def prove(confirmation, proven_ms, awaited_entries, **fields):
    values = {'is_settled': True, 'has_all': True}
    confirmation.prove(proven_ms, awaited_entries, **values | fields)


def test_proof_is_wanted_only_while_a_decision_waits(confirmation, clock):
    assert not confirmation.wants_proof
    confirmation.request(clock.monotonic_ms())
    assert confirmation.wants_proof
    clock.advance(2_500)
    assert not confirmation.wants_proof


def test_proof_is_not_wanted_after_the_word_of_a_peer(confirmation, clock):
    confirmation.request(clock.monotonic_ms())
    confirmation.confirm(
        clock.monotonic_ms(), is_complete=True, is_settled=True
    )
    assert not confirmation.wants_proof


def test_proof_completes_the_view_as_of_its_time(confirmation, clock):
    proven_ms = clock.monotonic_ms()
    clock.advance(300)
    prove(confirmation, proven_ms, confirmation.awaited_entries)
    assert confirmation.is_complete_since(proven_ms)
    assert not confirmation.is_complete_since(proven_ms + 1)
    assert confirmation.can_vouch
    confirm(confirmation, clock)
    assert confirmation.is_complete_since(proven_ms + 300)


def test_proof_from_before_an_outage_says_nothing(confirmation, clock):
    """A balancer that is frozen during the read learns it late."""
    proven_ms = clock.monotonic_ms()
    awaited_entries = confirmation.awaited_entries
    clock.advance(10_000)
    confirm(confirmation, clock)
    prove(confirmation, proven_ms, awaited_entries)
    assert confirmation.complete_ms is None


def test_proof_does_not_cover_a_later_outage(confirmation, clock):
    prove(confirmation, clock.monotonic_ms(), confirmation.awaited_entries)
    clock.advance(10_000)
    confirm(confirmation, clock)
    assert not confirmation.is_complete


def test_proof_does_not_shorten_the_wait_for_a_hidden_server(
    confirmation, clock
):
    confirmation.on_entry_rejected(EXPIRY_MS)
    prove(confirmation, clock.monotonic_ms(), confirmation.awaited_entries)
    assert not confirmation.is_complete
    clock.advance(EXPIRY_MS)
    confirm(confirmation, clock)
    assert confirmation.is_complete


def test_proof_does_not_settle_a_restored_view(confirmation, clock):
    prove(
        confirmation,
        clock.monotonic_ms(),
        confirmation.awaited_entries,
        is_settled=False,
    )
    assert not confirmation.is_complete
