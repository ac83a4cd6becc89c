"""Base class of all errors that Kingcupport raises."""

import reprlib

# Keeps an error message on one line of readable length.
MAX_SHOWN_LENGTH = 80
_repr = reprlib.Repr()
_repr.maxstring = MAX_SHOWN_LENGTH
_repr.maxother = MAX_SHOWN_LENGTH


def shown(value):
    """Return an untrusted value as short text for an error message."""
    try:
        return _repr.repr(value)
    except ValueError:
        # Python refuses to print integers of more than 4,300 digits.
        return f'a huge {type(value).__name__}'


class KingcupportError(Exception):
    """An error with a code, the step and the peer at which it arose.

    Args:
        reason: What went wrong, one line, without code, step or peer.
        step: The step that failed, for example ``decode_packet``.
        peer: Name or address of the other side, if there is one.
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
