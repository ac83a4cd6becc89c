"""Tests that codecs round-trip values and reject malformed bytes.

An uncaught error in a decoder would end the process that received the bytes.
"""

import attrs
import control_support as support
import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from kingcupport.common import errors
from kingcupport.wire import control_messages
from kingcupport.wire import datagrams
from kingcupport.wire import message_codec
from kingcupport.wire import packet

FUZZ = hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
DECODERS = [
    message_codec.decode_message,
    packet.decode_packet,
    datagrams.decode_datagram,
]

PACKET = packet.Packet(
    packet.PacketKind.DATA,
    2**64 - 1,
    7,
    0,
    0,
    b'x',
    '192.0.2.1:1',
    '198.51.100.1:80',
    '10.0.0.9:9000',
)
NOTICE = datagrams.RevisionNotice(2**63 - 1, 'f' * 32, '255.255.255.255:65535')
REQUEST = control_messages.DifferenceRequest('b0', 3, 'f' * 32)
VALID = [
    message_codec.encode_message(REQUEST),
    packet.encode_packet(PACKET),
    datagrams.encode_envelope(
        'gate', 3, '10.0.0.1:9000', ['a'], packet.encode_packet(PACKET)
    ),
    datagrams.encode_location_hint(datagrams.LocationHint(1, 'a', 3)),
    datagrams.encode_revision_notice(NOTICE),
]

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.integers(0, 9)
    | strategies.floats()
    | strategies.text(max_size=9)
    | strategies.binary(max_size=9),
    lambda inner: (
        strategies.lists(inner, max_size=11)
        | strategies.dictionaries(
            strategies.text(max_size=3), inner, max_size=3
        )
    ),
    max_leaves=20,
)


@strategies.composite
def _damaged(draw):
    """Draw a valid encoding that is truncated, altered or extended."""
    data = bytearray(draw(strategies.sampled_from(VALID)))
    place = draw(strategies.integers(0, len(data) - 1))
    if draw(strategies.booleans()):
        data[place] = draw(strategies.integers(0, 255))
    if draw(strategies.booleans()):
        data = data[:place]
    return bytes(data) + draw(strategies.binary(max_size=4))


def _decode_with_all(data):
    for decode in DECODERS:
        try:
            decode(data)
        except errors.KingcupportError as error:
            assert '\n' not in str(error)


@FUZZ
@hypothesis.given(strategies.binary(max_size=80) | _damaged())
def test_any_bytes_are_decoded_or_refused(data):
    _decode_with_all(data)


@FUZZ
@hypothesis.given(
    strategies.lists(VALUES, max_size=9),
    strategies.sampled_from([1, 2]),
    strategies.integers(0, 10),
)
def test_any_fields_are_decoded_or_refused(fields, version, code):
    _decode_with_all(msgpack.packb([version, code, *fields]))
    _decode_with_all(msgpack.packb(fields))


@pytest.mark.parametrize(
    'data',
    [
        b'\xdd\xff\xff\xff\xff',
        b'\xdd\x00\xff\xff\xff' * 300,
        b'\x91' * 5000,
        b'\xc1',
        msgpack.packb({1: 2}),
        msgpack.packb(
            [1, 2, 'a', 3, '\ud800'], unicode_errors='surrogatepass'
        ),
    ],
)
def test_malicious_msgpack_is_rejected(data):
    # Lengths beyond the end of the data, deep nesting, a reserved byte, keys
    # that are not text, a lone surrogate.
    for decode in DECODERS:
        with pytest.raises(errors.KingcupportError):
            decode(data)


def test_codecs_round_trip():
    assert message_codec.decode_message(VALID[0]) == REQUEST
    assert packet.decode_packet(VALID[1]) == PACKET
    envelope = datagrams.decode_datagram(VALID[2])
    assert attrs.astuple(envelope, recurse=False) == (
        'gate',
        3,
        '10.0.0.1:9000',
        ['a'],
        VALID[1],
    )
    assert datagrams.decode_datagram(VALID[4]) == NOTICE


def test_largest_notice_is_under_a_hundred_bytes():
    # The bound on control traffic assumes this size.
    assert len(VALID[4]) < 100


def test_oversized_message_is_not_encoded():
    reply = control_messages.ErrorReply(
        'b0', 1, 'x', 'y' * message_codec.MAX_MESSAGE_BYTES
    )
    with pytest.raises(errors.KingcupportError):
        message_codec.encode_message(reply)


def test_largest_fleet_difference_fits_a_message():
    # The fleet of the planned size must fit into one message.
    fleet = support.make_large_fleet()
    reply = control_messages.DifferenceReply(
        'b0', 1, [], support.documents.fleet_to_dict(fleet)
    )
    data = message_codec.encode_message(reply)
    assert len(data) < 1024 * 1024
    assert message_codec.decode_message(data) == reply
