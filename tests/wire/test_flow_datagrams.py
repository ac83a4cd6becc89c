"""Tests the codec of datagrams between balancers and agents."""

import attrs
from hypothesis import given
from hypothesis import strategies
import msgpack
import pytest

from kingcupport.wire import errors
from kingcupport.wire import flow_datagrams

SAMPLES = [
    flow_datagrams.FlowEnvelope('gate', 1, b'packet'),
    flow_datagrams.PacedEnvelope('gate', 1, 2.5, 3_000, b'packet'),
    flow_datagrams.FlowDecline(1, b'packet'),
    flow_datagrams.FlowQuery(b'flow', 7),
    flow_datagrams.FlowStatus(b'flow', 1),
    flow_datagrams.LoadReport(1, 2, 'gate', 3, 4, 5, False, True, True),
    flow_datagrams.AgentGreeting('b0', 500),
    flow_datagrams.PaceReport(1, 2, 48.5, 32, -1),
    flow_datagrams.BalancerGreeting(
        'b0',
        1,
        2,
        1 << 63,
        3,
        -1,
        False,
        True,
        False,
        True,
        9,
        -1,
        ['10.0.0.1'],
    ),
]


@pytest.mark.parametrize('datagram', SAMPLES)
def test_datagram_round_trip(datagram):
    assert flow_datagrams.decode(flow_datagrams.encode(datagram)) == datagram


@given(strategies.binary(max_size=1_200))
def test_packet_data_round_trip(packet_data):
    envelope = flow_datagrams.FlowEnvelope('gate', 0, packet_data)
    decoded = flow_datagrams.decode(flow_datagrams.encode(envelope))
    assert decoded.packet_data == packet_data


@given(strategies.binary(max_size=200))
def test_random_bytes_raise_only_wire_errors(data):
    try:
        flow_datagrams.decode(data)
    except errors.WireError as error:
        assert error.step == 'decode_flow_datagram'


@given(
    strategies.sampled_from(SAMPLES),
    strategies.integers(0, 40),
    strategies.integers(0, 255),
)
def test_changed_bytes_raise_only_wire_errors(datagram, position, value):
    data = bytearray(flow_datagrams.encode(datagram))
    data[position % len(data)] = value
    try:
        flow_datagrams.decode(bytes(data))
    except errors.WireError as error:
        assert error.code == 'bad_wire_data'


@pytest.mark.parametrize('datagram', SAMPLES)
def test_fields_of_the_wrong_type_are_rejected(datagram):
    fields = [
        field.name
        for field in attrs.fields(type(datagram))
        if field.name != 'packet_data'
    ]
    for number in range(len(fields)):
        values = [getattr(datagram, name) for name in fields]
        values[number] = {'a': 'map'}
        data = msgpack.packb([1, datagram.datagram_code, *values])
        with pytest.raises(errors.WireError):
            flow_datagrams.decode(data)


@pytest.mark.parametrize('datagram', SAMPLES)
def test_bytes_are_those_of_earlier_releases(datagram):
    """Guards against a wire format that older processes cannot read."""
    fields = [field.name for field in attrs.fields(type(datagram))]
    values = [
        getattr(datagram, name) for name in fields if name != 'packet_data'
    ]
    packet = getattr(datagram, 'packet_data', b'')
    assert flow_datagrams.encode(datagram) == (
        msgpack.packb([1, datagram.datagram_code, *values]) + packet
    )


@pytest.mark.parametrize(
    'datagram', [d for d in SAMPLES if not hasattr(d, 'packet_data')]
)
def test_bytes_after_a_datagram_without_a_packet_are_ignored(datagram):
    """Guards against rejecting what earlier releases accept."""
    data = flow_datagrams.encode(datagram) + b'rest'
    assert flow_datagrams.decode(data) == datagram


def test_packets_of_a_batch_are_separated():
    packets = [b'first', b'2', b'third one']
    batch = flow_datagrams.FlowProbeBatch(
        [len(data) for data in packets], b''.join(packets)
    )
    decoded = flow_datagrams.decode(flow_datagrams.encode(batch))
    assert decoded == batch
    assert decoded.packets() == packets


@pytest.mark.parametrize(
    'sizes', [[4], [6], [-1, 6], [0, 5], ['5'], [2.0, 3.0], [True, 4], [[5]]]
)
def test_batch_with_wrong_sizes_is_rejected(sizes):
    batch = flow_datagrams.FlowProbeBatch(sizes, b'12345')
    decoded = flow_datagrams.decode(flow_datagrams.encode(batch))
    with pytest.raises(errors.WireError):
        decoded.packets()


def test_malformed_answers_of_a_batch_are_left_out():
    batch = flow_datagrams.FlowStatusBatch(
        [[b'flow', 1], ['flow', 1], [b'flow'], 7, [b'flow', True], [b'f', 0]]
    )
    decoded = flow_datagrams.decode(flow_datagrams.encode(batch))
    assert decoded.statuses() == [
        flow_datagrams.FlowStatus(b'flow', 1),
        flow_datagrams.FlowStatus(b'f', 0),
    ]
