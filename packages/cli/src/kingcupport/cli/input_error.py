"""Input that a command cannot use."""

from kingcupport.common import errors


class InputError(errors.KingcupportError):
    """An argument or a file that cannot be used; the exit code is 2.

    Args:
        source: The file or argument.
        reason: What is wrong with it.
    """

    code = 'bad_input'

    def __init__(self, source, reason):
        super().__init__(f'{source}: {reason}', step='read_input')

    def __str__(self):
        """Return the source and the reason on one line."""
        return self.reason
