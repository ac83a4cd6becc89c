"""Tests the order in which waiting opening packets are placed."""

import flow_support
import pytest

from kingcupport.flows import flow_route
from kingcupport.flows import opening_queue

ROUTE = flow_route.FlowRoute(
    'r', flow_support.GATE, (('gate', 1),), target_ms=150
)


@pytest.fixture
def queue():
    clock = flow_support.make_clock()
    clock.advance(10_000)
    return opening_queue.make_opening_queue(clock), clock


def put(waiting, number, opened_ms=None):
    flow = flow_support.make_flow(number)
    assert waiting.put(
        waiting.make_opening(flow, 'gate', b'', ROUTE, opened_ms)
    )
    return flow


def pop_all(waiting):
    openings = iter(lambda: waiting.pop('gate'), None)
    return [opening.flow for opening in openings]


def test_a_copy_that_cannot_be_in_time_goes_after_a_new_flow(queue):
    waiting, clock = queue
    now_ms = clock.monotonic_ms()
    copy = put(waiting, 1, now_ms - 200)
    new = put(waiting, 2)
    assert pop_all(waiting) == [new, copy]


def test_of_timely_flows_the_oldest_goes_first(queue):
    waiting, clock = queue
    new = put(waiting, 1)
    older = put(waiting, 2, clock.monotonic_ms() - 50)
    assert pop_all(waiting) == [older, new]


def test_of_late_flows_the_newest_goes_first(queue):
    waiting, clock = queue
    now_ms = clock.monotonic_ms()
    oldest = put(waiting, 1, now_ms - 600)
    newer = put(waiting, 2, now_ms - 200)
    assert pop_all(waiting) == [newer, oldest]


def test_the_wait_of_an_old_copy_begins_when_it_arrives(queue):
    waiting, clock = queue
    flow = put(waiting, 1, clock.monotonic_ms() - 1_190)
    clock.advance(opening_queue.MIN_WAIT_MS - 1)
    assert not waiting.pop_expired()
    clock.advance(1)
    assert [opening.flow for opening in waiting.pop_expired()] == [flow]


@pytest.mark.parametrize(
    ('timeout_ms', 'max_age_ms'), [(1_000, 700), (10_000, 1_200)]
)
def test_a_flow_waits_while_its_client_is_opening_it(timeout_ms, max_age_ms):
    """Clients give up an opening after 1,400 ms or with the request."""
    clock = flow_support.make_clock()
    waiting = opening_queue.make_opening_queue(clock)
    configuration = flow_support.make_configuration(timeout_ms=timeout_ms)
    route = configuration.routes[flow_support.GATE]
    flow = flow_support.make_flow(1)
    waiting.put(
        waiting.make_opening(
            flow, 'gate', b'', route, clock.monotonic_ms() - 200
        )
    )
    clock.advance(max_age_ms - 201)
    assert not waiting.pop_expired()
    clock.advance(1)
    assert [opening.flow for opening in waiting.pop_expired()] == [flow]


def test_a_returned_flow_keeps_the_end_of_its_wait(queue):
    waiting, clock = queue
    flow = put(waiting, 1)
    (opening,) = [waiting.pop('gate')]
    clock.advance(600)
    waiting.put(
        waiting.make_opening(
            flow, 'gate', b'', ROUTE, opening.opened_ms, opening.deadline_ms
        )
    )
    clock.advance(opening.deadline_ms - clock.monotonic_ms())
    assert [opening.flow for opening in waiting.pop_expired()] == [flow]
