"""Base class of all errors that Kingcupport raises."""


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
