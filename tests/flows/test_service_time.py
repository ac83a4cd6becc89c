"""Tests the measurement of a server's service time."""

import flow_support
import pytest

from kingcupport.flows import service_time


@pytest.fixture
def clock():
    return flow_support.make_clock()


@pytest.fixture
def measured(clock):
    measured = service_time.make_service_time(clock)
    measured.on_slot_limit(2)
    return measured


def run(clock, measured, took_ms, *, is_success=True, flow=b'f'):
    measured.start(flow)
    clock.advance(took_ms)
    measured.stop(flow, is_success=is_success)


def test_stragglers_do_not_change_the_service_time(clock, measured):
    """Guards against 3 % of the requests making a server look slow."""
    for took_ms in (50, 52, 350, 48, 50, 350, 50):
        run(clock, measured, took_ms)
    assert measured.median_ms() == 50


def test_failed_answers_do_not_count(clock, measured):
    """Guards against a server that fails fast looking fast."""
    for _ in range(10):
        run(clock, measured, 1, is_success=False)
    assert not measured.is_known
    assert measured.median_ms() == 0


def test_time_in_the_queue_does_not_count(clock, measured):
    """Guards against a busy server looking slow."""
    for flow in (b'a', b'b', b'c'):
        measured.start(flow)
    clock.advance(50)
    measured.stop(b'a', is_success=True)
    measured.stop(b'b', is_success=True)
    clock.advance(50)
    measured.stop(b'c', is_success=True)
    assert measured.sample_count == 3
    assert measured.median_ms() == 50


def test_number_of_slots_is_the_least_limit(clock, measured):
    measured.on_slot_limit(3)
    assert measured.slots == 2
    clock.advance(service_time.SLOTS_VALID_MS + 1)
    measured.on_slot_limit(4)
    assert measured.slots == 4


def test_old_answers_do_not_count(clock, measured):
    """Guards against a server staying slow that gets no more requests."""
    for _ in range(8):
        run(clock, measured, 50)
    clock.advance(service_time.MAX_SAMPLE_AGE_MS + 1)
    assert not measured.is_known


def test_former_service_time_remains_as_a_reference(clock, measured):
    for _ in range(8):
        run(clock, measured, 50)
    measured.discard()
    measured.discard()
    assert measured.sample_count == 0
    assert measured.reference_ms == 50
