"""Errors of the wire codecs."""

from kingcupport.common import errors


class WireError(errors.KingcupportError):
    """Bytes that are not a valid datagram or peer message."""

    code = 'bad_wire_data'
