"""Tests which probes go out together, and which agents get single ones."""

import flow_support
import pytest

from kingcupport.flows import probe_batches

PACKETS = [bytes([number]) * 500 for number in range(5)]


@pytest.fixture
def clock():
    return flow_support.make_clock()


@pytest.fixture
def batches(clock):
    return probe_batches.make_probe_batches(clock)


def add(batches, ips, packets):
    for data in packets:
        batches.add(ips, data)


def test_packets_are_split_at_the_size_of_a_datagram(batches):
    add(batches, ['a', 'b'], PACKETS)
    assert batches.pop_batches() == [
        (['a', 'b'], PACKETS[:2]),
        (['a', 'b'], PACKETS[2:4]),
        (['a', 'b'], PACKETS[4:]),
    ]
    assert batches.pop_batches() == []


def test_large_packet_goes_alone(batches):
    large = b'x' * 1_400
    add(batches, ['a'], [large, PACKETS[0]])
    assert batches.pop_batches() == [(['a'], [large]), (['a'], [PACKETS[0]])]


def test_single_packet_expects_no_answer_to_a_batch(batches, clock):
    add(batches, ['a'], PACKETS[:1])
    batches.pop_batches()
    clock.advance(probe_batches.ANSWER_TIMEOUT_MS)
    assert batches.pop_unanswered() == []


def test_agent_that_ignores_batches_is_asked_one_by_one(batches, clock):
    """Agents of the former revision do not know the datagram."""
    add(batches, ['a', 'b'], PACKETS[:2])
    batches.pop_batches()
    batches.on_answer('b')
    assert batches.pop_unanswered() == []
    clock.advance(probe_batches.ANSWER_TIMEOUT_MS)
    assert batches.pop_unanswered() == [('a', PACKETS[:2])]
    add(batches, ['a', 'b'], PACKETS[:2])
    assert batches.pop_batches() == [
        (['a'], PACKETS[:1]),
        (['a'], PACKETS[1:2]),
        (['b'], PACKETS[:2]),
    ]


def test_agent_is_tried_with_a_batch_again_later(batches, clock):
    add(batches, ['a'], PACKETS[:2])
    batches.pop_batches()
    clock.advance(probe_batches.ANSWER_TIMEOUT_MS)
    batches.pop_unanswered()
    clock.advance(probe_batches.SINGLE_PROBES_MS)
    add(batches, ['a'], PACKETS[:2])
    assert batches.pop_batches() == [(['a'], PACKETS[:2])]


def test_lost_batch_does_not_end_batches_to_an_agent(batches, clock):
    """Its probes are repeated one by one, but later ones are batched."""
    batches.on_answer('a')
    add(batches, ['a'], PACKETS[:2])
    batches.pop_batches()
    clock.advance(probe_batches.ANSWER_TIMEOUT_MS)
    assert batches.pop_unanswered() == [('a', PACKETS[:2])]
    add(batches, ['a'], PACKETS[:2])
    assert batches.pop_batches() == [(['a'], PACKETS[:2])]
