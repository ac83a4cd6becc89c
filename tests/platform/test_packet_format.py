"""Guards the header of the platform's packets."""

from hypothesis import given
from hypothesis import strategies
import pytest

from kingcupport.platform import packet_format

FORMAT = packet_format.PlatformPacketFormat(client_port=8172)
# The two examples of the platform's description.
OPENING = bytes.fromhex(
    '40 00 00 00 9c 41 01 bb c6 12 00 01 64 40 00 07'
    '11 22 33 44 00 00 00 00 a1 b2 c3 d5 00 00 00 00'
)
RESET = bytes.fromhex(
    '01 00 00 00 01 bb 9c 41 64 40 00 07 c6 12 00 01'
    '00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00'
)
HEADER = packet_format.HEADER_BYTES


def make(flags, payload=b'', echo=b'\0\0\0\0'):
    head = bytearray(OPENING)
    head[0] = flags
    head[2:4] = len(payload).to_bytes(2)
    head[28:32] = echo
    return bytes(head) + payload


def test_the_example_of_an_opening_packet():
    packet = FORMAT.read_from_client(OPENING)
    assert packet.is_open
    assert packet.sequence == 0x11223344
    assert FORMAT.service_address(packet.flow) == ('198.18.0.1', 443)
    assert FORMAT.client_address(packet.flow) == ('100.64.0.7', 8172)
    assert FORMAT.describe(packet.flow) == '100.64.0.7:40001'


@pytest.mark.parametrize(
    ('copy_number', 'age_ms'), [(0, 0), (1, 200), (2, 600), (2**32 - 1, 600)]
)
def test_copies_of_an_opening_packet_tell_its_age(copy_number, age_ms):
    head = bytearray(OPENING)
    head[20:24] = copy_number.to_bytes(4)
    assert FORMAT.read_from_client(bytes(head)).opening_age_ms == age_ms


def test_other_packets_have_no_age():
    head = bytearray(make(16))
    head[20:24] = (2).to_bytes(4)
    assert FORMAT.read_from_client(bytes(head)).opening_age_ms == 0


def test_the_example_of_a_reset():
    packet = FORMAT.read_from_client(OPENING)
    assert FORMAT.make_reset(packet) == RESET


def test_a_reset_continues_what_the_client_has_acknowledged():
    head = bytearray(make(16))
    head[20:24] = (76_900).to_bytes(4)
    packet = FORMAT.read_from_client(bytes(head))
    reset = FORMAT.read_from_server(FORMAT.make_reset(packet))
    assert reset.sequence == 76_900
    assert reset.data_bytes == 0


def test_both_directions_have_one_flow():
    answer = FORMAT.read_from_server(RESET)
    assert answer.flow == FORMAT.read_from_client(OPENING).flow
    assert answer.is_reset


def test_a_bounced_packet_is_the_clients():
    data = make(16 | 128, b'data')
    packet = FORMAT.read_from_server(data)
    assert packet.is_bounced
    assert packet.flow == FORMAT.read_from_client(OPENING).flow
    assert FORMAT.unbounce(data) == make(16, b'data')


@given(
    flags=strategies.integers(0, 255),
    payload=strategies.binary(max_size=packet_format.MAX_DATA_BYTES),
    echo=strategies.binary(min_size=4, max_size=4),
)
def test_unbouncing_changes_one_bit(flags, payload, echo):
    data = make(flags, payload, echo)
    changed = FORMAT.unbounce(data)
    assert changed[0] == flags & 127
    assert changed[1:] == data[1:]
    assert FORMAT.read_from_client(data).data_bytes == len(payload)


@given(strategies.binary(max_size=1_400))
def test_other_datagrams_are_no_packets(data):
    packet = FORMAT.read_from_client(data)
    if packet is None:
        assert FORMAT.read_from_server(data) is None
    else:
        assert packet.data_bytes == len(data) - HEADER


@pytest.mark.parametrize('size', [0, 1, HEADER - 1, HEADER + 1_201])
def test_short_and_long_datagrams_are_no_packets(size):
    assert FORMAT.read_from_client(OPENING.ljust(size, b'x')[:size]) is None


def test_a_wrong_length_is_no_packet():
    assert FORMAT.read_from_client(OPENING + b'x') is None


def test_the_request_id_and_the_status_are_read():
    request = make(16, b'GET / HTTP/1.1\r\nX-Kingcupport-Request-Id: a1\r\n')
    assert FORMAT.request_id(request) == 'a1'
    assert FORMAT.request_id(make(16, b'GET / HTTP/1.1\r\n')) is None
    assert FORMAT.answer_status(make(16, b'HTTP/1.1 503 Full\r\n')) == 503
    assert FORMAT.answer_status(make(16, b'not the start')) is None
