"""Base class of Kingcupport errors and a helper for their messages."""

import reprlib

# Keeps an error message on one line of readable length.
MAX_VALUE_LENGTH = 80
_repr = reprlib.Repr()
_repr.maxstring = MAX_VALUE_LENGTH
_repr.maxother = MAX_VALUE_LENGTH


def shorten_repr(value):
    """Return the shortened repr of an untrusted value for a message."""
    try:
        return _repr.repr(value)
    except ValueError:
        # Python refuses to convert integers of more than 4,300 digits.
        return f'a huge {type(value).__name__}'


class KingcupportError(Exception):
    """An error with a code, the failed step and the peer involved.

    Args:
        reason: Single-line description without code, step or peer.
        step: The step that failed, for example ``decode_packet``.
        peer: Name or address of the peer, if one is involved.
    """

    code = 'internal'

    def __init__(self, reason, *, step, peer=None):
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer

    def __str__(self):
        """Return code, reason, step and peer on one line."""
        peer = f' peer={self.peer}' if self.peer else ''
        return f'{self.code}: {self.reason} (step={self.step}{peer})'
