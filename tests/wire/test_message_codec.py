"""Tests the codec of peer messages."""

import pytest

from kingcupport.wire import control_messages
from kingcupport.wire import errors
from kingcupport.wire import message_codec


def test_round_trip():
    """Regression: decoding passed an argument unknown to msgpack."""
    message = control_messages.DifferenceReply('a', 7, [{'base': 6}], {})
    data = message_codec.encode_message(message)
    assert message_codec.decode_message(data) == message


def test_oversized_message_is_rejected_before_unpacking():
    data = bytes(message_codec.MAX_MESSAGE_BYTES + 1)
    with pytest.raises(errors.WireError, match='too large'):
        message_codec.decode_message(data)
