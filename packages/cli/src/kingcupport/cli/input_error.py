"""Error for invalid arguments and files."""

from kingcupport.common import errors


class InputError(errors.KingcupportError):
    """An argument or a file is missing, unreadable or invalid.

    The program exits with code 2.

    Args:
        source: Path of the file or name of the argument.
        reason: What is wrong with it.
    """

    code = 'bad_input'

    def __init__(self, source, reason):
        super().__init__(f'{source}: {reason}', step='read_input')

    def __str__(self):
        """Return the source and the reason on one line."""
        return self.reason
