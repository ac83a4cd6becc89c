"""Registry and msgpack codec of the typed peer messages.

A message is an attrs class that is registered with ``peer_message``. On the
wire it is the array ``[PROTOCOL_VERSION, code, field, ...]`` with the fields
in declaration order, each a msgpack scalar, list or map.
"""

import attrs
import msgpack

from kingcupport.wire import errors

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

_classes_by_code = {}


def peer_message(code):
    """Register an attrs class as the peer message with a numeric code.

    Args:
        code: 1 to 255, unique; codes are never reused.

    Returns:
        A class decorator.
    """

    def register(message_class):
        if code in _classes_by_code:
            raise ValueError(f'message code {code} is already registered')
        message_class.message_code = code
        _classes_by_code[code] = message_class
        return message_class

    return register


def encode_message(message):
    """Return a peer message as msgpack bytes.

    Raises:
        WireError: The encoded message exceeds ``MAX_MESSAGE_BYTES``.
    """
    fields = attrs.fields(type(message))
    values = [getattr(message, field.name) for field in fields]
    data = msgpack.packb([PROTOCOL_VERSION, message.message_code, *values])
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.WireError(
            f'{type(message).__name__} of {len(data)} bytes exceeds '
            f'{MAX_MESSAGE_BYTES}',
            step='encode_message',
        )
    return data


def message_from_array(array, peer=None):
    """Build a peer message from an unpacked msgpack array.

    Args:
        array: The unpacked object.
        peer: Name or address of the sender, for errors.

    Raises:
        WireError: Not an array, another protocol version, an unknown code,
            the wrong number of fields or a field of the wrong type.
    """
    if not isinstance(array, list) or len(array) < 2:
        raise _decode_error('is not an array with version and code', peer)
    version, code, *values = array
    if version != PROTOCOL_VERSION:
        raise _decode_error(f'protocol version {version!r} is unknown', peer)
    message_class = _classes_by_code.get(code) if type(code) is int else None
    if message_class is None:
        raise _decode_error(f'message code {code!r} is unknown', peer)
    fields = attrs.fields(message_class)
    if len(values) != len(fields):
        raise _decode_error(
            f'{message_class.__name__} has {len(values)} fields, '
            f'not {len(fields)}',
            peer,
        )
    for field, value in zip(fields, values, strict=True):
        if field.type is not None and not isinstance(value, field.type):
            raise _decode_error(
                f'{message_class.__name__}.{field.name} is a '
                f'{type(value).__name__}',
                peer,
            )
    return message_class(*values)


def decode_message(data, peer=None):
    """Decode one peer message.

    Args:
        data: msgpack bytes of exactly one message.
        peer: Name or address of the sender, for errors.

    Raises:
        WireError: The bytes are not one valid message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise _decode_error(f'of {len(data)} bytes is too large', peer)
    try:
        # unpackb rejects lengths that exceed the size of the data.
        array = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise _decode_error(f'is not msgpack: {error}', peer) from None
    return message_from_array(array, peer)


def _decode_error(reason, peer):
    return errors.WireError(reason, step='decode_message', peer=peer)
