"""Tests the packet format of the platform."""

from hypothesis import given
from hypothesis import strategies
import pytest

from kingcupport.platform import packet_format

FORMAT = packet_format.PlatformPacketFormat(client_port=8172)
# The two examples in the platform's documentation.
OPENING = bytes.fromhex(
    '40 00 00 00 9c 41 01 bb c6 12 00 01 64 40 00 07'
    '11 22 33 44 00 00 00 00 a1 b2 c3 d5 00 00 00 00'
)
RESET = bytes.fromhex(
    '01 00 00 00 01 bb 9c 41 64 40 00 07 c6 12 00 01'
    '00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00'
)
HEADER = packet_format.HEADER_BYTES


def make_datagram(flags, payload=b'', echo=b'\0\0\0\0'):
    header = bytearray(OPENING)
    header[0] = flags
    header[2:4] = len(payload).to_bytes(2)
    header[28:32] = echo
    return bytes(header) + payload


def test_example_of_an_opening_packet():
    packet = FORMAT.read_from_client(OPENING)
    assert packet.is_open
    assert packet.sequence == 0x11223344
    assert FORMAT.service_address(packet.flow) == ('198.18.0.1', 443)
    assert FORMAT.client_address(packet.flow) == ('100.64.0.7', 8172)
    assert FORMAT.describe(packet.flow) == '100.64.0.7:40001'


@pytest.mark.parametrize(
    ('copy_number', 'age_ms'), [(0, 0), (1, 200), (2, 600), (2**32 - 1, 600)]
)
def test_copy_number_of_an_opening_packet_gives_its_age(copy_number, age_ms):
    header = bytearray(OPENING)
    header[20:24] = copy_number.to_bytes(4)
    assert FORMAT.read_from_client(bytes(header)).opening_age_ms == age_ms


def test_other_packets_have_no_age():
    header = bytearray(make_datagram(16))
    header[20:24] = (2).to_bytes(4)
    assert FORMAT.read_from_client(bytes(header)).opening_age_ms == 0


def test_example_of_a_reset():
    packet = FORMAT.read_from_client(OPENING)
    assert FORMAT.make_reset(packet) == RESET


def test_reset_has_the_sequence_number_that_the_client_acknowledged():
    header = bytearray(make_datagram(16))
    header[20:24] = (76_900).to_bytes(4)
    packet = FORMAT.read_from_client(bytes(header))
    reset = FORMAT.read_from_server(FORMAT.make_reset(packet))
    assert reset.sequence == 76_900
    assert reset.data_bytes == 0


def test_both_directions_have_the_same_flow():
    answer = FORMAT.read_from_server(RESET)
    assert answer.flow == FORMAT.read_from_client(OPENING).flow
    assert answer.is_reset


def test_bounced_packet_has_the_flow_of_its_client():
    data = make_datagram(16 | 128, b'data')
    packet = FORMAT.read_from_server(data)
    assert packet.is_bounced
    assert packet.flow == FORMAT.read_from_client(OPENING).flow
    assert FORMAT.clear_bounced_flag(data) == make_datagram(16, b'data')


@given(
    flags=strategies.integers(0, 255),
    payload=strategies.binary(max_size=packet_format.MAX_DATA_BYTES),
    echo=strategies.binary(min_size=4, max_size=4),
)
def test_clear_bounced_flag_changes_one_bit(flags, payload, echo):
    data = make_datagram(flags, payload, echo)
    changed = FORMAT.clear_bounced_flag(data)
    assert changed[0] == flags & 127
    assert changed[1:] == data[1:]
    assert FORMAT.read_from_client(data).data_bytes == len(payload)


@given(strategies.binary(max_size=1_400))
def test_arbitrary_datagrams_are_parsed_or_ignored(data):
    packet = FORMAT.read_from_client(data)
    if packet is None:
        assert FORMAT.read_from_server(data) is None
    else:
        assert packet.data_bytes == len(data) - HEADER


@pytest.mark.parametrize('size', [0, 1, HEADER - 1, HEADER + 1_201])
def test_datagrams_of_invalid_size_are_ignored(size):
    assert FORMAT.read_from_client(OPENING.ljust(size, b'x')[:size]) is None


def test_datagram_with_a_wrong_length_field_is_ignored():
    assert FORMAT.read_from_client(OPENING + b'x') is None


def test_request_id_and_status_are_read():
    request = make_datagram(
        16, b'GET / HTTP/1.1\r\nX-Kingcupport-Request-Id: a1\r\n'
    )
    assert FORMAT.request_id(request) == 'a1'
    assert FORMAT.request_id(make_datagram(16, b'GET / HTTP/1.1\r\n')) is None
    assert (
        FORMAT.answer_status(make_datagram(16, b'HTTP/1.1 503 Full\r\n'))
        == 503
    )
    assert FORMAT.answer_status(make_datagram(16, b'not the start')) is None
